package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// recordListed records that the endless tasks that a worker has just listed as running do run.
func (l *Leader) recordListed(s *session, now time.Duration) {
	l.cfg.State.View(func(state *submission.State) {
		for ref := range s.running {
			if stepOf(state, ref).GetEndless() {
				l.lastRuns[ref] = now
			}
		}
	})
}

// recordStarted records that a worker has acknowledged the start of a task. For an endless task that ran before, it returns for how
// long the task was away.
func (l *Leader) recordStarted(task submission.Ref, attempt uint32) time.Duration {
	now, away := l.cfg.Clock(), time.Duration(0)
	l.cfg.State.View(func(state *submission.State) {
		if !stepOf(state, task).GetEndless() {
			return
		}
		if attempt > 1 {
			away = l.outage(task, now)
			outageSeconds.Update(away.Seconds())
		}
		l.lastRuns[task] = now
	})
	return away
}

// outage returns the time since an endless task was last known to run. If this leader has not seen it running, it ran before the term.
func (l *Leader) outage(task submission.Ref, now time.Duration) time.Duration {
	if last, ok := l.lastRuns[task]; ok {
		return now - last
	}
	return now - l.termStart
}
