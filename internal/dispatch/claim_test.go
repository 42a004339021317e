package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// usualReport returns a report of worker a as the harness sends it.
func usualReport(sequence uint64) *pb.PoolReport {
	return &pb.PoolReport{Sequence: sequence, Worker: &pb.PoolWorker{Id: "a", BornUnixMs: 1, Pool: "pool", Address: "a", FailureDomain: "d", Rack: "r", Vm: "vm-a",
		Capacity: &pb.Resources{Millicores: 4000, MemoryBytes: 100}}}
}

// oddReports are reports of another writer that name a worker at work or its address.
var oddReports = map[string]func(r *pb.PoolReport){
	"later incarnation":                  func(r *pb.PoolReport) { r.Worker.BornUnixMs = 1 << 40 },
	"later incarnation at other address": func(r *pb.PoolReport) { r.Worker.BornUnixMs, r.Worker.Address = 1<<40, "nowhere" },
	"other address":                      func(r *pb.PoolReport) { r.Worker.Address = "nowhere" },
	"other pool":                         func(r *pb.PoolReport) { r.Worker.Pool = "other" },
	"other id at the address":            func(r *pb.PoolReport) { r.Worker.Id, r.Worker.BornUnixMs = "odd", 1<<40 },
	"other id of unknown pool":           func(r *pb.PoolReport) { r.Worker.Id, r.Worker.BornUnixMs, r.Worker.Pool = "odd", 1<<40, "nobody's" },
	"other id on the VM":                 func(r *pb.PoolReport) { r.Worker.Id, r.Worker.BornUnixMs, r.Worker.Address = "odd", 1<<40, "nowhere" },
	"clock far ahead":                    func(r *pb.PoolReport) { r.ClockMs = 1 << 52 },
}

// Guards against a task that runs twice, or whose lease is lost sight of, because of a report that its worker has not sent.
func TestOddReportDoesNotTouchWorkerAtWork(t *testing.T) {
	for name, change := range oddReports {
		t.Run(name, func(t *testing.T) {
			withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
				r.startAtA(is)
				odd := usualReport(2)
				change(odd)
				is.NoErr(r.leader.Report(context.Background(), odd))
				time.Sleep(12 * time.Second) // longer than a lease
				is.Equal(r.running("a"), 1)
				is.Equal(r.running("b"), 0)
				draining := usualReport(3)
				draining.Worker.Draining = true
				is.NoErr(r.leader.Report(context.Background(), draining)) // its own reports still count
				is.True(r.isDraining("a"))
			})
		})
	}
}

func (r *harness) isDraining(id string) bool {
	draining := false
	r.state.View(func(s *submission.State) { draining = s.Workers()[id].GetDraining() })
	return draining
}

// Guards against an odd report of a worker that is cut off, whose tasks start elsewhere before its lease is over.
func TestOddReportDoesNotEndLeaseOfWorkerThatIsCutOff(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.startAtA(is)
		r.workers.update(func() { r.workers.byID["a"].unreachable = true })
		odd := usualReport(2)
		odd.Worker.Id, odd.Worker.BornUnixMs = "odd", 1<<40
		is.NoErr(r.leader.Report(context.Background(), odd))
		time.Sleep(4 * time.Second)
		is.Equal(r.running("b"), 0)
		time.Sleep(7 * time.Second)
		is.Equal(r.running("b"), 1)
	})
}

// Guards against a worker that has restarted, also at another address, being noticed late because its report is verified.
func TestRestartIsNoticedAtOnce(t *testing.T) {
	for _, address := range []string{"a", "elsewhere"} {
		t.Run(address, func(t *testing.T) {
			withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
				r.startAtA(is)
				r.restart("a", 77, func(f *fakeWorker) { f.address, f.ignoreIncarnation = address, false })
				began := time.Now()
				r.report("a", 1)
				time.Sleep(50 * time.Millisecond)
				is.Equal(r.running("a")+r.running("b"), 1)
				t.Logf("restarted tasks run %v after the report at the latest", time.Since(began))
			})
		})
	}
}

