package routing

import "time"

const (
	// sampleWeight is the weight of one sample in the moving averages of one executor.
	sampleWeight = 0.125
	// fadeWeight is the share forgotten at each announcement.
	fadeWeight = 0.1
	// failingRate is the share of failures at which an executor is set aside: five failures in a row
	// after none reach it.
	failingRate = 0.48
	// failingMargin above the mean of the other executors is needed as well, so that requests that
	// fail everywhere set nothing aside.
	failingMargin = 0.4
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

const reasonSlow = "slow"

// health is what the table knows of the answers of one executor.
type health struct {
	// latency is the moving average in seconds; 0 before the first answer.
	latency float64
	samples uint32
	// failing is the moving average of failures, 0 to 1.
	failing float64

	setAside bool
	// slow is the reason for which the executor was set aside last.
	slow          bool
	setAsideUntil time.Time
	period        time.Duration
	probing       bool
	successes     uint32
	probeFailed   bool
}

func (h *health) record(o Outcome, poolLatency float64) {
	switch {
	case o.failed(poolLatency):
		h.failing += sampleWeight * (1 - h.failing)
		h.successes = 0
		h.probeFailed = true
	case o.Result == Success:
		h.failing -= sampleWeight * h.failing
		h.successes++
		h.samples++
		h.recordLatency(o.Latency.Seconds())
	}
}

// fade moves what is known towards the pool at each announcement, so that an executor which is no
// longer chosen is tried again: half of it is forgotten in 3.5 s.
func (h *health) fade(poolLatency float64) {
	h.failing -= fadeWeight * h.failing
	if h.latency > 0 && poolLatency > 0 {
		h.latency += fadeWeight * (poolLatency - h.latency)
	}
}

func (h *health) recordLatency(sample float64) {
	if h.latency == 0 {
		h.latency = sample
		return
	}
	h.latency += sampleWeight * (sample - h.latency)
}

// outlier returns why the executor should be set aside, or "". othersFailing is called only if the
// executor fails often.
func (h *health) outlier(poolLatency float64, othersFailing func() float64) string {
	switch {
	case h.probing && h.probeFailed:
		return "failing"
	case h.failing >= failingRate && h.failing >= othersFailing()+failingMargin:
		return "failing"
	case h.samples >= slowSamples && poolLatency > 0 && h.latency > slowFactor*poolLatency:
		return reasonSlow
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
	*h = health{probing: true, latency: poolLatency, period: h.period}
}

func (h *health) endProbe() {
	h.probing = false
	h.period = 0
}
