package dispatch

import (
	"context"
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// On the wire, a call identifies the worker only by its id. If a worker restarts under the same id, the new incarnation may
// carry out a start that was meant for the previous one, at once or when a delayed call arrives. A task must not start on
// another worker until this is ruled out.

// uncertainStartTimeout bounds the wait for the new incarnation to register. Delayed calls are carried out within seconds.
const uncertainStartTimeout = 4 * time.Second

// uncertainStart is an attempt that the previous incarnation of a worker was told to start but never listed as running.
type uncertainStart struct {
	previous submission.Incarnation
	attempt  uint32
	since    time.Duration
	// calling is true while the stop call to the new incarnation is in progress. revokedAt is when that call was acknowledged.
	calling   bool
	revokedAt time.Duration
}

// recordUncertainStarts records the attempts of a replaced incarnation whose start may be carried out by its successor.
func (l *Leader) recordUncertainStarts(previous submission.Incarnation) {
	now := l.cfg.Clock()
	for ref, r := range l.runs {
		if r.on == previous && !r.wasListed {
			l.uncertainStarts[ref] = &uncertainStart{previous: previous, attempt: r.attempt, since: now}
			l.log.Info().Str("decision", "unsure").Str("request", ref.Submission).Uint32("step", ref.Step).Uint32("task", ref.Index).
				Uint32("attempt", r.attempt).Str("worker", previous.ID).Msg("the next incarnation of the worker may have started the attempt")
		}
	}
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

// expired reports whether uncertainStartTimeout has passed and no session with a new incarnation is open.
func (l *Leader) expired(u *uncertainStart, now time.Duration) bool {
	s := l.sessions[u.previous.ID]
	return (s == nil || s.incarnation == u.previous) && now-u.since > uncertainStartTimeout
}

// cleanUpUncertainStarts removes the records that are out of date, including those of tasks that no longer wait.
func (l *Leader) cleanUpUncertainStarts(now time.Duration) {
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
// placed again.
func (l *Leader) resolveUncertainStarts(s *session, sent time.Duration) {
	for ref, u := range l.uncertainStarts {
		if u.previous.ID != s.incarnation.ID || u.previous == s.incarnation {
			continue
		}
		switch {
		case u.revokedAt == 0 && !u.calling:
			l.revoke(s, ref, u)
		case u.revokedAt > 0 && u.revokedAt <= sent && s.running[ref].Attempt != u.attempt:
			delete(l.uncertainStarts, ref)
			l.dirty = true
		}
	}
}

// revoke tells a worker incarnation to stop an attempt if it runs and never to start it.
func (l *Leader) revoke(s *session, task submission.Ref, u *uncertainStart) {
	c := StopCall{Target: l.target(s), Task: task, Attempt: u.attempt}
	u.calling = true
	stopsTotal.Inc()
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Stop(ctx, c) }, func(err error) {
		u.calling = false
		if err == nil {
			u.revokedAt = l.cfg.Clock()
			l.pollNow(s)
		}
	})
}
