package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against workers that stay unused because they restarted while their reports did not arrive, and against a task that is lost
// with the last worker that could report.
func TestWorkerThatRestartsWithoutReportIsUsed(t *testing.T) {
	for _, downtime := range []time.Duration{0, 2 * time.Second, 2 * targetLease} {
		withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
			serves := func(f *fakeWorker) { f.serving = "before" }
			r.workers.update(func() { serves(r.workers.byID["a"]) })
			r.submit("before", 2, endless)
			time.Sleep(time.Second)
			is.Equal(r.running("a"), 2)
			r.lose("a")
			time.Sleep(downtime)
			r.restart("a", 77, serves)
			time.Sleep(maxOutage)
			is.Equal(r.running("a"), 2)
			r.submit("after", 2, nil)
			time.Sleep(1500 * time.Millisecond)
			is.Equal(r.describe("after"), "done")
		})
	}
}

// Guards against a task that needs a label and starts on a worker whose labels may have changed with its restart.
func TestLabelsOfRestartedWorkerAreUnknownUntilItReports(t *testing.T) {
	withHarness(t, time.Second, nil, func(is *is.I, r *harness) {
		w := newFakeWorker("a", 1)
		r.workers.update(func() { r.workers.byID["a"] = w })
		report := func(sequence uint64, born int64) {
			is.NoErr(r.leader.Report(context.Background(), &pb.PoolReport{Sequence: sequence, ClockMs: w.clockMs(time.Now()), Worker: &pb.PoolWorker{Id: "a", BornUnixMs: born,
				Pool: "pool", Address: "a", FailureDomain: "d", Labels: []string{"large"}, Capacity: &pb.Resources{Millicores: 4000, MemoryBytes: 100}}}))
		}
		report(1, 1)
		time.Sleep(100 * time.Millisecond)
		w = r.restart("a", 77, func(*fakeWorker) {})
		time.Sleep(2 * time.Second)
		r.submit("any", 1, nil)
		r.submit("large", 1, func(s *pb.Step) { s.Label = "large" })
		time.Sleep(2 * time.Second)
		is.Equal(r.describe("any"), "done")
		is.Equal(r.describe("large"), "queued")
		report(1, 77)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(r.describe("large"), "done")
	})
}

// listing is a platform that names the worker on each VM.
type listing struct {
	mu    sync.Mutex
	vms   []VM
	calls int
}

func (p *listing) VMs(context.Context) (VMList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return VMList{VMs: p.vms}, nil
}

func (p *listing) called() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *listing) Upkeep(context.Context, string, uint64, string, uint64) error { return nil }

// replaceUnreported puts worker b in the place of worker a. The platform names it, but it does not report.
func (r *harness) replaceUnreported(p *listing) {
	b := newFakeWorker("b", 77)
	b.address, b.ignoreIncarnation, b.serving = "a", true, "s"
	r.workers.update(func() {
		r.workers.byID["a"].incarnation.ID = "b" // which refuses calls meant for a
		clear(r.workers.byID["a"].running)
		r.workers.byID["b"] = b
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = []VM{{ID: "vm-a", Pool: "pool", Up: true, Worker: "b", Rack: "r", Capacity: &pb.Resources{Millicores: 4000, MemoryBytes: 100}}}
}

// Guards against a VM that stays unused because the worker on it was replaced by one under another id whose reports do not arrive.
func TestReplacedWorkerIsUsedWithoutReport(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
			platform := &listing{}
			r.platform = platform
			r.replaceLeader(6)
			r.workers.update(func() { r.workers.byID["a"].serving = "s" })
			r.submit("s", 2, endless)
			time.Sleep(time.Second)
			is.Equal(r.running("a"), 2)
			r.replaceUnreported(platform)
			time.Sleep(2 * holdWait) // the session with a has ended
			if newLeader {
				r.replaceLeader(7)
			}
			time.Sleep(maxOutage)
			is.Equal(r.running("b"), 2)
			calls := platform.called()
			time.Sleep(successorTimeout)
			is.Equal(platform.called(), calls) // nothing is looked for any more
		})
	}
}

