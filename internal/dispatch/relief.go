package dispatch

import (
	"context"
	"time"

	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// atWork is the percent from which an endless task serves and its tail says something.
const atWork = 100

// relieve learns from the readings of a worker and slows, moves or speeds up its filling tasks.
func (l *Leader) relieve(s *session) {
	serving, filling := l.readings(s)
	s.setWatch(len(serving) > 0 && len(filling) > 0)
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
	if now-s.relievedAt < l.cfg.Bounds.Pace+readingSpan {
		return // the reading covers time before the last change
	}
	for _, share := range steps.ComputeThrottles(l.pressure, serving, filling, s.overFor(serving, now), l.cfg.Bounds.Harm/harmPatience) {
		s.relievedAt = l.cfg.Clock()
		l.throttle(s, share)
	}
}

// harmPatience is the part of the time that a service may be harmed after which all filling tasks beside it stop.
const harmPatience = 4

// overFor returns how long some endless task of a worker has been over its limit without a break.
func (s *session) overFor(serving []steps.ServiceReading, now time.Duration) time.Duration {
	longest := time.Duration(0)
	over := map[submission.Ref]time.Duration{}
	for _, reading := range serving {
		if reading.Ratio < 1 {
			continue
		}
		since, ok := s.over[reading.Task]
		if !ok {
			since = now
		}
		over[reading.Task] = since
		longest = max(longest, now-since)
	}
	s.over = over
	return longest
}

// readingSpan is the time that a reading covers.
const readingSpan = 500 * time.Millisecond

// readings collects the endless and the filling tasks that run on a worker.
func (l *Leader) readings(s *session) (serving []steps.ServiceReading, filling []steps.FillingTask) {
	l.cfg.State.View(func(state *submission.State) {
		capacity := 1.0
		if w := state.Workers()[s.life.ID]; w != nil {
			capacity = max(capacity, float64(w.GetCapacity().GetMillicores()))
		}
		for ref, running := range s.figures {
			sub := state.Submission(ref.Submission)
			if sub == nil || int(ref.Step) >= len(sub.Spec.GetSteps()) {
				continue
			}
			step := sub.Spec.GetSteps()[ref.Step]
			if limit := step.GetTailLimitMs(); limit > 0 && running.Percent >= atWork {
				serving = append(serving, steps.ServiceReading{Task: ref, Image: step.GetImage(), Ratio: running.Figure / float64(limit)})
			}
			if r := l.runs[ref]; step.GetFills() && r != nil && r.attempt == running.Attempt && r.phase != stopping {
				filling = append(filling, steps.FillingTask{Task: ref, Attempt: running.Attempt, Step: step, Share: running.Figure / capacity, Declared: float64(step.GetSize().GetMillicores()) / capacity, Percent: s.shareOf(ref)})
			}
		}
		for ref := range s.shares {
			if _, ok := s.figures[ref]; !ok {
				delete(s.shares, ref)
			}
		}
	})
	return serving, filling
}

// fullSpeed is the share, in percent, of a task that is not slowed.
const fullSpeed = 100

// shareOf returns the share, in percent, at which a task may work.
func (s *session) shareOf(ref submission.Ref) int {
	if share, ok := s.shares[ref]; ok {
		return share
	}
	return fullSpeed
}

// unknownShare stands for the share of a task that a call without a clear answer, or a former leader, may have slowed.
const unknownShare = 50

func (l *Leader) throttle(s *session, share steps.Throttle) {
	l.log.Info().Str("decision", "throttle").Str("request", share.Task.Submission).Uint32("step", share.Task.Step).Uint32("task", share.Task.Index).
		Uint32("attempt", share.Attempt).Str("worker", s.life.ID).Int("percent", share.Percent).Str("image", share.Image).Str("serving", share.Serving).Bool("move", share.Move).Msg("")
	throttlesTotal.Inc()
	s.shares[share.Task] = share.Percent
	c := ThrottleCall{Target: l.target(s), Task: share.Task, Attempt: share.Attempt, Percent: share.Percent}
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Throttle(ctx, c) }, func(err error) {
		if err != nil {
			s.shares[share.Task] = unknownShare // it may have been carried out
			l.log.Warn().Str("event", "throttle-failed").Str("request", share.Task.Submission).Str("worker", s.life.ID).Err(err).Msg("")
		}
	})
	if r := l.runs[share.Task]; r != nil && r.attempt == share.Attempt {
		r.leaves = share.Move
	}
}
