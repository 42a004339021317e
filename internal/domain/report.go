package domain

import (
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// reportAttempts applies the reports of a worker in order. Reports of unknown attempts are ignored. Reports are
// idempotent: a repeated report finds its attempt already closed or in the reported state.
func (s *State) reportAttempts(c *pb.ReportAttempts) Result {
	w, err := s.workerInEpoch(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	if w.pb.GetState() == pb.WorkerState_WORKER_STATE_LOST {
		return Result{Err: ErrStaleEpoch.With("worker %s was lost", c.GetWorker())}
	}
	w = s.mutableWorker(w)
	for _, r := range c.GetReports() {
		s.applyReport(w, r)
	}
	return Result{Worker: w.pb}
}

// applyReport applies one report. The worker belongs to the current generation.
func (s *State) applyReport(w *worker, r *pb.AttemptReport) {
	if EndsAttempt(r.GetEvent()) && indexOfAllocation(w.held, r.GetTask(), r.GetAttempt()) >= 0 {
		w.release(r.GetTask(), r.GetAttempt())
		s.change.Workers = append(s.change.Workers, w.pb)
	}
	t := s.tasks.value(r.GetTask())
	if t == nil || t.GetAttempt() != r.GetAttempt() || Ended(t.GetState()) {
		return
	}
	if !Assigned(t.GetState()) {
		s.reportAfterClose(t, r)
		return
	}
	if indexOfAllocation(w.assigned, t.Id, r.GetAttempt()) < 0 {
		return // assigned to another worker
	}
	next := cloneTask(t)
	updateCheckpoint(next, r)
	s.applyEvent(w, next, r)
	s.storeTask(next)
}

// EndsAttempt reports whether the event means that the attempt no longer occupies the worker.
func EndsAttempt(event pb.AttemptEvent) bool {
	switch event {
	case pb.AttemptEvent_ATTEMPT_EVENT_FINISHED, pb.AttemptEvent_ATTEMPT_EVENT_FAILED,
		pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, pb.AttemptEvent_ATTEMPT_EVENT_REFUSED:
		return true
	default:
		return false
	}
}

// reportAfterClose applies a report of the latest attempt of a task after that attempt was closed. A newer checkpoint
// is stored, and a late finish ends the task, so that finished work is not run again.
func (s *State) reportAfterClose(t *pb.Task, r *pb.AttemptReport) {
	finished := r.GetEvent() == pb.AttemptEvent_ATTEMPT_EVENT_FINISHED
	if !finished && !newerCheckpoint(t, r) {
		return
	}
	next := cloneTask(t)
	updateCheckpoint(next, r)
	if finished {
		s.endTask(next, pb.TaskState_TASK_STATE_FINISHED)
	}
	s.storeTask(next)
}

// newerCheckpoint reports whether r carries a checkpoint of its own attempt that is newer than that of the task.
func newerCheckpoint(t *pb.Task, r *pb.AttemptReport) bool {
	c, old := r.GetCheckpoint(), t.GetCheckpoint()
	if c == nil || c.GetAttempt() != r.GetAttempt() {
		return false
	}
	if c.GetAttempt() != old.GetAttempt() {
		return c.GetAttempt() > old.GetAttempt()
	}
	return c.GetSequence() > old.GetSequence()
}

func updateCheckpoint(t *pb.Task, r *pb.AttemptReport) {
	if newerCheckpoint(t, r) {
		t.Checkpoint = r.GetCheckpoint()
	}
}

// applyEvent moves a task to the state that follows from the event of its current attempt.
func (s *State) applyEvent(w *worker, t *pb.Task, r *pb.AttemptReport) {
	switch r.GetEvent() {
	case pb.AttemptEvent_ATTEMPT_EVENT_STARTED:
		if t.State == pb.TaskState_TASK_STATE_STARTING {
			t.State = pb.TaskState_TASK_STATE_RUNNING
			t.StartedUnixMs = s.unixMs
		}
	case pb.AttemptEvent_ATTEMPT_EVENT_FINISHED:
		s.freeAttempt(w, t)
		s.endTask(t, pb.TaskState_TASK_STATE_FINISHED)
	case pb.AttemptEvent_ATTEMPT_EVENT_FAILED:
		s.freeAttempt(w, t)
		s.recordFailure(t, w.pb.GetId(), r.GetReason())
	case pb.AttemptEvent_ATTEMPT_EVENT_STOPPED:
		s.freeAttempt(w, t)
		s.requeue(t)
	case pb.AttemptEvent_ATTEMPT_EVENT_REFUSED:
		s.freeAttempt(w, t)
		appendFailedOn(t, w.pb.GetId())
		t.Reason = r.GetReason()
		s.requeue(t)
	}
}

// recordFailure queues a failed task again, because the worker may be at fault, until the task has failed MaxFailures
// times.
func (s *State) recordFailure(t *pb.Task, workerID, reason string) {
	t.Failures++
	t.Reason = reason
	appendFailedOn(t, workerID)
	if t.Failures >= s.limits.MaxFailures && !t.GetCancelRequested() {
		s.endTask(t, pb.TaskState_TASK_STATE_FAILED)
		return
	}
	s.requeue(t)
}

// expire removes old request records, ended tasks and lost workers. Nothing younger than RecordLifetime is removed: the
// idempotency key of a younger record or task could still be accepted, and the request or task would run twice.
func (s *State) expire(c *pb.ExpireRecords) Result {
	latest := s.unixMs - idempotency.RecordLifetime.Milliseconds()
	s.expireRecords(min(latest, c.GetRecordsBeforeUnixMs()))
	before := min(latest, c.GetTasksBeforeUnixMs())
	for _, id := range s.endedTasks.takeBefore(before) {
		s.tasks.remove(s.generation, id)
		s.change.RemovedTasks = append(s.change.RemovedTasks, id)
	}
	var lost []string
	for id, w := range s.workers.all {
		if w.pb.GetState() == pb.WorkerState_WORKER_STATE_LOST && w.pb.GetStateUnixMs() < before {
			lost = append(lost, id)
		}
	}
	for _, id := range lost {
		s.workers.remove(s.generation, id)
	}
	s.change.RemovedWorkers = append(s.change.RemovedWorkers, lost...)
	return Result{}
}
