package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// errAnswerLost means that the VM that makes the call is heard, but has not answered the call.
var errAnswerLost = fmt.Errorf("%w: the VM that makes the call has sent no answer to it", dispatch.ErrNoAnswer)

// Start implements dispatch.Caller.
func (r *Relay) Start(ctx context.Context, c dispatch.StartCall) (int64, error) {
	via := r.route(c.Target).via
	if via == "" {
		return r.cfg.Local.Start(ctx, c)
	}
	a, err := r.callAgent(ctx, via, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Start{Start: &pb.RelayStart{Task: c.Task.Proto(), Attempt: c.Attempt,
		Payload: c.Payload, Checkpoint: c.Checkpoint, LeaseUntilMs: c.LeaseUntilMs, Ticket: c.Ticket}}})
	return a.GetClockMs(), err
}

// Stop implements dispatch.Caller.
func (r *Relay) Stop(ctx context.Context, c dispatch.StopCall) (int64, error) {
	via := r.route(c.Target).via
	if via == "" {
		return r.cfg.Local.Stop(ctx, c)
	}
	a, err := r.callAgent(ctx, via, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Stop{Stop: &pb.RelayStop{Task: c.Task.Proto(), Attempt: c.Attempt}}})
	return a.GetClockMs(), err
}

// Throttle implements dispatch.Caller.
func (r *Relay) Throttle(ctx context.Context, c dispatch.ThrottleCall) (int64, error) {
	via := r.route(c.Target).via
	if via == "" {
		return r.cfg.Local.Throttle(ctx, c)
	}
	a, err := r.callAgent(ctx, via, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Throttle{Throttle: &pb.RelayThrottle{Task: c.Task.Proto(),
		Attempt: c.Attempt, Percent: uint32(c.Percent)}}})
	return a.GetClockMs(), err
}

// Hold implements dispatch.Caller.
func (r *Relay) Hold(ctx context.Context, c dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	used := r.route(c.Target)
	answer, err := r.holdVia(ctx, used.via, c)
	if errors.Is(err, dispatch.ErrConnectionRefused) {
		return r.holdAfterRefusal(ctx, c, used, err)
	}
	r.recordHold(ctx, c.Target, used, err)
	return answer, err
}

// holdVia makes a hold by way of a VM, or from this one if via is "".
func (r *Relay) holdVia(ctx context.Context, via string, c dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	if via == "" {
		return r.cfg.Local.Hold(ctx, c)
	}
	a, err := r.callAgent(ctx, via, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Hold{Hold: &pb.RelayHold{LeaseUntilMs: c.LeaseUntilMs,
		SeenEnd: c.SeenEnd, WaitMs: uint32(c.WaitMs)}}})
	if err != nil {
		return dispatch.HoldAnswer{}, err
	}
	return decodeHoldAnswer(a), nil
}

// callAgent sends a call to another VM and waits for its answer. It returns the errors of a dispatch.Caller.
func (r *Relay) callAgent(ctx context.Context, via string, t dispatch.Target, c *pb.RelayCall) (*pb.RelayAnswer, error) {
	relayedTotal.Inc()
	began := r.cfg.Clock()
	if r.isIntake(via) {
		if err := r.cfg.Messenger.AwaitConnection(ctx, via); err != nil {
			r.suspect(ctx, via, t, began)
			return nil, fmt.Errorf("%w: %w", dispatch.ErrAgentSilent, err)
		}
	}
	c.Process, c.Worker, c.WorkerBornUnixMs, c.Address, c.Fence = r.process, t.Incarnation.ID, t.Incarnation.BornUnixMs, t.Address, t.Fence
	timeout := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
		c.TimeoutMs = uint32(max(1, timeout.Milliseconds()))
	}
	done := make(chan *pb.RelayAnswer, 1)
	r.mu.Lock()
	r.lastID++
	c.Id = r.lastID
	r.pending[c.Id] = done
	r.mu.Unlock()
	sent := r.cfg.Clock()
	c.UntilMs = r.untilMs(via, sent, timeout)
	r.enqueue(via, c, nil)
	select {
	case a := <-done:
		return a, errorFromAnswer(a)
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", r.unansweredBy(ctx, via, t, c.Id, sent), via, ctx.Err())
	}
}

// untilMs returns until when a VM may make a call that is sent now, on its own clock, or 0 if that clock is not known. The reading has been
// on its way, so that the call ends too soon rather than too late.
func (r *Relay) untilMs(via string, now, timeout time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agentState(via)
	if a == nil || a.clockMs == 0 {
		return 0
	}
	return a.clockMs + (now - a.lastHeard + timeout).Milliseconds()
}

// unansweredBy records that a VM did not answer a call and returns dispatch.ErrAgentSilent or errAnswerLost. A VM from which nothing was received
// since the call was sent is suspected. One that is heard may be late with many calls; its workers must not all open new connections to
// other VMs.
func (r *Relay) unansweredBy(ctx context.Context, via string, t dispatch.Target, id uint64, sent time.Duration) error {
	unansweredTotal.Inc()
	r.mu.Lock()
	delete(r.pending, id)
	a := r.agentState(via)
	heard := a != nil && a.lastHeard >= sent
	r.mu.Unlock()
	if heard {
		return errAnswerLost
	}
	r.suspect(ctx, via, t, sent)
	return dispatch.ErrAgentSilent
}

// suspect records that a VM has not answered since a call was made, so that it gets no calls for suspectDuration. A call that was
// cancelled, or was waited for shorter than the VM may be silent, tells nothing.
func (r *Relay) suspect(ctx context.Context, via string, t dispatch.Target, since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, now := r.agentState(via), r.cfg.Clock()
	if a == nil || errors.Is(ctx.Err(), context.Canceled) || now-since < suspectAfter {
		return
	}
	alreadySuspect := now < a.suspectUntil
	a.suspectUntil = now + suspectDuration
	if !alreadySuspect {
		r.cfg.Logger.Warn().Str("event", "agent-silent").Str("vm", via).Str("worker", t.Incarnation.ID).Msg("no answer from the agent; other VMs make its calls for now")
	}
}
