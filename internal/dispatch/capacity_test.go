package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against a new leader that takes a delayed report for news and fills a worker that has shrunk since.
func TestDelayedReportDoesNotRestoreCapacity(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		is.NoErr(r.reportCapacity("a", 9, 2000))
		r.replaceLeader(6)
		time.Sleep(100 * time.Millisecond)
		is.NoErr(r.reportCapacity("a", 8, 4000))
		is.Equal(r.capacity("a"), int64(2000))
		r.submit("s", 4, nil)
		time.Sleep(2 * time.Second)
		is.Equal(r.peak("a"), 2)
	})
}

// Guards against a worker whose room is not used again after it has grown.
func TestGrownCapacityIsUsed(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		is.NoErr(r.reportCapacity("a", 2, 1000))
		r.submit("s", 4, nil)
		time.Sleep(time.Second)
		is.Equal(r.running("a"), 1)
		is.NoErr(r.reportCapacity("a", 3, 4000))
		time.Sleep(time.Second)
		is.Equal(r.running("a"), 4)
	})
}

// Guards against a report that is acknowledged when it is sent again, although the commit of its change has failed.
func TestRepeatedReportIsCommittedAfterFailure(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.log.update(func(f *fakeLog) { f.err = errNoCommit })
		is.True(r.reportCapacity("a", 2, 2000) != nil)
		r.log.update(func(f *fakeLog) { f.err = nil })
		is.NoErr(r.reportCapacity("a", 2, 2000))
		is.Equal(r.capacity("a"), int64(2000))
	})
}

// Guards against a start that is sent again after its refusal, while its end is being committed: the worker may have room by then,
// and the task would run there and on the worker on which it is placed next.
func TestRefusedStartIsNotSentAgain(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].noRoom = true })
		r.submit("s", 1, nil)
		time.Sleep(4 * time.Millisecond) // the start is being committed
		r.log.update(func(f *fakeLog) { f.delay = 2 * time.Second })
		time.Sleep(300 * time.Millisecond)
		r.workers.update(func() {
			is.Equal(r.workers.byID["a"].refusals, 1)
			r.workers.byID["a"].noRoom = false
		})
		time.Sleep(1500 * time.Millisecond)
		r.workers.update(func() { is.Equal(r.workers.byID["a"].starts, 0) })
	})
}

// shrinkGrace is how long after a worker has shrunk a start may still go by its former capacity: the platform's stable window and
// one heartbeat.
const shrinkGrace = 3*time.Second + 1100*time.Millisecond

// Guards against starts that go out by the capacity for which they were planned, although the worker has shrunk while their
// entry was being committed.
func TestStartsCommittedLateKeepToShrunkCapacity(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.log.update(func(f *fakeLog) { f.delay = shrinkGrace + 200*time.Millisecond })
		r.submit("s", 4, nil)
		time.Sleep(100 * time.Millisecond)
		go func() { _ = r.reportCapacity("a", 2, 2000) }()
		time.Sleep(shrinkGrace)
		is.Equal(r.running("a"), 0)
		time.Sleep(time.Minute)
		is.Equal(r.peak("a"), 2)
	})
}

// Guards against a leader that plans with a capacity that it knows to be out of date, because the report could not be committed.
func TestUncommittedShrinkLimitsStarts(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.log.update(func(f *fakeLog) { f.err = errNoCommit })
		is.True(r.reportCapacity("a", 2, 2000) != nil)
		r.log.update(func(f *fakeLog) { f.err = nil })
		time.Sleep(shrinkGrace)
		r.submit("s", 4, nil)
		time.Sleep(2 * time.Second)
		is.Equal(r.peak("a"), 2)
	})
}

// Guards against starts on a worker that still runs or stops attempts which are not placed there, such as a delayed start of a
// submission that was cancelled meanwhile.
func TestStrayAttemptsOccupyTheirWorker(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("stray", 3, nil)
		time.Sleep(2 * time.Second)
		is.Equal(r.running("a"), 3)
		r.workers.update(func() { r.workers.byID["a"].stopTime = 900 * time.Millisecond })
		// Their ends are committed although they run, as for a start that is carried out later than it counts as refused.
		changes := []*pb.SubmissionChange{{Change: &pb.SubmissionChange_Cancel{Cancel: &pb.CancelSubmission{Id: "stray"}}}}
		for i := range uint32(3) {
			changes = append(changes, &pb.SubmissionChange{Change: &pb.SubmissionChange_End{End: &pb.TaskEnd{Task: submission.Ref{Submission: "stray", Index: i}.Proto(),
				Attempt: 1, Worker: "a", WorkerBornUnixMs: 1, Kind: pb.TaskEndKind_TASK_END_KIND_REFUSED}}})
		}
		r.commit(changes...)
		r.submit("s", 4, nil)
		time.Sleep(5 * time.Second)
		is.Equal(r.peak("a"), 4)
	})
}

// unguard makes the workers of the pool start whatever they are told to.
func (r *harness) unguard() {
	config := &pb.ServiceConfig{Version: 2}
	r.state.View(func(s *submission.State) { config.Queues = s.Config().GetQueues() })
	config.Pools = []*pb.Pool{{Name: "pool"}}
	r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: config}})
}

// Guards against a new leader that fills workers which do not guard their capacity by what they reported to the previous one: they
// may have shrunk while there was no leader to hear of it.
func TestNewLeaderAwaitsReportOfUnguardedWorker(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.unguard()
		r.leader.Close()
		r.newLeader()
		time.Sleep(shrinkGrace) // the worker has shrunk at the beginning of this time
		r.lead(6)
		r.submit("s", 4, nil)
		time.Sleep(time.Second)
		is.True(r.peak("a") <= 2)
		is.NoErr(r.reportCapacity("a", 2, 2000))
		time.Sleep(time.Second)
		is.Equal(r.peak("a"), 2)
	})
}

// Guards against unguarded workers that no new leader uses because their reports do not arrive: a whole pool stood still though intake
// VMs reached it.
func TestUnguardedWorkerWhoseReportsDoNotArriveIsUsed(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.unguard()
		is.NoErr(r.reportCapacity("a", 2, 2000))
		r.replaceLeader(6)
		r.submit("s", 4, endless)
		time.Sleep(shrinkGrace)
		is.Equal(r.running("a"), 0)
		time.Sleep(reportWait - shrinkGrace + 500*time.Millisecond)
		is.Equal(r.running("a"), 2)
		is.Equal(r.peak("a"), 2)
	})
}

// Guards against an unguarded worker that is never used because its first report, or an unchanged one, does not count as heard.
func TestUnguardedWorkerIsUsedOnceItReports(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.unguard()
		r.submit("s", 1, nil)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a"), 1)
		r.replaceLeader(6)
		r.report("a", 2)
		r.submit("t", 1, nil)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a"), 2)
	})
}
