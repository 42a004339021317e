package dispatch

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Log appends entries to the replicated log of the submissions group. replica.Group implements it.
type Log interface {
	Propose(ctx context.Context, entry []byte) (any, error)
	ReadBarrier(ctx context.Context) error
}

const (
	// commitTimeout bounds the wait for a commit. A leader without a quorum steps down sooner.
	commitTimeout = 5 * time.Second
	// maxEntryChanges bounds the number of changes in one log entry.
	maxEntryChanges = 512
)

// queueChange queues a change for the next entry. after is called on the loop with its result.
func (l *Leader) queueChange(c *pb.SubmissionChange, after func(submission.Result, error)) {
	l.pendingChanges = append(l.pendingChanges, c)
	l.callbacks = append(l.callbacks, after)
}

// commit proposes the queued changes as one entry.
func (l *Leader) commit() {
	n := min(len(l.pendingChanges), maxEntryChanges)
	changes, after := l.pendingChanges[:n:n], l.callbacks[:n:n]
	l.pendingChanges, l.callbacks = l.pendingChanges[n:], l.callbacks[n:]
	l.inFlight = true
	ctx, term := l.ctx, l.term
	go func() {
		began := time.Now()
		results, err := commitEntry(ctx, l.cfg.Log, &pb.SubmissionEntry{Changes: changes, DecidedTerm: term})
		commitSeconds.UpdateDuration(began)
		l.post(func() {
			if l.term != term {
				return
			}
			l.inFlight = false
			l.dirty = true
			for i, f := range after {
				if err != nil {
					f(submission.Result{}, err)
					continue
				}
				f(results[i], nil)
			}
		})
	}()
}

// Commit proposes changes as one entry that is valid in any term, and returns one result for each change. Errors of
// replica.Group.Propose are returned unchanged.
func Commit(ctx context.Context, log Log, changes ...*pb.SubmissionChange) ([]submission.Result, error) {
	return commitEntry(ctx, log, &pb.SubmissionEntry{Changes: changes})
}

func commitEntry(ctx context.Context, log Log, e *pb.SubmissionEntry) ([]submission.Result, error) {
	e.UnixMs = time.Now().UnixMilli()
	entry, err := proto.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := log.Propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	switch r := result.(type) {
	case []submission.Result:
		return r, nil
	case error:
		return nil, fmt.Errorf("apply changes: %w", r)
	default:
		return nil, fmt.Errorf("apply changes: result of type %T", result)
	}
}
