package server

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/cluster"
	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/leader"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
	"github.com/lentilyard/lentilyard/internal/replica"
)

// domainGroup is the replicated group of a failure domain, with this process as a member.
type domainGroup struct {
	name   string
	group  *replica.Group
	state  *domain.State
	leader *leader.Leader
}

// openGroups opens the config group and the domain groups that this VM hosts.
func (s *Server) openGroups() error {
	host, err := replica.NewHost(replica.HostConfig{
		ID:         s.settings.Id,
		DataFolder: s.settings.DataFolder,
		Messenger:  s.transport,
		Heartbeat:  s.settings.Timing.RaftHeartbeat.AsDuration(),
		Election:   s.settings.Timing.RaftElection.AsDuration(),
		Logger:     s.log,
		OnFatal:    s.reportFatal,
	})
	if err != nil {
		return err
	}
	s.host = host
	s.contracts = newNotifyingContracts()
	s.config, err = host.AddGroup(replica.GroupConfig{
		Name:     cluster.ConfigGroup,
		Voters:   s.settings.ConfigVoters,
		Learners: s.excludeIDs(s.settings.ConfigVoters, s.allVMs()),
		Machine:  s.contracts,
	})
	if err != nil {
		return err
	}
	for _, failureDomain := range s.settings.FailureDomains {
		if !slices.Contains(cluster.HostsOf(s.settings, failureDomain), s.settings.Id) {
			continue
		}
		if err := s.openDomain(failureDomain); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) openDomain(failureDomain *pb.FailureDomain) error {
	state := domain.New(failureDomain.Name, domain.Limits{MaxRecords: int(s.settings.Limits.MaxRequestRecords)})
	hosts := cluster.HostsOf(s.settings, failureDomain)
	group, err := s.host.AddGroup(replica.GroupConfig{
		Name:     cluster.DomainGroup(failureDomain.Name),
		Voters:   failureDomain.Voters,
		Learners: s.excludeIDs(failureDomain.Voters, hosts),
		Machine:  state,
	})
	if err != nil {
		return err
	}
	planner := placement.New(placement.Config{
		TailLatencyWeight: s.settings.Policy.TailLatencyWeight,
		ThroughputWeight:  s.settings.Policy.ThroughputWeight,
	})
	name := failureDomain.Name
	d := &domainGroup{name: name, group: group, state: state}
	d.leader = leader.New(leader.Config{
		Domain:       name,
		Log:          group,
		State:        state,
		Planner:      planner,
		AttemptLease: s.settings.Timing.AttemptLease.AsDuration(),
		EntryVMs:     func() []string { return s.httpAddresses(name) },
		Logger:       s.log,
	})
	group.OnRoleChange(func(status replica.Status) {
		d.leader.SetLeading(status.Role == replica.RoleLeader, status.Term)
	})
	s.domains[name] = d
	return nil
}

func (s *Server) clusterDomains() map[string]cluster.Domain {
	hosted := make(map[string]cluster.Domain, len(s.domains))
	for name, d := range s.domains {
		hosted[name] = cluster.Domain{Group: d.group, State: d.state, Leader: d.leader}
	}
	return hosted
}

// reportFatal makes Run return the error. Only the first error counts.
func (s *Server) reportFatal(err error) {
	select {
	case s.fatal <- err:
	default:
	}
}

func (s *Server) ownDomain() string {
	for _, vm := range s.settings.EntryVms {
		if vm.Id == s.settings.Id {
			return vm.FailureDomain
		}
	}
	return ""
}

func (s *Server) allVMs() []string {
	var ids []string
	for _, vm := range s.settings.EntryVms {
		ids = append(ids, vm.Id)
	}
	return ids
}

// httpAddresses returns the HTTP addresses of the entry VMs of a failure domain.
func (s *Server) httpAddresses(failureDomain string) []string {
	var addresses []string
	for _, vm := range s.settings.EntryVms {
		if vm.FailureDomain == failureDomain {
			addresses = append(addresses, vm.HttpAddress)
		}
	}
	return addresses
}

// excludeIDs returns the ids in all that are not in excluded.
func (s *Server) excludeIDs(excluded, all []string) []string {
	var rest []string
	for _, id := range all {
		if !slices.Contains(excluded, id) {
			rest = append(rest, id)
		}
	}
	return rest
}
