package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
)

// Planner decides which worker runs which task. It keeps a cache of workers, tasks and contracts that the leader
// updates. All methods are called from one goroutine.
type Planner interface {
	UpsertWorker(w *pb.Worker)
	RemoveWorker(id string)
	// UpsertTask adds or updates a task in any state; a task that has ended leaves the queue and frees its capacity.
	UpsertTask(t *pb.Task)
	RemoveTask(id string)
	// SetContract adds or updates a contract; its limits are this domain's share.
	SetContract(c *pb.ResolvedContract)
	RemoveContract(name string)
	// Observe records a usage sample of a worker. A late sample counts for the time at which it was taken.
	Observe(worker string, s *pb.UsageSample)
	// Plan returns proposals based on the cache and does not change the cache.
	Plan(now time.Time, max int) Plan
}

// The planner's types are those of package placement.
type (
	// Plan holds the placements, evictions and other changes that a planner proposes.
	Plan = placement.Plan
	// Throttle limits a running attempt to a share of its declared cores.
	Throttle = placement.Throttle
	// Decision explains one placement or refusal.
	Decision = placement.Decision
)

// FirstFit is a minimal planner: it places queued tasks in the order of their submission, each on the first ready
// worker with enough free capacity. It serves as a baseline and considers neither contracts nor measured usage.
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
	free := f.freeWorkers()
	var plan Plan
	for _, t := range sortedBySubmission(f.queued) {
		if len(plan.Placements) >= limit {
			break
		}
		f.placeFirst(&plan, t, free)
	}
	return plan
}

// freeWorker is a worker with the capacity that is left on it.
type freeWorker struct {
	worker *pb.Worker
	left   pb.Resources
}

// freeWorkers returns the ready workers with their free capacity, ordered by id.
func (f *FirstFit) freeWorkers() []*freeWorker {
	byID := map[string]*freeWorker{}
	var free []*freeWorker
	for id, w := range f.workers {
		if w.GetState() != pb.WorkerState_WORKER_STATE_READY {
			continue
		}
		c := w.GetCapacity()
		byID[id] = &freeWorker{worker: w}
		addResources(&byID[id].left, c, 1)
		free = append(free, byID[id])
	}
	for _, t := range f.assigned {
		if w := byID[t.GetWorker()]; w != nil {
			addResources(&w.left, t.GetSpec().GetResources(), -1)
		}
	}
	slices.SortFunc(free, func(a, b *freeWorker) int { return cmp.Compare(a.worker.GetId(), b.worker.GetId()) })
	return free
}

// placeFirst adds a placement of the task on the first worker with enough free capacity, if there is one.
func (f *FirstFit) placeFirst(plan *Plan, t *pb.Task, free []*freeWorker) {
	for n, w := range free {
		if !fits(t.GetSpec().GetResources(), &w.left) {
			continue
		}
		addResources(&w.left, t.GetSpec().GetResources(), -1)
		plan.Placements = append(plan.Placements, &pb.Placement{Task: t.GetId(), Attempt: t.GetAttempt() + 1,
			Worker: w.worker.GetId(), WorkerEpoch: w.worker.GetEpoch()})
		plan.Decisions = append(plan.Decisions, Decision{Task: t.GetId(), Worker: w.worker.GetId(), Reason: "first fit", Considered: n + 1})
		return
	}
}

// addResources adds sign times r to sum; sign is 1 or -1.
func addResources(sum *pb.Resources, r *pb.Resources, sign int64) {
	sum.Millicores += sign * r.GetMillicores()
	sum.MemoryBytes += sign * r.GetMemoryBytes()
	sum.Accelerators += sign * r.GetAccelerators()
}

func fits(r, capacity *pb.Resources) bool {
	return r.GetMillicores() <= capacity.GetMillicores() && r.GetMemoryBytes() <= capacity.GetMemoryBytes() && r.GetAccelerators() <= capacity.GetAccelerators()
}

// sortedBySubmission returns the tasks ordered by the time of their submission, then by id.
func sortedBySubmission(tasks map[string]*pb.Task) []*pb.Task {
	sorted := make([]*pb.Task, 0, len(tasks))
	for _, t := range tasks {
		sorted = append(sorted, t)
	}
	slices.SortFunc(sorted, func(a, b *pb.Task) int {
		return cmp.Or(cmp.Compare(a.GetSubmittedUnixMs(), b.GetSubmittedUnixMs()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return sorted
}