// Guards against a worker that is called for each of its reports, since an earlier one on its VM has not been given up yet.
func TestVerifiedWorkerIsNotVerifiedAgain(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].unreachable = true })
		next := newFakeWorker("next", 77)
		r.workers.update(func() { r.workers.byID["next"] = next })
		report := func(sequence uint64) {
			p := usualReport(sequence)
			p.Worker.Id, p.Worker.BornUnixMs, p.Worker.Address = "next", 77, "next"
			is.NoErr(r.leader.Report(context.Background(), p))
		}
		report(1)
		time.Sleep(5 * time.Second)
		holds := func() (n int) {
			r.workers.update(func() { n = next.holds })
			return n
		}
		before := holds()
		for sequence := range uint64(20) {
			report(sequence + 2)
		}
		is.True(holds()-before < 5)
	})
}

// falseReport reports a later incarnation of worker a as another writer would.
func (r *harness) falseReport(is *is.I, address string) {
	is.Helper()
	odd := usualReport(2)
	odd.Worker.BornUnixMs, odd.Worker.Address = 1<<40, address
	is.NoErr(r.leader.Report(context.Background(), odd))
}

// worksAsBorn checks that worker a is known with a birth time and gets tasks.
func (r *harness) worksAsBorn(is *is.I, born int64) {
	is.Helper()
	r.submit("after", 2, nil)
	time.Sleep(maxOutage)
	is.Equal(r.describe("after"), "done")
	r.state.View(func(s *submission.State) { is.Equal(s.Workers()["a"].GetBornUnixMs(), born) })
}

// Guards against a worker that is never used again because a false report was believed while it was down.
func TestFalseReportOfWorkerThatIsDownIsNotBelieved(t *testing.T) {
	for name, down := range map[string]func(r *harness, f *fakeWorker){
		"connections refused": func(r *harness, f *fakeWorker) { r.workers.crash(f) },
		"dark": func(r *harness, f *fakeWorker) {
			r.workers.crashDark = true
			r.workers.crash(f)
		},
		"for long": func(r *harness, f *fakeWorker) {
			r.workers.crash(f)
			time.Sleep(silenceTimeout + 5*time.Second)
		},
		"left": func(r *harness, f *fakeWorker) {
			r.leaves("a")
			r.workers.crash(f)
			time.Sleep(time.Second)
		},
	} {
		for _, address := range []string{"a", "nowhere"} {
			t.Run(name+"/"+address, func(t *testing.T) {
				withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
					down(r, r.workers.byID["a"])
					for range 20 {
						r.falseReport(is, address)
						time.Sleep(100 * time.Millisecond)
					}
					r.restart("a", 77, func(*fakeWorker) {})
					r.report("a", 1)
					r.worksAsBorn(is, 77)
				})
			})
		}
	}
}

// Guards against a worker that stays unused because its true report came before calls reached it, or because it answers slowly.
func TestTrueReportIsBelievedOnceWorkerAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(f *fakeWorker)
		reports uint64
	}{
		"reached later":      {func(f *fakeWorker) { f.unreachable = true }, 5},
		"slow":               {func(f *fakeWorker) { f.holdDelay = 2 * claimProbeTimeout }, 5},
		"slow, reports lost": {func(f *fakeWorker) { f.holdDelay = 2 * claimProbeTimeout }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
				r.workers.crash(r.workers.byID["a"])
				next := r.restart("a", 77, func(f *fakeWorker) { f.address = "elsewhere" })
				r.workers.update(func() { c.change(next) })
				for sequence := range c.reports {
					r.report("a", sequence+1)
					time.Sleep(time.Second)
					r.workers.update(func() { next.unreachable = false })
				}
				r.worksAsBorn(is, 77)
			})
		})
	}
}
