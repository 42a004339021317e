package replica

import (
	"context"
	"fmt"

	"github.com/lentilyard/lentilyard/internal/raft"
)

// ReadBarrier returns once a quorum has confirmed, in a round that began after
// the call, that this VM is the leader, and once this VM has applied all entries
// that were committed before the call.
func (g *Group) ReadBarrier(ctx context.Context) error {
	return g.await(ctx, "read barrier", g.readBarrier)
}

// WaitApplied returns once this VM has applied the entry at index. A follower or
// learner calls it to read a write that was made through another VM.
func (g *Group) WaitApplied(ctx context.Context, index uint64) error {
	return g.await(ctx, "wait for an applied entry", func(w *waiter) {
		g.appliedWaiters = append(g.appliedWaiters, appliedWaiter{index: index, w: w})
		g.finishAppliedWaiters()
	})
}

// await runs begin on the control goroutine and waits until the waiter is
// finished. The call changes no state, so the caller may give up at any time.
// what names the call in errors.
func (g *Group) await(ctx context.Context, what string, begin func(*waiter)) error {
	w := newWaiter()
	if !g.host.post(func() { begin(w) }) {
		return ErrStopped
	}
	select {
	case o := <-w.result:
		return o.err
	case <-ctx.Done():
		w.claimed.Store(true)
		return fmt.Errorf("%s: %w", what, ctx.Err())
	case <-g.host.done:
		return ErrStopped
	}
}

func (g *Group) readBarrier(w *waiter) {
	if w.claimed.Load() {
		return
	}
	g.lastReadToken++
	if g.discarding {
		w.finish(nil, ErrNotLeader{})
		return
	}
	if err := g.node.ReadIndex(g.lastReadToken); err != nil {
		w.finish(nil, g.convertError(err))
		return
	}
	g.pendingReads[g.lastReadToken] = w
}

// finishReads handles the read barriers whose quorum round ended. Entries up to
// the index of a read may still wait for the sync on this VM, so a confirmed read
// is answered only once they are applied.
func (g *Group) finishReads(reads []raft.Read) {
	for _, r := range reads {
		w := g.pendingReads[r.Token]
		delete(g.pendingReads, r.Token)
		switch {
		case w == nil:
		case !r.OK:
			w.finish(nil, ErrNotLeader{Leader: g.node.Status().Leader.VM})
		default:
			g.appliedWaiters = append(g.appliedWaiters, appliedWaiter{index: r.Index, w: w})
		}
	}
	g.finishAppliedWaiters()
}

// finishAppliedWaiters answers the calls whose entry is applied.
func (g *Group) finishAppliedWaiters() {
	if len(g.appliedWaiters) == 0 {
		return
	}
	applied := g.node.Status().Applied
	kept := g.appliedWaiters[:0]
	for _, c := range g.appliedWaiters {
		switch {
		case c.w.claimed.Load(): // the caller gave up
		case c.index <= applied:
			c.w.finish(nil, nil)
		default:
			kept = append(kept, c)
		}
	}
	clear(g.appliedWaiters[len(kept):])
	g.appliedWaiters = kept
}

// appliedWaiter is a call that waits until the entry at index is applied.
type appliedWaiter struct {
	index uint64
	w     *waiter
}
