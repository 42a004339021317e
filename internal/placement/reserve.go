package placement

// Reservations keep large tasks from starving behind a stream of small ones. A worker reserved for a bucket takes no
// other service or batch tasks until the bucket no longer starves. Urgent tasks may still displace batch tasks on it.

// reservedDivisor bounds the reserved workers to 1/16 of the ready workers. A bucket that holds all reservations may
// exceed the bound, so that one large gang can always be served.
const reservedDivisor = 16

// chooseReserved returns a worker reserved for the bucket of t that passes the filter, or nil.
func (s *planning) chooseReserved(t *task, size vector) *worker {
	if t.bucket.reservations == 0 {
		return nil
	}
	for _, w := range s.cache.reserved {
		if w.reservedFor == t.bucket && filter(t, w, size) {
			return w
		}
	}
	return nil
}

// reserveFor reserves workers for the oldest task of b, or for the whole gang if b holds one.
func (s *planning) reserveFor(b *bucket) {
	need := 1
	if b.head.gang != "" {
		need = b.count
	}
	size := s.cache.expectedSize(b.head)
	held := s.reservedCopies(b, size)
	limit := max(1, s.cache.readyWorkers/reservedDivisor)
	first := len(s.cache.reserved) == b.reservations
	for held < need && (first || len(s.cache.reserved) < limit) {
		w := s.bestToReserve(size)
		if w == nil {
			return
		}
		s.cache.reserve(w, b)
		held += int(size.CopiesIn(w.reclaimable()))
	}
}

// reservedCopies returns how many tasks of the given size fit on the workers reserved for b once their batch tasks have
// ended.
func (s *planning) reservedCopies(b *bucket, size vector) int {
	n := 0
	if b.reservations == 0 {
		return 0
	}
	for _, w := range s.cache.reserved {
		if w.reservedFor == b {
			n += int(size.CopiesIn(w.reclaimable()))
		}
	}
	return n
}

// bestToReserve returns the sampled worker on which the smallest share of the capacity must come free before size fits,
// or nil if all are reserved or too small.
func (s *planning) bestToReserve(size vector) *worker {
	var best *worker
	bestWait := 0.0
	s.sample(s.cache.reclaimable, size, 2*s.config.Candidates, func(w *worker) {
		if w.reservedFor != nil {
			return
		}
		if wait := size.Minus(w.room()).Share(w.capacity); best == nil || wait < bestWait {
			best, bestWait = w, wait
		}
	})
	return best
}

// dropReservations ends the reservations of workers that are not ready or on which the oldest task of the bucket cannot
// fit any more, and those of buckets that no longer starve.
func (s *planning) dropReservations() {
	for i := len(s.cache.reserved) - 1; i >= 0; i-- {
		w := s.cache.reserved[i]
		if !w.ready() || !s.cache.expectedSize(w.reservedFor.head).Fits(w.reclaimable()) || !s.starving(w.reservedFor.head) {
			s.cache.unreserve(i)
		}
	}
}

// starving reports whether t has waited for at least Config.StarveAfter and no task of its bucket has started in that
// time. A bucket with a long backlog whose tasks start one after the other does not starve.
func (s *planning) starving(t *task) bool {
	return s.nowMs-max(t.submitted, t.bucket.servedAt) >= s.config.StarveAfter.Milliseconds()
}

// reserve reserves w for the tasks of b.
func (c *cache) reserve(w *worker, b *bucket) {
	w.reservedFor = b
	b.reservations++
	c.reserved = append(c.reserved, w)
	c.updateIndexes(w)
}

// unreserve ends the reservation of the worker c.reserved[i]. The last element takes its place.
func (c *cache) unreserve(i int) {
	w := c.reserved[i]
	w.reservedFor.reservations--
	w.reservedFor = nil
	last := len(c.reserved) - 1
	c.reserved[i] = c.reserved[last]
	c.reserved[last] = nil
	c.reserved = c.reserved[:last]
	c.updateIndexes(w)
}

// releaseReservations ends all reservations of b.
func (c *cache) releaseReservations(b *bucket) {
	if b.reservations == 0 {
		return
	}
	for i := len(c.reserved) - 1; i >= 0; i-- {
		if c.reserved[i].reservedFor == b {
			c.unreserve(i)
		}
	}
}
