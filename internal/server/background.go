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
	// maxSkippedReports is the number of consecutive intervals in which an unchanged load report is not sent, so that a
	// report is sent at least every four intervals. The computation of rate shares needs one every five intervals.
	maxSkippedReports = 3
	// witnessCheckInterval is the interval at which a leader that is a witness offers leadership to the VMs of the failure
	// domain.
	witnessCheckInterval = 5 * time.Second
)

// startBackground starts the goroutines that run until ctx ends.
func (s *Server) startBackground(ctx context.Context) {
	for _, d := range s.domains {
		s.runInBackground(func() {
			if err := d.leader.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
				s.reportFatal(err)
			}
		})
	}
	s.runInBackground(func() { s.broadcastLoadReports(ctx) })
	s.runInBackground(func() { s.watchContracts(ctx) })
	s.runInBackground(func() { s.offerWitnessLeadership(ctx) })
}

func (s *Server) runInBackground(f func()) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		f()
	}()
}

// broadcastLoadReports sends load reports to the other entry VMs: in the next interval if the load has changed, otherwise
// only in every fourth interval. The packets of these reports are most of the cost of an idle entry VM.
func (s *Server) broadcastLoadReports(ctx context.Context) {
	var last *pb.LoadReport
	skipped := 0
	s.runEvery(ctx, s.settings.Timing.LoadReportInterval.AsDuration(), func() {
		report := s.table.Load()
		report.Instance = s.instance
		s.shares.Fill(report)
		if equalExceptSequence(last, report) && skipped < maxSkippedReports {
			skipped++
			return
		}
		last, skipped = report, 0
		s.broadcast(loadChannel, report)
	})
}

// equalExceptSequence reports whether two load reports differ at most in their sequence number. a may be nil.
func equalExceptSequence(a, b *pb.LoadReport) bool {
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

// onLoadReport handles a load report of another entry VM.
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

// lastReport returns the last load report received from another entry VM, or nil if there was none.
func (s *Server) lastReport(vm string) *pb.LoadReport {
	report, found := s.reports.Load(vm)
	if !found {
		return nil
	}
	return report.(*pb.LoadReport)
}

// senderGone reports whether the process that created an intent is known to have ended. This is the case if the last load
// report of its entry VM came from another process.
func (s *Server) senderGone(vm, instance string) bool {
	if vm == s.settings.Id {
		return instance != s.instance
	}
	report := s.lastReport(vm)
	return report != nil && report.Instance != instance
}

// watchContracts passes the contracts to the domain leaders of this process after each applied note.
func (s *Server) watchContracts(ctx context.Context) {
	var last *contract.View
	for {
		if view := s.contracts.View(); view != last {
			last = view
			s.publishContracts(view)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.contracts.changed:
		}
	}
}

// publishContracts passes the contracts of a view to the domain leaders of this process.
func (s *Server) publishContracts(view *contract.View) {
	for name, d := range s.domains {
		d.leader.ContractsChanged(s.domainContracts(view, name))
	}
	s.appliedNote.Store(view.LastNote())
	s.log.Info().Str("event", "contracts-applied").Uint64("note", view.LastNote()).Send()
}

// notifyingContracts is the state machine of the config group. It sends on changed when entries were applied or a snapshot
// was restored.
type notifyingContracts struct {
	*contract.State
	changed chan struct{}
}

func newNotifyingContracts() notifyingContracts {
	return notifyingContracts{State: contract.New(), changed: make(chan struct{}, 1)}
}

// Apply implements replica.StateMachine.
func (n notifyingContracts) Apply(index, term uint64, entry []byte) any {
	defer n.notify()
	return n.State.Apply(index, term, entry)
}

// Restore implements replica.StateMachine.
func (n notifyingContracts) Restore(snapshot []byte) error {
	defer n.notify()
	return n.State.Restore(snapshot)
}

// notify does not block: a single pending notification covers all changes until it is received.
func (n notifyingContracts) notify() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// offerWitnessLeadership transfers the leadership of domain groups that this VM leads as a witness, that is, as a voter from
// another failure domain. A leader in the group's own failure domain is closer to the domain's workers and stays connected
// to them in a network partition.
func (s *Server) offerWitnessLeadership(ctx context.Context) {
	s.runEvery(ctx, witnessCheckInterval, func() {
		for name, d := range s.domains {
			if name == s.ownDomain() || d.group.Status().Role != replica.RoleLeader {
				continue
			}
			timeout, cancel := context.WithTimeout(ctx, witnessCheckInterval)
			err := d.group.TransferLeadership(timeout)
			cancel()
			s.log.Info().Str("event", "witness-offers-leadership").Str("group", cluster.DomainGroup(name)).AnErr("error", err).Send()
		}
	})
}

// runEvery calls f immediately and then once per interval until ctx ends.
func (s *Server) runEvery(ctx context.Context, interval time.Duration, f func()) {
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

// domainContracts returns the contracts with their limits reduced to the share of a failure domain.
func (s *Server) domainContracts(view *contract.View, failureDomain string) []*pb.ResolvedContract {
	var shares []*pb.ResolvedContract
	for _, resolved := range view.Contracts() {
		limits := contract.DomainLimits(resolved, failureDomain, s.domainNames())
		shares = append(shares, &pb.ResolvedContract{Written: resolved.Written, Resolved: limits, Note: resolved.Note})
	}
	return shares
}
