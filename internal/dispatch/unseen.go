package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// A worker that is cut off may have restarted before, unnoticed. Its new incarnation may have carried out a start that was meant for the former
// one, and holds the task for the longest lease from then, which may end after the leases that the leader has granted.

// withoutUnseenStarts removes the attempts, among those that are lost with the lease of a worker, that an unknown successor may run. They
// stay placed until that is ruled out, so that the next leader waits for them too.
func (l *Leader) withoutUnseenStarts(s *session, lost []submission.Ref, attempts []uint32) (refs []submission.Ref, numbers []uint32) {
	for i, ref := range lost {
		l.ensureTracked(ref, attempts[i], s.incarnation, false)
		if r := l.runs[ref]; r.on == s.incarnation && r.attempt == attempts[i] && l.mayRunUnseen(s, ref, r) {
			continue
		}
		refs, numbers = append(refs, ref), append(numbers, attempts[i])
	}
	return refs, numbers
}

// mayBeWithSuccessor reports whether it is recorded that a later incarnation of the worker may have carried out the start of an attempt.
func (l *Leader) mayBeWithSuccessor(task submission.Ref, r *run) bool {
	u := l.uncertainStarts[task]
	return u != nil && u.attempt == r.attempt && u.previous == r.on
}

// mayRunUnseen reports whether the worker may have restarted since it was last identified, so that a later incarnation, unknown so far, may
// have carried out the start of an attempt, with the longest lease. It records the attempt if so. An endless task is not waited for: it
// would be away for longer than its callers are promised if the worker is lost for good, which cannot be told from a restart behind a cut.
func (l *Leader) mayRunUnseen(s *session, task submission.Ref, r *run) bool {
	now := l.cfg.Clock()
	if l.isEndless(task) {
		return false
	}
	if l.mayBeWithSuccessor(task, r) {
		return !l.expired(l.uncertainStarts[task], now)
	}
	since, confirmed := r.lastStartAt, r.confirmed
	if since == 0 {
		since, confirmed = l.lastStartOfPredecessor(task, r)
		confirmed = confirmed || r.confirmed
	}
	lateCopy := r.confirmed && r.outcomeUnknown && s.leaseSnapshot().identifiedAt-since < lateCallTimeout
	u := &uncertainStart{previous: s.incarnation, attempt: r.attempt, since: since, arrivesBy: since + callTimeout, successorUnseen: true}
	if confirmed && !lateCopy || now > u.arrivesBy+l.longestLease() {
		return false
	}
	l.addUncertainStart(task, u)
	return true
}

// lastStartOfPredecessor returns when a previous leader last sent the start of an attempt at the latest, and whether the incarnation that
// the attempt was placed on must have started it: that leader would have recorded the worker as silent if it had restarted while the start
// was repeated.
func (l *Leader) lastStartOfPredecessor(task submission.Ref, r *run) (time.Duration, bool) {
	last, confirmed := l.termStart+previousLeaderTimeout, false
	l.cfg.State.View(func(state *submission.State) {
		t, w := state.Task(task), state.Workers()[r.on.ID]
		if t == nil || t.Attempt != r.attempt || w == nil || w.Incarnation() != r.on {
			return
		}
		noticed := l.termStart - previousLeaderTimeout
		if since, silent := w.SilentSince(); silent {
			noticed = min(l.termStart, since)
		}
		last = min(last, t.PlacedAt()+startTimeout)
		confirmed = noticed-t.PlacedAt() >= startTimeout+unnoticedCrash
	})
	return last, confirmed
}
