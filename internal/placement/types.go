// Package placement decides which worker runs which task. A Planner keeps a cache of the workers, tasks and contracts
// of one failure domain and proposes placements, evictions, throttles and worker states; it carries out none of them.
package placement

import (
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Plan is a set of proposals that are consistent with each other and with the cache.
type Plan struct {
	Placements    []*pb.Placement
	Evictions     []*pb.Eviction
	Throttles     []Throttle
	Unschedulable []*pb.MarkUnschedulable
	WorkerStates  []*pb.SetWorkerState
	// Decisions holds one entry for each proposal, for the decision log.
	Decisions []Decision
}

// Throttle limits an attempt to a share of its declared cores, above 0 and at most 1.
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

// Config holds the settings of a Planner. Zero values select the defaults.
type Config struct {
	// TailLatencyWeight weighs the predicted slow-down of urgent and service tasks. Default 1.
	TailLatencyWeight float64
	// ThroughputWeight weighs the predicted slow-down of batch tasks. Default 1.
	ThroughputWeight float64
	// Seed selects the sequence of sampled workers.
	Seed uint64
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// Candidates is the number of workers scored for a decision. Default 8.
	Candidates int
	// Strategy selects how workers are chosen. Default StrategyInterference.
	Strategy Strategy
	// HalfLife is the time after which half of what is learned of interference is forgotten. Default 10 min.
	HalfLife time.Duration
	// SlowdownLimit is the share of speed that a task of a latency class may lose before its batch neighbours are
	// throttled, above 0 and below 1. The default is 0.3 at equal weights and depends on their ratio.
	SlowdownLimit float64
	// UsageFreshness is the age at which a usage report no longer counts as current usage. Default 15 s.
	UsageFreshness time.Duration
	// CapacityGrace is how long after the loss of capacity tasks are not yet reported as unschedulable for lack of a
	// large enough worker, since most lost workers come back. Default 30 s.
	CapacityGrace time.Duration
	// EvictionProtection is how long an evicted task is protected from the next eviction after it has started again.
	// Default 60 s.
	EvictionProtection time.Duration
	// StarveAfter is the waiting time after which a task is placed ahead of fair order. Default 60 s.
	StarveAfter time.Duration
	// DrainPatience is how long batch tasks on a draining worker may run to their end before they are evicted.
	// Default 10 s.
	DrainPatience time.Duration
}

// Strategy selects how workers are chosen.
type Strategy int

// Strategies. All but the first are baselines for comparison.
const (
	// StrategyInterference places by predicted harm and throttles batch neighbours of slow tasks before it evicts one.
	StrategyInterference Strategy = iota
	// StrategyFirstFit takes the first worker with room, in order of registration.
	StrategyFirstFit
	// StrategyBestFit takes the worker with the least room left over.
	StrategyBestFit
	// StrategyBlind scores like StrategyInterference but knows nothing of interference. It evicts the largest batch
	// neighbour of a slow task.
	StrategyBlind
)

const (
	defaultCandidates = 8
	// With equal weights, 0.2 lowered p99 a little further than 0.3 but batch throughput as well.
	equalSlowdownLimit = 0.3
	minSlowdownLimit   = 0.1
	maxSlowdownLimit   = 0.6
)

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
		c.SlowdownLimit = c.weightedLimit()
	}
	setDefault(&c.HalfLife, 10*time.Minute)
	setDefault(&c.UsageFreshness, 15*time.Second)
	setDefault(&c.CapacityGrace, 30*time.Second)
	setDefault(&c.EvictionProtection, time.Minute)
	setDefault(&c.StarveAfter, time.Minute)
	setDefault(&c.DrainPatience, 10*time.Second)
	return c
}

// weightedLimit returns the default of SlowdownLimit: the more tail latency weighs, the earlier neighbours are
// throttled.
func (c Config) weightedLimit() float64 {
	if c.TailLatencyWeight <= 0 {
		return maxSlowdownLimit
	}
	limit := equalSlowdownLimit * math.Sqrt(c.ThroughputWeight/c.TailLatencyWeight)
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
	// round counts plans, to give aged tasks their turn.
	round int
	// resume is the number of blocked buckets behind which the next plan goes on, by class.
	resume [numClasses]int
}

// New returns a Planner with an empty cache.
func New(config Config) *Planner {
	config = config.withDefaults()
	return &Planner{config: config, cache: newCache(config)}
}

// UpsertWorker adds a worker or replaces what is known of it.
func (p *Planner) UpsertWorker(w *pb.Worker) { p.cache.upsertWorker(w, p.nowMs()) }

// RemoveWorker removes a worker. Tasks that still occupy it keep counting against quotas.
func (p *Planner) RemoveWorker(id string) { p.cache.removeWorker(id, p.nowMs()) }

// UpsertTask adds a task in any state or replaces what is known of it.
func (p *Planner) UpsertTask(t *pb.Task) { p.cache.upsertTask(t, p.nowMs()) }

// RemoveTask forgets a task.
func (p *Planner) RemoveTask(id string) { p.cache.removeTask(id, p.nowMs()) }

// SetContract adds or replaces a contract. Its limits are the share that this domain grants.
func (p *Planner) SetContract(c *pb.ResolvedContract) {
	p.cache.quotas.set(c)
	p.cache.feasibility.limitsChanged()
}

// RemoveContract withdraws a contract. Its running tasks are evicted and its queued ones reported.
func (p *Planner) RemoveContract(name string) {
	p.cache.quotas.remove(name)
	p.cache.feasibility.limitsChanged()
}

// Observe records measured usage. A sample counts for the time at which it was taken.
func (p *Planner) Observe(worker string, s *pb.UsageSample) {
	p.cache.observe(worker, s, p.nowMs())
}

func (p *Planner) nowMs() int64 { return p.config.Now().UnixMilli() }
