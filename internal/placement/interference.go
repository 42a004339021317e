package placement

import "math"

// interference learns how much a task of one kind slows a task of another kind. It models -ln(speed) of a task as the
// sum of one term for each neighbour, so independent slow-downs multiply. Each term has a mean and a variance that a
// Kalman update with a diagonal covariance refines.
type interference struct {
	pairs map[pairKey]*pair
	// harm is the mean effect of a kind on its neighbours, the first guess for a pair without samples.
	harm     map[kindID]*harm
	halfLife float64 // ms
}

type pairKey struct{ victim, aggressor kindID }

// pair is the estimated effect of one aggressor task on -ln(speed) of a victim task.
type pair struct {
	mean, variance float64
	at             int64 // Unix ms of the newest sample
	// surprise is the recent mean of squared errors relative to the predicted variance; 1 if the model is right.
	surprise float64
}

// harm is the prior of the pairs of one aggressor.
type harm struct {
	mean, weight float64
	variance     float64
}

const (
	// Priors of kinds of which nothing is known. Batch tasks are expected to disturb more than the others, so that
	// tasks of latency classes are placed beside each other until samples show something else.
	batchHarm, batchVariance     = 0.03, 0.1 * 0.1
	latencyHarm, latencyVariance = 0.002, 0.02 * 0.02
	priorWeight                  = 4
	// Below this variance a pair would no longer follow new samples.
	minVariance = 0.005 * 0.005
	// sampleVariance is the assumed noise of one speed sample.
	sampleVariance = 0.05 * 0.05
	maxEffect      = 3.0
	// maxPairs bounds the memory of the model to about 8 MB.
	maxPairs = 65536
	// Above shiftSurprise the load has shifted and the variance is raised, so that new samples count more.
	shiftSurprise = 4.0
	surpriseRate  = 0.1
	// minSpeed bounds the effect of one sample of a task that hardly ran.
	minSpeed = 0.05
)

func newInterference(halfLifeMs float64) *interference {
	return &interference{pairs: map[pairKey]*pair{}, harm: map[kindID]*harm{}, halfLife: halfLifeMs}
}

// effect is an estimate with its standard deviation.
type effect struct{ mean, deviation float64 }

// expect sets the prior of a kind that has none yet.
func (m *interference) expect(aggressor kindID, batch bool) {
	if m.harm[aggressor] != nil {
		return
	}
	h := &harm{latencyHarm, priorWeight, latencyVariance}
	if batch {
		h.mean, h.variance = batchHarm, batchVariance
	}
	m.harm[aggressor] = h
}

// estimate returns the effect of one task of kind aggressor on a task of kind victim at time now.
func (m *interference) estimate(victim, aggressor kindID, now int64) effect {
	p := m.pairs[pairKey{victim, aggressor}]
	prior := m.prior(aggressor)
	if p == nil {
		return effect{prior.mean, math.Sqrt(prior.variance)}
	}
	mean, variance := p.aged(prior, m.remaining(now-p.at))
	return effect{mean, math.Sqrt(variance)}
}

// aged returns mean and variance when only the share keep of what was learned remains.
func (p *pair) aged(prior *harm, keep float64) (mean, variance float64) {
	return prior.mean + (p.mean-prior.mean)*keep, prior.variance + (p.variance-prior.variance)*keep
}

var noHarm = &harm{variance: batchVariance}

func (m *interference) prior(aggressor kindID) *harm {
	if h := m.harm[aggressor]; h != nil {
		return h
	}
	return noHarm
}

// remaining is the share of an estimate that is kept after age ms. The cheap path covers the usual case of fresh
// estimates.
func (m *interference) remaining(age int64) float64 {
	x := float64(age) / m.halfLife
	if x <= 0.001 {
		return 1
	}
	return math.Exp2(-x)
}

// neighbour is a number of tasks of one kind, weighted by their throttle share.
type neighbour struct {
	kind   kindID
	amount float64
}

// learn refines the effects of neighbours on victim from one speed sample taken at time taken and received at time now.
func (m *interference) learn(victim kindID, neighbours []neighbour, speed float64, taken int64) {
	if len(neighbours) == 0 || speed <= 0 {
		return
	}
	observed := -math.Log(min(1, max(minSpeed, speed)))
	predicted, variance := 0.0, sampleVariance
	for _, n := range neighbours {
		p := m.pair(victim, n.kind, taken)
		predicted += n.amount * p.mean
		variance += n.amount * n.amount * p.variance
	}
	miss := observed - predicted
	for _, n := range neighbours {
		m.correct(victim, n, miss, variance, taken)
	}
}

// correct moves one pair towards the sample. A sample older than the newest one counts less, since the pair has been
// seen under newer load.
func (m *interference) correct(victim kindID, n neighbour, miss, variance float64, taken int64) {
	p := m.pairs[pairKey{victim, n.kind}]
	if p == nil {
		return
	}
	gain := n.amount * p.variance / variance
	if taken < p.at {
		gain *= m.remaining(p.at - taken)
	}
	p.mean = min(maxEffect, max(0, p.mean+gain*miss))
	p.variance = max(minVariance, p.variance*(1-gain*n.amount))
	p.surprise += surpriseRate * (miss*miss/variance - p.surprise)
	if p.surprise > shiftSurprise {
		p.variance = min(batchVariance, 4*p.variance)
		p.surprise = 1
	}
	p.at = max(p.at, taken)
	m.learnHarm(n.kind, p.mean)
}

// harmSamples is the number of samples over which the mean effect of a kind is averaged.
const harmSamples = 64

func (m *interference) learnHarm(aggressor kindID, mean float64) {
	m.expect(aggressor, true)
	h := m.harm[aggressor]
	h.weight = min(harmSamples, h.weight+1)
	h.mean += (mean - h.mean) / h.weight
}

// pair returns the estimate of a pair, aged to time at.
func (m *interference) pair(victim, aggressor kindID, at int64) *pair {
	key := pairKey{victim, aggressor}
	p := m.pairs[key]
	if p == nil {
		m.makeRoom()
		prior := m.prior(aggressor)
		p = &pair{mean: prior.mean, variance: prior.variance, at: at, surprise: 1}
		m.pairs[key] = p
		return p
	}
	if at > p.at {
		p.mean, p.variance = p.aged(m.prior(aggressor), m.remaining(at-p.at))
		p.at = at
	}
	return p
}

// makeRoom drops some pair when the model is full. Map iteration picks it at random enough.
func (m *interference) makeRoom() {
	if len(m.pairs) < maxPairs {
		return
	}
	for key := range m.pairs {
		delete(m.pairs, key)
		return
	}
}
