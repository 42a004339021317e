package dispatch

import (
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// fullSpeed is the speed limit, in percent, of an attempt that is not throttled.
	fullSpeed = 100
	// assumedSpeedLimit is the assumed speed limit, in percent, of an attempt that may have been throttled by a failed call or by a
	// previous leader.
	assumedSpeedLimit = 50
)

// speedLimit is the speed, in percent of full speed, at which an attempt of a filling task may run. Each attempt starts at full speed.
type speedLimit struct {
	attempt uint32
	percent int
}

// speedLimit returns the speed limit of an attempt in percent.
func (s *session) speedLimit(ref submission.Ref, attempt uint32) int {
	if limit, ok := s.speedLimits[ref]; ok && limit.attempt == attempt {
		return limit.percent
	}
	return fullSpeed
}

// setSpeedLimit records the speed limit of an attempt, unless that of a later one is known.
func (s *session) setSpeedLimit(ref submission.Ref, attempt uint32, percent int) {
	if s.speedLimits[ref].attempt <= attempt {
		s.speedLimits[ref] = speedLimit{attempt, percent}
	}
}

// forgetSpeedLimits drops the speed limits of tasks that the worker neither lists nor is to run.
func (l *Leader) forgetSpeedLimits(s *session) {
	for ref := range s.speedLimits {
		_, listed := s.running[ref]
		if r := l.runs[ref]; !listed && (r == nil || r.on != s.incarnation) {
			delete(s.speedLimits, ref)
		}
	}
}

// correctSpeedLimits replaces the speed limits that are not in force on a worker by what its filling tasks use: a throttle call may be carried out
// after a newer one. filling holds readings since the last change of a speed and gets the same limits.
func (l *Leader) correctSpeedLimits(s *session, filling []steps.FillingTask) {
	for i := range filling {
		f := &filling[i]
		if !f.ExceedsLimit() {
			continue
		}
		exceededLimitsTotal.Inc()
		l.log.Info().Str("event", "speed-limit-exceeded").Str("request", f.Task.Submission).Uint32("step", f.Task.Step).Uint32("task", f.Task.Index).
			Uint32("attempt", f.Attempt).Str("worker", s.incarnation.ID).Int("percent", f.Percent).Int("used", f.UsedPercent()).Msg("")
		f.Percent = min(fullSpeed, f.UsedPercent())
		s.setSpeedLimit(f.Task, f.Attempt, f.Percent)
	}
}
