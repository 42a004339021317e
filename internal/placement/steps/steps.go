// Package steps decides which workers run the waiting tasks of submissions. A submission is a graph of steps. It earns
// its full value if it finishes by its objective, a part of it for some time after that, and then nothing.
//
// Three kinds of tasks share a worker:
//   - Finite tasks reserve cores and memory and end when their work is done.
//   - Endless tasks reserve cores and memory and run until their submission is cancelled. Those with a limit on their
//     tail latency are called services.
//   - Filling tasks reserve memory only and run on CPU time that the others leave unused. They may slow down the
//     services on the same worker, and are then throttled, moved or not started there.
//
// Package placement solves a different problem: it divides capacity among the contracts of many members over hours. It
// knows quotas and fair shares, but no dependencies between steps and no objectives within seconds.
//
// A plan depends on its snapshot only: planning does no I/O and reads no clock. The comment on each rule names the load
// pattern for which the rule exists.
package steps

import (
	"cmp"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Resident is an attempt that is placed on a worker.
type Resident struct {
	Task    submission.Ref
	Attempt uint32
	Step    *pb.Step
	// Priority is the priority of the queue of its submission; the lowest number is served first.
	Priority int32
	// MayStop is true if the limits of its step allow it to be stopped now.
	MayStop bool
	// Stopping is true once the attempt has been told to stop.
	Stopping bool
	// Young is true while the attempt has only just started, or has yet to start. Suspect is true if the task may have crashed a
	// worker before.
	Young, Suspect bool
	// ShouldMove is true for a task that should run on another worker: a filling task that slows down a service on the same worker, or an endless
	// task whose worker is about to leave.
	ShouldMove bool
	// ThrottledBy is the fraction of its full speed that a throttled filling task may not use; 0 at full speed.
	ThrottledBy float64
	// TailRatio is the last measured tail latency of a service divided by its limit, or noReading.
	TailRatio float64
}

// noReading is the TailRatio of a task whose tail latency has not been measured.
const noReading = -1

// Worker is a worker and its tasks. The planner adds the tasks that it places to Residents.
type Worker struct {
	Incarnation submission.Incarnation
	Pool        string
	Rack        string
	Labels      []string
	Capacity    resources.Vector
	// Usable is false if no task may be placed there now.
	Usable bool
	// Penalty makes the planner prefer other workers; 0 for a healthy worker.
	Penalty   float64
	Residents []Resident

	used resources.Vector // reserved by the residents
	// usedByEndless is reserved by the residents that do not end by themselves.
	usedByEndless resources.Vector
	// probationOf is the submission of a suspect task that is young on the worker or waits to start there, or empty. Tasks of
	// other submissions do not start there then.
	probationOf string
	load        float64 // expected CPU use in millicores
	services    []serviceGroup
	fill        CPUShares       // CPU shares of the filling tasks at full speed
	perStep     map[stepKey]int // number of tasks of each step with MaxPerWorker
	pressure    *Pressure
	// reservedFor is the submission of the overdue endless task for which the worker is reserved, or empty.
	reservedFor string
	// reservedMemory is the memory that this task needs.
	reservedMemory int64
}

type stepKey struct {
	submission       string
	occurrence, step uint32
}

func keyOf(r submission.Ref) stepKey { return stepKey{r.Submission, r.Occurrence, r.Step} }

// Request is a step with waiting tasks.
type Request struct {
	Submission       string
	Occurrence, Step uint32
	Spec             *pb.Step
	Pool             string
	Priority         int32
	// Waiting holds the tasks to place.
	Waiting []WaitingTask
	// ObjectiveUnixMs is when the submission should be done, WorthlessUnixMs when it no longer earns anything.
	ObjectiveUnixMs, WorthlessUnixMs int64
	// CriticalPathMs is the length of the critical path that starts with this step: the expected time from its start to the
	// end of the submission.
	CriticalPathMs int64
	// WorkMs is the work of the waiting tasks in core-milliseconds.
	WorkMs float64
	// ReadyUnixMs is the time since which tasks of the step have been ready and waiting. Endless tasks that ran before have
	// been waiting since their last run.
	ReadyUnixMs int64
	// Advice is set if the placement policy of the queue decides which workers may run the step; Allowed holds their IDs.
	Advice  *pb.Advice
	Allowed map[string]bool
	// Deferred is true for endless tasks that are not placed for now, because urgent work recently found no room.
	Deferred bool
	// Idle is true if no task of this occurrence of the submission is placed, Begun if one is placed or done.
	Idle, Begun bool
	// AcceptedUnixMs is when the submission was accepted.
	AcceptedUnixMs int64
}

func (r *Request) key() stepKey { return stepKey{r.Submission, r.Occurrence, r.Step} }

func (r *Request) ref(t WaitingTask) submission.Ref {
	return submission.Ref{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step, Index: t.Index}
}

// WaitingTask is a task to place.
type WaitingTask struct {
	Index   uint32
	Attempt uint32
	// AvoidWorkers holds the IDs of workers on which the task failed or was refused before.
	AvoidWorkers []string
	// OnlyWorker is the ID of the only worker on which the task may start, "" if it may start on any.
	OnlyWorker string
	// Suspect is true if the task may have crashed a worker. Nothing of another submission starts beside it while it is young.
	Suspect bool
	// Isolated is true if the task starts only where no task of another submission has only just started, so that it is known
	// whether its submission crashes that worker too.
	Isolated bool
}

// mayStartOn reports whether the task may start on a worker.
func (t WaitingTask) mayStartOn(id string) bool {
	return (t.OnlyWorker == "" || t.OnlyWorker == id) && !slices.Contains(t.AvoidWorkers, id)
}

// Start is a proposed placement.
type Start struct {
	Task    submission.Ref
	Attempt uint32
	On      submission.Incarnation
	// Considered is the number of workers that could have taken a task of the step.
	Considered int
}

// Stop is a proposed eviction.
type Stop struct {
	Task    submission.Ref
	Attempt uint32
	On      submission.Incarnation
	// For is the submission that needs the room.
	For string
}

// Move is a proposed stop of a task that another worker can take.
type Move struct {
	Task    submission.Ref
	Attempt uint32
	On      submission.Incarnation
}

// Plan is a set of proposals.
type Plan struct {
	Starts []Start
	Stops  []Stop
	Moves  []Move
	// Waiting has an entry for the first task of each request that no worker could take.
	Waiting []Wait
	// Usage has an entry for each pool with workers or requests.
	Usage []PoolUsage
}

// Wait explains why a request stays in the queue.
type Wait struct {
	Task     submission.Ref
	Priority int32
	// Tasks is the number of tasks of the step that wait.
	Tasks int
	// Obstacles lists the reasons why workers cannot take the task, with the number of workers for each.
	Obstacles string
}

// Snapshot is the input of a plan. Planning sorts the requests and adds the proposed starts and stops to the workers.
type Snapshot struct {
	NowUnixMs int64
	Workers   []*Worker
	Requests  []*Request
	// Expected holds endless tasks that still count as running on a lost worker but will have to be placed soon.
	Expected []*Request
	// MaxStarts bounds the starts of one plan.
	MaxStarts int
	Pressure  *Pressure
	// FiniteDemand is what finite work has needed lately; endless tasks leave room for it. It may be nil.
	FiniteDemand *FiniteDemand
	// Order is the order in which requests are served, ByObjective if nil. The other orders are baselines for tests.
	Order Order
}

// Order compares two requests at the time nowMs, in Unix milliseconds. It returns a negative number if a is served first.
type Order func(a, b *Request, nowMs int64) int

// MakePlan returns the proposals for a snapshot.
func MakePlan(s *Snapshot) Plan {
	p := &planner{Snapshot: s, started: map[string]bool{}, unplaced: unplacedSizes{}, reservations: map[string]int{},
		overdueUnplaced: map[string]bool{}}
	for _, w := range s.Workers {
		w.prepare(s.Pressure)
	}
	p.usage, p.reserved = poolUsage(s.Workers)
	p.finiteRoom = finiteRoomByPool(s)
	order := s.Order
	if order == nil {
		order = ByObjective
	}
	p.proposeMoves()
	slices.SortStableFunc(s.Requests, func(a, b *Request) int { return order(a, b, s.NowUnixMs) })
	expectedReserved := false
	for _, r := range s.Requests {
		if len(p.plan.Starts) >= s.MaxStarts {
			break
		}
		if !expectedReserved && !r.overdue(s.NowUnixMs) {
			expectedReserved = true
			p.reserveExpected()
		}
		if r.Deferred {
			continue
		}
		p.placeRequest(r)
	}
	p.plan.Usage = p.usageByPool()
	return p.plan
}

// Tiers of requests of equal priority; the first is served first.
const (
	// tierOverdueEndless holds endless tasks that have waited for overdueAfterMs, so that their callers get no answers.
	tierOverdueEndless = iota
	// tierOnTime holds finite work that can still meet its objective, or has begun and still earns something.
	tierOnTime
	// tierEndless holds the other endless tasks, which earn as long as they run.
	tierEndless
	// tierLate holds other finite work that will miss its objective but still earn something.
	tierLate
	// tierWorthless holds finite work that will earn nothing.
	tierWorthless
	// NumTiers is the number of tiers.
	NumTiers
)

// criticalPathMargin multiplies the expected time of the remaining steps: estimates are rough, and a loaded pool is
// slower.
const criticalPathMargin = 1.25

const (
	// overdueAfterMs is how long an endless task may wait while finite work goes first.
	overdueAfterMs = 3500
	// longOverdueAfterMs is how long it may wait while finite work has less room than endless tasks leave to it. The platform counts
	// an endless task that does not run for 6 s as lost.
	longOverdueAfterMs = 5000
)

func (r *Request) overdue(nowMs int64) bool {
	return r.Spec.GetEndless() && nowMs-r.ReadyUnixMs >= overdueAfterMs
}

func (r *Request) longOverdue(nowMs int64) bool {
	return r.Spec.GetEndless() && nowMs-r.ReadyUnixMs >= longOverdueAfterMs
}

// tier groups requests of equal priority by what they can still earn. Finite work that is on time goes before endless
// work: it earns several times as much for each core-second, and is over soon.
func (r *Request) tier(nowMs int64) int {
	done := nowMs + int64(criticalPathMargin*float64(r.CriticalPathMs))
	switch {
	case r.overdue(nowMs):
		return tierOverdueEndless
	case r.Spec.GetEndless():
		return tierEndless
	case done <= r.ObjectiveUnixMs, r.begunFinite() && done <= r.WorthlessUnixMs:
		return tierOnTime
	case done <= r.WorthlessUnixMs:
		return tierLate
	}
	return tierWorthless
}

// begunFinite reports whether r belongs to a submission of finite work that has begun.
func (r *Request) begunFinite() bool { return r.Begun && !r.Spec.GetEndless() }

// ByObjective orders requests by the priority of their queue, then by tier, then by the latest time at which the step
// can start to meet the objective; overdue endless tasks by how long they have waited. Work that has begun goes before work that has
// not: in a pool short of cores narrow steps would otherwise start ahead of the tasks that a wide one still lacks. The order is meant
// for a burst of long submissions ahead of short ones, all of which would be late if the first to come were the first to be served.
// Ties go to the submission that was accepted first.
func ByObjective(a, b *Request, nowMs int64) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.tier(nowMs), b.tier(nowMs)); c != 0 {
		return c
	}
	if a.overdue(nowMs) && a.ReadyUnixMs != b.ReadyUnixMs {
		return cmp.Compare(a.ReadyUnixMs, b.ReadyUnixMs)
	}
	if begun := a.begunFinite(); begun != b.begunFinite() && !a.Spec.GetEndless() && !b.Spec.GetEndless() {
		if begun {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.ObjectiveUnixMs-a.CriticalPathMs, b.ObjectiveUnixMs-b.CriticalPathMs); c != 0 {
		return c
	}
	if c := cmp.Compare(a.AcceptedUnixMs, b.AcceptedUnixMs); c != 0 {
		return c
	}
	return cmp.Compare(a.Submission, b.Submission)
}

// ByArrival serves the request that was accepted first.
func ByArrival(a, b *Request, _ int64) int {
	return cmp.Or(cmp.Compare(a.AcceptedUnixMs, b.AcceptedUnixMs), cmp.Compare(a.Submission, b.Submission))
}

// ByWork serves the request with the least waiting work first.
func ByWork(a, b *Request, _ int64) int {
	return cmp.Or(cmp.Compare(a.WorkMs, b.WorkMs), ByArrival(a, b, 0))
}
