package placement

import "math"

// interference learns how much a task of one kind slows a task of another kind. It models -ln(speed) of a task as the
// sum of one term for each neighbour, so independent slow-downs multiply. Each term has a mean and a variance that a
// Kalman update with a diagonal covariance refines.
type interference struct {
	// pairs is indexed by victim, then by aggressor. Rows grow as far as needed; pairs without samples are nil.
	pairs [][]*pair
	count int
	// harm holds the first guess for pairs without samples, by aggressor.
	harm     []harm
	halfLife float64 // ms
}

// pair is the estimated effect of one aggressor task on -ln(speed) of a victim task.
type pair struct {
	mean, variance float64
	at             int64 // Unix ms of the newest sample
	// surprise is the recent mean of squared errors relative to the predicted variance; 1 if the model is right.
	surprise float64
	// recent is the estimate as of recentAt. A decision looks up hundreds of pairs, which were 60% of its cost when
	// each lookup aged the pair anew.
	recent   effect
	recentAt int64
}

// harm is the prior of the pairs of one aggressor: the mean effect on its recent victims. Without samples it returns to
// first, the prior of the class.
type harm struct {
	first, mean         float64
	variance, deviation float64
	weight              float64 // samples that the mean counts for; 0 if the kind is not known
	at                  int64   // Unix ms of the newest sample
	// recent is the mean as of recentAt.
	recent   float64
	recentAt int64
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
	// recentMs is how long an estimate is used before it is aged again.
	recentMs = 1000
	// Above shiftSurprise the load has shifted and the variance is raised, so that new samples count more.
	shiftSurprise = 4.0
	surpriseRate  = 0.1
	// minSpeed bounds the effect of one sample of a task that hardly ran.
	minSpeed = 0.05
)

func newInterference(halfLifeMs float64) *interference {
	return &interference{halfLife: halfLifeMs}
}

// effect is an estimate with its standard deviation.
type effect struct{ mean, deviation float64 }

// expect sets the prior of a kind that has none yet.
func (m *interference) expect(aggressor kindID, batch bool) {
	for int(aggressor) >= len(m.harm) {
		m.harm = append(m.harm, newHarm(batchHarm, batchVariance, 0))
	}
	switch h := &m.harm[aggressor]; {
	case h.weight > 0:
	case batch:
		h.weight = priorWeight
	default:
		*h = newHarm(latencyHarm, latencyVariance, priorWeight)
	}
}

func newHarm(mean, variance, weight float64) harm {
	return harm{first: mean, mean: mean, variance: variance, deviation: math.Sqrt(variance), weight: weight}
}

// prior returns the prior of the pairs of an aggressor at time now, aged at most every recentMs.
func (m *interference) prior(aggressor kindID, now int64) *harm {
	h := &m.harm[aggressor]
	if now-h.recentAt >= recentMs {
		h.recent, h.recentAt = h.first+(h.mean-h.first)*m.remaining(now-h.at), now
	}
	return h
}

// lookup returns the pair or nil.
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

// estimate returns the effect of one task of kind aggressor on a task of kind victim at time now. Every kind must have
// a prior.
func (m *interference) estimate(victim, aggressor kindID, now int64) effect {
	p := m.lookup(victim, aggressor)
	if p == nil {
		h := m.prior(aggressor, now)
		return effect{h.recent, h.deviation}
	}
	if now-p.recentAt >= recentMs {
		mean, variance := p.aged(m.prior(aggressor, now), m.remaining(now-p.at))
		p.recent, p.recentAt = effect{mean, math.Sqrt(variance)}, now
	}
	return p.recent
}

// aged returns mean and variance when only the share keep of what was learned remains.
func (p *pair) aged(prior *harm, keep float64) (mean, variance float64) {
	return prior.recent + (p.mean-prior.recent)*keep, prior.variance + (p.variance-prior.variance)*keep
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
		if p == nil {
			return
		}
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
	p := m.lookup(victim, n.kind)
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
	p.recentAt = 0
	m.learnHarm(n.kind, p.mean, taken)
}

// harmSamples is the number of samples over which the mean effect of a kind is averaged.
const harmSamples = 64

func (m *interference) learnHarm(aggressor kindID, mean float64, taken int64) {
	h := &m.harm[aggressor]
	if taken > h.at {
		h.mean = h.first + (h.mean-h.first)*m.remaining(taken-h.at)
		h.at = taken
	}
	h.weight = min(harmSamples, h.weight+1)
	h.mean += (mean - h.mean) / h.weight
}

// pair returns the pair, aged to time at, or nil if the model is full.
func (m *interference) pair(victim, aggressor kindID, at int64) *pair {
	p := m.lookup(victim, aggressor)
	if p == nil {
		return m.add(victim, aggressor, at)
	}
	if at > p.at {
		p.mean, p.variance = p.aged(m.prior(aggressor, at), m.remaining(at-p.at))
		p.at = at
	}
	return p
}

func (m *interference) add(victim, aggressor kindID, at int64) *pair {
	if m.count >= maxPairs {
		m.forgetOld(at)
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
	prior := m.prior(aggressor, at)
	p := &pair{mean: prior.recent, variance: prior.variance, at: at, surprise: 1}
	m.pairs[victim][aggressor] = p
	m.count++
	return p
}

// forgetOld drops the pairs that have had no sample for a half-life.
func (m *interference) forgetOld(now int64) {
	for _, row := range m.pairs {
		for i, p := range row {
			if p != nil && float64(now-p.at) > m.halfLife {
				row[i] = nil
				m.count--
			}
		}
	}
}
