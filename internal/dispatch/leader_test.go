package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// withHarness runs f on a simulated clock with a leader in term 5 and registered workers. The tasks take the time work.
func withHarness(t *testing.T, work time.Duration, ids []string, f func(*is.I, *harness)) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, work, ids...)
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

// replaceLeader ends the leader and makes a new one lead in term, with the adviser, platform and logger that the harness has now.
func (r *harness) replaceLeader(term uint64) {
	r.leader.Close()
	r.newLeader()
	r.lead(term)
}

// Guards against a submission that is accepted but never completes.
func TestSubmissionCompletes(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.submit("s", 6, nil)
		time.Sleep(1200 * time.Millisecond)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.workers.byID["a"].starts+r.workers.byID["b"].starts, 6)
	})
}

// Guards against a task that runs twice because a start without an answer is carried out seconds later, after the task was
// placed on another worker.
func TestDelayedStartDoesNotRunTaskTwice(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() {
			for _, f := range r.workers.byID {
				f.startDelay = 3 * time.Second
			}
		})
		r.submit("s", 2, nil)
		time.Sleep(4 * time.Second)
		r.workers.update(func() {
			for _, f := range r.workers.byID {
				f.startDelay = 0
			}
		})
		time.Sleep(6 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a task that runs twice because a worker carried out a start but answered ErrUnavailable. Found with
// deploy/days/flap.toml at hanbit-yard-grown, seeds 2 and 3, which reported TWICE.
func TestOverloadedWorkerMayHaveStartedTask(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].refuseAfterStart = true })
		r.submit("s", 4, nil)
		time.Sleep(5 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a task that runs twice because its worker is unreachable but still running. The task may restart on another
// worker only after the lease has expired.
func TestUnreachableWorkerLosesTasksAfterLease(t *testing.T) {
	for _, c := range []struct {
		name        string
		breakWorker func(*fakeWorker)
	}{{"no call arrives", func(f *fakeWorker) { f.unreachable = true }}, {"answers are lost", func(f *fakeWorker) { f.dropAnswers = true }}} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
				r.submit("s", 1, nil)
				time.Sleep(500 * time.Millisecond)
				is.Equal(r.running("a"), 1)
				r.workers.update(func() { c.breakWorker(r.workers.byID["a"]) })
				r.workers.update(func() { r.workers.byID["b"] = newFakeWorker("b", 2) })
				r.report("b", 1)
				time.Sleep(5 * time.Second)
				is.Equal(r.running("b"), 0)
				time.Sleep(11 * time.Second)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against tasks that are lost in a partition shorter than the lease because the leader retries the worker too late
// afterwards.
func TestShortPartitionLosesNothing(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.submit("s", 2, nil)
		time.Sleep(2 * time.Second)
		for range 3 {
			r.workers.update(func() { r.workers.byID["a"].unreachable = true })
			time.Sleep(6 * time.Second)
			r.workers.update(func() { r.workers.byID["a"].unreachable = false })
			time.Sleep(2 * time.Second)
		}
		is.Equal(r.workers.byID["a"].starts+r.workers.byID["b"].starts, 2)
	})
}

// Guards against calling a worker forever that has left for good, and against never using a worker again that returns after
// a long partition.
func TestSilentWorkerReturns(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].unreachable = true })
		time.Sleep(silenceTimeout + formerTimeout + formerInterval)
		r.submit("s", 1, nil)
		r.workers.update(func() { r.workers.byID["a"].unreachable = false })
		time.Sleep(2 * formerInterval)
		is.Equal(r.describe("s"), "queued") // the leader no longer calls the worker
		r.report("a", 2)
		time.Sleep(2 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a new leader that restarts running tasks, or that does not track them and never commits their ends.
func TestNewLeaderTakesOverWhatRuns(t *testing.T) {
	withHarness(t, 3*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.submit("s", 4, nil)
		time.Sleep(time.Second)
		r.replaceLeader(6)
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.workers.byID["a"].starts+r.workers.byID["b"].starts, 4)
	})
}

// Guards against a leader that continues to call workers after a newer leader has called them.
func TestFencedLeaderStops(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].fence = fencingToken(9, 1) })
		time.Sleep(3 * time.Second)
		is.Equal(r.leader.Term(), uint64(0))
	})
}

// Guards against tasks that continue to run after their submission was cancelled.
func TestCancelStopsTasks(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.submit("s", 4, nil)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a")+r.running("b"), 4)
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Cancel{Cancel: &pb.CancelSubmission{Id: "s"}}})
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a")+r.running("b"), 0)
	})
}

// Guards against a task that is placed again and again on a worker that refuses it.
func TestRefusedTaskGoesElsewhere(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].noRoom = true })
		r.submit("s", 3, nil)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.workers.byID["b"].starts, 3)
	})
}

// Guards against a worker on which every task fails using up the attempts of all submissions.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	withHarness(t, 300*time.Millisecond, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].failing = true })
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

