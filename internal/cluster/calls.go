package cluster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Methods of calls between entry VMs.
const (
	methodSubmit    = "domain.submit"
	methodTask      = "domain.task"
	methodTasks     = "domain.tasks"
	methodCancel    = "domain.cancel"
	methodEvict     = "domain.evict"
	methodRegister  = "domain.register"
	methodHeartbeat = "domain.heartbeat"
	methodDrain     = "domain.drain"
	methodIntent    = "domain.intent"
	methodOutcome   = "domain.outcome"
	methodPreview   = "domain.preview"
	methodCheckNote = "config.check"
	methodApplyNote = "config.apply"
	methodTargets   = "vm.targets"
	methodStatus    = "vm.status"
)

// notePoll is the interval of checks for a note that another entry VM has applied before.
const notePoll = 5 * time.Millisecond

// message is a pointer to a protobuf message type T.
type message[T any] interface {
	*T
	proto.Message
}

// on registers f for calls whose request is a T.
func on[T any, P message[T]](c *Cluster, method string, f func(ctx context.Context, req P) (proto.Message, error)) {
	c.transport.HandleCall(method, func(ctx context.Context, _ string, encoded []byte) (proto.Message, error) {
		req := P(new(T))
		if err := proto.Unmarshal(encoded, req); err != nil {
			return nil, errs.ErrInvalid.With("decode call %s: %w", method, err)
		}
		answer, err := f(ctx, req)
		if err != nil {
			return nil, fromReplica(err)
		}
		return answer, nil
	})
}

// leading returns the domain group if this entry VM leads it.
func (c *Cluster) leading(failureDomain string) (Domain, error) {
	hosted, found := c.domains[failureDomain]
	if !found {
		return Domain{}, errNotLeader.With("")
	}
	if status := hosted.Group.Status(); status.Leader != c.vm {
		return Domain{}, errNotLeader.With("%s", status.Leader)
	}
	return hosted, nil
}

func (c *Cluster) addCalls() {
	on(c, methodSubmit, c.onSubmit)
	on(c, methodTask, c.onTask)
	on(c, methodTasks, c.onTasks)
	on(c, methodCancel, c.onCancel)
	on(c, methodEvict, c.onEvict)
	on(c, methodRegister, c.onRegister)
	on(c, methodHeartbeat, c.onHeartbeat)
	on(c, methodDrain, c.onDrain)
	on(c, methodIntent, c.onIntent)
	on(c, methodOutcome, c.onOutcome)
	on(c, methodPreview, c.onPreview)
	on(c, methodCheckNote, c.onCheckNote)
	on(c, methodApplyNote, c.onApplyNote)
	on(c, methodTargets, c.onTargets)
	on(c, methodStatus, c.onStatus)
}

func (c *Cluster) onSubmit(ctx context.Context, req *pb.SubmitRequest) (proto.Message, error) {
	hosted, err := c.leading(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	if err := c.waitForNote(ctx, req.MinNote); err != nil {
		return nil, err
	}
	return orNil(hosted.Leader.Submit(ctx, req.Spec))
}

// waitForNote waits until the leaders of this process work under the note. The
// entry VM that accepted a task may have applied a note before this one did.
func (c *Cluster) waitForNote(ctx context.Context, number uint64) error {
	for c.appliedNote() < number {
		select {
		case <-ctx.Done():
			return errs.ErrNoQuorum.With("entry VM %s has not applied note %d yet", c.vm, number)
		case <-time.After(notePoll):
		}
	}
	return nil
}

func (c *Cluster) onTask(_ context.Context, req *pb.TaskRequest) (proto.Message, error) {
	hosted, err := c.leading(domainOfTask(req.Id))
	if err != nil {
		return nil, err
	}
	task := hosted.State.View().Task(req.Id)
	if task == nil {
		return nil, errs.ErrNotFound.With("task %q does not exist", req.Id)
	}
	return task, nil
}

func (c *Cluster) onCancel(ctx context.Context, req *pb.TaskRequest) (proto.Message, error) {
	hosted, err := c.leading(domainOfTask(req.Id))
	if err != nil {
		return nil, err
	}
	return orNil(hosted.Leader.Cancel(ctx, req.Id, req.Reason))
}

func (c *Cluster) onEvict(ctx context.Context, req *pb.TaskRequest) (proto.Message, error) {
	hosted, err := c.leading(domainOfTask(req.Id))
	if err != nil {
		return nil, err
	}
	return orNil(hosted.Leader.Evict(ctx, req.Id, req.Reason))
}

func (c *Cluster) onRegister(ctx context.Context, req *pb.WorkerRegistration) (proto.Message, error) {
	hosted, err := c.leading(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	return orNil(hosted.Leader.Register(ctx, req.Request))
}

func (c *Cluster) onHeartbeat(ctx context.Context, req *pb.WorkerReport) (proto.Message, error) {
	hosted, err := c.leading(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	return orNil(hosted.Leader.Heartbeat(ctx, req.Heartbeat))
}

func (c *Cluster) onDrain(ctx context.Context, req *pb.DrainRequest) (proto.Message, error) {
	hosted, err := c.leading(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	return &pb.Empty{}, hosted.Leader.Drain(ctx, req.Target, req.Draining)
}

// orNil avoids a typed nil pointer in the interface when a call failed.
func orNil[T any, P message[T]](answer P, err error) (proto.Message, error) {
	if err != nil {
		return nil, err
	}
	return answer, nil
}
