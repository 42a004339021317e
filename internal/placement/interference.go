package placement

import "math"

// interference estimates how much a task of one kind (the aggressor) slows down a task of another kind (the victim) on
// the same worker. It models -ln(speed) of a task as the sum of one term for each neighbour, so that independent
// slow-downs multiply. Each term has a mean and a variance, which Kalman updates with a diagonal covariance refine.
type interference struct {
	// pairs is indexed by victim, then by aggressor. Rows are only as long as needed; pairs without samples are nil.
	pairs [][]*pair
	count int // pairs that are not nil
	// priors holds the priors of the pairs, by aggressor.
	priors   []aggressorPrior
	halfLife float64 // ms
}

// pair is the estimated effect of one aggressor task on -ln(speed) of a victim task.
type pair struct {
	mean, variance float64
	at             int64 // Unix ms of the newest sample
	// errorRatio is the moving average of squared prediction errors divided by the predicted variance. It is about 1
	// while the model fits.
	errorRatio float64
	// cached is the decayed estimate as of cachedAt. A decision looks up hundreds of pairs; decaying the pair in each
	// lookup took 60% of the time of a decision.
	cached   effect
	cachedAt int64
}

// aggressorPrior is the estimate for the pairs of one aggressor without samples, to which the other pairs decay. Its
// mean is that of the effects on recent victims, and decays to classMean without samples.
type aggressorPrior struct {
	classMean, mean     float64
	variance, deviation float64
	weight              float64 // number of samples that the mean counts for; 0 if the class is not known
	at                  int64   // Unix ms of the newest sample
	// cached is the decayed mean as of cachedAt.
	cached   float64
	cachedAt int64
}

const (
	// Priors of kinds without samples. They are higher for batch kinds, so that tasks of latency classes are placed
	// beside each other until samples show a different effect.
	batchPriorMean, batchPriorVariance     = 0.03, 0.1 * 0.1
	latencyPriorMean, latencyPriorVariance = 0.002, 0.02 * 0.02
	// priorWeight is the number of samples for which the class mean counts in the mean of a prior.
	priorWeight = 4
	// minVariance keeps pairs able to follow new samples.
	minVariance = 0.005 * 0.005
	// sampleVariance is the assumed noise of one speed sample.
	sampleVariance = 0.05 * 0.05
	// maxEffect bounds the mean of a pair.
	maxEffect = 3.0
	// maxPairs bounds the memory of the model to about 8 MB.
	maxPairs = 65536
	// cacheMs is how long a decayed estimate is cached.
	cacheMs = 1000
	// An errorRatio above maxErrorRatio shows that the load has shifted. The variance of the pair is then raised, so
	// that new samples count more.
	maxErrorRatio  = 4.0
	errorRatioRate = 0.1
	// minSpeed bounds the effect of a single sample of a task that hardly ran.
	minSpeed = 0.05
)

func newInterference(halfLifeMs float64) *interference {
	return &interference{halfLife: halfLifeMs}
}

// effect is an estimated effect on -ln(speed): its mean and standard deviation.
type effect struct{ mean, deviation float64 }

// ensurePrior sets the prior of a kind by its class unless it has one. A kind with tasks of both batch and other
// classes keeps the prior of the class seen first.
func (m *interference) ensurePrior(aggressor kindID, batch bool) {
	for int(aggressor) >= len(m.priors) {
		m.priors = append(m.priors, newAggressorPrior(batchPriorMean, batchPriorVariance, 0))
	}
	switch h := &m.priors[aggressor]; {
	case h.weight > 0:
	case batch:
		h.weight = priorWeight
	default:
		*h = newAggressorPrior(latencyPriorMean, latencyPriorVariance, priorWeight)
	}
}

func newAggressorPrior(mean, variance, weight float64) aggressorPrior {
	return aggressorPrior{classMean: mean, mean: mean, variance: variance, deviation: math.Sqrt(variance), weight: weight}
}

// decayedPrior returns the prior of an aggressor with its cached mean decayed to time now or to at most cacheMs before.
func (m *interference) decayedPrior(aggressor kindID, now int64) *aggressorPrior {
	h := &m.priors[aggressor]
	if now-h.cachedAt >= cacheMs {
		h.cached, h.cachedAt = h.classMean+(h.mean-h.classMean)*m.decay(now-h.at), now
	}
	return h
}

// lookup returns the pair, or nil if it has no samples.
func (m *interference) lookup(victim, aggressor kindID) *pair {
	if int(victim) >= len(m.pairs) {
		return nil
	}
	row := m.pairs[victim]
	if int(aggressor) >= len(row) {
		return nil
	}
	return row[aggressor]
}

