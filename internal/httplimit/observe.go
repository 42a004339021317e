package httplimit

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Names of the limits in metrics and logs.
const (
	limitMemory      = "memory"
	limitConnections = "connections"
	limitTime        = "time"
)

// logInterval is the minimum time between two log lines about one server.
const logInterval = 10 * time.Second

// observer counts which limit of a server acted on how many clients, and logs it now and then. A nil observer does nothing.
type observer struct {
	server         string
	log            zerolog.Logger
	held, opened   *metrics.Gauge
	maxBytes       int64
	maxConnections int

	mu     sync.Mutex
	logged time.Time
	since  map[string]int // actions since the last log line
}

func newObserver(server string, maxBytes int64, maxConnections int, log zerolog.Logger) *observer {
	gauge := func(name string) *metrics.Gauge {
		return metrics.GetOrCreateGauge(fmt.Sprintf("lentilyard_http_%s{server=%q}", name, server), nil)
	}
	return &observer{server: server, log: log, held: gauge("held_bytes"), opened: gauge("connections"), maxBytes: maxBytes,
		maxConnections: maxConnections, since: map[string]int{}}
}

func (o *observer) observe(held int64, connections int) {
	if o != nil {
		o.held.Set(float64(held))
		o.opened.Set(float64(connections))
	}
}

func (o *observer) disconnected(limit string) { o.count("disconnected", limit) }
func (o *observer) refused(limit string)      { o.count("refused", limit) }

func (o *observer) count(action, limit string) {
	if o == nil {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("lentilyard_http_%s_total{server=%q,limit=%q}", action, o.server, limit)).Inc()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since[action+"_"+limit]++
	if time.Since(o.logged) < logInterval {
		return
	}
	event := o.log.Warn().Str("event", "clients-limited").Str("server", o.server)
	for name, n := range o.since {
		event.Int(name, n)
	}
	event.Int64("max_bytes", o.maxBytes).Int("max_connections", o.maxConnections).Msg("clients hold unfinished requests or idle connections; the oldest were disconnected")
	o.logged = time.Now()
	clear(o.since)
}
