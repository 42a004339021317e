package emulator

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// This file checks what workers observe.

// TaskProfile returns the profile of a task, and whether a caller has submitted the task.
func (c *Checker) TaskProfile(task submission.Ref) (taskProfile, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[task.Submission]
	if r == nil || int(task.Step) >= len(r.spec.GetSteps()) || task.Index >= r.spec.GetSteps()[task.Step].GetCount() {
		return taskProfile{}, false
	}
	step := r.spec.GetSteps()[task.Step]
	p := taskProfile{duration: time.Duration(step.GetEstimateMs()) * time.Millisecond, failingAttempts: r.failingAttempts, memory: step.GetSize().GetMemoryBytes(),
		checkpoints: step.GetCheckpoints(), endless: step.GetEndless(), crashesWorker: r.crashesWorkers && task.Step == 0 && task.Index == 0}
	if !step.GetFills() {
		p.millicores = step.GetSize().GetMillicores()
	}
	return p, true
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
	c.countSecond(&c.series.Starts)
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
	c.checkCrashes(e, t)
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
		c.addSample(&c.series.Start, now.Sub(r.submittedAt))
	}
	c.checkRefusedNotStarted(e.Task.Submission, r)
}

// checkCrashes checks that a task that has crashed several workers is not started without end. Starts that a network fault may
// have delayed do not count.
func (c *Checker) checkCrashes(e StartEvent, t *taskRecord) {
	if t.crashesCaused < crashLimit || e.MaybeDelayed {
		return
	}
	if t.startsAfterLimit++; t.startsAfterLimit == maxStartsAfterCrashes {
		c.addViolation(PromiseCrashes, "%v attempt %d was started on %s, start %d after it had crashed %d workers", e.Task, e.Attempt, e.Worker, t.startsAfterLimit, crashLimit)
	}
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
		c.countSecond(&c.series.Stops)
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
func (c *Checker) RunCrashed(worker string, ref submission.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.taskRecord(ref).running, worker)
}

// CrashCaused records that a task has crashed a worker.
func (c *Checker) CrashCaused(ref submission.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskRecord(ref).crashesCaused++
	c.stats.Crashes++
}

// LeaseLapsed records that the lease of a worker has lapsed under a number of tasks. No lease lapses for faults of the kind FaultCutWorkers
// alone: it was extended one lease ago at the earliest, and no other fault may have acted for settleTime then.
func (c *Checker) LeaseLapsed(worker string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tasks > 0 && c.activeOthers == 0 && time.Since(c.lastOtherEnd) > c.maxLease+settleTime {
		c.addViolation(PromiseHeld, "the lease of %s lapsed under %d tasks, though intake VMs reach it", worker, tasks)
	}
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
