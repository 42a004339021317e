package placement

import (
	"math"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// strayUsage is measured usage of an attempt that the cache does not know to be on the worker, such as one that the
// leader has closed but that has not stopped.
type strayUsage struct {
	task    string
	attempt uint32
	size    vector
	at      int64 // Unix ms
}

const (
	// Time constants of the slow-down of a task and of a kind on a worker, as weights of one sample.
	taskSlowRate  = 0.3
	groupSlowRate = 0.1
	// A task that ran this long is judged by its own usage and no longer by that of its kind.
	ownUsageAfterMs = 10 * 1000
	maxStray        = 64
	// Workers examined for outdated measurements in one plan.
	sweepWorkers = 16
)

func (c *cache) observe(worker string, s *pb.UsageSample, now int64) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	taken := min(s.GetTakenUnixMs(), now)
	t := c.tasks[s.GetTask()]
	if t != nil && t.stay != nil && t.worker == w && t.attempt == s.GetAttempt() {
		c.measure(t, s, taken, now)
		c.learnSpeed(t, s, taken, now)
		return
	}
	if past := w.past.at(s.GetTask(), s.GetAttempt(), taken); past != nil {
		if past.share == 1 {
			c.learnPair(w, past.kind, s, taken)
		}
		return
	}
	if now-taken <= c.freshMs() {
		w.addStray(strayUsage{s.GetTask(), s.GetAttempt(), measuredSize(s), taken})
		c.refresh(w)
	}
}

func (c *cache) freshMs() int64 { return c.config.UsageFreshness.Milliseconds() }

func measuredSize(s *pb.UsageSample) vector {
	return vector{Cores: max(0, s.GetMillicores()), Memory: max(0, s.GetMemoryBytes())}
}

// measure takes over the usage of a placed task. Samples that arrive out of order or too late do not replace it.
func (c *cache) measure(t *task, s *pb.UsageSample, taken, now int64) {
	size := measuredSize(s)
	sizes := &c.kindInfo[t.kind].sizes
	sizes.memory.add(size.Memory, t.size.Memory)
	if t.throttle.shareAt(taken) == 1 {
		sizes.cores.add(size.Cores, t.size.Cores)
	}
	if taken <= t.measuredAt || now-taken > c.freshMs() {
		return
	}
	size.Accelerators = t.size.Accelerators
	t.measured, t.measuredAt = size, taken
	c.recharge(t, now)
}

// recharge counts t with the largest of its declared, expected and measured size.
func (c *cache) recharge(t *task, now int64) {
	size := t.size
	if t.measuredAt == 0 || t.running == 0 || now-t.running < ownUsageAfterMs {
		size = c.demand(t)
	}
	size = size.Max(t.measured)
	if size == t.occupied {
		return
	}
	t.worker.bear(t, -1)
	t.occupied = size
	t.worker.bear(t, 1)
	c.refresh(t.worker)
}

// learnSpeed updates the slow-down of t and the effects of what ran beside it when the sample was taken.
func (c *cache) learnSpeed(t *task, s *pb.UsageSample, taken, now int64) {
	speed := s.GetSpeed()
	if !(speed > 0) || t.throttle.shareAt(taken) < 1 || t.running == 0 || taken < t.running {
		return
	}
	c.learnPair(t.worker, t.kind, s, taken)
	slow := -math.Log(min(1, max(minSpeed, speed)))
	if now-taken > c.freshMs() {
		return
	}
	t.slow += taskSlowRate * (slow - t.slow)
	for i := range t.worker.groups {
		if g := &t.worker.groups[i]; g.of(t) {
			g.slow += groupSlowRate * (float32(slow) - g.slow)
			g.worsened = float32(worsened(float64(g.slow)))
		}
	}
	c.updateSuffering(t)
}

func (c *cache) learnPair(w *worker, victim kindID, s *pb.UsageSample, taken int64) {
	neighbours, complete := w.neighboursAt(s.GetTask(), s.GetAttempt(), taken, c.neighbours[:0])
	c.neighbours = neighbours
	if complete {
		c.model.learn(victim, neighbours, s.GetSpeed(), taken)
	}
}

func (w *worker) addStray(u strayUsage) {
	for i := range w.stray {
		old := &w.stray[i]
		if old.task == u.task && old.attempt == u.attempt {
			w.used = w.used.Minus(old.size).Plus(u.size)
			*old = u
			return
		}
	}
	if len(w.stray) < maxStray {
		w.stray = append(w.stray, u)
		w.used = w.used.Plus(u.size)
	}
}

// dropStray stops counting the stray usage of an attempt that the cache knows from now on.
func (w *worker) dropStray(task string, attempt uint32) {
	w.keepStray(func(u strayUsage) bool { return u.task != task || u.attempt != attempt })
}

func (w *worker) keepStray(keep func(strayUsage) bool) {
	w.stray = slices.DeleteFunc(w.stray, func(u strayUsage) bool {
		if keep(u) {
			return false
		}
		w.used = w.used.Minus(u.size)
		return true
	})
}

// expireUsage drops outdated measurements on a few workers; every worker has its turn. Where a report is missing, the
// declared and expected sizes count again.
func (c *cache) expireUsage(now int64) {
	for range min(sweepWorkers, len(c.slots)) {
		c.sweep = (c.sweep + 1) % len(c.slots)
		if w := c.slots[c.sweep]; w != nil {
			c.expireWorker(w, now)
		}
	}
}

func (c *cache) expireWorker(w *worker, now int64) {
	oldest := now - c.freshMs()
	for _, t := range w.tasks {
		if t.measuredAt > 0 && t.measuredAt < oldest {
			t.measured, t.measuredAt = vector{}, 0
			c.recharge(t, now)
		}
	}
	if len(w.stray) > 0 {
		w.keepStray(func(u strayUsage) bool { return u.at >= oldest })
		c.refresh(w)
	}
}
