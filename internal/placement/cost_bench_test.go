package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/placement"
	"github.com/lentilyard/lentilyard/internal/placement/sim"
)

func newPlanner(now func() time.Time) sim.Planner {
	return placement.New(placement.Config{Seed: 1, Now: now})
}

// BenchmarkStarts reports the processor use of the planner and the duration of Plan at 3,100 task starts/s on 80% full
// workers. The goals are 0.1 cores and a p99 below 1 ms at 1,200 workers, and a cost of a decision that grows at most
// with the logarithm of the number of workers: from 1,200 to 24,000 workers by a factor of at most log2(24,000) /
// log2(1,200) = 14.6 / 10.2 = 1.43.
func BenchmarkStarts(b *testing.B) {
	for _, workers := range []int{65, 1200, 6000, 24000} {
		for _, samples := range []bool{false, true} {
			if samples && workers > 1200 {
				// Reports grow with the number of running tasks, and a failure domain has at most 1,200 workers.
				continue
			}
			c := sim.LoadConditions{Seed: 1, Workers: workers, Rate: 3100, Running: 10 * workers, Kinds: 20, Seconds: 5, Samples: samples}
			b.Run(fmt.Sprintf("workers=%d/samples=%t", workers, samples), func(b *testing.B) {
				b.Log(c)
				for b.Loop() {
					reportLoad(b, sim.Load(c, newPlanner))
				}
			})
		}
	}
}

func reportLoad(b *testing.B, r sim.LoadResult) {
	b.ReportMetric(r.PlanShare, "plan-cores")
	b.ReportMetric(r.UpsertShare, "upsert-cores")
	b.ReportMetric(r.ObserveShare, "observe-cores")
	b.ReportMetric(r.ProcessShare, "process-cores")
	b.ReportMetric(float64(r.Decision.Nanoseconds()), "ns/decision")
	b.ReportMetric(float64(r.P50.Microseconds()), "plan-p50-us")
	b.ReportMetric(float64(r.P99.Microseconds()), "plan-p99-us")
	b.ReportMetric(float64(r.Max.Microseconds()), "plan-max-us")
	b.ReportMetric(float64(r.Placed), "placed")
}

// BenchmarkMemory reports the heap use per worker, per running task that reports usage (ten on each worker) and per
// queued task. The slopes can be derived from the three sizes.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range []int{65, 1200, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				m := sim.Memory(sim.LoadConditions{Seed: 1, Workers: workers, Rate: 3100, Running: 10 * workers, Kinds: 20}, newPlanner)
				b.ReportMetric(float64(m.Workers)/float64(workers), "B/worker")
				b.ReportMetric(float64(m.Running)/float64(10*workers), "B/running-task")
				b.ReportMetric(float64(m.Queued)/float64(10*workers), "B/queued-task")
				b.ReportMetric(float64(m.Total)/1e6, "total-MB")
			}
		})
	}
}

// BenchmarkCancel reports the cost of cancelling a queued task. It must not grow with the length of the queue.
func BenchmarkCancel(b *testing.B) {
	for _, queued := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(sim.CancelWave(queued, 1, newPlanner).Nanoseconds())/float64(queued), "ns/cancel")
			}
		})
	}
}
