// Package admission divides the request rate of each contract among the entry VMs.
//
// Each entry VM may admit a share of a contract's rate. One part of the rate is
// divided equally; the rest is divided in proportion to the demand that the
// entry VMs report. The shares add up to one as long as all entry VMs use the
// same reports, so together they keep to the contract's rate. The shares change
// only while reports from all entry VMs arrive. During a partition the last
// shares stay in force, so that both sides together still keep to the rate.
package admission

import (
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// floorShare is the part of a rate that is divided equally, so that an entry VM without previous demand can admit requests
	// at once.
	floorShare = 0.2
	// window is the time over which demand is counted. It spans ten load reports.
	window = time.Second
	// maxReportAge is the maximum age of the other entry VMs' reports for the shares to be recomputed. It spans five load reports.
	maxReportAge = 500 * time.Millisecond
	// lostAfter is the time without a report after which an entry VM counts as lost, if other entry VMs of its failure domain
	// still report.
	lostAfter = 5 * time.Second
)

// VM is an entry VM of the deployment.
type VM struct {
	ID     string
	Domain string // failure domain
}

// Shares computes the shares of this entry VM from the demand of all entry VMs. It is safe for concurrent use.
type Shares struct {
	self string // id of this entry VM
	now  func() time.Time

	mu          sync.Mutex
	vms         map[string]*demand
	counts      map[string]int64 // requests in the current window, by contract
	windowStart time.Time        // start of the current window
}

// demand is the demand of an entry VM.
type demand struct {
	domain     string           // failure domain
	reportedAt time.Time        // when the last report arrived
	rates      map[string]int64 // requests per window in the last report, by contract
	// shareRates holds the rates from which the current shares are computed.
	shareRates map[string]int64
}

// NewShares returns Shares for the entry VM own, with equal shares for all VMs until demand is reported. The times that now
// returns must have a monotonic clock reading.
func NewShares(own string, vms []VM, now func() time.Time) *Shares {
	s := &Shares{self: own, now: now, vms: make(map[string]*demand), counts: make(map[string]int64), windowStart: now()}
	for _, vm := range vms {
		s.vms[vm.ID] = &demand{domain: vm.Domain, reportedAt: s.windowStart}
	}
	return s
}

// Share counts one request of the contract and returns the fraction of its rate,
// above 0 and at most 1, that this entry VM may admit.
func (s *Shares) Share(contract string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindow()
	s.counts[contract]++
	return s.share(contract)
}

func (s *Shares) share(contract string) float64 {
	live := 0
	var total, own int64
	for id, d := range s.vms {
		if s.isLost(id, d) {
			continue
		}
		live++
		rate := d.shareRates[contract]
		if id == s.self {
			own = rate
		}
		total += rate
	}
	if live == 0 {
		return 1
	}
	if total == 0 {
		return 1 / float64(live)
	}
	return floorShare/float64(live) + (1-floorShare)*float64(own)/float64(total)
}

// updateShares bases the shares on the latest reports, if a recent report of every entry VM that is not lost is available.
func (s *Shares) updateShares() {
	for id, d := range s.vms {
		if id != s.self && !s.isLost(id, d) && s.now().Sub(d.reportedAt) > maxReportAge {
			return
		}
	}
	for _, d := range s.vms {
		d.shareRates = d.rates
	}
}

// isLost reports whether an entry VM has stopped reporting while others of its
// failure domain still report. If none of a failure domain reports, the domain
// may be partitioned and its VMs keep their shares.
func (s *Shares) isLost(id string, d *demand) bool {
	if id == s.self || s.now().Sub(d.reportedAt) < lostAfter {
		return false
	}
	for other, o := range s.vms {
		if other != id && o.domain == d.domain && (other == s.self || s.now().Sub(o.reportedAt) < lostAfter) {
			return true
		}
	}
	return false
}

// rotateWindow starts a new window if the current one has ended, and takes the counted requests as the demand of this entry VM.
func (s *Shares) rotateWindow() {
	now := s.now()
	if now.Sub(s.windowStart) < window {
		return
	}
	if now.Sub(s.windowStart) >= 2*window {
		clear(s.counts)
	}
	own := s.vms[s.self]
	if own == nil {
		own = &demand{}
		s.vms[s.self] = own
	}
	own.rates = s.counts
	own.reportedAt = now
	s.updateShares()
	s.counts = make(map[string]int64, len(own.rates))
	s.windowStart = now
}

// Fill adds the demand of this entry VM to its load report.
func (s *Shares) Fill(report *pb.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindow()
	for contract, rate := range s.vms[s.self].rates {
		report.Demands = append(report.Demands, &pb.ContractDemand{Contract: contract, Requests: rate})
	}
}

// Observe records the demand in a load report of another entry VM. Reports of unknown VMs are ignored.
func (s *Shares) Observe(report *pb.LoadReport) {
	rates := make(map[string]int64, len(report.Demands))
	for _, d := range report.Demands {
		rates[d.Contract] = d.Requests
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.vms[report.Vm]; d != nil && report.Vm != s.self {
		d.rates, d.reportedAt = rates, s.now()
		s.updateShares()
	}
}
