package steps

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// backlogSnapshot returns a pool in which services take half of each worker, with a long queue of filling tasks of many
// images: the load at which planning costs most.
func backlogSnapshot(workers, requests int) *Snapshot {
	rng := rand.New(rand.NewPCG(1, 1))
	s := &Snapshot{MaxStarts: 256, Pressure: NewPressure()}
	for i := range workers {
		w := newWorker(fmt.Sprint("w", i), 32)
		image := fmt.Sprint("service", i%10)
		for j := range 3 {
			w.Residents = append(w.Residents, Resident{Task: submission.Ref{Submission: w.Incarnation.ID, Index: uint32(j)}, Attempt: 1, TailRatio: 0.4,
				Step: newStep(6, func(p *pb.Step) { p.Endless, p.TailLimitMs, p.Image = true, 50, image })})
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range requests {
		image := fmt.Sprint("filling", i%18)
		spec := newStep(2+rng.Int64N(4), func(p *pb.Step) { p.Fills, p.Image = true, image })
		s.Requests = append(s.Requests, newRequest(fmt.Sprint("s", i), 1+rng.IntN(30), spec))
	}
	return s
}

// BenchmarkBacklog measures the time of one plan for pools and queues of several sizes.
func BenchmarkBacklog(b *testing.B) {
	for _, size := range []struct{ workers, requests int }{{66, 100}, {490, 100}, {490, 700}, {1200, 700}} {
		b.Run(fmt.Sprintf("workers=%d/requests=%d", size.workers, size.requests), func(b *testing.B) {
			starts := 0
			for b.Loop() {
				b.StopTimer()
				s := backlogSnapshot(size.workers, size.requests)
				b.StartTimer()
				starts += len(MakePlan(s).Starts)
			}
			b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
		})
	}
}
