package replica

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	messagesDropped = metrics.NewCounter("lentilyard_raft_messages_dropped_total")
	messagesRefused = metrics.NewCounter("lentilyard_raft_messages_refused_total")
)

// groupMetrics are the metrics of one group. Hosts of one process share the
// metrics of groups with the same name; this happens in tests only.
type groupMetrics struct {
	term, commit, applied, leads, full *metrics.Gauge
	roleChanges                        *metrics.Counter
	proposals, refused, unknown        *metrics.Counter
	snapshots, installed               *metrics.Counter
	discards                           *metrics.Counter
	sync, commitTime                   *metrics.Histogram
	entriesPerSync                     *metrics.Histogram
}

func newGroupMetrics(group string) *groupMetrics {
	name := func(metric string) string { return fmt.Sprintf("lentilyard_raft_%s{group=%q}", metric, group) }
	return &groupMetrics{
		term:           metrics.GetOrCreateGauge(name("term"), nil),
		commit:         metrics.GetOrCreateGauge(name("commit_index"), nil),
		applied:        metrics.GetOrCreateGauge(name("applied_index"), nil),
		leads:          metrics.GetOrCreateGauge(name("is_leader"), nil),
		full:           metrics.GetOrCreateGauge(name("disk_full"), nil),
		roleChanges:    metrics.GetOrCreateCounter(name("role_changes_total")),
		proposals:      metrics.GetOrCreateCounter(name("proposals_total")),
		refused:        metrics.GetOrCreateCounter(name("proposals_refused_total")),
		unknown:        metrics.GetOrCreateCounter(name("proposals_outcome_unknown_total")),
		snapshots:      metrics.GetOrCreateCounter(name("snapshots_saved_total")),
		installed:      metrics.GetOrCreateCounter(name("snapshots_installed_total")),
		discards:       metrics.GetOrCreateCounter(name("disks_discarded_total")),
		sync:           metrics.GetOrCreateHistogram(name("sync_seconds")),
		commitTime:     metrics.GetOrCreateHistogram(name("commit_seconds")),
		entriesPerSync: metrics.GetOrCreateHistogram(name("entries_per_sync")),
	}
}

// observe sets the gauges to the values of a published status.
func (m *groupMetrics) observe(s *Status) {
	m.term.Set(float64(s.Term))
	m.commit.Set(float64(s.Commit))
	m.applied.Set(float64(s.Applied))
	leads := 0.0
	if s.Role == RoleLeader {
		leads = 1
	}
	m.leads.Set(leads)
}

// recordSync records the duration and the number of entries of a completed write.
func (m *groupMetrics) recordSync(began time.Time, entries int) {
	m.sync.UpdateDuration(began)
	m.entriesPerSync.Update(float64(entries))
}

// setDiskFull sets the gauge that is 1 while a write waits for room on the disk.
func (m *groupMetrics) setDiskFull(full bool) {
	m.full.Set(0)
	if full {
		m.full.Set(1)
	}
}
