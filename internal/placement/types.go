// Package placement decides which worker runs which task. A Planner keeps a cache of the workers, tasks and contracts
// of one failure domain and proposes placements, evictions, throttles and worker state changes. The caller carries the
// proposals out and reports the results back to the planner.
package placement

import (
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Plan is a set of proposals that can be applied together.
type Plan struct {
	Placements    []*pb.Placement
	Evictions     []*pb.Eviction
	Throttles     []Throttle
	Unschedulable []*pb.MarkUnschedulable
	WorkerStates  []*pb.SetWorkerState
	// Decisions explains each proposal, for the decision log.
	Decisions []Decision
}

// Throttle limits an attempt to a share of its declared cores, above 0 and at most 1. A share of 1 lifts the limit.
type Throttle struct {
	Task    string
	Attempt uint32
	Share   float64
}

// Decision describes one proposal for the decision log.
type Decision struct {
	Task   string
	Worker string
	Reason string
	// Considered is the number of workers that were scored.
	Considered int
}

// Config holds the settings of a Planner. Zero values select the defaults. The latency classes are urgent and service.
type Config struct {
	// TailLatencyWeight is the cost of a predicted slow-down of tasks of the latency classes, and ThroughputWeight that
	// of batch tasks. If both are 0, both default to 1.
	TailLatencyWeight float64
	ThroughputWeight  float64
	// Seed seeds the random sampling of workers.
	Seed uint64
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// Candidates is the number of workers scored to place a task. Service tasks and evictions use a multiple of it.
	// Default 8.
	Candidates int
	// Strategy selects how workers are chosen. Default StrategyInterference.
	Strategy Strategy
	// HalfLife is the time after which an interference estimate without new samples has moved half way back to its
	// prior. Default 10 min.
	HalfLife time.Duration
	// SlowdownLimit is the share of its speed that a task of a latency class may lose before batch tasks on the same
	// worker are throttled, above 0 and below 1. The default is 0.3 at equal weights and depends on their ratio.
	SlowdownLimit float64
	// UsageFreshness is the age above which a usage report no longer counts as current usage. Default 15 s.
	UsageFreshness time.Duration
	// CapacityGrace is how long after a loss of capacity the planner waits before it reports tasks as unschedulable
	// for lack of capacity, since most lost workers come back. Default 30 s.
	CapacityGrace time.Duration
	// EvictionProtection is how long an evicted task is protected from another eviction after it has started again.
	// Default 60 s.
	EvictionProtection time.Duration
	// StarveAfter is the waiting time after which a service or batch task counts as starving: it may be placed ahead
	// of fair order, and workers may be reserved for it. Default 60 s.
	StarveAfter time.Duration
	// DrainPatience is the time after the start of a drain within which a batch task must be expected to finish, or
	// else it is evicted. Default 10 s.
	DrainPatience time.Duration
}

// Strategy selects how workers are chosen.
type Strategy int

// The strategies. All but StrategyInterference are baselines for benchmarks.
const (
	// StrategyInterference places by predicted interference. It throttles the batch neighbours of a slow task before it
	// evicts one.
	StrategyInterference Strategy = iota
	// StrategyFirstFit takes the first worker with room, in index order.
	StrategyFirstFit
	// StrategyBestFit takes the worker that has the least room left after the placement.
	StrategyBestFit
	// StrategyBlind scores like StrategyInterference but without the interference model. It evicts the largest batch
	// neighbour of a slow task.
	StrategyBlind
)

const (
	defaultCandidates = 8
	// With equal weights, 0.2 lowered p99 slightly more than 0.3 but also lowered batch throughput.
	baseSlowdownLimit = 0.3
	minSlowdownLimit  = 0.1
	maxSlowdownLimit  = 0.6
)

// withDefaults returns c with defaults in place of unset or invalid values.
func (c Config) withDefaults() Config {
	if c.TailLatencyWeight == 0 && c.ThroughputWeight == 0 {
		c.TailLatencyWeight, c.ThroughputWeight = 1, 1
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Candidates <= 0 {
		c.Candidates = defaultCandidates
	}
	if !(c.SlowdownLimit > 0 && c.SlowdownLimit < 1) {
		c.SlowdownLimit = c.defaultSlowdownLimit()
	}
	setDefault(&c.HalfLife, 10*time.Minute)
	setDefault(&c.UsageFreshness, 15*time.Second)
	setDefault(&c.CapacityGrace, 30*time.Second)
	setDefault(&c.EvictionProtection, time.Minute)
	setDefault(&c.StarveAfter, time.Minute)
	setDefault(&c.DrainPatience, 10*time.Second)
	return c
}

// defaultSlowdownLimit returns the default of SlowdownLimit. The limit falls as the weight of tail latency rises, so
// that neighbours are throttled earlier.
func (c Config) defaultSlowdownLimit() float64 {
	if c.TailLatencyWeight <= 0 {
		return maxSlowdownLimit
	}
	limit := baseSlowdownLimit * math.Sqrt(c.ThroughputWeight/c.TailLatencyWeight)
	return min(maxSlowdownLimit, max(minSlowdownLimit, limit))
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Planner plans the placements of one failure domain. It is not safe for concurrent use.
type Planner struct {
	config Config
	cache  *cache
	// round counts the calls to Plan. It selects the plans that place starving tasks first or resume an unfinished
	// pass.
	round int
	// resumeAfter is the number of blocked tasks that the next resuming plan skips, by class rank; see placeClass.
	resumeAfter [numClasses]int
}

// New returns a Planner that knows no workers, tasks or contracts yet.
func New(config Config) *Planner {
	config = config.withDefaults()
	return &Planner{config: config, cache: newCache(config)}
}

// UpsertWorker adds a worker or updates its state.
func (p *Planner) UpsertWorker(w *pb.Worker) { p.cache.upsertWorker(w, p.nowMs()) }

// RemoveWorker removes a worker. Tasks still placed on it keep counting against quotas.
func (p *Planner) RemoveWorker(id string) { p.cache.removeWorker(id, p.nowMs()) }

// UpsertTask adds a task in any state or updates its state.
func (p *Planner) UpsertTask(t *pb.Task) { p.cache.upsertTask(t, p.nowMs()) }

// RemoveTask removes a task and releases what it holds.
func (p *Planner) RemoveTask(id string) { p.cache.removeTask(id, p.nowMs()) }

// SetContract adds or replaces a contract. Its resolved limits are the part granted in this failure domain.
func (p *Planner) SetContract(c *pb.ResolvedContract) {
	p.cache.quotas.set(c)
	p.cache.feasibility.limitsChanged()
}

// RemoveContract withdraws a contract. Following plans evict its running tasks and report its queued tasks as
// unschedulable.
func (p *Planner) RemoveContract(name string) {
	p.cache.quotas.remove(name)
	p.cache.feasibility.limitsChanged()
}

// Observe records the measured usage and speed of an attempt. A late sample is attributed to the tasks that ran on the
// worker when it was taken, not when it arrived.
func (p *Planner) Observe(worker string, s *pb.UsageSample) {
	p.cache.observe(worker, s, p.nowMs())
}

func (p *Planner) nowMs() int64 { return p.config.Now().UnixMilli() }
