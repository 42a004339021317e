// Package emulator plays a whole deployment on one machine: the real programs as processes, and around them workers,
// callers and an operator that speak to them from outside. It injects faults and checks what the system promises.
package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// leaseMax is the longest lease that a worker grants.
	leaseMax = 6 * time.Second
	// stopTime is how long a worker takes to stop a task.
	stopTime = 150 * time.Millisecond
	// workerStep is the least time between two looks of a worker at its leases and at finished work.
	workerStep = 2 * time.Millisecond
	// checkpointEvery is the work after which a task saves its progress.
	checkpointEvery = 300 * time.Millisecond
	// endlessStartup is the time until an endless task is at work.
	endlessStartup = 200 * time.Millisecond
)

// life is one life of a worker. It keeps the worker's side of the contract and tells the checker all that happens.
type life struct {
	id      string
	born    time.Time
	pool    string
	guards  bool
	size    *pb.Resources
	slow    float64 // share by which the clock is slow
	later   bool    // another life was here before
	checker *Checker
	// heldUp reports whether a call that arrives now may have been held up on its way.
	heldUp func() bool
	// sabotage breaks the contract in the named way, to show that the checker notices.
	sabotage Sabotage

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when a task ends
	woken   chan struct{} // holds an element if run has to look again
	dead    bool
	unwell  bool
	fence   uint64
	until   int64 // end of the lease on the worker's clock
	lapsed  time.Time
	running map[submission.Ref]*taskRun
	barred  map[submission.Ref]uint32
	ends    []taskEnd
	number  uint64
}

type taskRun struct {
	attempt   uint32
	work      taskWork
	began     time.Time
	resumed   time.Duration
	stoppedAt time.Time // zero unless being stopped
}

type taskEnd struct {
	dispatch.Ended
	at time.Time
}

func newLife(l *life) *life {
	l.born, l.changed, l.woken = time.Now(), make(chan struct{}), make(chan struct{}, 1)
	l.running, l.barred = map[submission.Ref]*taskRun{}, map[submission.Ref]uint32{}
	return l
}

