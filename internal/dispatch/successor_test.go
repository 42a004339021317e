package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against workers that stay unused because they restarted while their reports did not arrive, and against a task that is lost
// with the last worker that could report.
func TestWorkerThatRestartsWithoutReportIsUsed(t *testing.T) {
	for _, downtime := range []time.Duration{0, 2 * time.Second, 2 * targetLease} {
		withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
			serves := func(f *fakeWorker) { f.serving = "before" }
			r.workers.update(func() { serves(r.workers.byID["a"]) })
			r.submit("before", 2, endless)
			time.Sleep(time.Second)
			is.Equal(r.running("a"), 2)
			r.lose("a")
			time.Sleep(downtime)
			r.restart("a", 77, serves)
			time.Sleep(maxOutage)
			is.Equal(r.running("a"), 2)
			r.submit("after", 2, nil)
			time.Sleep(1500 * time.Millisecond)
			is.Equal(r.describe("after"), "done")
		})
	}
}

// Guards against a task that needs a label and starts on a worker whose labels may have changed with its restart.
func TestLabelsOfRestartedWorkerAreUnknownUntilItReports(t *testing.T) {
	withHarness(t, time.Second, nil, func(is *is.I, r *harness) {
		w := newFakeWorker("a", 1)
		r.workers.update(func() { r.workers.byID["a"] = w })
		report := func(sequence uint64, born int64) {
			is.NoErr(r.leader.Report(context.Background(), &pb.PoolReport{Sequence: sequence, ClockMs: w.clockMs(time.Now()), Worker: &pb.PoolWorker{Id: "a", BornUnixMs: born,
				Pool: "pool", Address: "a", FailureDomain: "d", Labels: []string{"large"}, Capacity: &pb.Resources{Millicores: 4000, MemoryBytes: 100}}}))
		}
		report(1, 1)
		time.Sleep(100 * time.Millisecond)
		w = r.restart("a", 77, func(*fakeWorker) {})
		time.Sleep(2 * time.Second)
		r.submit("any", 1, nil)
		r.submit("large", 1, func(s *pb.Step) { s.Label = "large" })
		time.Sleep(2 * time.Second)
		is.Equal(r.describe("any"), "done")
		is.Equal(r.describe("large"), "queued")
		report(1, 77)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(r.describe("large"), "done")
	})
}
