package replica

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/raft"
)

// waiter is one call in progress.
type waiter struct {
	// taken is set by whichever comes first: the control goroutine that
	// carries the call out, or the caller that gives up.
	taken  atomic.Bool
	term   uint64
	began  time.Time
	result chan outcome // capacity 1; receives exactly one outcome
}

type outcome struct {
	value any
	err   error
}

func newWaiter() *waiter { return &waiter{result: make(chan outcome, 1)} }

func (w *waiter) finish(value any, err error) { w.result <- outcome{value: value, err: err} }

// Propose commits an entry and returns the result of its Apply. The entry must
// not be modified afterwards. On error see ErrNotLeader, ErrNotCommitted,
// ErrOutcomeUnknown and ErrStopped.
func (g *Group) Propose(ctx context.Context, entry []byte) (any, error) {
	if len(entry) > MaxEntryBytes {
		return nil, fmt.Errorf("%w: it has %d bytes, the limit is %d", ErrNotCommitted, len(entry), MaxEntryBytes)
	}
	w := newWaiter()
	if !g.host.post(func() { g.propose(w, entry) }) {
		return nil, ErrStopped
	}
	select {
	case o := <-w.result:
		return o.value, o.err
	case <-ctx.Done():
		if w.taken.CompareAndSwap(false, true) {
			return nil, fmt.Errorf("%w: %w", ErrNotCommitted, ctx.Err())
		}
	case <-g.host.done:
		if w.taken.CompareAndSwap(false, true) {
			return nil, ErrStopped
		}
	}
	return w.lateOutcome(ctx)
}

// lateOutcome prefers an outcome that arrived at the same time as the end of the call.
func (w *waiter) lateOutcome(ctx context.Context) (any, error) {
	select {
	case o := <-w.result:
		return o.value, o.err
	default:
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil, ErrOutcomeUnknown
}

func (g *Group) propose(w *waiter, entry []byte) {
	if !w.taken.CompareAndSwap(false, true) {
		return
	}
	if g.restarting {
		w.finish(nil, ErrNotLeader{})
		return
	}
	index, term, err := g.node.Propose(entry)
	if err != nil {
		g.metrics.refused.Inc()
		w.finish(nil, g.refusal(err))
		return
	}
	w.term = term
	w.began = time.Now()
	g.metrics.proposals.Inc()
	g.waiters[index] = append(g.waiters[index], w)
}

// refusal converts an error of the raft node.
func (g *Group) refusal(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader{Leader: g.node.Status().Leader.VM}
	}
	return fmt.Errorf("%w: %w", ErrNotCommitted, err)
}

// resolve answers the proposals at the index of an applied entry.
func (g *Group) resolve(e *pb.RaftEntry, result any) {
	waiting, ok := g.waiters[e.GetIndex()]
	if !ok {
		return
	}
	delete(g.waiters, e.GetIndex())
	for _, w := range waiting {
		if w.term == e.GetTerm() {
			g.metrics.commitTime.UpdateDuration(w.began)
			w.finish(result, nil)
			continue
		}
		w.finish(nil, fmt.Errorf("%w: another entry was committed in its place", ErrNotCommitted))
	}
}

// abandonWaiters ends proposals up to index whose outcome cannot be learned any more.
func (g *Group) abandonWaiters(index uint64) {
	for at, waiting := range g.waiters {
		if at > index {
			continue
		}
		for _, w := range waiting {
			g.metrics.unknown.Inc()
			w.finish(nil, ErrOutcomeUnknown)
		}
		delete(g.waiters, at)
	}
}

// expireWaiters ends proposals two longest election timeouts after leadership
// was lost. By then a new leader has usually settled them.
func (g *Group) expireWaiters() {
	if g.idleTicks > 4*int(g.host.cfg.Election/g.host.tick) {
		g.abandonWaiters(^uint64(0))
	}
}

// failAll ends all calls. The error is that of read barriers.
func (g *Group) failAll(err error) {
	g.abandonWaiters(^uint64(0))
	for token, w := range g.reads {
		w.finish(nil, err)
		delete(g.reads, token)
	}
	for _, c := range g.confirmed {
		c.w.finish(nil, err)
	}
	g.confirmed = nil
}

// TransferLeadership hands leadership to another voter that holds the state,
// and returns once this VM is no longer the leader. ErrNotLeader means that it
// was not the leader to begin with.
func (g *Group) TransferLeadership(ctx context.Context) error {
	started := make(chan error, 1)
	if !g.host.post(func() { started <- g.startTransfer() }) {
		return ErrStopped
	}
	select {
	case err := <-started:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return fmt.Errorf("transfer leadership: %w", ctx.Err())
	case <-g.host.done:
		return ErrStopped
	}
	return g.awaitTransfer(ctx)
}

func (g *Group) startTransfer() error {
	if g.restarting {
		return ErrNotLeader{}
	}
	if err := g.node.TransferLeadership(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) {
			return g.refusal(err)
		}
		return fmt.Errorf("transfer leadership: %w", err)
	}
	return nil
}
