package routing

import (
	"sort"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Table holds the executors that announce themselves to this entry VM, and the requests queued for them.
// It is safe for concurrent use.
type Table struct {
	config Config

	mu sync.Mutex
	// executors by id.
	executors map[string]*executor
	// pools by service.
	pools  map[string]*pool
	peers  peers
	budget retryBudget
	// waiting, inFlight and begun count the requests that are queued, sent to executors, and registered
	// with Begin.
	waiting  int
	inFlight int
	begun    int
	draining bool
	// idle is closed when the table becomes idle. It is nil unless Wait has been called.
	idle chan struct{}
	// sequence is the number of the last load report.
	sequence uint64
	// lastExpiry is the time at which expire last scanned the executors.
	lastExpiry time.Time
	lastMove   time.Time
}

// NewTable returns an empty table.
func NewTable(c Config) *Table {
	c = c.withDefaults()
	t := &Table{config: c, executors: make(map[string]*executor), pools: make(map[string]*pool)}
	t.peers.init(c.Domain, staleIntervals*c.Interval)
	t.budget.percent = c.RetryBudgetPercent
	return t
}

// pool returns the pool of the service and creates it if needed.
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

// Drain makes the table refuse new requests. Requests that are registered with Begin, queued or in
// flight are still served.
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
