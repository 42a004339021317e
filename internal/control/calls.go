package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// maxForwarders is the number of intake VMs that an intake VM is told of. Half a failure domain may be cut off with it.
const maxForwarders = 6

// registerHandlers registers the methods that other VMs call on this one.
func (c *Control) registerHandlers() {
	registerHandlerFrom(c, fleet.MethodMembers, func(_ context.Context, from string, r *pb.MembersRequest) proto.Message {
		if r.GetFailureDomain() != "" {
			c.relay.RecordIntake(from, r.GetFailureDomain(), r.GetClockMs())
		}
		answer := c.membersAnswer()
		if r.GetWantsForwarders() {
			answer.Forwarders, answer.SilentIntakes = c.relay.IntakesNear(from, maxForwarders), c.silentIntakes(from)
		}
		return answer
	})
	registerHandler(c, fleet.MethodSubmit, func(ctx context.Context, r *pb.IntakeSubmit) proto.Message { return c.submit(ctx, r) })
	registerHandler(c, fleet.MethodState, func(ctx context.Context, r *pb.IntakeLookup) proto.Message { return c.lookup(ctx, r) })
	registerHandler(c, fleet.MethodCancel, func(ctx context.Context, r *pb.IntakeLookup) proto.Message { return c.cancelSubmission(ctx, r) })
	registerHandler(c, fleet.MethodReport, func(ctx context.Context, r *pb.PoolReport) proto.Message { return c.applyReport(ctx, r) })
	registerHandler(c, fleet.MethodPutConfig, func(ctx context.Context, r *pb.ServiceConfig) proto.Message { return c.putConfig(ctx, r) })
	registerHandler(c, fleet.MethodGetConfig, func(ctx context.Context, _ *pb.ReadConfigRequest) proto.Message { return c.readConfig(ctx) })
	registerHandler(c, fleet.MethodStartWave, func(ctx context.Context, r *pb.Wave) proto.Message { return c.startWave(ctx, r) })
	registerHandler(c, fleet.MethodWaveOutcome, func(ctx context.Context, r *pb.WaveRequest) proto.Message { return c.waveOutcome(ctx, r) })
}

// registerHandler serves method with f, which gets the decoded request.
func registerHandler[R any, P interface {
	*R
	proto.Message
}](c *Control, method string, f func(context.Context, P) proto.Message) {
	registerHandlerFrom(c, method, func(ctx context.Context, _ string, request P) proto.Message { return f(ctx, request) })
}

// registerHandlerFrom serves method with f, which gets the id of the calling VM and the decoded request.
func registerHandlerFrom[R any, P interface {
	*R
	proto.Message
}](c *Control, method string, f func(ctx context.Context, from string, request P) proto.Message) {
	c.transport.HandleCall(method, func(ctx context.Context, from string, request []byte) (proto.Message, error) {
		decoded := P(new(R))
		if err := proto.Unmarshal(request, decoded); err != nil {
			return nil, errs.From(fmt.Errorf("decode %s: %w", method, err))
		}
		return f(ctx, from, decoded), nil
	})
}

// Errors of the operations that are carried out by the leader.
var (
	// ErrNotExecuted means that the operation was not and will not be executed; it may be retried.
	ErrNotExecuted = errors.New("nothing was done; repeat the request at any control VM")
	// ErrOutcomeUnknown means that the operation may have been executed.
	ErrOutcomeUnknown = errors.New("the outcome is unknown; repeat the request at any control VM")
	// ErrNoConfig means that no configuration has been accepted yet.
	ErrNoConfig = errors.New("no configuration was accepted yet; send one")
	// ErrNotFound means that no wave has the requested number.
	ErrNotFound = errors.New("no wave has this number")
)

// operationTimeout bounds an operation. It is below one second, after which clients try another control VM.
const operationTimeout = 900 * time.Millisecond

// leaderRetryInterval is the delay between two attempts to reach the leader.
const leaderRetryInterval = 20 * time.Millisecond

// resultAnswer is an answer that states the result of an operation.
type resultAnswer interface {
	proto.Message
	GetResult() pb.IntakeResult
}

// callLeader calls a method of the current leader, which may be this VM. Until ctx ends, it retries calls that were not
// sent or that reached a VM other than the leader; then it returns ErrNotExecuted. A call that fails in any other way may
// have been executed and returns ErrOutcomeUnknown.
func (c *Control) callLeader(ctx context.Context, method string, request proto.Message, answer resultAnswer) error {
	end, err := c.large.Begin(ctx, proto.Size(request))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	defer end()
	for {
		leader := c.group.Status().Leader
		if leader != "" {
			proto.Reset(answer)
			if err := c.transport.Connect(leader); err != nil {
				return err
			}
			err := c.transport.Call(ctx, leader, method, request, answer)
			if err == nil && answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_NOT_LEADER {
				return nil
			}
			if err != nil && !fleet.NotSent(err) {
				return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrNotExecuted, c.describeGroup())
		case <-time.After(leaderRetryInterval):
		}
	}
}

// PutConfig commits a configuration. A configuration that is not newer than the current one is acknowledged and ignored.
func (c *Control) PutConfig(ctx context.Context, config *pb.ServiceConfig) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	if err := c.callLeader(ctx, fleet.MethodPutConfig, config, answer); err != nil {
		return err
	}
	if answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_OK {
		return fmt.Errorf("%w: %s", ErrOutcomeUnknown, answer.GetMessage())
	}
	return nil
}

// Config returns the current configuration as the operator wrote it.
func (c *Control) Config(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.ConfigAnswer{}
	if err := c.callLeader(ctx, fleet.MethodGetConfig, &pb.ReadConfigRequest{}, answer); err != nil {
		return nil, err
	}
	if answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_OK {
		return nil, ErrNoConfig
	}
	return answer.GetWritten(), nil
}

// StartWave commits a wave of VM upkeep. A wave whose number is already known is acknowledged and ignored.
func (c *Control) StartWave(ctx context.Context, wave *pb.Wave) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	if err := c.callLeader(ctx, fleet.MethodStartWave, wave, answer); err != nil {
		return err
	}
	if answer.GetResult() == pb.IntakeResult_INTAKE_RESULT_OVERLOADED {
		return fmt.Errorf("%w: %s", ErrNotExecuted, answer.GetMessage())
	}
	if answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_OK {
		return fmt.Errorf("%w: %s", ErrOutcomeUnknown, answer.GetMessage())
	}
	return nil
}

// WaveDone reports whether the upkeep of all VMs of a wave has started.
func (c *Control) WaveDone(ctx context.Context, number uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.WaveAnswer{}
	if err := c.callLeader(ctx, fleet.MethodWaveOutcome, &pb.WaveRequest{Number: number}, answer); err != nil {
		return false, err
	}
	if answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_OK {
		return false, ErrNotFound
	}
	return answer.GetDone(), nil
}
