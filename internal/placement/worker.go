package placement

import "github.com/lentilyard/lentilyard/internal/pb"

// worker is what the cache knows of a worker. The fields that a decision reads come first, so that a worker which is
// not in the processor's cache costs few misses.
type worker struct {
	state pb.WorkerState
	// known is false if only tasks name the worker so far.
	known    bool
	rack     rackID
	starting int32 // tasks that have not reported that they run
	// reserved is the bucket whose tasks this worker is kept for, or nil.
	reserved *bucket
	groups   []group
	capacity vector
	// used is the sum over its tasks of the largest of declared, corrected and measured size, and of stray usage.
	used   vector
	health health

	id    string
	epoch uint64
	slot  int
	// releasing and evictable are the parts of used held by tasks that are being evicted and by other batch tasks.
	releasing, evictable vector
	// stray is measured usage of attempts that the cache does not know to be here.
	stray   []strayUsage
	tasks   []*task
	past    residences
	drainAt int64 // when draining began, Unix ms
	// relievedAt is when a task was last evicted here to relieve a slow neighbour. Unix ms.
	relievedAt  int64
	throttledAt int64 // when a task was last throttled here, Unix ms
}

// group summarises the tasks of one kind on a worker for scoring. It is kept small, since a decision reads all groups
// of the workers it scores.
type group struct {
	kind  kindID
	count int16
	class int8 // pb.TaskClass
	// slow is the recent mean of -ln(speed) of the group.
	slow float32
	// worsened is the weight of further slow-down of the group; see worsened.
	worsened float32
}

func (g *group) of(t *task) bool { return g.kind == t.kind && g.class == int8(t.class) }

func (w *worker) ready() bool {
	return w.known && w.state == pb.WorkerState_WORKER_STATE_READY
}

// live reports whether w can be expected to run tasks again without registering anew.
func (w *worker) live() bool {
	return w.known && w.state != pb.WorkerState_WORKER_STATE_LOST
}

// room is the capacity that is not in use. It may be negative.
func (w *worker) room() vector { return w.capacity.Minus(w.used) }

// free returns what the index offers to tasks of any class.
func (w *worker) free() vector {
	if !w.ready() || w.reserved != nil || w.health.probing && w.starting > 0 {
		return nothing
	}
	return w.room()
}

// reach returns what an urgent task may obtain by evictions.
func (w *worker) reach() vector {
	if !w.ready() || w.health.probing {
		return nothing
	}
	return w.room().Plus(w.releasing).Plus(w.evictable)
}

// soon returns what will be free once the evictions in progress have ended.
func (w *worker) soon() vector {
	if !w.ready() || w.health.probing || w.releasing == (vector{}) {
		return nothing
	}
	return w.room().Plus(w.releasing)
}

func (w *worker) liveCapacity() vector {
	if !w.live() {
		return nothing
	}
	return w.capacity
}

func (w *worker) join(t *task) {
	if t.state == pb.TaskState_TASK_STATE_STARTING || t.state == pb.TaskState_TASK_STATE_QUEUED {
		w.starting++
	}
	for i := range w.groups {
		if g := &w.groups[i]; g.of(t) {
			g.count++
			return
		}
	}
	w.groups = append(w.groups, group{kind: t.kind, class: int8(t.class), count: 1, worsened: 1})
}

func (w *worker) leave(t *task) {
	if t.state == pb.TaskState_TASK_STATE_STARTING || t.state == pb.TaskState_TASK_STATE_QUEUED {
		w.starting--
	}
	for i := range w.groups {
		g := &w.groups[i]
		if !g.of(t) {
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

// bear adds (sign 1) or takes away (sign -1) what t holds.
func (w *worker) bear(t *task, sign int64) {
	held := t.occupied.Times(sign)
	w.used = w.used.Plus(held)
	switch {
	case t.evicting():
		w.releasing = w.releasing.Plus(held)
	case t.batch():
		w.evictable = w.evictable.Plus(held)
	}
}
