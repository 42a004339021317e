package routing

import "time"

// maxEjectionPercent is the maximum share of the executors of a pool that may be ejected at a time. If
// more are outliers, the cause is probably common to all, and ejecting them would only lose capacity.
const maxEjectionPercent = 50

// maxSpareLoadPercent is the maximum load, relative to the slots of the other executors, at which a slow
// executor is ejected. Without this limit, ejections left too few slots when changing executors were
// slow at 80% load: p99 rose from 1.2 s to 2.2 s.
const maxSpareLoadPercent = 60

// updateHealth updates the outlier state of e: it ejects an outlier, starts probing after an ejection, or ends
// the probing.
func (t *Table) updateHealth(e *executor, now time.Time) {
	h := &e.health
	if h.ejected {
		if !now.Before(h.ejectedUntil) {
			h.startProbe(e.pool.latency)
			t.logHealth(e, "probe")
		}
		return
	}
	others := func() float64 { return e.pool.othersFailureRate(e) }
	if reason := h.outlier(e.pool.latency, others); reason != "" {
		if e.pool.mayEject() && (reason != reasonSlow || e.pool.hasSpareCapacity(e)) {
			h.eject(now)
			h.ejectedAsSlow = reason == reasonSlow
			t.logHealth(e, reason)
		}
		return
	}
	if h.probing && h.consecutiveSuccesses >= probeSuccesses {
		h.endProbe()
		t.logHealth(e, "recovered")
	}
}

// othersFailureRate returns the mean failure rate of the other executors of the pool.
func (p *pool) othersFailureRate(e *executor) float64 {
	sum := 0.0
	for _, other := range p.executors {
		if other != e {
			sum += other.health.failureRate
		}
	}
	return sum / float64(max(len(p.executors)-1, 1))
}

// mayEject reports whether maxEjectionPercent allows one more executor to be ejected.
func (p *pool) mayEject() bool {
	out := 1
	for _, e := range p.executors {
		if e.health.ejected {
			out++
		}
	}
	return out*100 <= len(p.executors)*maxEjectionPercent
}

// hasSpareCapacity reports whether the other executors can take over the load of e without queueing. Under high
// load a slow executor is better than none, and LatencyChoices sends it fewer requests anyway.
func (p *pool) hasSpareCapacity(e *executor) bool {
	inFlight, slots := uint32(0), uint32(0)
	for _, other := range p.executors {
		inFlight += other.inFlight
		if other != e && !other.health.ejected {
			slots += other.limit()
		}
	}
	return p.queued() == 0 && inFlight*100 <= slots*maxSpareLoadPercent
}

// reinstateSlow ends the ejection of executors that were ejected as slow. It is called when a request
// would otherwise have to wait.
func (t *Table) reinstateSlow(p *pool, now time.Time) {
	for _, e := range p.executors {
		if e.health.ejected && e.health.ejectedAsSlow {
			e.health.ejected = false
			e.health.samples = 0
			p.updateAvailable(e, now)
			t.logHealth(e, "recalled")
		}
	}
}

func (t *Table) logHealth(e *executor, reason string) {
	t.config.Logger.Info().Str("executor", e.id).Str("service", e.service).Str("reason", reason).
		Float64("latency_ms", e.health.latency*1e3).Float64("pool_latency_ms", e.pool.latency*1e3).
		Float64("failing", e.health.failureRate).Msg("executor health changed")
}

func (t *Table) logExecutor(event string, e *executor) {
	t.config.Logger.Info().Str("executor", e.id).Str("service", e.service).Str("address", e.address).
		Uint32("slots", e.slots).Int("unsettled", len(e.reserved)).Msg(event)
}
