package routing

import "time"

// maxSetAsidePercent is the panic rule: if more executors of a pool would be set aside, the fault is
// taken to be common to all and every one is used.
const maxSetAsidePercent = 50

// maxSpareLoadPercent of the other slots may be in use when a slow executor is set aside. Without the
// rule, slow executors in turn at 80% load left too few slots: p99 rose from 1.2 s to 2.2 s.
const maxSpareLoadPercent = 60

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
		if e.pool.mayLeaveOut() && (reason != reasonSlow || e.pool.hasSpare(e)) {
			h.leaveOut(now)
			h.slow = reason == reasonSlow
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

// hasSpare reports whether the other executors can take the load of e without a queue. Under high load
// a slow executor is better than none: the choice sends it less than others anyway.
func (p *pool) hasSpare(e *executor) bool {
	inFlight, slots := uint32(0), uint32(0)
	for _, other := range p.executors {
		inFlight += other.inFlight
		if other != e && !other.health.setAside {
			slots += other.limit()
		}
	}
	return p.queued() == 0 && inFlight*100 <= slots*maxSpareLoadPercent
}

// recallSlow brings executors back that were set aside as slow, once requests have to wait.
func (t *Table) recallSlow(p *pool, now time.Time) {
	for _, e := range p.executors {
		if e.health.setAside && e.health.slow {
			e.health.setAside = false
			e.health.samples = 0
			p.list(e, now)
			t.logHealth(e, "recalled")
		}
	}
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
