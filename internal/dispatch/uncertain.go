package dispatch

import (
	"context"
	"maps"
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// On the wire, a call identifies the worker only by its id. If a worker restarts under the same id, the new incarnation may
// carry out a start that was meant for the previous one, at once or when a delayed call arrives. A task must not start on
// another worker until this is ruled out.

// uncertainStart is an attempt that the previous incarnation of a worker was told to start but never listed as running.
type uncertainStart struct {
	previous submission.Incarnation
	attempt  uint32
	// since is when the start was last sent, or when it became uncertain. It is carried out by arrivesBy, if ever.
	since, arrivesBy time.Duration
	// in is the session with a new incarnation in which the attempt was last revoked; each new incarnation has to be told. No start meant
	// for the previous one is sent after inSince.
	in      *session
	inSince time.Duration
	// calling is true while the stop call in that session is in progress. revokedAt is when the call was acknowledged.
	calling   bool
	revokedAt time.Duration
	// successorUnseen is true if a later incarnation may exist that this leader has not reached.
	successorUnseen bool
}

// recordUncertainStarts records the attempts of a replaced incarnation whose start may be carried out by its successor: all but
// those that the incarnation is known to have started and of whose start no copy can still be on its way.
func (l *Leader) recordUncertainStarts(state *submission.State, previous submission.Incarnation) {
	for ref, r := range l.runs {
		if r.on == previous && (!r.confirmed || l.mayArriveLate(r)) {
			l.addUncertainStart(ref, l.newUncertainStart(previous, r.attempt))
		}
	}
	if w := state.Workers()[previous.ID]; w != nil && w.Incarnation() == previous {
		for ref, attempt := range w.Attempts {
			l.addUntracked(ref, attempt, previous)
		}
	}
	forEachLost(state, func(ref submission.Ref, t *submission.Task) {
		if t.LostOn == previous {
			l.addUntracked(ref, t.Attempt, previous)
		}
	})
}

// mayArriveLate reports whether a start of a run that got no answer may still be carried out.
func (l *Leader) mayArriveLate(r *run) bool {
	return r.outcomeUnknown && l.cfg.Clock()-max(r.calledAt, r.trackedSince) < lateCallTimeout
}

// addUntracked records an attempt unless this leader has tracked it and knows better.
func (l *Leader) addUntracked(task submission.Ref, attempt uint32, previous submission.Incarnation) {
	if r := l.runs[task]; r == nil || r.attempt != attempt || r.on != previous {
		l.addUncertainStart(task, l.newUncertainStart(previous, attempt))
	}
}

// newUncertainStart returns the record of a start whose copies may be on their way now.
func (l *Leader) newUncertainStart(previous submission.Incarnation, attempt uint32) *uncertainStart {
	now := l.cfg.Clock()
	return &uncertainStart{previous: previous, attempt: attempt, since: now, arrivesBy: now + lateCallTimeout}
}

func (l *Leader) addUncertainStart(task submission.Ref, u *uncertainStart) {
	if known := l.uncertainStarts[task]; known != nil && known.attempt >= u.attempt {
		return
	}
	l.uncertainStarts[task] = u
	l.log.Info().Str("decision", "unsure").Str("request", task.Submission).Uint32("step", task.Step).Uint32("task", task.Index).
		Uint32("attempt", u.attempt).Str("worker", u.previous.ID).Dur("age_ms", l.cfg.Clock()-u.since).Bool("successor_unseen", u.successorUnseen).
		Msg("the next incarnation of the worker may have started the attempt")
}

// forEachLost calls f for each waiting task whose last attempt was on a worker incarnation that has gone.
func forEachLost(state *submission.State, f func(submission.Ref, *submission.Task)) {
	for id, sub := range state.Active() {
		for number, o := range sub.Occurrences {
			for i := range o.Steps {
				for j := range o.Steps[i].Tasks {
					if t := &o.Steps[i].Tasks[j]; t.LostOn != (submission.Incarnation{}) {
						f(submission.Ref{Submission: id, Occurrence: number, Step: uint32(i), Index: uint32(j)}, t)
					}
				}
			}
		}
	}
}

// takeOverUncertainStarts records the waiting tasks whose last attempt was on a worker incarnation that has gone. The previous
// leader may have known that such an attempt cannot run any more; this one does not.
func (l *Leader) takeOverUncertainStarts(state *submission.State) {
	forEachLost(state, func(ref submission.Ref, t *submission.Task) {
		l.addUncertainStart(ref, l.newUncertainStart(t.LostOn, t.Attempt))
	})
}

// mayStart reports whether the task may be placed: no worker incarnation can still start an earlier attempt of it by mistake.
func (l *Leader) mayStart(task submission.Ref, now time.Duration) bool {
	u := l.uncertainStarts[task]
	if u != nil && l.expired(u, now) {
		delete(l.uncertainStarts, task)
		return true
	}
	return u == nil
}

// expired reports whether no new incarnation can start the attempt any more, or run it any longer if it did: a delayed call
// has arrived by now, and if a new incarnation has registered, its lease is over.
func (l *Leader) expired(u *uncertainStart, now time.Duration) bool {
	if now <= u.arrivesBy {
		return false
	}
	s := l.sessions[u.previous.ID]
	if s == nil || s.incarnation == u.previous && !u.successorUnseen {
		return true
	}
	return now > max(u.arrivesBy+l.longestLease(), l.leaseExpiry(s.leaseSnapshot()))
}

// cleanUpUncertainStarts removes the records that are out of date, including those of tasks that no longer wait.
func (l *Leader) cleanUpUncertainStarts(now time.Duration) {
	maps.DeleteFunc(l.strayArrivals, func(_ string, arrival time.Duration) bool { return arrival+l.longestLease() < now })
	for ref, u := range l.uncertainStarts {
		if l.expired(u, now) {
			delete(l.uncertainStarts, ref)
		}
	}
}

// mayRunUncertainStarts reports whether the worker incarnation of a session may run attempts meant for its predecessor.
// These occupy resources that the planner would count as free.
func (l *Leader) mayRunUncertainStarts(s *session) bool {
	for _, u := range l.uncertainStarts {
		if u.previous.ID == s.incarnation.ID && u.previous != s.incarnation {
			return true
		}
	}
	return false
}

// resolveUncertainStarts resolves the attempts that a new incarnation may have started in place of its predecessor. It first
// sends a stop, after which the attempt cannot start there. Once a later hold does not list the attempt, its task may be
// placed again. So it may if a hold does not list it by which a delayed call has arrived: a sick worker may answer no stop. complete
// is false if attempts may have ended there that the answer to the hold does not list.
func (l *Leader) resolveUncertainStarts(s *session, sent time.Duration, complete bool) {
	for ref, u := range l.uncertainStarts {
		if u.previous == s.incarnation && u.successorUnseen && sent > u.since { // it lives, so that the report of a successor was false
			delete(l.uncertainStarts, ref)
			l.dirty = true
		}
		if u.previous.ID != s.incarnation.ID || u.previous == s.incarnation {
			continue
		}
		if u.in != s {
			u.in, u.inSince, u.calling, u.revokedAt = s, l.cfg.Clock(), false, 0
		}
		cannotStart := u.revokedAt > 0 && u.revokedAt <= sent || sent > u.inSince+lateCallTimeout
		switch {
		case complete && cannotStart && s.running[ref].Attempt != u.attempt:
			delete(l.uncertainStarts, ref)
			l.dirty = true
		case u.revokedAt == 0 && !u.calling:
			l.revoke(s, ref, u)
		}
	}
}

// revoke tells a worker incarnation to stop an attempt if it runs and never to start it.
func (l *Leader) revoke(s *session, task submission.Ref, u *uncertainStart) {
	c := StopCall{Target: s.target(), Task: task, Attempt: u.attempt}
	u.calling = true
	stopsTotal.Inc()
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Stop(ctx, c) }, func(err error, _ reading) {
		u.calling = false
		if err == nil {
			u.revokedAt = l.cfg.Clock()
			l.pollNow(s)
		}
	})
}
