package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// servingPercent is the progress, in percent, at which an endless task serves requests. Its tail latency means nothing before.
const servingPercent = 100

// adjustThrottling updates the pressure model with the readings of a worker. It then adjusts the speed of the filling tasks
// there, or marks them to be moved, to keep the services within their latency limits.
func (l *Leader) adjustThrottling(s *session) {
	now := l.cfg.Clock()
	elapsed := now - s.readAt
	s.readAt = now
	l.forgetSpeedLimits(s)
	serving, filling := l.readings(s)
	s.setFastPolling(len(serving) > 0 && len(filling) > 0)
	fill := steps.CPUShares{}
	for _, f := range filling {
		fill[f.Step.GetImage()] += f.Share
	}
	s.fill.Update(fill, elapsed)
	for _, reading := range serving {
		l.pressure.Observe(reading, s.fill)
	}
	if now-s.throttledAt < l.cfg.Bounds.ThrottleDelay+readingSpan {
		return // the reading includes time before the last speed change took effect
	}
	l.correctSpeedLimits(s, filling)
	l.throttleAll(s, steps.ComputeThrottles(l.pressure, serving, filling, s.overLimitFor(serving, now), l.cfg.Bounds.MaxOverLimit/overLimitDivisor))
}

// overLimitDivisor divides Bounds.MaxOverLimit. After that part of it, all filling tasks on the worker of a service that is still over
// its limit are throttled to zero.
const overLimitDivisor = 4

// overLimitFor returns the longest time for which a service on the worker has exceeded its latency limit without a break.
func (s *session) overLimitFor(serving []steps.ServiceReading, now time.Duration) time.Duration {
	longest := time.Duration(0)
	over := map[submission.Ref]time.Duration{}
	for _, reading := range serving {
		if reading.Ratio < 1 {
			continue
		}
		since, ok := s.overLimitSince[reading.Task]
		if !ok {
			since = now
		}
		over[reading.Task] = since
		longest = max(longest, now-since)
	}
	s.overLimitSince = over
	return longest
}

// readingSpan is the period that one reading covers.
const readingSpan = 500 * time.Millisecond

// readings returns the latest readings of the services with a latency limit on a worker, and the filling tasks that work there.
// Both are ordered by task.
func (l *Leader) readings(s *session) (serving []steps.ServiceReading, filling []steps.FillingTask) {
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[s.incarnation.ID]
		if w == nil {
			return
		}
		for ref, running := range s.running {
			if step := stepOf(state, ref); step.GetTailLimitMs() > 0 && running.Percent >= servingPercent {
				serving = append(serving, steps.ServiceReading{Task: ref, Image: step.GetImage(), Ratio: running.Figure / float64(step.GetTailLimitMs()), At: s.readAt})
			}
		}
		for ref, attempt := range w.Attempts {
			if step := stepOf(state, ref); step.GetFills() && l.worksOn(s, ref, attempt) {
				filling = append(filling, s.fillingTask(ref, attempt, step, float64(max(1, w.GetCapacity().GetMillicores()))))
			}
		}
	})
	slices.SortFunc(serving, func(a, b steps.ServiceReading) int { return a.Task.Compare(b.Task) })
	slices.SortFunc(filling, func(a, b steps.FillingTask) int { return a.Task.Compare(b.Task) })
	return serving, filling
}

// stepOf returns the step of a task, or nil if the task is unknown.
func stepOf(state *submission.State, ref submission.Ref) *pb.Step {
	sub := state.Submission(ref.Submission)
	if sub == nil || int(ref.Step) >= len(sub.Spec.GetSteps()) {
		return nil
	}
	return sub.Spec.GetSteps()[ref.Step]
}

// worksOn reports whether the worker of a session runs an attempt, by its last answer to a hold or since it acknowledged the
// start, and has not been told to stop it.
func (l *Leader) worksOn(s *session, ref submission.Ref, attempt uint32) bool {
	r := l.runs[ref]
	return r != nil && r.on == s.incarnation && r.attempt == attempt && r.phase == phaseRunning
}

// fillingTask describes a filling task on a worker with the given capacity in millicores. Share is 0 if the worker has not listed
// the attempt yet.
func (s *session) fillingTask(ref submission.Ref, attempt uint32, step *pb.Step, capacity float64) steps.FillingTask {
	task := steps.FillingTask{Task: ref, Attempt: attempt, Step: step, Declared: float64(step.GetSize().GetMillicores()) / capacity, Percent: s.speedLimit(ref, attempt)}
	if running, ok := s.running[ref]; ok && running.Attempt == attempt {
		task.Share = running.Figure / capacity
	}
	return task
}

// throttleStarted throttles the filling tasks of a worker on which one of them has just started, by the last readings of the
// services there. It is meant for a full pool: until the next reading, a new task would slow down the services at full speed.
func (l *Leader) throttleStarted(s *session) {
	if serving, filling := l.readings(s); len(serving) > 0 {
		l.throttleAll(s, steps.ComputeThrottles(l.pressure, serving, filling, 0, l.cfg.Bounds.MaxOverLimit))
	}
}

func (l *Leader) throttleAll(s *session, throttles []steps.Throttle) {
	for _, t := range throttles {
		s.throttledAt = l.cfg.Clock()
		l.throttle(s, t)
	}
}

func (l *Leader) throttle(s *session, share steps.Throttle) {
	l.log.Info().Str("decision", "throttle").Str("request", share.Task.Submission).Uint32("step", share.Task.Step).Uint32("task", share.Task.Index).
		Uint32("attempt", share.Attempt).Str("worker", s.incarnation.ID).Int("percent", share.Percent).Str("image", share.Image).Str("serving", share.ServiceImage).Bool("move", share.Move).Msg("")
	throttlesTotal.Inc()
	s.setSpeedLimit(share.Task, share.Attempt, share.Percent)
	c := ThrottleCall{Target: s.target(), Task: share.Task, Attempt: share.Attempt, Percent: share.Percent}
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Throttle(ctx, c) }, func(err error, _ reading) {
		if err != nil {
			s.setSpeedLimit(share.Task, share.Attempt, assumedSpeedLimit) // the worker may have carried out the call
			l.log.Warn().Str("event", "throttle-failed").Str("request", share.Task.Submission).Str("worker", s.incarnation.ID).Err(err).Msg("")
		}
	})
	if r := l.runs[share.Task]; r != nil && r.attempt == share.Attempt {
		r.shouldMove = share.Move
	}
}
