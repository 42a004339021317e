package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// leaveEvent is one event of a generated sequence around leaves.
type leaveEvent struct {
	kind, worker           string
	after, lasts, remains  time.Duration
	submits, endless, dark bool
}

// partitions are what a partition does to a worker that runs on.
var partitions = map[string]func(f *fakeWorker, on bool){
	"refuse":       func(f *fakeWorker, on bool) { f.refusing = on },
	"cut":          func(f *fakeWorker, on bool) { f.unreachable = on },
	"close, cut":   func(f *fakeWorker, on bool) { f.unreachable, f.closes = on, on },
	"answers lost": func(f *fakeWorker, on bool) { f.dropAnswers = on },
}

func drawLeaveEvent(t *rapid.T) leaveEvent {
	kinds := []string{"leave", "leave", "drain", "end", "lead", "restore", "refuse", "refuse", "cut", "close, cut", "answers lost"}
	ms := func(name string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, name)) * time.Millisecond
	}
	return leaveEvent{kind: rapid.SampledFrom(kinds).Draw(t, "kind"), worker: rapid.SampledFrom(disturbedWorkers).Draw(t, "worker"),
		after: ms("after", 0, 20, 100, 500, 1500, 3000), lasts: ms("lasts", 100, 1000, 5000, 12000), remains: ms("remains", 0, 1000, 3000),
		submits: rapid.Bool().Draw(t, "submits"), endless: rapid.Bool().Draw(t, "endless"), dark: rapid.Bool().Draw(t, "dark")}
}

// Guards against tasks that run twice, and against ones that never run again, whatever sequence of drains, leaves (reported by the worker, held up
// or lost), partitions that drop, refuse or close, ends of workers and changes of the leader comes.
func TestNoTaskRunsTwiceAroundLeaves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sequence := rapid.SliceOfN(rapid.Custom(drawLeaveEvent), 1, 20).Draw(rt, "events")
		if violations := runLeaveEvents(t, sequence); len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}

// runLeaveEvents runs a sequence of events, lets all workers restart and returns the rules that were broken.
func runLeaveEvents(t *testing.T, sequence []leaveEvent) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		r, cancel := reportingHarness(t, 3*time.Second)
		defer cancel()
		time.Sleep(time.Second)
		submitted := map[string]bool{} // by id, true if the tasks are endless
		for i, e := range sequence {
			if e.submits {
				id := fmt.Sprint("s", i)
				if e.endless {
					id = lasting + id
				}
				submitted[id] = e.endless
				r.submitForLeaves(id, e.endless)
			}
			r.leaveEvent(uint64(6+i), e)
			time.Sleep(e.after)
		}
		time.Sleep(15 * time.Second) // the longest partition is over
		for _, id := range disturbedWorkers {
			r.endAndRestart(id, false, time.Second) // none of them drains any more
		}
		time.Sleep(30 * time.Second)
		for id, isEndless := range submitted {
			if state := r.describe(id); !isEndless && state != "done" {
				violations = append(violations, id+" is "+state)
			} else if isEndless && !r.taskRuns(submission.Ref{Submission: id}) {
				violations = append(violations, id+" does not run")
			}
		}
		cancel()
		violations = append(violations, r.closeAndCheck()...)
	})
	return violations
}

// submitForLeaves hands in a submission of one task, which serves if it is endless.
func (r *harness) submitForLeaves(id string, isEndless bool) {
	r.submit(id, 1, func(s *pb.Step) {
		s.Endless = isEndless
		s.Size.Millicores = 200
	})
}

func (r *harness) leaveEvent(term uint64, e leaveEvent) {
	switch e.kind {
	case "lead":
		r.lead(term)
	case "restore":
		r.restoreAndLead(term)
	case "end":
		r.endAndRestart(e.worker, e.dark, e.lasts/4)
	case "leave":
		r.tryReport(&pb.PoolReport{Worker: &pb.PoolWorker{Id: e.worker}, Leaving: true})
	case "drain":
		report := r.reportOf(e.worker, 1<<20, 4000)
		report.Worker, report.RemainingMs = proto.CloneOf(report.GetWorker()), e.remains.Milliseconds()
		report.Worker.Draining = true
		r.tryReport(report)
	default:
		r.changeFor(e.worker, e.lasts, partitions[e.kind])
	}
}

// minRestart is the time that a worker takes at least to restart.
const minRestart = 120 * time.Millisecond

// tryReport sends a report that may fail, without waiting for its answer.
func (r *harness) tryReport(report *pb.PoolReport) {
	leader := r.leader
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = leader.Report(ctx, report)
	}()
}

// endAndRestart ends the process of a worker and starts it again under its id after a while.
func (r *harness) endAndRestart(id string, dark bool, down time.Duration) {
	r.workers.update(func() {
		f := r.workers.byID[id]
		f.unreachable, f.closes = f.unreachable || dark, true
		f.refusing = !dark
		clear(f.running)
	})
	r.restartLater(id, max(down, minRestart), func(*fakeWorker) {}, func(*fakeWorker) {})
}
