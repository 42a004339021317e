package dispatch

import (
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// Which endless tasks may be interrupted is judged by what is certain now. A task whose worker may have ended, or is about to by an order
// for the maintenance of its VM, counts as away, whatever the worker listed last.

// canStopAll reports whether all tasks on a VM may be stopped without exceeding the limits of their steps on unavailable tasks.
func (l *Leader) canStopAll(vm string) bool {
	allowed := true
	l.cfg.State.View(func(state *submission.State) {
		for _, w := range state.Workers() {
			if w.GetVm() != vm || w.GetGone() {
				continue
			}
			taken := map[stepKey]int{}
			for ref := range w.Attempts {
				taken[stepKey{ref.Submission, ref.Occurrence, ref.Step}]++
			}
			for key, n := range taken {
				allowed = allowed && n <= l.spareTasks(state, key, w.Incarnation())
			}
		}
	})
	return allowed
}

// spareTasks returns how many more tasks of a step may be stopped without exceeding its limit on unavailable tasks. Those on the worker
// incarnation all, if any, are to be stopped together and are not counted as away.
func (l *Leader) spareTasks(state *submission.State, key stepKey, all submission.Incarnation) int {
	sub := state.Submission(key.submission)
	if sub == nil || !sub.Active() {
		return math.MaxInt
	}
	spec := sub.Spec.GetSteps()[key.step]
	o := sub.Occurrence(key.occurrence)
	if spec.GetMaxUnavailable() == 0 || o.Done {
		return math.MaxInt
	}
	spare, now := int(spec.GetMaxUnavailable()), l.cfg.Clock()
	for i := range o.Steps[key.step].Tasks {
		ref, t := submission.Ref{Submission: key.submission, Occurrence: key.occurrence, Step: key.step, Index: uint32(i)}, &o.Steps[key.step].Tasks[i]
		if together := t.Placed() && t.On == all; !together && !l.isServing(state, ref, t, now) {
			spare--
		}
	}
	return spare
}

// isServing reports whether an endless task certainly serves requests now: it did when its worker last answered a hold, it has not been
// told to stop since, and its worker stays.
func (l *Leader) isServing(state *submission.State, ref submission.Ref, t *submission.Task, now time.Duration) bool {
	s, w := l.sessions[t.On.ID], state.Workers()[t.On.ID]
	if !t.Placed() || s == nil || s.incarnation != t.On || w == nil || !l.stays(s, w, now) {
		return false
	}
	if r := l.runs[ref]; r != nil && r.attempt == t.Attempt && r.phase == phaseStopping {
		return false
	}
	reported, ok := s.running[ref]
	return ok && reported.Attempt == t.Attempt && reported.Percent >= servingPercent
}

// stays reports whether a worker answers the leader, has a lease and is not about to end by an order for the maintenance of its VM.
func (l *Leader) stays(s *session, w *submission.Worker, now time.Duration) bool {
	return !s.unanswered && l.usable(s, now) && !l.endsByUpkeep(w.GetVm(), s.incarnation)
}
