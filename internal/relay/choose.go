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
// and a worker keeps its connections when the leader changes. The leader, which has most to do, is next, then the others:
// they help when the domain's own agents are gone or do not reach the worker.
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
