package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that runs twice because its start waited for a free place among the calls and was sent long after the leader had
// counted it as sent, to a later incarnation of its worker.
func TestQueuedStartIsNotSentLate(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["b"].noRoom = true })
		time.Sleep(20*time.Second + 200*time.Millisecond)
		for range maxConcurrentCalls {
			r.leader.pool.Submit(func() { time.Sleep(5 * time.Second) })
		}
		r.submit("s", 1, nil)
		time.Sleep(300 * time.Millisecond)
		successor := r.restart("a", 77, func(f *fakeWorker) { f.holdUnanswered, f.dropAnswers = true, true })
		time.Sleep(4800 * time.Millisecond) // the start is sent now, if ever
		r.cutOff(successor)
		is.Equal(r.running("b"), 1)
	})
}
