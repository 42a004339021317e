package placement

import "github.com/lentilyard/lentilyard/internal/pb"

// worker is the cached state of a worker. The fields read by every placement decision come first, to limit the CPU
// cache misses of a worker that was not read recently.
type worker struct {
	state pb.WorkerState
	// known is false for a worker that tasks refer to but that is not registered, or not any more.
	known    bool
	rack     rackID
	starting int32 // tasks in state starting, and queued ones that the current plan places here
	// reservedFor is the bucket that this worker is reserved for, or nil.
	reservedFor *bucket
	groups      []taskGroup
	capacity    vector
	// used is the sum of the occupied sizes of its tasks (see allocation) and of the untracked usage.
	used   vector
	health health

	id    string
	epoch uint64
	slot  int
	// releasing is the part of used held by tasks that are being evicted, evictable that of the other batch tasks.
	releasing, evictable vector
	untracked            []untrackedUsage
	tasks                []*task
	past                 runHistory
	drainStartedAt       int64 // when draining began, Unix ms
	// slowdownEvictionAt is when a task was last evicted here because it slowed down a neighbour. Unix ms.
	slowdownEvictionAt int64
	throttledAt        int64 // when a share was last lowered here, Unix ms
}

// taskGroup summarises the tasks of one kind and class on a worker. Scoring a worker reads all of its groups, so the
// struct is kept small.
type taskGroup struct {
	kind  kindID
	count int16
	class int8 // pb.TaskClass
	// slowdown is the moving average of -ln(speed) of the tasks.
	slowdown float32
	// slowdownWeight is slowdownWeight(slowdown), updated with each sample; 1 before the first.
	slowdownWeight float32
}

func (g *taskGroup) contains(t *task) bool { return g.kind == t.kind && g.class == int8(t.class) }

// ready reports whether w is registered and in state ready.
func (w *worker) ready() bool {
	return w.known && w.state == pb.WorkerState_WORKER_STATE_READY
}

// live reports whether w is registered and not lost. A draining or quarantined worker is live.
func (w *worker) live() bool {
	return w.known && w.state != pb.WorkerState_WORKER_STATE_LOST
}

// room returns the unused capacity. It is negative if more is in use than the capacity.
func (w *worker) room() vector { return w.capacity.Minus(w.used) }

// free returns the room for tasks of any class, or unavailable if w takes no tasks or is reserved for some.
func (w *worker) free() vector {
	if !w.ready() || w.reservedFor != nil || w.health.probing && w.starting > 0 {
		return unavailable
	}
	return w.room()
}

// reclaimable returns the room on w once the evictions in progress have ended and if all batch tasks were evicted, or
// unavailable if w takes no urgent tasks. Reservations don't matter, since they don't apply to urgent tasks.
func (w *worker) reclaimable() vector {
	if !w.ready() || w.health.probing {
		return unavailable
	}
	return w.room().Plus(w.releasing).Plus(w.evictable)
}

// freeSoon returns the room on w once the evictions in progress have ended, or unavailable if there are none or w takes
// no tasks.
func (w *worker) freeSoon() vector {
	if !w.ready() || w.health.probing || w.releasing == (vector{}) {
		return unavailable
	}
	return w.room().Plus(w.releasing)
}

// liveCapacity returns the capacity of a live worker, and unavailable for others.
func (w *worker) liveCapacity() vector {
	if !w.live() {
		return unavailable
	}
	return w.capacity
}

// addToGroup counts t in its group on w, and as starting if it does not run yet.
func (w *worker) addToGroup(t *task) {
	if t.state == pb.TaskState_TASK_STATE_STARTING || t.state == pb.TaskState_TASK_STATE_QUEUED {
		w.starting++
	}
	for i := range w.groups {
		if g := &w.groups[i]; g.contains(t) {
			g.count++
			return
		}
	}
	w.groups = append(w.groups, taskGroup{kind: t.kind, class: int8(t.class), count: 1, slowdownWeight: 1})
}

// removeFromGroup undoes addToGroup. The state of t must not have changed in between.
func (w *worker) removeFromGroup(t *task) {
	if t.state == pb.TaskState_TASK_STATE_STARTING || t.state == pb.TaskState_TASK_STATE_QUEUED {
		w.starting--
	}
	for i := range w.groups {
		g := &w.groups[i]
		if !g.contains(t) {
			continue
		}
		if g.count--; g.count == 0 {
			last := len(w.groups) - 1
			w.groups[i] = w.groups[last]
			w.groups = w.groups[:last]
		}
		return
	}
}

// countOccupied adds (sign 1) or subtracts (sign -1) what t occupies on w.
func (w *worker) countOccupied(t *task, sign int64) {
	held := t.occupied.Times(sign)
	w.used = w.used.Plus(held)
	switch {
	case t.evicting():
		w.releasing = w.releasing.Plus(held)
	case t.batch():
		w.evictable = w.evictable.Plus(held)
	}
}
