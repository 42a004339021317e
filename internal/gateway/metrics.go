package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilyard/lentilyard/internal/errs"
)

var (
	executedTotal = metrics.NewCounter(`lentilyard_requests_total{outcome="executed"}`)
	notRunTotal   = metrics.NewCounter(`lentilyard_requests_total{outcome="not-run"}`)
	unknownTotal  = metrics.NewCounter(`lentilyard_requests_total{outcome="unknown"}`)
	retriesTotal  = metrics.NewCounter("lentilyard_request_retries_total")
	forwardsTotal = metrics.NewCounter("lentilyard_requests_forwarded_total")
)

// countOutcome counts a request of a caller by its outcome.
func countOutcome(err error) {
	switch {
	case err == nil:
		executedTotal.Inc()
	case outcomeOf(err) == errs.OutcomeNotRun:
		notRunTotal.Inc()
	default:
		unknownTotal.Inc()
	}
}
