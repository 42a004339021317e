package routing

import (
	"math"
	"sort"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// reportsUntilStale announcement intervals after which a load report is ignored.
	reportsUntilStale = 1
	// moveImbalance is the difference in executors at which one is moved to another entry VM.
	moveImbalance = 2
)

// peers holds the last load report of each other entry VM. Guarded by Table.mu.
type peers struct {
	domain  string
	stale   time.Duration
	reports map[string]*peerLoad
}

type peerLoad struct {
	report *pb.LoadReport
	at     time.Time
	// sent counts the picks since the report, by service, so that one report does not draw all requests.
	sent map[string]uint32
}

func (p *peers) init(domain string, stale time.Duration) {
	p.domain = domain
	p.stale = stale
	p.reports = make(map[string]*peerLoad)
}

// ObservePeer takes over a load report of another entry VM. Reports that arrive out of order are ignored.
func (t *Table) ObservePeer(r *pb.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	old := t.peers.reports[r.Vm]
	if old != nil && old.report.Sequence >= r.Sequence && now.Sub(old.at) < t.peers.stale {
		return
	}
	t.peers.reports[r.Vm] = &peerLoad{report: r, at: now, sent: make(map[string]uint32)}
}

// Load returns what this entry VM reports to the others.
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

// PickPeer returns the entry VM that reported the most free capacity for the service: own domain
// first, then the others. ok is false if none has any.
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
	return !peer.report.Draining && now.Sub(peer.at) < p.stale
}

func (l *peerLoad) service(name string) *pb.ServiceLoad {
	for _, s := range l.report.Services {
		if s.Service == name {
			return s
		}
	}
	return nil
}

func (l *peerLoad) free(name string) int {
	s := l.service(name)
	if s == nil {
		return 0
	}
	return int(s.Slots) - int(s.InFlight) - int(s.Queued) - int(l.sent[name])
}

// move returns the address of an entry VM of the domain that holds clearly fewer executors of the
// service, and gives up the lease, or returns "". While this VM drains, any other one will do.
func (t *Table) move(e *executor, now time.Time) string {
	if t.config.SiblingAddress == nil || e.draining || !t.mayMove(e, now) {
		return ""
	}
	peer, count := t.fewestExecutors(e.service, now)
	if peer == nil {
		return ""
	}
	_, own := e.pool.slots(now)
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

// mayMove spreads moves over time. A draining VM keeps its executors while requests wait for them.
func (t *Table) mayMove(e *executor, now time.Time) bool {
	if t.draining {
		return e.pool.queued() == 0
	}
	return now.Sub(t.lastMove) >= t.config.Interval
}

// movedExecutors prefixes the count of executors moved since the last report.
const movedExecutors = "moved:"

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
