package server

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilyard/lentilyard/internal/cluster"
	"github.com/lentilyard/lentilyard/internal/replica"
)

// addGauges publishes the state that the alarms of the operators' page refer to.
func (s *Server) addGauges() {
	metrics.GetOrCreateGauge("lentilyard_applied_note", func() float64 { return float64(s.appliedNote.Load()) })
	metrics.GetOrCreateGauge("lentilyard_ready", func() float64 { return oneIf(s.Ready()) })
	addGroupGauges(cluster.ConfigGroup, s.config)
	for name, d := range s.domains {
		addGroupGauges(cluster.DomainGroup(name), d.group)
	}
}

func addGroupGauges(name string, group *replica.Group) {
	gauge := func(metric string, value func(replica.Status) float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("%s{group=%q}", metric, name), func() float64 { return value(group.Status()) })
	}
	gauge("lentilyard_group_has_leader", func(s replica.Status) float64 { return oneIf(s.Leader != "") })
	gauge("lentilyard_group_is_leader", func(s replica.Status) float64 { return oneIf(s.Role == replica.RoleLeader) })
	gauge("lentilyard_group_term", func(s replica.Status) float64 { return float64(s.Term) })
	gauge("lentilyard_group_unapplied_entries", func(s replica.Status) float64 { return float64(s.Commit - s.Applied) })
	gauge("lentilyard_group_voters", func(s replica.Status) float64 { return float64(len(s.Voters)) })
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
