package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Agent is a control VM that can make calls.
type Agent struct {
	ID, FailureDomain string
}

// Choose returns which agent calls a worker, or "" for the leader itself, after a number of failed tries.
//
// Agents in the worker's failure domain come first, each with its share of the workers, so that calls cross domains once
// and a worker keeps its connections when the leader changes. The leader is next, then the others, for workers that the
// domain's own agents do not reach. In a domain without agents the others come first and the leader, which has most to
// do, last.
func Choose(alive []Agent, worker, failureDomain string, tries int) string {
	var near, far []string
	for _, a := range alive {
		if a.FailureDomain == failureDomain {
			near = append(near, a.ID)
		} else {
			far = append(far, a.ID)
		}
	}
	byHash := func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+" "+worker), xxhash.Sum64String(b+" "+worker))
	}
	slices.SortFunc(near, byHash)
	slices.SortFunc(far, byHash)
	order := slices.Concat(near, far)
	if len(near) > 0 || len(far) == 0 {
		order = slices.Concat(near, []string{""}, far)
	} else {
		order = append(order, "")
	}
	return order[tries%len(order)]
}
