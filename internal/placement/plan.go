package placement

import (
	"math/rand/v2"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// planning is the state of one call to Plan. What it places is counted in the cache until undo.
type planning struct {
	*Planner
	now    time.Time
	rng    *rand.Rand
	plan   Plan
	placed []*task
	// attempts is the number of tasks that may still be tried.
	attempts int
}

// Plan proposes at most max placements, or more if the last one completes a gang, and what belongs to them. It leaves the cache as it was.
func (p *Planner) Plan(now time.Time, max int) Plan {
	s := &planning{Planner: p, now: now, attempts: 2*max + minAttempts}
	s.rng = rand.New(rand.NewPCG(p.config.Seed, uint64(now.UnixNano())))
	for rank := range numClasses {
		s.placeClass(newOrder(p.cache.queue.flows[rank]), max)
	}
	s.undo()
	return s.plan
}

// minAttempts is the number of shapes that a plan tries even if it may place few tasks.
const minAttempts = 256

func (s *planning) placeClass(o *order, max int) {
	for len(s.placed) < max && s.attempts > 0 {
		walk := o.next()
		if walk == nil {
			return
		}
		s.attempts--
		if s.place(walk.take()) {
			walk.keep()
		}
	}
}

// place finds a worker for t, or workers for its whole gang.
func (s *planning) place(t *task) bool {
	if t.gang != "" {
		return s.placeGang(t.bucket)
	}
	return s.placeOne(t)
}

func (s *planning) placeOne(t *task) bool {
	if !t.contract.allows(t.size, t.class) {
		return false
	}
	w, considered := s.choose(t)
	if w == nil {
		return false
	}
	s.bind(t, w, considered)
	return true
}

// placeGang places all tasks of a gang or none.
func (s *planning) placeGang(b *bucket) bool {
	if !complete(b) {
		return false
	}
	mark := len(s.placed)
	for t := b.head; t != nil; t = t.next {
		if !s.placeOne(t) {
			s.rollback(mark)
			return false
		}
	}
	return false // the bucket holds nothing else
}

// complete reports whether the whole gang is known. After the first start only the lost members are queued.
func complete(b *bucket) bool {
	return b.head.attempt > 0 || b.tail.attempt > 0 || b.count >= b.head.gangSize
}

// choose returns the best of a few sampled workers that pass the filter, and how many were scored.
func (s *planning) choose(t *task) (*worker, int) {
	var best *worker
	var bestScore float64
	considered, from := 0, 0
	stride := max(1, s.cache.index.used/s.config.Candidates)
	from = s.rng.IntN(max(1, s.cache.index.used))
	for range s.config.Candidates {
		slot := s.cache.index.find(t.size, from%s.cache.index.leaves)
		if slot < 0 {
			break
		}
		w := s.cache.slots[slot]
		from = max(slot+1, from) + s.rng.IntN(stride)
		if !s.cache.filter(t, w) {
			continue
		}
		considered++
		if score := s.score(t, w); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best, considered
}

// bind proposes t on w and counts it in the cache for the rest of the plan.
func (s *planning) bind(t *task, w *worker, considered int) {
	s.cache.occupy(t, w)
	s.placed = append(s.placed, t)
	s.plan.Placements = append(s.plan.Placements,
		&pb.Placement{Task: t.id, Attempt: t.attempt + 1, Worker: w.id, WorkerEpoch: w.epoch})
	s.plan.Decisions = append(s.plan.Decisions,
		Decision{Task: t.id, Worker: w.id, Reason: "placed", Considered: considered})
}

// rollback withdraws the placements after the first n.
func (s *planning) rollback(n int) {
	for i := len(s.placed) - 1; i >= n; i-- {
		s.cache.vacate(s.placed[i])
	}
	dropped := len(s.placed) - n
	s.placed = s.placed[:n]
	s.plan.Placements = s.plan.Placements[:len(s.plan.Placements)-dropped]
	s.plan.Decisions = s.plan.Decisions[:len(s.plan.Decisions)-dropped]
}

// undo takes all proposals out of the cache.
func (s *planning) undo() {
	for i := len(s.placed) - 1; i >= 0; i-- {
		s.cache.vacate(s.placed[i])
	}
}
