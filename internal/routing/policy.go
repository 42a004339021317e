package routing

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
	// considered holds the candidates of the last pick, for the decision line.
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

// LatencyTwoChoices samples two executors and takes the one with the lower product of measured
// latency and requests in flight plus one, the expected time to answer.
type LatencyTwoChoices struct{}

// Name implements Policy.
func (LatencyTwoChoices) Name() string { return "latency-two-choices" }

// Pick implements Policy.
func (LatencyTwoChoices) Pick(p *Picker) int {
	first, second := p.twoDistinct()
	if p.available[second].cost() < p.available[first].cost() {
		return second
	}
	return first
}

// minLatency keeps executors without a sample comparable by requests in flight.
const minLatency = 1e-6

func (e *executor) cost() float64 {
	return float64(e.inFlight+1) * max(e.health.latency, minLatency)
}
