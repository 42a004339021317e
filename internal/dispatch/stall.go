package dispatch

import (
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// stallTimeout is how long a task at full speed may make no progress before it is restarted on another worker. Readings
	// arrive every 0.6 to 1.5 s, and tasks run for about a second.
	stallTimeout = 1300 * time.Millisecond
	// stallQuarantineThreshold is the number of tasks that must stall on a worker at the same time for it to be quarantined.
	stallQuarantineThreshold = 2
	// percentSlack is how many times longer than expected a task may take for one percent where its worker states whole percents only. The
	// estimate of a task's time is rough, and a task may be far from its data.
	percentSlack = 8
	// minCPUUse is the fraction of its declared processor time that a filling task must use to be expected to make progress.
	minCPUUse = 0.2
)

// progress is the last known progress of an attempt.
type progress struct {
	percent   float64
	changedAt time.Duration // when percent last changed or the attempt had a reason not to progress
	// fine is true once the worker has stated a part of a percent.
	fine bool
}

// stalledAfter returns for how long the percent of a task at full speed may stay the same, given the estimate of its time.
func (p progress) stalledAfter(estimate time.Duration) time.Duration {
	if p.fine {
		return stallTimeout
	}
	return max(stallTimeout, percentSlack*estimate/100)
}

// restartStalled restarts stalled tasks on other workers. It detects workers on which tasks hang although the workers report
// no problem, and quarantines them.
func (l *Leader) restartStalled(s *session, now time.Duration) {
	stalled := l.findStalled(s, now)
	for _, ref := range stalled {
		stalledTotal.Inc()
		r := l.runs[ref]
		l.log.Warn().Str("decision", "stalled").Str("request", ref.Submission).Uint32("step", ref.Step).Uint32("task", ref.Index).Uint32("attempt", r.attempt).
			Str("worker", s.incarnation.ID).Float64("percent", r.progress.percent).Dur("still_ms", now-r.progress.changedAt).Msg("the task makes no progress and is restarted on another worker")
		l.avoidWorker(ref, s.incarnation.ID)
		l.stopRun(ref, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "stalled")
	}
	if len(stalled) >= stallQuarantineThreshold && l.mayQuarantine(s.incarnation.ID, now) {
		health := l.healthOf(s.incarnation.ID)
		health.quarantinedUntil = max(health.quarantinedUntil, now+quarantineFor)
		l.log.Warn().Str("decision", "quarantine").Str("worker", s.incarnation.ID).Int("stalled", len(stalled)).Msg("several tasks make no progress on the worker")
	}
}

// findStalled records the progress of the tasks on a worker and returns the stalled ones.
func (l *Leader) findStalled(s *session, now time.Duration) []submission.Ref {
	var stalled []submission.Ref
	l.cfg.State.View(func(state *submission.State) {
		for ref, running := range s.running {
			r, step := l.runs[ref], stepOf(state, ref)
			if r == nil || step == nil || r.attempt != running.Attempt || r.phase != phaseRunning || step.GetEndless() {
				continue
			}
			// Lack of progress is no fault in a filling task without processor time, a throttled task, or a gang waiting for members.
			starved := step.GetFills() && running.Figure < minCPUUse*float64(step.GetSize().GetMillicores())
			if running.Percent != r.progress.percent || r.progress.changedAt == 0 || starved || step.GetGang() || s.speedLimit(ref, running.Attempt) < fullSpeed {
				r.progress = progress{percent: running.Percent, changedAt: now, fine: r.progress.fine || running.Percent != math.Trunc(running.Percent)}
				continue
			}
			if now-r.progress.changedAt > r.progress.stalledAfter(time.Duration(step.GetEstimateMs())*time.Millisecond) {
				stalled = append(stalled, ref)
			}
		}
	})
	return stalled
}
