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
		startServiceWithFillingTask(r)
		r.awaitAttempt(fillingTask, 1)
		time.Sleep(fastHoldWait / 4)
		r.workers.update(func() {
			f := r.workers.byID["a"]
			is.True(f.running[fillingTask] != nil)
			is.True(f.throttle[fillingTask] > 0 && f.throttle[fillingTask] < fullSpeed)
		})
	})
}

// Guards against a service that is slowed down by a filling task whose lease lapses and which starts again on the same worker, where the speed limit of its
// former attempt was taken to be in force.
func TestNextAttemptOfThrottledTaskIsThrottledAgain(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		startServiceWithFillingTask(r)
		for attempt := range uint32(2) {
			r.awaitAttempt(fillingTask, attempt+1)
			time.Sleep(fastHoldWait / 4)
			r.workers.update(func() {
				f := r.workers.byID["a"]
				is.True(f.throttle[fillingTask] > 0 && f.throttle[fillingTask] < fullSpeed)
				r.workers.finish(f, fillingTask, f.running[fillingTask], pb.TaskEndKind_TASK_END_KIND_LOST)
			})
		}
	})
}

// Guards against a service that is slowed down for good since a throttle call was carried out after a newer one.
func TestThrottleThatIsNotInForceIsRepeated(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		startServiceWithFillingTask(r)
		r.awaitAttempt(fillingTask, 1)
		f := r.workers.byID["a"]
		r.workers.update(func() { f.tailMs = 2500 }) // above the limit
		time.Sleep(3 * time.Second)
		r.workers.update(func() {
			is.Equal(f.speedOf(fillingTask), 0)
			f.throttle[fillingTask] = 83 // an older call arrives
		})
		time.Sleep(2 * time.Second)
		r.workers.update(func() { is.Equal(f.speedOf(fillingTask), 0) })
	})
}

// fillingTask is the task that startServiceWithFillingTask starts.
var fillingTask = submission.Ref{Submission: "f"}

// awaitAttempt waits until an attempt of a task runs on the worker "a", for 10 s at most.
func (r *harness) awaitAttempt(task submission.Ref, attempt uint32) {
	for range 500 {
		found := false
		r.workers.update(func() {
			run := r.workers.byID["a"].running[task]
			found = run != nil && run.attempt == attempt
		})
		if found {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startServiceWithFillingTask starts the service "s" and a filling task "f" that slows it down on the worker "a", the only one.
func startServiceWithFillingTask(r *harness) {
	r.leader.Resign()
	r.leader.SetPressureModel(&pb.PressureModel{Pairs: []*pb.PressurePair{{Service: "service", Filling: "filling", Weight: 4, Variance: 1e-6}}})
	r.lead(6)
	r.workers.update(func() { r.workers.byID["a"].serving, r.workers.byID["a"].filling = "s", "f" })
	// The fake workers report a tail latency of 1000 ms: half the limit, which is a utilization of 0.6.
	r.submit("s", 1, func(step *pb.Step) { step.Endless, step.TailLimitMs, step.Image = true, 2000, "service" })
	time.Sleep(3 * time.Second)
	r.submit("f", 1, func(step *pb.Step) {
		step.Fills, step.Image, step.Size.Millicores = true, "filling", fakeFillingUse
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
