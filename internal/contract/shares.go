package contract

import (
	"math/bits"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// The sum of the parts of all shares fits into 32 bits.
const (
	maxParts  = 1_000_000
	maxShares = 1000
)

// Parts returns the parts of a domain and of all domains. Without written shares, each of the domains has one part.
// A domain without a share has 0 parts.
func Parts(c *pb.Contract, domain string, domains []string) (domainParts, totalParts uint32) {
	_, parts, total := place(c, domain, domains)
	return uint32(parts), uint32(total)
}

// place returns the sum of the parts of all domains whose names sort before the domain, its own parts, and the total.
func place(c *pb.Contract, domain string, domains []string) (before, parts, total uint64) {
	add := func(name string, n uint64) {
		total += n
		switch {
		case name == domain:
			parts += n
		case name < domain:
			before += n
		}
	}
	for _, s := range c.GetShares() {
		add(s.GetFailureDomain(), uint64(s.GetParts()))
	}
	if len(c.GetShares()) == 0 {
		for _, name := range slices.Compact(slices.Sorted(slices.Values(domains))) {
			add(name, 1)
		}
	}
	return before, parts, total
}

// DomainLimits returns a domain's share of the limits. The shares of all domains add up to exactly the limit, provided
// that all entry VMs list the same domains. The deadline is the same in each domain.
func DomainLimits(c *pb.ResolvedContract, domain string, domains []string) *pb.ResolvedLimits {
	before, parts, total := place(c.GetWritten(), domain, domains)
	share := func(limit int64) int64 { return share(limit, before, parts, total) }
	l := c.GetResolved()
	return &pb.ResolvedLimits{
		Millicores:   share(l.GetMillicores()),
		MemoryBytes:  share(l.GetMemoryBytes()),
		Accelerators: share(l.GetAccelerators()),
		Tasks:        share(l.GetTasks()),
		RequestRate:  share(l.GetRequestRate()),
		DeadlineMs:   l.GetDeadlineMs(),
	}
}

// share divides the limit at the points limit*before/total and limit*(before+parts)/total, both rounded down, so that
// neighbouring shares meet and no unit is lost or granted twice.
func share(limit int64, before, parts, total uint64) int64 {
	if total == 0 || limit <= 0 {
		return 0
	}
	return floorPart(limit, before+parts, total) - floorPart(limit, before, total)
}

// floorPart returns limit*parts/total rounded down, for parts <= total. The product needs 128 bits.
// Since limit < 2^63, the high word of the product is below total, as bits.Div64 requires.
func floorPart(limit int64, parts, total uint64) int64 {
	high, low := bits.Mul64(uint64(limit), parts)
	quotient, _ := bits.Div64(high, low, total)
	return int64(quotient)
}
