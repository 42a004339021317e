package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// stallAfter is how long a task may make no progress at full speed before it is started elsewhere. Readings come
	// each 0.6 to 1.5 s, and tasks run for about a second.
	stallAfter = 1300 * time.Millisecond
	// stalledWorker is the number of tasks that must stand still on a worker for it to be set aside.
	stalledWorker = 2
	// leastUse is the processor time in use, as a share of what the task asks for, from which it should make progress.
	leastUse = 0.2
)

// progress is how far an attempt has come.
type progress struct {
	percent float64
	movedAt time.Duration
}

// watchProgress starts tasks elsewhere that stand still although they may work. It answers workers on which tasks hang
// while their reports say that all is well.
func (l *Leader) watchProgress(s *session, now time.Duration) {
	stalled := l.stalledOn(s, now)
	for _, ref := range stalled {
		stalledTotal.Inc()
		r := l.runs[ref]
		l.log.Warn().Str("decision", "stalled").Str("request", ref.Submission).Uint32("step", ref.Step).Uint32("task", ref.Index).Uint32("attempt", r.attempt).
			Str("worker", s.life.ID).Float64("percent", r.progress.percent).Dur("still_ms", now-r.progress.movedAt).Msg("the task makes no progress; it is started elsewhere")
		l.avoidWorker(ref, s.life.ID)
		l.stopRun(ref, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "stalled")
	}
	if len(stalled) >= stalledWorker {
		q := l.qualityOf(s.life.ID)
		q.quarantine = max(q.quarantine, now+quarantineFor)
		l.log.Warn().Str("decision", "quarantine").Str("worker", s.life.ID).Int("stalled", len(stalled)).Msg("tasks stand still there")
	}
}

// stalledOn notes the progress of the tasks on a worker and returns those that stand still.
func (l *Leader) stalledOn(s *session, now time.Duration) []submission.Ref {
	var stalled []submission.Ref
	l.cfg.State.View(func(state *submission.State) {
		for ref, running := range s.figures {
			r, sub := l.runs[ref], state.Submission(ref.Submission)
			if r == nil || sub == nil || r.attempt != running.Attempt || r.phase != confirmedRun || sub.Spec.GetSteps()[ref.Step].GetEndless() {
				continue
			}
			step := sub.Spec.GetSteps()[ref.Step]
			// A filling task that gets no processor time, a slowed one, and a gang that waits for members stand still rightly.
			starved := step.GetFills() && running.Figure < leastUse*float64(step.GetSize().GetMillicores())
			if running.Percent != r.progress.percent || r.progress.movedAt == 0 || starved || step.GetGang() || s.shareOf(ref) < 100 {
				r.progress = progress{percent: running.Percent, movedAt: now}
				continue
			}
			if now-r.progress.movedAt > stallAfter {
				stalled = append(stalled, ref)
			}
		}
	})
	return stalled
}
