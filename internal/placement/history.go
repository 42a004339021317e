package placement

import "math"

// sizeHistory compares measured with declared sizes and run times for one kind of one member.
type sizeHistory struct {
	cores, memory ratioStat
	runTime       ratioStat
}

// ratioStat is an exponentially weighted mean and variance of measured / declared.
type ratioStat struct {
	mean, variance float64
	samples        int32
}

const (
	ratioRate = 0.05
	// Fewer samples do not correct a declared size.
	minRatioSamples = 8
	// Bounds of a correction, as a factor of the declared size. A lower bound under 1 would promise capacity that the
	// state machine does not grant.
	minCorrection = 1.0
	maxCorrection = 4.0
	// Bounds of a run time correction.
	minRunCorrection = 0.1
	maxRunCorrection = 10.0
)

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

// upper returns mean plus one standard deviation within bounds, or 1 before there are enough samples.
func (r *ratioStat) upper() float64 {
	if r.samples < minRatioSamples {
		return 1
	}
	return min(maxCorrection, max(minCorrection, r.mean+math.Sqrt(r.variance)))
}

// corrected returns the size that tasks of this kind are expected to use, never below the declared size.
func (h *sizeHistory) corrected(declared vector) vector {
	if h == nil {
		return declared
	}
	return vector{
		Cores:        int64(float64(declared.Cores) * h.cores.upper()),
		Memory:       int64(float64(declared.Memory) * h.memory.upper()),
		Accelerators: declared.Accelerators,
	}
}

// runTimeMs returns the expected run time in ms, corrected by that of ended tasks of the kind.
func (h *sizeHistory) runTimeMs(declared int64) int64 {
	if h == nil || h.runTime.samples == 0 {
		return declared
	}
	return int64(float64(declared) * min(maxRunCorrection, max(minRunCorrection, h.runTime.mean)))
}
