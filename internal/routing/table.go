package routing

import (
	"sort"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
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
	draining  bool
	idle      chan struct{}
	sequence  uint64
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

// pool holds the executors of one service. Guarded by Table.mu.
type pool struct {
	service   string
	executors []*executor
	picker    Picker
	urgent    fairQueue
	normal    fairQueue
	// latency is the moving average over all executors in seconds.
	latency float64
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

// list puts e into or out of the executors with a free slot.
func (p *pool) list(e *executor, now time.Time) {
	usable := e.usable(now)
	switch {
	case usable && e.index < 0:
		e.index = len(p.picker.available)
		p.picker.available = append(p.picker.available, e)
	case !usable && e.index >= 0:
		p.unlist(e)
	}
}

func (p *pool) unlist(e *executor) {
	last := len(p.picker.available) - 1
	moved := p.picker.available[last]
	p.picker.available[e.index] = moved
	moved.index = e.index
	p.picker.available[last] = nil
	p.picker.available = p.picker.available[:last]
	e.index = -1
}

func (p *pool) remove(e *executor) {
	if e.index >= 0 {
		p.unlist(e)
	}
	for i, other := range p.executors {
		if other == e {
			p.executors = append(p.executors[:i], p.executors[i+1:]...)
			return
		}
	}
}

// slots returns the usable slots of all leased executors, and their number.
func (p *pool) slots(now time.Time) (slots, executors uint32) {
	for _, e := range p.executors {
		if !e.leased(now) || e.draining || e.health.isSetAside() {
			continue
		}
		slots += e.limit()
		executors++
	}
	return slots, executors
}

func (p *pool) queued() int { return p.urgent.size + p.normal.size }

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

// Drain refuses new requests and gives up no slot in use.
func (t *Table) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	for _, p := range t.pools {
		t.refuseAll(p, errs.ErrDraining)
	}
}

// Draining reports whether Drain was called.
func (t *Table) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}
