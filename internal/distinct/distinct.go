// Package distinct counts distinct keys, such as callers, exactly or by a sketch of fixed size.
package distinct

import (
	"hash/fnv"
	"math/bits"
)

// Exact counts distinct keys by keeping them. The zero value is not usable; see NewExact.
type Exact struct {
	keys map[string]struct{}
}

// NewExact returns an empty set.
func NewExact() *Exact { return &Exact{keys: map[string]struct{}{}} }

// Add counts key unless it was counted before.
func (e *Exact) Add(key string) { e.keys[key] = struct{}{} }

// Count returns the number of distinct keys.
func (e *Exact) Count() float64 { return float64(len(e.keys)) }

// Sketch estimates the number of distinct keys in fixed memory. It collects coupons in the matrix of Flajolet and Martin
// (FM85) and counts with the HIP estimator, following Kevin J. Lang, "Back to the Future: an Even More Nearly Optimal
// Cardinality Estimation Algorithm", 2017. The standard error is about 0.59 / sqrt(rows). The rows are not compressed.
type Sketch struct {
	rows []uint64
	// accumulator is the HIP estimate A. Each novel coupon adds 1/remaining.
	accumulator float64
	// remaining is R, the probability that the coupon of a new key is novel.
	remaining float64
}

const columns = 64

// NewSketch returns an empty sketch with the given number of rows, rounded up to a power of two. It takes 8 bytes for
// each row.
func NewSketch(rows int) *Sketch {
	n := 1
	for n < rows {
		n *= 2
	}
	return &Sketch{rows: make([]uint64, n), remaining: 1}
}

// Add counts key. Repeated keys have no effect.
func (s *Sketch) Add(key string) {
	h := hash(key)
	row := h & uint64(len(s.rows)-1)
	column := min(columns-1, bits.LeadingZeros64(h))
	bit := uint64(1) << column
	if s.rows[row]&bit != 0 {
		return
	}
	s.rows[row] |= bit
	s.accumulator += 1 / s.remaining
	s.remaining -= chance(column) / float64(len(s.rows))
}

// chance is the probability that a coupon falls into the given column.
func chance(column int) float64 {
	return 1 / float64(uint64(2)<<min(column, columns-2))
}

// Count returns the estimated number of distinct keys.
func (s *Sketch) Count() float64 { return s.accumulator }

// Bytes returns the size of the matrix.
func (s *Sketch) Bytes() int { return 8 * len(s.rows) }

// hash mixes FNV-1a, whose high bits alone are not uniform for short keys.
func hash(key string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(key)) // never fails
	h := f.Sum64()
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
