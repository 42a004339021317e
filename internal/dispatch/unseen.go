package dispatch

import (
	"github.com/lentilyard/lentilyard/internal/submission"
)

// A worker that is cut off may have restarted before, unnoticed. Its new incarnation may have carried out a start that was meant for the former
// one, and holds the task for the longest lease from then, which may end after the leases that the leader has granted. Endless tasks are not
// waited for: they would be away for longer than their callers are promised if the worker is lost for good, which cannot be told from a
// restart behind a cut.

// withoutHeld removes the attempts, among those that are lost with the lease of a worker, that it may still run by a lease from a late call,
// or that an unknown successor may run. They stay placed until that is ruled out, so that the next leader waits for them too.
func (l *Leader) withoutHeld(s *session, lost []submission.Ref, attempts []uint32) (refs []submission.Ref, numbers []uint32) {
	held := l.cfg.Clock() < s.leaseSnapshot().lateOver
	for i, ref := range lost {
		l.ensureTracked(ref, attempts[i], s.incarnation, false)
		r := l.runs[ref]
		if r.on == s.incarnation && r.attempt == attempts[i] && !l.isEndless(ref) && (held || l.mayRunUnseen(ref, r)) {
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
// have carried out the start of an attempt, with the longest lease. It records the attempt if so.
func (l *Leader) mayRunUnseen(task submission.Ref, r *run) bool {
	if !l.mayBeWithSuccessor(task, r) {
		var u *uncertainStart
		l.cfg.State.View(func(state *submission.State) { u = l.uncertainStartOf(state, task, r) })
		if u == nil {
			return false
		}
		u.successorUnseen = true
		l.addUncertainStart(task, u)
	}
	return !l.expired(l.uncertainStarts[task], l.cfg.Clock())
}
