package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
)

// Planner decides what runs where. Only the leader calls it, from one goroutine.
type Planner interface {
	UpsertWorker(w *pb.Worker)
	RemoveWorker(id string)
	// UpsertTask takes a task in any state; ended tasks leave the queue and free capacity.
	UpsertTask(t *pb.Task)
	RemoveTask(id string)
	// SetContract sets a contract and the share of its limits in this domain.
	SetContract(c *pb.ResolvedContract)
	RemoveContract(name string)
	// Observe takes measured usage; late samples count for the time they were taken.
	Observe(worker string, s *pb.UsageSample)
	// Plan is pure over the cache: it proposes and changes nothing.
	Plan(now time.Time, max int) Plan
}

// The planner's types are those of package placement.
type (
	// Plan is what a planner proposes.
	Plan = placement.Plan
	// Throttle limits a running attempt to a share of its declared cores.
	Throttle = placement.Throttle
	// Decision explains one placement or refusal.
	Decision = placement.Decision
)

// FirstFit is a minimal planner: the first ready worker with room takes the first queued task.
// It serves as a baseline and knows neither contracts nor measured usage.
type FirstFit struct {
	workers  map[string]*pb.Worker
	assigned map[string]*pb.Task
	queued   map[string]*pb.Task
}

// NewFirstFit returns an empty first-fit planner.
func NewFirstFit() *FirstFit {
	return &FirstFit{workers: map[string]*pb.Worker{}, assigned: map[string]*pb.Task{}, queued: map[string]*pb.Task{}}
}

// UpsertWorker implements Planner.
func (f *FirstFit) UpsertWorker(w *pb.Worker) { f.workers[w.GetId()] = w }

// RemoveWorker implements Planner.
func (f *FirstFit) RemoveWorker(id string) { delete(f.workers, id) }

// UpsertTask implements Planner.
func (f *FirstFit) UpsertTask(t *pb.Task) {
	f.RemoveTask(t.GetId())
	switch {
	case domain.Assigned(t.GetState()):
		f.assigned[t.GetId()] = t
	case !domain.Ended(t.GetState()):
		f.queued[t.GetId()] = t
	}
}

// RemoveTask implements Planner.
func (f *FirstFit) RemoveTask(id string) {
	delete(f.assigned, id)
	delete(f.queued, id)
}

// SetContract implements Planner.
func (f *FirstFit) SetContract(*pb.ResolvedContract) {}

// RemoveContract implements Planner.
func (f *FirstFit) RemoveContract(string) {}

// Observe implements Planner.
func (f *FirstFit) Observe(string, *pb.UsageSample) {}

// Plan implements Planner.
func (f *FirstFit) Plan(_ time.Time, limit int) Plan {
	free := f.free()
	var plan Plan
	for _, t := range sortedTasks(f.queued) {
		if len(plan.Placements) >= limit {
			break
		}
		f.placeFirst(&plan, t, free)
	}
	return plan
}

type freeWorker struct {
	worker *pb.Worker
	left   pb.Resources
}

func (f *FirstFit) free() []*freeWorker {
	byID := map[string]*freeWorker{}
	var free []*freeWorker
	for id, w := range f.workers {
		if w.GetState() != pb.WorkerState_WORKER_STATE_READY {
			continue
		}
		c := w.GetCapacity()
		byID[id] = &freeWorker{worker: w}
		add(&byID[id].left, c, 1)
		free = append(free, byID[id])
	}
	for _, t := range f.assigned {
		if w := byID[t.GetWorker()]; w != nil {
			add(&w.left, t.GetSpec().GetResources(), -1)
		}
	}
	slices.SortFunc(free, func(a, b *freeWorker) int { return cmp.Compare(a.worker.GetId(), b.worker.GetId()) })
	return free
}

func (f *FirstFit) placeFirst(plan *Plan, t *pb.Task, free []*freeWorker) {
	for n, w := range free {
		if !fits(t.GetSpec().GetResources(), &w.left) {
			continue
		}
		add(&w.left, t.GetSpec().GetResources(), -1)
		plan.Placements = append(plan.Placements, &pb.Placement{Task: t.GetId(), Attempt: t.GetAttempt() + 1,
			Worker: w.worker.GetId(), WorkerEpoch: w.worker.GetEpoch()})
		plan.Decisions = append(plan.Decisions, Decision{Task: t.GetId(), Worker: w.worker.GetId(), Reason: "first fit", Considered: n + 1})
		return
	}
}

func add(sum *pb.Resources, r *pb.Resources, sign int64) {
	sum.Millicores += sign * r.GetMillicores()
	sum.MemoryBytes += sign * r.GetMemoryBytes()
	sum.Accelerators += sign * r.GetAccelerators()
}

func fits(r, in *pb.Resources) bool {
	return r.GetMillicores() <= in.GetMillicores() && r.GetMemoryBytes() <= in.GetMemoryBytes() && r.GetAccelerators() <= in.GetAccelerators()
}

func sortedTasks(tasks map[string]*pb.Task) []*pb.Task {
	sorted := make([]*pb.Task, 0, len(tasks))
	for _, t := range tasks {
		sorted = append(sorted, t)
	}
	slices.SortFunc(sorted, func(a, b *pb.Task) int {
		return cmp.Or(cmp.Compare(a.GetSubmittedUnixMs(), b.GetSubmittedUnixMs()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return sorted
}
