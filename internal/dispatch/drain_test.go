package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// reportDraining reports that a worker drains, and returns once that is acknowledged.
func (r *harness) reportDraining(id string, sequence uint64) { r.reportDrainingFor(id, sequence, 0) }

// reportDrainingFor does the same with the time until the worker may leave, 0 if the report does not state it.
func (r *harness) reportDrainingFor(id string, sequence uint64, remaining time.Duration) {
	r.t.Helper()
	report := &pb.PoolReport{Worker: &pb.PoolWorker{}, Sequence: sequence, RemainingMs: remaining.Milliseconds()}
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

// Guards against endless tasks that are away until the lease of a worker is over which has drained and left behind a partition.
func TestEndlessTasksLeaveDrainingWorker(t *testing.T) {
	for name, cutOff := range map[string]func(r *harness, id string){"silent": (*harness).lose, "refusing": (*harness).refuseConnections} {
		for _, newLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new leader %t", name, newLeader), func(t *testing.T) {
				withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
					r.startAtA(is)
					if newLeader {
						r.replaceLeader(6)
					}
					began := time.Now()
					r.reportDraining("a", 2)
					for r.running("b") == 0 && time.Since(began) < maxOutage {
						time.Sleep(time.Millisecond)
					}
					t.Logf("the task runs elsewhere %v after the report", time.Since(began))
					is.True(time.Since(began) < 1500*time.Millisecond) // the stop takes up to a second
					cutOff(r, "a")
					r.leaves("a")
					time.Sleep(maxOutage)
					is.Equal(r.running("b"), 1)
				})
			})
		}
	}
}

// Guards against endless tasks that are stopped on a draining worker though no other worker has room for them.
func TestEndlessTaskStaysOnDrainingWorkerWithoutRoomElsewhere(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.startAtA(is)
		r.submit("fill", 7, nil) // both workers have room for four tasks
		time.Sleep(200 * time.Millisecond)
		is.Equal(r.running("a")+r.running("b"), 8)
		r.reportDraining("a", 2)
		time.Sleep(4 * time.Second)
		is.Equal(r.running("a"), 4)
	})
}

// Guards against a step of which more tasks are away than it allows because a worker drains.
func TestTasksLeaveDrainingWorkerWithinLimitOfStep(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].serving = "s" })
		r.submit("s", 3, func(s *pb.Step) { s.Endless, s.MaxUnavailable = true, 1 })
		time.Sleep(200 * time.Millisecond)
		is.Equal(r.running("a"), 3)
		r.workers.update(func() {
			r.workers.byID["b"] = newFakeWorker("b", 1)
			r.workers.byID["b"].serving = "s"
		})
		r.report("b", 1)
		time.Sleep(2 * time.Second)
		r.reportDraining("a", 2)
		for range 600 {
			time.Sleep(10 * time.Millisecond)
			is.True(r.running("a")+r.running("b") >= 2)
		}
		is.Equal(r.running("b"), 3)
	})
}

// Guards against endless tasks that take room on other workers long before their worker leaves, and against ones that move too late.
func TestEndlessTasksLeaveDrainingWorkerShortlyBeforeItGoes(t *testing.T) {
	const remaining = 8 * time.Second
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.startAtA(is)
		r.reportDrainingFor("a", 2, remaining)
		time.Sleep(remaining - time.Second - 2*drainMoveMargin) // a stop takes up to a second
		is.Equal(r.running("a"), 1)
		r.reportDrainingFor("a", 3, time.Second+2*drainMoveMargin)
		time.Sleep(drainMoveMargin + 100*time.Millisecond)
		is.Equal(r.running("a"), 0)
		is.Equal(r.running("b"), 1)
	})
}
