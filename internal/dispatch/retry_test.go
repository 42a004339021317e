package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the tasks of a dead worker that stay placed on it for ever because the commit of their ends failed once.
func TestFailedCommitDoesNotStrandTasksOfDeadWorker(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("s", 1, endless)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.running("a"), 1)
		r.workers.update(func() {
			r.workers.byID["a"].unreachable = true
			r.workers.byID["b"] = newFakeWorkers(t, time.Minute, "b").byID["b"]
		})
		r.report("b", 1)
		r.log.failing(errors.New("no quorum for a moment"))
		time.Sleep(12 * time.Second) // the lease is over by then
		r.log.failing(nil)
		time.Sleep(time.Second)
		is.Equal(r.running("b"), 1)
	})
}
