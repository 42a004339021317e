package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// withPair runs f with a service of two tasks, one on worker a and one on b, of which one may be unavailable. Worker c has room. It
// fails the test if maintenance ends a task while the other one is not at work.
func withPair(t *testing.T, f func(*is.I, *harness, *fakePlatform)) {
	withHarness(t, time.Minute, []string{"a", "b"}, func(is *is.I, r *harness) {
		platform := newFakePlatform(r)
		platform.onOrder = func(worker string) {
			r.workers.update(func() {
				others := 0
				for id, w := range r.workers.byID {
					if r.workers.advance(w); id != worker && !w.unreachable {
						others += len(w.running)
					}
				}
				if len(r.workers.byID[worker].running) > 0 && others == 0 {
					t.Errorf("%v: maintenance of %s ends the only task at work", time.Since(r.start), worker)
				}
			})
		}
		r.platform = platform
		r.replaceLeader(6)
		r.workers.update(func() {
			r.workers.byID["c"] = newFakeWorker("c", 3)
			for _, w := range r.workers.byID {
				w.serving = "s"
			}
		})
		r.submit("s", 2, func(s *pb.Step) { s.Endless, s.MaxUnavailable, s.MaxPerWorker = true, 1, 1 })
		time.Sleep(2 * time.Second)
		is.Equal([]int{r.running("a"), r.running("b")}, []int{1, 1})
		r.report("c", 1)
		f(is, r, platform)
	})
}

// submitWave commits wave 1, the maintenance of the given VMs.
func (r *harness) submitWave(maxAtOnce uint32, vms ...string) {
	r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Wave{Wave: &pb.Wave{Number: 1, Vms: vms, MaxAtOnce: maxAtOnce}}})
}

// waveDone reports whether wave 1 is done.
func (r *harness) waveDone() bool {
	done := false
	r.state.View(func(s *submission.State) { done = s.Waves()[1].GetDone() })
	return done
}

// Guards against a wave that takes the second task of a service while the first is away for the same wave, whether its order was
// answered in time or not.
func TestWaveDoesNotTakeBothTasksOfService(t *testing.T) {
	for name, answerAfter := range map[string]time.Duration{"answered": 0, "answered late": 2500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withPair(t, func(is *is.I, r *harness, platform *fakePlatform) {
				platform.firstAnswerAfter, platform.upkeepTime = answerAfter, 4*time.Second
				r.submitWave(2, "vm-a", "vm-b")
				time.Sleep(time.Minute)
				is.True(r.waveDone())
			})
		})
	}
}

// Guards against a wave that takes the second task of a service after the worker of the first was lost. A broken connection is noticed
// at once, a worker that is dark when the hold in progress times out.
func TestWaveSparesServiceWithLostTask(t *testing.T) {
	for name, noticed := range map[string]time.Duration{"crashed": 100 * time.Millisecond, "dark": holdWait + holdSlack} {
		for after := noticed; after < 9*time.Second; after += 400 * time.Millisecond {
			t.Run(name+" "+after.String(), func(t *testing.T) {
				withPair(t, func(is *is.I, r *harness, platform *fakePlatform) {
					r.workers.update(func() {
						a := r.workers.byID["a"]
						clear(a.running)
						a.unreachable, a.refusing, a.closes = true, name == "crashed", name == "crashed"
					})
					time.Sleep(after)
					r.submitWave(1, "vm-b")
					time.Sleep(time.Minute)
					is.True(r.waveDone())
				})
			})
		}
	}
}

// Guards against urgent work that evicts the second task of a service after the worker of the first was lost.
func TestEvictionSparesServiceWithLostTask(t *testing.T) {
	withPair(t, func(is *is.I, r *harness, _ *fakePlatform) {
		time.Sleep(minEndlessRun)
		r.workers.update(func() {
			r.workers.byID["a"].exit()
			r.workers.byID["c"].exit()
		})
		time.Sleep(100 * time.Millisecond)
		r.submit("urgent", 1, func(s *pb.Step) { s.Size.Millicores = 4000 })
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			r.workers.update(func() {
				run := r.workers.byID["b"].running[submission.Ref{Submission: "s", Index: 0}]
				if run == nil {
					run = r.workers.byID["b"].running[submission.Ref{Submission: "s", Index: 1}]
				}
				is.True(run != nil && run.stopped.IsZero())
			})
		}
	})
}
