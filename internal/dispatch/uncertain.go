package dispatch

import (
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
	endless  bool
	// since is when the start became uncertain. It is carried out by arrivesBy, if ever.
	since, arrivesBy time.Duration
	// leasesArriveBy is by when all other calls have been carried out, if ever, that extend the lease of an unknown incarnation which may run
	// the attempt.
	leasesArriveBy time.Duration
	// refusedBy is the session with a new incarnation that neither runs the attempt nor will start it, if there is one. The next one may.
	refusedBy *session
	// successorUnseen is true if a later incarnation may exist although this leader has a session with the previous one.
	successorUnseen bool
}

// recordUncertainStarts records the attempts of a replaced incarnation whose start may be carried out by its successor.
func (l *Leader) recordUncertainStarts(state *submission.State, previous submission.Incarnation) {
	for ref, r := range l.runs {
		if r.on == previous {
			l.addUncertainStart(ref, l.uncertainStartOf(state, ref, r))
		}
	}
	if w := state.Workers()[previous.ID]; w != nil && w.Incarnation() == previous {
		for ref, attempt := range w.Attempts {
			l.addUntracked(state, ref, attempt, previous)
		}
	}
	forEachLost(state, func(ref submission.Ref, attempt uint32, on submission.Incarnation) {
		if on == previous {
			l.addUntracked(state, ref, attempt, previous)
		}
	})
}

// uncertainStartOf returns the record of an attempt whose start a later incarnation of the worker may have carried out or may yet carry
// out, nil if there is no such start.
func (l *Leader) uncertainStartOf(state *submission.State, task submission.Ref, r *run) *uncertainStart {
	now, last := l.cfg.Clock(), r.unansweredAt
	if stepOf(state, task).GetEndless() {
		if r.confirmed && !l.mayArriveLate(r) {
			return nil
		}
		return &uncertainStart{previous: r.on, attempt: r.attempt, endless: true, since: now, arrivesBy: now + lateCallTimeout}
	}
	if r.takenOver {
		last = max(last, lastStart(state.Task(task), l.termStart+previousLeaderTimeout))
	}
	delay := l.late.delay(now)
	u := &uncertainStart{previous: r.on, attempt: r.attempt, since: now, arrivesBy: last + delay}
	received := false // by that incarnation
	if s := l.sessions[r.on.ID]; s != nil && s.incarnation == r.on {
		lease := s.leaseSnapshot()
		received, u.leasesArriveBy = lease.identifiedAt >= u.arrivesBy, lease.grantedAt+delay
	}
	if last == 0 || received || now > l.unseenLeaseOver(u) {
		return nil
	}
	return u
}

// unseenLeaseOver returns when the lease is over of an unknown incarnation that may run an attempt.
func (l *Leader) unseenLeaseOver(u *uncertainStart) time.Duration {
	return max(u.arrivesBy, u.leasesArriveBy) + l.longestLease()
}

// lastStart returns when a start of the current or an earlier attempt of a task was last sent by a leader that does not track it now, at
// the latest: before the given time, and for as long as a start is repeated. t may be nil.
func lastStart(t *submission.Task, before time.Duration) time.Duration {
	if t == nil {
		return before
	}
	return min(before, t.PlacedAt()+startTimeout)
}

// mayArriveLate reports whether a start of a run that got no answer may still be carried out, for an endless task.
func (l *Leader) mayArriveLate(r *run) bool {
	return r.outcomeUnknown && l.cfg.Clock()-max(r.calledAt, r.trackedSince) < lateCallTimeout
}

// addUntracked records an attempt unless this leader has tracked it and knows better. The previous leader may have sent its start.
func (l *Leader) addUntracked(state *submission.State, task submission.Ref, attempt uint32, previous submission.Incarnation) {
	if r := l.runs[task]; r != nil && r.attempt == attempt && r.on == previous {
		return
	}
	now := l.cfg.Clock()
	u := &uncertainStart{previous: previous, attempt: attempt, endless: stepOf(state, task).GetEndless(), since: now, arrivesBy: now + lateCallTimeout}
	if !u.endless {
		u.arrivesBy = lastStart(state.Task(task), max(now, l.termStart+previousLeaderTimeout)) + l.late.delay(now)
	}
	l.addUncertainStart(task, u)
}

// addUncertainStart adds a record, which may be nil. It stands for the earlier attempts too, of which copies may be on their way.
func (l *Leader) addUncertainStart(task submission.Ref, u *uncertainStart) {
	known := l.uncertainStarts[task]
	if u == nil || known != nil && known.attempt >= u.attempt {
		return
	}
	if known != nil {
		u.arrivesBy, u.leasesArriveBy = max(u.arrivesBy, known.arrivesBy), max(u.leasesArriveBy, known.leasesArriveBy)
	}
	l.uncertainStarts[task] = u
	l.log.Info().Str("decision", "unsure").Str("request", task.Submission).Uint32("step", task.Step).Uint32("task", task.Index).
		Uint32("attempt", u.attempt).Str("worker", u.previous.ID).Dur("arrives_in_ms", u.arrivesBy-u.since).Bool("successor_unseen", u.successorUnseen).
		Msg("the next incarnation of the worker may have started the attempt")
}

