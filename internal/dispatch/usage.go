package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// usageLogInterval is the minimum time between two log lines about the usage of the pools.
const usageLogInterval = time.Second

// logUsage logs and counts how the cores of the pools are used and what waits for them: an on-call engineer sees which kind of work
// holds the cores that another kind lacks.
func (l *Leader) logUsage(pools []steps.PoolUsage, now time.Duration) {
	if l.lastUsageLog > 0 && now-l.lastUsageLog < usageLogInterval {
		return
	}
	l.lastUsageLog = now
	for i := range pools {
		u := &pools[i]
		event := l.log.Info().Str("event", "pool-usage").Str("pool", u.Pool).Int("workers", u.Workers).Int("usable", u.Usable).Int64("cores", inCores(u.Capacity)).
			Int64("endless", inCores(u.Endless)).Int64("finite", inCores(u.Finite)).Int64("stopping", inCores(u.Stopping)).
			Int64("evictable", inCores(u.Evictable))
		for tier, name := range steps.TierNames {
			event = event.Int64("waiting_"+name, inCores(u.Waiting[tier])).Int("tasks_"+name, u.WaitingTasks[tier])
			setWaitingCores(u.Pool, name, u.Waiting[tier])
		}
		event.Msg("")
	}
}

func inCores(millicores int64) int64 { return millicores / 1000 }

// setWaitingCores sets the gauge of the cores for which the tasks of one tier wait.
func setWaitingCores(pool, tier string, millicores int64) {
	metrics.GetOrCreateGauge(fmt.Sprintf("lentilyard_dispatch_waiting_cores{pool=%q,tier=%q}", pool, tier), nil).Set(float64(inCores(millicores)))
}

// logEnded logs how long a submission without occurrences took and by when it should have been done, so that late ones can be found
// and compared by size.
func (l *Leader) logEnded(id string) {
	l.cfg.State.View(func(state *submission.State) {
		sub := state.Submission(id)
		if sub == nil || sub.Active() || sub.Spec.GetOccurrences() > 0 {
			return
		}
		objective, worthless := steps.Objective(sub.Graph.LongestPathMs(), sub.AcceptedQueue, sub.AcceptedUnixMs)
		tasks := uint32(0)
		for _, step := range sub.Spec.GetSteps() {
			tasks += step.GetCount()
		}
		l.log.Info().Str("event", "submission-ended").Str("request", id).Str("queue", sub.AcceptedQueue.GetName()).Str("state", sub.State.String()).
			Uint32("tasks", tasks).Int64("took_ms", sub.EndedUnixMs-sub.AcceptedUnixMs).Int64("objective_ms", objective-sub.AcceptedUnixMs).
			Int64("worthless_ms", worthless-sub.AcceptedUnixMs).Msg("")
	})
}
