package routing

import (
	"math"
	"sort"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// staleIntervals is the age, in announcement intervals, at which a load report is ignored.
	staleIntervals = 1
	// moveImbalance is the difference in the number of executors of a service at which one is moved to
	// the entry VM with fewer.
	moveImbalance = 2
)

// peers holds the last load report of each other entry VM. Guarded by Table.mu.
type peers struct {
	domain string
	// staleAfter is the age at which a report is ignored.
	staleAfter time.Duration
	reports    map[string]*peerLoad
}

type peerLoad struct {
	report *pb.LoadReport
	at     time.Time
	// sent counts the requests and executors sent to the peer since the report, so that one report does
	// not attract all of them. The keys are services for requests, and services prefixed with
	// movedExecutors for executors.
	sent map[string]uint32
}

func (p *peers) init(domain string, stale time.Duration) {
	p.domain = domain
	p.staleAfter = stale
	p.reports = make(map[string]*peerLoad)
}

// ObservePeer stores a load report of another entry VM. A report that arrives out of order is ignored
// unless the stored one is stale.
func (t *Table) ObservePeer(r *pb.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	old := t.peers.reports[r.Vm]
	if old != nil && old.report.Sequence >= r.Sequence && now.Sub(old.at) < t.peers.staleAfter {
		return
	}
	t.peers.reports[r.Vm] = &peerLoad{report: r, at: now, sent: make(map[string]uint32)}
}

// Load returns the load report that this entry VM sends to the others. It also expires executors.
func (t *Table) Load() *pb.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	t.expire(now)
	t.sequence++
	report := &pb.LoadReport{Vm: t.config.VM, FailureDomain: t.config.Domain, Sequence: t.sequence, Draining: t.draining}
	for _, p := range t.pools {
		report.Services = append(report.Services, p.load(now))
	}
	sort.Slice(report.Services, func(i, j int) bool { return report.Services[i].Service < report.Services[j].Service })
	return report
}

// PickPeer returns the entry VM that reported the most free capacity for the service and counts a
// request as sent to it. Entry VMs of the same failure domain are preferred; those in avoid are left
// out. ok is false if no entry VM has free capacity.
func (t *Table) PickPeer(service string, avoid ...string) (vm string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	var best *peerLoad
	bestFree, bestOwn := 0, false
	for _, peer := range t.peers.reports {
		free := peer.free(service)
		own := peer.report.FailureDomain == t.peers.domain
		if free <= 0 || !t.peers.fresh(peer, now) || contains(avoid, peer.report.Vm) {
			continue
		}
		if best == nil || own && !bestOwn || own == bestOwn && better(free, bestFree, peer, best) {
			best, bestFree, bestOwn = peer, free, own
		}
	}
	if best == nil {
		return "", false
	}
	best.sent[service]++
	return best.report.Vm, true
}

func better(free, bestFree int, peer, best *peerLoad) bool {
	return free > bestFree || free == bestFree && peer.report.Vm < best.report.Vm
}

func contains(list []string, s string) bool {
	for _, other := range list {
		if other == s {
			return true
		}
	}
	return false
}

func (p *peers) fresh(peer *peerLoad, now time.Time) bool {
	return !peer.report.Draining && now.Sub(peer.at) < p.staleAfter
}

func (l *peerLoad) service(name string) *pb.ServiceLoad {
	for _, s := range l.report.Services {
		if s.Service == name {
			return s
		}
	}
	return nil
}

// free returns the estimated number of free slots of the service. It may be negative.
func (l *peerLoad) free(name string) int {
	s := l.service(name)
	if s == nil {
		return 0
	}
	return int(s.Slots) - int(s.InFlight) - int(s.Queued) - int(l.sent[name])
}

// move decides whether the executor should change to the entry VM of this failure domain that holds the
// fewest executors of the service. If so, it gives up the lease and returns the address of that entry
// VM; otherwise it returns "". The difference must be at least moveImbalance unless this entry VM is
// draining.
func (t *Table) move(e *executor, now time.Time) string {
	if t.config.SiblingAddress == nil || e.draining || !t.mayMove(e, now) {
		return ""
	}
	peer, count := t.fewestExecutors(e.service, now)
	if peer == nil {
		return ""
	}
	_, own := e.pool.usableSlots(now)
	if !t.draining && int(own)-count < moveImbalance {
		return ""
	}
	address := t.config.SiblingAddress(peer.report.Vm)
	if address == "" {
		return ""
	}
	t.lastMove = now
	peer.sent[movedExecutors+e.service]++
	e.released = true
	e.transport.CloseIdleConnections()
	t.logExecutor("executor moved", e)
	return address
}

// mayMove limits moves to one per interval. A draining entry VM has no such limit, but keeps its
// executors while requests are queued for them.
func (t *Table) mayMove(e *executor, now time.Time) bool {
	if t.draining {
		return e.pool.queued() == 0
	}
	return now.Sub(t.lastMove) >= t.config.Interval
}

// movedExecutors prefixes the keys of peerLoad.sent that count moved executors.
const movedExecutors = "moved:"

// fewestExecutors returns the entry VM of this failure domain that holds the fewest executors of the
// service, and their number. It returns nil if no current report is known.
func (t *Table) fewestExecutors(service string, now time.Time) (*peerLoad, int) {
	var best *peerLoad
	fewest := math.MaxInt
	for _, peer := range t.peers.reports {
		if peer.report.FailureDomain != t.peers.domain || !t.peers.fresh(peer, now) {
			continue
		}
		count := int(peer.service(service).GetExecutors()) + int(peer.sent[movedExecutors+service])
		if count < fewest || count == fewest && peer.report.Vm < best.report.Vm {
			best, fewest = peer, count
		}
	}
	return best, fewest
}
