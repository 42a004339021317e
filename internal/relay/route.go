package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// preferredRetryInterval is the interval at which the preferred route to a worker is tried while another one is in use. It doubles, up
	// to maxPreferredRetryInterval, each time the route fails again within routeRetention.
	preferredRetryInterval    = 5 * time.Second
	maxPreferredRetryInterval = 40 * time.Second
	// preferredRetryTimeout bounds such a trial.
	preferredRetryTimeout = 800 * time.Millisecond
	// refusedRoutes is the number of routes that are tried in turn to a worker whose address refuses connections. Usually its process has ended.
	refusedRoutes = 4
	// routeRetention is how long the failed routes to a worker that is no longer called are remembered.
	routeRetention = time.Minute
	// routeSweepInterval is the minimum time between two removals of old records.
	routeSweepInterval = 10 * time.Second
)

// routeKey identifies a worker incarnation at an address.
type routeKey struct {
	incarnation submission.Incarnation
	address     string
}

func keyOf(t dispatch.Target) routeKey { return routeKey{t.Incarnation, t.Address} }

// route is a way to call a worker.
type route struct {
	// via is the VM that makes the call, "" for this VM.
	via string
	// number is the number of routes that had failed when this one was chosen.
	number int
}

// failedRoutes records that routes to a worker have failed, so that it is called over another one.
type failedRoutes struct {
	count int
	// unanswered is true after a single call that the agent did not answer or whose connection broke. The next one may be answered.
	unanswered bool
	// works is true if the worker was last reached by way of the VM via and not over the preferred route. It is kept although the numbers
	// of the routes change whenever a VM comes or goes.
	works bool
	via   string
	// announced is the number of the route whose use was logged last.
	announced     int
	retryInterval time.Duration
	retryAt       time.Duration // when the preferred route is tried again
	usedAt        time.Duration // when a route after the preferred one was last used
}

// route returns the route over which a worker is called now.
func (r *Relay) route(t dispatch.Target) route {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	failed := r.failed[keyOf(t)]
	if failed == nil || failed.count == 0 {
		return r.routeNumber(t, 0, now)
	}
	failed.usedAt = now
	if now >= failed.retryAt {
		failed.retryAt = now + failed.retryInterval
		preferred := r.routeNumber(t, 0, now)
		r.pool.Submit(func() { r.retryPreferred(t, preferred) })
	}
	if failed.works && r.isUsable(failed.via, now) {
		return route{failed.via, failed.count}
	}
	return r.routeNumber(t, failed.count, now)
}

// isUsable reports whether a VM can make calls now. The caller holds r.mu.
func (r *Relay) isUsable(via string, now time.Duration) bool {
	if via == "" {
		return true
	}
	if a := r.agents[via]; a != nil {
		return a.isAlive(now, agentTimeout)
	}
	a := r.intakes[via]
	return a != nil && a.isAlive(now, intakeTimeout)
}

// routeNumber returns the route to a worker after the given number of routes have failed. The caller holds r.mu.
func (r *Relay) routeNumber(t dispatch.Target, number int, now time.Duration) route {
	candidates := Candidates{LeaderFirst: !r.cfg.UseAgents()}
	if number == 0 && candidates.LeaderFirst {
		return route{}
	}
	candidates.Control = alive(r.agents, now, agentTimeout)
	if number > 0 {
		candidates.Intake = alive(r.intakes, now, intakeTimeout)
	}
	return route{candidates.Choose(t.Incarnation.ID, t.FailureDomain, number), number}
}

// holdAfterRefusal repeats a hold by way of another VM after a VM was refused the connection: behind some partitions the worker can still be reached.
// That both are refused does not prove that it has ended. The repeated hold names neither a lease nor an end to forget: the worker may have
// restarted under its id meanwhile.
func (r *Relay) holdAfterRefusal(ctx context.Context, c dispatch.HoldCall, used route, refusal error) (dispatch.HoldAnswer, error) {
	other := r.otherRoute(c.Target, used)
	if other.via == used.via {
		return dispatch.HoldAnswer{}, refusal
	}
	answer, err := r.holdVia(ctx, other.via, dispatch.HoldCall{Target: c.Target})
	switch {
	case errors.Is(err, dispatch.ErrConnectionRefused):
		r.recordHold(ctx, c.Target, used, err)
		return answer, err
	case !errors.Is(err, dispatch.ErrNoAnswer):
		r.use(c.Target, other)
		return answer, err
	}
	err = fmt.Errorf("%w: %q is refused the connection, %q gets no answer", dispatch.ErrNoAnswer, used.via, other.via)
	r.recordHold(ctx, c.Target, used, err)
	return answer, err
}

