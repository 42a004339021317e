package emulator

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Promise names what the system promises to callers, workers and the operator.
type Promise string

// The promises that the checker follows.
const (
	// PromiseOnce: no two runs of a task at once, and none after one that finished.
	PromiseOnce Promise = "once"
	// PromiseOrder: a step starts after the steps that it needs, and an occurrence not before it is due.
	PromiseOrder Promise = "order"
	// PromiseBudget: a task that has failed as often as its queue allows is not started again.
	PromiseBudget Promise = "budget"
	// PromiseAsked: only what a caller handed in is started, with its payload and a checkpoint of its own.
	PromiseAsked Promise = "asked"
	// PromisePlace: a task starts on a worker of the queue's pool, within the worker's capacity.
	PromisePlace Promise = "place"
	// PromiseRefused: what was refused in every attempt never runs.
	PromiseRefused Promise = "refused"
	// PromiseCancelled: a cancelled submission is not started again, and nothing of it runs on.
	PromiseCancelled Promise = "cancelled"
	// PromiseKept: an accepted submission stays known, and ends as its tasks do.
	PromiseKept Promise = "kept"
	// PromiseState: a state that is shown agrees with how the tasks ended.
	PromiseState Promise = "state"
	// PromiseConfig: an acknowledged configuration is read back, never an older one, and none that is invalid.
	PromiseConfig Promise = "config"
	// PromiseAnswered: a stop or reload of a VM breaks off no request.
	PromiseAnswered Promise = "answered"
	// PromiseRuns: a program ends only when it is told to.
	PromiseRuns Promise = "runs"
	// PromiseReady: after the last fault the system serves again.
	PromiseReady Promise = "ready"
)

const (
	// cancelBound is the time from the acknowledgement of a cancel until nothing of the submission starts or runs.
	cancelBound = 3 * time.Second
	// visibleBound is the time until every VM in touch knows an accepted submission.
	visibleBound = 3 * time.Second
	// settleTime is how long after a fault a promise with a time bound is not checked.
	settleTime = 6 * time.Second
	// earlyBound is how much before its time an occurrence may start.
	earlyBound = 250 * time.Millisecond
)

// Violation is a promise that was broken.
type Violation struct {
	At      time.Duration
	Promise Promise
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s %-9s %s", v.At.Seconds(), v.Promise, v.Detail)
}

// taskWork is what the emulated workers know of a task.
type taskWork struct {
	takes       time.Duration
	failures    uint32 // attempts that fail
	millicores  int64
	memory      int64
	checkpoints bool
	endless     bool
}

// record is what the checker knows of a submission.
type record struct {
	spec      *pb.SubmissionSpec
	queue     *pb.Queue
	failures  uint32
	submitted time.Time
	unclear   bool      // an attempt to hand it in has had no clear answer
	pending   int       // attempts without an answer yet
	accepted  time.Time // zero if it was not acknowledged
	refusals  int
	// cancelSent and cancelled are when a cancel was first sent, and when one was first acknowledged.
	cancelSent, cancelled time.Time
	shown                 string // last state that was shown
}

// taskRecord is what the checker knows of a task.
type taskRecord struct {
	running   map[string]uint32 // worker to attempt
	lastStart time.Time
	doneAt    time.Time // first end as done
	final     bool      // such an end was noted while its worker's lease held
	failed    uint32    // ends as failed that were noted
	failedAll uint32
	saved     map[string]bool
	starts    int
}

type runKey struct {
	worker  string
	task    submission.Ref
	attempt uint32
}

// Checker follows what callers, workers and the operator see and notes each broken promise.
type Checker struct {
	mu         sync.Mutex
	began      time.Time
	records    map[string]*record
	tasks      map[submission.Ref]*taskRecord
	kinds      map[runKey]pb.TaskEndKind
	violations []Violation
	calmFrom   time.Time // end of the last fault
	faults     int
	acked      uint64 // newest configuration that was acknowledged
	sent       map[uint64]bool
	stats      Stats
	series     Series
}

// Stats count what happened.
type Stats struct {
	Submitted, Accepted, Refused, Done, Cancelled, Starts, Finished, Failed, Stopped, Lost, Configs, Answered int
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	now := time.Now()
	return &Checker{began: now, calmFrom: now, records: map[string]*record{}, tasks: map[submission.Ref]*taskRecord{}, kinds: map[runKey]pb.TaskEndKind{},
		sent: map[uint64]bool{}}
}

