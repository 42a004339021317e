package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// pending returns the number of submissions of the only queue that are said not to have begun.
func (r *harness) pending() int {
	queue := ""
	r.state.View(func(s *submission.State) { queue = submission.QueueKey(s.Config().GetQueues()[0]) })
	return r.leader.Pending(queue)
}

// Guards against submissions that count as begun because they are placed, though no worker has started a task of them.
func TestPlacedSubmissionsThatHaveNotBegunArePending(t *testing.T) {
	silences := map[string]func(f *fakeWorker, silent bool){
		"cut off":    silences["cut off"],
		"overloaded": silences["overloaded"],
		"unwell":     func(f *fakeWorker, silent bool) { f.unavailable = silent },
	}
	for name, silence := range silences {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
				r.submit("begun", 1, nil)
				time.Sleep(300 * time.Millisecond)
				is.Equal(r.pending(), 0)
				r.setSilent(silence, true)
				for _, id := range []string{"1", "2", "3"} {
					r.submit(id, 1, nil)
				}
				for range 16 {
					time.Sleep(500 * time.Millisecond)
					is.Equal(r.pending(), 3)
				}
				r.setSilent(silence, false)
				time.Sleep(maxOutage)
				is.Equal(r.pending(), 0)
			})
		})
	}
}

// Guards against submissions that count as pending after a change of the leader, though they have begun.
func TestSubmissionsThatHaveBegunAreNotPendingForNextLeader(t *testing.T) {
	withHarness(t, 20*time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.submit("partly-done", 2, func(s *pb.Step) { s.Size = &pb.Resources{Millicores: 3000} })
		time.Sleep(10 * time.Second)
		r.setSilent(func(f *fakeWorker, silent bool) { f.unavailable = silent }, true) // nothing else starts
		time.Sleep(11 * time.Second)
		is.Equal(r.running("a"), 0)
		r.replaceLeader(6)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.pending(), 0)
	})
}
