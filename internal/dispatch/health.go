package dispatch

import (
	"errors"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// workerHealth records the recent task failures on a worker.
type workerHealth struct {
	// failures maps the ids of submissions to the times at which a task of theirs last failed on the worker.
	failures         map[string]time.Duration
	quarantinedUntil time.Duration // until when the worker gets no tasks
}

const (
	// failureWindow is how long a failure counts against a worker.
	failureWindow = 6 * time.Second
	// quarantineAfter is the number of distinct submissions with a failed task, and no successful task in between, after
	// which a worker is quarantined.
	quarantineAfter = 3
	// quarantineFor is the length of a quarantine. It is shorter than failureWindow, so that afterwards a single failure can
	// suffice to quarantine the worker again.
	quarantineFor = 4 * time.Second
	// maxQuarantinedShare bounds the share of a pool in such a quarantine. If tasks fail on most workers, the tasks are at fault.
	maxQuarantinedShare = 0.5
	// unavailableQuarantine is the length of the quarantine after ErrUnavailable.
	unavailableQuarantine = time.Second
)

func (l *Leader) healthOf(worker string) *workerHealth {
	health := l.health[worker]
	if health == nil {
		health = &workerHealth{failures: map[string]time.Duration{}}
		l.health[worker] = health
	}
	return health
}

// recordEnd records how a task ended on a worker, and quarantines the worker if tasks of several submissions have failed
// in a row. Failures of one submission alone do not count against the worker, since the submission may be the cause.
func (l *Leader) recordEnd(worker string, e Ended) {
	health, now := l.healthOf(worker), l.cfg.Clock()
	switch e.Kind {
	case pb.TaskEndKind_TASK_END_KIND_DONE:
		clear(health.failures)
	case pb.TaskEndKind_TASK_END_KIND_FAILED:
		l.avoidWorker(e.Task, worker)
		health.failures[e.Task.Submission] = now
		for id, at := range health.failures {
			if now-at > failureWindow {
				delete(health.failures, id)
			}
		}
		if len(health.failures) >= quarantineAfter && health.quarantinedUntil <= now && l.mayQuarantine(worker, now) {
			health.quarantinedUntil = now + quarantineFor
			l.log.Warn().Str("decision", "quarantine").Str("worker", worker).Int("failures", len(health.failures)).Msg("tasks of several submissions failed on the worker")
		}
	}
}

// mayQuarantine reports whether enough workers of the pool of a worker stay in use if that worker is quarantined.
func (l *Leader) mayQuarantine(worker string, now time.Duration) bool {
	size, quarantined := 0, 1
	l.cfg.State.View(func(state *submission.State) {
		known := state.Workers()[worker]
		if known == nil {
			return
		}
		pool := known.GetPool()
		for id, w := range state.Workers() {
			if w.GetPool() != pool || !w.Usable() {
				continue
			}
			size++
			if id != worker && l.quarantined(id, now) {
				quarantined++
			}
		}
	})
	return float64(quarantined) <= maxQuarantinedShare*float64(size)
}

func (l *Leader) recordRefusal(worker string, err error) {
	health, now := l.healthOf(worker), l.cfg.Clock()
	if errors.Is(err, ErrUnavailable) {
		health.quarantinedUntil = max(health.quarantinedUntil, now+unavailableQuarantine)
	}
}

func (l *Leader) quarantined(worker string, now time.Duration) bool {
	health := l.health[worker]
	return health != nil && health.quarantinedUntil > now
}

// penalty returns how strongly the planner should prefer other workers: 0 unless tasks have failed on the worker recently.
func (l *Leader) penalty(worker string, now time.Duration) float64 {
	health := l.health[worker]
	if health == nil {
		return 0
	}
	recent := 0
	for _, at := range health.failures {
		if now-at < failureWindow {
			recent++
		}
	}
	return float64(recent) * failurePenalty
}

// failurePenalty is the penalty for each submission that recently failed on a worker, as a fraction of the worker's
// processor time.
const failurePenalty = 0.1
