package placement

import "math"

// usageHistory compares the measured with the declared sizes and run times of the tasks of one kind.
type usageHistory struct {
	cores, memory ratioStat
	runTime       ratioStat
}

// ratioStat holds the exponentially weighted mean and variance of the ratio of measured to declared amounts.
type ratioStat struct {
	mean, variance float64
	samples        int32
}

const (
	// ratioRate is the minimum weight of a new sample.
	ratioRate = 0.05
	// minRatioSamples is the number of samples required to correct a declared size.
	minRatioSamples = 8
	// Bounds of the factor that corrects a declared size. With a lower bound below 1, plans would count on capacity
	// that the state machine does not grant.
	minCorrection = 1.0
	maxCorrection = 4.0
	// Bounds of the factor that corrects a declared run time.
	minRunCorrection = 0.1
	maxRunCorrection = 10.0
)

// add adds a sample. Amounts that are not positive are ignored.
func (r *ratioStat) add(measured, declared int64) {
	if declared <= 0 || measured <= 0 {
		return
	}
	x := float64(measured) / float64(declared)
	r.samples = min(r.samples+1, 1<<30)
	rate := max(ratioRate, 1/float64(r.samples))
	d := x - r.mean
	r.mean += rate * d
	r.variance = (1 - rate) * (r.variance + rate*d*d)
}

// correction returns the factor that corrects a declared size: the mean ratio plus one standard deviation, within
// bounds, or 1 with too few samples.
func (r *ratioStat) correction() float64 {
	if r.samples < minRatioSamples {
		return 1
	}
	return min(maxCorrection, max(minCorrection, r.mean+math.Sqrt(r.variance)))
}

// correctedSize returns the size that tasks of the kind are expected to use. It is never below the declared size.
func (h *usageHistory) correctedSize(declared vector) vector {
	if h == nil {
		return declared
	}
	return vector{
		Cores:        int64(float64(declared.Cores) * h.cores.correction()),
		Memory:       int64(float64(declared.Memory) * h.memory.correction()),
		Accelerators: declared.Accelerators,
	}
}

// runTimeMs returns the declared run time in ms, corrected by the run times of finished tasks of the kind.
func (h *usageHistory) runTimeMs(declared int64) int64 {
	if h == nil || h.runTime.samples == 0 {
		return declared
	}
	return int64(float64(declared) * min(maxRunCorrection, max(minRunCorrection, h.runTime.mean)))
}
