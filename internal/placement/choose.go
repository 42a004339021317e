package placement

import "github.com/lentilyard/lentilyard/internal/pb"

// sample calls f for up to n distinct slots with room for size, spread over the index from a random start.
func (s *planning) sample(x *index, size vector, n int, f func(*worker)) {
	if x.used == 0 {
		return
	}
	stride := max(1, x.used/n)
	start := s.rng.IntN(x.used)
	reached := -1 // distance from start to the last slot returned
	for range n {
		from := reached + 1
		if from > 0 && stride > 1 {
			from += s.rng.IntN(stride)
		}
		slot := x.find(size, (start+from)%x.leaves)
		if slot < 0 {
			return
		}
		distance := (slot - start + x.leaves) % x.leaves
		if distance < from { // wrapped around
			return
		}
		reached = distance
		f(s.cache.slots[slot])
	}
}

// choose returns the best worker for t that passes the filter, and how many workers were scored.
func (s *planning) choose(t *task) (*worker, int) {
	size := s.cache.demand(t)
	if w := s.chooseReserved(t, size); w != nil {
		return w, 1
	}
	switch s.config.Strategy {
	case StrategyFirstFit:
		return s.firstFit(t, size), 1
	case StrategyBestFit:
		return s.bestFit(t, size)
	}
	var best *worker
	bestScore := 0.0
	considered := 0
	s.sample(s.cache.free, size, s.candidates(t), func(w *worker) {
		if !filter(t, w, size) {
			return
		}
		considered++
		if score := s.score(t, w, s.nowMs); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	})
	return best, considered
}

// longLivedFactor multiplies the workers scored for a service task, whose place matters for long.
const longLivedFactor = 4

func (s *planning) candidates(t *task) int {
	if t.class == pb.TaskClass_TASK_CLASS_SERVICE {
		return longLivedFactor * s.config.Candidates
	}
	return s.config.Candidates
}

// firstFit returns the first worker in order of registration that passes the filter.
func (s *planning) firstFit(t *task, size vector) *worker {
	for from := 0; ; {
		slot := s.cache.free.search(size, from, visitLimit)
		if slot < from {
			return nil
		}
		if w := s.cache.slots[slot]; filter(t, w, size) {
			return w
		}
		from = slot + 1
	}
}

// bestFit scans all workers and returns the one with the least left over. It is a baseline and not meant for many
// workers.
func (s *planning) bestFit(t *task, size vector) (*worker, int) {
	var best *worker
	considered := 0
	for _, w := range s.cache.slots {
		if w == nil || !filter(t, w, size) {
			continue
		}
		considered++
		if best == nil || leftover(t, w) < leftover(t, best) {
			best = w
		}
	}
	return best, considered
}
