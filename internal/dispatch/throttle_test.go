package dispatch

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against a filling task that slows down a service at full speed until the next reading of the worker, 0.6 s later.
func TestStartedFillingTaskIsThrottledBeforeNextReading(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.leader.Resign()
		r.leader.SetPressureModel(&pb.PressureModel{Pairs: []*pb.PressurePair{{Service: "service", Filling: "filling", Weight: 4, Variance: 1e-6}}})
		r.lead(6)
		r.workers.update(func() { r.workers.byID["a"].serving = "s" })
		// The fake workers report a tail latency of 1000 ms: half the limit, which is a utilization of 0.6.
		r.submit("s", 1, func(step *pb.Step) { step.Endless, step.TailLimitMs, step.Image = true, 2000, "service" })
		time.Sleep(3 * time.Second)
		r.submit("f", 1, func(step *pb.Step) {
			step.Fills, step.Image, step.Size.Millicores = true, "filling", 400
		})
		for range 300 {
			if r.running("a") == 2 {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(fastHoldWait / 4)
		task := submission.Ref{Submission: "f"}
		r.workers.update(func() {
			f := r.workers.byID["a"]
			is.True(f.running[task] != nil)
			is.True(f.throttle[task] > 0 && f.throttle[task] < fullSpeed)
		})
	})
}

// Guards against a leader that ends because a worker lists a task of a step that its submission does not have.
func TestTaskOfUnknownStepIsNoFault(t *testing.T) {
	withHarness(t, 3*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.logger = zerolog.New(io.Discard).Level(zerolog.DebugLevel)
		r.replaceLeader(6)
		r.submit("s", 1, nil)
		r.workers.update(func() {
			r.workers.byID["a"].running[submission.Ref{Submission: "s", Step: 9, Index: 9}] = &fakeRun{attempt: 1, began: time.Now()}
		})
		time.Sleep(8 * time.Second)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.running("a"), 0)
	})
}
