package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against the tasks of a dead worker that stay placed on it for ever because the commit of their ends failed once.
func TestFailedCommitDoesNotStrandTasksOfDeadWorker(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("s", 1, endless)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a"), 1)
		r.workers.update(func() {
			r.workers.byID["a"].unreachable = true
			r.workers.byID["b"] = newFakeWorker("b", 1)
		})
		r.report("b", 1)
		r.log.failing(errors.New("no quorum for a moment"))
		time.Sleep(12 * time.Second) // the lease is over by then
		r.log.failing(nil)
		time.Sleep(time.Second)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against the tasks of a replaced incarnation that stay placed on it for ever because the commit that it has gone failed
// once, and its successor never registers.
func TestFailedCommitDoesNotStrandTasksOfReplacedWorker(t *testing.T) {
	withHarness(t, time.Minute, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["b"].noRoom = true })
		r.submit("s", 1, endless)
		time.Sleep(4 * time.Second)
		is.Equal(r.running("a"), 1)
		r.log.failing(errors.New("no quorum for a moment"))
		r.workers.update(func() {
			r.workers.byID["b"].noRoom = false
			r.workers.byID["a"].incarnation.ID = "other" // another worker answers at the address
			clear(r.workers.byID["a"].running)
		})
		time.Sleep(2 * time.Second)
		r.log.failing(nil)
		time.Sleep(7 * time.Second) // the rule allows 9 s without a run
		is.Equal(r.running("b"), 1)
	})
}

// sicken makes a worker answer neither starts nor stops, but holds.
func (r *harness) sicken(id string) {
	r.workers.update(func() { r.workers.byID[id].unavailable, r.workers.byID[id].stopUnanswered = true, true })
}

// Guards against a task that stays placed on a sick worker, which answers neither starts nor stops but holds, for as long as the
// worker is sick. The lease in the start is short, so that a later hold shows that the start cannot be carried out any more.
func TestSickWorkerDoesNotKeepTask(t *testing.T) {
	withHarness(t, time.Minute, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.sicken("a")
		r.submit("s", 1, endless)
		time.Sleep(9 * time.Second) // the rule allows 6 s without a run and 3 s more
		is.Equal(r.running("b"), 1)
	})
}

// Guards against an endless task that finds no worker because hopeless submissions keep all of them in quarantine.
func TestHopelessSubmissionsDoNotStrandEndlessTask(t *testing.T) {
	withHarness(t, time.Minute, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
		submitted := make(chan struct{})
		go func() {
			defer close(submitted)
			for i := range 100 {
				r.submit(fmt.Sprint(hopeless, i), 2, nil)
				time.Sleep(200 * time.Millisecond)
			}
		}()
		time.Sleep(3 * time.Second)
		r.submit("s", 3, endless)
		longest, complete := time.Duration(0), time.Now()
		for range 300 {
			time.Sleep(50 * time.Millisecond)
			if r.running("a")+r.running("b")+r.running("c") == 3 {
				complete = time.Now()
			}
			longest = max(longest, time.Since(complete))
		}
		<-submitted
		time.Sleep(10 * time.Second)     // no commit may be in progress when the test ends
		is.True(longest < 9*time.Second) // the rule allows 6 s without a run and 3 s more
	})
}

// Guards against a gang that waits for as long as the worker of one member is sick.
func TestSickWorkerDoesNotKeepGang(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.sicken("a")
		r.submit("s", 4, func(s *pb.Step) { s.Gang = true })
		time.Sleep(9 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against the same across a change of the leader: the next one does not know what was sent.
func TestSickWorkerDoesNotKeepTaskOfPreviousLeader(t *testing.T) {
	withHarness(t, time.Minute, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.sicken("a")
		r.submit("s", 1, endless)
		time.Sleep(300 * time.Millisecond)
		r.lead(6)
		time.Sleep(9 * time.Second)
		is.Equal(r.running("b"), 1)
	})
}

// atPhases runs f with a new harness for each phase below end, in steps of interval.
func atPhases(t *testing.T, end, interval time.Duration, ids []string, f func(is *is.I, r *harness, phase time.Duration)) {
	for phase := time.Duration(0); phase < end; phase += interval {
		t.Run(phase.String(), func(t *testing.T) {
			withHarness(t, time.Second, ids, func(is *is.I, r *harness) { f(is, r, phase) })
		})
	}
}

// checkTaskAndGangEnd submits a task and a gang, and checks that both are done in time although a worker is sick.
func (r *harness) checkTaskAndGangEnd(is *is.I, gangTasks uint32) {
	r.submit("alone", 1, nil)
	r.submit("gang", gangTasks, func(s *pb.Step) { s.Gang = true })
	time.Sleep(9 * time.Second) // the rule allows 6 s without a run and 3 s more
	is.Equal(r.describe("alone"), "done")
	is.Equal(r.describe("gang"), "done")
}

// Guards against a task or gang that a sick worker keeps since each of its answers to holds arrives while a stop is in progress.
func TestSickWorkerKeepsNothingWheneverItAnswers(t *testing.T) {
	atPhases(t, 1500*time.Millisecond, 50*time.Millisecond, []string{"a", "b"}, func(is *is.I, r *harness, phase time.Duration) {
		time.Sleep(phase)
		r.sicken("a")
		r.checkTaskAndGangEnd(is, 4)
	})
}

// Guards against a task or gang that goes back to a sick worker each time that its attempt there has ended, since the worker is
// the emptiest.
func TestSickWorkerIsNotTriedAgainAndAgain(t *testing.T) {
	atPhases(t, 1800*time.Millisecond, 100*time.Millisecond, []string{"b"}, func(is *is.I, r *harness, phase time.Duration) {
		r.workers.update(func() { r.workers.byID["b"].serving = "service" })
		r.submit("service", 1, endless)
		time.Sleep(time.Second)
		r.workers.update(func() {
			a := newFakeWorker("a", 1)
			a.unavailable, a.stopUnanswered, a.holdDelay = true, true, 300*time.Millisecond
			r.workers.byID["a"] = a
		})
		r.report("a", 1)
		time.Sleep(100*time.Millisecond + phase)
		r.checkTaskAndGangEnd(is, 2)
	})
}

// Guards against a task that a sick worker keeps after a change of the leader, since the next one stops it without having sent a start.
func TestSickWorkerKeepsNothingThatNextLeaderDoesNotStart(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].startsReset, r.workers.byID["a"].stopUnanswered = true, true })
		r.submit("s", 1, nil)
		time.Sleep(100 * time.Millisecond)
		r.reportDraining("a", 2)
		r.workers.update(func() { r.workers.byID["b"] = newFakeWorker("b", 2) })
		r.report("b", 1)
		r.lead(6)
		time.Sleep(9 * time.Second) // the rule allows 6 s without a run and 3 s more
		is.Equal(r.describe("s"), "done")
	})
}