// Guards against tasks that stall forever on a worker that reports no problem.
func TestStuckTaskStartsElsewhere(t *testing.T) {
	withHarness(t, 500*time.Millisecond, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].stalled = true })
		r.submit("s", 4, nil)
		time.Sleep(6 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a long task that is restarted as stalled again and again, and never ends, since its worker states whole percents.
func TestLongTaskWithWholePercentsIsNotStuck(t *testing.T) {
	withHarness(t, 400*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].wholePercents, r.workers.byID["b"].wholePercents = true, true })
		r.submit("s", 1, func(step *pb.Step) { step.EstimateMs = 200_000 })
		time.Sleep(410 * time.Second)
		is.Equal(r.describe("s"), "done")
		r.workers.update(func() { is.Equal(r.workers.startsByTask[submission.Ref{Submission: "s"}], 1) })
	})
}

// Guards against members of a gang that wait until their worker gives up because another member does not start.
func TestIncompleteGangIsStopped(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].noRoom = true })
		r.submit("s", 4, func(s *pb.Step) { s.Gang = true })
		time.Sleep(time.Second)
		r.workers.update(func() {
			for _, run := range r.workers.byID["b"].running {
				is.True(run.attempt > 1 || r.workers.byID["a"].refusals == 0) // the first attempt was stopped
			}
		})
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a leader that continues to use the previous incarnation of a worker that has restarted under the same id.
func TestWorkerRestartsUnderSameID(t *testing.T) {
	withHarness(t, 2*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("s", 2, nil)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a"), 2)
		restarted := newFakeWorker("a", 77)
		r.workers.update(func() { r.workers.byID["a"] = restarted })
		r.report("a", 1)
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "done")
		var ref submission.Ref
		ref.Submission = "s"
		is.Equal(restarted.revoked[ref], uint32(2))
	})
}

// restartDuringStarts replaces worker a, which gets no calls, by a new incarnation that carries out repeated starts meant for the previous one.
func (r *harness) restartDuringStarts(is *is.I) {
	r.workers.update(func() { r.workers.byID["a"].unreachable = true })
	time.Sleep(100 * time.Millisecond)
	r.submit("s", 6, nil)
	time.Sleep(300 * time.Millisecond)
	r.restart("a", 77, func(f *fakeWorker) { f.stopTime = 150 * time.Millisecond })
	time.Sleep(1200 * time.Millisecond)
	is.True(r.running("a") > 0) // the new incarnation has carried out the repeated start
}

// Guards against a task that runs twice because a worker that has restarted under the same id carries out a start meant for
// its previous incarnation.
func TestRestartedWorkerMayRunStartOfPreviousIncarnation(t *testing.T) {
	withHarness(t, 2*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.restartDuringStarts(is)
		r.report("a", 1)
		time.Sleep(6 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against the same for a start that was repeated: the worker has listed the attempt, but the first copy of the start is
// still on its way when the worker restarts.
func TestRestartedWorkerMayRunDelayedCopyOfListedStart(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].startDelay = 3 * time.Second })
		r.submit("s", 1, nil)
		time.Sleep(100 * time.Millisecond)
		r.workers.update(func() { r.workers.byID["a"].startDelay = 0 })
		r.workers.update(func() { r.workers.byID["b"] = newFakeWorker("b", 2) })
		r.report("b", 1)
		time.Sleep(2700 * time.Millisecond)
		is.Equal(r.running("a"), 1) // the second copy was carried out and listed
		r.restart("a", 77, func(f *fakeWorker) { f.stopTime = 150 * time.Millisecond })
		time.Sleep(300 * time.Millisecond)
		is.Equal(r.running("a"), 1) // the first copy
		r.report("a", 1)
		time.Sleep(3 * time.Second)
		is.Equal(r.running("a")+r.running("b"), 1)
	})
}

