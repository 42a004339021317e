package server

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilyard/lentilyard/internal/cluster"
	"github.com/lentilyard/lentilyard/internal/replica"
)

// registerGauges registers the gauges that the alerting rules of operators use.
func (s *Server) registerGauges() {
	metrics.GetOrCreateGauge("lentilyard_applied_note", func() float64 { return float64(s.appliedNote.Load()) })
	metrics.GetOrCreateGauge("lentilyard_ready", func() float64 { return boolToFloat(s.Ready()) })
	registerGroupGauges(cluster.ConfigGroup, s.config)
	for name, d := range s.domains {
		registerGroupGauges(cluster.DomainGroup(name), d.group)
	}
}

func registerGroupGauges(name string, group *replica.Group) {
	gauge := func(metric string, value func(replica.Status) float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("%s{group=%q}", metric, name), func() float64 { return value(group.Status()) })
	}
	gauge("lentilyard_group_has_leader", func(s replica.Status) float64 { return boolToFloat(s.Leader != "") })
	gauge("lentilyard_group_is_leader", func(s replica.Status) float64 { return boolToFloat(s.Role == replica.RoleLeader) })
	gauge("lentilyard_group_term", func(s replica.Status) float64 { return float64(s.Term) })
	gauge("lentilyard_group_unapplied_entries", func(s replica.Status) float64 { return float64(s.Commit - s.Applied) })
	gauge("lentilyard_group_voters", func(s replica.Status) float64 { return float64(len(s.Voters)) })
}

func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
