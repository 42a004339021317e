package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// attemptTimeout bounds one call to the leader, so that a hung leader does not use up the whole deadline of a request.
	attemptTimeout = 800 * time.Millisecond
	// leaderRetryInterval is the delay between two attempts to reach the leader.
	leaderRetryInterval = 25 * time.Millisecond
	// leaderWaitTimeout is how long a request waits for a leader. An election is shorter and a partition usually longer.
	leaderWaitTimeout = 900 * time.Millisecond
	// unknownOutcomeTimeout is how long a request is retried whose outcome is unknown. After that, a retry by the caller has
	// better chances, as it reaches another intake VM.
	unknownOutcomeTimeout = 1300 * time.Millisecond
)

// Errors of a request that was not forwarded or whose outcome is unknown.
var (
	// ErrNotRun means that the request was not and will not be executed.
	ErrNotRun = errors.New("the control VMs cannot be reached; the request was not run; repeat it later")
	// ErrOutcomeUnknown means that the request may have been executed.
	ErrOutcomeUnknown = errors.New("the control VMs did not answer in time; repeat the request with the same id")
)

// callerRequest is a request of a caller that is forwarded to the leader.
type callerRequest interface {
	proto.Message
	GetPath() string
}

var unknownRefusalsTotal = metrics.NewCounter("lentilyard_intake_unknown_refusals_total")

// call calls a method of the leader and, as long as this VM reaches none, of the leader by way of another intake VM.
func (i *Intake) call(ctx context.Context, method string, request callerRequest) (*pb.IntakeAnswer, error) {
	if !i.Ready() {
		if answer, err := i.forward(ctx, method, request); !errors.Is(err, ErrNotRun) {
			return answer, err
		}
	}
	return i.callLeader(ctx, method, request)
}

// callLeader calls a method of the leader and retries it until ctx ends or a timeout above expires. All methods are idempotent, so
// a call without an answer can be retried. A refusal is returned only if no earlier attempt may have been executed; otherwise the error is
// ErrOutcomeUnknown.
func (i *Intake) callLeader(ctx context.Context, method string, request callerRequest) (*pb.IntakeAnswer, error) {
	began := time.Now()
	maybeExecuted := false
	for round := 0; ; round++ {
		vm := i.knownLeader()
		if vm == "" || !i.transport.Reachable(vm) {
			vm = i.reachable(round)
		}
		if vm != "" {
			answer, err := i.callOnce(ctx, vm, method, request)
			switch {
			case err == nil && answer.GetResult() == pb.IntakeResult_INTAKE_RESULT_UNKNOWN:
				maybeExecuted = true
			case err == nil && maybeExecuted && refuses(method, answer.GetResult()):
				unknownRefusalsTotal.Inc()
				i.log.Warn().Str("decision", "outcome-unknown").Str("call", method).Str("path", request.GetPath()).Str("leader", vm).Stringer("result", answer.GetResult()).Int("attempts", round+1).
					Msg("refused, but an earlier attempt of the request may have been executed")
				return nil, callError(maybeExecuted, method, round+1)
			case err == nil && answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_NOT_LEADER:
				i.setLeader(vm)
				return answer, nil
			case err == nil:
				i.followRedirect(vm, answer.GetLeader())
			default:
				maybeExecuted = maybeExecuted || !fleet.NotSent(err)
				i.forgetLeader(vm)
			}
		}
		if !maybeExecuted && vm != "" && !i.Ready() {
			return nil, callError(maybeExecuted, method, round+1) // no leader for longer than an election takes
		}
		if waited := time.Since(began); !maybeExecuted && waited > leaderWaitTimeout || maybeExecuted && waited > unknownOutcomeTimeout {
			return nil, callError(maybeExecuted, method, round+1)
		}
		select {
		case <-ctx.Done():
			return nil, callError(maybeExecuted, method, round+1)
		case <-time.After(leaderRetryInterval):
		}
	}
}

// refuses reports whether the result of a method says that this attempt has changed nothing. It tells nothing about an earlier attempt of the
// same request that got no answer: that one may have been executed before a change of the configuration, or may still be.
func refuses(method string, result pb.IntakeResult) bool {
	if method == fleet.MethodState {
		return false // it changes nothing in any case
	}
	switch result {
	case pb.IntakeResult_INTAKE_RESULT_NO_QUEUE, pb.IntakeResult_INTAKE_RESULT_NO_CONFIG, pb.IntakeResult_INTAKE_RESULT_INVALID,
		pb.IntakeResult_INTAKE_RESULT_OVERLOADED:
		return true
	}
	return false
}

// callError returns the error of a call after its last attempt.
func callError(maybeExecuted bool, method string, attempts int) error {
	if maybeExecuted {
		return fmt.Errorf("%w (%s, %d attempts)", ErrOutcomeUnknown, method, attempts)
	}
	return fmt.Errorf("%w (%s, %d attempts)", ErrNotRun, method, attempts)
}

// followRedirect switches to the leader that a control VM named instead of itself.
func (i *Intake) followRedirect(from, leader string) {
	if leader == "" || leader == from {
		i.forgetLeader(from)
		return
	}
	i.setLeader(leader)
	i.connect(leader)
}

// callOnce makes a single call to a control VM, bounded by attemptTimeout.
func (i *Intake) callOnce(ctx context.Context, vm, method string, request proto.Message) (*pb.IntakeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	err := i.transport.Call(ctx, vm, method, request, answer)
	return answer, err
}
