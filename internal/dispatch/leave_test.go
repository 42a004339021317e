package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// leaves reports that a worker leaves, as the platform does: without its birth time.
func (r *harness) leaves(id string) {
	if err := r.leader.Report(context.Background(), &pb.PoolReport{Worker: &pb.PoolWorker{Id: id}, Leaving: true}); err != nil {
		r.t.Fatal(err)
	}
}

// restartAtWork starts a second incarnation of worker a, on which the endless task of submission s runs, and then worker b.
func (r *harness) restartAtWork(is *is.I) {
	r.restart("a", 77, func(f *fakeWorker) { f.ignoreIncarnation = false })
	r.report("a", 1)
	time.Sleep(200 * time.Millisecond)
	r.startAtA(is)
}

// startAtA starts the endless task of submission s on worker a, and then worker b.
func (r *harness) startAtA(is *is.I) {
	r.submit("s", 1, endless)
	time.Sleep(200 * time.Millisecond)
	is.Equal(r.running("a"), 1)
	r.workers.update(func() { r.workers.byID["b"] = newFakeWorker("b", 1) })
	r.report("b", 1)
	time.Sleep(2 * time.Second) // a lists the task
}

// Guards against a task that runs twice because the leave of an earlier incarnation of its worker was held up and is taken for
// that of the present one.
func TestLateLeaveOfEarlierIncarnationDoesNotRestartTasks(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.restartAtWork(is)
		r.leaves("a")
		time.Sleep(2 * time.Second)
		is.Equal(r.running("a"), 1)
		is.Equal(r.running("b"), 0)
		r.workers.update(func() { r.workers.byID["b"].noRoom = true })
		r.submit("t", 1, endless)
		time.Sleep(time.Second)
		is.Equal(r.running("a"), 2) // it gets tasks again
	})
}

// Guards against a task that runs twice because a late leave of an earlier incarnation arrives while the present one is cut off.
func TestLateLeaveDoesNotEndLeaseOfWorkerThatIsCutOff(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.restartAtWork(is)
		r.leaves("a")
		r.workers.update(func() { r.workers.byID["a"].unreachable = true })
		time.Sleep(4 * time.Second)
		is.Equal(r.running("b"), 0)
		time.Sleep(6 * time.Second) // its lease ends
		is.Equal(r.running("b"), 1)
	})
}

// Guards against tasks that wait for the lease of a worker that has left as announced, also if the leader changes meanwhile.
func TestTasksOfWorkerThatLeftStartAtOnce(t *testing.T) {
	// Reports of leaves arrive after the worker has drained, so that it has listed its tasks.
	for name, end := range map[string]struct {
		change    func(*fakeWorker)
		restarted bool
		within    time.Duration
	}{
		"ended":            {func(f *fakeWorker) { f.refusing = true }, false, 500 * time.Millisecond},
		"ended, restarted": {func(f *fakeWorker) { f.refusing = true }, true, 500 * time.Millisecond},
		"silent":           {func(f *fakeWorker) { f.unreachable = true }, false, 800 * time.Millisecond},
	} {
		for _, newLeader := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
					if end.restarted {
						r.restartAtWork(is)
					} else {
						r.startAtA(is)
					}
					r.leaves("a")
					within := end.within
					if newLeader { // a start of the previous leader may be on its way to the next incarnation
						within += lateCallTimeout + leaveProbeTimeout
						r.replaceLeader(6)
					}
					r.workers.update(func() {
						end.change(r.workers.byID["a"])
						clear(r.workers.byID["a"].running)
					})
					time.Sleep(within)
					is.Equal(r.running("b"), 1)
				})
			})
		}
	}
}

// Guards against a worker that is never suspected of being crashed by a task because an earlier incarnation has left.
func TestCrashAfterLateLeaveCounts(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.restartAtWork(is)
		r.leaves("a")
		time.Sleep(2 * time.Second)
		planned := make(chan bool)
		r.leader.post(func() { planned <- r.leader.endsAsPlanned(submission.Incarnation{ID: "a", BornUnixMs: 77}) })
		is.True(!<-planned)
	})
}

// Guards against a task that runs twice because its worker was cut off right after it had reported its leave, and ran on.
func TestWorkerThatIsCutOffWhileItLeavesKeepsItsLease(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.startAtA(is)
		r.leaves("a")
		r.lose("a")
		time.Sleep(4 * time.Second)
		is.Equal(r.running("b"), 0)
	})
}

// Guards against a worker that counts as ended because the VM that was to ask it could not be reached.
func TestUnaskedWorkerHasNotLeft(t *testing.T) {
	is := is.New(t)
	watch := &leaveWatch{certain: true}
	for range 2 * leaveMisses {
		is.Equal(watch.judge(0, ErrAgentSilent), leaveOpen)
	}
	is.Equal(watch.judge(0, ErrNoAnswer), leaveOpen)
	is.Equal(watch.judge(0, ErrNoAnswer), leaveEnded)
}
