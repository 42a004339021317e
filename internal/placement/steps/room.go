package steps

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/resources"
)

// Room is the room on the workers of a snapshot before a plan is made.
type Room struct {
	workers []*Worker
	free    []resources.Vector // by position of the worker
}

// NewRoom returns the room on the given workers.
func NewRoom(workers []*Worker) *Room {
	room := &Room{workers: workers, free: make([]resources.Vector, len(workers))}
	for i, w := range workers {
		room.free[i] = w.free()
	}
	return room
}

// free returns the part of the capacity that no resident reserves.
func (w *Worker) free() resources.Vector {
	free := w.Capacity
	for i := range w.Residents {
		free = free.Minus(ReservedSize(w.Residents[i].Step))
	}
	return free
}

// MayRun reports whether the tasks of a request may run on the worker by its pool, state and labels.
func (w *Worker) MayRun(r *Request) bool {
	return w.Usable && w.Pool == r.Pool && w.hasLabelFor(r)
}

// hasLabelFor reports whether the worker has the label that the tasks of a request need, if any.
func (w *Worker) hasLabelFor(r *Request) bool {
	return r.Spec.GetLabel() == "" || slices.Contains(w.Labels, r.Spec.GetLabel())
}

// Slots returns how many waiting tasks of a request find room on the worker at the given position, whatever the policy of the queue.
func (m *Room) Slots(position int, r *Request) int {
	w := m.workers[position]
	slots := 0
	for _, t := range r.Waiting {
		if t.mayStartOn(w.Incarnation.ID) {
			slots++
		}
	}
	if limit := int(r.Spec.GetMaxPerWorker()); limit > 0 {
		for i := range w.Residents {
			if keyOf(w.Residents[i].Task) == r.key() {
				limit--
			}
		}
		slots = min(slots, max(0, limit))
	}
	return int(min(int64(slots), max(0, ReservedSize(r.Spec).CopiesIn(m.free[position]))))
}
