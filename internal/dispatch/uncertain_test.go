package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

func endless(s *pb.Step) { s.Endless = true }

// restart replaces a worker by a new incarnation with the same id, which carries out calls meant for the previous one.
func (r *harness) restart(id string, born int64, change func(*fakeWorker)) *fakeWorker {
	f := newFakeWorkers(r.t, r.workers.work, id).byID[id]
	f.incarnation.BornUnixMs, f.ignoreIncarnation = born, true
	change(f)
	r.workers.update(func() { r.workers.byID[id] = f })
	return f
}

// uncertainAt places an endless task on worker a, whose start gets no answer, and registers a second incarnation of a.
func (r *harness) uncertainAt(change func(*fakeWorker)) {
	r.report("a", 1)
	time.Sleep(100 * time.Millisecond)
	r.workers.update(func() { r.workers.byID["a"].unreachable = true })
	r.submit("s", 1, endless)
	time.Sleep(300 * time.Millisecond)
	r.restart("a", 77, change)
	r.report("a", 1)
}

// Guards against an endless task that never starts again because its worker restarts twice, and the second restart comes while
// the stop of an uncertain start is on its way to the first new incarnation.
func TestSecondRestartDoesNotStrandTask(t *testing.T) {
	withHarness(t, time.Minute, []string{"b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["b"].noRoom = true })
		r.workers.update(func() { r.workers.byID["a"] = newFakeWorkers(t, time.Minute, "a").byID["a"] })
		r.uncertainAt(func(f *fakeWorker) { f.stopUnanswered = true })
		time.Sleep(300 * time.Millisecond) // the stop to the first new incarnation is in progress
		r.restart("a", 78, func(*fakeWorker) {})
		r.report("a", 1)
		time.Sleep(9 * time.Second) // the rule allows 6 s without a run and 3 s more
		is.Equal(r.running("a"), 1)
	})
}

// Guards against a task that runs twice because one incarnation is known to refuse an uncertain start, while a later one, which has not
// been asked, carries the start out.
func TestRefusalHoldsForOneIncarnation(t *testing.T) {
	withHarness(t, time.Minute, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startLate(2500*time.Millisecond, 300*time.Millisecond)
		first := r.restart("a", 77, func(f *fakeWorker) { f.noRoom = true })
		r.report("a", 1)
		time.Sleep(300 * time.Millisecond)
		r.workers.update(func() { is.True(first.holds > 1) }) // it has answered its session
		second := r.restart("a", 78, func(f *fakeWorker) { f.unreachable = true })
		r.awaitRunning(is, "a")
		r.workers.update(func() { second.unreachable, r.workers.byID["b"].noRoom = false, false })
		r.report("a", 1)
		time.Sleep(time.Second)
		is.True(second.revokedAttempt(r, "s") > 0)
		time.Sleep(20 * time.Second)
		is.Equal(r.running("a")+r.running("b"), 1)
	})
}

func (f *fakeWorker) revokedAttempt(r *harness, id string) uint32 {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	return f.revoked[submission.Ref{Submission: id}]
}

// Guards against an endless task that waits for a minute, until the session closes, because the new incarnation of its worker
// falls silent at once. It may hold the task only for a delayed call and the longest lease that a worker accepts.
func TestSilentNewIncarnationDoesNotStrandTask(t *testing.T) {
	withHarness(t, time.Minute, []string{"b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"] = newFakeWorkers(t, time.Minute, "a").byID["a"] })
		r.workers.update(func() { r.workers.byID["b"].noRoom = true })
		r.uncertainAt(func(f *fakeWorker) { f.unreachable = true })
		time.Sleep(3500 * time.Millisecond)
		r.workers.update(func() { // the worst case: a delayed call is carried out now, with the longest lease on a slow clock
			f := r.workers.byID["a"]
			f.running[submission.Ref{Submission: "s"}] = &fakeRun{attempt: 1, began: time.Now()}
			f.lease = time.Now().Add(10200 * time.Millisecond)
			r.workers.byID["b"].noRoom = false
		})
		time.Sleep(lateCallTimeout + 8*time.Second)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a leader that hangs for good, with the replicated state locked, if an entry is applied while a worker registers again.
func TestRegistrationDoesNotWaitForItself(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, time.Hour, "a")
	r.leader.Close()
	var applying atomic.Bool
	r.onClock = func() {
		if applying.Load() {
			go r.state.Apply(0, 0, nil)
			time.Sleep(2 * time.Millisecond) // until it waits for the readers
		}
	}
	r.newLeader()
	r.lead(5)
	r.report("a", 1)
	r.submit("s", 1, nil)
	time.Sleep(300 * time.Millisecond)
	is.Equal(r.running("a"), 1)
	r.workers.update(func() { r.workers.byID["a"].unreachable = true })
	r.submit("unanswered", 1, nil)
	time.Sleep(200 * time.Millisecond)
	r.restart("a", 77, func(*fakeWorker) {})
	applying.Store(true)
	registered := make(chan struct{})
	go func() {
		r.report("a", 1)
		close(registered)
	}()
	select {
	case <-registered:
		applying.Store(false)
		r.finish()
	case <-time.After(10 * time.Second):
		t.Fatal("the report is not answered")
	}
}

// Guards against a task that waits for as long as the next incarnation of its worker answers holds but no stops.
func TestSickSuccessorDoesNotHoldUpTask(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].startsReset = true })
		r.submit("s", 1, endless)
		time.Sleep(100 * time.Millisecond)
		r.workers.update(func() { r.workers.byID["b"] = newFakeWorker("b", 2) })
		r.report("b", 1)
		r.restart("a", 77, func(f *fakeWorker) { f.stopUnanswered = true })
		r.report("a", 1)
		time.Sleep(9 * time.Second) // the rule allows 6 s without a run and 3 s more
		is.Equal(r.running("a")+r.running("b"), 1)
	})
}

// Guards against a task that waits for ever because a false report named a successor of its worker while that could not be asked.
func TestFalseReportOfSuccessorDoesNotHoldUpTask(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].startsReset = true })
		r.submit("s", 1, endless)
		time.Sleep(100 * time.Millisecond)
		r.lose("a")
		odd := usualReport(2)
		odd.Worker.BornUnixMs, odd.Worker.Address = 77, "elsewhere"
		is.NoErr(r.leader.Report(context.Background(), odd))
		r.workers.update(func() { r.workers.byID["a"].unreachable = false })
		time.Sleep(5 * time.Second) // the start is given up
		r.workers.update(func() { r.workers.byID["a"].startsReset = false })
		time.Sleep(maxOutage)
		is.Equal(r.running("a"), 1)
	})
}
