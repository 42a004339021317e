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

// Promise names a guarantee that the system gives to callers, workers and the operator.
type Promise string

// The guarantees that the checker verifies.
const (
	// PromiseOnce: a task never runs twice at the same time, nor again after a run has finished.
	PromiseOnce Promise = "once"
	// PromiseOrder: a step starts only after the steps it depends on, and an occurrence not before it is due.
	PromiseOrder Promise = "order"
	// PromiseBudget: a task is not started again once its failed attempts reach the limit of its queue.
	PromiseBudget Promise = "budget"
	// PromiseAsked: only submitted tasks are started, with the submitted payload and a checkpoint of the same task.
	PromiseAsked Promise = "asked"
	// PromisePlace: a task starts on a worker of its queue's pool and within the capacity of the worker.
	PromisePlace Promise = "place"
	// PromiseRefused: a submission that was refused in every attempt never runs.
	PromiseRefused Promise = "refused"
	// PromiseCancelled: no task of a cancelled submission is started or keeps running.
	PromiseCancelled Promise = "cancelled"
	// PromiseKept: an accepted submission is not lost and reaches a final state.
	PromiseKept Promise = "kept"
	// PromiseState: a returned state agrees with the outcomes of the tasks.
	PromiseState Promise = "state"
	// PromiseConfig: a read never returns a configuration older than an acknowledged one, and an invalid configuration
	// is never acknowledged.
	PromiseConfig Promise = "config"
	// PromiseAnswered: a planned stop or reload of a VM interrupts no request.
	PromiseAnswered Promise = "answered"
	// PromiseRuns: a process exits only when it is told to.
	PromiseRuns Promise = "runs"
	// PromiseReady: the system becomes ready again after the last fault.
	PromiseReady Promise = "ready"
)

const (
	// cancelBound is the time after the acknowledgement of a cancel from which no task of the submission may start.
	cancelBound = 3 * time.Second
	// visibilityBound is the time after which every connected VM must know an accepted submission.
	visibilityBound = 3 * time.Second
	// settleTime is the time after a fault during which guarantees with a time bound are not checked.
	settleTime = 6 * time.Second
	// earlyStartTolerance is how long before its due time an occurrence may start.
	earlyStartTolerance = 250 * time.Millisecond
)

// Violation describes a broken guarantee and when it was detected.
type Violation struct {
	At      time.Duration
	Promise Promise
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s %-9s %s", v.At.Seconds(), v.Promise, v.Detail)
}

// taskProfile describes how an emulated worker executes a task.
type taskProfile struct {
	duration        time.Duration
	failingAttempts uint32 // the first attempts, which fail
	millicores      int64
	memory          int64
	checkpoints     bool
	endless         bool
}

// submissionRecord holds what the checker has observed of a submission.
type submissionRecord struct {
	spec            *pb.SubmissionSpec
	queue           *pb.Queue
	failingAttempts uint32
	submittedAt     time.Time
	outcomeUnknown  bool      // some attempt to submit it returned no definite outcome
	pendingAttempts int       // attempts that await an answer
	acceptedAt      time.Time // zero if it was not acknowledged
	refusals        int
	// cancelSentAt and cancelAckedAt are the times at which a cancel was first sent and first acknowledged.
	cancelSentAt, cancelAckedAt time.Time
	lastState                   string // last state returned to a caller
}

// taskRecord holds what the checker has observed of a task.
type taskRecord struct {
	running           map[string]uint32 // attempt by worker
	lastStart         time.Time
	doneAt            time.Time // when a run first finished successfully
	finalSuccess      bool      // such an end was committed before the lease of its worker lapsed
	committedFailures uint32    // failed attempts whose end the system has committed
	observedFailures  uint32    // failed attempts on workers, committed or not
	checkpoints       map[string]bool
	starts            int
}

// runKey identifies one run of a task on one incarnation of a worker.
type runKey struct {
	worker  string
	task    submission.Ref
	attempt uint32
}