// estimate returns the effect of one task of kind aggressor on a task of kind victim at time now. ensurePrior must have
// been called for the aggressor.
func (m *interference) estimate(victim, aggressor kindID, now int64) effect {
	p := m.lookup(victim, aggressor)
	if p == nil {
		h := m.decayedPrior(aggressor, now)
		return effect{h.cached, h.deviation}
	}
	if now-p.cachedAt >= cacheMs {
		mean, variance := p.decayed(m.decayedPrior(aggressor, now), m.decay(now-p.at))
		p.cached, p.cachedAt = effect{mean, math.Sqrt(variance)}, now
	}
	return p.cached
}

// decayed returns the mean and variance of p when the share keep of the difference from the prior remains.
func (p *pair) decayed(prior *aggressorPrior, keep float64) (mean, variance float64) {
	return prior.cached + (p.mean-prior.cached)*keep, prior.variance + (p.variance-prior.variance)*keep
}

// decay returns the share of an estimate's difference from its prior that remains after age ms. For fresh estimates,
// the usual case, it avoids the exponential function.
func (m *interference) decay(age int64) float64 {
	x := float64(age) / m.halfLife
	if x <= 0.001 {
		return 1
	}
	return math.Exp2(-x)
}

// neighbour is a kind of task that runs beside a victim. The amount is the sum of the throttle shares of its tasks.
type neighbour struct {
	kind   kindID
	amount float64
}

// learn updates the effects of the neighbours on a victim kind from one speed sample, taken at the given Unix time in
// ms.
func (m *interference) learn(victim kindID, neighbours []neighbour, speed float64, taken int64) {
	if len(neighbours) == 0 || speed <= 0 {
		return
	}
	observed := -math.Log(min(1, max(minSpeed, speed)))
	predicted, variance := 0.0, sampleVariance
	for _, n := range neighbours {
		p := m.decayedPair(victim, n.kind, taken)
		if p == nil {
			return
		}
		predicted += n.amount * p.mean
		variance += n.amount * n.amount * p.variance
	}
	residual := observed - predicted
	for _, n := range neighbours {
		m.updatePair(victim, n, residual, variance, taken)
	}
}

// updatePair moves the estimate of one pair towards a sample whose observed value exceeds the prediction by residual. A
// sample older than the newest one counts less, since the pair already reflects newer load.
func (m *interference) updatePair(victim kindID, n neighbour, residual, variance float64, taken int64) {
	p := m.lookup(victim, n.kind)
	gain := n.amount * p.variance / variance
	if taken < p.at {
		gain *= m.decay(p.at - taken)
	}
	p.mean = min(maxEffect, max(0, p.mean+gain*residual))
	p.variance = max(minVariance, p.variance*(1-gain*n.amount))
	p.errorRatio += errorRatioRate * (residual*residual/variance - p.errorRatio)
	if p.errorRatio > maxErrorRatio {
		p.variance = min(batchPriorVariance, 4*p.variance)
		p.errorRatio = 1
	}
	p.at = max(p.at, taken)
	p.cachedAt = 0
	m.updatePrior(n.kind, p.mean, taken)
}

// priorSamples is the number of samples over which the mean of a prior is averaged.
const priorSamples = 64

// updatePrior moves the prior of an aggressor towards the mean of one of its pairs.
func (m *interference) updatePrior(aggressor kindID, mean float64, taken int64) {
	h := &m.priors[aggressor]
	if taken > h.at {
		h.mean = h.classMean + (h.mean-h.classMean)*m.decay(taken-h.at)
		h.at = taken
	}
	h.weight = min(priorSamples, h.weight+1)
	h.mean += (mean - h.mean) / h.weight
}

// decayedPair returns the pair, decayed to time at, and adds it if it has no samples. It returns nil if the model is
// full.
func (m *interference) decayedPair(victim, aggressor kindID, at int64) *pair {
	p := m.lookup(victim, aggressor)
	if p == nil {
		return m.add(victim, aggressor, at)
	}
	if at > p.at {
		p.mean, p.variance = p.decayed(m.decayedPrior(aggressor, at), m.decay(at-p.at))
		p.at = at
	}
	return p
}

// add adds a pair with the estimate of its prior. It returns nil if the model is full.
func (m *interference) add(victim, aggressor kindID, at int64) *pair {
	if m.count >= maxPairs {
		m.dropStale(at)
	}
	if m.count >= maxPairs {
		return nil
	}
	for int(victim) >= len(m.pairs) {
		m.pairs = append(m.pairs, nil)
	}
	for int(aggressor) >= len(m.pairs[victim]) {
		m.pairs[victim] = append(m.pairs[victim], nil)
	}
	prior := m.decayedPrior(aggressor, at)
	p := &pair{mean: prior.cached, variance: prior.variance, at: at, errorRatio: 1}
	m.pairs[victim][aggressor] = p
	m.count++
	return p
}

// dropStale removes the pairs whose newest sample is older than a half-life.
func (m *interference) dropStale(now int64) {
	for _, row := range m.pairs {
		for i, p := range row {
			if p != nil && float64(now-p.at) > m.halfLife {
				row[i] = nil
				m.count--
			}
		}
	}
}
