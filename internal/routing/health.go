package routing

import "time"

const (
	// latencyWeight is the weight of one sample in the moving averages.
	latencyWeight = 0.125
	// failuresToSetAside in a row set an executor aside.
	failuresToSetAside = 5
	// slowFactor is the latency relative to the pool at which an executor is set aside.
	slowFactor = 5
	// slowSamples is the number of answers needed before an executor counts as slow.
	slowSamples = 20
	// setAsideTime is the first period; it doubles up to maxSetAsideTime.
	setAsideTime    = time.Second
	maxSetAsideTime = 30 * time.Second
	// probeSuccesses in a row end the probing of an executor.
	probeSuccesses = 3
)

// health is what the table knows of the answers of one executor.
type health struct {
	// latency is the moving average in seconds; 0 before the first answer.
	latency  float64
	samples  uint32
	failures uint32

	setAsideUntil time.Time
	setAside      bool
	period        time.Duration
	probing       bool
	successes     uint32
}

func (h *health) isSetAside() bool { return h.setAside }

func (h *health) record(o Outcome) {
	if o.failed() {
		h.failures++
		h.successes = 0
		return
	}
	if o.Result != Success {
		return
	}
	h.failures = 0
	h.successes++
	h.samples++
	h.latency = average(h.latency, o.Latency.Seconds())
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}

// outlier returns why the executor should be set aside, or "".
func (h *health) outlier(poolLatency float64) string {
	switch {
	case h.failures >= failuresToSetAside, h.probing && h.failures > 0:
		return "failing"
	case h.samples >= slowSamples && poolLatency > 0 && h.latency > slowFactor*poolLatency:
		return "slow"
	}
	return ""
}

func (h *health) leaveOut(now time.Time) {
	h.period = min(max(2*h.period, setAsideTime), maxSetAsideTime)
	h.setAside = true
	h.setAsideUntil = now.Add(h.period)
	h.probing = false
}

// startProbe lets single requests through once the period is over.
func (h *health) startProbe(poolLatency float64) {
	h.setAside = false
	h.probing = true
	h.failures = 0
	h.successes = 0
	h.samples = 0
	h.latency = poolLatency
}

func (h *health) endProbe() {
	h.probing = false
	h.period = 0
}