// Checker records what callers, workers and the operator observe, and reports each broken guarantee.
type Checker struct {
	mu           sync.Mutex
	startedAt    time.Time
	records      map[string]*submissionRecord
	tasks        map[submission.Ref]*taskRecord
	endKinds     map[runKey]pb.TaskEndKind
	violations   []Violation
	lastFaultEnd time.Time // when a fault last ended
	activeFaults int
	ackedConfig  uint64 // newest acknowledged version
	sentConfigs  map[uint64]bool
	stats        Stats
	series       Series
}

// Stats counts the events of a run.
type Stats struct {
	Submitted, Accepted, Refused, Done, Cancelled, Starts, Finished, Failed, Stopped, Lost, Configs, Answered int
}

// NewChecker returns a checker with no observations.
func NewChecker() *Checker {
	now := time.Now()
	return &Checker{startedAt: now, lastFaultEnd: now, records: map[string]*submissionRecord{}, tasks: map[submission.Ref]*taskRecord{}, endKinds: map[runKey]pb.TaskEndKind{},
		sentConfigs: map[uint64]bool{}}
}

// Violations returns the violations found so far, in chronological order.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// Stats returns the counts so far.
func (c *Checker) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// ReportViolation records a broken guarantee.
func (c *Checker) ReportViolation(p Promise, format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(p, format, arguments...)
}

func (c *Checker) addViolation(p Promise, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{At: time.Since(c.startedAt), Promise: p, Detail: fmt.Sprintf(format, arguments...)})
}

// FaultStarted records the start of a fault. Each call must be followed by one of FaultEnded.
func (c *Checker) FaultStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults++
}

// FaultEnded records the end of a fault.
func (c *Checker) FaultEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults--
	c.lastFaultEnd = time.Now()
}

// noFaultSince reports whether no fault is active and the last one ended more than settleTime before t.
func (c *Checker) noFaultSince(t time.Time) bool {
	return c.activeFaults == 0 && t.Sub(c.lastFaultEnd) > settleTime
}

// SubmitSent records that a caller is about to send a submission.
func (c *Checker) SubmitSent(q *pb.Queue, spec *pb.SubmissionSpec, failures uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[spec.GetId()]
	if r == nil {
		r = &submissionRecord{spec: spec, queue: q, failingAttempts: failures, submittedAt: time.Now()}
		c.records[spec.GetId()] = r
		c.stats.Submitted++
	}
	r.pendingAttempts++
}

// Outcome is the outcome of an attempt to submit.
type Outcome int

// The outcomes of an attempt to submit. OutcomeNotRun means that the attempt was refused.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAccepted
	OutcomeNotRun
)

// SubmitAnswered records the outcome of an attempt to submit.
func (c *Checker) SubmitAnswered(id string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	r.pendingAttempts--
	switch o {
	case OutcomeAccepted:
		if r.acceptedAt.IsZero() {
			r.acceptedAt = time.Now()
			c.stats.Accepted++
			c.series.addSample(&c.series.Accept, r.acceptedAt.Sub(r.submittedAt), time.Since(c.startedAt))
		}
	case OutcomeNotRun:
		r.refusals++
		c.stats.Refused++
	default:
		r.outcomeUnknown = true
	}
	c.checkRefusedNotStarted(id, r)
}

// checkRefusedNotStarted reports a violation if every attempt to submit was refused but a task has started.
func (c *Checker) checkRefusedNotStarted(id string, r *submissionRecord) {
	if r.refusals == 0 || r.outcomeUnknown || r.pendingAttempts > 0 || !r.acceptedAt.IsZero() {
		return
	}
	for task, t := range c.tasks {
		if task.Submission == id && t.starts > 0 {
			c.addViolation(PromiseRefused, "every attempt to submit %s was refused, but %v was started", id, task)
			return
		}
	}
}

