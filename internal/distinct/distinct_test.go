package distinct

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

const testRows = 1024

var sizes = []int{1000, 100_000, 1_000_000}

func key(seed, i int) string { return fmt.Sprintf("caller-%d-%d", seed, i) }

func sketchOf(seed, n int) *Sketch {
	s := NewSketch(testRows)
	for i := range n {
		s.Add(key(seed, i))
	}
	return s
}

// rms is the root mean square of the relative error over the given number of seeds.
func rms(n, seeds int) float64 {
	sum := 0.0
	for seed := range seeds {
		e := sketchOf(seed, n).Count()/float64(n) - 1
		sum += e * e
	}
	return math.Sqrt(sum / float64(seeds))
}

// Guards against an estimator whose error exceeds 1.5 times the theoretical 0.589/sqrt(1024) = 1.84%.
func TestSketchError(t *testing.T) {
	is.New(t).True(rms(20_000, 30) < 1.5*0.0184)
}

// Guards against a sketch that counts repeated keys.
func TestSketchIgnoresRepeats(t *testing.T) {
	is := is.New(t)
	s := sketchOf(1, 5000)
	before := s.Count()
	for i := range 5000 {
		s.Add(key(1, i))
	}
	is.Equal(s.Count(), before)
	is.Equal(NewSketch(1000).Bytes(), 8192)
}

// Guards against a set that miscounts.
func TestExact(t *testing.T) {
	is := is.New(t)
	e := NewExact()
	for i := range 1500 {
		e.Add(key(1, i%1000))
	}
	is.Equal(e.Count(), 1000.0)
}

// BenchmarkDistinct reports time, bytes and error of both ways to count. Seeds 0 to 9.
func BenchmarkDistinct(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("sketch/%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(sketchOf(0, n).Bytes()), "bytes")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/key")
			b.ReportMetric(100*rms(n, 10), "rms-error-%")
		})
		b.Run(fmt.Sprintf("exact/%d", n), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				e := NewExact()
				for i := range n {
					e.Add(key(0, i))
				}
				b.ReportMetric(float64(liveHeap()-before), "bytes")
				runtime.KeepAlive(e)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/key")
		})
	}
}

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
