package dispatch

import (
	"github.com/lentilyard/lentilyard/internal/submission"
)

// A worker that is cut off may have restarted before, unnoticed. Its new incarnation may have carried out a start that was meant for the former
// one, and holds the task for the longest lease from then, which may end after the leases that the leader has granted.

// withoutUnseenStarts removes the attempts, among those that are lost with the lease of a worker, that an unknown successor may run. They
// stay placed until that is ruled out, so that the next leader waits for them too.
func (l *Leader) withoutUnseenStarts(s *session, lost []submission.Ref, attempts []uint32) (refs []submission.Ref, numbers []uint32) {
	for i, ref := range lost {
		l.ensureTracked(ref, attempts[i], s.incarnation, false)
		if r := l.runs[ref]; r.on == s.incarnation && r.attempt == attempts[i] && l.mayRunUnseen(ref, r) {
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
func (l *Leader) mayRunUnseen(task submission.Ref, r *run) bool {
	if l.isEndless(task) {
		return false
	}
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
