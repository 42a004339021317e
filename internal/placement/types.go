// Package placement decides which worker runs which task. A Planner keeps a cache of the workers, tasks and contracts
// of one failure domain and proposes placements, evictions, throttles and worker states; it carries out none of them.
package placement

import (
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
}

const defaultCandidates = 8

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
	return c
}

// Planner plans the placements of one failure domain. It is not safe for concurrent use.
type Planner struct {
	config Config
	cache  *cache
}

// New returns a Planner with an empty cache.
func New(config Config) *Planner {
	return &Planner{config: config.withDefaults(), cache: newCache()}
}

// UpsertWorker adds a worker or replaces what is known of it.
func (p *Planner) UpsertWorker(w *pb.Worker) { p.cache.upsertWorker(w) }

// RemoveWorker removes a worker. Tasks that still occupy it keep counting against quotas.
func (p *Planner) RemoveWorker(id string) { p.cache.removeWorker(id) }

// UpsertTask adds a task in any state or replaces what is known of it.
func (p *Planner) UpsertTask(t *pb.Task) { p.cache.upsertTask(t) }

// RemoveTask forgets a task.
func (p *Planner) RemoveTask(id string) { p.cache.removeTask(id) }

// SetContract adds or replaces a contract. This domain grants domainParts of totalParts of its limits, rounded down.
func (p *Planner) SetContract(c *pb.ResolvedContract, domainParts, totalParts uint32) {
	p.cache.setContract(c, domainParts, totalParts)
}

// RemoveContract withdraws a contract. Its tasks are no longer placed.
func (p *Planner) RemoveContract(name string) { p.cache.removeContract(name) }

// Observe records measured usage. A sample counts for the time at which it was taken.
func (p *Planner) Observe(worker string, s *pb.UsageSample) {
	p.cache.observe(worker, s, p.config.Now())
}
