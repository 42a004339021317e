package leader

import (
	"context"
	"sync"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// barriers lets one read barrier serve every caller that arrived before it began.
type barriers struct {
	log  Log
	mu   sync.Mutex
	next *round // not begun yet
	wake chan struct{}
	stop chan struct{} // closed when run ends
}

type round struct {
	done chan struct{}
	err  error
}

func newBarriers(log Log) *barriers {
	return &barriers{log: log, next: newRound(), wake: make(chan struct{}, 1), stop: make(chan struct{})}
}

func newRound() *round { return &round{done: make(chan struct{})} }

// wait returns after a barrier that began after the call.
func (b *barriers) wait(ctx context.Context) error {
	b.mu.Lock()
	joined := b.next
	b.mu.Unlock()
	signal(b.wake)
	select {
	case <-joined.done:
		return joined.err
	case <-b.stop:
		return errStopped
	case <-ctx.Done():
		return errs.ErrNoQuorum.With("leadership was not confirmed in time: %w", ctx.Err())
	}
}

// run executes one barrier after the other while there are callers, until ctx ends.
func (b *barriers) run(ctx context.Context) {
	defer close(b.stop)
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return
		}
		b.mu.Lock()
		current := b.next
		b.next = newRound()
		b.mu.Unlock()
		current.err = b.log.ReadBarrier(ctx)
		close(current.done)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
