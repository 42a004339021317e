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

// handleCalls serves the calls of other VMs.
func (c *Control) handleCalls() {
	handle(c, fleet.MethodMembers, func(context.Context, *pb.MembersRequest) proto.Message { return c.membersAnswer() })
	handle(c, fleet.MethodSubmit, func(ctx context.Context, r *pb.IntakeSubmit) proto.Message { return c.submit(ctx, r) })
	handle(c, fleet.MethodState, func(ctx context.Context, r *pb.IntakeLookup) proto.Message { return c.lookup(ctx, r) })
	handle(c, fleet.MethodCancel, func(ctx context.Context, r *pb.IntakeLookup) proto.Message { return c.cancelSubmission(ctx, r) })
	handle(c, fleet.MethodReport, func(ctx context.Context, r *pb.PoolReport) proto.Message { return c.report(ctx, r) })
	handle(c, fleet.MethodPutConfig, func(ctx context.Context, r *pb.ServiceConfig) proto.Message { return c.putConfig(ctx, r) })
	handle(c, fleet.MethodGetConfig, func(ctx context.Context, _ *pb.ReadConfigRequest) proto.Message { return c.readConfig(ctx) })
	handle(c, fleet.MethodStartWave, func(ctx context.Context, r *pb.Wave) proto.Message { return c.startWave(ctx, r) })
	handle(c, fleet.MethodWaveOutcome, func(ctx context.Context, r *pb.WaveRequest) proto.Message { return c.waveOutcome(ctx, r) })
}

func handle[R any, P interface {
	*R
	proto.Message
}](c *Control, method string, f func(context.Context, P) proto.Message) {
	c.transport.HandleCall(method, func(ctx context.Context, _ string, request []byte) (proto.Message, error) {
		decoded := P(new(R))
		if err := proto.Unmarshal(request, decoded); err != nil {
			return nil, errs.From(fmt.Errorf("decode %s: %w", method, err))
		}
		return f(ctx, decoded), nil
	})
}

// Errors of the operations below.
var (
	// ErrNotDone means that nothing was done and the operation may be repeated.
	ErrNotDone = errors.New("nothing was done; repeat the request at any control VM")
	// ErrUnknown means that the operation may have been carried out.
	ErrUnknown = errors.New("the outcome is unknown; repeat the request at any control VM")
	// ErrNoConfig means that no configuration was accepted yet.
	ErrNoConfig = errors.New("no configuration was accepted yet; send one")
	// ErrNotFound means that there is no such wave.
	ErrNotFound = errors.New("no wave has this number")
)

// operationTimeout bounds an operation at a control VM; callers move on to another VM after a second.
const operationTimeout = 900 * time.Millisecond

// leaderPause is the pause before a leader is looked for again.
const leaderPause = 20 * time.Millisecond

type leaderAnswer interface {
	proto.Message
	GetResult() pb.IntakeResult
}

// onLeader makes a call to the leader, wherever it is, until ctx ends. It repeats a call only if nothing was done.
func (c *Control) onLeader(ctx context.Context, method string, request proto.Message, answer leaderAnswer) error {
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
				return fmt.Errorf("%w: %w", ErrUnknown, err)
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrNotDone, c.describe())
		case <-time.After(leaderPause):
		}
	}
}

// PutConfig commits a configuration. One that is not newer than the one in force is acknowledged and changes nothing.
func (c *Control) PutConfig(ctx context.Context, config *pb.ServiceConfig) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	if err := c.onLeader(ctx, fleet.MethodPutConfig, config, answer); err != nil {
		return err
	}
	if answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_OK {
		return fmt.Errorf("%w: %s", ErrUnknown, answer.GetMessage())
	}
	return nil
}

// Config returns the configuration in force as the operator wrote it.
func (c *Control) Config(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.ConfigAnswer{}
	if err := c.onLeader(ctx, fleet.MethodGetConfig, &pb.ReadConfigRequest{}, answer); err != nil {
		return nil, err
	}
	if answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_OK {
		return nil, ErrNoConfig
	}
	return answer.GetWritten(), nil
}

// StartWave commits a wave of upkeep. A known number is acknowledged and changes nothing.
func (c *Control) StartWave(ctx context.Context, wave *pb.Wave) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	if err := c.onLeader(ctx, fleet.MethodStartWave, wave, answer); err != nil {
		return err
	}
	if answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_OK {
		return fmt.Errorf("%w: %s", ErrUnknown, answer.GetMessage())
	}
	return nil
}

// WaveDone reports whether the upkeep of all VMs of a wave has begun.
func (c *Control) WaveDone(ctx context.Context, number uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.WaveAnswer{}
	if err := c.onLeader(ctx, fleet.MethodWaveOutcome, &pb.WaveRequest{Number: number}, answer); err != nil {
		return false, err
	}
	if answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_OK {
		return false, ErrNotFound
	}
	return answer.GetDone(), nil
}
