package placement

import (
	"fmt"
	"math"
	"slices"
)

// throttleState is the share of its declared cores that an attempt may use, and the share before the last change.
type throttleState struct {
	share, previous float64 // 0 means not throttled
	since           int64   // when share was set, Unix ms
	// hold is the minimum time in ms between a change of the share and its increase. It doubles each time the share is
	// lowered.
	hold int64
}

// currentShare returns the current share, 1 if the attempt is not throttled.
func (s *throttleState) currentShare() float64 {
	if s.share == 0 {
		return 1
	}
	return s.share
}

// shareAt returns the share that applied at time ms. Only the last change is known, so earlier ones are ignored.
func (s *throttleState) shareAt(ms int64) float64 {
	if ms >= s.since {
		return s.currentShare()
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
	// throttleStepMs is the time between two throttle steps on one worker. Measurements lag, so the effect of a step is
	// not visible earlier.
	throttleStepMs = 3 * 1000
	// minAggressorEffect is the predicted effect on a slow task below which a neighbour is neither throttled nor
	// evicted.
	minAggressorEffect = 0.05
	// evictionSpeed is the mean speed of a slow task below which a neighbour may be evicted.
	evictionSpeed = 0.5
	// slowdownEvictionPauseMs is the time between two evictions on one worker because of slow tasks.
	slowdownEvictionPauseMs = 30 * 1000
	slowTasksPerPlan        = 64
	reasonSlowsDown         = "slows down task %q, throttling did not suffice"
	reasonSlowNeighbour     = "task %q is slow"
)

// updateSlowTasks adds t to c.slowTasks if it is of a latency class and slower than Config.SlowdownLimit allows. A task
// is removed when its slow-down falls below half of the limit, so that it does not enter and leave the list all the
// time.
func (c *cache) updateSlowTasks(t *task) {
	if t.batch() {
		return
	}
	limit := -math.Log(1 - c.config.SlowdownLimit)
	switch {
	case !t.tooSlow && t.slowdown > limit:
		t.tooSlow = true
		c.slowTasks = append(c.slowTasks, t)
	case t.tooSlow && t.slowdown < limit/2:
		t.tooSlow = false
		c.slowTasks = remove(c.slowTasks, t)
	}
}

// dropSlowOrThrottled removes a task that leaves its worker from the lists of slow and throttled tasks.
func (c *cache) dropSlowOrThrottled(t *task) {
	if t.tooSlow {
		c.slowTasks = remove(c.slowTasks, t)
	}
	if t.throttle.share != 0 {
		c.throttled = remove(c.throttled, t)
	}
}

// remove returns list without t.
func remove(list []*task, t *task) []*task {
	if i := slices.Index(list, t); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// relieveSlowTasks throttles or evicts batch tasks on workers with slow tasks of latency classes.
func (s *planning) relieveSlowTasks() {
	for i, t := range s.cache.slowTasks {
		if i == slowTasksPerPlan {
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

// relieveTask halves the share of the batch task that slows down t the most, or evicts one if none above the
// minimum share has an effect of at least minAggressorEffect.
func (s *planning) relieveTask(t *task) {
	w := t.worker
	aggressor, predictedEffect := s.worstAggressor(t, minThrottleShare)
	if aggressor == nil || predictedEffect < minAggressorEffect {
		s.evictAggressor(t)
		return
	}
	if s.nowMs-w.throttledAt < throttleStepMs {
		return
	}
	w.throttledAt = s.nowMs
	s.setShare(aggressor, max(minThrottleShare, aggressor.throttle.currentShare()/2))
}

// worstAggressor returns the running batch task with the largest predicted effect on t among those on t's worker whose
// share is above the given one, and that effect.
func (s *planning) worstAggressor(t *task, above float64) (*task, float64) {
	var worst *task
	predictedEffect := 0.0
	for _, u := range t.worker.tasks {
		share := u.throttle.currentShare()
		if !u.batch() || u.evicting() || u.runningSince == 0 || share <= above {
			continue
		}
		if e := s.cache.model.estimate(t.kind, u.kind, s.nowMs).mean * share; e > predictedEffect {
			worst, predictedEffect = u, e
		}
	}
	return worst, predictedEffect
}

// evictAggressor evicts the batch task that slows down t the most, unless it is protected. It does so only if t is
// slower than evictionSpeed and the last throttle step and the last such eviction on the worker are long enough ago to
// show an effect.
func (s *planning) evictAggressor(t *task) {
	w := t.worker
	if t.slowdown < -math.Log(evictionSpeed) || s.nowMs-w.throttledAt < throttleStepMs || s.nowMs-w.slowdownEvictionAt < slowdownEvictionPauseMs {
		return
	}
	aggressor, predictedEffect := s.worstAggressor(t, 0)
	if aggressor == nil || predictedEffect < minAggressorEffect || s.protected(aggressor) {
		return
	}
	w.slowdownEvictionAt = s.nowMs
	s.evict(aggressor, fmt.Sprintf(reasonSlowsDown, t.id))
}

// relieveBlind evicts the batch task with the most cores on t's worker, as a policy without a model of interference
// would.
func (s *planning) relieveBlind(t *task) {
	w := t.worker
	if s.nowMs-w.slowdownEvictionAt < slowdownEvictionPauseMs {
		return
	}
	var largest *task
	for _, u := range w.tasks {
		if u.batch() && !u.evicting() && !s.protected(u) && (largest == nil || u.size.Cores > largest.size.Cores) {
			largest = u
		}
	}
	if largest != nil {
		w.slowdownEvictionAt = s.nowMs
		s.evict(largest, fmt.Sprintf(reasonSlowNeighbour, t.id))
	}
}

// raiseShares doubles the share of throttled tasks on workers without slow tasks, up to 1.
func (s *planning) raiseShares() {
	for _, t := range slices.Clone(s.cache.throttled) {
		if s.nowMs-t.throttle.since < t.throttle.hold || t.worker.hasSlowTask() {
			continue
		}
		s.setShare(t, min(1, 2*t.throttle.share))
	}
}

// hasSlowTask reports whether a task on w is in cache.slowTasks.
func (w *worker) hasSlowTask() bool {
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.tooSlow })
}

// setShare proposes a throttle and stores it in the cache, since throttles are not part of the replicated state.
func (s *planning) setShare(t *task, share float64) {
	old := t.throttle.currentShare()
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
	s.addDecision(t.id, t.worker.id, fmt.Sprintf("throttle to %.2f of the declared cores", share), 0)
}
