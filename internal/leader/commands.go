package leader

import (
	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// commandsFor compares the attempts that a worker reports as running with the replicated state and returns the commands
// that bring the worker in line with it.
func (l *Leader) commandsFor(heartbeat *pb.WorkerHeartbeat) []*pb.WorkerCommand {
	view := l.view()
	worker := heartbeat.GetWorker()
	running := make(map[string]uint32, len(heartbeat.GetRunning()))
	var commands []*pb.WorkerCommand
	for _, ref := range heartbeat.GetRunning() {
		running[ref.GetTask()] = max(running[ref.GetTask()], ref.GetAttempt())
		if !assignedTo(view.Task(ref.GetTask()), worker, ref.GetAttempt()) {
			commands = append(commands, stopCommand(view, ref))
		}
	}
	for _, ref := range view.Held(worker) {
		// A worker answers a stop command for an attempt that it does not run by reporting the attempt as stopped,
		// which frees the capacity held for it.
		if running[ref.GetTask()] != ref.GetAttempt() {
			commands = append(commands, stopCommand(view, ref))
		}
	}
	for _, t := range view.Assigned(worker) {
		if c := assignedCommand(t, running[t.GetId()] == t.GetAttempt()); c != nil {
			commands = append(commands, c)
		}
	}
	return append(commands, l.throttleCommands(heartbeat)...)
}

// assignedTo reports whether the attempt is the current one of the task and assigned to the worker.
func assignedTo(t *pb.Task, worker string, attempt uint32) bool {
	return t.GetWorker() == worker && t.GetAttempt() == attempt && domain.Assigned(t.GetState())
}

// stopCommand returns the command to stop an attempt that is no longer assigned to the worker in the replicated state.
// If the task does not exist in the state, the last applied entry serves as the fence.
func stopCommand(view *domain.View, ref *pb.AttemptRef) *pb.WorkerCommand {
	t := view.Task(ref.GetTask())
	c := &pb.WorkerCommand{Op: pb.WorkerOp_WORKER_OP_STOP, Task: ref.GetTask(), Attempt: ref.GetAttempt(),
		Term: t.GetFenceTerm(), Index: t.GetFenceIndex()}
	if t == nil {
		c.Term, c.Index = view.Applied()
	}
	return c
}

// assignedCommand returns the command for an assigned attempt: a start if it is not running yet, a checkpoint and stop
// if it is being evicted, or nil if there is nothing to do.
func assignedCommand(t *pb.Task, running bool) *pb.WorkerCommand {
	c := &pb.WorkerCommand{Task: t.GetId(), Attempt: t.GetAttempt(), Term: t.GetFenceTerm(), Index: t.GetFenceIndex()}
	switch t.GetState() {
	case pb.TaskState_TASK_STATE_EVICTING:
		c.Op = pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP
	case pb.TaskState_TASK_STATE_STARTING:
		if running {
			return nil
		}
		c.Op = pb.WorkerOp_WORKER_OP_START
		c.Spec = t.GetSpec()
		c.Resume = t.GetCheckpoint()
	default:
		return nil
	}
	return c
}

// throttleCommands returns the throttles of the attempts that run on the worker and discards those of other attempts.
func (l *Leader) throttleCommands(heartbeat *pb.WorkerHeartbeat) []*pb.WorkerCommand {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[heartbeat.GetWorker()]
	if s == nil || len(s.throttles) == 0 {
		return nil
	}
	var commands []*pb.WorkerCommand
	for id, throttle := range s.throttles {
		t := l.view().Task(id)
		if t.GetState() != pb.TaskState_TASK_STATE_RUNNING || t.GetAttempt() != throttle.Attempt {
			delete(s.throttles, id)
			continue
		}
		commands = append(commands, &pb.WorkerCommand{Op: pb.WorkerOp_WORKER_OP_THROTTLE, Task: id, Attempt: throttle.Attempt,
			Term: t.GetFenceTerm(), Index: t.GetFenceIndex(), Share: throttle.Share})
	}
	return commands
}