// TaskProfile returns the profile of a task, and whether a caller has submitted the task.
func (c *Checker) TaskProfile(task submission.Ref) (taskProfile, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[task.Submission]
	if r == nil || int(task.Step) >= len(r.spec.GetSteps()) || task.Index >= r.spec.GetSteps()[task.Step].GetCount() {
		return taskProfile{}, false
	}
	step := r.spec.GetSteps()[task.Step]
	w := taskProfile{duration: time.Duration(step.GetEstimateMs()) * time.Millisecond, failingAttempts: r.failingAttempts, memory: step.GetSize().GetMemoryBytes(),
		checkpoints: step.GetCheckpoints(), endless: step.GetEndless()}
	if !step.GetFills() {
		w.millicores = step.GetSize().GetMillicores()
	}
	return w, true
}

func (c *Checker) taskRecord(ref submission.Ref) *taskRecord {
	t := c.tasks[ref]
	if t == nil {
		t = &taskRecord{running: map[string]uint32{}, checkpoints: map[string]bool{}}
		c.tasks[ref] = t
	}
	return t
}

// StartEvent describes a start that a worker carried out.
type StartEvent struct {
	Worker, Pool        string
	Task                submission.Ref
	Attempt             uint32
	Payload, Checkpoint string
	// ExceedsCapacity is true if the start exceeds the capacity of the worker.
	ExceedsCapacity bool
	// MaybeDelayed is true if a network fault may have delayed the call.
	MaybeDelayed bool
	// Known is true if a caller has submitted the task.
	Known bool
}

// TaskStarted records a start and checks the guarantees that it could break.
func (c *Checker) TaskStarted(e StartEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.stats.Starts++
	c.series.increment(&c.series.Starts, time.Since(c.startedAt))
	r := c.records[e.Task.Submission]
	if !e.Known || r == nil {
		c.addViolation(PromiseAsked, "%v was started on %s, but no caller submitted it", e.Task, e.Worker)
		return
	}
	t := c.taskRecord(e.Task)
	for other, attempt := range t.running {
		c.addViolation(PromiseOnce, "%v attempt %d was started on %s while attempt %d runs on %s", e.Task, e.Attempt, e.Worker, attempt, other)
	}
	if t.finalSuccess {
		c.addViolation(PromiseOnce, "%v attempt %d was started on %s after the task had finished", e.Task, e.Attempt, e.Worker)
	}
	if limit := r.queue.GetAttempts(); t.committedFailures >= limit && !r.spec.GetSteps()[e.Task.Step].GetEndless() {
		c.addViolation(PromiseBudget, "%v attempt %d was started after %d failed attempts", e.Task, e.Attempt, t.committedFailures)
	}
	if e.Payload != r.spec.GetPayload() || e.Checkpoint != "" && !t.checkpoints[e.Checkpoint] {
		c.addViolation(PromiseAsked, "%v was started with an unexpected payload %q or checkpoint %q", e.Task, e.Payload, e.Checkpoint)
	}
	if e.Pool != r.queue.GetPool() || e.ExceedsCapacity && !e.MaybeDelayed {
		c.addViolation(PromisePlace, "%v was started on %s of pool %s (exceeds its capacity: %t)", e.Task, e.Worker, e.Pool, e.ExceedsCapacity)
	}
	if !r.cancelAckedAt.IsZero() && now.Sub(r.cancelAckedAt) > cancelBound && c.noFaultSince(r.cancelAckedAt) {
		c.addViolation(PromiseCancelled, "%v was started %v after its cancel was acknowledged", e.Task, now.Sub(r.cancelAckedAt))
	}
	c.checkOrder(e.Task, r, now)
	t.running[e.Worker], t.lastStart = e.Attempt, now
	if t.starts++; t.starts == 1 && len(r.spec.GetSteps()[e.Task.Step].GetAfter()) == 0 && r.spec.GetOccurrences() == 0 {
		c.series.addSample(&c.series.Start, now.Sub(r.submittedAt), time.Since(c.startedAt))
	}
	c.checkRefusedNotStarted(e.Task.Submission, r)
}

