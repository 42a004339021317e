package routing

import "time"

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
	others := func() float64 { return e.pool.othersFailing(e) }
	if reason := h.outlier(e.pool.latency, others); reason != "" {
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

// othersFailing returns the mean share of failures of the other executors.
func (p *pool) othersFailing(e *executor) float64 {
	sum := 0.0
	for _, other := range p.executors {
		if other != e {
			sum += other.health.failing
		}
	}
	return sum / float64(max(len(p.executors)-1, 1))
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
		Float64("failing", e.health.failing).Msg("executor health")
}

func (t *Table) logExecutor(event string, e *executor) {
	t.config.Logger.Info().Str("executor", e.id).Str("service", e.service).Str("address", e.address).
		Uint32("slots", e.slots).Int("unsettled", len(e.unsettled)).Msg(event)
}
