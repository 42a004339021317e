package placement

import (
	"fmt"
	"math"
	"slices"
)

// throttleState is the share of its declared cores that an attempt may use.
type throttleState struct {
	share, previous float64 // 0 means not throttled
	since           int64   // Unix ms
	// hold is how long the share stays down before it is raised, in ms. It doubles each time the throttle returns.
	hold int64
}

func (s *throttleState) shareNow() float64 {
	if s.share == 0 {
		return 1
	}
	return s.share
}

// shareAt returns the share that applied at time ms. Only the last change is remembered.
func (s *throttleState) shareAt(ms int64) float64 {
	if ms >= s.since {
		return s.shareNow()
	}
	if s.previous == 0 {
		return 1
	}
	return s.previous
}

func (t *task) shareAt(ms int64) float64 { return t.throttle.shareAt(ms) }

const (
	minThrottleShare = 0.25
	firstHoldMs      = 3 * 1000
	maxHoldMs        = 20 * 1000
	// A throttle shows in the measurements only after their lag; the next step waits this long.
	throttleStepMs = 3 * 1000
	// A neighbour with a smaller predicted effect is not blamed.
	minBlame = 0.05
	// Mean speed below which throttled neighbours are evicted.
	evictionSpeed = 0.5
	// Time between two evictions on one worker to relieve a task.
	relievePauseMs   = 30 * 1000
	relievesPerPlan  = 64
	reasonRelief     = "slows down task %q, throttling did not suffice"
	reasonBlindEvict = "task %q is slow"
)

// updateSuffering lists tasks of latency classes that run slower than the limit. A task leaves the list at half of it.
func (c *cache) updateSuffering(t *task) {
	if t.batch() {
		return
	}
	limit := -math.Log(1 - c.config.SlowdownLimit)
	switch {
	case !t.suffering && t.slow > limit:
		t.suffering = true
		c.suffering = append(c.suffering, t)
	case t.suffering && t.slow < limit/2:
		t.suffering = false
		c.suffering = remove(c.suffering, t)
	}
}

// forgetTroubles takes a task that leaves its worker off the lists of suffering and throttled tasks.
func (c *cache) forgetTroubles(t *task) {
	if t.suffering {
		c.suffering = remove(c.suffering, t)
	}
	if t.throttle.share != 0 {
		c.throttled = remove(c.throttled, t)
	}
}

func remove(list []*task, t *task) []*task {
	if i := slices.Index(list, t); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// relieve throttles the neighbours that slow down tasks of latency classes, and evicts one where that did not suffice.
func (s *planning) relieve() {
	for i, t := range s.cache.suffering {
		if i == relievesPerPlan {
			return
		}
		switch s.config.Strategy {
		case StrategyInterference:
			s.relieveTask(t)
		case StrategyBlind:
			s.relieveBlind(t)
		}
	}
}

func (s *planning) relieveTask(t *task) {
	w := t.worker
	noisy, blame := s.noisiest(t, minThrottleShare)
	if noisy == nil || blame < minBlame {
		s.evictNoisy(t)
		return
	}
	if s.nowMs-w.throttledAt < throttleStepMs {
		return
	}
	w.throttledAt = s.nowMs
	s.setShare(noisy, max(minThrottleShare, noisy.throttle.shareNow()/2))
}

// noisiest returns the batch neighbour of t with the largest predicted effect on t among those above the given share.
func (s *planning) noisiest(t *task, above float64) (*task, float64) {
	var worst *task
	blame := 0.0
	for _, u := range t.worker.tasks {
		share := u.throttle.shareNow()
		if !u.batch() || u.evicting() || u.running == 0 || share <= above {
			continue
		}
		if e := s.cache.model.estimate(t.kind, u.kind, s.nowMs).mean * share; e > blame {
			worst, blame = u, e
		}
	}
	return worst, blame
}

func (s *planning) evictNoisy(t *task) {
	w := t.worker
	if t.slow < -math.Log(evictionSpeed) || s.nowMs-w.throttledAt < throttleStepMs || s.nowMs-w.relievedAt < relievePauseMs {
		return
	}
	noisy, blame := s.noisiest(t, 0)
	if noisy == nil || blame < minBlame || s.protected(noisy) {
		return
	}
	w.relievedAt = s.nowMs
	s.evict(noisy, fmt.Sprintf(reasonRelief, t.id))
}

// relieveBlind evicts the largest batch neighbour, which is what a policy without a model of interference can do.
func (s *planning) relieveBlind(t *task) {
	w := t.worker
	if s.nowMs-w.relievedAt < relievePauseMs {
		return
	}
	var largest *task
	for _, u := range w.tasks {
		if u.batch() && !u.evicting() && !s.protected(u) && (largest == nil || u.size.Cores > largest.size.Cores) {
			largest = u
		}
	}
	if largest != nil {
		w.relievedAt = s.nowMs
		s.evict(largest, fmt.Sprintf(reasonBlindEvict, t.id))
	}
}

// releaseThrottles raises the share of throttled tasks beside which no task suffers any more.
func (s *planning) releaseThrottles() {
	for _, t := range slices.Clone(s.cache.throttled) {
		if s.nowMs-t.throttle.since < t.throttle.hold || t.worker.suffers() {
			continue
		}
		s.setShare(t, min(1, 2*t.throttle.share))
	}
}

func (w *worker) suffers() bool {
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.suffering })
}

// setShare proposes a throttle and remembers it, since throttles are not part of the replicated state.
func (s *planning) setShare(t *task, share float64) {
	old := t.throttle.shareNow()
	if share < old {
		t.throttle.hold = min(maxHoldMs, max(firstHoldMs, 2*t.throttle.hold))
	}
	if old == 1 {
		s.cache.throttled = append(s.cache.throttled, t)
	}
	t.throttle.previous, t.throttle.share, t.throttle.since = old, share, s.nowMs
	if share >= 1 {
		t.throttle.share = 0
		s.cache.throttled = remove(s.cache.throttled, t)
	}
	s.plan.Throttles = append(s.plan.Throttles, Throttle{t.id, t.attempt, share})
	s.decide(t.id, t.worker.id, fmt.Sprintf("throttle to %.2f of the declared cores", share), 0)
}