// Violations returns all broken promises so far in the order of their time.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// Stats returns what has happened so far.
func (c *Checker) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Break notes a broken promise.
func (c *Checker) Break(p Promise, format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken(p, format, arguments...)
}

func (c *Checker) broken(p Promise, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{At: time.Since(c.began), Promise: p, Detail: fmt.Sprintf(format, arguments...)})
}

// FaultBegins and FaultEnds frame a fault.
func (c *Checker) FaultBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
}

// FaultEnds ends what FaultBegins began.
func (c *Checker) FaultEnds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults--
	c.calmFrom = time.Now()
}

// calmSince reports whether no fault has acted since t, and for a while before.
func (c *Checker) calmSince(t time.Time) bool {
	return c.faults == 0 && t.Sub(c.calmFrom) > settleTime
}

// Submitting notes that a caller is about to send a submission.
func (c *Checker) Submitting(q *pb.Queue, spec *pb.SubmissionSpec, failures uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[spec.GetId()]
	if r == nil {
		r = &record{spec: spec, queue: q, failures: failures, submitted: time.Now()}
		c.records[spec.GetId()] = r
		c.stats.Submitted++
	}
	r.pending++
}

// Outcome is what an answer to a submission says.
type Outcome int

// Outcomes of an attempt to hand in a submission.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAccepted
	OutcomeNotRun
)

// Submitted notes the answer to a submission.
func (c *Checker) Submitted(id string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	r.pending--
	switch o {
	case OutcomeAccepted:
		if r.accepted.IsZero() {
			r.accepted = time.Now()
			c.stats.Accepted++
			c.series.note(&c.series.Accept, r.accepted.Sub(r.submitted), time.Since(c.began))
		}
	case OutcomeNotRun:
		r.refusals++
		c.stats.Refused++
	default:
		r.unclear = true
	}
	c.checkRefused(id, r)
}

// checkRefused looks for a submission that was refused in each attempt and has run.
func (c *Checker) checkRefused(id string, r *record) {
	if r.refusals == 0 || r.unclear || r.pending > 0 || !r.accepted.IsZero() {
		return
	}
	for task, t := range c.tasks {
		if task.Submission == id && t.starts > 0 {
			c.broken(PromiseRefused, "%s was refused in all attempts, but %v was started", id, task)
			return
		}
	}
}

// Work returns what a worker needs to know of a task, and whether a caller has handed it in.
func (c *Checker) Work(task submission.Ref) (taskWork, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[task.Submission]
	if r == nil || int(task.Step) >= len(r.spec.GetSteps()) || task.Index >= r.spec.GetSteps()[task.Step].GetCount() {
		return taskWork{}, false
	}
	step := r.spec.GetSteps()[task.Step]
	w := taskWork{takes: time.Duration(step.GetEstimateMs()) * time.Millisecond, failures: r.failures, memory: step.GetSize().GetMemoryBytes(),
		checkpoints: step.GetCheckpoints(), endless: step.GetEndless()}
	if !step.GetFills() {
		w.millicores = step.GetSize().GetMillicores()
	}
	return w, true
}

func (c *Checker) task(ref submission.Ref) *taskRecord {
	t := c.tasks[ref]
	if t == nil {
		t = &taskRecord{running: map[string]uint32{}, saved: map[string]bool{}}
		c.tasks[ref] = t
	}
	return t
}

// StartEvent is a start that a worker carried out.
type StartEvent struct {
	Worker, Pool        string
	Task                submission.Ref
	Attempt             uint32
	Payload, Checkpoint string
	// Over is true if the start exceeds the worker's capacity.
	Over bool
	// HeldUp is true if the call may have been held up on its way.
	HeldUp bool
	// Known is true if a caller has handed the task in.
	Known bool
}

