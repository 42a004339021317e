package placement

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// vector is an amount of each resource in base units: millicores, bytes, devices.
type vector struct {
	cores, memory, accelerators int64
}

func toVector(r *pb.Resources) vector {
	return vector{r.GetMillicores(), r.GetMemoryBytes(), r.GetAccelerators()}
}

func (v vector) plus(o vector) vector {
	return vector{v.cores + o.cores, v.memory + o.memory, v.accelerators + o.accelerators}
}

func (v vector) minus(o vector) vector {
	return vector{v.cores - o.cores, v.memory - o.memory, v.accelerators - o.accelerators}
}

func (v vector) max(o vector) vector {
	return vector{max(v.cores, o.cores), max(v.memory, o.memory), max(v.accelerators, o.accelerators)}
}

func (v vector) times(n int64) vector {
	return vector{v.cores * n, v.memory * n, v.accelerators * n}
}

// fits reports whether v is at most o in every resource.
func (v vector) fits(o vector) bool {
	return v.cores <= o.cores && v.memory <= o.memory && v.accelerators <= o.accelerators
}

// share returns the largest share of total that v takes in any resource.
func (v vector) share(total vector) float64 {
	s := ratio(v.cores, total.cores)
	s = max(s, ratio(v.memory, total.memory))
	return max(s, ratio(v.accelerators, total.accelerators))
}

// copiesIn returns how often v fits in o.
func (v vector) copiesIn(o vector) int64 {
	n := int64(math.MaxInt64)
	for _, p := range [...][2]int64{{v.cores, o.cores}, {v.memory, o.memory}, {v.accelerators, o.accelerators}} {
		if p[0] > 0 {
			n = min(n, max(0, p[1])/p[0])
		}
	}
	return n
}

func ratio(x, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(x) / float64(total)
}