// run ends what is due until ctx ends.
func (l *life) run(ctx context.Context) {
	for {
		l.mu.Lock()
		l.advance(time.Now())
		next, changed := l.next(), l.woken
		l.mu.Unlock()
		timer := time.NewTimer(max(next, workerStep))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// next returns the time until something may end: each end, and the end of the lease, is looked for anew.
func (l *life) next() time.Duration {
	next := time.Duration(max(0, l.until-l.clock()))*time.Millisecond + workerStep
	if l.until == 0 {
		next = leaseMax
	}
	for _, r := range l.running {
		if !r.stoppedAt.IsZero() {
			next = min(next, stopTime-time.Since(r.stoppedAt))
		}
		switch left := r.work.takes - r.resumed - time.Since(r.began); {
		case r.work.endless:
		case r.attempt <= r.work.failures:
			next = min(next, left-r.work.takes/2)
		default:
			next = min(next, left)
		}
	}
	return next
}

// wake makes run look again.
func (l *life) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// die ends everything without a report.
func (l *life) die() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
	for task, r := range l.running {
		l.checker.Vanished(l.name(), task, r.attempt)
	}
	clear(l.running)
}

func (l *life) set(f func(*life)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func (l *life) name() string { return fmt.Sprintf("%s/%d", l.id, l.born.UnixMilli()) }

// clock returns the worker's clock in ms.
func (l *life) clock() int64 {
	return 1 + int64(float64(time.Since(l.born).Milliseconds())*(1-l.slow))
}

// advance ends what is finished, stopped or out of lease.
func (l *life) advance(now time.Time) {
	if l.dead {
		return
	}
	over := l.clock() >= l.until
	if over && l.until != 0 {
		l.until, l.lapsed = 0, now
	}
	for task, r := range l.running {
		done := r.resumed + now.Sub(r.began)
		switch {
		case over:
			l.end(task, r, pb.TaskEndKind_TASK_END_KIND_LOST, now)
		case !r.stoppedAt.IsZero() && now.Sub(r.stoppedAt) >= stopTime:
			l.end(task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, now)
		case r.work.endless:
		case r.attempt <= r.work.failures && done >= r.work.takes/2:
			l.end(task, r, pb.TaskEndKind_TASK_END_KIND_FAILED, now)
		case done >= r.work.takes:
			l.end(task, r, pb.TaskEndKind_TASK_END_KIND_DONE, now)
		}
	}
}

func (l *life) end(task submission.Ref, r *taskRun, kind pb.TaskEndKind, now time.Time) {
	delete(l.running, task)
	l.barred[task] = max(l.barred[task], r.attempt)
	l.number++
	e := taskEnd{dispatch.Ended{Number: l.number, Task: task, Attempt: r.attempt, Kind: kind, Checkpoint: r.checkpoint(task, now)}, now}
	if l.sabotage == SabotageBudget && kind == pb.TaskEndKind_TASK_END_KIND_FAILED {
		e.Kind = pb.TaskEndKind_TASK_END_KIND_LOST
	}
	l.ends = append(l.ends, e)
	l.checker.Ended(l.name(), task, r.attempt, kind, e.Checkpoint)
	close(l.changed)
	l.changed = make(chan struct{})
}

// checkpoint names the saved progress of a run, empty if there is none.
func (r *taskRun) checkpoint(task submission.Ref, now time.Time) string {
	saved := (r.resumed + now.Sub(r.began)).Truncate(checkpointEvery)
	if !r.work.checkpoints || saved <= 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d/%d/%d/%s", task.Submission, task.Occurrence, task.Step, task.Index, saved)
}

// obey checks whether a call with the fence may be carried out.
func (l *life) obey(fence uint64) error {
	switch {
	case l.dead:
		return dispatch.ErrOtherIncarnation
	case fence < l.fence:
		return dispatch.ErrFenced
	}
	l.fence = max(l.fence, fence)
	l.advance(time.Now())
	return nil
}

func (l *life) extend(untilMs int64) {
	l.until = max(l.until, min(untilMs, l.clock()+leaseMax.Milliseconds()))
}

// Start implements dispatch.Caller.
func (l *life) Start(_ context.Context, c dispatch.StartCall) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.obey(c.Fence); err != nil {
		return l.clock(), err
	}
	if l.unwell {
		return l.clock(), dispatch.ErrUnavailable
	}
	if c.LeaseUntilMs <= l.clock() {
		return l.clock(), dispatch.ErrLeaseOver
	}
	l.extend(c.LeaseUntilMs)
	if r := l.running[c.Task]; r != nil && r.attempt == c.Attempt {
		return l.clock(), nil
	}
	if c.Attempt <= l.barred[c.Task] {
		return l.clock(), dispatch.ErrOldAttempt
	}
	work, known := l.checker.Work(c.Task)
	fits := l.fits(work)
	if !fits && l.guards {
		return l.clock(), dispatch.ErrNoRoom
	}
	if l.sabotage == SabotageAsked {
		c.Payload += " and more"
	}
	l.checker.Started(StartEvent{Worker: l.name(), Pool: l.pool, Task: c.Task, Attempt: c.Attempt, Payload: c.Payload, Checkpoint: c.Checkpoint,
		Over: !fits, HeldUp: l.heldUp(), Known: known})
	l.running[c.Task] = &taskRun{attempt: c.Attempt, work: work, began: time.Now(), resumed: resumeFrom(c.Checkpoint)}
	l.wake()
	switch l.sabotage {
	case SabotageOnce:
		l.pretend(c.Task, c.Attempt, pb.TaskEndKind_TASK_END_KIND_LOST)
	case SabotageOrder, SabotageState:
		l.pretend(c.Task, c.Attempt, pb.TaskEndKind_TASK_END_KIND_DONE)
	}
	return l.clock(), nil
}

// pretend reports an end although the task runs on, for sabotage.
func (l *life) pretend(task submission.Ref, attempt uint32, kind pb.TaskEndKind) {
	l.number++
	l.ends = append(l.ends, taskEnd{dispatch.Ended{Number: l.number, Task: task, Attempt: attempt, Kind: kind}, time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
}

// resumeFrom returns the progress that a checkpoint names; one that cannot be read, which the checker reports, is none.
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

// fits reports whether the worker has room for a task. What is being stopped still counts.
func (l *life) fits(work taskWork) bool {
	cores, memory := work.millicores, work.memory
	if l.sabotage == SabotagePlace {
		cores += l.size.GetMillicores() - 1 // room for almost nothing, whatever was reported
	}
	for _, r := range l.running {
		cores, memory = cores+r.work.millicores, memory+r.work.memory
	}
	return cores <= l.size.GetMillicores() && memory <= l.size.GetMemoryBytes()
}

// Stop implements dispatch.Caller.
func (l *life) Stop(_ context.Context, c dispatch.StopCall) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.obey(c.Fence); err != nil {
		return l.clock(), err
	}
	l.barred[c.Task] = max(l.barred[c.Task], c.Attempt)
	if r := l.running[c.Task]; r != nil && r.attempt <= c.Attempt && r.stoppedAt.IsZero() && l.sabotage != SabotageCancelled {
		r.stoppedAt = time.Now()
		l.wake()
	}
	return l.clock(), nil
}

// Throttle implements dispatch.Caller. Tasks of the emulator do not slow each other down, so a share changes nothing.
func (l *life) Throttle(_ context.Context, c dispatch.ThrottleCall) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock(), l.obey(c.Fence)
}

// Hold implements dispatch.Caller.
func (l *life) Hold(ctx context.Context, c dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	deadline := time.NewTimer(time.Duration(c.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		l.mu.Lock()
		if err := l.obey(c.Fence); err != nil {
			answer := dispatch.HoldAnswer{ClockMs: l.clock()}
			l.mu.Unlock()
			return answer, err
		}
		if c.LeaseUntilMs > 0 {
			l.extend(c.LeaseUntilMs)
		}
		l.forget(c.SeenEnd)
		answer, changed := l.held(), l.changed
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

// forget drops the ends that the leader has committed.
func (l *life) forget(seen uint64) {
	for len(l.ends) > 0 && l.ends[0].Number <= seen {
		e := l.ends[0]
		l.ends = l.ends[1:]
		l.checker.Noted(l.name(), e.Task, e.Attempt, e.at, l.lapsed.After(e.at))
	}
}

// maxEnds is the most ends in one answer.
const maxEnds = 500

func (l *life) held() dispatch.HoldAnswer {
	answer, now := dispatch.HoldAnswer{ClockMs: l.clock(), BornUnixMs: l.born.UnixMilli()}, time.Now()
	for task, r := range l.running {
		percent := min(100, 100*float64(r.resumed+now.Sub(r.began))/float64(max(r.work.takes, time.Millisecond)))
		if r.work.endless {
			percent = min(100, 100*float64(now.Sub(r.began))/float64(endlessStartup))
		}
		saved := r.checkpoint(task, now)
		l.checker.Saved(task, saved)
		answer.Running = append(answer.Running, dispatch.Running{Task: task, Attempt: r.attempt, Checkpoint: saved, Percent: percent, Figure: float64(r.work.millicores)})
	}
	for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
		answer.Ended = append(answer.Ended, e.Ended)
	}
	return answer
}