// otherRoute returns the preferred route to a worker, or the one after it if that is the one in use.
func (r *Relay) otherRoute(t dispatch.Target, used route) route {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	preferred := r.routeNumber(t, 0, now)
	if preferred.via != used.via {
		return preferred
	}
	return r.routeNumber(t, 1, now)
}

// use makes a route that works the one in use.
func (r *Relay) use(t dispatch.Target, working route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := r.failed[keyOf(t)]
	if failed == nil {
		failed = r.addFailedRoutes(t)
	}
	if failed.count == 0 && working.number > 0 {
		r.tryNextRoute(failed)
	}
	r.routeWorks(t, failed, working)
}

// retryPreferred finds out whether the preferred route to a worker works again. Its hold changes nothing on the worker.
func (r *Relay) retryPreferred(t dispatch.Target, preferred route) {
	ctx, cancel := context.WithTimeout(r.ctx, preferredRetryTimeout)
	defer cancel()
	_, err := r.holdVia(ctx, preferred.via, dispatch.HoldCall{Target: t})
	r.recordHold(ctx, t, preferred, err)
}

// recordHold records the result of a hold over a route. Only holds tell whether a route works: one is always in progress, and a worker
// that leaves orders unanswered can still be reached.
func (r *Relay) recordHold(ctx context.Context, t dispatch.Target, used route, err error) {
	if errors.Is(ctx.Err(), context.Canceled) && err != nil || errors.Is(err, dispatch.ErrAgentSilent) {
		return // it is not known whether the worker can be reached
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := r.failed[keyOf(t)]
	if !errors.Is(err, dispatch.ErrNoAnswer) {
		r.routeWorks(t, failed, used)
		return
	}
	if failed == nil {
		failed = r.addFailedRoutes(t)
	}
	switch {
	case failed.count != used.number, failed.works && failed.via != used.via: // the worker is called over another route already
	case (errors.Is(err, errAnswerLost) || errors.Is(err, dispatch.ErrConnectionBroken)) && !failed.unanswered:
		failed.unanswered = true
	default:
		r.tryNextRoute(failed)
		if errors.Is(err, dispatch.ErrConnectionRefused) {
			failed.count %= refusedRoutes
		}
	}
}

// tryNextRoute records that the present route to a worker has failed. The caller holds r.mu.
func (r *Relay) tryNextRoute(failed *failedRoutes) {
	if failed.count == 0 {
		now := r.cfg.Clock()
		failed.retryInterval = min(max(2*failed.retryInterval, preferredRetryInterval), maxPreferredRetryInterval)
		failed.retryAt, failed.usedAt = now+failed.retryInterval, now
	}
	failed.count++
	failed.unanswered, failed.works = false, false
	failedRoutesTotal.Inc()
}

// routeWorks records that a worker was reached over a route, which is used from now on if it comes before the present one.
func (r *Relay) routeWorks(t dispatch.Target, failed *failedRoutes, used route) {
	if failed == nil || used.number > failed.count {
		return
	}
	if failed.announced != used.number {
		failed.announced = used.number
		r.cfg.Logger.Info().Str("event", "route-changed").Str("worker", t.Incarnation.ID).Str("via", used.via).Int("failed_routes", used.number).Msg("")
	}
	failed.count, failed.unanswered = used.number, false
	failed.works, failed.via = used.number > 0, used.via
}

// addFailedRoutes adds a record for a worker. The caller holds r.mu.
func (r *Relay) addFailedRoutes(t dispatch.Target) *failedRoutes {
	now := r.cfg.Clock()
	if now >= r.nextRouteSweep {
		r.nextRouteSweep = now + routeSweepInterval
		for key, failed := range r.failed {
			if now-failed.usedAt > routeRetention {
				delete(r.failed, key)
			}
		}
	}
	failed := &failedRoutes{usedAt: now}
	r.failed[keyOf(t)] = failed
	return failed
}
