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

// ends are ways in which the process of a worker ends.
var ends = map[string]func(*fakeWorker){
	"refusing":              (*fakeWorker).exit,
	"silent":                func(f *fakeWorker) { f.unreachable, f.closes = true, true },
	"silent, holds hanging": func(f *fakeWorker) { f.unreachable = true },
}

// Guards against tasks that wait for the lease of a worker that has left as announced, also if the leader changes meanwhile.
func TestTasksOfWorkerThatLeftAsAnnouncedRunElsewhere(t *testing.T) {
	for name, end := range ends {
		for _, restarted := range []bool{false, true} {
			for _, newLeader := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, restarted %t, new leader %t", name, restarted, newLeader), func(t *testing.T) {
					withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
						if restarted {
							r.restartAtWork(is)
						} else {
							r.startAtA(is)
						}
						r.reportDraining("a", 2)
						time.Sleep(2 * time.Second) // the platform grants at least that
						if newLeader {
							r.replaceLeader(6)
						}
						is.Equal(r.running("a"), 0)
						r.leaves("a")
						r.workers.update(func() { end(r.workers.byID["a"]) })
						is.Equal(r.running("b"), 1)
						time.Sleep(maxOutage)
						is.Equal(r.running("b"), 1)
					})
				})
			}
		}
	}
}

// Guards against tasks of a worker that ended without notice and has left that are away for longer than callers are promised.
func TestTasksOfWorkerThatLeftWithoutNoticeRunElsewhereInTime(t *testing.T) {
	for name, end := range ends {
		for _, reportFollows := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, report follows %t", name, reportFollows), func(t *testing.T) {
				withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
					r.startAtA(is)
					if !reportFollows {
						r.leaves("a")
					}
					r.workers.update(func() {
						end(r.workers.byID["a"])
						clear(r.workers.byID["a"].running)
					})
					if reportFollows {
						r.leaves("a")
					}
					time.Sleep(maxOutage)
					is.Equal(r.running("b"), 1)
					r.state.View(func(s *submission.State) { is.True(s.Workers()["a"].GetGone()) })
				})
			})
		}
	}
}

// refuseConnections begins a partition between all VMs and a worker, which runs on: connections are refused, and open ones are reset.
func (r *harness) refuseConnections(id string) {
	r.workers.update(func() { r.workers.byID[id].refusing = true })
}

// Guards against tasks of a worker that has left that wait for longer than its lease, where nothing proves its end, and against ones that
// start before.
func TestTasksOfUnreachableWorkerThatLeftStartOnceItsLeaseIsOver(t *testing.T) {
	for name, cutOff := range map[string]func(r *harness, id string){"silent": (*harness).lose, "refusing": (*harness).refuseConnections} {
		for _, newLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new leader %t", name, newLeader), func(t *testing.T) {
				withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
					r.startAtA(is)
					r.leaves("a")
					within := maxOutage
					if newLeader { // the previous one may have granted leases until it noticed the end of its term
						within += previousLeaderTimeout
						r.replaceLeader(6)
					}
					cutOff(r, "a")
					began := time.Now()
					for r.running("b") == 0 && time.Since(began) < 2*within {
						is.True(r.running("a") == 1 || r.running("b") == 0)
						time.Sleep(10 * time.Millisecond)
					}
					t.Logf("the task starts %v after its worker was cut off", time.Since(began))
					is.Equal(r.running("a"), 0)
					is.True(time.Since(began) < within)
				})
			})
		}
	}
}

// Guards against a task that runs twice because its worker, which has reported its leave and runs on, is behind a partition that refuses
// connections.
func TestWorkerThatLeavesBehindRefusingPartitionKeepsItsTasks(t *testing.T) {
	const cut = 4 * time.Second
	for name, cutOff := range map[string]func(r *harness){
		"reported before the partition": func(r *harness) {
			r.leaves("a")
			time.Sleep(100 * time.Millisecond)
			r.refuseConnections("a")
		},
		"reported behind the partition": func(r *harness) {
			r.refuseConnections("a")
			time.Sleep(time.Second)
			r.leaves("a")
		},
		"leader changes": func(r *harness) {
			r.leaves("a")
			r.refuseConnections("a")
			time.Sleep(100 * time.Millisecond)
			r.replaceLeader(6)
		},
		"reported to the next leader": func(r *harness) {
			r.refuseConnections("a")
			r.replaceLeader(6)
			r.leaves("a")
		},
		"connections closed, then silent": func(r *harness) {
			r.workers.update(func() { r.workers.byID["a"].unreachable, r.workers.byID["a"].closes = true, true })
			time.Sleep(20 * time.Millisecond)
			r.leaves("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
				r.startAtA(is)
				cutOff(r)
				time.Sleep(cut)
				is.Equal(r.running("b"), 0)
				r.workers.update(func() {
					f := r.workers.byID["a"]
					f.refusing, f.unreachable, f.closes = false, false, false
				})
				time.Sleep(3 * time.Second)
				is.Equal(r.running("a"), 1) // reached again, it keeps its task
				is.Equal(r.running("b"), 0)
				r.workers.update(func() {
					r.workers.byID["a"].exit()
					clear(r.workers.byID["a"].running)
				})
				time.Sleep(maxOutage) // now it has ended
				is.Equal(r.running("b"), 1)
			})
		})
	}
}

// Guards against a task that runs twice because of a late leave of an earlier incarnation of its worker, which closes a connection and is cut off.
func TestLateLeaveOfEarlierIncarnationProvesNoEnd(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.restartAtWork(is)
		r.leaves("a")
		r.workers.update(r.workers.byID["a"].exit)
		time.Sleep(4 * time.Second)
		is.Equal(r.running("b"), 0)
	})
}

// Guards against a task that runs twice because its worker closed a connection, reported its leave and answered after that, which the next
// leader does not know.
func TestNextLeaderKnowsThatWorkerAnsweredAfterItClosedConnection(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.startAtA(is)
		r.workers.update(r.workers.byID["a"].exit)
		time.Sleep(20 * time.Millisecond)
		r.leaves("a")
		r.workers.update(func() { r.workers.byID["a"].refusing, r.workers.byID["a"].closes = false, false })
		time.Sleep(700 * time.Millisecond)
		is.Equal(r.running("a"), 1)
		r.refuseConnections("a")
		r.replaceLeader(6)
		time.Sleep(lateCallTimeout + 3*time.Second)
		is.Equal(r.running("b"), 0)
	})
}

// Guards against a task that runs twice because its worker closed a connection, answered a call after that, left and was cut off.
func TestWorkerThatAnswersAfterItClosedConnectionKeepsItsLease(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.startAtA(is)
		r.workers.update(func() { r.workers.byID["a"].unreachable, r.workers.byID["a"].closes = true, true })
		time.Sleep(50 * time.Millisecond)
		r.workers.update(func() { r.workers.byID["a"].unreachable, r.workers.byID["a"].closes = false, false })
		time.Sleep(700 * time.Millisecond)
		r.leaves("a")
		r.lose("a")
		time.Sleep(4 * time.Second)
		is.Equal(r.running("b"), 0)
	})
}

// Guards against the same where it did not answer after that, but left only some seconds later.
func TestWorkerThatLeavesLongAfterItClosedConnectionKeepsItsLease(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.startAtA(is)
		r.workers.update(func() { r.workers.byID["a"].unreachable, r.workers.byID["a"].closes = true, true })
		time.Sleep(2 * time.Second)
		r.leaves("a")
		time.Sleep(3 * time.Second)
		is.Equal(r.running("b"), 0)
	})
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
