package emulator

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// defaultMaxLease is the longest lease that a worker accepts unless the options state another one.
	defaultMaxLease = 6 * time.Second
	// maxClockStart bounds the reading with which the clock of an incarnation starts, in ms.
	maxClockStart = 10_000_000
	// taskStopTime is how long a worker takes to stop a task.
	taskStopTime = 150 * time.Millisecond
	// minWakeInterval is the shortest timer with which a worker checks its lease and its runs.
	minWakeInterval = 2 * time.Millisecond
	// checkpointInterval is the run time between two checkpoints of a task.
	checkpointInterval = 300 * time.Millisecond
	// endlessStartupTime is the time until an endless task reports a progress of 100 percent.
	endlessStartupTime = 200 * time.Millisecond
	// crashDelay is the time from the start of a task that crashes its workers until the crash.
	crashDelay = 10 * time.Millisecond
)

// incarnation is one process lifetime of a worker. It implements the worker's side of the protocol and reports all events to
// the checker.
type incarnation struct {
	id            string
	startedAt     time.Time
	pool          string
	guards        bool
	size          *pb.Resources
	formerSizes   []formerSize
	heartbeat     time.Duration // interval of its reports
	maxLease      time.Duration // longest lease that it accepts
	clockStart    int64         // reading of its clock at the start, in ms
	clockSlowdown float64       // fraction by which the clock runs slow
	successor     bool          // not the first incarnation on its host
	checker       *Checker
	// maybeDelayed reports whether a network fault may have delayed a call that arrives now.
	maybeDelayed func() bool
	// crashHost crashes the worker and returns once the next incarnation has started.
	crashHost func()
	// sabotage makes the worker violate the protocol in the named way, to show that the checker detects it.
	sabotage Sabotage

	mu             sync.Mutex
	changed        chan struct{} // closed and replaced when a task ends
	wakeup         chan struct{} // buffered; an element makes run check for due ends again
	dead           bool
	refusesStarts  bool
	fence          uint64
	leaseUntil     int64     // end of the lease on the worker's clock, 0 if there is none
	leaseLapsedAt  time.Time // when a lease last lapsed
	running        map[submission.Ref]*taskRun
	closedAttempts map[submission.Ref]uint32 // highest attempt that has ended or was stopped
	ends           []taskEnd
	lastEndNumber  uint64
}

// formerSize is a capacity that a worker had until it shrank or grew.
type formerSize struct {
	*pb.Resources
	until time.Time
}

// taskRun is a running attempt of a task.
type taskRun struct {
	attempt         uint32
	profile         taskProfile
	startedAt       time.Time
	resumedProgress time.Duration
	stoppedAt       time.Time // zero unless a stop is in progress
}

// taskEnd is the end of a run that the leader has not committed yet.
type taskEnd struct {
	dispatch.Ended
	endedAt time.Time
}

func newIncarnation(w *incarnation) *incarnation {
	w.maxLease = cmp.Or(w.maxLease, defaultMaxLease)
	w.startedAt, w.changed, w.wakeup = time.Now(), make(chan struct{}), make(chan struct{}, 1)
	w.running, w.closedAttempts = map[submission.Ref]*taskRun{}, map[submission.Ref]uint32{}
	return w
}

