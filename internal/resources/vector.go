// Package resources holds amounts of processor time, memory and accelerators.
package resources

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Vector is an amount of each resource in base units: millicores, bytes, devices.
type Vector struct {
	Cores, Memory, Accelerators int64
}

// FromProto reads the message form.
func FromProto(r *pb.Resources) Vector {
	return Vector{r.GetMillicores(), r.GetMemoryBytes(), r.GetAccelerators()}
}

// Plus returns the sum.
func (v Vector) Plus(o Vector) Vector {
	return Vector{v.Cores + o.Cores, v.Memory + o.Memory, v.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (v Vector) Minus(o Vector) Vector {
	return Vector{v.Cores - o.Cores, v.Memory - o.Memory, v.Accelerators - o.Accelerators}
}

// Max returns the larger amount of each resource.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.Cores, o.Cores), max(v.Memory, o.Memory), max(v.Accelerators, o.Accelerators)}
}

// Times returns n times the amounts.
func (v Vector) Times(n int64) Vector {
	return Vector{v.Cores * n, v.Memory * n, v.Accelerators * n}
}

// Fits reports whether v is at most o in every resource.
func (v Vector) Fits(o Vector) bool {
	return v.Cores <= o.Cores && v.Memory <= o.Memory && v.Accelerators <= o.Accelerators
}

// Share returns the largest share of total that v takes in any resource.
func (v Vector) Share(total Vector) float64 {
	s := Ratio(v.Cores, total.Cores)
	s = max(s, Ratio(v.Memory, total.Memory))
	return max(s, Ratio(v.Accelerators, total.Accelerators))
}

// CopiesIn returns how often v fits in o.
func (v Vector) CopiesIn(o Vector) int64 {
	n := int64(math.MaxInt64)
	for _, p := range [...][2]int64{{v.Cores, o.Cores}, {v.Memory, o.Memory}, {v.Accelerators, o.Accelerators}} {
		if p[0] > 0 {
			n = min(n, max(0, p[1])/p[0])
		}
	}
	return n
}

// Ratio returns x as a share of total, 0 if there is none.
func Ratio(x, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(x) / float64(total)
}
