package routing

import (
	"sort"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Table holds the executors whose lease this entry VM has. It is safe for concurrent use.
type Table struct {
	config Config

	mu        sync.Mutex
	executors map[string]*executor
	pools     map[string]*pool
	peers     peers
	budget    budget
	waiting   int
	inFlight  int
	begun     int
	draining  bool
	idle      chan struct{}
	sequence  uint64
	expired   time.Time
	lastMove  time.Time
}

// NewTable returns an empty table.
func NewTable(c Config) *Table {
	c = c.withDefaults()
	t := &Table{config: c, executors: make(map[string]*executor), pools: make(map[string]*pool)}
	t.peers.init(c.Domain, reportsUntilStale*c.Interval)
	t.budget.percent = c.RetryBudgetPercent
	return t
}

func (t *Table) pool(service string) *pool {
	p := t.pools[service]
	if p == nil {
		p = &pool{service: service}
		p.picker.random = t.config.Seed + uint64(len(t.pools)) + 1
		t.pools[service] = p
	}
	return p
}

// Targets returns the status of all executors known to this entry VM, ordered by id.
func (t *Table) Targets() []*pb.TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	list := make([]*pb.TargetStatus, 0, len(t.executors))
	for _, e := range t.executors {
		list = append(list, t.status(e, now))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	return list
}

func (t *Table) status(e *executor, now time.Time) *pb.TargetStatus {
	s := &pb.TargetStatus{Id: e.id, Type: "executor", FailureDomain: e.domain, Rack: e.rack, Service: e.service}
	s.State = e.state(now)
	if e.leased(now) {
		s.Holder = t.config.VM
	}
	s.Slots = e.slots
	s.InFlight = e.inFlight
	s.Capacity = e.capacity
	return s
}

// Drain refuses new requests. Those that have begun, wait or are in flight go on.
func (t *Table) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Draining reports whether Drain was called.
func (t *Table) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}
