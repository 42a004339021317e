package replica

import (
	"context"
	"fmt"

	"github.com/lentilyard/lentilyard/internal/raft"
)

// ReadBarrier returns once this VM's leadership is confirmed by a quorum round
// that began after the call, and everything committed before is applied.
func (g *Group) ReadBarrier(ctx context.Context) error {
	return g.await(ctx, "read barrier", g.readBarrier)
}

// WaitApplied returns once this VM has applied the entry at index, for reads on
// a follower or learner after a write elsewhere.
func (g *Group) WaitApplied(ctx context.Context, index uint64) error {
	return g.await(ctx, "wait for an applied entry", func(w *waiter) {
		g.confirmed = append(g.confirmed, confirmedRead{index: index, w: w})
		g.finishConfirmed()
	})
}

// await begins a call on the control goroutine and waits for its end. The call
// has no effect, so nothing is lost if the caller gives up.
func (g *Group) await(ctx context.Context, what string, begin func(*waiter)) error {
	w := newWaiter()
	if !g.host.post(func() { begin(w) }) {
		return ErrStopped
	}
	select {
	case o := <-w.result:
		return o.err
	case <-ctx.Done():
		w.taken.Store(true)
		return fmt.Errorf("%s: %w", what, ctx.Err())
	case <-g.host.done:
		return ErrStopped
	}
}

func (g *Group) readBarrier(w *waiter) {
	if w.taken.Load() {
		return
	}
	g.nextRead++
	if g.restarting {
		w.finish(nil, ErrNotLeader{})
		return
	}
	if err := g.node.ReadIndex(g.nextRead); err != nil {
		w.finish(nil, g.refusal(err))
		return
	}
	g.reads[g.nextRead] = w
}

// finishReads answers read barriers. Entries up to a read's index may still
// wait for this VM's own sync, so it is answered once they are applied.
func (g *Group) finishReads(reads []raft.Read) {
	for _, r := range reads {
		w := g.reads[r.Token]
		delete(g.reads, r.Token)
		switch {
		case w == nil:
		case !r.OK:
			w.finish(nil, ErrNotLeader{Leader: g.node.Status().Leader.VM})
		default:
			g.confirmed = append(g.confirmed, confirmedRead{index: r.Index, w: w})
		}
	}
	g.finishConfirmed()
}

func (g *Group) finishConfirmed() {
	if len(g.confirmed) == 0 {
		return
	}
	applied := g.node.Status().Applied
	kept := g.confirmed[:0]
	for _, c := range g.confirmed {
		switch {
		case c.w.taken.Load(): // the caller gave up
		case c.index <= applied:
			c.w.finish(nil, nil)
		default:
			kept = append(kept, c)
		}
	}
	clear(g.confirmed[len(kept):])
	g.confirmed = kept
}

// confirmedRead waits for entries to be applied.
type confirmedRead struct {
	index uint64
	w     *waiter
}
