package dispatch

import (
	"context"
	"time"

	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// servingPercent is the progress, in percent, at which an endless task serves requests. Its tail latency means nothing before.
const servingPercent = 100

// adjustThrottling updates the pressure model with the readings of a worker. It then adjusts the speed of the filling tasks
// there, or marks them to be moved, to keep the services within their latency limits.
func (l *Leader) adjustThrottling(s *session) {
	serving, filling := l.readings(s)
	s.setFastPolling(len(serving) > 0 && len(filling) > 0)
	fill := steps.CPUShares{}
	for _, f := range filling {
		fill[f.Step.GetImage()] += f.Share
	}
	now := l.cfg.Clock()
	s.fill.Update(fill, now-s.readAt)
	s.readAt = now
	for _, reading := range serving {
		l.pressure.Observe(reading, s.fill)
	}
	if now-s.throttledAt < l.cfg.Bounds.ThrottleDelay+readingSpan {
		return // the reading includes time before the last speed change took effect
	}
	for _, share := range steps.ComputeThrottles(l.pressure, serving, filling, s.overLimitFor(serving, now), l.cfg.Bounds.MaxOverLimit/overLimitDivisor) {
		s.throttledAt = l.cfg.Clock()
		l.throttle(s, share)
	}
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

// readings returns the latest readings of the services with a latency limit, and of the filling tasks, on a worker.
func (l *Leader) readings(s *session) (serving []steps.ServiceReading, filling []steps.FillingTask) {
	l.cfg.State.View(func(state *submission.State) {
		capacity := 1.0
		if w := state.Workers()[s.incarnation.ID]; w != nil {
			capacity = max(capacity, float64(w.GetCapacity().GetMillicores()))
		}
		for ref, running := range s.running {
			sub := state.Submission(ref.Submission)
			if sub == nil || int(ref.Step) >= len(sub.Spec.GetSteps()) {
				continue
			}
			step := sub.Spec.GetSteps()[ref.Step]
			if limit := step.GetTailLimitMs(); limit > 0 && running.Percent >= servingPercent {
				serving = append(serving, steps.ServiceReading{Task: ref, Image: step.GetImage(), Ratio: running.Figure / float64(limit)})
			}
			if r := l.runs[ref]; step.GetFills() && r != nil && r.attempt == running.Attempt && r.phase != phaseStopping {
				filling = append(filling, steps.FillingTask{Task: ref, Attempt: running.Attempt, Step: step, Share: running.Figure / capacity, Declared: float64(step.GetSize().GetMillicores()) / capacity, Percent: s.speedLimit(ref)})
			}
		}
		for ref := range s.speedLimits {
			if _, ok := s.running[ref]; !ok {
				delete(s.speedLimits, ref)
			}
		}
	})
	return serving, filling
}

// fullSpeed is the speed limit, in percent, of a task that is not throttled.
const fullSpeed = 100

// speedLimit returns the speed limit of a task in percent.
func (s *session) speedLimit(ref submission.Ref) int {
	if limit, ok := s.speedLimits[ref]; ok {
		return limit
	}
	return fullSpeed
}

// assumedSpeedLimit is the assumed speed limit, in percent, of a task that may have been throttled by a failed call or by a
// previous leader.
const assumedSpeedLimit = 50

func (l *Leader) throttle(s *session, share steps.Throttle) {
	l.log.Info().Str("decision", "throttle").Str("request", share.Task.Submission).Uint32("step", share.Task.Step).Uint32("task", share.Task.Index).
		Uint32("attempt", share.Attempt).Str("worker", s.incarnation.ID).Int("percent", share.Percent).Str("image", share.Image).Str("serving", share.ServiceImage).Bool("move", share.Move).Msg("")
	throttlesTotal.Inc()
	s.speedLimits[share.Task] = share.Percent
	c := ThrottleCall{Target: l.target(s), Task: share.Task, Attempt: share.Attempt, Percent: share.Percent}
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Throttle(ctx, c) }, func(err error) {
		if err != nil {
			s.speedLimits[share.Task] = assumedSpeedLimit // the worker may have carried out the call
			l.log.Warn().Str("event", "throttle-failed").Str("request", share.Task.Submission).Str("worker", s.incarnation.ID).Err(err).Msg("")
		}
	})
	if r := l.runs[share.Task]; r != nil && r.attempt == share.Attempt {
		r.shouldMove = share.Move
	}
}
