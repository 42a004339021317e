package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Start implements dispatch.Caller.
func (r *Relay) Start(ctx context.Context, c dispatch.StartCall) (int64, error) {
	to := r.route(c.Target)
	if to == "" {
		clock, err := r.cfg.Local.Start(ctx, c)
		r.noteFailure(c.Target, err)
		return clock, err
	}
	a, err := r.call(ctx, to, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Start{Start: &pb.RelayStart{Task: c.Task.Proto(), Attempt: c.Attempt,
		Payload: c.Payload, Checkpoint: c.Checkpoint, LeaseUntilMs: c.LeaseUntilMs, Ticket: c.Ticket}}})
	return a.GetClockMs(), err
}

// Stop implements dispatch.Caller.
func (r *Relay) Stop(ctx context.Context, c dispatch.StopCall) (int64, error) {
	to := r.route(c.Target)
	if to == "" {
		clock, err := r.cfg.Local.Stop(ctx, c)
		r.noteFailure(c.Target, err)
		return clock, err
	}
	a, err := r.call(ctx, to, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Stop{Stop: &pb.RelayStop{Task: c.Task.Proto(), Attempt: c.Attempt}}})
	return a.GetClockMs(), err
}

// Throttle implements dispatch.Caller.
func (r *Relay) Throttle(ctx context.Context, c dispatch.ThrottleCall) (int64, error) {
	to := r.route(c.Target)
	if to == "" {
		clock, err := r.cfg.Local.Throttle(ctx, c)
		r.noteFailure(c.Target, err)
		return clock, err
	}
	a, err := r.call(ctx, to, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Throttle{Throttle: &pb.RelayThrottle{Task: c.Task.Proto(),
		Attempt: c.Attempt, Percent: uint32(c.Percent)}}})
	return a.GetClockMs(), err
}

// Hold implements dispatch.Caller.
func (r *Relay) Hold(ctx context.Context, c dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	to := r.route(c.Target)
	if to == "" {
		answer, err := r.cfg.Local.Hold(ctx, c)
		r.noteFailure(c.Target, err)
		return answer, err
	}
	a, err := r.call(ctx, to, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Hold{Hold: &pb.RelayHold{LeaseUntilMs: c.LeaseUntilMs,
		SeenEnd: c.SeenEnd, WaitMs: uint32(c.WaitMs)}}})
	if err != nil {
		return dispatch.HoldAnswer{}, err
	}
	return holdAnswerOf(a), nil
}

// route returns the agent that calls a worker, or "" if this VM does.
func (r *Relay) route(t dispatch.Target) string {
	if !r.cfg.Spread() {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	tries := 0
	if d := r.detours[t.Incarnation.ID]; d != nil {
		if now-d.since > detourFor {
			delete(r.detours, t.Incarnation.ID)
		} else {
			tries = d.tries
		}
	}
	return Choose(r.alive(now), t.Incarnation.ID, t.FailureDomain, tries)
}

// AgentFor returns the VM that calls a worker as long as it is reached, or "" for this one.
func (r *Relay) AgentFor(worker, failureDomain string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Choose(r.alive(r.cfg.Clock()), worker, failureDomain, 0)
}

// alive returns the agents that answer.
func (r *Relay) alive(now time.Duration) []Agent {
	var alive []Agent
	for id, a := range r.agents {
		if now-a.heardAt < aliveFor && now >= a.suspectUntil {
			alive = append(alive, Agent{id, a.failureDomain})
		}
	}
	return alive
}

// call gives a call to an agent and waits for its answer. Errors are those of a Caller.
func (r *Relay) call(ctx context.Context, to string, t dispatch.Target, c *pb.RelayCall) (*pb.RelayAnswer, error) {
	relayedTotal.Inc()
	c.Process, c.Worker, c.WorkerBornUnixMs, c.Address, c.Fence = r.process, t.Incarnation.ID, t.Incarnation.BornUnixMs, t.Address, t.Fence
	if deadline, ok := ctx.Deadline(); ok {
		c.TimeoutMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
	done := make(chan *pb.RelayAnswer, 1)
	r.mu.Lock()
	r.lastID++
	c.Id = r.lastID
	r.waiting[c.Id] = done
	r.mu.Unlock()
	sent := r.cfg.Clock()
	r.enqueue(to, c, nil)
	select {
	case a := <-done:
		err := errorOf(a)
		r.noteFailure(t, err)
		return a, err
	case <-ctx.Done():
		r.silent(to, t, c.Id, sent)
		return nil, fmt.Errorf("%w: by way of %s: %w", dispatch.ErrNoAnswer, to, ctx.Err())
	}
}

// noteFailure notes a worker that did not answer, so that it is called another way next time.
func (r *Relay) noteFailure(t dispatch.Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !errors.Is(err, dispatch.ErrNoAnswer) {
		if d := r.detours[t.Incarnation.ID]; d != nil {
			d.unheard = false
		}
		return
	}
	d := r.detourOf(t)
	d.tries++
	d.unheard = false
}

// detourOf returns the detour of a worker, a new one if there is none.
func (r *Relay) detourOf(t dispatch.Target) *detour {
	d := r.detours[t.Incarnation.ID]
	if d == nil {
		d = &detour{since: r.cfg.Clock()}
		r.detours[t.Incarnation.ID] = d
	}
	return d
}

// silent notes a call without an answer. An agent that was not heard since is passed over for a while. One that was heard
// has answered other calls, so only a second call without an answer speaks against this way to the worker: when an agent
// is late with many calls, its workers must not all open connections elsewhere.
func (r *Relay) silent(to string, t dispatch.Target, id uint64, sent time.Duration) {
	silentTotal.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
	a, now := r.agents[to], r.cfg.Clock()
	if a == nil {
		return
	}
	if a.heardAt >= sent {
		if d := r.detourOf(t); d.unheard {
			d.tries++
			d.unheard = false
		} else {
			d.unheard = true
		}
		return
	}
	known := now < a.suspectUntil
	a.suspectUntil = now + suspectFor
	if !known {
		r.cfg.Logger.Warn().Str("event", "agent-silent").Str("vm", to).Str("worker", t.Incarnation.ID).Msg("other VMs make its calls for a while")
	}
}
