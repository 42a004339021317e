package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// manyEnds is the number of tasks that end while their worker is cut off, in eight answers to holds.
	manyEnds   = 39
	endsListed = 5
	// partTime is how long the leader may take to collect one part of the ends: a call and two commits.
	partTime = 30 * time.Millisecond
)

func small(s *pb.Step) { s.Size.Millicores, s.Size.MemoryBytes = 10, 0 }

// endBehindCut runs a submission of many tasks on worker a, which end as done while it is cut off.
func (r *harness) endBehindCut(is *is.I) {
	r.workers.update(func() { r.workers.byID["a"].endsListed, r.workers.byID["b"].noRoom = endsListed, true })
	r.submit("s", manyEnds, small)
	time.Sleep(500 * time.Millisecond)
	is.Equal(r.running("a"), manyEnds)
	r.workers.update(func() { r.workers.byID["a"].unreachable, r.workers.byID["b"].noRoom = true, false })
	time.Sleep(4 * time.Second)
	is.Equal(r.running("a"), 0)
}

// Guards against tasks that start again after they were done, because their ends follow in a later answer than the first after a cut.
func TestTasksWhoseEndsAreNotListedYetDoNotStartAgain(t *testing.T) {
	for name, disturb := range map[string]func(*harness){
		"running": func(*harness) {},
		"stopping": func(r *harness) {
			r.leader.post(func() {
				for ref, run := range r.leader.runs {
					r.leader.stopRun(ref, run, pb.TaskEndKind_TASK_END_KIND_STOPPED, "evicted")
				}
			})
		},
		"new leader":  func(r *harness) { r.replaceLeader(6) },
		"slow commit": func(r *harness) { r.log.update(func(f *fakeLog) { f.delay = time.Second }) },
	} {
		for _, polled := range []bool{false, true} { // other holds are in flight beside those of the session
			t.Run(name, func(t *testing.T) {
				withHarness(t, 2*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
					r.endBehindCut(is)
					disturb(r)
					r.workers.update(func() { r.workers.byID["a"].unreachable = false })
					for range 150 {
						if time.Sleep(20 * time.Millisecond); polled {
							r.leader.post(func() { r.leader.pollNow(r.leader.sessions["a"]) })
						}
					}
					time.Sleep(12 * time.Second)
					is.Equal(r.describe("s"), "done")
				})
			})
		}
	}
}

// Guards against tasks that start again after they were done on the next incarnation of their worker, which carried out their starts and
// lists their ends in a later answer than the first.
func TestTasksDoneOnSuccessorThatListsEndsInPartsDoNotStartAgain(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].startsReset, r.workers.byID["b"].noRoom = true, true })
		r.submit("s", manyEnds, small)
		time.Sleep(300 * time.Millisecond)
		successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered, f.endsListed = true, endsListed })
		for r.startsOf(submission.Ref{Submission: "s"}) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(1200 * time.Millisecond)
		is.Equal(r.running("a"), 0)
		r.workers.update(func() { successor.holdUnanswered, r.workers.byID["b"].noRoom = false, false })
		time.Sleep(10 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against ends that are collected slowly, because each part of them is waited for as long as a hold waits for an end.
func TestEndsListedInPartsAreCollectedAtOnce(t *testing.T) {
	withHarness(t, 2*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.endBehindCut(is)
		r.workers.update(func() { r.workers.byID["a"].unreachable, r.workers.byID["a"].waitsFully = false, true })
		began := time.Now()
		for r.describe("s") != "done" && time.Since(began) < 20*time.Second {
			time.Sleep(time.Millisecond)
		}
		t.Logf("%d ends are collected in %v", manyEnds, time.Since(began))
		is.True(time.Since(began) < reconnectInterval+(manyEnds/endsListed+1)*partTime)
	})
}

// Guards against a task that is started a second time because its row in the list of its worker could not be decoded.
func TestTaskWhoseRowCannotBeDecodedRunsOnce(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
		task := submission.Ref{Submission: "s"}
		r.workers.update(func() { r.workers.byID["b"].noRoom = true })
		r.submit("s", 1, nil)
		time.Sleep(2 * time.Second)
		r.workers.update(func() {
			is.True(r.workers.byID["a"].running[task] != nil)
			r.workers.byID["a"].unreadable, r.workers.byID["b"].noRoom = map[submission.Ref]bool{task: true}, false
		})
		time.Sleep(25 * time.Second)
		r.workers.update(func() { is.Equal(r.workers.startsByTask[task], 1) })
		is.Equal(r.describe("s"), "done")
	})
}
