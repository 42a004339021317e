// Package sim runs a planner of package placement against a simulated failure domain. World holds the state of the domain
// and checks every proposal, Drive simulates interference between the tasks on a worker and late usage reports, and Load
// and Memory measure the cost of a planner.
package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
)

// Planner is the planner under test; placement.Planner implements it.
type Planner interface {
	UpsertWorker(w *pb.Worker)
	RemoveWorker(id string)
	UpsertTask(t *pb.Task)
	RemoveTask(id string)
	SetContract(c *pb.ResolvedContract)
	RemoveContract(name string)
	Observe(worker string, s *pb.UsageSample)
	Plan(now time.Time, max int) placement.Plan
}

// World is the state of a simulated domain. The caller advances its clock by setting Now.
type World struct {
	Planner Planner
	Now     time.Time
	// Tasks holds the tasks that have not ended.
	Tasks     map[string]*pb.Task
	Workers   map[string]*pb.Worker
	Contracts map[string]*pb.ResolvedContract
	// Evictions counts committed evictions.
	Evictions int
	// Shares maps throttled tasks to the share of full speed at which they run.
	Shares map[string]float64
	// placed lists the tasks on each worker in order of placement, so that runs do not depend on the iteration order of
	// maps.
	placed map[string][]*pb.Task
}

// NewWorld returns an empty world. The planner that newPlanner returns must read the time from the given clock.
func NewWorld(start time.Time, newPlanner func(now func() time.Time) Planner) *World {
	w := &World{
		Now: start, Tasks: map[string]*pb.Task{}, Workers: map[string]*pb.Worker{},
		Contracts: map[string]*pb.ResolvedContract{}, Shares: map[string]float64{}, placed: map[string][]*pb.Task{},
	}
	w.Planner = newPlanner(func() time.Time { return w.Now })
	return w
}

// AddWorker registers a worker.
func (w *World) AddWorker(m *pb.Worker) {
	w.Workers[m.GetId()] = m
	w.Planner.UpsertWorker(m)
}

// SetWorkerState changes the state of a worker. Losing it queues its tasks again.
func (w *World) SetWorkerState(id string, state pb.WorkerState) {
	m := w.Workers[id]
	m.State = state
	w.Planner.UpsertWorker(m)
	if state != pb.WorkerState_WORKER_STATE_LOST {
		return
	}
	for _, t := range slices.Clone(w.On(id)) {
		w.requeue(t)
	}
}

// AddContract adds a contract with its resolved limits.
func (w *World) AddContract(c *pb.ResolvedContract) {
	w.Contracts[c.GetWritten().GetName()] = c
	w.Planner.SetContract(c)
}

// Submit queues a task.
func (w *World) Submit(t *pb.Task) {
	t.State = pb.TaskState_TASK_STATE_QUEUED
	t.SubmittedUnixMs = w.Now.UnixMilli()
	w.Tasks[t.GetId()] = t
	w.Planner.UpsertTask(t)
}

// SetState changes the state of a task as the domain's state machine would.
func (w *World) SetState(t *pb.Task, state pb.TaskState) {
	wasPlaced, worker := Placed(t), t.GetWorker()
	t.State = state
	if state == pb.TaskState_TASK_STATE_RUNNING {
		t.StartedUnixMs = w.Now.UnixMilli()
	}
	if !Placed(t) {
		t.Worker = ""
		delete(w.Shares, t.GetId())
	}
	w.trackPlaced(t, wasPlaced, worker)
	w.Planner.UpsertTask(t)
}

// End sets the final state of a task and removes it.
func (w *World) End(t *pb.Task, state pb.TaskState) {
	w.SetState(t, state)
	w.Planner.RemoveTask(t.GetId())
	delete(w.Tasks, t.GetId())
}

// FailStart records that a task failed to start on its worker and queues it again.
func (w *World) FailStart(t *pb.Task) {
	t.Failures++
	t.FailedOn = append(t.FailedOn[:len(t.FailedOn):len(t.FailedOn)], t.GetWorker())
	w.SetState(t, pb.TaskState_TASK_STATE_QUEUED)
}

func (w *World) requeue(t *pb.Task) { w.SetState(t, pb.TaskState_TASK_STATE_QUEUED) }

// EndEviction queues a task again whose eviction has been completed.
func (w *World) EndEviction(t *pb.Task) { w.requeue(t) }

// On returns the tasks that are placed on a worker, in order of placement. The list is valid until the next change.
func (w *World) On(worker string) []*pb.Task { return w.placed[worker] }

func (w *World) trackPlaced(t *pb.Task, wasPlaced bool, worker string) {
	switch {
	case wasPlaced && !Placed(t):
		i := slices.Index(w.placed[worker], t)
		w.placed[worker] = slices.Delete(w.placed[worker], i, i+1)
	case !wasPlaced && Placed(t):
		w.placed[t.GetWorker()] = append(w.placed[t.GetWorker()], t)
	}
}

// Placed reports whether a task is starting, running or being evicted, and so uses resources of its worker.
func Placed(t *pb.Task) bool {
	switch t.GetState() {
	case pb.TaskState_TASK_STATE_STARTING, pb.TaskState_TASK_STATE_RUNNING, pb.TaskState_TASK_STATE_EVICTING:
		return true
	}
	return false
}

// Step makes a plan, checks it with Check and commits it. If the plan violates an invariant, Step returns the violation and
// commits nothing.
func (w *World) Step(max int) (placement.Plan, error) {
	plan := w.Planner.Plan(w.Now, max)
	if err := w.Check(plan); err != nil {
		return plan, fmt.Errorf("plan at %s: %w", w.Now.Format(time.RFC3339Nano), err)
	}
	w.Commit(plan)
	return plan, nil
}

// Commit applies a plan without checking it.
func (w *World) Commit(plan placement.Plan) {
	for _, p := range plan.Placements {
		t := w.Tasks[p.GetTask()]
		t.Attempt, t.Worker, t.WorkerEpoch = p.GetAttempt(), p.GetWorker(), p.GetWorkerEpoch()
		w.SetState(t, pb.TaskState_TASK_STATE_STARTING)
	}
	for _, e := range plan.Evictions {
		t := w.Tasks[e.GetTask()]
		t.Evictions++
		w.Evictions++
		w.SetState(t, pb.TaskState_TASK_STATE_EVICTING)
	}
	for _, u := range plan.Unschedulable {
		w.End(w.Tasks[u.GetTask()], pb.TaskState_TASK_STATE_UNSCHEDULABLE)
	}
	for _, s := range plan.WorkerStates {
		w.SetWorkerState(s.GetWorker(), s.GetState())
	}
	for _, t := range plan.Throttles {
		w.Shares[t.Task] = t.Share
	}
}
