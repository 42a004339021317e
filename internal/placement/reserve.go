package placement

// Reservations keep tasks that need much of a worker from starving behind small ones: a worker reserved for a bucket
// takes no other service or batch tasks until the bucket's oldest tasks have started.

// reserveShare bounds the reserved workers of all but the first holder to 1/16 of the workers.
const reserveShare = 16

// chooseReserved returns a worker reserved for t's bucket with room for t.
func (s *planning) chooseReserved(t *task, size vector) *worker {
	if t.bucket.reservations == 0 {
		return nil
	}
	for _, w := range s.cache.reserved {
		if w.reserved == t.bucket && filter(t, w, size) {
			return w
		}
	}
	return nil
}

// reserveFor reserves workers for the tasks of b that have waited too long and found no room.
func (s *planning) reserveFor(b *bucket) {
	need := 1
	if b.head.gang != "" {
		need = b.count
	}
	size := s.cache.demand(b.head)
	held := s.reservedCopies(b, size)
	limit := max(1, s.cache.ready/reserveShare)
	first := len(s.cache.reserved) == b.reservations
	for held < need && (first || len(s.cache.reserved) < limit) {
		w := s.bestToReserve(size)
		if w == nil {
			return
		}
		s.cache.reserve(w, b)
		held += int(size.CopiesIn(w.reach()))
	}
}

// reservedCopies returns how many tasks of the given size the workers reserved for b will hold.
func (s *planning) reservedCopies(b *bucket, size vector) int {
	n := 0
	if b.reservations == 0 {
		return 0
	}
	for _, w := range s.cache.reserved {
		if w.reserved == b {
			n += int(size.CopiesIn(w.reach()))
		}
	}
	return n
}

// bestToReserve returns the sampled worker with the least batch work to wait for.
func (s *planning) bestToReserve(size vector) *worker {
	var best *worker
	bestWait := 0.0
	s.sample(s.cache.reach, size, 2*s.config.Candidates, func(w *worker) {
		if w.reserved != nil {
			return
		}
		if wait := size.Minus(w.room()).Share(w.capacity); best == nil || wait < bestWait {
			best, bestWait = w, wait
		}
	})
	return best
}

// dropReservations ends reservations that no longer serve: the worker is not ready, or services have taken so much of
// it that the tasks will not fit.
func (s *planning) dropReservations() {
	for i := len(s.cache.reserved) - 1; i >= 0; i-- {
		w := s.cache.reserved[i]
		if !w.ready() || !s.cache.demand(w.reserved.head).Fits(w.reach()) || !s.aged(w.reserved.head) {
			s.cache.unreserve(i)
		}
	}
}

// aged reports whether t, the oldest task to try of its bucket, has waited longer than the starvation limit while no
// task like it started. A bucket with a long backlog that is served in turn does not starve.
func (s *planning) aged(t *task) bool {
	return s.nowMs-max(t.submitted, t.bucket.servedAt) >= s.config.StarveAfter.Milliseconds()
}

func (c *cache) reserve(w *worker, b *bucket) {
	w.reserved = b
	b.reservations++
	c.reserved = append(c.reserved, w)
	c.refresh(w)
}

func (c *cache) unreserve(i int) {
	w := c.reserved[i]
	w.reserved.reservations--
	w.reserved = nil
	last := len(c.reserved) - 1
	c.reserved[i] = c.reserved[last]
	c.reserved[last] = nil
	c.reserved = c.reserved[:last]
	c.refresh(w)
}

// releaseReservations ends all reservations of b.
func (c *cache) releaseReservations(b *bucket) {
	if b.reservations == 0 {
		return
	}
	for i := len(c.reserved) - 1; i >= 0; i-- {
		if c.reserved[i].reserved == b {
			c.unreserve(i)
		}
	}
}
