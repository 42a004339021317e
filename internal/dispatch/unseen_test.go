package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against a task that runs twice because the leader changes while it waits for the lease of an unknown successor of its worker.
func TestLeaderChangeDoesNotEndWaitForUnknownSuccessor(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		successor := r.startOnSuccessor(is, func(f *fakeWorker) { f.dropAnswers = true })
		r.workers.update(func() { successor.unreachable, r.workers.byID["b"].noRoom = true, false })
		time.Sleep(targetLease + 1200*time.Millisecond) // the attempt is recorded as lost
		r.lead(6)
		time.Sleep(30 * time.Second)
		is.Equal(r.running("b"), 1)
	})
}

// crashUnderRepeatedStart crashes worker a while a start is sent to it again and again. Its successor, which nobody hears of, may carry that
// out, and is cut off; the next leader leads in the given term.
func (r *harness) crashUnderRepeatedStart(term uint64) {
	r.lose("a") // calls to it hang
	time.Sleep(600 * time.Millisecond)
	successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered, f.dropAnswers = true, true })
	for range 150 {
		if time.Sleep(10 * time.Millisecond); r.running("a") == 1 {
			break
		}
	}
	r.workers.update(func() { successor.unreachable = true })
	time.Sleep(2 * time.Second) // the worker is recorded as silent
	r.lead(term)
	r.cutOff(successor)
}

// Guards against a task that runs twice because a new leader takes a start for carried out that its predecessor repeated in vain
// until the worker restarted.
func TestRepeatedStartOfFormerLeaderIsWaitedFor(t *testing.T) {
	for _, phase := range holdPhases {
		t.Run(phase.String(), func(t *testing.T) {
			withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
				r.workers.update(func() { r.workers.byID["b"].noRoom = true })
				time.Sleep(20*time.Second + phase)
				r.workers.update(func() { r.workers.byID["a"].startsReset = true })
				r.submit("s", 1, nil)
				time.Sleep(time.Second)
				r.crashUnderRepeatedStart(6)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against a task that runs twice because the second of two leaders has repeated the start of the first for longer than a leader
// repeats one of its own, and the third one takes it for carried out.
func TestStartRepeatedByTwoFormerLeadersIsWaitedFor(t *testing.T) {
	for _, phase := range holdPhases {
		t.Run(phase.String(), func(t *testing.T) {
			withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
				r.workers.update(func() { r.workers.byID["b"].noRoom = true })
				time.Sleep(20 * time.Second)
				r.workers.update(func() { r.workers.byID["a"].startsReset = true })
				r.submit("s", 1, nil)
				time.Sleep(2200 * time.Millisecond)
				r.lead(6)
				time.Sleep(time.Second + phase/2)
				r.crashUnderRepeatedStart(7)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against a task that runs twice because the end of its worker and the successor of that are recorded in two entries of the log,
// and the task is placed between them.
func TestTaskIsNotPlacedBetweenEndAndSuccessorOfItsWorker(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startOnSuccessor(is, func(f *fakeWorker) { f.dropAnswers = true })
		r.workers.update(func() { r.workers.byID["b"].noRoom = false })
		r.leader.post(func() {
			for range maxEntryChanges - 1 {
				r.leader.queueChange(&pb.SubmissionChange{}, func(_ submission.Result, _ error) {})
			}
			w := r.leader.knownWorker("a")
			w.BornUnixMs = 77
			r.leader.register(w, func(error) {})
		})
		time.Sleep(30 * time.Second)
	})
}

// Guards against an endless task that stays away for too long because its worker, which had restarted a moment ago, is lost for good.
func TestEndlessTaskOfRestartedWorkerRunsAgainInTime(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
				time.Sleep(20 * time.Second)
				r.workers.update(r.workers.byID["a"].exit)
				time.Sleep(600 * time.Millisecond)
				r.restart("a", 77, func(f *fakeWorker) { f.serving = "s" })
				r.report("a", 1)
				r.submit("s", 1, endless)
				time.Sleep(after)
				is.Equal(r.running("a"), 1)
				r.workers.update(func() { r.workers.byID["b"] = newFakeWorker("b", 2) })
				r.workers.update(func() { r.workers.byID["b"].serving = "s" })
				r.report("b", 1)
				r.lose("a")
				r.workers.update(func() { clear(r.workers.byID["a"].running) }) // it has crashed
				outage := r.awaitService()
				t.Logf("away for %v", outage)
				is.True(outage < maxOutage)
			})
		})
	}
}

// Guards against an endless task that stays away for too long because its start on a worker that is lost for good got no answer.
func TestEndlessTaskWhoseStartGotNoAnswerRunsAgainInTime(t *testing.T) {
	for _, phase := range holdPhases {
		t.Run(phase.String(), func(t *testing.T) {
			withHarness(t, time.Minute, []string{"a", "b"}, func(is *is.I, r *harness) {
				r.workers.update(func() { r.workers.byID["b"].noRoom, r.workers.byID["b"].serving = true, "s" })
				time.Sleep(20*time.Second + phase)
				r.lose("a")
				r.submit("s", 1, endless)
				time.Sleep(2300 * time.Millisecond)
				r.workers.update(func() { r.workers.byID["b"].noRoom = false })
				is.True(2300*time.Millisecond+r.awaitService() < maxOutage)
			})
		})
	}
}

// Guards against an endless task that runs twice because an unknown successor of its worker has carried out its start.
func TestEndlessTaskOnUnknownSuccessorIsWaitedFor(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].startsReset, r.workers.byID["b"].noRoom = true, true })
		time.Sleep(20 * time.Second)
		r.submit("s", 1, endless)
		time.Sleep(300 * time.Millisecond)
		successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered = true })
		r.awaitRunning(is, "a")
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a task that is started too often because two failed runs of one attempt, on two incarnations of its worker, count as one.
func TestFailedRunsOfOneAttemptOnTwoIncarnationsCountTwice(t *testing.T) {
	withHarness(t, time.Hour, []string{"a"}, func(is *is.I, r *harness) {
		task := submission.Ref{Submission: hopeless + "s"}
		r.workers.update(func() { r.workers.byID["a"].startDelay = 1500 * time.Millisecond })
		time.Sleep(20 * time.Second)
		r.submit(task.Submission, 1, nil)
		time.Sleep(100 * time.Millisecond)
		r.workers.update(func() { r.workers.byID["a"].startDelay, r.workers.byID["a"].failing = 0, true }) // the start is sent again
		for r.startsOf(task) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		r.workers.update(func() { r.workers.byID["a"].noRoom = true })
		time.Sleep(200 * time.Millisecond) // the end is committed
		successor := r.restart("a", 77, func(f *fakeWorker) { f.unreachable = true })
		for range 100 {
			if time.Sleep(10 * time.Millisecond); r.startsOf(task) == 2 {
				break
			}
		}
		is.Equal(r.startsOf(task), 2) // the late copy
		r.workers.update(func() { successor.unreachable = false })
		r.report("a", 1)
		time.Sleep(30 * time.Second)
		is.Equal(r.describe(task.Submission), "failed")
		is.Equal(r.startsOf(task), 3) // as many as the queue allows
	})
}

// startsOf returns how often the workers have started a task.
func (r *harness) startsOf(task submission.Ref) int {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	return r.workers.startsByTask[task]
}