// run ends runs when they are due until ctx ends.
func (w *incarnation) run(ctx context.Context) {
	for {
		w.mu.Lock()
		w.endDueRuns(time.Now())
		next, wakeup := w.untilNextEnd(), w.wakeup
		w.mu.Unlock()
		timer := time.NewTimer(max(next, minWakeInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// untilNextEnd returns the time until the lease or the next run may end.
func (w *incarnation) untilNextEnd() time.Duration {
	next := time.Duration(max(0, w.leaseUntil-w.clock()))*time.Millisecond + minWakeInterval
	if w.leaseUntil == 0 {
		next = w.maxLease
	}
	for _, r := range w.running {
		if !r.stoppedAt.IsZero() {
			next = min(next, taskStopTime-time.Since(r.stoppedAt))
		}
		switch left := r.profile.duration - r.resumedProgress - time.Since(r.startedAt); {
		case r.profile.endless:
		case r.attempt <= r.profile.failingAttempts:
			next = min(next, left-r.profile.duration/2)
		default:
			next = min(next, left)
		}
	}
	return next
}

// wake makes run check for due ends again.
func (w *incarnation) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// terminate ends all runs without a report to the system.
func (w *incarnation) terminate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for task := range w.running {
		w.checker.RunCrashed(w.name(), task)
	}
	clear(w.running)
}

func (w *incarnation) update(f func(*incarnation)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

func (w *incarnation) name() string { return fmt.Sprintf("%s/%d", w.id, w.startedAt.UnixMilli()) }

// clock returns the worker's clock in milliseconds.
func (w *incarnation) clock() int64 {
	return 1 + w.clockStart + int64(float64(time.Since(w.startedAt).Milliseconds())*(1-w.clockSlowdown))
}

// endDueRuns ends the runs that have finished, failed or stopped, and all runs once the lease has lapsed.
func (w *incarnation) endDueRuns(now time.Time) {
	if w.dead {
		return
	}
	expired := w.clock() >= w.leaseUntil
	if expired && w.leaseUntil != 0 {
		w.leaseUntil, w.leaseLapsedAt = 0, now
		w.checker.LeaseLapsed(w.name(), len(w.running))
	}
	for task, r := range w.running {
		progress := r.resumedProgress + now.Sub(r.startedAt)
		switch {
		case expired:
			w.end(task, r, pb.TaskEndKind_TASK_END_KIND_LOST, now)
		case !r.stoppedAt.IsZero() && now.Sub(r.stoppedAt) >= taskStopTime:
			w.end(task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, now)
		case r.profile.endless:
		case r.attempt <= r.profile.failingAttempts && progress >= r.profile.duration/2:
			w.end(task, r, pb.TaskEndKind_TASK_END_KIND_FAILED, now)
		case progress >= r.profile.duration:
			w.end(task, r, pb.TaskEndKind_TASK_END_KIND_DONE, now)
		}
	}
}

func (w *incarnation) end(task submission.Ref, r *taskRun, kind pb.TaskEndKind, now time.Time) {
	delete(w.running, task)
	w.closedAttempts[task] = max(w.closedAttempts[task], r.attempt)
	w.lastEndNumber++
	e := taskEnd{dispatch.Ended{Number: w.lastEndNumber, Task: task, Attempt: r.attempt, Kind: kind, Checkpoint: r.checkpoint(task, now)}, now}
	if w.sabotage == SabotageBudget && kind == pb.TaskEndKind_TASK_END_KIND_FAILED {
		e.Kind = pb.TaskEndKind_TASK_END_KIND_LOST
	}
	w.ends = append(w.ends, e)
	w.checker.TaskEnded(w.name(), task, r.attempt, kind, e.Checkpoint)
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkpoint returns the name of the last checkpoint of a run, empty if there is none.
func (r *taskRun) checkpoint(task submission.Ref, now time.Time) string {
	saved := (r.resumedProgress + now.Sub(r.startedAt)).Truncate(checkpointInterval)
	if !r.profile.checkpoints || saved <= 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d/%d/%d/%s", task.Submission, task.Occurrence, task.Step, task.Index, saved)
}

// checkFence rejects calls to a crashed worker and calls with an outdated fencing token. For all others it remembers the
// token and ends the runs that are due.
func (w *incarnation) checkFence(fence uint64) error {
	switch {
	case w.dead:
		return dispatch.ErrOtherIncarnation
	case fence < w.fence:
		return dispatch.ErrFenced
	}
	w.fence = max(w.fence, fence)
	w.endDueRuns(time.Now())
	return nil
}

func (w *incarnation) extendLease(untilMs int64) {
	w.leaseUntil = max(w.leaseUntil, min(untilMs, w.clock()+w.maxLease.Milliseconds()))
}

// endLease ends the lease at once, for sabotage.
func (w *incarnation) endLease() {
	w.leaseUntil = min(w.leaseUntil, 1)
	w.wake()
}

// Start implements dispatch.Caller.
func (w *incarnation) Start(_ context.Context, c dispatch.StartCall) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkFence(c.Fence); err != nil {
		return w.clock(), err
	}
	if w.refusesStarts {
		return w.clock(), dispatch.ErrUnavailable
	}
	if c.LeaseUntilMs <= w.clock() {
		return w.clock(), dispatch.ErrLeaseOver
	}
	w.extendLease(c.LeaseUntilMs)
	if r := w.running[c.Task]; r != nil && r.attempt == c.Attempt {
		return w.clock(), nil
	}
	if c.Attempt <= w.closedAttempts[c.Task] {
		return w.clock(), dispatch.ErrOldAttempt
	}
	profile, known := w.checker.TaskProfile(c.Task)
	if w.guards && !w.fits(profile, w.size) {
		return w.clock(), dispatch.ErrNoRoom
	}
	if w.sabotage == SabotageAsked {
		c.Payload += " and more"
	}
	w.checker.TaskStarted(StartEvent{Worker: w.name(), Pool: w.pool, Task: c.Task, Attempt: c.Attempt, Payload: c.Payload, Checkpoint: c.Checkpoint,
		ExceedsCapacity: !w.fits(profile, w.allowedSize(time.Now())), MaybeDelayed: w.maybeDelayed(), Known: known})
	w.running[c.Task] = &taskRun{attempt: c.Attempt, profile: profile, startedAt: time.Now(), resumedProgress: resumeFrom(c.Checkpoint)}
	w.wake()
	if profile.crashesWorker {
		time.AfterFunc(crashDelay, func() { w.crashUnder(c.Task, c.Attempt) })
	}
	switch w.sabotage {
	case SabotageOnce:
		w.reportFalseEnd(c.Task, c.Attempt, pb.TaskEndKind_TASK_END_KIND_LOST)
	case SabotageOrder, SabotageState:
		w.reportFalseEnd(c.Task, c.Attempt, pb.TaskEndKind_TASK_END_KIND_DONE)
	}
	return w.clock(), nil
}

// crashUnder crashes the worker if an attempt of a task still runs on it.
func (w *incarnation) crashUnder(task submission.Ref, attempt uint32) {
	w.mu.Lock()
	r := w.running[task]
	if w.dead || r == nil || r.attempt != attempt {
		w.mu.Unlock()
		return
	}
	w.checker.CrashCaused(task)
	if w.sabotage == SabotageCrashes {
		w.end(task, r, pb.TaskEndKind_TASK_END_KIND_LOST, time.Now())
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.crashHost()
}

// reportFalseEnd reports an end although the task continues to run, for sabotage.
func (w *incarnation) reportFalseEnd(task submission.Ref, attempt uint32, kind pb.TaskEndKind) {
	w.lastEndNumber++
	w.ends = append(w.ends, taskEnd{dispatch.Ended{Number: w.lastEndNumber, Task: task, Attempt: attempt, Kind: kind}, time.Now()})
	close(w.changed)
	w.changed = make(chan struct{})
}

// resumeFrom returns the progress that a checkpoint names, or 0 if it is malformed; the checker reports unknown checkpoints.
func resumeFrom(checkpoint string) time.Duration {
	var id string
	var occurrence, step, index uint32
	var saved string
	if _, err := fmt.Sscanf(checkpoint, "%16s/%d/%d/%d/%s", &id, &occurrence, &step, &index, &saved); err != nil {
		return 0
	}
	d, err := time.ParseDuration(saved)
	if err != nil {
		return 0
	}
	return d
}

// fits reports whether a task fits into a capacity beside those that run. Tasks that are being stopped still count.
func (w *incarnation) fits(profile taskProfile, size *pb.Resources) bool {
	cores, memory := profile.millicores, profile.memory
	if w.sabotage == SabotagePlace {
		cores += size.GetMillicores() - 1 // leaves almost no capacity, whatever was reported
	}
	for _, r := range w.running {
		cores, memory = cores+r.profile.millicores, memory+r.profile.memory
	}
	return cores <= size.GetMillicores() && memory <= size.GetMemoryBytes()
}

// stableWindow is the time after a change by which the platform expects machines that nothing disturbs to act on it.
const stableWindow = 3 * time.Second

// allowedSize returns the capacity that starts may use now. A capacity that has shrunk counts stableWindow and one heartbeat
// later, one that has grown at once.
func (w *incarnation) allowedSize(now time.Time) *pb.Resources {
	size := proto.CloneOf(w.size)
	for _, former := range w.formerSizes {
		if now.Sub(former.until) < stableWindow+w.heartbeat {
			size.Millicores = max(size.GetMillicores(), former.GetMillicores())
			size.MemoryBytes = max(size.GetMemoryBytes(), former.GetMemoryBytes())
		}
	}
	return size
}

// resize changes the capacity of the worker. What runs goes on, even if it no longer fits.
func (w *incarnation) resize(size *pb.Resources) {
	w.formerSizes = append(w.formerSizes, formerSize{w.size, time.Now()})
	w.size = size
}

// Stop implements dispatch.Caller.
func (w *incarnation) Stop(_ context.Context, c dispatch.StopCall) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkFence(c.Fence); err != nil {
		return w.clock(), err
	}
	w.closedAttempts[c.Task] = max(w.closedAttempts[c.Task], c.Attempt)
	if r := w.running[c.Task]; r != nil && r.attempt <= c.Attempt && r.stoppedAt.IsZero() && w.sabotage != SabotageCancelled {
		r.stoppedAt = time.Now()
		w.wake()
	}
	return w.clock(), nil
}

// Throttle implements dispatch.Caller. It only checks the fencing token, because emulated tasks do not contend for CPU.
func (w *incarnation) Throttle(_ context.Context, c dispatch.ThrottleCall) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(), w.checkFence(c.Fence)
}

// Hold implements dispatch.Caller.
func (w *incarnation) Hold(ctx context.Context, c dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	deadline := time.NewTimer(time.Duration(c.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		w.mu.Lock()
		if err := w.checkFence(c.Fence); err != nil {
			answer := dispatch.HoldAnswer{ClockMs: w.clock()}
			w.mu.Unlock()
			return answer, err
		}
		if c.LeaseUntilMs > 0 {
			w.extendLease(c.LeaseUntilMs)
		}
		w.dropCommittedEnds(c.SeenEnd)
		answer, changed := w.holdAnswer(), w.changed
		w.mu.Unlock()
		if len(answer.Ended) > 0 || c.WaitMs == 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return answer, dispatch.ErrNoAnswer
		case <-deadline.C:
			c.WaitMs = 0
		}
	}
}

// dropCommittedEnds drops the ends up to number seen, which the leader has committed.
func (w *incarnation) dropCommittedEnds(seen uint64) {
	for len(w.ends) > 0 && w.ends[0].Number <= seen {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.checker.EndCommitted(w.name(), e.Task, e.Attempt, e.endedAt, w.leaseLapsedAt.After(e.endedAt))
	}
}

// maxEnds bounds the ends in one answer.
const maxEnds = 500

func (w *incarnation) holdAnswer() dispatch.HoldAnswer {
	answer, now := dispatch.HoldAnswer{ClockMs: w.clock(), BornUnixMs: w.startedAt.UnixMilli()}, time.Now()
	for task, r := range w.running {
		percent := min(100, 100*float64(r.resumedProgress+now.Sub(r.startedAt))/float64(max(r.profile.duration, time.Millisecond)))
		if r.profile.endless {
			percent = min(100, 100*float64(now.Sub(r.startedAt))/float64(endlessStartupTime))
		}
		saved := r.checkpoint(task, now)
		w.checker.CheckpointReported(task, saved)
		answer.Running = append(answer.Running, dispatch.Running{Task: task, Attempt: r.attempt, Checkpoint: saved, Percent: percent, Figure: float64(r.profile.millicores)})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		answer.Ended = append(answer.Ended, e.Ended)
	}
	return answer
}
