package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// silences are ways in which a worker that runs on is out of touch until its lease is over.
var silences = map[string]func(f *fakeWorker, silent bool){
	"cut off":      func(f *fakeWorker, silent bool) { f.unreachable = silent },
	"answers lost": func(f *fakeWorker, silent bool) { f.dropAnswers = silent },
	"overloaded":   func(f *fakeWorker, silent bool) { f.overloaded, f.unavailable = silent, silent },
}

// Guards against a submission that fails because the workers of its task were silent several times just after it had started there,
// though none of them crashed.
func TestSilentWorkersDoNotFailSubmissions(t *testing.T) {
	for name, silence := range silences {
		for _, newLeader := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
					task := submission.Ref{Submission: "s"}
					r.submit("s", 1, endless)
					for round := range uint64(6) {
						time.Sleep(700 * time.Millisecond)
						is.True(r.taskRuns(task))
						r.setSilent(silence, true)
						if newLeader {
							r.replaceLeader(6 + round)
						}
						time.Sleep(targetLease + 4*time.Second)
						r.setSilent(silence, false)
						for range 50 { // until the task runs again
							if time.Sleep(100 * time.Millisecond); r.taskRuns(task) {
								break
							}
						}
					}
					time.Sleep(3 * time.Second)
					is.Equal(r.describe("s"), "running")
					is.True(r.taskRuns(task))
				})
			})
		}
	}
}

// Guards against a submission that fails because partitions that refuse connections began several times just after its task had started, though none of
// its workers crashed.
func TestWorkersBehindRefusingPartitionsDoNotFailSubmissions(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("new leader %t", newLeader), func(t *testing.T) {
			withHarness(t, time.Hour, []string{"a", "b", "c", "d", "e", "f", "g"}, func(is *is.I, r *harness) {
				task := submission.Ref{Submission: "s"}
				r.submit("s", 1, endless)
				for round := range uint64(6) {
					r.cutOffWorkerOf(task, func(f *fakeWorker) { f.refusing = true })
					if newLeader {
						r.replaceLeader(6 + round)
					}
					time.Sleep(targetLease + 4*time.Second)
					r.setSilent(func(f *fakeWorker, silent bool) { f.refusing = silent }, false)
				}
				time.Sleep(3 * time.Second)
				is.Equal(r.describe("s"), "running")
				is.True(r.taskRuns(task))
			})
		})
	}
}

func (r *harness) setSilent(silence func(*fakeWorker, bool), silent bool) {
	r.workers.update(func() {
		for _, f := range r.workers.byID {
			silence(f, silent)
		}
	})
}

// taskRuns reports whether a worker runs the task.
func (r *harness) taskRuns(task submission.Ref) bool {
	runs := false
	r.workers.update(func() {
		for _, f := range r.workers.byID {
			r.workers.advance(f)
			runs = runs || f.running[task] != nil
		}
	})
	return runs
}

// Guards against an endless task that waits, while others are idle, because four workers were cut off just after it had started there.
func TestTaskOfSilentWorkersRunsWhileOthersAreIdle(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b", "c", "d", "e", "f", "g"}, func(is *is.I, r *harness) {
		r.submit("s", 1, endless)
		for range 4 {
			r.cutOffWorkerOf(submission.Ref{Submission: "s"}, func(f *fakeWorker) { f.unreachable = true })
		}
		began := time.Now()
		for !r.reachableRuns(submission.Ref{Submission: "s"}) && time.Since(began) < 2*silenceTimeout {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("it runs %v after its last worker was cut off", time.Since(began))
		is.True(time.Since(began) < maxOutage)
	})
}

// cutOffWorkerOf waits until a worker that can be reached runs a task and cuts that worker off right after the start.
func (r *harness) cutOffWorkerOf(task submission.Ref, cutOff func(*fakeWorker)) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r.reachableRuns(task) {
			break
		}
	}
	r.workers.update(func() {
		for _, f := range r.workers.byID {
			if f.running[task] != nil {
				cutOff(f)
			}
		}
	})
}

// reachableRuns reports whether a worker that can be reached runs the task.
func (r *harness) reachableRuns(task submission.Ref) bool {
	runs := false
	r.workers.update(func() {
		for _, f := range r.workers.byID {
			r.workers.advance(f)
			runs = runs || f.running[task] != nil && !f.unreachable && !f.refusing
		}
	})
	return runs
}
