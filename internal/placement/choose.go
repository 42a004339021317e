package placement

import "github.com/lentilyard/lentilyard/internal/pb"

// sample calls f for up to n distinct workers that have room for size according to x. It starts at a random slot and
// moves on by random strides.
func (s *planning) sample(x *index, size vector, n int, f func(*worker)) {
	if x.slots == 0 {
		return
	}
	stride := max(1, x.slots/n)
	start := s.rng.IntN(x.slots)
	last := -1 // distance from start to the last slot found
	for range n {
		from := last + 1
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
		last = distance
		f(s.cache.slots[slot])
	}
}

// choose returns the worker with the lowest score for t among those sampled, or nil, and how many were scored. A worker
// reserved for t is taken without a comparison.
func (s *planning) choose(t *task) (*worker, int) {
	size := s.cache.expectedSize(t)
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
	s.sample(s.cache.free, size, s.candidateCount(t), func(w *worker) {
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

// serviceCandidatesFactor multiplies Config.Candidates for service tasks. They run for long, so a better worker is
// worth the cost of scoring more.
const serviceCandidatesFactor = 4

func (s *planning) candidateCount(t *task) int {
	if t.class == pb.TaskClass_TASK_CLASS_SERVICE {
		return serviceCandidatesFactor * s.config.Candidates
	}
	return s.config.Candidates
}

// firstFit returns the first worker in index order that passes the filter.
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

// bestFit returns the worker that has the least room left with t on it, and how many were scored. It scans all workers,
// which is acceptable for a baseline but too slow for large domains.
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