// Guards against the same across a change of the leader: the next one did not know which starts the new incarnation may have
// carried out.
func TestNextLeaderKnowsStartsOfPreviousIncarnation(t *testing.T) {
	withHarness(t, 2*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.restartDuringStarts(is)
		r.lead(6)
		time.Sleep(200 * time.Millisecond)
		r.report("a", 1)
		time.Sleep(8 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// restartWithEnd replaces worker a by a new incarnation, which carries out calls meant for the previous one. It has carried out the
// first attempt of a task and lists its end.
func (r *harness) restartWithEnd(task submission.Ref) *fakeWorker {
	restarted := newFakeWorker("a", 77)
	restarted.ignoreIncarnation = true
	r.workers.update(func() {
		restarted.ends, restarted.revoked[task], r.workers.done[task] = 1, 1, true
		restarted.ended = []Ended{{Number: 1, Task: task, Attempt: 1, Kind: pb.TaskEndKind_TASK_END_KIND_DONE}}
		r.workers.byID["a"] = restarted
	})
	return restarted
}

// Guards against ends of a new incarnation that are lost because a hold meant for the previous incarnation acknowledges ends
// with the same numbers.
func TestEndsOfRestartedWorkerAreNotLost(t *testing.T) {
	withHarness(t, 500*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("s", 1, nil)
		time.Sleep(700 * time.Millisecond)
		is.Equal(r.describe("s"), "done")
		r.workers.update(func() { r.workers.byID["a"].unreachable = true })
		r.submit("t", 1, nil)
		time.Sleep(2500 * time.Millisecond) // the hold in progress has timed out
		restarted := r.restartWithEnd(submission.Ref{Submission: "t"})
		time.Sleep(time.Second)
		r.report("a", 1)
		time.Sleep(2 * time.Second)
		is.Equal(r.describe("t"), "done")
		is.Equal(restarted.starts, 0)
	})
}

// Guards against the same through a hold out of turn: after a stop, the leader asks at once what the worker runs, and the worker may
// have restarted since its last answer.
func TestExtraHoldDoesNotLoseEndsOfRestartedWorker(t *testing.T) {
	withHarness(t, 500*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("s", 1, nil)
		time.Sleep(700 * time.Millisecond)
		is.Equal(r.describe("s"), "done")
		r.workers.update(func() { r.workers.byID["a"].startDelay = time.Second })
		r.submit("t", 1, nil)
		time.Sleep(100 * time.Millisecond)
		restarted := r.restartWithEnd(submission.Ref{Submission: "t"})
		r.leader.post(func() { r.leader.pollNow(r.leader.sessions["a"]) })
		time.Sleep(time.Second)
		r.report("a", 1)
		time.Sleep(2 * time.Second)
		is.Equal(r.describe("t"), "done")
		is.Equal(restarted.starts, 0)
	})
}

// Guards against the same through a hold that is carried out late, long after the ends that it acknowledges were acknowledged.
func TestLateHoldDoesNotLoseEndsOfRestartedWorker(t *testing.T) {
	withHarness(t, 500*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("s", 1, nil)
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "done")
		r.workers.update(func() { r.workers.byID["a"].startDelay, r.workers.byID["a"].pollLate = time.Second, 5*time.Second })
		time.Sleep(1600 * time.Millisecond) // the next hold has been sent
		r.submit("t", 1, nil)
		time.Sleep(100 * time.Millisecond)
		restarted := r.restartWithEnd(submission.Ref{Submission: "t"})
		r.workers.update(func() { restarted.unreachable = true })
		time.Sleep(5 * time.Second)
		r.workers.update(func() { restarted.unreachable = false })
		r.report("a", 1)
		time.Sleep(2 * time.Second)
		is.Equal(r.describe("t"), "done")
		is.Equal(restarted.starts, 0)
	})
}

// Guards against the same through the hold after a slow commit: no hold waits at the worker meanwhile, so that none fails if it
// restarts.
func TestHoldAfterSlowCommitDoesNotLoseEndsOfRestartedWorker(t *testing.T) {
	withHarness(t, 500*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("s", 1, nil)
		time.Sleep(100 * time.Millisecond)
		r.workers.update(func() { r.workers.byID["a"].startDelay = 5 * time.Second })
		r.submit("t", 1, nil)
		time.Sleep(300 * time.Millisecond)
		r.log.update(func(f *fakeLog) { f.delay = 400 * time.Millisecond })
		time.Sleep(300 * time.Millisecond) // the end of s is being committed
		restarted := r.restartWithEnd(submission.Ref{Submission: "t"})
		time.Sleep(time.Second)
		r.log.update(func(f *fakeLog) { f.delay = 0 })
		r.report("a", 1)
		time.Sleep(3 * time.Second)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.describe("t"), "done")
		r.workers.update(func() { is.Equal(restarted.starts, 0) })
	})
}

// Guards against a worker whose ends are never acknowledged while commits are slow.
func TestSlowCommitsDoNotKeepEndsListed(t *testing.T) {
	withHarness(t, 200*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
		r.log.update(func(f *fakeLog) { f.delay = 400 * time.Millisecond })
		r.submit("s", 2, nil)
		time.Sleep(4 * time.Second)
		is.Equal(r.describe("s"), "done")
		r.workers.update(func() { is.Equal(len(r.workers.byID["a"].ended), 0) })
	})
}

// Guards against a memory leak: records of possible starts on a new incarnation that never registers must be removed.
// Otherwise each plan would also search them.
func TestUncertainStartsExpire(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		left := make(chan int, 1)
		r.leader.post(func() {
			r.leader.uncertainStarts[submission.Ref{Submission: "gone"}] = &uncertainStart{previous: submission.Incarnation{ID: "x"}, attempt: 1, since: r.leader.cfg.Clock()}
		})
		time.Sleep(lateCallTimeout + cleanupInterval + time.Second)
		r.leader.post(func() { left <- len(r.leader.uncertainStarts) })
		is.Equal(<-left, 0)
	})
}

// Guards against a worker that is flooded with holds because it refuses them.
func TestRefusedHoldsAreNotRepeatedAtOnce(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		before := 0
		r.workers.update(func() { r.workers.byID["a"].overloaded, before = true, r.workers.byID["a"].holds })
		time.Sleep(5 * time.Second)
		r.workers.update(func() { before = r.workers.byID["a"].holds - before })
		t.Logf("%d holds in 5 s", before)
		is.True(before <= int(5*time.Second/holdRetryMin))
	})
}
