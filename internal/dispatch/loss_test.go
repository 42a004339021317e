package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
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
				r.workers.update(func() { a.unreachable = true })
				time.Sleep(11 * time.Second) // the lease is over, and the other worker is full
				held := 0
				r.workers.update(func() { a.unreachable, held = false, a.holds })
				r.log.update(func(f *fakeLog) { f.delay = 100 * time.Millisecond })
				for a.holds == held {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond) // the end of the silence is being committed
				r.workers.update(func() { a.holdDelay = delay - 100*time.Millisecond })
				r.log.update(func(f *fakeLog) { f.delay, f.unknown = delay, unknown })
				time.Sleep(2 * delay)
				r.log.update(func(f *fakeLog) { f.unknown = false })
				time.Sleep(8 * time.Second)
				is.Equal(r.running("a"), 4)
			})
		})
	}
}
