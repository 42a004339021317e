package leader

import (
	"context"
	"sync"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// barrierBatcher shares read barriers between callers: one barrier serves every caller that arrived before it began.
type barrierBatcher struct {
	log     Log
	mu      sync.Mutex
	next    *barrierRound // the round that new callers join; not started yet
	wake    chan struct{}
	stopped chan struct{} // closed when run returns
}

// barrierRound is one read barrier and its result.
type barrierRound struct {
	done chan struct{} // closed when the barrier has completed
	err  error
}

func newBarrierBatcher(log Log) *barrierBatcher {
	return &barrierBatcher{log: log, next: newBarrierRound(), wake: make(chan struct{}, 1), stopped: make(chan struct{})}
}

func newBarrierRound() *barrierRound { return &barrierRound{done: make(chan struct{})} }

// wait returns the result of a read barrier that began after the call.
func (b *barrierBatcher) wait(ctx context.Context) error {
	b.mu.Lock()
	joined := b.next
	b.mu.Unlock()
	signal(b.wake)
	select {
	case <-joined.done:
		return joined.err
	case <-b.stopped:
		return errStopped
	case <-ctx.Done():
		return errs.ErrNoQuorum.With("leadership was not confirmed in time: %w", ctx.Err())
	}
}

// run executes barriers one at a time while callers wait for them, until ctx is done.
func (b *barrierBatcher) run(ctx context.Context) {
	defer close(b.stopped)
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return
		}
		b.mu.Lock()
		current := b.next
		b.next = newBarrierRound()
		b.mu.Unlock()
		current.err = b.log.ReadBarrier(ctx)
		close(current.done)
	}
}

// signal sends without blocking. A signal that is already pending is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
