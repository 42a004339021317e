package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// play runs a test on a simulated clock with a leader and workers.
func play(t *testing.T, work time.Duration, ids []string, f func(*is.I, *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, work, ids...)
		defer r.finish()
		r.lead(5)
		synctest.Wait()
		for _, id := range ids {
			r.report(id, 1)
		}
		time.Sleep(100 * time.Millisecond)
		f(is.New(t), r)
	})
}

// Guards against a path on which a submission is accepted and never done.
func TestSubmissionRunsToItsEnd(t *testing.T) {
	play(t, time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.submit("s", 6, nil)
		time.Sleep(1200 * time.Millisecond)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.workers.byID["a"].starts+r.workers.byID["b"].starts, 6)
	})
}

// Guards against a start without an answer that is carried out seconds later, after the task was placed elsewhere.
func TestLateStartRunsNothingTwice(t *testing.T) {
	play(t, time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.workers.change(func() {
			for _, f := range r.workers.byID {
				f.lateFor = 3 * time.Second
			}
		})
		r.submit("s", 2, nil)
		time.Sleep(4 * time.Second)
		r.workers.change(func() {
			for _, f := range r.workers.byID {
				f.lateFor = 0
			}
		})
		time.Sleep(6 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a task that runs twice because a worker carried a start out and answered that it is not well. Seen on
// deploy/days/flap.toml at hanbit-yard-grown with seeds 2 and 3 (TWICE).
func TestRefusalOfAnUnwellWorkerIsNotTrusted(t *testing.T) {
	play(t, time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.workers.change(func() { r.workers.byID["a"].shedding = true })
		r.submit("s", 4, nil)
		time.Sleep(5 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against tasks of a worker that is cut off and runs on: they may start elsewhere only when its lease is over.
func TestCutOffWorkerLosesItsTasksAfterTheLease(t *testing.T) {
	for _, c := range []struct {
		name string
		harm func(*fakeWorker)
	}{{"no call arrives", func(f *fakeWorker) { f.cut = true }}, {"answers are lost", func(f *fakeWorker) { f.silent = true }}} {
		t.Run(c.name, func(t *testing.T) {
			play(t, 20*time.Second, []string{"a"}, func(is *is.I, r *rig) {
				r.submit("s", 1, nil)
				time.Sleep(500 * time.Millisecond)
				is.Equal(r.running("a"), 1)
				r.workers.change(func() { c.harm(r.workers.byID["a"]) })
				r.workers.change(func() { r.workers.byID["b"] = newWorkers(t, time.Second, "x", "b").byID["b"] })
				r.report("b", 1)
				time.Sleep(5 * time.Second)
				is.Equal(r.running("b"), 0)
				time.Sleep(11 * time.Second)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against tasks that are lost in a partition which is shorter than the lease, because the worker is tried again too
// late after it.
func TestShortPartitionLosesNothing(t *testing.T) {
	play(t, 20*time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.submit("s", 2, nil)
		time.Sleep(2 * time.Second)
		for range 3 {
			r.workers.change(func() { r.workers.byID["a"].cut = true })
			time.Sleep(6 * time.Second)
			r.workers.change(func() { r.workers.byID["a"].cut = false })
			time.Sleep(2 * time.Second)
		}
		is.Equal(r.workers.byID["a"].starts+r.workers.byID["b"].starts, 2)
	})
}

// Guards against workers that are gone for good and are called for ever, and against one that comes back after a long
// partition and is never used again.
func TestSilentWorkerComesBack(t *testing.T) {
	play(t, time.Second, []string{"a"}, func(is *is.I, r *rig) {
		r.workers.change(func() { r.workers.byID["a"].cut = true })
		time.Sleep(90 * time.Second)
		r.submit("s", 1, nil)
		r.workers.change(func() { r.workers.byID["a"].cut = false })
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "queued") // it is not called any more
		r.report("a", 2)
		time.Sleep(2 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a new leader that starts again what runs, or forgets what runs and never notes its end.
func TestNewLeaderTakesOverWhatRuns(t *testing.T) {
	play(t, 3*time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.submit("s", 4, nil)
		time.Sleep(time.Second)
		r.leader.Close()
		r.newLeader()
		r.lead(6)
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.workers.byID["a"].starts+r.workers.byID["b"].starts, 4)
	})
}

// Guards against a leader that goes on giving orders after a newer one has called the workers.
func TestFencedLeaderStops(t *testing.T) {
	play(t, time.Second, []string{"a"}, func(is *is.I, r *rig) {
		r.workers.change(func() { r.workers.byID["a"].fence = 9 })
		time.Sleep(3 * time.Second)
		is.Equal(r.leader.Term(), uint64(0))
	})
}

// Guards against tasks that run on after their submission was cancelled.
func TestCancelStopsTasks(t *testing.T) {
	play(t, 20*time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.submit("s", 4, nil)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a")+r.running("b"), 4)
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Cancel{Cancel: &pb.CancelSubmission{Id: "s"}}})
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a")+r.running("b"), 0)
	})
}

// Guards against a task that a worker refuses and that is offered to it again and again.
func TestRefusedTaskGoesElsewhere(t *testing.T) {
	play(t, time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.workers.change(func() { r.workers.byID["a"].noRoom = true })
		r.submit("s", 3, nil)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.workers.byID["b"].starts, 3)
	})
}

// Guards against workers that fail everything and use up the attempts of all submissions.
func TestFailingWorkerIsSetAside(t *testing.T) {
	play(t, 300*time.Millisecond, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.workers.change(func() { r.workers.byID["a"].failing = true })
		finished := 0
		for i := range 12 {
			r.submit(string(rune('c'+i)), 2, nil)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		for i := range 12 {
			if r.describe(string(rune('c'+i))) == "done" {
				finished++
			}
		}
		is.Equal(finished, 12)
	})
}

// Guards against tasks that stand still on a worker whose reports are good.
func TestStuckTaskStartsElsewhere(t *testing.T) {
	play(t, 500*time.Millisecond, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.workers.change(func() { r.workers.byID["a"].stuck = true })
		r.submit("s", 4, nil)
		time.Sleep(6 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against members of a gang that wait alone until the worker gives up, because one of them does not start.
func TestIncompleteGangIsTakenBack(t *testing.T) {
	play(t, time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		r.workers.change(func() { r.workers.byID["a"].noRoom = true })
		r.submit("s", 4, func(s *pb.Step) { s.Gang = true })
		time.Sleep(time.Second)
		r.workers.change(func() {
			for _, run := range r.workers.byID["b"].running {
				is.True(run.attempt > 1 || r.workers.byID["a"].refusals == 0) // the first attempt is gone
			}
		})
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a worker that came back under its id while the leader goes on with the life before.
func TestWorkerReborn(t *testing.T) {
	play(t, 2*time.Second, []string{"a"}, func(is *is.I, r *rig) {
		r.submit("s", 2, nil)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a"), 2)
		reborn := newWorkers(t, 2*time.Second, "a").byID["a"]
		reborn.life.BornUnixMs = 77
		r.workers.change(func() { r.workers.byID["a"] = reborn })
		r.report("a", 1)
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "done")
		var ref submission.Ref
		ref.Submission = "s"
		is.Equal(reborn.barred[ref], uint32(2))
	})
}

// Guards against a task that runs twice because a worker that came back under its id carried out a start meant for its
// former life. Seen by the soak (seed 16, reuse-worker).
func TestRebornWorkerMayRunWhatItsFormerLifeWasTold(t *testing.T) {
	play(t, 2*time.Second, []string{"a", "b"}, func(is *is.I, r *rig) {
		reborn := newWorkers(t, 2*time.Second, "a").byID["a"]
		reborn.life.BornUnixMs, reborn.byIDOnly, reborn.stopFor = 77, true, 150*time.Millisecond
		r.workers.change(func() { r.workers.byID["a"].cut = true })
		time.Sleep(100 * time.Millisecond)
		r.submit("s", 6, nil)
		time.Sleep(300 * time.Millisecond)
		reborn.born = time.Now()
		r.workers.change(func() { r.workers.byID["a"] = reborn })
		time.Sleep(1200 * time.Millisecond)
		is.True(r.running("a") > 0) // the start was repeated and the new life has carried it out
		r.report("a", 1)
		time.Sleep(6 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against ends of a new life that are forgotten because a hold meant for its former life, whose ends have the same
// numbers, says that they are committed. Seen by the soak (budget, and a task that was started after it had finished).
func TestEndsOfRebornWorkerAreNotForgotten(t *testing.T) {
	play(t, 500*time.Millisecond, []string{"a"}, func(is *is.I, r *rig) {
		r.submit("s", 1, nil)
		time.Sleep(700 * time.Millisecond)
		is.Equal(r.describe("s"), "done")
		r.workers.change(func() { r.workers.byID["a"].cut = true })
		r.submit("t", 1, nil)
		time.Sleep(2500 * time.Millisecond) // the hold that waits has ended
		reborn := newWorkers(t, time.Second, "a").byID["a"]
		reborn.life.BornUnixMs, reborn.byIDOnly = 77, true
		r.workers.change(func() {
			task := submission.Ref{Submission: "t"}
			reborn.ends, reborn.barred[task], r.workers.done[task] = 1, 1, true
			reborn.ended = []Ended{{Number: 1, Task: task, Attempt: 1, Kind: pb.TaskEndKind_TASK_END_KIND_DONE}}
			r.workers.byID["a"] = reborn
		})
		time.Sleep(time.Second)
		r.report("a", 1)
		time.Sleep(2 * time.Second)
		is.Equal(r.describe("t"), "done")
		is.Equal(reborn.starts, 0)
	})
}

// Guards against tasks that are kept in memory, and looked through with each plan, because the next life of their worker
// never came.
func TestUnsureAttemptsAreForgotten(t *testing.T) {
	play(t, time.Second, []string{"a"}, func(is *is.I, r *rig) {
		left := make(chan int, 1)
		r.leader.post(func() {
			r.leader.unsure[submission.Ref{Submission: "gone"}] = &unsureRun{former: submission.Incarnation{ID: "x"}, attempt: 1, since: r.leader.cfg.Clock()}
		})
		time.Sleep(unsureFor + tidyInterval + time.Second)
		r.leader.post(func() { left <- len(r.leader.unsure) })
		is.Equal(<-left, 0)
	})
}
