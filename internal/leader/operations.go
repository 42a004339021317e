package leader

import (
	"context"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Submit queues a task. A repeated idempotency key returns the existing task; with another spec it is refused.
func (l *Leader) Submit(ctx context.Context, spec *pb.TaskSpec) (*pb.Task, error) {
	submit := &pb.SubmitTask{Id: domain.TaskID(l.config.Domain, spec.GetIdempotencyKey()), Spec: spec}
	if err := l.policy.limitTasks(submit); err != nil && l.view().Task(submit.GetId()) == nil {
		return nil, err
	}
	return l.taskCommand(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_SubmitTask{SubmitTask: submit}})
}

// Cancel ends a task, by checkpoint if it runs. Cancelling an ended task returns it unchanged.
func (l *Leader) Cancel(ctx context.Context, id, reason string) (*pb.Task, error) {
	return l.taskCommand(ctx, cancelCommand(id, reason))
}

func cancelCommand(id, reason string) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_CancelTask{CancelTask: &pb.CancelTask{Id: id, Reason: reason}}}
}

// Evict ends the current attempt of a task by checkpoint and queues the task again.
func (l *Leader) Evict(ctx context.Context, id, reason string) (*pb.Task, error) {
	t := l.view().Task(id)
	if t == nil {
		return nil, errs.ErrNotFound.With("task %q does not exist", id)
	}
	return l.taskCommand(ctx, evictCommand([]*pb.Eviction{{Task: id, Attempt: t.GetAttempt(), Reason: reason}}))
}

func evictCommand(evictions []*pb.Eviction) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_EvictTasks{EvictTasks: &pb.EvictTasks{Evictions: evictions}}}
}

func (l *Leader) taskCommand(ctx context.Context, command *pb.DomainCommand) (*pb.Task, error) {
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

// Drain keeps new work from a target, or allows it again. The tasks of a drained worker move by checkpoint.
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
	return l.evictFrom(ctx, target)
}

func (l *Leader) evictFrom(ctx context.Context, workerID string) error {
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
