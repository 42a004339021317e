package server

import (
	"context"
	"errors"
	stdlog "log"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/admission"
	"github.com/lentilyard/lentilyard/internal/api"
	"github.com/lentilyard/lentilyard/internal/contract"
	"github.com/lentilyard/lentilyard/internal/credentials"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/gateway"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/peer"
	"github.com/lentilyard/lentilyard/internal/routing"
	"github.com/lentilyard/lentilyard/internal/settings"
)

// listenError adds the settings key and a remedy to the error if the address is in use.
func listenError(key, address string, err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return settings.ListenError(key, address, err)
	}
	return err
}

// tokenAuthenticator implements api.Authenticator with the tokens from the settings.
type tokenAuthenticator struct {
	tokens *credentials.Tokens
}

// Authenticate implements api.Authenticator.
func (a tokenAuthenticator) Authenticate(token string) (api.Identity, bool) {
	holder := a.tokens.Lookup(token)
	if holder == nil {
		return api.Identity{}, false
	}
	return api.Identity{Name: holder.Name, Member: holder.Member, Role: holder.Role}, true
}

func withGatewayIdentity(ctx context.Context, identity api.Identity) context.Context {
	return gateway.WithIdentity(ctx, gateway.Identity{Name: identity.Name, Member: identity.Member, Role: identity.Role})
}

// httpErrorLog returns a logger for the internal errors of net/http. They are logged at debug level, because most of them
// are connections that clients closed.
func httpErrorLog(logger zerolog.Logger) *stdlog.Logger {
	return stdlog.New(logger.Level(zerolog.DebugLevel).With().Str("event", "http").Logger(), "", 0)
}

func (s *Server) openTransport() error {
	files := s.settings.PeerTls
	store, err := credentials.Open(s.settings.Id, files.GetCaFile(), files.GetCertFile(), files.GetKeyFile())
	if err != nil {
		return err
	}
	peers := make(map[string]string)
	for _, vm := range s.settings.EntryVms {
		peers[vm.Id] = vm.PeerAddress
	}
	transport, err := peer.New(peer.Config{
		ID:          s.settings.Id,
		Listen:      s.settings.Listen.Peer,
		Peers:       peers,
		Credentials: store,
		Logger:      s.log,
	})
	if err != nil {
		return listenError("listen.peer", s.settings.Listen.Peer, err)
	}
	s.transport = transport
	return nil
}

func (s *Server) routingConfig() routing.Config {
	timing := s.settings.Timing
	return routing.Config{
		VM:                 s.settings.Id,
		Domain:             s.ownDomain(),
		Lease:              timing.AnnounceLease.AsDuration(),
		Interval:           timing.AnnounceInterval.AsDuration(),
		MaxQueue:           int(s.settings.Limits.MaxQueue),
		RetryBudgetPercent: int(s.settings.Limits.RetryBudgetPercent),
		Logger:             s.log,
		Siblings:           func() []string { return s.httpAddresses(s.ownDomain()) },
		SiblingAddress:     s.httpAddress,
		Drained:            s.drained,
	}
}

func (s *Server) httpAddress(id string) string {
	for _, vm := range s.settings.EntryVms {
		if vm.Id == id {
			return vm.HttpAddress
		}
	}
	return ""
}

// drained reports whether an operator has drained an executor of this VM's failure domain.
func (s *Server) drained(id string) bool {
	own, found := s.domains[s.ownDomain()]
	return found && own.state.View().Drained(id)
}

func (s *Server) gatewayConfig() gateway.Config {
	return gateway.Config{
		VM:         s.settings.Id,
		Instance:   s.instance,
		Domain:     s.ownDomain(),
		Domains:    s.domainNames(),
		Table:      s.table,
		Forwarder:  streamForwarder{s.transport},
		Records:    s.cluster,
		Contracts:  contractLookup{s.contracts.State},
		PeersOf:    s.peersByReachability,
		SenderGone: s.senderGone,
		RateShare:  func(c *pb.ResolvedContract) float64 { return s.shares.Share(c.Written.Name) },
		Limits: gateway.Limits{
			MaxBodyBytes: s.settings.Limits.MaxBodyBytes,
			Deadline:     s.settings.Limits.DefaultDeadline.AsDuration(),
		},
		Logger: s.log,
	}
}

func (s *Server) admissionVMs() []admission.VM {
	var vms []admission.VM
	for _, vm := range s.settings.EntryVms {
		vms = append(vms, admission.VM{ID: vm.Id, Domain: vm.FailureDomain})
	}
	return vms
}

// peersByReachability returns the ids of the other entry VMs of a failure domain, reachable ones first. It omits reachable
// VMs that are shutting down: a request that arrives while such a VM closes its connections would have an unknown outcome.
func (s *Server) peersByReachability(failureDomain string) []string {
	var reachable, unreachable []string
	for _, vm := range s.settings.EntryVms {
		switch {
		case vm.FailureDomain != failureDomain || vm.Id == s.settings.Id:
		case s.lastReport(vm.Id).GetDraining() && s.transport.Reachable(vm.Id):
		case s.transport.Reachable(vm.Id):
			reachable = append(reachable, vm.Id)
		default:
			unreachable = append(unreachable, vm.Id)
		}
	}
	return append(reachable, unreachable...)
}

// contractLookup implements gateway.Contracts with the applied state of the config group.
type contractLookup struct {
	state *contract.State
}

// Lookup implements gateway.Contracts. Without a contract name it returns the only contract that the member has for the
// service.
func (l contractLookup) Lookup(member, name, service string) (*pb.ResolvedContract, error) {
	view := l.state.View()
	if name == "" {
		found := view.ForService(member, service)
		if len(found) == 1 {
			return found[0], nil
		}
		if len(found) > 1 {
			return nil, errs.ErrInvalid.With("member %q has %d contracts for service %q; name one in Lentilyard-Contract", member, len(found), service)
		}
		return nil, errs.ErrForbidden.With("member %q has no contract for service %q", member, service)
	}
	resolved := view.Contract(name)
	if resolved == nil || resolved.Written.Member != member || resolved.Written.GetTerms().GetService() != service {
		return nil, errs.ErrForbidden.With("member %q has no contract %q for service %q", member, name, service)
	}
	return resolved, nil
}
