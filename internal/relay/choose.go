package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Agent is a control VM that makes calls to workers for the leader.
type Agent struct {
	ID, FailureDomain string
}

// ChooseAgent returns the agent that calls a worker after the given number of routes to it have failed, or "" for the
// leader itself.
//
// Agents in the worker's failure domain come first. Hashing distributes the workers among them, so that calls cross domains
// only once and a worker keeps its connections when the leader changes. If these agents do not reach the worker, the leader
// is next and agents in other domains follow. In a domain without agents, agents in other domains come first and the
// leader, which has the highest load, is last.
func ChooseAgent(alive []Agent, worker, failureDomain string, failedRoutes int) string {
	var sameDomain, otherDomains []string
	for _, a := range alive {
		if a.FailureDomain == failureDomain {
			sameDomain = append(sameDomain, a.ID)
		} else {
			otherDomains = append(otherDomains, a.ID)
		}
	}
	byHash := func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+" "+worker), xxhash.Sum64String(b+" "+worker))
	}
	slices.SortFunc(sameDomain, byHash)
	slices.SortFunc(otherDomains, byHash)
	order := slices.Concat(sameDomain, otherDomains)
	if len(sameDomain) > 0 || len(otherDomains) == 0 {
		order = slices.Concat(sameDomain, []string{""}, otherDomains)
	} else {
		order = append(order, "")
	}
	return order[failedRoutes%len(order)]
}