func (c *Checker) checkOrder(task submission.Ref, r *submissionRecord, now time.Time) {
	due := time.UnixMilli(r.spec.GetFirstDueUnixMs() + int64(task.Occurrence)*r.spec.GetIntervalMs())
	if r.spec.GetOccurrences() > 0 && due.Sub(now) > earlyStartTolerance {
		c.addViolation(PromiseOrder, "%v was started %v before it was due", task, due.Sub(now))
	}
	for _, needed := range r.spec.GetSteps()[task.Step].GetAfter() {
		for i := range r.spec.GetSteps()[needed].GetCount() {
			before := submission.Ref{Submission: task.Submission, Occurrence: task.Occurrence, Step: needed, Index: i}
			if c.taskRecord(before).doneAt.IsZero() {
				c.addViolation(PromiseOrder, "%v was started before %v had finished", task, before)
				return
			}
		}
	}
}

// TaskEnded records the end of a run on a worker.
func (c *Checker) TaskEnded(worker string, ref submission.Ref, attempt uint32, kind pb.TaskEndKind, checkpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.taskRecord(ref)
	delete(t.running, worker)
	t.checkpoints[checkpoint] = true
	c.endKinds[runKey{worker, ref, attempt}] = kind
	switch kind {
	case pb.TaskEndKind_TASK_END_KIND_DONE:
		c.stats.Finished++
		if t.doneAt.IsZero() {
			t.doneAt = time.Now()
		}
	case pb.TaskEndKind_TASK_END_KIND_FAILED:
		c.stats.Failed++
		t.observedFailures++
	case pb.TaskEndKind_TASK_END_KIND_STOPPED:
		c.stats.Stopped++
		c.series.increment(&c.series.Stops, time.Since(c.startedAt))
	default:
		c.stats.Lost++
	}
}

// CheckpointReported records a checkpoint that a worker has reported to the system.
func (c *Checker) CheckpointReported(ref submission.Ref, checkpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskRecord(ref).checkpoints[checkpoint] = true
}

// RunCrashed records that a run ended because its worker crashed.
func (c *Checker) RunCrashed(worker string, ref submission.Ref, _ uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.taskRecord(ref).running, worker)
}

// EndCommitted records that the system has committed the end of a run. lapsed is true if the lease of the worker lapsed
// after the run had ended.
func (c *Checker) EndCommitted(worker string, ref submission.Ref, attempt uint32, endedAt time.Time, lapsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, key := c.taskRecord(ref), runKey{worker, ref, attempt}
	switch c.endKinds[key] {
	case pb.TaskEndKind_TASK_END_KIND_DONE:
		if lapsed {
			break
		}
		t.finalSuccess = true
		if t.lastStart.After(endedAt) {
			c.addViolation(PromiseOnce, "%v was started again after it had finished on %s", ref, worker)
		}
	case pb.TaskEndKind_TASK_END_KIND_FAILED:
		t.committedFailures++
	}
	delete(c.endKinds, key)
}

// CancelSent records that a caller is about to send a cancel.
func (c *Checker) CancelSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.records[id]; r.cancelSentAt.IsZero() {
		r.cancelSentAt = time.Now()
	}
}

// CancelAcked records the acknowledgement of a cancel.
func (c *Checker) CancelAcked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.records[id]; r.cancelAckedAt.IsZero() {
		r.cancelAckedAt = time.Now()
		c.stats.Cancelled++
	}
}

// StateReturned checks a state that was returned to a caller.
func (c *Checker) StateReturned(id, state string, askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Answered++
	r := c.records[id]
	if r.lastState == "done" && state != "done" || r.lastState == "failed" && state != "failed" {
		c.addViolation(PromiseState, "%s was returned as %s and then as %s", id, r.lastState, state)
	}
	switch state {
	case "done":
		if unfinished := c.unfinishedTasks(r); len(unfinished) > 0 {
			c.addViolation(PromiseState, "%s was returned as done, but %v has not finished", id, unfinished[0])
		}
		if r.lastState != "done" {
			c.stats.Done++
			c.series.addSample(&c.series.Done, time.Since(r.submittedAt), time.Since(c.startedAt))
		}
	case "failed":
		if !c.failureIsAllowed(r) {
			c.addViolation(PromiseState, "%s was returned as failed, but no task has failed %d times", id, r.queue.GetAttempts())
		}
	case "cancelled":
		if r.cancelSentAt.IsZero() {
			c.addViolation(PromiseState, "%s was returned as cancelled, but no caller cancelled it", id)
		}
	}
	r.lastState = state
}

