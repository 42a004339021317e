package dispatch

import (
	"context"
	"fmt"
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

// throughSnapshot replaces the leader by one whose state comes from a snapshot.
func (r *harness) throughSnapshot() {
	r.leader.Close()
	snapshot, err := r.state.Snapshot()
	if err != nil {
		r.t.Fatal(err)
	}
	if err := r.state.Restore(snapshot); err != nil {
		r.t.Fatal(err)
	}
	r.replaceLeader(7)
}

// falseRecords are records of another writer that the replicated state holds before worker a, born at 1, is heard again.
var falseRecords = map[string]func(w *pb.PoolWorker){
	"later incarnation":                  func(w *pb.PoolWorker) { w.BornUnixMs = 1 << 40 },
	"later incarnation at other address": func(w *pb.PoolWorker) { w.BornUnixMs, w.Address = 1<<40, "nowhere" },
	"later incarnation that is gone":     func(w *pb.PoolWorker) { w.BornUnixMs, w.Gone = 1<<40, true },
	"other id at the address":            func(w *pb.PoolWorker) { w.Id, w.BornUnixMs = "odd", 1<<40 },
}

// Guards against a worker that is turned away for ever because its id or its address is in a record of another writer.
func TestFalseRecordDoesNotShutWorkerOut(t *testing.T) {
	for name, change := range falseRecords {
		for _, known := range []bool{false, true} {
			for _, later := range []func(r *harness){
				func(*harness) {},
				func(*harness) { time.Sleep(silenceTimeout + 5*time.Second) },
				func(r *harness) { r.replaceLeader(7) },
				(*harness).throughSnapshot,
			} {
				t.Run(name, func(t *testing.T) {
					withHarness(t, time.Second, nil, func(is *is.I, r *harness) {
						worker := newFakeWorker("a", 1)
						worker.unreachable, worker.ignoreIncarnation = true, true
						r.workers.update(func() { r.workers.byID["a"] = worker })
						if known {
							r.report("a", 1)
						}
						odd := usualReport(0).GetWorker()
						change(odd)
						r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Worker{Worker: odd}})
						r.replaceLeader(6)
						time.Sleep(time.Second)
						later(r)
						r.workers.update(func() { worker.unreachable = false })
						for sequence := range uint64(4) {
							r.report("a", sequence+2)
							time.Sleep(time.Second)
						}
						r.worksAsBorn(is, 1)
					})
				})
			}
		}
	}
}

// Guards against a delayed report of a former incarnation that replaces the present one while that is cut off from a new leader.
func TestDelayedReportDoesNotReplaceWorkerThatIsCutOff(t *testing.T) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		next := r.restart("a", 77, func(*fakeWorker) {})
		r.report("a", 1)
		for _, unreachable := range []bool{true, false} {
			r.workers.update(func() { next.unreachable = unreachable })
			r.replaceLeader(6)
			is.NoErr(r.leader.Report(context.Background(), usualReport(9)))
			time.Sleep(5 * time.Second)
			r.state.View(func(s *submission.State) { is.Equal(s.Workers()["a"].GetBornUnixMs(), int64(77)) })
		}
	})
}

// Guards against a worker that is turned away for ever because its clock was set back before it restarted under its id, and against a task
// of its former incarnation that runs twice.
func TestWorkerThatRestartsWithEarlierClockIsUsed(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		withHarness(t, 3*time.Second, []string{"b"}, func(is *is.I, r *harness) {
			r.workers.update(func() {
				r.workers.byID["a"], r.workers.byID["b"].noRoom = newFakeWorker("a", 77), true
				r.workers.byID["a"].startsReset = true
			})
			r.report("a", 1)
			time.Sleep(time.Second)
			r.submit("s", 1, nil)
			time.Sleep(300 * time.Millisecond)
			if newLeader {
				r.workers.update(func() { r.workers.byID["a"].unreachable = true })
				r.replaceLeader(6)
			}
			r.restart("a", 50, func(*fakeWorker) {})
			r.workers.update(func() { r.workers.byID["b"].noRoom = false })
			for sequence := range uint64(10) {
				r.report("a", sequence+1)
				time.Sleep(time.Second)
			}
			is.Equal(r.describe("s"), "done")
			r.worksAsBorn(is, 50)
		})
	}
}

// Guards against a task that runs twice because the report of a new incarnation, which has carried out its start, is taken for false: a
// partition refuses connections to it.
func TestReportFromBehindRefusingPartitionIsNotRefuted(t *testing.T) {
	for name, change := range map[string]func(*pb.Step){"finite": nil, "endless": endless} {
		for _, reportAfter := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s, report after %v", name, reportAfter), func(t *testing.T) {
				withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
					r.workers.update(func() { r.workers.byID["b"].noRoom = true })
					time.Sleep(20 * time.Second)
					r.workers.update(func() { r.workers.byID["a"].startsReset = true })
					r.submit("s", 1, change)
					time.Sleep(300 * time.Millisecond)
					successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered = true })
					r.awaitRunning(is, "a")
					r.workers.update(func() { successor.refusing = true })
					time.Sleep(reportAfter)
					r.report("a", 1)
					r.workers.update(func() { r.workers.byID["b"].noRoom = false })
					time.Sleep(30 * time.Second)
					is.Equal(r.running("b"), 1)
				})
			})
		}
	}
}
