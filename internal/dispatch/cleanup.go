package dispatch

import "github.com/lentilyard/lentilyard/internal/submission"

// cleanUpTasks removes records of ended submissions and of worker incarnations that are gone.
func (l *Leader) cleanUpTasks() {
	l.cfg.State.View(func(state *submission.State) {
		alive := func(ref submission.Ref) bool {
			sub := state.Submission(ref.Submission)
			return sub != nil && sub.Active()
		}
		l.pressure.Keep(alive)
		for ref := range l.avoid {
			if !alive(ref) {
				delete(l.avoid, ref)
			}
		}
		for ref := range l.lastRuns {
			if !alive(ref) {
				delete(l.lastRuns, ref)
			}
		}
		for ref := range l.calmWaits {
			if !alive(ref) {
				delete(l.calmWaits, ref)
			}
		}
		l.begun.keep(func(id string) bool { return alive(submission.Ref{Submission: id}) })
		for id := range l.occurrences {
			if !alive(submission.Ref{Submission: id}) {
				delete(l.occurrences, id)
			}
		}
		for id := range l.views {
			if state.Workers()[id] == nil {
				delete(l.views, id)
			}
		}
		for ref, r := range l.runs {
			if w := state.Workers()[r.on.ID]; w == nil || w.Incarnation() != r.on || w.GetGone() {
				delete(l.runs, ref)
			}
		}
	})
}
