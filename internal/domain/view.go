package domain

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// View reads the state from any goroutine. The returned messages are immutable.
type View struct{ s *State }

// Filter selects tasks. Empty fields select all.
type Filter struct {
	Member   string
	Contract string
	Worker   string
	States   []pb.TaskState
}

func (f Filter) matches(t *pb.Task) bool {
	spec := t.GetSpec()
	return (f.Member == "" || f.Member == spec.GetMember()) &&
		(f.Contract == "" || f.Contract == spec.GetContract()) &&
		(f.Worker == "" || f.Worker == t.GetWorker()) &&
		(len(f.States) == 0 || slices.Contains(f.States, t.GetState()))
}

// View returns a reader of the latest applied state.
func (s *State) View() *View { return &View{s} }

// Applied returns the term and index of the last applied entry.
func (v *View) Applied() (term, index uint64) {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	return v.s.term, v.s.index
}

// Task returns the task with this id, or nil.
func (v *View) Task(id string) *pb.Task {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	return v.s.tasks[id]
}

// Tasks returns the selected tasks ordered by id.
func (v *View) Tasks(filter Filter) []*pb.Task {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	var selected []*pb.Task
	for _, t := range v.s.tasks {
		if filter.matches(t) {
			selected = append(selected, t)
		}
	}
	slices.SortFunc(selected, compareTasks)
	return selected
}

func compareTasks(a, b *pb.Task) int { return cmp.Compare(a.GetId(), b.GetId()) }

// Workers returns all workers ordered by id.
func (v *View) Workers() []*pb.Worker {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	all := make([]*pb.Worker, 0, len(v.s.workers))
	for _, id := range slices.Sorted(maps.Keys(v.s.workers)) {
		all = append(all, v.s.workers[id].pb)
	}
	return all
}

// Worker returns the worker with this id, or nil.
func (v *View) Worker(id string) *pb.Worker {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	if w := v.s.workers[id]; w != nil {
		return w.pb
	}
	return nil
}

// Used returns what occupies a worker, closed attempts that it still runs included.
func (v *View) Used(id string) *pb.Resources {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	if w := v.s.workers[id]; w != nil {
		return w.used.proto()
	}
	return &pb.Resources{}
}

// Assigned returns the tasks whose current attempt is assigned to a worker.
func (v *View) Assigned(id string) []*pb.Task {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	w := v.s.workers[id]
	if w == nil {
		return nil
	}
	tasks := make([]*pb.Task, 0, len(w.tasks))
	for taskID := range w.tasks {
		tasks = append(tasks, v.s.tasks[taskID])
	}
	slices.SortFunc(tasks, compareTasks)
	return tasks
}

// Held reports whether a closed attempt is recorded as still occupying its worker.
func (v *View) Held(workerID, task string, attempt uint32) bool {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	w := v.s.workers[workerID]
	if w == nil {
		return false
	}
	_, ok := w.held[attemptKey{task, attempt}]
	return ok
}

// Drained reports whether an operator drains the target.
func (v *View) Drained(id string) bool {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	_, ok := v.s.drained[id]
	return ok
}

// Record returns the request record of a key, or nil.
func (v *View) Record(member, key string) *pb.RequestRecord {
	v.s.mu.RLock()
	defer v.s.mu.RUnlock()
	k, ok := v.s.records.find(member, key)
	if !ok {
		return nil
	}
	if r, exists := v.s.records.byKey[k]; exists {
		return v.s.records.proto(k, r)
	}
	return nil
}
