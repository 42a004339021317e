package placement

import (
	"math"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// untrackedUsage is the measured usage of an attempt that is not placed on the worker according to the cache, such as
// one that has ended for the leader but has not stopped yet.
type untrackedUsage struct {
	task    string
	attempt uint32
	size    vector
	at      int64 // Unix ms
}

const (
	// Weights of a new sample in the moving averages of the slow-down of a task and of a task group.
	taskSlowdownRate  = 0.3
	groupSlowdownRate = 0.1
	// ownUsageAfterMs is how long a task must have run before its own measured usage replaces the size expected for its
	// kind.
	ownUsageAfterMs = 10 * 1000
	maxUntracked    = 64
	// expiryWorkersPerPlan bounds the workers examined for outdated measurements in one plan.
	expiryWorkersPerPlan = 16
)

// observe records a sample. If the attempt is neither placed on the worker nor in its history, a recent sample counts
// as untracked usage.
func (c *cache) observe(worker string, s *pb.UsageSample, now int64) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	taken := min(s.GetTakenUnixMs(), now)
	t := c.tasks[s.GetTask()]
	if t != nil && t.allocation != nil && t.worker == w && t.attempt == s.GetAttempt() {
		c.recordUsage(t, s, taken, now)
		c.learnSpeed(t, s, taken, now)
		return
	}
	if past := w.past.at(s.GetTask(), s.GetAttempt(), taken); past != nil {
		if past.share == 1 {
			c.learnInterference(w, past.kind, s, taken)
		}
		return
	}
	if now-taken <= c.freshnessMs() {
		w.addUntracked(untrackedUsage{s.GetTask(), s.GetAttempt(), measuredSize(s), taken})
		c.updateIndexes(w)
	}
}

func (c *cache) freshnessMs() int64 { return c.config.UsageFreshness.Milliseconds() }

func measuredSize(s *pb.UsageSample) vector {
	return vector{Cores: max(0, s.GetMillicores()), Memory: max(0, s.GetMemoryBytes())}
}

// recordUsage updates the measured usage of a placed task and the usage history of its kind. Samples that arrive out of
// order or too late only enter the history.
func (c *cache) recordUsage(t *task, s *pb.UsageSample, taken, now int64) {
	size := measuredSize(s)
	history := &c.kindInfo[t.kind].usage
	history.memory.add(size.Memory, t.size.Memory)
	if t.throttle.shareAt(taken) == 1 {
		history.cores.add(size.Cores, t.size.Cores)
	}
	if taken <= t.measuredAt || now-taken > c.freshnessMs() {
		return
	}
	size.Accelerators = t.size.Accelerators
	t.measured, t.measuredAt = size, taken
	c.updateOccupied(t, now)
}

// updateOccupied recomputes what t occupies: the largest of its declared, expected and measured size. The expected size
// no longer counts once the task has run for ownUsageAfterMs and is measured.
func (c *cache) updateOccupied(t *task, now int64) {
	size := t.size
	if t.measuredAt == 0 || t.runningSince == 0 || now-t.runningSince < ownUsageAfterMs {
		size = c.expectedSize(t)
	}
	size = size.Max(t.measured)
	if size == t.occupied {
		return
	}
	t.worker.countOccupied(t, -1)
	t.occupied = size
	t.worker.countOccupied(t, 1)
	c.updateIndexes(t.worker)
}

// learnSpeed updates the interference model and the slow-down of t and its group from a sample. Samples of throttled or
// starting tasks are ignored, and late ones only update the model.
func (c *cache) learnSpeed(t *task, s *pb.UsageSample, taken, now int64) {
	speed := s.GetSpeed()
	if !(speed > 0) || t.throttle.shareAt(taken) < 1 || t.runningSince == 0 || taken < t.runningSince {
		return
	}
	c.learnInterference(t.worker, t.kind, s, taken)
	slowdown := -math.Log(min(1, max(minSpeed, speed)))
	if now-taken > c.freshnessMs() {
		return
	}
	t.slowdown += taskSlowdownRate * (slowdown - t.slowdown)
	for i := range t.worker.groups {
		if g := &t.worker.groups[i]; g.contains(t) {
			g.slowdown += groupSlowdownRate * (float32(slowdown) - g.slowdown)
			g.slowdownWeight = float32(slowdownWeight(float64(g.slowdown)))
		}
	}
	c.updateSlowTasks(t)
}

// learnInterference updates the effects on a victim kind of the tasks that ran on w when the sample was taken.
func (c *cache) learnInterference(w *worker, victim kindID, s *pb.UsageSample, taken int64) {
	neighbours, complete := w.neighboursAt(s.GetTask(), s.GetAttempt(), taken, c.neighbours[:0])
	c.neighbours = neighbours
	if complete {
		c.model.learn(victim, neighbours, s.GetSpeed(), taken)
	}
}

// addUntracked adds u or replaces the earlier usage of the same attempt. Beyond maxUntracked, new attempts are ignored.
func (w *worker) addUntracked(u untrackedUsage) {
	for i := range w.untracked {
		old := &w.untracked[i]
		if old.task == u.task && old.attempt == u.attempt {
			w.used = w.used.Minus(old.size).Plus(u.size)
			*old = u
			return
		}
	}
	if len(w.untracked) < maxUntracked {
		w.untracked = append(w.untracked, u)
		w.used = w.used.Plus(u.size)
	}
}

// dropUntracked removes the untracked usage of an attempt that is now placed on w.
func (w *worker) dropUntracked(task string, attempt uint32) {
	w.keepUntracked(func(u untrackedUsage) bool { return u.task != task || u.attempt != attempt })
}

// keepUntracked removes the untracked usage for which keep returns false.
func (w *worker) keepUntracked(keep func(untrackedUsage) bool) {
	w.untracked = slices.DeleteFunc(w.untracked, func(u untrackedUsage) bool {
		if keep(u) {
			return false
		}
		w.used = w.used.Minus(u.size)
		return true
	})
}

// expireUsage drops outdated measurements on the next few workers, in a cycle over all of them. Without a measurement,
// a task counts with its declared and expected size.
func (c *cache) expireUsage(now int64) {
	for range min(expiryWorkersPerPlan, len(c.slots)) {
		c.expirySlot = (c.expirySlot + 1) % len(c.slots)
		if w := c.slots[c.expirySlot]; w != nil {
			c.expireWorker(w, now)
		}
	}
}

// expireWorker drops the measurements on w that are older than Config.UsageFreshness.
func (c *cache) expireWorker(w *worker, now int64) {
	oldest := now - c.freshnessMs()
	for _, t := range w.tasks {
		if t.measuredAt > 0 && t.measuredAt < oldest {
			t.measured, t.measuredAt = vector{}, 0
			c.updateOccupied(t, now)
		}
	}
	if len(w.untracked) > 0 {
		w.keepUntracked(func(u untrackedUsage) bool { return u.at >= oldest })
		c.updateIndexes(w)
	}
}
