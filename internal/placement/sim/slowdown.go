package sim

import (
	"math"
	"math/rand/v2"
	"time"
)

// Slowdown is the true effect of pairs of kinds: the loss of -ln(speed) of a task of one kind for each neighbour of
// another kind. Which pairs interfere strongly changes every Period.
type Slowdown struct {
	Seed uint64
	// Services and Batches are the numbers of kinds. Kinds of services come first.
	Services, Batches int
	Period            time.Duration
	epoch             int64
	effects           [][]float64
}

const (
	quietEffect = 0.004
	// A noisy batch kind slows a sensitive service by 10% to 22% for each task, and other batch kinds by 2%.
	minNoisyEffect, maxNoisyEffect = 0.1, 0.25
	noisyBatchEffect               = 0.02
	noisyShare, sensitiveShare     = 0.25, 0.5
)

// Kinds returns the number of kinds.
func (s *Slowdown) Kinds() int { return s.Services + s.Batches }

// Effects returns the effects in force at the given time since the start, by victim and aggressor.
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
		return quietEffect * rng.Float64()
	}
	switch {
	case victim >= s.Services:
		return noisyBatchEffect
	case sensitive[victim]:
		return minNoisyEffect + (maxNoisyEffect-minNoisyEffect)*rng.Float64()
	}
	return noisyBatchEffect
}

// pick marks the given share of n items, rounded up.
func pick(rng *rand.Rand, n int, share float64) []bool {
	marked := make([]bool, n)
	for _, i := range rng.Perm(n)[:int(math.Ceil(share*float64(n)))] {
		marked[i] = true
	}
	return marked
}
