// Package admission divides the request rate of each contract over the entry VMs.
//
// Each entry VM may admit a part of a contract's rate: a floor that is the same
// for all, and the rest in proportion to the demand that the entry VMs report.
// The parts add up to one as long as all work with the same reports, so the
// contract's rate holds over all entry VMs together. Demand is taken over only
// while every entry VM is heard; during a partition the last division stays in
// force, so that both sides together keep the rate.
package admission

import (
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// floorShare is the part of a rate that is divided equally, so that an entry VM without demand so far can admit at once.
	floorShare = 0.2
	// window is the time over which demand is counted. It spans ten load reports.
	window = time.Second
	// fresh is how old the reports of all entry VMs may be to change the division. It spans five load reports.
	fresh = 500 * time.Millisecond
	// silence is the time without a report after which an entry VM counts as lost, if others of its domain still report.
	silence = 5 * time.Second
)

// VM is an entry VM of the deployment.
type VM struct {
	ID     string
	Domain string
}

// Shares keeps the demand of all entry VMs. It is safe for concurrent use.
type Shares struct {
	own string
	now func() time.Time

	mu     sync.Mutex
	vms    map[string]*demand
	counts map[string]int64 // requests of the current window by contract
	began  time.Time        // of the current window
}

// demand is what an entry VM reported last.
type demand struct {
	domain string
	heard  time.Time
	rates  map[string]int64
	// basis holds the rates of the division in force.
	basis map[string]int64
}

// NewShares returns equal shares for the VMs. now must have a monotonic reading.
func NewShares(own string, vms []VM, now func() time.Time) *Shares {
	s := &Shares{own: own, now: now, vms: make(map[string]*demand), counts: make(map[string]int64), began: now()}
	for _, vm := range vms {
		s.vms[vm.ID] = &demand{domain: vm.Domain, heard: s.began}
	}
	return s
}

// Share counts one request of the contract and returns the part of its rate,
// above 0 and at most 1, that this entry VM may admit.
func (s *Shares) Share(contract string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn()
	s.counts[contract]++
	return s.share(contract)
}

func (s *Shares) share(contract string) float64 {
	live := 0
	var total, own int64
	for id, d := range s.vms {
		if s.lost(id, d) {
			continue
		}
		live++
		rate := d.basis[contract]
		if id == s.own {
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

// divide takes over the reported rates if every entry VM that is not lost is heard.
func (s *Shares) divide() {
	for id, d := range s.vms {
		if id != s.own && !s.lost(id, d) && s.now().Sub(d.heard) > fresh {
			return
		}
	}
	for _, d := range s.vms {
		d.basis = d.rates
	}
}

// lost reports whether an entry VM is silent while others of its domain are
// heard. A domain that is silent as a whole may be partitioned and keeps its shares.
func (s *Shares) lost(id string, d *demand) bool {
	if id == s.own || s.now().Sub(d.heard) < silence {
		return false
	}
	for other, o := range s.vms {
		if other != id && o.domain == d.domain && (other == s.own || s.now().Sub(o.heard) < silence) {
			return true
		}
	}
	return false
}

// turn begins a new window if the current one is over.
func (s *Shares) turn() {
	now := s.now()
	if now.Sub(s.began) < window {
		return
	}
	if now.Sub(s.began) >= 2*window {
		clear(s.counts)
	}
	own := s.vms[s.own]
	if own == nil {
		own = &demand{}
		s.vms[s.own] = own
	}
	own.rates = s.counts
	own.heard = now
	s.divide()
	s.counts = make(map[string]int64, len(own.rates))
	s.began = now
}

// Fill adds this entry VM's demand to its load report.
func (s *Shares) Fill(report *pb.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn()
	for contract, rate := range s.vms[s.own].rates {
		report.Demands = append(report.Demands, &pb.ContractDemand{Contract: contract, Requests: rate})
	}
}

// Observe takes over the demand in the load report of another entry VM.
func (s *Shares) Observe(report *pb.LoadReport) {
	rates := make(map[string]int64, len(report.Demands))
	for _, d := range report.Demands {
		rates[d.Contract] = d.Requests
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.vms[report.Vm]; d != nil && report.Vm != s.own {
		d.rates, d.heard = rates, s.now()
		s.divide()
	}
}
