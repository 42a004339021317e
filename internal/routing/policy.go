package routing

import "math"

// Choice is a read-only view of one executor with a free slot.
type Choice interface {
	InFlight() uint32
	// Latency is the moving average in seconds; 0 before the first answer.
	Latency() float64
}

// Policy picks one of n executors with a free slot. at(i) is the i-th.
type Policy interface {
	Name() string
	Pick(p *Picker) int
}

// Picker is what a policy sees: the executors with a free slot and a random source.
type Picker struct {
	available []*executor
	random    uint64
	turn      uint64
	// considered holds the two best candidates of the last pick, for the decision line.
	considered [2]int
	sampled    int
}

// Len returns the number of executors with a free slot.
func (p *Picker) Len() int { return len(p.available) }

// Intn returns a random number in [0, n).
func (p *Picker) Intn(n int) int {
	// xorshift64*: fast, without allocation; quality suffices for sampling.
	p.random ^= p.random >> 12
	p.random ^= p.random << 25
	p.random ^= p.random >> 27
	high := (p.random * 2685821657736338717) >> 32
	return int(high * uint64(n) >> 32)
}

// twoDistinct returns two distinct indexes, or the same one if there is only one.
func (p *Picker) twoDistinct() (int, int) {
	n := len(p.available)
	if n == 1 {
		return 0, 0
	}
	first := p.Intn(n)
	second := p.Intn(n - 1)
	if second >= first {
		second++
	}
	p.considered = [2]int{first, second}
	p.sampled = 2
	return first, second
}

// Random picks any executor with a free slot.
type Random struct{}

// Name implements Policy.
func (Random) Name() string { return "random" }

// Pick implements Policy.
func (Random) Pick(p *Picker) int { return p.Intn(len(p.available)) }

// RoundRobin takes the executors in turn.
type RoundRobin struct{}

// Name implements Policy.
func (RoundRobin) Name() string { return "round-robin" }

// Pick implements Policy.
func (RoundRobin) Pick(p *Picker) int {
	p.turn++
	return int(p.turn % uint64(len(p.available)))
}

// LeastOutstanding scans for the fewest requests in flight.
type LeastOutstanding struct{}

// Name implements Policy.
func (LeastOutstanding) Name() string { return "least-outstanding" }

// Pick implements Policy.
func (LeastOutstanding) Pick(p *Picker) int {
	best := p.Intn(len(p.available))
	for i, e := range p.available {
		if e.inFlight < p.available[best].inFlight {
			best = i
		}
	}
	return best
}

// TwoChoices samples two executors and takes the one with fewer requests in flight.
type TwoChoices struct{}

// Name implements Policy.
func (TwoChoices) Name() string { return "two-choices" }

// Pick implements Policy.
func (TwoChoices) Pick(p *Picker) int {
	first, second := p.twoDistinct()
	if p.available[second].inFlight < p.available[first].inFlight {
		return second
	}
	return first
}

// latencySamples executors are compared. With two samples p99 at 80% load with slow executors in turn
// was 42 ms, with four 30 ms, with eight 28 ms and with sixteen 27 ms (BenchmarkNoisyNeighbours).
const latencySamples = 8

// LatencyChoices samples eight executors and takes the one with the lowest cost: requests in flight
// plus one, times the square of the measured latency. The square was 6 to 8% better than the plain
// product, the expected time to answer: it keeps more requests away from slow executors.
type LatencyChoices struct{}

// Name implements Policy.
func (LatencyChoices) Name() string { return "latency-choices" }

// Pick implements Policy.
func (LatencyChoices) Pick(p *Picker) int {
	n := len(p.available)
	samples := min(n, latencySamples)
	best, second := -1, -1
	bestCost, secondCost := math.Inf(1), math.Inf(1)
	offset := p.Intn(n)
	for step := range samples {
		i := (offset + step) % n
		if n > latencySamples {
			i = p.Intn(n)
		}
		switch cost := p.available[i].cost(); {
		case i == best:
		case cost < bestCost:
			best, second = i, best
			bestCost, secondCost = cost, bestCost
		case cost < secondCost:
			second, secondCost = i, cost
		}
	}
	if second >= 0 {
		p.considered = [2]int{best, second}
		p.sampled = 2
	}
	return best
}

const (
	// minLatency keeps executors comparable by requests in flight before the first sample.
	minLatency = 1e-6
	// failurePenalty raises the cost of an executor that fails every request. Failures are fast and
	// leave no requests in flight, so that it would look idle otherwise.
	failurePenalty = 10
)

func (e *executor) cost() float64 {
	latency := e.health.latency
	if latency == 0 {
		latency = max(e.pool.latency, minLatency)
	}
	return float64(e.inFlight+1) * latency * latency * (1 + failurePenalty*e.health.failing)
}