// Guards against a platform that is asked for ever about a worker that does not come back.
func TestSearchForSuccessorsEnds(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		platform := &listing{}
		r.platform = platform
		r.replaceLeader(6)
		time.Sleep(time.Second)
		r.replaceUnreported(platform)
		r.lose("b")
		time.Sleep(2 * successorTimeout)
		calls := platform.called()
		is.True(calls > 2)
		is.True(calls < 10)
		time.Sleep(successorTimeout)
		is.Equal(platform.called(), calls)
	})
}

// Guards against a worker that stays unused because the commit of its next incarnation failed, which had not reported.
func TestSuccessorIsRegisteredAfterFailedCommit(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.log.failing(errNoCommit)
		r.restart("a", 77, func(*fakeWorker) {})
		time.Sleep(3 * time.Second)
		r.log.failing(nil)
		r.submit("after", 2, nil)
		time.Sleep(maxOutage)
		is.Equal(r.describe("after"), "done")
	})
}

// Guards against a worker that is used in a former pool for ever because it was registered before its first report.
func TestSuccessorInOtherPoolIsKnownByItsReport(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		config := &pb.ServiceConfig{Version: 2}
		r.state.View(func(s *submission.State) { config.Queues = s.Config().GetQueues() })
		config.Pools = []*pb.Pool{{Name: "pool", Guards: true}, {Name: "other", Guards: true}}
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: config}})
		r.restart("a", 77, func(*fakeWorker) {})
		time.Sleep(3 * time.Second)
		report := usualReport(1)
		report.Worker.BornUnixMs, report.Worker.Pool = 77, "other"
		is.NoErr(r.leader.Report(context.Background(), report))
		time.Sleep(time.Second)
		pool := ""
		r.state.View(func(s *submission.State) { pool = s.Workers()["a"].GetPool() })
		is.Equal(pool, "other")
	})
}

// Guards against a worker that stays unused because it restarted without a report after it had reported its leave.
func TestWorkerThatRestartsAfterItsLeaveIsUsed(t *testing.T) {
	for _, downtime := range []time.Duration{0, 150 * time.Millisecond, 2 * time.Second} {
		t.Run(downtime.String(), func(t *testing.T) {
			for _, newLeader := range []bool{false, true} {
				withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
					r.leaves("a")
					if downtime > 0 {
						r.workers.update(r.workers.byID["a"].exit)
					}
					time.Sleep(downtime)
					if newLeader {
						r.replaceLeader(6)
					}
					r.restart("a", 77, func(*fakeWorker) {})
					r.submit("after", 2, nil)
					time.Sleep(maxOutage)
					is.Equal(r.describe("after"), "done")
				})
			}
		})
	}
}

// Guards against a worker that stays unused after its leave because it takes half a second to answer, as over a slow route.
func TestWorkerThatAnswersSlowlyAfterItsLeaveIsUsed(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.leaves("a")
		r.workers.update(r.workers.byID["a"].exit)
		time.Sleep(2 * time.Second)
		r.restart("a", 77, func(f *fakeWorker) { f.holdDelay = 500 * time.Millisecond })
		r.submit("after", 2, nil)
		time.Sleep(maxOutage)
		is.Equal(r.describe("after"), "done")
	})
}

// Guards against a VM that stays unused because its worker had reported its leave before one under another id took its place without a report.
func TestReplacementOfWorkerThatHasLeftIsUsedWithoutReport(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
			platform := &listing{}
			r.platform = platform
			r.replaceLeader(6)
			time.Sleep(time.Second)
			r.leaves("a")
			r.workers.update(r.workers.byID["a"].exit)
			time.Sleep(time.Second)
			if newLeader {
				r.replaceLeader(7)
			}
			r.workers.update(func() { r.workers.byID["a"].refusing, r.workers.byID["a"].closes = false, false })
			r.replaceUnreported(platform)
			r.submit("s", 2, endless)
			time.Sleep(maxOutage)
			is.Equal(r.running("b"), 2)
		})
	}
}

// Guards against a worker that is never called again because it was silent for a minute and its reports do not arrive.
func TestWorkerThatAnswersAfterLongSilenceIsUsed(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.lose("a")
		time.Sleep(silenceTimeout + 5*time.Second)
		r.workers.update(func() { r.workers.byID["a"].unreachable = false })
		r.submit("after", 2, nil)
		time.Sleep(maxOutage)
		is.Equal(r.describe("after"), "done")
	})
}
