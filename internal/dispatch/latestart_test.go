package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// startLate places task s on worker a, whose starts get no answer and are carried out after a delay, while worker b has no room, and waits.
func (r *harness) startLate(delay, wait time.Duration) {
	r.workers.update(func() { r.workers.byID["a"].startDelay, r.workers.byID["b"].noRoom = delay, true })
	time.Sleep(20 * time.Second)
	r.submit("s", 1, nil)
	time.Sleep(wait)
}

// Guards against a task that runs twice because its start is carried out by a second successor of its worker, after the first one has
// been told to refuse it.
func TestLateStartOnSecondSuccessorIsWaitedFor(t *testing.T) {
	for _, delay := range []time.Duration{2500 * time.Millisecond, 8 * time.Second} {
		for _, newLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, new leader %v", delay, newLeader), func(t *testing.T) {
				withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
					r.startLate(delay, 300*time.Millisecond)
					r.restart("a", 77, func(f *fakeWorker) { f.noRoom = true })
					r.workers.update(func() { r.workers.byID["b"].noRoom = false })
					r.report("a", 1)
					time.Sleep(200 * time.Millisecond)
					if newLeader {
						r.lead(6)
					}
					time.Sleep(500 * time.Millisecond)
					r.restart("a", 78, func(f *fakeWorker) { f.unreachable = true })
					time.Sleep(30 * time.Second)
					is.Equal(r.running("b"), 1)
				})
			})
		}
	}
}

// Guards against a task that waits for late copies of its start although its worker is back and refuses them.
func TestTaskStartsAtOnceOnSuccessorThatRefusesItsLateStart(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startLate(8*time.Second, 300*time.Millisecond)
		r.restart("a", 77, func(*fakeWorker) {})
		r.report("a", 1)
		time.Sleep(time.Second)
		is.Equal(r.running("a"), 1)
		time.Sleep(30 * time.Second)
		is.Equal(r.startsOf(submission.Ref{Submission: "s"}), 1)
	})
}

// Guards against a task that runs twice because its worker has left, and a successor of which nobody knows carries out its start.
func TestLateStartOnSuccessorOfWorkerThatLeftIsWaitedFor(t *testing.T) {
	for _, delay := range []time.Duration{2500 * time.Millisecond, 8 * time.Second, 12 * time.Second} {
		for _, newLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, new leader %v", delay, newLeader), func(t *testing.T) {
				withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
					r.startLate(delay, 100*time.Millisecond)
					r.leaves("a")
					r.workers.update(r.workers.byID["a"].exit)
					time.Sleep(600 * time.Millisecond)
					r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered = true })
					if newLeader {
						r.lead(6)
					}
					r.workers.update(func() { r.workers.byID["b"].noRoom = false })
					time.Sleep(30 * time.Second)
					is.Equal(r.running("b"), 1)
				})
			})
		}
	}
}

// Guards against the same for a start that is carried out 8 s after it was sent, which the platform may do up to 12 s after it.
func TestVeryLateStartOnUnknownSuccessorIsWaitedFor(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("new leader %v", newLeader), func(t *testing.T) {
			withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
				r.startLate(8*time.Second, 300*time.Millisecond)
				successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered = true })
				if newLeader {
					r.workers.update(func() { successor.unreachable = true })
					r.lead(6)
				}
				r.cutOff(successor)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against a task that runs twice because its worker is lost with an unanswered start, although starts have been carried out late before.
func TestVeryLateStartIsWaitedForOnceStartsAreKnownToBeLate(t *testing.T) {
	for _, delay := range []time.Duration{8 * time.Second, 12 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
				r.workers.update(func() { r.workers.byID["a"].startDelay, r.workers.byID["b"].startDelay = delay, delay })
				r.submit("before", 3, nil)
				time.Sleep(8 * time.Second)
				r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Cancel{Cancel: &pb.CancelSubmission{Id: "before"}}})
				r.startLate(delay, 300*time.Millisecond)
				successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered, f.stopUnanswered = true, true })
				r.workers.update(func() { r.workers.byID["b"].startDelay = 0 })
				r.cutOff(successor)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against tasks of lost workers that wait for the longest delay of a call although no call is known to be late.
func TestLateCallsAreForgotten(t *testing.T) {
	is := is.New(t)
	c := lateCalls{}
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	for i := range 5 {
		c.note(at(100 * i)) // each by itself
		is.Equal(c.delay(at(100*i)), maxCallDelay)
	}
	for _, s := range []int{1000, 1004, 1008} {
		is.Equal(c.delay(at(s)), maxCallDelay)
		c.note(at(s))
	}
	is.Equal(c.delay(at(1009)), longestCallDelay)
	c.note(at(1020)) // the two before it are too old
	is.Equal(c.delay(at(1037)), longestCallDelay)
	is.Equal(c.delay(at(1038)), maxCallDelay)
}

