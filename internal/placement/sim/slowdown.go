package sim

import (
	"math"
	"math/rand/v2"
	"time"
)

// Slowdown is the simulated interference between kinds of tasks: for each pair of kinds, by how much one task of the
// second kind increases -ln(speed) of a task of the first kind on the same worker. Which pairs interfere strongly changes
// after each Period.
type Slowdown struct {
	Seed uint64
	// Services and Batches are the numbers of kinds of service and batch tasks. The kinds of services come first.
	Services, Batches int
	Period            time.Duration
	epoch             int64
	effects           [][]float64 // in the present epoch, by victim and aggressor
}

const (
	// maxQuietEffect bounds the effect of tasks that are not of a noisy batch kind.
	maxQuietEffect = 0.004
	// Each task of a noisy batch kind slows down sensitive services by 10% to 22% and all other tasks by 2%.
	minNoisyEffect, maxNoisyEffect = 0.1, 0.25
	weakNoisyEffect                = 0.02
	// noisyShare is the share of batch kinds that are noisy, sensitiveShare that of service kinds that are sensitive.
	noisyShare, sensitiveShare = 0.25, 0.5
)

// Kinds returns the number of kinds.
func (s *Slowdown) Kinds() int { return s.Services + s.Batches }

// Effects returns the effects at the given time since the start, by victim and aggressor.
func (s *Slowdown) Effects(elapsed time.Duration) [][]float64 {
	epoch := int64(elapsed / s.Period)
	if s.effects == nil || epoch != s.epoch {
		s.epoch = epoch
		s.effects = s.draw(rand.New(rand.NewPCG(s.Seed, uint64(epoch))))
	}
	return s.effects
}

func (s *Slowdown) draw(rng *rand.Rand) [][]float64 {
	noisy := pick(rng, s.Batches, noisyShare)
	sensitive := pick(rng, s.Services, sensitiveShare)
	effects := make([][]float64, s.Kinds())
	for victim := range effects {
		effects[victim] = make([]float64, s.Kinds())
		for aggressor := range effects[victim] {
			effects[victim][aggressor] = s.effect(rng, victim, aggressor, sensitive, noisy)
		}
	}
	return effects
}

func (s *Slowdown) effect(rng *rand.Rand, victim, aggressor int, sensitive, noisy []bool) float64 {
	if aggressor < s.Services || !noisy[aggressor-s.Services] {
		return maxQuietEffect * rng.Float64()
	}
	switch {
	case victim >= s.Services:
		return weakNoisyEffect
	case sensitive[victim]:
		return minNoisyEffect + (maxNoisyEffect-minNoisyEffect)*rng.Float64()
	}
	return weakNoisyEffect
}

// pick marks the given share of n items, rounded up.
func pick(rng *rand.Rand, n int, share float64) []bool {
	marked := make([]bool, n)
	for _, i := range rng.Perm(n)[:int(math.Ceil(share*float64(n)))] {
		marked[i] = true
	}
	return marked
}
