package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// reportDraining reports that a worker drains, and returns once that is acknowledged.
func (r *harness) reportDraining(id string, sequence uint64) {
	r.t.Helper()
	report := &pb.PoolReport{Worker: &pb.PoolWorker{}, Sequence: sequence}
	r.state.View(func(s *submission.State) { report.Worker = proto.CloneOf(s.Workers()[id].PoolWorker) })
	report.Worker.Draining = true
	if err := r.leader.Report(context.Background(), report); err != nil {
		r.t.Fatal(err)
	}
}

// Guards against a start that is sent again, after its connection was reset, to a worker that has begun to drain meanwhile.
func TestStartIsNotSentAgainToDrainingWorker(t *testing.T) {
	for name, newLeader := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
				r.workers.update(func() { r.workers.byID["a"].startsReset = true })
				r.submit("alone", 1, nil)
				r.submit("gang", 2, func(s *pb.Step) { s.Gang = true })
				time.Sleep(100 * time.Millisecond)
				r.reportDraining("a", 2)
				if newLeader {
					r.lead(6)
				}
				r.workers.update(func() {
					r.workers.byID["a"].startsReset = false
					r.workers.byID["b"] = newFakeWorker("b", 2)
				})
				r.report("b", 1)
				time.Sleep(6 * time.Second)
				is.Equal(r.workers.byID["a"].starts, 0)
				is.Equal(r.describe("alone"), "done")
				is.Equal(r.describe("gang"), "done")
			})
		})
	}
}