// NotFoundReturned checks the answer that a submission does not exist. askedAt is when the caller sent its query.
func (c *Checker) NotFoundReturned(id string, askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	if !r.acceptedAt.IsZero() && askedAt.Sub(r.acceptedAt) > visibilityBound && r.cancelSentAt.IsZero() && c.noFaultSince(askedAt) {
		c.addViolation(PromiseKept, "%s was accepted, but was not found %v later", id, askedAt.Sub(r.acceptedAt))
	}
}

// unfinishedTasks returns the tasks of a submission that have not finished successfully.
func (c *Checker) unfinishedTasks(r *submissionRecord) []submission.Ref {
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

// failureIsAllowed reports whether some unfinished task has used up the attempts of its queue, so that the submission may
// be in the state failed.
func (c *Checker) failureIsAllowed(r *submissionRecord) bool {
	for _, ref := range c.unfinishedTasks(r) {
		if t := c.tasks[ref]; t != nil && t.observedFailures >= r.queue.GetAttempts() {
			return true
		}
	}
	return false
}

// ConfigSent records that a configuration is about to be sent.
func (c *Checker) ConfigSent(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentConfigs[version] = true
}

// ConfigAcked records the acknowledgement of a configuration and reports a violation if the configuration is invalid.
func (c *Checker) ConfigAcked(version uint64, valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Configs++
	c.ackedConfig = max(c.ackedConfig, version)
	if !valid {
		c.addViolation(PromiseConfig, "the invalid configuration %d was acknowledged", version)
	}
}

// LatestAckedConfig returns the newest acknowledged version.
func (c *Checker) LatestAckedConfig() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ackedConfig
}

// ConfigRead checks the version of a configuration that was read. ackedBefore is the newest version that was
// acknowledged before the read was sent.
func (c *Checker) ConfigRead(version, ackedBefore uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < ackedBefore || !c.sentConfigs[version] && version != 0 {
		c.addViolation(PromiseConfig, "configuration %d was read, but %d had been acknowledged", version, ackedBefore)
	}
}

// unfinishedSubmission describes why a submission counts as unfinished.
type unfinishedSubmission struct {
	id      string
	promise Promise
	problem string
}

// Unfinished returns the accepted submissions without a final state, and the cancelled ones whose cancel is not
// acknowledged or whose tasks still run.
func (c *Checker) Unfinished() []unfinishedSubmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string]submission.Ref{}
	for ref, t := range c.tasks {
		if len(t.running) > 0 {
			runs[ref.Submission] = ref
		}
	}
	var list []unfinishedSubmission
	for id, r := range c.records {
		ref, running := runs[id]
		switch {
		case !r.cancelSentAt.IsZero() && r.cancelAckedAt.IsZero():
			list = append(list, unfinishedSubmission{id, PromiseCancelled, "was cancelled, but no cancel was acknowledged"})
		case !r.cancelSentAt.IsZero() && running:
			list = append(list, unfinishedSubmission{id, PromiseCancelled, fmt.Sprintf("was cancelled, but %v still runs", ref)})
		case r.cancelSentAt.IsZero() && !r.acceptedAt.IsZero() && r.lastState != "done" && r.lastState != "failed":
			tasks := c.unfinishedTasks(r)
			list = append(list, unfinishedSubmission{id, PromiseKept, fmt.Sprintf("was accepted, is in state %q and waits for %v", r.lastState, tasks[:min(len(tasks), 3)])})
		}
	}
	slices.SortFunc(list, func(a, b unfinishedSubmission) int { return strings.Compare(a.id, b.id) })
	return list
}