// forEachLost calls f for each task of which an attempt was lost on a worker incarnation that has gone and may still be started by a later
// one, with the highest number that this attempt can have.
func forEachLost(state *submission.State, f func(task submission.Ref, attempt uint32, on submission.Incarnation)) {
	for id, sub := range state.Active() {
		for number, o := range sub.Occurrences {
			for i := range o.Steps {
				for j := range o.Steps[i].Tasks {
					t := &o.Steps[i].Tasks[j]
					if t.LostOn == (submission.Incarnation{}) {
						continue
					}
					attempt := t.Attempt
					if t.Placed() {
						attempt--
					}
					f(submission.Ref{Submission: id, Occurrence: number, Step: uint32(i), Index: uint32(j)}, attempt, t.LostOn)
				}
			}
		}
	}
}

// takeOverUncertainStarts records the tasks of which an attempt was lost on a worker incarnation that has gone. The previous
// leader may have known that such an attempt cannot run any more; this one does not.
func (l *Leader) takeOverUncertainStarts(state *submission.State) {
	occupants := map[string]string{} // worker ids by address
	for id, s := range l.sessions {
		occupants[s.address] = id
	}
	forEachLost(state, func(ref submission.Ref, attempt uint32, on submission.Incarnation) {
		if occupant, ok := occupants[addressOf(state, on)]; !ok || occupant == on.ID {
			l.addUntracked(state, ref, attempt, on)
		}
	})
}

// addressOf returns the address of the worker that an incarnation belongs to, "" if it is unknown.
func addressOf(state *submission.State, incarnation submission.Incarnation) string {
	if w := state.Workers()[incarnation.ID]; w != nil {
		return w.GetAddress()
	}
	return ""
}

// dropReplaced removes the records of attempts on workers that the one of a new session has replaced under another id: that refuses all
// calls for them.
func (l *Leader) dropReplaced(state *submission.State, s *session) {
	maps.DeleteFunc(l.uncertainStarts, func(_ submission.Ref, u *uncertainStart) bool {
		return u.previous.ID != s.incarnation.ID && addressOf(state, u.previous) == s.address
	})
}

// mayStart reports whether the task may be placed: no worker incarnation can still start an earlier attempt of it by mistake. only is the
// id of the only worker on which it may start, "" if it may on any: an incarnation that refuses the earlier attempt ends before the next
// one under its id can start that.
func (l *Leader) mayStart(task submission.Ref, now time.Duration) (only string, ok bool) {
	u := l.uncertainStarts[task]
	switch {
	case u == nil:
		return "", true
	case l.expired(u, now):
		delete(l.uncertainStarts, task)
		return "", true
	case u.refusedBy != nil && u.refusedBy == l.sessions[u.previous.ID]:
		return u.previous.ID, true
	}
	return "", false
}

// expired reports whether no new incarnation can start the attempt any more, or run it any longer if it did: a delayed call has arrived by
// now, and the lease is over that it may have granted. Without a session with a new incarnation, nobody may know of it; an endless task
// is waited for only if there is a sign of one.
func (l *Leader) expired(u *uncertainStart, now time.Duration) bool {
	if now <= u.arrivesBy {
		return false
	}
	s := l.sessions[u.previous.ID]
	if s == nil {
		return u.endless || now > l.unseenLeaseOver(u)
	}
	if s.incarnation == u.previous && !u.successorUnseen {
		return true
	}
	return now > max(l.unseenLeaseOver(u), l.leaseExpiry(s.leaseSnapshot()))
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
		if u.previous.ID == s.incarnation.ID && u.previous != s.incarnation && u.refusedBy != s {
			return true
		}
	}
	return false
}

// resolveUncertainStarts resolves the attempts that a new incarnation may have started in place of its predecessor. With its first answer
// in its session it refuses all calls meant for that one, so that an attempt which it does not list then cannot run there any more. One that
// it lists is stopped. sent is when the answered hold was sent; complete is false if attempts may have ended that the answer does not list.
func (l *Leader) resolveUncertainStarts(s *session, sent time.Duration, complete bool) {
	for ref, u := range l.uncertainStarts {
		if u.previous == s.incarnation && u.successorUnseen && sent > u.since { // it lives, so that the report of a successor was false
			delete(l.uncertainStarts, ref)
			l.dirty = true
		}
		if u.previous.ID != s.incarnation.ID || u.previous == s.incarnation || !complete || s.mayRunUpTo(ref, u.attempt) {
			continue
		}
		u.refusedBy, l.dirty = s, true
		if u.endless || sent > u.arrivesBy {
			delete(l.uncertainStarts, ref)
		}
	}
}

// mayRunUpTo reports whether the last answer to a hold lists an attempt of a task as running that is not later than the given one.
func (s *session) mayRunUpTo(task submission.Ref, attempt uint32) bool {
	running, ok := s.running[task]
	return ok && running.Attempt <= attempt
}