// Started checks a start.
func (c *Checker) Started(e StartEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.stats.Starts++
	c.series.count(&c.series.Starts, time.Since(c.began))
	r := c.records[e.Task.Submission]
	if !e.Known || r == nil {
		c.broken(PromiseAsked, "%v was started on %s, but nobody handed it in", e.Task, e.Worker)
		return
	}
	t := c.task(e.Task)
	for other, attempt := range t.running {
		c.broken(PromiseOnce, "%v attempt %d was started on %s while attempt %d runs on %s", e.Task, e.Attempt, e.Worker, attempt, other)
	}
	if t.final {
		c.broken(PromiseOnce, "%v attempt %d was started on %s after the task had finished", e.Task, e.Attempt, e.Worker)
	}
	if limit := r.queue.GetAttempts(); t.failed >= limit && !r.spec.GetSteps()[e.Task.Step].GetEndless() {
		c.broken(PromiseBudget, "%v attempt %d was started after %d failed", e.Task, e.Attempt, t.failed)
	}
	if e.Payload != r.spec.GetPayload() || e.Checkpoint != "" && !t.saved[e.Checkpoint] {
		c.broken(PromiseAsked, "%v was started with payload %q and checkpoint %q", e.Task, e.Payload, e.Checkpoint)
	}
	if e.Pool != r.queue.GetPool() || e.Over && !e.HeldUp {
		c.broken(PromisePlace, "%v was started on %s of pool %s (over its capacity: %t)", e.Task, e.Worker, e.Pool, e.Over)
	}
	if !r.cancelled.IsZero() && now.Sub(r.cancelled) > cancelBound && c.calmSince(r.cancelled) {
		c.broken(PromiseCancelled, "%v was started %v after the acknowledged cancel", e.Task, now.Sub(r.cancelled))
	}
	c.checkOrder(e.Task, r, now)
	t.running[e.Worker], t.lastStart = e.Attempt, now
	if t.starts++; t.starts == 1 && len(r.spec.GetSteps()[e.Task.Step].GetAfter()) == 0 && r.spec.GetOccurrences() == 0 {
		c.series.note(&c.series.Start, now.Sub(r.submitted), time.Since(c.began))
	}
	c.checkRefused(e.Task.Submission, r)
}

func (c *Checker) checkOrder(task submission.Ref, r *record, now time.Time) {
	due := time.UnixMilli(r.spec.GetFirstDueUnixMs() + int64(task.Occurrence)*r.spec.GetIntervalMs())
	if r.spec.GetOccurrences() > 0 && due.Sub(now) > earlyBound {
		c.broken(PromiseOrder, "%v was started %v before its time", task, due.Sub(now))
	}
	for _, needed := range r.spec.GetSteps()[task.Step].GetAfter() {
		for i := range r.spec.GetSteps()[needed].GetCount() {
			before := submission.Ref{Submission: task.Submission, Occurrence: task.Occurrence, Step: needed, Index: i}
			if c.task(before).doneAt.IsZero() {
				c.broken(PromiseOrder, "%v was started before %v had finished", task, before)
				return
			}
		}
	}
}

// Ended notes an end on a worker.
func (c *Checker) Ended(worker string, ref submission.Ref, attempt uint32, kind pb.TaskEndKind, checkpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(ref)
	delete(t.running, worker)
	t.saved[checkpoint] = true
	c.kinds[runKey{worker, ref, attempt}] = kind
	switch kind {
	case pb.TaskEndKind_TASK_END_KIND_DONE:
		c.stats.Finished++
		if t.doneAt.IsZero() {
			t.doneAt = time.Now()
		}
	case pb.TaskEndKind_TASK_END_KIND_FAILED:
		c.stats.Failed++
		t.failedAll++
	case pb.TaskEndKind_TASK_END_KIND_STOPPED:
		c.stats.Stopped++
		c.series.count(&c.series.Stops, time.Since(c.began))
	default:
		c.stats.Lost++
	}
}

// Saved notes a checkpoint that a worker has told the system.
func (c *Checker) Saved(ref submission.Ref, checkpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task(ref).saved[checkpoint] = true
}

// Vanished notes that a run ended with its worker.
func (c *Checker) Vanished(worker string, ref submission.Ref, _ uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.task(ref).running, worker)
}

// Noted notes that the system has taken note of an end. lapsed is true if the worker's lease was over in between.
func (c *Checker) Noted(worker string, ref submission.Ref, attempt uint32, endedAt time.Time, lapsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, key := c.task(ref), runKey{worker, ref, attempt}
	switch c.kinds[key] {
	case pb.TaskEndKind_TASK_END_KIND_DONE:
		if lapsed {
			break
		}
		t.final = true
		if t.lastStart.After(endedAt) {
			c.broken(PromiseOnce, "%v was started again after it had finished on %s", ref, worker)
		}
	case pb.TaskEndKind_TASK_END_KIND_FAILED:
		t.failed++
	}
	delete(c.kinds, key)
}

// CancelSent notes a cancel on its way.
func (c *Checker) CancelSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.records[id]; r.cancelSent.IsZero() {
		r.cancelSent = time.Now()
	}
}

// CancelAcked notes that a cancel was acknowledged.
func (c *Checker) CancelAcked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.records[id]; r.cancelled.IsZero() {
		r.cancelled = time.Now()
		c.stats.Cancelled++
	}
}

