package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// startOnSuccessorAfterLateHold lets task s end on worker a, whose holds then get no answer and are carried out 3 s later. a restarts under
// its id and carries out the start of task t, which was meant for the former incarnation. The late hold arrives last.
func (r *harness) startOnSuccessorAfterLateHold(is *is.I) *fakeWorker {
	r.submit("s", 1, nil)
	time.Sleep(20*time.Second + 200*time.Millisecond) // a hold has just begun
	is.Equal(r.describe("s"), "done")
	r.workers.update(func() { r.workers.byID["a"].holdLate, r.workers.byID["a"].startsReset = 3*time.Second, true })
	r.submit("t", 1, nil)
	time.Sleep(300 * time.Millisecond)
	return r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered, f.dropAnswers = true, true })
}

// Guards against a task that is started again after it was done, because a late hold for the former incarnation of its worker acknowledges
// the end, whose number the former incarnation had used before.
func TestLateHoldForFormerIncarnationAcknowledgesNoEnd(t *testing.T) {
	withHarness(t, 500*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
		successor := r.startOnSuccessorAfterLateHold(is)
		time.Sleep(4 * time.Second)
		r.workers.update(func() { successor.holdUnanswered, successor.dropAnswers = false, false })
		r.report("a", 1)
		time.Sleep(10 * time.Second)
		is.Equal(r.describe("t"), "done")
	})
}

// Guards against a task that runs twice because the new incarnation of its worker has answered a hold for the former one, with the lease in it.
func TestLeaseFromHoldThatSuccessorAnswersCounts(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["b"].noRoom = true })
		time.Sleep(20*time.Second + 200*time.Millisecond) // a hold has just begun
		r.workers.update(func() { r.workers.byID["a"].holdDelay = 300 * time.Millisecond })
		time.Sleep(950 * time.Millisecond) // its answer is on the way
		successor := r.restart("a", 77, func(f *fakeWorker) { f.ended = []Ended{{Number: 1}} })
		time.Sleep(300 * time.Millisecond)
		r.submit("s", 1, nil)
		r.registerSuccessor(is, successor)
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a task that runs twice because a late hold for the former incarnation of its worker extended the lease of the new one.
func TestLeaseFromLateHoldForFormerIncarnationCounts(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["b"].noRoom = true })
		time.Sleep(20*time.Second + 200*time.Millisecond) // a hold has just begun
		r.workers.update(func() { r.workers.byID["a"].holdLate = 3 * time.Second })
		time.Sleep(300 * time.Millisecond)
		successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered = true })
		time.Sleep(2800 * time.Millisecond)
		r.submit("s", 1, nil)
		r.registerSuccessor(is, successor)
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}
