// Package resources provides arithmetic on amounts of processor time, memory and accelerators.
package resources

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Vector holds an amount of each resource: processor time in millicores, memory in bytes and the number of accelerators.
type Vector struct {
	Cores, Memory, Accelerators int64
}

// FromProto converts a protobuf message to a Vector.
func FromProto(r *pb.Resources) Vector {
	return Vector{r.GetMillicores(), r.GetMemoryBytes(), r.GetAccelerators()}
}

// Plus returns v + o.
func (v Vector) Plus(o Vector) Vector {
	return Vector{v.Cores + o.Cores, v.Memory + o.Memory, v.Accelerators + o.Accelerators}
}

// Minus returns v - o. Amounts may become negative.
func (v Vector) Minus(o Vector) Vector {
	return Vector{v.Cores - o.Cores, v.Memory - o.Memory, v.Accelerators - o.Accelerators}
}

// Max returns the larger of the amounts in v and o for each resource.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.Cores, o.Cores), max(v.Memory, o.Memory), max(v.Accelerators, o.Accelerators)}
}

// Min returns the smaller of the amounts in v and o for each resource.
func (v Vector) Min(o Vector) Vector {
	return Vector{min(v.Cores, o.Cores), min(v.Memory, o.Memory), min(v.Accelerators, o.Accelerators)}
}

// Times returns v with each amount multiplied by n.
func (v Vector) Times(n int64) Vector {
	return Vector{v.Cores * n, v.Memory * n, v.Accelerators * n}
}

// Fits reports whether v fits in o, that is, no amount of v exceeds that of o.
func (v Vector) Fits(o Vector) bool {
	return v.Cores <= o.Cores && v.Memory <= o.Memory && v.Accelerators <= o.Accelerators
}

// Share returns the dominant share of v in total: the largest fraction of any resource of total that v uses.
func (v Vector) Share(total Vector) float64 {
	s := Ratio(v.Cores, total.Cores)
	s = max(s, Ratio(v.Memory, total.Memory))
	return max(s, Ratio(v.Accelerators, total.Accelerators))
}

// CopiesIn returns how many copies of v fit in o, or math.MaxInt64 if v has no positive amount.
func (v Vector) CopiesIn(o Vector) int64 {
	n := int64(math.MaxInt64)
	for _, p := range [...][2]int64{{v.Cores, o.Cores}, {v.Memory, o.Memory}, {v.Accelerators, o.Accelerators}} {
		if p[0] > 0 {
			n = min(n, max(0, p[1])/p[0])
		}
	}
	return n
}

// Ratio returns x divided by total, or 0 if total is not positive.
func Ratio(x, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(x) / float64(total)
}
