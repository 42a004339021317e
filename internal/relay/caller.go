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
		r.recordOutcome(c.Target, err)
		return clock, err
	}
	a, err := r.callAgent(ctx, to, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Start{Start: &pb.RelayStart{Task: c.Task.Proto(), Attempt: c.Attempt,
		Payload: c.Payload, Checkpoint: c.Checkpoint, LeaseUntilMs: c.LeaseUntilMs, Ticket: c.Ticket}}})
	return a.GetClockMs(), err
}

// Stop implements dispatch.Caller.
func (r *Relay) Stop(ctx context.Context, c dispatch.StopCall) (int64, error) {
	to := r.route(c.Target)
	if to == "" {
		clock, err := r.cfg.Local.Stop(ctx, c)
		r.recordOutcome(c.Target, err)
		return clock, err
	}
	a, err := r.callAgent(ctx, to, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Stop{Stop: &pb.RelayStop{Task: c.Task.Proto(), Attempt: c.Attempt}}})
	return a.GetClockMs(), err
}

// Throttle implements dispatch.Caller.
func (r *Relay) Throttle(ctx context.Context, c dispatch.ThrottleCall) (int64, error) {
	to := r.route(c.Target)
	if to == "" {
		clock, err := r.cfg.Local.Throttle(ctx, c)
		r.recordOutcome(c.Target, err)
		return clock, err
	}
	a, err := r.callAgent(ctx, to, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Throttle{Throttle: &pb.RelayThrottle{Task: c.Task.Proto(),
		Attempt: c.Attempt, Percent: uint32(c.Percent)}}})
	return a.GetClockMs(), err
}

// Hold implements dispatch.Caller.
func (r *Relay) Hold(ctx context.Context, c dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	to := r.route(c.Target)
	if to == "" {
		answer, err := r.cfg.Local.Hold(ctx, c)
		r.recordOutcome(c.Target, err)
		return answer, err
	}
	a, err := r.callAgent(ctx, to, c.Target, &pb.RelayCall{Call: &pb.RelayCall_Hold{Hold: &pb.RelayHold{LeaseUntilMs: c.LeaseUntilMs,
		SeenEnd: c.SeenEnd, WaitMs: uint32(c.WaitMs)}}})
	if err != nil {
		return dispatch.HoldAnswer{}, err
	}
	return decodeHoldAnswer(a), nil
}

// route returns the agent through which a worker is called now, or "" if this VM calls it directly. It skips the routes
// that have failed recently.
func (r *Relay) route(t dispatch.Target) string {
	if !r.cfg.UseAgents() {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	failedRoutes := 0
	if re := r.reroutes[t.Incarnation.ID]; re != nil {
		if now-re.since > rerouteDuration {
			delete(r.reroutes, t.Incarnation.ID)
		} else {
			failedRoutes = re.failedRoutes
		}
	}
	return ChooseAgent(r.aliveAgents(now), t.Incarnation.ID, t.FailureDomain, failedRoutes)
}

// AgentFor returns the agent that calls a worker unless calls through it fail, or "" for this VM.
func (r *Relay) AgentFor(worker, failureDomain string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ChooseAgent(r.aliveAgents(r.cfg.Clock()), worker, failureDomain, 0)
}

// aliveAgents returns the agents that were heard recently and are not suspected.
func (r *Relay) aliveAgents(now time.Duration) []Agent {
	var alive []Agent
	for id, a := range r.agents {
		if now-a.lastHeard < agentTimeout && now >= a.suspectUntil {
			alive = append(alive, Agent{id, a.failureDomain})
		}
	}
	return alive
}

// callAgent sends a call to an agent and waits for its answer. It returns the errors of a dispatch.Caller.
func (r *Relay) callAgent(ctx context.Context, to string, t dispatch.Target, c *pb.RelayCall) (*pb.RelayAnswer, error) {
	relayedTotal.Inc()
	c.Process, c.Worker, c.WorkerBornUnixMs, c.Address, c.Fence = r.process, t.Incarnation.ID, t.Incarnation.BornUnixMs, t.Address, t.Fence
	if deadline, ok := ctx.Deadline(); ok {
		c.TimeoutMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
	done := make(chan *pb.RelayAnswer, 1)
	r.mu.Lock()
	r.lastID++
	c.Id = r.lastID
	r.pending[c.Id] = done
	r.mu.Unlock()
	sent := r.cfg.Clock()
	r.enqueue(to, c, nil)
	select {
	case a := <-done:
		err := errorFromAnswer(a)
		r.recordOutcome(t, err)
		return a, err
	case <-ctx.Done():
		r.recordUnanswered(to, t, c.Id, sent)
		return nil, fmt.Errorf("%w: by way of %s: %w", dispatch.ErrNoAnswer, to, ctx.Err())
	}
}

// recordOutcome records the result of a call to a worker. If the worker did not answer, its next call takes another route.
func (r *Relay) recordOutcome(t dispatch.Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !errors.Is(err, dispatch.ErrNoAnswer) {
		if re := r.reroutes[t.Incarnation.ID]; re != nil {
			re.unanswered = false
		}
		return
	}
	re := r.rerouteFor(t)
	re.failedRoutes++
	re.unanswered = false
}

// rerouteFor returns the reroute of a worker and creates it if there is none. The caller holds r.mu.
func (r *Relay) rerouteFor(t dispatch.Target) *reroute {
	re := r.reroutes[t.Incarnation.ID]
	if re == nil {
		re = &reroute{since: r.cfg.Clock()}
		r.reroutes[t.Incarnation.ID] = re
	}
	return re
}

// recordUnanswered records that an agent did not answer a call. An agent from which nothing was received since the call was
// sent is suspected and gets no calls for suspectDuration. If other messages of the agent arrived, only a second unanswered
// call in a row changes the route to the worker: when an agent is late with many calls, its workers must not all open new
// connections to other agents.
func (r *Relay) recordUnanswered(to string, t dispatch.Target, id uint64, sent time.Duration) {
	unansweredTotal.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, id)
	a, now := r.agents[to], r.cfg.Clock()
	if a == nil {
		return
	}
	if a.lastHeard >= sent {
		if re := r.rerouteFor(t); re.unanswered {
			re.failedRoutes++
			re.unanswered = false
		} else {
			re.unanswered = true
		}
		return
	}
	alreadySuspect := now < a.suspectUntil
	a.suspectUntil = now + suspectDuration
	if !alreadySuspect {
		r.cfg.Logger.Warn().Str("event", "agent-silent").Str("vm", to).Str("worker", t.Incarnation.ID).Msg("no answer from the agent; other VMs make its calls for now")
	}
}
