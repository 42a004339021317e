package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/peer"
)

// An intake VM that reaches no leader, as behind a partition, forwards the requests of callers through an intake VM that does. A request is
// forwarded once only: the second VM calls the leader itself or refuses.

const (
	// forwardersRounds is after how many queries of the members an intake VM asks for the VMs that can forward its requests.
	forwardersRounds = 10
	// forwardTimeout bounds the time that the other intake VM has for a request.
	forwardTimeout = 1300 * time.Millisecond
)

var forwardedTotal = metrics.NewCounter("lentilyard_intake_forwarded_total")

func (i *Intake) knownForwarders() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.forwarders
}

// connectForwarders starts to connect to the VMs that can forward requests.
func (i *Intake) connectForwarders() {
	for _, vm := range i.knownForwarders() {
		if err := i.transport.Connect(vm); err != nil {
			i.log.Warn().Str("event", "connect-failed").Str("vm", vm).Err(err).Msg("")
		}
	}
}

// forward calls a method of the leader by way of the first intake VM that takes the request. Its error is ErrNotRun if none has.
func (i *Intake) forward(ctx context.Context, method string, request callerRequest) (*pb.IntakeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	message := forwardOf(method, request)
	tried := 0
	for _, vm := range i.knownForwarders() {
		if !i.transport.Reachable(vm) {
			continue
		}
		tried++
		answer := &pb.IntakeAnswer{}
		err := i.transport.Call(ctx, vm, fleet.MethodForward, message, answer)
		switch {
		case err == nil && answer.GetResult() == pb.IntakeResult_INTAKE_RESULT_NOT_LEADER:
		case err == nil && answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_UNKNOWN:
			forwardedTotal.Inc()
			return answer, nil
		case err != nil && (fleet.NotSent(err) || errors.Is(err, peer.ErrUnknownMethod)):
		default:
			i.log.Warn().Str("decision", "outcome-unknown").Str("call", method).Str("path", request.GetPath()).Str("via", vm).Err(err).Msg("")
			return nil, callError(true, method, tried)
		}
	}
	return nil, callError(false, method, tried)
}

// forwardOf returns the message that forwards a request.
func forwardOf(method string, request callerRequest) *pb.IntakeForward {
	switch r := request.(type) {
	case *pb.IntakeSubmit:
		return &pb.IntakeForward{Request: &pb.IntakeForward_Submit{Submit: r}}
	case *pb.IntakeLookup:
		if method == fleet.MethodCancel {
			return &pb.IntakeForward{Request: &pb.IntakeForward_Cancel{Cancel: r}}
		}
		return &pb.IntakeForward{Request: &pb.IntakeForward_Lookup{Lookup: r}}
	}
	return &pb.IntakeForward{}
}

// handleForward makes the call of a request that another intake VM has forwarded. It answers like a VM that is not the leader if the request
// was not executed.
func (i *Intake) handleForward(ctx context.Context, _ string, encoded []byte) (proto.Message, error) {
	forwarded := &pb.IntakeForward{}
	if err := proto.Unmarshal(encoded, forwarded); err != nil {
		return nil, errs.From(fmt.Errorf("decode %s: %w", fleet.MethodForward, err))
	}
	answer, err := i.execute(ctx, forwarded)
	switch {
	case errors.Is(err, ErrNotRun):
		return &pb.IntakeAnswer{Result: pb.IntakeResult_INTAKE_RESULT_NOT_LEADER}, nil
	case err != nil:
		return &pb.IntakeAnswer{Result: pb.IntakeResult_INTAKE_RESULT_UNKNOWN, Message: err.Error()}, nil
	}
	return answer, nil
}

// execute calls the leader for a forwarded request. It refuses at once if this VM reaches none either.
func (i *Intake) execute(ctx context.Context, forwarded *pb.IntakeForward) (*pb.IntakeAnswer, error) {
	if !i.Ready() {
		return nil, callError(false, fleet.MethodForward, 0)
	}
	switch r := forwarded.GetRequest().(type) {
	case *pb.IntakeForward_Submit:
		return i.submit(ctx, r.Submit, i.callLeader)
	case *pb.IntakeForward_Lookup:
		return i.callLeader(ctx, fleet.MethodState, r.Lookup)
	case *pb.IntakeForward_Cancel:
		return i.callLeader(ctx, fleet.MethodCancel, r.Cancel)
	}
	return nil, callError(false, fleet.MethodForward, 0)
}
