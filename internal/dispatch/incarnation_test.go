package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startOnSuccessor lets worker a run for a while, places task s on it while its connections break, and restarts it under its id. The
// start, which is sent again, reaches the new incarnation before a hold does; its lease then ends as late as the worker allows.
func (r *harness) startOnSuccessor(is *is.I, change func(*fakeWorker)) *fakeWorker {
	r.workers.update(func() { r.workers.byID["b"].noRoom = true })
	time.Sleep(20 * time.Second)
	r.workers.update(func() { r.workers.byID["a"].startsReset = true })
	r.submit("s", 1, nil)
	time.Sleep(300 * time.Millisecond)
	successor := r.restart("a", 77, func(f *fakeWorker) {
		f.holdUnanswered = true
		change(f)
	})
	r.awaitRunning(is, "a")
	return successor
}

// awaitRunning waits until a task runs on a worker.
func (r *harness) awaitRunning(is *is.I, id string) {
	is.Helper()
	for range 500 {
		if r.running(id) == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Fail() // no task runs on the worker
}

// registerSuccessor makes the new incarnation of worker a known and waits until task s has its own attempt there.
func (r *harness) registerSuccessor(is *is.I, successor *fakeWorker) {
	r.workers.update(func() { successor.holdUnanswered = false })
	r.report("a", 1)
	time.Sleep(100 * time.Millisecond)
	r.awaitRunning(is, "a")
}

// cutOff makes a worker unreachable without ending it, gives worker b room and waits until every lease is over.
func (r *harness) cutOff(f *fakeWorker) {
	r.workers.update(func() { f.unreachable, r.workers.byID["b"].noRoom = true, false })
	time.Sleep(30 * time.Second)
}

// Guards against a task that runs twice because a start for the former incarnation of its worker extended the lease of the new one.
func TestLeaseFromCallForFormerIncarnationCounts(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		successor := r.startOnSuccessor(is, func(*fakeWorker) {})
		r.registerSuccessor(is, successor)
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against the same after a change of the leader, which does not know what its predecessor has sent.
func TestLeaseFromCallOfFormerLeaderCounts(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		successor := r.startOnSuccessor(is, func(*fakeWorker) {})
		r.registerSuccessor(is, successor)
		r.lead(6)
		time.Sleep(100 * time.Millisecond)
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against the same if the new leader never reaches the worker.
func TestLeaseFromCallOfFormerLeaderCountsOnWorkerThatIsCutOff(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		successor := r.startOnSuccessor(is, func(*fakeWorker) {})
		r.registerSuccessor(is, successor)
		r.workers.update(func() { successor.unreachable = true })
		r.lead(6)
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a task that runs twice because the new incarnation of its worker has carried out the start, and the leader, which does
// not know of that incarnation, waits only until the leases of the former one are over.
func TestStartCarriedOutByUnknownSuccessorIsWaitedFor(t *testing.T) {
	for name, change := range map[string]func(*fakeWorker){
		"answered":    func(*fakeWorker) {},
		"answer_lost": func(f *fakeWorker) { f.dropAnswers = true },
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
				successor := r.startOnSuccessor(is, change)
				r.cutOff(successor)
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against the same if a new leader, which has never reached the worker, takes the placement over.
func TestStartOfFormerLeaderOnUnknownSuccessorIsWaitedFor(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		successor := r.startOnSuccessor(is, func(f *fakeWorker) { f.dropAnswers = true })
		r.workers.update(func() { successor.unreachable = true })
		r.lead(6)
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a task that runs twice because a start for the former incarnation of its worker arrives so late that the new one has
// been told to refuse it. A refused start extends the lease all the same.
func TestLateStartForFormerIncarnationExtendsNoLease(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startLate(2500*time.Millisecond, 300*time.Millisecond)
		successor := r.restart("a", 77, func(*fakeWorker) {})
		r.registerSuccessor(is, successor)
		time.Sleep(2200 * time.Millisecond)
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a task that runs twice because a hold for the former incarnation of its worker was carried out late, and has extended the
// lease of the new one just before that has answered.
func TestLeaseFromLateHoldForFormerIncarnationCounts(t *testing.T) {
	for _, delay := range []time.Duration{5 * time.Second, 12 * time.Second} {
		for _, newLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, new leader %v", delay, newLeader), func(t *testing.T) {
				withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
					time.Sleep(20 * time.Second)
					r.workers.update(func() { r.workers.byID["a"].pollLate, r.workers.byID["b"].noRoom = delay, true })
					time.Sleep(1600 * time.Millisecond) // the next hold has been sent
					successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered = true })
					for successor.leaseEnd(r).IsZero() {
						time.Sleep(10 * time.Millisecond)
					}
					r.submit("s", 1, nil)
					r.registerSuccessor(is, successor)
					if newLeader {
						r.lead(6)
						time.Sleep(100 * time.Millisecond)
					}
					r.cutOff(successor)
					is.Equal(r.running("b"), 1)
				})
			})
		}
	}
}

func (f *fakeWorker) leaseEnd(r *harness) time.Time {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	return f.lease
}

// Guards against a leader that its own tokens fence off, because it leads again in the term in which it has stopped.
func TestLeaderThatLeadsAgainInItsTermIsNotFenced(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b", "c", "d", "e"}, func(is *is.I, r *harness) {
		r.leader.Resign()
		r.leader.Lead(5)
		time.Sleep(2 * time.Second)
		is.Equal(r.leader.Term(), uint64(5))
	})
}
