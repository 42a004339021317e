package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Agent is another VM that makes calls to workers for the leader.
type Agent struct {
	ID, FailureDomain string
}

// Candidates are the VMs that can call workers now.
type Candidates struct {
	// Control lists the other control VMs, Intake the intake VMs.
	Control, Intake []Agent
	// LeaderFirst is true if the leader makes the calls that it can make itself. Otherwise it leaves them to agents.
	LeaderFirst bool
}

// Choose returns the VM that calls a worker after the given number of routes to it have failed, or "" for the leader itself.
//
// The first route leads over a control VM. After that intake VMs and control VMs take turns, because a partition between a worker and
// one control VM often separates it from all of them.
func (c Candidates) Choose(worker, failureDomain string, failedRoutes int) string {
	if len(c.Intake) == 0 {
		return c.chooseControl(worker, failureDomain, failedRoutes)
	}
	round := failedRoutes / 2
	if failedRoutes%2 == 0 {
		return c.chooseControl(worker, failureDomain, round)
	}
	sameDomain, otherDomains := nearAndFar(c.Intake, worker, failureDomain)
	order := slices.Concat(sameDomain, otherDomains)
	return order[round%len(order)]
}

func (c Candidates) chooseControl(worker, failureDomain string, failedRoutes int) string {
	if !c.LeaderFirst {
		return ChooseAgent(c.Control, worker, failureDomain, failedRoutes)
	}
	sameDomain, otherDomains := nearAndFar(c.Control, worker, failureDomain)
	order := slices.Concat([]string{""}, sameDomain, otherDomains)
	return order[failedRoutes%len(order)]
}

// ChooseAgent returns the control VM that calls a worker after the given number of routes to it have failed, or "" for the
// leader itself, if calls are left to agents.
//
// Agents in the worker's failure domain come first. Hashing distributes the workers among them, so that calls cross domains
// only once and a worker keeps its connections when the leader changes. If these agents do not reach the worker, the leader
// is next and agents in other domains follow. In a domain without agents, agents in other domains come first and the
// leader, which has the highest load, is last.
func ChooseAgent(alive []Agent, worker, failureDomain string, failedRoutes int) string {
	sameDomain, otherDomains := nearAndFar(alive, worker, failureDomain)
	order := slices.Concat(sameDomain, otherDomains)
	if len(sameDomain) > 0 || len(otherDomains) == 0 {
		order = slices.Concat(sameDomain, []string{""}, otherDomains)
	} else {
		order = append(order, "")
	}
	return order[failedRoutes%len(order)]
}

// Nearest returns the ids of up to n of the agents, without vm and with those in its failure domain first.
func Nearest(agents []Agent, vm, failureDomain string, n int) []string {
	sameDomain, otherDomains := nearAndFar(agents, vm, failureDomain)
	vms := slices.DeleteFunc(slices.Concat(sameDomain, otherDomains), func(id string) bool { return id == vm })
	return vms[:min(n, len(vms))]
}

// nearAndFar returns the ids of the agents in the worker's failure domain and of the others, each list in an order that differs by
// worker and depends on nothing else.
func nearAndFar(agents []Agent, worker, failureDomain string) (sameDomain, otherDomains []string) {
	type ranked struct {
		Agent
		hash uint64
	}
	list := make([]ranked, len(agents))
	for i, a := range agents {
		list[i] = ranked{a, xxhash.Sum64String(a.ID + " " + worker)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	for _, a := range list {
		if a.FailureDomain == failureDomain {
			sameDomain = append(sameDomain, a.ID)
		} else {
			otherDomains = append(otherDomains, a.ID)
		}
	}
	return sameDomain, otherDomains
}
