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

// waiter is a call in progress that waits for the control goroutine.
type waiter struct {
	// claimed decides between execution and cancellation: it is set either by
	// the control goroutine when it carries the call out, or by the caller when
	// it gives up.
	claimed atomic.Bool
	term    uint64
	began   time.Time
	result  chan outcome // capacity 1; receives exactly one outcome
}

type outcome struct {
	value any
	err   error
}

func newWaiter() *waiter { return &waiter{result: make(chan outcome, 1)} }

func (w *waiter) finish(value any, err error) { w.result <- outcome{value: value, err: err} }

// Propose commits an entry and returns the result of StateMachine.Apply. The
// entry must not be modified afterwards. Every error matches one
// of ErrNotLeader, ErrNotCommitted, ErrOutcomeUnknown and ErrStopped.
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
		if w.claimed.CompareAndSwap(false, true) {
			return nil, fmt.Errorf("%w: %w", ErrNotCommitted, ctx.Err())
		}
	case <-g.host.done:
		if w.claimed.CompareAndSwap(false, true) {
			return nil, ErrStopped
		}
	}
	return w.lateOutcome(ctx)
}

// lateOutcome is called when the context or the host ended after the proposal
// was claimed. It returns the outcome if it has arrived, else ErrOutcomeUnknown.
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

// propose passes an entry to the raft node. It runs on the control goroutine.
func (g *Group) propose(w *waiter, entry []byte) {
	if !w.claimed.CompareAndSwap(false, true) {
		return
	}
	if g.discarding {
		w.finish(nil, ErrNotLeader{})
		return
	}
	index, term, err := g.node.Propose(entry)
	if err != nil {
		g.metrics.refused.Inc()
		w.finish(nil, g.convertError(err))
		return
	}
	w.term = term
	w.began = time.Now()
	g.metrics.proposals.Inc()
	g.waiters[index] = append(g.waiters[index], w)
}

// convertError converts an error of the raft node for callers of this package.
func (g *Group) convertError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader{Leader: g.node.Status().Leader.VM}
	}
	return fmt.Errorf("%w: %w", ErrNotCommitted, err)
}

// resolve answers the proposals that wait at the index of an applied entry. A
// proposal of another term was overwritten.
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

// abandonWaiters ends the proposals up to index with ErrOutcomeUnknown. It is
// called when their outcome can no longer be determined.
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

// expireWaiters ends the remaining proposals once this VM has not led for twice
// the longest election timeout. By then a new leader has usually committed or
// overwritten them.
func (g *Group) expireWaiters() {
	if g.ticksSinceLeading > 4*int(g.host.cfg.Election/g.host.tick) {
		g.abandonWaiters(^uint64(0))
	}
}

// awaitProposals waits until no proposal is in progress or the host has stopped.
// After this VM has stopped leading it accepts none, and expireWaiters bounds the
// wait. While it still leads, proposals keep arriving, so it does not wait.
func (g *Group) awaitProposals(ctx context.Context) error {
	poll := time.NewTicker(g.host.tick)
	defer poll.Stop()
	for {
		waiting := make(chan bool, 1)
		g.host.Do(func() { waiting <- len(g.waiters) > 0 && g.node.Role() != raft.Leader })
		select {
		case more := <-waiting:
			if !more {
				return nil
			}
		default:
			return nil // the host has stopped
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for the outcomes of proposals: %w", ctx.Err())
		}
	}
}

// failAll ends all calls: proposals with ErrOutcomeUnknown, all others with err.
func (g *Group) failAll(err error) {
	g.abandonWaiters(^uint64(0))
	for token, w := range g.pendingReads {
		w.finish(nil, err)
		delete(g.pendingReads, token)
	}
	for _, c := range g.appliedWaiters {
		c.w.finish(nil, err)
	}
	g.appliedWaiters = nil
}

// TransferLeadership transfers leadership to another voter that holds the state
// and returns once this VM is no longer the leader. It returns ErrNotLeader if
// this VM was not the leader when called.
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
	if g.discarding {
		return ErrNotLeader{}
	}
	if err := g.node.TransferLeadership(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) {
			return g.convertError(err)
		}
		return fmt.Errorf("transfer leadership: %w", err)
	}
	return nil
}
