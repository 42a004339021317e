// Package sim runs a planner against a simulated failure domain: a state machine that checks every proposal, workers
// that slow tasks down by what runs beside them, and usage reports that arrive late.
package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
)

// Planner is the part of a planner that the simulation drives.
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

// World is the state of a simulated domain. Advance moves its clock.
type World struct {
	Planner   Planner
	Now       time.Time
	Tasks     map[string]*pb.Task
	Workers   map[string]*pb.Worker
	Contracts map[string]*pb.ResolvedContract
	// Evictions counts committed evictions.
	Evictions int
	// Shares holds throttles in force by task.
	Shares map[string]float64
	// placed lists the tasks on each worker in order of placement, so that runs do not depend on map iteration.
	placed map[string][]*pb.Task
}

// NewWorld returns an empty world. The planner that attach returns must take its time from the given clock.
func NewWorld(start time.Time, attach func(now func() time.Time) Planner) *World {
	w := &World{
		Now: start, Tasks: map[string]*pb.Task{}, Workers: map[string]*pb.Worker{},
		Contracts: map[string]*pb.ResolvedContract{}, Shares: map[string]float64{}, placed: map[string][]*pb.Task{},
	}
	w.Planner = attach(func() time.Time { return w.Now })
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

// AddContract grants a contract in full.
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

// End finishes, fails or cancels a task and forgets it.
func (w *World) End(t *pb.Task, state pb.TaskState) {
	w.SetState(t, state)
	w.Planner.RemoveTask(t.GetId())
	delete(w.Tasks, t.GetId())
}

// FailStart reports a failed start.
func (w *World) FailStart(t *pb.Task) {
	t.Failures++
	t.FailedOn = append(t.FailedOn[:len(t.FailedOn):len(t.FailedOn)], t.GetWorker())
	w.SetState(t, pb.TaskState_TASK_STATE_QUEUED)
}

func (w *World) requeue(t *pb.Task) { w.SetState(t, pb.TaskState_TASK_STATE_QUEUED) }

// EndEviction reports the end of an attempt that was evicted.
func (w *World) EndEviction(t *pb.Task) { w.requeue(t) }

// On returns the tasks that occupy a worker, in order of placement. The list is valid until the next change.
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

// Placed reports whether a task occupies a worker.
func Placed(t *pb.Task) bool {
	switch t.GetState() {
	case pb.TaskState_TASK_STATE_STARTING, pb.TaskState_TASK_STATE_RUNNING, pb.TaskState_TASK_STATE_EVICTING:
		return true
	}
	return false
}

// Step plans, checks the plan against the world and commits it. Violations are returned and nothing is committed.
func (w *World) Step(max int) (placement.Plan, error) {
	plan := w.Planner.Plan(w.Now, max)
	if err := w.Check(plan); err != nil {
		return plan, fmt.Errorf("plan at %s: %w", w.Now.Format(time.RFC3339Nano), err)
	}
	w.Commit(plan)
	return plan, nil
}

// Commit applies a plan.
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
