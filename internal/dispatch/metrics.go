package dispatch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilyard/lentilyard/internal/pb"
)

var (
	startsTotal = metrics.NewCounter("lentilyard_dispatch_starts_total")
	stopsTotal  = metrics.NewCounter("lentilyard_dispatch_stops_total")
	// exceededLimitsTotal counts the readings in which a filling task uses more than its speed limit allows.
	exceededLimitsTotal = metrics.NewCounter("lentilyard_dispatch_exceeded_speed_limits_total")
	throttlesTotal      = metrics.NewCounter("lentilyard_dispatch_throttles_total")
	evictionsTotal      = metrics.NewCounter("lentilyard_dispatch_evictions_total")
	movesTotal          = metrics.NewCounter("lentilyard_dispatch_moves_total")
	leasesOverTotal     = metrics.NewCounter("lentilyard_dispatch_leases_over_total")
	suspectsTotal       = metrics.NewCounter("lentilyard_dispatch_suspects_total")
	givenUpTotal        = metrics.NewCounter("lentilyard_dispatch_given_up_total")
	stalledTotal        = metrics.NewCounter("lentilyard_dispatch_stalled_tasks_total")
	// otherClocksTotal counts the answers whose clock is not that of the incarnation that the call was meant for.
	otherClocksTotal = metrics.NewCounter("lentilyard_dispatch_other_clocks_total")
	commitSeconds    = metrics.NewHistogram("lentilyard_dispatch_commit_seconds")
	planSeconds      = metrics.NewHistogram("lentilyard_dispatch_plan_seconds")
	holdSeconds      = metrics.NewHistogram("lentilyard_dispatch_hold_seconds")
	// outageSeconds holds the times from the last run of an endless task until it starts again.
	outageSeconds = metrics.NewHistogram("lentilyard_dispatch_endless_outage_seconds")
)

// countEnd counts the end of a task by its kind.
func countEnd(kind pb.TaskEndKind) {
	metrics.GetOrCreateCounter(fmt.Sprintf("lentilyard_dispatch_ends_total{kind=%q}", kind.String())).Inc()
}

// countCallError counts a call to a worker that failed.
func countCallError(call string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("lentilyard_dispatch_call_errors_total{call=%q}", call)).Inc()
}