// Shown checks a state that was shown to a caller who asked at the given time.
func (c *Checker) Shown(id, state string, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Answered++
	r := c.records[id]
	if r.shown == "done" && state != "done" || r.shown == "failed" && state != "failed" {
		c.broken(PromiseState, "%s was shown as %s and then as %s", id, r.shown, state)
	}
	switch state {
	case "done":
		if open := c.open(r); len(open) > 0 {
			c.broken(PromiseState, "%s was shown as done, but %v has not finished", id, open[0])
		}
		if r.shown != "done" {
			c.stats.Done++
			c.series.note(&c.series.Done, time.Since(r.submitted), time.Since(c.began))
		}
	case "failed":
		if !c.mayFail(r) {
			c.broken(PromiseState, "%s was shown as failed, but no task has failed %d times", id, r.queue.GetAttempts())
		}
	case "cancelled":
		if r.cancelSent.IsZero() {
			c.broken(PromiseState, "%s was shown as cancelled, but nobody cancelled it", id)
		}
	}
	r.shown = state
}

// Absent checks the answer that a submission is not known.
func (c *Checker) Absent(id string, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	if !r.accepted.IsZero() && asked.Sub(r.accepted) > visibleBound && r.cancelSent.IsZero() && c.calmSince(asked) {
		c.broken(PromiseKept, "%s was accepted, and %v later is not known", id, asked.Sub(r.accepted))
	}
}

// open returns the tasks of a submission that have not finished.
func (c *Checker) open(r *record) []submission.Ref {
	var list []submission.Ref
	for occurrence := range max(r.spec.GetOccurrences(), 1) {
		for number, step := range r.spec.GetSteps() {
			for i := range step.GetCount() {
				ref := submission.Ref{Submission: r.spec.GetId(), Occurrence: occurrence, Step: uint32(number), Index: i}
				if t := c.tasks[ref]; t == nil || t.doneAt.IsZero() {
					list = append(list, ref)
				}
			}
		}
	}
	return list
}

// mayFail reports whether a task has failed as often as its queue allows.
func (c *Checker) mayFail(r *record) bool {
	for _, ref := range c.open(r) {
		if t := c.tasks[ref]; t != nil && t.failedAll >= r.queue.GetAttempts() {
			return true
		}
	}
	return false
}

// ConfigSending notes a configuration on its way.
func (c *Checker) ConfigSending(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[version] = true
}

// ConfigAcked notes an acknowledged configuration.
func (c *Checker) ConfigAcked(version uint64, valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Configs++
	c.acked = max(c.acked, version)
	if !valid {
		c.broken(PromiseConfig, "the invalid configuration %d was acknowledged", version)
	}
}

// ConfigAckedNow returns the newest acknowledged version.
func (c *Checker) ConfigAckedNow() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acked
}

// ConfigRead checks a configuration that was read. ackedBefore is the newest version acknowledged before the read was sent.
func (c *Checker) ConfigRead(version, ackedBefore uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < ackedBefore || !c.sent[version] && version != 0 {
		c.broken(PromiseConfig, "configuration %d was read, but %d had been acknowledged", version, ackedBefore)
	}
}

// unsettled is what is still wrong with a submission that has to end.
type unsettled struct {
	id      string
	promise Promise
	problem string
}

// Unsettled returns the submissions that have to end by themselves, or were cancelled, and were not seen to end.
func (c *Checker) Unsettled() []unsettled {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string]submission.Ref{}
	for ref, t := range c.tasks {
		if len(t.running) > 0 {
			runs[ref.Submission] = ref
		}
	}
	var list []unsettled
	for id, r := range c.records {
		ref, running := runs[id]
		switch {
		case !r.cancelSent.IsZero() && r.cancelled.IsZero():
			list = append(list, unsettled{id, PromiseCancelled, "has no acknowledgement of its cancel"})
		case !r.cancelSent.IsZero() && running:
			list = append(list, unsettled{id, PromiseCancelled, fmt.Sprintf("is cancelled, but %v runs", ref)})
		case r.cancelSent.IsZero() && !r.accepted.IsZero() && r.shown != "done" && r.shown != "failed":
			open := c.open(r)
			list = append(list, unsettled{id, PromiseKept, fmt.Sprintf("was accepted, is shown as %q and waits for %v", r.shown, open[:min(len(open), 3)])})
		}
	}
	slices.SortFunc(list, func(a, b unsettled) int { return strings.Compare(a.id, b.id) })
	return list
}
