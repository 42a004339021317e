package routing

import (
	"time"

	"github.com/rs/zerolog"
)

// maxSetAsidePercent is the panic rule: if more executors of a pool would be set aside, the fault is
// taken to be common to all and every one is used.
const maxSetAsidePercent = 50

// review sets an outlier aside, starts its probing, or ends it.
func (t *Table) review(e *executor, now time.Time) {
	h := &e.health
	if h.setAside {
		if !now.Before(h.setAsideUntil) {
			h.startProbe(e.pool.latency)
			t.logHealth(e, "probe")
		}
		return
	}
	if reason := h.outlier(e.pool.latency); reason != "" {
		if e.pool.mayLeaveOut() {
			h.leaveOut(now)
			t.logHealth(e, reason)
		}
		return
	}
	if h.probing && h.successes >= probeSuccesses {
		h.endProbe()
		t.logHealth(e, "recovered")
	}
}

// mayLeaveOut reports whether one more executor may be set aside under the panic rule.
func (p *pool) mayLeaveOut() bool {
	out := 1
	for _, e := range p.executors {
		if e.health.setAside {
			out++
		}
	}
	return out*100 <= len(p.executors)*maxSetAsidePercent
}

func (t *Table) logHealth(e *executor, reason string) {
	t.config.Logger.Info().Str("executor", e.id).Str("service", e.service).Str("reason", reason).
		Float64("latency_ms", e.health.latency*1e3).Float64("pool_latency_ms", e.pool.latency*1e3).
		Uint32("failures", e.health.failures).Msg("executor health")
}

func (t *Table) logExecutor(event string, e *executor) {
	t.config.Logger.Info().Str("executor", e.id).Str("service", e.service).Str("address", e.address).
		Uint32("slots", e.slots).Int("unsettled", len(e.unsettled)).Msg(event)
}

// decision starts a decision line. The key "decision" lets a slow log sink drop such lines first.
func (t *Table) decision(kind string) *zerolog.Event {
	return t.config.Logger.Info().Str("decision", kind)
}

// logChoice writes the decision line: what was considered and what won.
func (t *Table) logChoice(p *pool, r *Request, won *executor) {
	if t.config.QuietDecisions {
		return
	}
	line := t.decision("route")
	if line == nil {
		return
	}
	line = line.Str("request", r.ID).Str("service", r.Service).Str("member", r.Member).Str("policy", t.config.Policy.Name()).
		Int("free", p.picker.Len()).Str("target", won.id).Uint32("in_flight", won.inFlight).
		Float64("latency_ms", won.health.latency*1e3)
	if p.picker.sampled == 2 {
		other := p.picker.other(won)
		line = line.Str("over", other.id).Uint32("over_in_flight", other.inFlight).
			Float64("over_latency_ms", other.health.latency*1e3)
	}
	line.Msg("request routed")
}

// other returns the sampled candidate that lost.
func (p *Picker) other(won *executor) *executor {
	if first := p.available[p.considered[0]]; first != won {
		return first
	}
	return p.available[p.considered[1]]
}

func (t *Table) logRefusal(p *pool, r *Request, err error) {
	if t.config.QuietDecisions {
		return
	}
	line := t.decision("refuse")
	if line == nil {
		return
	}
	line.Str("request", r.ID).Str("service", r.Service).Str("member", r.Member).
		Int("queued", p.queued()).Err(err).Msg("request refused")
}
