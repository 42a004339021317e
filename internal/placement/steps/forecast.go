package steps

import (
	"math"
	"time"
)

// loadTrend follows the utilization that a service has without filling tasks. The tasks of one service share its load, so
// the readings of all of them feed one trend. It is meant for load that swings within some ten seconds: a filling task that
// starts now works while the load is a different one, and readings are late.
type loadTrend struct {
	level float64 // utilization at the last reading
	slope float64 // change of the utilization in one second
	at    time.Duration
	known bool // false before the first reading
}

const (
	// initialBase is the utilization of a service without readings.
	initialBase = 0.45
	// minBase and maxBase bound the utilization: a service without filling tasks stays within its tail limit.
	minBase = 0.1
	maxBase = 0.75
	// initialBaseDeviation is the standard deviation of initialBase.
	initialBaseDeviation = 0.2
	// baseDeviation is the standard deviation of a prediction right after a reading, baseDrift by how much that of a later
	// prediction grows in one second.
	baseDeviation = 0.02
	baseDrift     = 0.08
	// minReadingGap is the least time between two readings that the trend assumes: tasks on one worker are read together.
	minReadingGap = 50 * time.Millisecond
	// maxReadingGap bounds the time over which the slope is extrapolated to the next reading.
	maxReadingGap = 2 * time.Second
	// maxSlope bounds the slope, in utilization per second.
	maxSlope = 0.15
)

// gap returns the time since the last reading, within the bounds for which the trend is meant.
func (t *loadTrend) gap(at time.Duration) time.Duration { return max(0, min(maxReadingGap, at-t.at)) }

// variance returns the variance of the prediction for the given time.
func (t *loadTrend) variance(at time.Duration) float64 {
	if !t.known {
		return initialBaseDeviation * initialBaseDeviation
	}
	drift := baseDrift * t.gap(at).Seconds()
	return baseDeviation*baseDeviation + drift*drift
}

// correct adds a reading that deviates by err from the prediction for the given time. gain is the share of err that the
// trend follows, from 0 to 1.
func (t *loadTrend) correct(err, gain float64, at time.Duration) {
	predicted := t.after(t.gap(at))
	if t.known {
		slopeGain := gain * gain / (2 - gain) // of an alpha-beta filter that is critically damped
		t.slope += slopeGain * err / max(minReadingGap, t.gap(at)).Seconds()
		t.slope = math.Max(-maxSlope, math.Min(maxSlope, t.slope))
	}
	t.level, t.at, t.known = clampBase(predicted+gain*err), max(t.at, at), true
}

// after returns the expected utilization some time after the last reading.
func (t *loadTrend) after(ahead time.Duration) float64 {
	if !t.known {
		return initialBase
	}
	return clampBase(t.level + t.slope*ahead.Seconds())
}

func clampBase(base float64) float64 { return math.Max(minBase, math.Min(maxBase, base)) }
