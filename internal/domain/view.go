package domain

import (
	"cmp"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// View is the immutable state after one entry. The messages that it returns must not be modified.
type View struct{ content }

// Filter selects tasks by the fields that are set. The zero value selects all tasks.
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

// Applied returns the term and index of the last applied entry.
func (v *View) Applied() (term, index uint64) { return v.term, v.index }

// Counts returns the number of tasks, workers and request records.
func (v *View) Counts() (tasks, workers, records int) {
	return v.tasks.size, v.workers.size, v.records.size
}

// Task returns the task with the given id, or nil if it does not exist.
func (v *View) Task(id string) *pb.Task { return v.tasks.value(id) }

// Tasks returns the tasks that match the filter, ordered by id.
func (v *View) Tasks(filter Filter) []*pb.Task {
	var selected []*pb.Task
	for _, t := range v.tasks.all {
		if filter.matches(t) {
			selected = append(selected, t)
		}
	}
	slices.SortFunc(selected, func(a, b *pb.Task) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return selected
}

// EachTask calls f for every task, in unspecified order.
func (v *View) EachTask(f func(*pb.Task)) {
	for _, t := range v.tasks.all {
		f(t)
	}
}

// Workers returns all workers ordered by id.
func (v *View) Workers() []*pb.Worker {
	all := make([]*pb.Worker, 0, v.workers.size)
	for _, w := range v.workers.all {
		all = append(all, w.pb)
	}
	slices.SortFunc(all, func(a, b *pb.Worker) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return all
}

// Worker returns the worker with the given id, or nil if it does not exist.
func (v *View) Worker(id string) *pb.Worker {
	if w := v.workers.value(id); w != nil {
		return w.pb
	}
	return nil
}

// Used returns the resources that are taken on a worker, including those of closed attempts that it still runs.
func (v *View) Used(id string) *pb.Resources {
	if w := v.workers.value(id); w != nil {
		return w.used.proto()
	}
	return &pb.Resources{}
}

// Assigned returns the tasks whose current attempt is assigned to the worker with the given id.
func (v *View) Assigned(id string) []*pb.Task {
	w := v.workers.value(id)
	if w == nil {
		return nil
	}
	tasks := make([]*pb.Task, 0, len(w.assigned))
	for _, a := range w.assigned {
		tasks = append(tasks, v.tasks.value(a.task))
	}
	return tasks
}

// Held returns the closed attempts that still take resources on a worker because it has not reported them as stopped.
func (v *View) Held(id string) []*pb.AttemptRef {
	w := v.workers.value(id)
	if w == nil {
		return nil
	}
	var refs []*pb.AttemptRef
	for _, a := range w.held {
		refs = append(refs, &pb.AttemptRef{Task: a.task, Attempt: a.attempt, Resources: a.size.proto()})
	}
	return refs
}

// Drained reports whether an operator has drained the target.
func (v *View) Drained(id string) bool {
	_, ok := v.drained.get(id)
	return ok
}

// Record returns the request record of a member's idempotency key, or nil if there is none.
func (v *View) Record(member, key string) *pb.RequestRecord {
	k, err := newRecordKey(member, key)
	if err != nil {
		return nil
	}
	if r := v.records.value(k); r != nil {
		return r.proto(k)
	}
	return nil
}
