package cluster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Methods of the calls that entry VMs make to each other.
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

// notePollInterval is the interval at which waitForNote checks the applied note.
const notePollInterval = 5 * time.Millisecond

// message is the constraint for a pointer to T that is a protobuf message.
type message[T any] interface {
	*T
	proto.Message
}

// handleCall registers f as the handler of a method whose request is a T.
func handleCall[T any, P message[T]](c *Cluster, method string, f func(ctx context.Context, req P) (proto.Message, error)) {
	c.transport.HandleCall(method, func(ctx context.Context, _ string, encoded []byte) (proto.Message, error) {
		req := P(new(T))
		if err := proto.Unmarshal(encoded, req); err != nil {
			return nil, errs.ErrInvalid.With("decode call %s: %w", method, err)
		}
		answer, err := f(ctx, req)
		if err != nil {
			return nil, toWireError(err)
		}
		return answer, nil
	})
}

// ledDomain returns the group of a failure domain if this entry VM leads it, else
// errNotLeader.
func (c *Cluster) ledDomain(failureDomain string) (Domain, error) {
	hosted, found := c.domains[failureDomain]
	if !found {
		return Domain{}, errNotLeader.With("")
	}
	if status := hosted.Group.Status(); status.Leader != c.vm {
		return Domain{}, errNotLeader.With("%s", status.Leader)
	}
	return hosted, nil
}

// registerHandlers registers the handlers of all calls from other entry VMs.
func (c *Cluster) registerHandlers() {
	handleCall(c, methodSubmit, c.handleSubmit)
	handleCall(c, methodTask, c.handleTask)
	handleCall(c, methodTasks, c.handleTasks)
	handleCall(c, methodCancel, c.handleCancel)
	handleCall(c, methodEvict, c.handleEvict)
	handleCall(c, methodRegister, c.handleRegister)
	handleCall(c, methodHeartbeat, c.handleHeartbeat)
	handleCall(c, methodDrain, c.handleDrain)
	handleCall(c, methodIntent, c.handleIntent)
	handleCall(c, methodOutcome, c.handleOutcome)
	handleCall(c, methodPreview, c.handlePreview)
	handleCall(c, methodCheckNote, c.handleCheckNote)
	handleCall(c, methodApplyNote, c.handleApplyNote)
	handleCall(c, methodTargets, c.handleTargets)
	handleCall(c, methodStatus, c.handleStatus)
}

func (c *Cluster) handleSubmit(ctx context.Context, req *pb.SubmitRequest) (proto.Message, error) {
	hosted, err := c.ledDomain(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	if err := c.waitForNote(ctx, req.MinNote); err != nil {
		return nil, err
	}
	return nilOnError(hosted.Leader.Submit(ctx, req.Spec))
}

// waitForNote waits until this process has applied the note. The entry VM that
// accepted a task may have applied a note earlier than this one, and the task
// must not be placed under an older contract.
func (c *Cluster) waitForNote(ctx context.Context, number uint64) error {
	for c.appliedNote() < number {
		select {
		case <-ctx.Done():
			return errs.ErrNoQuorum.With("entry VM %s has not applied note %d yet", c.vm, number)
		case <-time.After(notePollInterval):
		}
	}
	return nil
}

func (c *Cluster) handleTask(_ context.Context, req *pb.TaskRequest) (proto.Message, error) {
	hosted, err := c.ledDomain(domainOfTask(req.Id))
	if err != nil {
		return nil, err
	}
	task := hosted.State.View().Task(req.Id)
	if task == nil {
		return nil, errs.ErrNotFound.With("task %q does not exist", req.Id)
	}
	return task, nil
}

func (c *Cluster) handleCancel(ctx context.Context, req *pb.TaskRequest) (proto.Message, error) {
	hosted, err := c.ledDomain(domainOfTask(req.Id))
	if err != nil {
		return nil, err
	}
	return nilOnError(hosted.Leader.Cancel(ctx, req.Id, req.Reason))
}

func (c *Cluster) handleEvict(ctx context.Context, req *pb.TaskRequest) (proto.Message, error) {
	hosted, err := c.ledDomain(domainOfTask(req.Id))
	if err != nil {
		return nil, err
	}
	return nilOnError(hosted.Leader.Evict(ctx, req.Id, req.Reason))
}

func (c *Cluster) handleRegister(ctx context.Context, req *pb.WorkerRegistration) (proto.Message, error) {
	hosted, err := c.ledDomain(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	return nilOnError(hosted.Leader.Register(ctx, req.Request))
}

func (c *Cluster) handleHeartbeat(ctx context.Context, req *pb.WorkerReport) (proto.Message, error) {
	hosted, err := c.ledDomain(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	return nilOnError(hosted.Leader.Heartbeat(ctx, req.Heartbeat))
}

func (c *Cluster) handleDrain(ctx context.Context, req *pb.DrainRequest) (proto.Message, error) {
	hosted, err := c.ledDomain(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	return &pb.Empty{}, hosted.Leader.Drain(ctx, req.Target, req.Draining)
}

// nilOnError returns answer as an interface, and a nil interface on error: a nil
// pointer in an interface would not compare equal to nil.
func nilOnError[T any, P message[T]](answer P, err error) (proto.Message, error) {
	if err != nil {
		return nil, err
	}
	return answer, nil
}
