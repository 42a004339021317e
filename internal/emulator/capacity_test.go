package emulator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// trustingWorker is a worker that does not guard its capacity, with a submission of tasks that take a whole core each.
type trustingWorker struct {
	*incarnation
	started uint32
}

const testHeartbeat = 400 * time.Millisecond

func newTrustingWorker() *trustingWorker {
	c := NewChecker()
	c.records["s"] = &submissionRecord{queue: queues()[2], spec: &pb.SubmissionSpec{Id: "s",
		Steps: []*pb.Step{{Count: 100, Endless: true, Size: &pb.Resources{Millicores: 1000}}}}}
	return &trustingWorker{incarnation: newIncarnation(&incarnation{id: "w", pool: poolTrusting, size: workerSize(fullSize), heartbeat: testHeartbeat, checker: c,
		maybeDelayed: func() bool { return false }})}
}

func (w *trustingWorker) ref(i uint32) submission.Ref {
	return submission.Ref{Submission: "s", Index: i}
}

// start starts the next task and returns the number of violations of PromisePlace so far.
func (w *trustingWorker) start(is *is.I) int {
	w.started++
	_, err := w.Start(context.Background(), dispatch.StartCall{Task: w.ref(w.started), Attempt: 1, LeaseUntilMs: w.clock() + defaultMaxLease.Milliseconds()})
	is.NoErr(err)
	n := 0
	for _, v := range w.checker.Violations() {
		if v.Promise == PromisePlace {
			n++
		}
	}
	return n
}

// Guards against a checker that counts the room of a task as free once it has been told to stop.
func TestStoppingTasksCountForTheirWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, w := is.New(t), newTrustingWorker()
		for range 4 {
			is.Equal(w.start(is), 0)
		}
		_, err := w.Stop(context.Background(), dispatch.StopCall{Task: w.ref(1), Attempt: 1})
		is.NoErr(err)
		time.Sleep(taskStopTime - time.Millisecond)
		is.Equal(w.start(is), 1)
		time.Sleep(time.Millisecond)
		is.Equal(w.start(is), 2) // the fifth still runs
		for i := range uint32(3) {
			_, err = w.Stop(context.Background(), dispatch.StopCall{Task: w.ref(2 + i), Attempt: 1})
			is.NoErr(err)
		}
		time.Sleep(taskStopTime)
		is.Equal(w.start(is), 2)
	})
}

// Guards against a checker that counts a shrunk capacity too early, too late or not at all, or a grown one too late.
func TestShrunkCapacityCountsAfterGrace(t *testing.T) {
	for _, c := range []struct {
		after      time.Duration
		violations int
	}{{stableWindow + testHeartbeat - time.Millisecond, 0}, {stableWindow + testHeartbeat, 1}} {
		t.Run(fmt.Sprint(c.after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, w := is.New(t), newTrustingWorker()
				w.start(is)
				w.resize(workerSize(1))
				time.Sleep(c.after)
				is.Equal(w.start(is), c.violations)
				w.resize(workerSize(fullSize))
				is.Equal(w.start(is), c.violations)
			})
		})
	}
}