// Guards against a task that runs twice because its worker, which answers holds but no starts, restarts after the start was given up, and
// a successor of which nobody knows carries it out.
func TestLateStartThatWasGivenUpIsWaitedFor(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startLate(8*time.Second, 300*time.Millisecond)
		r.workers.update(func() { r.workers.byID["b"].noRoom = false })
		time.Sleep(5 * time.Second)
		r.restart("a", 77, func(f *fakeWorker) { f.unreachable = true })
		time.Sleep(30 * time.Second)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a task that waits for late copies of its start after a change of the leader although another worker has replaced its own.
func TestTaskOfReplacedWorkerStartsAtOnceAfterLeaderChange(t *testing.T) {
	for _, registeredBefore := range []bool{false, true} {
		t.Run(fmt.Sprintf("registered before %v", registeredBefore), func(t *testing.T) {
			withHarness(t, time.Hour, []string{"a"}, func(is *is.I, r *harness) {
				time.Sleep(20 * time.Second)
				r.submit("s", 1, nil)
				time.Sleep(200 * time.Millisecond)
				is.Equal(r.running("a"), 1)
				next := newFakeWorker("c", 77)
				next.address = "a"
				r.workers.update(func() {
					clear(r.workers.byID["a"].running)
					r.workers.byID["a"].exit()
					r.workers.byID["c"] = next
				})
				r.leaves("a")
				time.Sleep(time.Second)
				changes := []func(){func() { is.NoErr(r.reportCapacity("c", 1, 100)) }, func() { r.lead(6) }}
				if !registeredBefore {
					slices.Reverse(changes)
				}
				for _, change := range changes {
					change()
					time.Sleep(200 * time.Millisecond)
				}
				r.workers.update(func() { r.workers.byID["b"] = newFakeWorker("b", 2) })
				r.report("b", 1)
				time.Sleep(4 * time.Second)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against a task that runs twice because an unknown successor of its worker has carried out a late copy of its start, and then a late
// hold, which has extended the lease.
func TestLateHoldOnUnknownSuccessorIsWaitedFor(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startLate(12*time.Second, 300*time.Millisecond)
		r.workers.update(func() { r.workers.byID["a"].startDelay = 0 }) // the second copy is answered
		time.Sleep(5 * time.Second)
		is.Equal(r.running("a"), 1)
		r.workers.update(func() { r.workers.byID["a"].pollLate = 12 * time.Second })
		time.Sleep(1600 * time.Millisecond) // the next hold has been sent
		r.cutOff(r.restart("a", 77, func(f *fakeWorker) { f.unreachable = true }))
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a task that waits for late copies of a start that its worker has answered, or whose connection was refused.
func TestStartWithoutLateCopiesIsNotWaitedFor(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused %v", refused), func(t *testing.T) {
			withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
				r.workers.update(func() { r.workers.byID["a"].startsRefused, r.workers.byID["b"].noRoom = refused, true })
				time.Sleep(20 * time.Second)
				r.submit("s", 1, nil)
				time.Sleep(200 * time.Millisecond)
				is.Equal(r.running("a") == 0, refused)
				r.workers.update(func() { r.workers.byID["b"].noRoom = false })
				r.lose("a")
				time.Sleep(targetLease + time.Second)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against the same for a start that is carried out 2.5 s after it was sent, of which the leader learns nothing.
func TestLateStartOnUnknownSuccessorIsWaitedFor(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startLate(2500*time.Millisecond, 300*time.Millisecond)
		successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered, f.stopUnanswered = true, true })
		time.Sleep(2400 * time.Millisecond)
		is.Equal(r.running("a"), 1)
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a task that runs twice because its worker, which has stopped an attempt, restarts, and a late copy of the start is
// carried out by the next incarnation, while the task runs on another worker.
func TestLateStartOfStoppedAttemptIsWaitedFor(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startLate(3500*time.Millisecond, time.Second)
		r.workers.update(func() { r.workers.byID["b"].noRoom = false })
		time.Sleep(3700 * time.Millisecond) // a has stopped the attempt and lists none
		is.Equal(r.running("b"), 1)
		r.restart("a", 77, func(f *fakeWorker) { f.unreachable = true })
		time.Sleep(5 * time.Second)
	})
}

// Guards against a task that is started again after it was done, because its worker restarts and a late copy of the start is carried out by
// the next incarnation.
func TestLateStartOfTaskThatIsDoneHasNoEffect(t *testing.T) {
	withHarness(t, 500*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].startDelay = 3 * time.Second })
		time.Sleep(20 * time.Second)
		r.submit("s", 1, nil)
		time.Sleep(100 * time.Millisecond)
		r.workers.update(func() { r.workers.byID["a"].startDelay = 0 })
		time.Sleep(2 * time.Second) // the start was sent again
		is.Equal(r.describe("s"), "done")
		r.restart("a", 77, func(f *fakeWorker) { f.unreachable = true })
		time.Sleep(5 * time.Second)
	})
}
