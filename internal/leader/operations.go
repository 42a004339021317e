package leader

import (
	"context"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Submit queues a task. If the idempotency key has been used before, Submit returns the existing task, or an error if
// the spec differs.
func (l *Leader) Submit(ctx context.Context, spec *pb.TaskSpec) (*pb.Task, error) {
	submit := &pb.SubmitTask{Id: domain.TaskID(l.config.Domain, spec.GetIdempotencyKey()), Spec: spec}
	if err := l.contracts.applyTaskLimit(submit); err != nil && l.view().Task(submit.GetId()) == nil {
		return nil, err
	}
	return l.proposeForTask(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_SubmitTask{SubmitTask: submit}})
}

// Cancel cancels a task; a running task is checkpointed first. A task that has ended is returned unchanged.
func (l *Leader) Cancel(ctx context.Context, id, reason string) (*pb.Task, error) {
	return l.proposeForTask(ctx, cancelCommand(id, reason))
}

func cancelCommand(id, reason string) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_CancelTask{CancelTask: &pb.CancelTask{Id: id, Reason: reason}}}
}

// Evict stops the current attempt of a task after a checkpoint and queues the task again.
func (l *Leader) Evict(ctx context.Context, id, reason string) (*pb.Task, error) {
	t := l.view().Task(id)
	if t == nil {
		return nil, errs.ErrNotFound.With("task %q does not exist", id)
	}
	return l.proposeForTask(ctx, evictCommand([]*pb.Eviction{{Task: id, Attempt: t.GetAttempt(), Reason: reason}}))
}

func evictCommand(evictions []*pb.Eviction) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_EvictTasks{EvictTasks: &pb.EvictTasks{Evictions: evictions}}}
}

// proposeForTask commits a command that concerns one task and returns the task.
func (l *Leader) proposeForTask(ctx context.Context, command *pb.DomainCommand) (*pb.Task, error) {
	if !l.isLeading() {
		return nil, ErrNotLeading
	}
	result, err := l.proposer.propose(ctx, command)
	if err != nil {
		return nil, err
	}
	if len(result.Batch) == 1 {
		result = result.Batch[0]
	}
	if result.Err != nil {
		return nil, result.Err
	}
	return result.Task, nil
}

// Drain starts or ends the drain of a target, which gets no new work while it drains. The tasks of a drained worker are
// checkpointed and queued again.
func (l *Leader) Drain(ctx context.Context, target string, draining bool) error {
	if !l.isLeading() {
		return ErrNotLeading
	}
	result, err := l.proposer.propose(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_SetDrain{
		SetDrain: &pb.SetDrain{Target: target, Draining: draining}}})
	if err != nil {
		return err
	}
	if result.Err != nil {
		return result.Err
	}
	if !draining {
		return nil
	}
	return l.evictAllFrom(ctx, target)
}

// evictAllFrom evicts every task that is assigned to a worker.
func (l *Leader) evictAllFrom(ctx context.Context, workerID string) error {
	var evictions []*pb.Eviction
	for _, t := range l.view().Assigned(workerID) {
		evictions = append(evictions, &pb.Eviction{Task: t.GetId(), Attempt: t.GetAttempt(), Reason: "worker is drained"})
	}
	if len(evictions) == 0 {
		return nil
	}
	_, err := l.proposer.propose(ctx, evictCommand(evictions))
	return err
}
