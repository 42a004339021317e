package domain

import (
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// reportAttempts applies the events of a worker in order. Events of unknown or closed attempts change no task,
// so a repeated report is harmless.
func (s *State) reportAttempts(c *pb.ReportAttempts) Result {
	w, err := s.current(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	if w.pb.GetState() == pb.WorkerState_WORKER_STATE_LOST {
		return Result{Err: ErrStaleEpoch.With("worker %s was lost", c.GetWorker())}
	}
	w = s.edited(w)
	for _, r := range c.GetReports() {
		s.report(w, r)
	}
	return Result{Worker: w.pb}
}

func (s *State) report(w *worker, r *pb.AttemptReport) {
	if Gone(r.GetEvent()) && find(w.held, r.GetTask(), r.GetAttempt()) >= 0 {
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
	if find(w.assigned, t.Id, r.GetAttempt()) < 0 {
		return // assigned to another worker
	}
	next := cloneTask(t)
	takeCheckpoint(next, r)
	s.applyEvent(w, next, r)
	s.storeTask(next)
}

// Gone reports whether the event tells that the attempt no longer occupies the worker.
func Gone(event pb.AttemptEvent) bool {
	switch event {
	case pb.AttemptEvent_ATTEMPT_EVENT_FINISHED, pb.AttemptEvent_ATTEMPT_EVENT_FAILED,
		pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, pb.AttemptEvent_ATTEMPT_EVENT_REFUSED:
		return true
	default:
		return false
	}
}

// reportAfterClose takes the progress of a closed attempt while no newer attempt exists.
// A late finish counts, which saves running the same work again.
func (s *State) reportAfterClose(t *pb.Task, r *pb.AttemptReport) {
	finished := r.GetEvent() == pb.AttemptEvent_ATTEMPT_EVENT_FINISHED
	if !finished && !newerCheckpoint(t, r) {
		return
	}
	next := cloneTask(t)
	takeCheckpoint(next, r)
	if finished {
		s.end(next, pb.TaskState_TASK_STATE_FINISHED)
	}
	s.storeTask(next)
}

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

func takeCheckpoint(t *pb.Task, r *pb.AttemptReport) {
	if newerCheckpoint(t, r) {
		t.Checkpoint = r.GetCheckpoint()
	}
}

func (s *State) applyEvent(w *worker, t *pb.Task, r *pb.AttemptReport) {
	switch r.GetEvent() {
	case pb.AttemptEvent_ATTEMPT_EVENT_STARTED:
		if t.State == pb.TaskState_TASK_STATE_STARTING {
			t.State = pb.TaskState_TASK_STATE_RUNNING
			t.StartedUnixMs = s.unixMs
		}
	case pb.AttemptEvent_ATTEMPT_EVENT_FINISHED:
		s.leave(w, t)
		s.end(t, pb.TaskState_TASK_STATE_FINISHED)
	case pb.AttemptEvent_ATTEMPT_EVENT_FAILED:
		s.leave(w, t)
		s.failed(t, w.pb.GetId(), r.GetReason())
	case pb.AttemptEvent_ATTEMPT_EVENT_STOPPED:
		s.leave(w, t)
		s.requeue(t)
	case pb.AttemptEvent_ATTEMPT_EVENT_REFUSED:
		s.leave(w, t)
		appendFailedOn(t, w.pb.GetId())
		t.Reason = r.GetReason()
		s.requeue(t)
	}
}

// failed queues a task again until it has failed too often, since the worker may be at fault.
func (s *State) failed(t *pb.Task, workerID, reason string) {
	t.Failures++
	t.Reason = reason
	appendFailedOn(t, workerID)
	if t.Failures >= s.limits.MaxFailures && !t.GetCancelRequested() {
		s.end(t, pb.TaskState_TASK_STATE_FAILED)
		return
	}
	s.requeue(t)
}

// expire drops old request records, ended tasks and lost workers. Nothing younger than RecordLife is dropped,
// because its key could be accepted again.
func (s *State) expire(c *pb.ExpireRecords) Result {
	limit := s.unixMs - idempotency.RecordLife.Milliseconds()
	s.expireRecords(min(limit, c.GetRecordsBeforeUnixMs()))
	before := min(limit, c.GetTasksBeforeUnixMs())
	for _, id := range s.ended.takeBefore(before) {
		s.tasks.remove(s.edit, id)
		s.change.RemovedTasks = append(s.change.RemovedTasks, id)
	}
	var lost []string
	for id, w := range s.workers.all {
		if w.pb.GetState() == pb.WorkerState_WORKER_STATE_LOST && w.pb.GetStateUnixMs() < before {
			lost = append(lost, id)
		}
	}
	for _, id := range lost {
		s.workers.remove(s.edit, id)
	}
	s.change.RemovedWorkers = append(s.change.RemovedWorkers, lost...)
	return Result{}
}
