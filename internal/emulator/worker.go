// Package emulator runs a whole deployment on one machine: the real programs as processes, and emulated workers, callers
// and an operator that connect to them. It injects faults and checks the guarantees of the system.
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

func newIncarnation(l *incarnation) *incarnation {
	l.maxLease = cmp.Or(l.maxLease, defaultMaxLease)
	l.startedAt, l.changed, l.wakeup = time.Now(), make(chan struct{}), make(chan struct{}, 1)
	l.running, l.closedAttempts = map[submission.Ref]*taskRun{}, map[submission.Ref]uint32{}
	return l
}

// run ends runs when they are due until ctx ends.
func (l *incarnation) run(ctx context.Context) {
	for {
		l.mu.Lock()
		l.endDueRuns(time.Now())
		next, wakeup := l.untilNextEnd(), l.wakeup
		l.mu.Unlock()
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
func (l *incarnation) untilNextEnd() time.Duration {
	next := time.Duration(max(0, l.leaseUntil-l.clock()))*time.Millisecond + minWakeInterval
	if l.leaseUntil == 0 {
		next = l.maxLease
	}
	for _, r := range l.running {
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
func (l *incarnation) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// terminate ends all runs without a report to the system.
func (l *incarnation) terminate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
	for task, r := range l.running {
		l.checker.RunCrashed(l.name(), task, r.attempt)
	}
	clear(l.running)
}

func (l *incarnation) update(f func(*incarnation)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func (l *incarnation) name() string { return fmt.Sprintf("%s/%d", l.id, l.startedAt.UnixMilli()) }

// clock returns the worker's clock in milliseconds.
func (l *incarnation) clock() int64 {
	return 1 + l.clockStart + int64(float64(time.Since(l.startedAt).Milliseconds())*(1-l.clockSlowdown))
}

// endDueRuns ends the runs that have finished, failed or stopped, and all runs once the lease has lapsed.
func (l *incarnation) endDueRuns(now time.Time) {
	if l.dead {
		return
	}
	expired := l.clock() >= l.leaseUntil
	if expired && l.leaseUntil != 0 {
		l.leaseUntil, l.leaseLapsedAt = 0, now
		l.checker.LeaseLapsed(l.name(), len(l.running))
	}
	for task, r := range l.running {
		progress := r.resumedProgress + now.Sub(r.startedAt)
		switch {
		case expired:
			l.end(task, r, pb.TaskEndKind_TASK_END_KIND_LOST, now)
		case !r.stoppedAt.IsZero() && now.Sub(r.stoppedAt) >= taskStopTime:
			l.end(task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, now)
		case r.profile.endless:
		case r.attempt <= r.profile.failingAttempts && progress >= r.profile.duration/2:
			l.end(task, r, pb.TaskEndKind_TASK_END_KIND_FAILED, now)
		case progress >= r.profile.duration:
			l.end(task, r, pb.TaskEndKind_TASK_END_KIND_DONE, now)
		}
	}
}

func (l *incarnation) end(task submission.Ref, r *taskRun, kind pb.TaskEndKind, now time.Time) {
	delete(l.running, task)
	l.closedAttempts[task] = max(l.closedAttempts[task], r.attempt)
	l.lastEndNumber++
	e := taskEnd{dispatch.Ended{Number: l.lastEndNumber, Task: task, Attempt: r.attempt, Kind: kind, Checkpoint: r.checkpoint(task, now)}, now}
	if l.sabotage == SabotageBudget && kind == pb.TaskEndKind_TASK_END_KIND_FAILED {
		e.Kind = pb.TaskEndKind_TASK_END_KIND_LOST
	}
	l.ends = append(l.ends, e)
	l.checker.TaskEnded(l.name(), task, r.attempt, kind, e.Checkpoint)
	close(l.changed)
	l.changed = make(chan struct{})
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
func (l *incarnation) checkFence(fence uint64) error {
	switch {
	case l.dead:
		return dispatch.ErrOtherIncarnation
	case fence < l.fence:
		return dispatch.ErrFenced
	}
	l.fence = max(l.fence, fence)
	l.endDueRuns(time.Now())
	return nil
}

func (l *incarnation) extendLease(untilMs int64) {
	l.leaseUntil = max(l.leaseUntil, min(untilMs, l.clock()+l.maxLease.Milliseconds()))
}

// endLease ends the lease at once, for sabotage.
func (l *incarnation) endLease() {
	l.leaseUntil = min(l.leaseUntil, 1)
	l.wake()
}

// Start implements dispatch.Caller.
func (l *incarnation) Start(_ context.Context, c dispatch.StartCall) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkFence(c.Fence); err != nil {
		return l.clock(), err
	}
	if l.refusesStarts {
		return l.clock(), dispatch.ErrUnavailable
	}
	if c.LeaseUntilMs <= l.clock() {
		return l.clock(), dispatch.ErrLeaseOver
	}
	l.extendLease(c.LeaseUntilMs)
	if r := l.running[c.Task]; r != nil && r.attempt == c.Attempt {
		return l.clock(), nil
	}
	if c.Attempt <= l.closedAttempts[c.Task] {
		return l.clock(), dispatch.ErrOldAttempt
	}
	profile, known := l.checker.TaskProfile(c.Task)
	if l.guards && !l.fits(profile, l.size) {
		return l.clock(), dispatch.ErrNoRoom
	}
	if l.sabotage == SabotageAsked {
		c.Payload += " and more"
	}
	l.checker.TaskStarted(StartEvent{Worker: l.name(), Pool: l.pool, Task: c.Task, Attempt: c.Attempt, Payload: c.Payload, Checkpoint: c.Checkpoint,
		ExceedsCapacity: !l.fits(profile, l.allowedSize(time.Now())), MaybeDelayed: l.maybeDelayed(), Known: known})
	l.running[c.Task] = &taskRun{attempt: c.Attempt, profile: profile, startedAt: time.Now(), resumedProgress: resumeFrom(c.Checkpoint)}
	l.wake()
	if profile.crashesWorker {
		time.AfterFunc(crashDelay, func() { l.crashUnder(c.Task, c.Attempt) })
	}
	switch l.sabotage {
	case SabotageOnce:
		l.reportFalseEnd(c.Task, c.Attempt, pb.TaskEndKind_TASK_END_KIND_LOST)
	case SabotageOrder, SabotageState:
		l.reportFalseEnd(c.Task, c.Attempt, pb.TaskEndKind_TASK_END_KIND_DONE)
	}
	return l.clock(), nil
}

// crashUnder crashes the worker if an attempt of a task still runs on it.
func (l *incarnation) crashUnder(task submission.Ref, attempt uint32) {
	l.mu.Lock()
	r := l.running[task]
	if l.dead || r == nil || r.attempt != attempt {
		l.mu.Unlock()
		return
	}
	l.checker.CrashCaused(task)
	if l.sabotage == SabotageCrashes {
		l.end(task, r, pb.TaskEndKind_TASK_END_KIND_LOST, time.Now())
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.crashHost()
}

// reportFalseEnd reports an end although the task continues to run, for sabotage.
func (l *incarnation) reportFalseEnd(task submission.Ref, attempt uint32, kind pb.TaskEndKind) {
	l.lastEndNumber++
	l.ends = append(l.ends, taskEnd{dispatch.Ended{Number: l.lastEndNumber, Task: task, Attempt: attempt, Kind: kind}, time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
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
func (l *incarnation) fits(profile taskProfile, size *pb.Resources) bool {
	cores, memory := profile.millicores, profile.memory
	if l.sabotage == SabotagePlace {
		cores += size.GetMillicores() - 1 // leaves almost no capacity, whatever was reported
	}
	for _, r := range l.running {
		cores, memory = cores+r.profile.millicores, memory+r.profile.memory
	}
	return cores <= size.GetMillicores() && memory <= size.GetMemoryBytes()
}

// stableWindow is the time after a change by which the platform expects machines that nothing disturbs to act on it.
const stableWindow = 3 * time.Second

// allowedSize returns the capacity that starts may use now. A capacity that has shrunk counts stableWindow and one heartbeat
// later, one that has grown at once.
func (l *incarnation) allowedSize(now time.Time) *pb.Resources {
	size := proto.CloneOf(l.size)
	for _, former := range l.formerSizes {
		if now.Sub(former.until) < stableWindow+l.heartbeat {
			size.Millicores = max(size.GetMillicores(), former.GetMillicores())
			size.MemoryBytes = max(size.GetMemoryBytes(), former.GetMemoryBytes())
		}
	}
	return size
}

// resize changes the capacity of the worker. What runs goes on, even if it no longer fits.
func (l *incarnation) resize(size *pb.Resources) {
	l.formerSizes = append(l.formerSizes, formerSize{l.size, time.Now()})
	l.size = size
}

// Stop implements dispatch.Caller.
func (l *incarnation) Stop(_ context.Context, c dispatch.StopCall) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkFence(c.Fence); err != nil {
		return l.clock(), err
	}
	l.closedAttempts[c.Task] = max(l.closedAttempts[c.Task], c.Attempt)
	if r := l.running[c.Task]; r != nil && r.attempt <= c.Attempt && r.stoppedAt.IsZero() && l.sabotage != SabotageCancelled {
		r.stoppedAt = time.Now()
		l.wake()
	}
	return l.clock(), nil
}

// Throttle implements dispatch.Caller. It only checks the fencing token, because emulated tasks do not contend for CPU.
func (l *incarnation) Throttle(_ context.Context, c dispatch.ThrottleCall) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock(), l.checkFence(c.Fence)
}

// Hold implements dispatch.Caller.
func (l *incarnation) Hold(ctx context.Context, c dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	deadline := time.NewTimer(time.Duration(c.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		l.mu.Lock()
		if err := l.checkFence(c.Fence); err != nil {
			answer := dispatch.HoldAnswer{ClockMs: l.clock()}
			l.mu.Unlock()
			return answer, err
		}
		if c.LeaseUntilMs > 0 {
			l.extendLease(c.LeaseUntilMs)
		}
		l.dropCommittedEnds(c.SeenEnd)
		answer, changed := l.holdAnswer(), l.changed
		l.mu.Unlock()
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
func (l *incarnation) dropCommittedEnds(seen uint64) {
	for len(l.ends) > 0 && l.ends[0].Number <= seen {
		e := l.ends[0]
		l.ends = l.ends[1:]
		l.checker.EndCommitted(l.name(), e.Task, e.Attempt, e.endedAt, l.leaseLapsedAt.After(e.endedAt))
	}
}

// maxEnds bounds the ends in one answer.
const maxEnds = 500

func (l *incarnation) holdAnswer() dispatch.HoldAnswer {
	answer, now := dispatch.HoldAnswer{ClockMs: l.clock(), BornUnixMs: l.startedAt.UnixMilli()}, time.Now()
	for task, r := range l.running {
		percent := min(100, 100*float64(r.resumedProgress+now.Sub(r.startedAt))/float64(max(r.profile.duration, time.Millisecond)))
		if r.profile.endless {
			percent = min(100, 100*float64(now.Sub(r.startedAt))/float64(endlessStartupTime))
		}
		saved := r.checkpoint(task, now)
		l.checker.CheckpointReported(task, saved)
		answer.Running = append(answer.Running, dispatch.Running{Task: task, Attempt: r.attempt, Checkpoint: saved, Percent: percent, Figure: float64(r.profile.millicores)})
	}
	for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
		answer.Ended = append(answer.Ended, e.Ended)
	}
	return answer
}
