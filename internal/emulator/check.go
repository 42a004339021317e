package emulator

import (
	"fmt"
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
	// PromiseCrashes: a task under which three workers have crashed is started fewer than three times more.
	PromiseCrashes Promise = "crashes"
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
	// PromiseHeld: a task does not lose its lease on a worker that only control VMs do not reach.
	PromiseHeld Promise = "held"
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
	// crashLimit is the number of workers that a task may crash before maxStartsAfterCrashes applies.
	crashLimit = 3
	// maxStartsAfterCrashes is the number of starts after crashLimit crashes that breaks the promise.
	maxStartsAfterCrashes = 3
	// crashesToFail is the number of workers that a task must have crashed before its submission may be shown as failed.
	crashesToFail = 2
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
	crashesWorker   bool // each worker that starts the task crashes
}

// submissionRecord holds what the checker has observed of a submission.
type submissionRecord struct {
	spec  *pb.SubmissionSpec
	queue *pb.Queue
	behaviour
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
	crashesCaused     int // workers that the task has crashed
	startsAfterLimit  int // starts after crashLimit crashes
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
	maxLease     time.Duration // longest lease of the workers
	startedAt    time.Time
	records      map[string]*submissionRecord
	tasks        map[submission.Ref]*taskRecord
	endKinds     map[runKey]pb.TaskEndKind
	violations   []Violation
	lastFaultEnd time.Time // when a fault last ended
	activeFaults int
	// activeOthers and lastOtherEnd are the same for faults other than FaultCutWorkers.
	activeOthers int
	lastOtherEnd time.Time
	ackedConfig  uint64 // newest acknowledged version
	sentConfigs  map[uint64]bool
	stats        Stats
	series       Series
}

// Stats counts the events of a run.
type Stats struct {
	Submitted, Accepted, Refused, Done, Cancelled, Starts, Finished, Failed, Stopped, Lost, Crashes, Configs, Answered int
}

// NewChecker returns a checker with no observations.
func NewChecker() *Checker {
	now := time.Now()
	return &Checker{maxLease: defaultMaxLease, startedAt: now, lastFaultEnd: now, records: map[string]*submissionRecord{}, tasks: map[submission.Ref]*taskRecord{}, endKinds: map[runKey]pb.TaskEndKind{},
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
func (c *Checker) FaultStarted(kind FaultKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults++
	if kind != FaultCutWorkers {
		c.activeOthers++
	}
}

// FaultEnded records the end of a fault.
func (c *Checker) FaultEnded(kind FaultKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults--
	c.lastFaultEnd = time.Now()
	if kind != FaultCutWorkers {
		c.activeOthers--
		c.lastOtherEnd = time.Now()
	}
}

// noFaultSince reports whether no fault is active and the last one ended more than settleTime before t.
func (c *Checker) noFaultSince(t time.Time) bool {
	return c.activeFaults == 0 && t.Sub(c.lastFaultEnd) > settleTime
}
