package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against a task that runs twice after a partition: its loss is being committed because the lease was not renewed in time, the
// worker answers again, and the start is sent to it all the same.
func TestTaskDoesNotStartWhileItsLossIsCommitted(t *testing.T) {
	for i := range 22 {
		delay, unknown := 200*time.Millisecond+time.Duration(i/2)*50*time.Millisecond, i%2 == 1
		t.Run(fmt.Sprintf("%v unknown %v", delay, unknown), func(t *testing.T) {
			withHarness(t, 20*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
				a := r.workers.byID["a"]
				r.submit("s", 8, nil)
				time.Sleep(500 * time.Millisecond)
				r.reconnectSlowly(a, delay-100*time.Millisecond) // the other worker is full
				r.log.update(func(f *fakeLog) { f.unknown = unknown })
				time.Sleep(2 * delay)
				r.log.update(func(f *fakeLog) { f.unknown = false })
				time.Sleep(8 * time.Second)
				is.Equal(r.running("a"), 4)
			})
		})
	}
}

// Guards against tasks that are placed on a worker that answers again but has no lease yet, lost at once and placed again.
func TestWorkerGetsTasksOnlyWithLease(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		a := r.workers.byID["a"]
		r.submit("s", 1, nil)
		time.Sleep(500 * time.Millisecond)
		r.reconnectSlowly(a, 400*time.Millisecond)
		time.Sleep(4 * time.Second)
		r.state.View(func(s *submission.State) { is.Equal(s.Task(submission.Ref{Submission: "s"}).Attempt, uint32(2)) })
	})
}

// reconnectSlowly cuts a worker off until its lease is over. Then it answers one hold at once and the next ones after holdDelay, and
// commits take longer as well once that answer has been committed.
func (r *harness) reconnectSlowly(f *fakeWorker, holdDelay time.Duration) {
	held, now := 0, 0
	r.workers.update(func() { f.unreachable = true })
	time.Sleep(11 * time.Second)
	r.workers.update(func() { f.unreachable, held, now = false, f.holds, f.holds })
	r.log.update(func(log *fakeLog) { log.delay = 100 * time.Millisecond })
	for now == held {
		time.Sleep(time.Millisecond)
		r.workers.update(func() { now = f.holds })
	}
	time.Sleep(20 * time.Millisecond) // the end of the silence is being committed
	r.workers.update(func() { f.holdDelay = holdDelay })
	r.log.update(func(log *fakeLog) { log.delay = holdDelay + 100*time.Millisecond })
}
