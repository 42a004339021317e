package contract

import (
	"math/bits"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Bounds of the shares of a contract. With them the sum of all parts fits into 32 bits.
const (
	maxParts  = 1_000_000
	maxShares = 1000
)

// Parts returns the parts of a failure domain and the total of all domains. If the contract lists no shares, each of
// the given domains has one part; otherwise a domain that it does not list has 0 parts.
func Parts(c *pb.Contract, domain string, domains []string) (domainParts, totalParts uint32) {
	_, parts, total := partsOf(c, domain, domains)
	return uint32(parts), uint32(total)
}

// partsOf returns the sum of the parts of all domains whose names sort before the given one, the parts of the domain
// itself, and the total.
func partsOf(c *pb.Contract, domain string, domains []string) (before, parts, total uint64) {
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

// DomainLimits returns the share of a failure domain in the limits of a contract. The shares of all domains add up to
// exactly the limit if all entry VMs list the same domains. The deadline is the same in each domain.
func DomainLimits(c *pb.ResolvedContract, domain string, domains []string) *pb.ResolvedLimits {
	before, parts, total := partsOf(c.GetWritten(), domain, domains)
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

// share returns limit*(before+parts)/total - limit*before/total, both quotients rounded down. The share of one domain
// ends where that of the next begins, so no unit is lost or granted twice.
func share(limit int64, before, parts, total uint64) int64 {
	if total == 0 || limit <= 0 {
		return 0
	}
	return floorShare(limit, before+parts, total) - floorShare(limit, before, total)
}

// floorShare returns limit*parts/total rounded down, for parts <= total. The product needs 128 bits.
// Since limit < 2^63, the high word of the product is below total, as bits.Div64 requires.
func floorShare(limit int64, parts, total uint64) int64 {
	high, low := bits.Mul64(uint64(limit), parts)
	quotient, _ := bits.Div64(high, low, total)
	return int64(quotient)
}
