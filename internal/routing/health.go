package routing

import "time"

const (
	// sampleWeight is the weight of one sample in the moving averages of an executor.
	sampleWeight = 0.125
	// decayWeight is the weight of the decay applied at each announcement, see health.decay.
	decayWeight = 0.1
	// failureRateLimit is the failure rate at which an executor is ejected: five failures in a row after
	// none reach it.
	failureRateLimit = 0.48
	// failureRateMargin is how far the failure rate must also exceed the mean of the other executors, so
	// that requests that fail everywhere eject no executor.
	failureRateMargin = 0.4
	// slowFactor is the ratio of an executor's latency to that of its pool above which it is ejected.
	slowFactor = 5
	// slowSamples is the number of responses needed before an executor can count as slow.
	slowSamples = 20
	// baseEjectionTime is the length of the first ejection; it doubles up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// probeSuccesses is the number of successes in a row that ends the probing of an executor.
	probeSuccesses = 3
)

const reasonSlow = "slow"

// health holds the statistics of one executor and its state in outlier detection. An ejected executor
// gets no requests for a time; after that it is probed with single requests until probeSuccesses of
// them in a row succeed.
type health struct {
	// latency is the moving average in seconds; 0 before the first response.
	latency float64
	samples uint32
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64

	// ejected is set while the executor is ejected.
	ejected bool
	// ejectedAsSlow is set if the last ejection was for latency rather than failures.
	ejectedAsSlow bool
	ejectedUntil  time.Time
	// ejectionTime is the length of the last ejection; 0 after successful probing.
	ejectionTime         time.Duration
	probing              bool
	consecutiveSuccesses uint32
	probeFailed          bool
}

func (h *health) record(o Outcome, poolLatency float64) {
	switch {
	case o.failed(poolLatency):
		h.failureRate += sampleWeight * (1 - h.failureRate)
		h.consecutiveSuccesses = 0
		h.probeFailed = true
	case o.Result == Success:
		h.failureRate -= sampleWeight * h.failureRate
		h.consecutiveSuccesses++
		h.samples++
		h.recordLatency(o.Latency.Seconds())
	}
}

// decay moves the failure rate towards 0 and the latency towards that of the pool. It is called at each
// announcement, so that an executor that the policy no longer chooses is tried again: the difference
// halves in 3.5 s.
func (h *health) decay(poolLatency float64) {
	h.failureRate -= decayWeight * h.failureRate
	if h.latency > 0 && poolLatency > 0 {
		h.latency += decayWeight * (poolLatency - h.latency)
	}
}

func (h *health) recordLatency(sample float64) {
	if h.latency == 0 {
		h.latency = sample
		return
	}
	h.latency += sampleWeight * (sample - h.latency)
}

// outlier returns the reason to eject the executor, or "". othersFailureRate returns the mean failure rate
// of the other executors; it is called only if the failure rate of this one is high.
func (h *health) outlier(poolLatency float64, othersFailureRate func() float64) string {
	switch {
	case h.probing && h.probeFailed:
		return "failing"
	case h.failureRate >= failureRateLimit && h.failureRate >= othersFailureRate()+failureRateMargin:
		return "failing"
	case h.samples >= slowSamples && poolLatency > 0 && h.latency > slowFactor*poolLatency:
		return reasonSlow
	}
	return ""
}

// eject starts an ejection, twice as long as the last one.
func (h *health) eject(now time.Time) {
	h.ejectionTime = min(max(2*h.ejectionTime, baseEjectionTime), maxEjectionTime)
	h.ejected = true
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.probing = false
}

// startProbe ends an ejection: single requests are let through until endProbe.
func (h *health) startProbe(poolLatency float64) {
	*h = health{probing: true, latency: poolLatency, ejectionTime: h.ejectionTime}
}

func (h *health) endProbe() {
	h.probing = false
	h.ejectionTime = 0
}
