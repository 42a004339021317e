package server

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/cluster"
	"github.com/lentilyard/lentilyard/internal/contract"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/replica"
)

const (
	// loadChannel carries load reports between entry VMs.
	loadChannel = "load"
	// contractPoll is the longest delay from an applied note to its effect on placement.
	contractPoll = 10 * time.Millisecond
	// witnessCheck is how often a witness that leads offers leadership to the domain's own VMs.
	witnessCheck = 5 * time.Second
)

func (s *Server) startBackground(ctx context.Context) {
	for _, d := range s.domains {
		s.goBackground(func() {
			if err := d.leader.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
				s.reportFatal(err)
			}
		})
	}
	s.goBackground(func() { s.reportLoad(ctx) })
	s.goBackground(func() { s.followContracts(ctx) })
	s.goBackground(func() { s.offerLeadership(ctx) })
}

func (s *Server) goBackground(f func()) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		f()
	}()
}

// reportLoad tells the other entry VMs how much work this one can take.
func (s *Server) reportLoad(ctx context.Context) {
	s.every(ctx, s.settings.Timing.LoadReportInterval.AsDuration(), func() {
		report := s.table.Load()
		report.Instance = s.instance
		s.shares.Fill(report)
		encoded, err := proto.Marshal(report)
		if err != nil {
			s.log.Error().Str("event", "load-report-failed").Err(err).Send()
			return
		}
		for _, vm := range s.allVMs() {
			if vm != s.settings.Id {
				s.transport.Send(vm, loadChannel, encoded)
			}
		}
	})
}

func (s *Server) onLoadReport(_ string, payload []byte) {
	report := new(pb.LoadReport)
	if err := proto.Unmarshal(payload, report); err != nil {
		s.log.Warn().Str("event", "load-report-invalid").Err(err).Send()
		return
	}
	s.table.ObservePeer(report)
	s.shares.Observe(report)
	s.reports.Store(report.Vm, report)
}

// lastReport returns the last load report of another entry VM, or nil.
func (s *Server) lastReport(vm string) *pb.LoadReport {
	report, heard := s.reports.Load(vm)
	if !heard {
		return nil
	}
	return report.(*pb.LoadReport)
}

// senderGone reports whether the process that wrote an intent is known to be
// gone: its entry VM has reported another process since.
func (s *Server) senderGone(vm, instance string) bool {
	if vm == s.settings.Id {
		return instance != s.instance
	}
	report := s.lastReport(vm)
	return report != nil && report.Instance != instance
}

// followContracts tells the leaders of hosted domains about applied notes.
func (s *Server) followContracts(ctx context.Context) {
	var last *contract.View
	s.every(ctx, contractPoll, func() {
		view := s.contracts.View()
		if view == last {
			return
		}
		last = view
		for name, d := range s.domains {
			d.leader.ContractsChanged(s.domainContracts(view, name))
		}
		s.appliedNote.Store(view.LastNote())
		s.log.Info().Str("event", "contracts-applied").Uint64("note", view.LastNote()).Send()
	})
}

// offerLeadership hands a domain group led by a witness to a VM of the domain,
// which is closer to the domain's workers and stays with them in a partition.
func (s *Server) offerLeadership(ctx context.Context) {
	s.every(ctx, witnessCheck, func() {
		for name, d := range s.domains {
			if name == s.ownDomain() || d.group.Status().Role != replica.RoleLeader {
				continue
			}
			bounded, cancel := context.WithTimeout(ctx, witnessCheck)
			err := d.group.TransferLeadership(bounded)
			cancel()
			s.log.Info().Str("event", "witness-offers-leadership").Str("group", cluster.DomainGroup(name)).AnErr("error", err).Send()
		}
	})
}

// every calls f at once and then at each interval until ctx ends.
func (s *Server) every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) domainNames() []string {
	var names []string
	for _, failureDomain := range s.settings.FailureDomains {
		names = append(names, failureDomain.Name)
	}
	return names
}

// domainContracts returns the contracts with a domain's exact share of their limits.
func (s *Server) domainContracts(view *contract.View, failureDomain string) []*pb.ResolvedContract {
	var shares []*pb.ResolvedContract
	for _, resolved := range view.Contracts() {
		limits := contract.DomainLimits(resolved, failureDomain, s.domainNames())
		shares = append(shares, &pb.ResolvedContract{Written: resolved.Written, Resolved: limits, Note: resolved.Note})
	}
	return shares
}
