// Package steps decides which workers run the waiting tasks of submissions. A submission has an objective in time, and
// earns by finishing within it.
//
// Package placement answers another question: which of many members' contracts may use how much over hours. It has no
// notion of a chain of steps or of an objective of a second, and this package none of quotas and fair shares.
//
// Plan is pure: it reads a snapshot and returns proposals. The load pattern that each rule answers is stated with it.
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
	// Priority of its queue; 0 goes first.
	Priority int32
	// MayStop is true if the limits of its step allow it to be stopped now.
	MayStop bool
	// Stopping is true once the attempt has been told to stop.
	Stopping bool
	// ShouldMove is true for a filling task that should work elsewhere, since it presses on a service beside it.
	ShouldMove bool
	// ThrottledBy is the part of its speed that a filling task may not use now, 0 at full speed.
	ThrottledBy float64
	// TailRatio is the last reading of the tail of an endless task as a share of its limit, or noReading.
	TailRatio float64
}

// noReading stands for the tail of an endless task before there is a reading.
const noReading = -1

// Worker is a worker as the planner sees it.
type Worker struct {
	Life     submission.Life
	Pool     string
	Rack     string
	Labels   []string
	Capacity resources.Vector
	// Usable is false if no task may be placed there now.
	Usable bool
	// Penalty makes the planner prefer other workers; 0 for a worker that is well.
	Penalty   float64
	Residents []Resident

	used     resources.Vector
	load     float64         // expected millicores in use
	services []service       // endless tasks with a tail limit
	fill     CPUShares       // share of processor time by image
	perStep  map[stepKey]int // of steps that limit their tasks on a worker
	pressure *Pressure
	// keptFor is the submission of an overdue endless task for which cores are kept free; empty if there is none.
	keptFor string
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
	// Waiting are the indexes of the tasks to place, with the next attempt number of each.
	Waiting []WaitingTask
	// ObjectiveUnixMs is when the submission should be done, WorthlessUnixMs when it no longer earns anything.
	ObjectiveUnixMs, WorthlessUnixMs int64
	// CriticalPathMs is the expected time from the start of this step to the end of the submission.
	CriticalPathMs int64
	// WorkMs is the work of the waiting tasks in core-milliseconds.
	WorkMs float64
	// ReadyUnixMs is since when the step has been ready with tasks waiting.
	ReadyUnixMs int64
	// Advised is true if a policy decides which workers may run the step; Allowed are those that may.
	Advised bool
	Allowed map[string]bool
	// Deferred is true while endless tasks leave room to urgent work that found none lately.
	Deferred bool
	// Idle is true if nothing of the submission runs.
	Idle bool
	// AcceptedUnixMs breaks ties.
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
	// AvoidWorkers are workers on which the task failed or was refused before.
	AvoidWorkers []string
}

// Start is a proposed placement.
type Start struct {
	Task    submission.Ref
	Attempt uint32
	On      submission.Life
	// Considered is the number of workers with room.
	Considered int
}

// Stop is a proposed eviction.
type Stop struct {
	Task    submission.Ref
	Attempt uint32
	On      submission.Life
	// For is the submission that needs the room.
	For string
}

// Move is a proposed stop of a filling task for which another worker has a place.
type Move struct {
	Task    submission.Ref
	Attempt uint32
	On      submission.Life
}

// Plan is a set of proposals.
type Plan struct {
	Starts []Start
	Stops  []Stop
	Moves  []Move
	// Waiting holds the first task of each request that found no place.
	Waiting []Wait
}

// Wait says why a request stays in the queue.
type Wait struct {
	Task     submission.Ref
	Priority int32
	// Tasks is the number of tasks of the step that wait.
	Tasks int
	// Obstacles lists the numbers of workers by what kept the task from them.
	Obstacles string
}

// Snapshot is what a plan is made from.
type Snapshot struct {
	NowUnixMs int64
	Workers   []*Worker
	Requests  []*Request
	// MaxStarts bounds the starts of one plan.
	MaxStarts int
	Pressure  *Pressure
	// Order is the order in which requests are served. Default ByObjective; the others are baselines.
	Order Order
}

// Order compares two requests at a time in Unix ms.
type Order func(a, b *Request, nowMs int64) int

// MakePlan returns the proposals for a snapshot.
func MakePlan(s *Snapshot) Plan {
	p := &planning{Snapshot: s, started: map[string]bool{}, full: fullness{}}
	for _, w := range s.Workers {
		w.prepare(s.Pressure)
	}
	p.usage = poolUsage(s.Workers)
	order := s.Order
	if order == nil {
		order = ByObjective
	}
	p.move()
	slices.SortStableFunc(s.Requests, func(a, b *Request) int { return order(a, b, s.NowUnixMs) })
	for _, r := range s.Requests {
		if len(p.plan.Starts) >= s.MaxStarts {
			break
		}
		if r.Deferred {
			continue
		}
		p.place(r)
	}
	return p.plan
}

// Standings of a request, best first.
const (
	// overdueService requests are of endless tasks that have waited for long: their callers get no answers.
	overdueService = iota
	// onTime requests can still meet their objective.
	onTime
	// standingService requests are of endless tasks, which earn as long as they are at work.
	standingService
	// late requests still earn something.
	late
	hopeless
)

// chainMargin multiplies the expected time of the steps left: estimates are rough, and a loaded pool is slower.
const chainMargin = 1.25

// overdueAfterMs is how long an endless task may wait while finite work goes first. The platform counts one that does not
// run for 6 s as lost.
const overdueAfterMs = 3500

func (r *Request) overdue(nowMs int64) bool {
	return r.Spec.GetEndless() && nowMs-r.ReadyUnixMs >= overdueAfterMs
}

// standing groups requests of one priority by what they can still earn. Finite work goes before endless work: it earns
// several times as much for each core-second, and is over soon.
func (r *Request) standing(nowMs int64) int {
	done := nowMs + int64(chainMargin*float64(r.CriticalPathMs))
	switch {
	case r.overdue(nowMs):
		return overdueService
	case r.Spec.GetEndless():
		return standingService
	case done <= r.ObjectiveUnixMs:
		return onTime
	case done <= r.WorthlessUnixMs:
		return late
	}
	return hopeless
}

// ByObjective orders requests by priority of the queue, then those that can still meet their objective, then those that
// are late but earn something, then the rest; within these by the time at which the step must start. It answers a
// burst of long submissions in front of short ones: first come first served makes all of them late.
func ByObjective(a, b *Request, nowMs int64) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.standing(nowMs), b.standing(nowMs)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.ObjectiveUnixMs-a.CriticalPathMs, b.ObjectiveUnixMs-b.CriticalPathMs); c != 0 {
		return c
	}
	if c := cmp.Compare(a.AcceptedUnixMs, b.AcceptedUnixMs); c != 0 {
		return c
	}
	return cmp.Compare(a.Submission, b.Submission)
}

// ByArrival is first come, first served.
func ByArrival(a, b *Request, _ int64) int {
	return cmp.Or(cmp.Compare(a.AcceptedUnixMs, b.AcceptedUnixMs), cmp.Compare(a.Submission, b.Submission))
}

// ByWork is shortest first.
func ByWork(a, b *Request, _ int64) int {
	return cmp.Or(cmp.Compare(a.WorkMs, b.WorkMs), ByArrival(a, b, 0))
}
