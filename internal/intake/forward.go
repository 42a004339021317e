package intake

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
//
// It knows the VMs that forward from the time when it reached the leader. One that has restarted since knows none: those which reach the
// leader learn of it there and offer to forward.

const (
	// forwardersInterval is the interval at which an intake VM asks for the VMs that can forward its requests, and for those that it can
	// forward for.
	forwardersInterval = 2 * time.Second
	// maxForwarders bounds the VMs that are kept if they offer to forward.
	maxForwarders = 6
	// offerTimeout bounds one offer.
	offerTimeout = 300 * time.Millisecond
	// forwardTimeout bounds the time that the other intake VM has for a request.
	forwardTimeout = 1300 * time.Millisecond
)

var (
	forwardedTotal = metrics.NewCounter("lentilyard_intake_forwarded_total")
	offersTotal    = metrics.NewCounter("lentilyard_intake_forward_offers_total")
)

func (i *Intake) knownForwarders() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.forwarders
}

// connectForwarders starts to connect to the VMs that can forward requests.
func (i *Intake) connectForwarders() {
	for _, vm := range i.knownForwarders() {
		i.connect(vm)
	}
}

// setForwarders stores what the leader tells of other intake VMs: those that can forward for this one, and the silent ones to which this one
// offers to forward.
func (i *Intake) setForwarders(answer *pb.MembersAnswer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(answer.GetForwarders()) > 0 {
		i.forwarders = answer.GetForwarders()
	}
	i.silent, i.unoffered = answer.GetSilentIntakes(), slices.Clone(answer.GetSilentIntakes())
	i.listedAt = time.Now()
}

// offerForward tells the silent intake VMs that this one forwards requests. Those that are not reachable yet follow with the next call.
func (i *Intake) offerForward() {
	i.mu.Lock()
	silent, unoffered := slices.Clone(i.silent), slices.Clone(i.unoffered)
	i.mu.Unlock()
	for _, vm := range silent {
		i.connect(vm)
	}
	for _, vm := range unoffered {
		if !i.transport.Reachable(vm) {
			continue
		}
		i.mu.Lock()
		i.unoffered = slices.DeleteFunc(i.unoffered, func(id string) bool { return id == vm })
		i.mu.Unlock()
		i.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(i.ctx, offerTimeout)
			defer cancel()
			if err := i.transport.Call(ctx, vm, fleet.MethodOffer, &pb.ForwardOffer{}, &pb.ForwardOfferAnswer{}); err != nil {
				i.log.Warn().Str("event", "offer-failed").Str("vm", vm).Err(err).Msg("")
				return
			}
			offersTotal.Inc()
		})
	}
}

// handleOffer adds an intake VM that offers to forward requests, as long as this one reaches no leader.
func (i *Intake) handleOffer(_ context.Context, from string, _ []byte) (proto.Message, error) {
	if i.Ready() {
		return &pb.ForwardOfferAnswer{}, nil
	}
	i.mu.Lock()
	if !slices.Contains(i.forwarders, from) {
		i.forwarders = slices.Insert(slices.Clone(i.forwarders), 0, from)
		i.forwarders = i.forwarders[:min(len(i.forwarders), maxForwarders)]
		i.log.Info().Str("event", "forwarder-offered").Str("vm", from).Msg("")
	}
	i.mu.Unlock()
	i.connect(from)
	return &pb.ForwardOfferAnswer{}, nil
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
