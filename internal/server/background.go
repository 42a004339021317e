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
	// maxSkippedReports bounds the age of a load report at four intervals; the shares of a rate need one in five.
	maxSkippedReports = 3
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

// reportLoad tells the other entry VMs how much work this one can take: at once
// when that has changed, else at a fourth of the rate. Most of the idle cost of an
// entry VM is the packets of these reports.
func (s *Server) reportLoad(ctx context.Context) {
	var last *pb.LoadReport
	skipped := 0
	s.every(ctx, s.settings.Timing.LoadReportInterval.AsDuration(), func() {
		report := s.table.Load()
		report.Instance = s.instance
		s.shares.Fill(report)
		if sameLoad(last, report) && skipped < maxSkippedReports {
			skipped++
			return
		}
		last, skipped = report, 0
		s.broadcast(loadChannel, report)
	})
}

// sameLoad reports whether two reports differ in their sequence at most.
func sameLoad(a, b *pb.LoadReport) bool {
	if a == nil {
		return false
	}
	compared := proto.Clone(a).(*pb.LoadReport)
	compared.Sequence = b.Sequence
	return proto.Equal(compared, b)
}

// broadcast sends a message to every other entry VM.
func (s *Server) broadcast(channel string, message proto.Message) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		s.log.Error().Str("event", "broadcast-failed").Str("channel", channel).Err(err).Send()
		return
	}
	for _, vm := range s.allVMs() {
		if vm != s.settings.Id {
			s.transport.Send(vm, channel, encoded)
		}
	}
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
	for {
		if view := s.contracts.View(); view != last {
			last = view
			s.contractsChanged(view)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.contracts.changed:
		}
	}
}

func (s *Server) contractsChanged(view *contract.View) {
	for name, d := range s.domains {
		d.leader.ContractsChanged(s.domainContracts(view, name))
	}
	s.appliedNote.Store(view.LastNote())
	s.log.Info().Str("event", "contracts-applied").Uint64("note", view.LastNote()).Send()
}

// observedContracts tells a waiting goroutine that an entry of the config group was applied.
type observedContracts struct {
	*contract.State
	changed chan struct{}
}

func newObservedContracts() observedContracts {
	return observedContracts{State: contract.New(), changed: make(chan struct{}, 1)}
}

// Apply implements replica.StateMachine.
func (o observedContracts) Apply(index, term uint64, entry []byte) any {
	defer o.signal()
	return o.State.Apply(index, term, entry)
}

// Restore implements replica.StateMachine.
func (o observedContracts) Restore(snapshot []byte) error {
	defer o.signal()
	return o.State.Restore(snapshot)
}

// signal does not block: one pending signal covers all changes before it is taken.
func (o observedContracts) signal() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
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
