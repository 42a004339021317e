package placement

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// The terms of the score are slow-downs, where 1 is a task that takes e times as long. The constants below make
	// the other terms comparable: an empty worker instead of a full one weighs as much as a slow-down by 2%.
	packingWeight = 0.02
	// Room left beside a task of a latency class is filled with batch tasks sooner or later.
	latencyPackingWeight = 0.6
	// rackWeight applies to the share of the service tasks of the kind that are in the rack. It matters for a few
	// tasks; for many, one more in a rack hardly changes what its loss costs.
	rackWeight = 1.0
	// Accelerators are kept for tasks that need them unless this costs more than a slow-down by 20%.
	acceleratorWeight = 0.2
	// deviations of uncertainty are added to the predicted slow-down of tasks of latency classes.
	deviations = 0.5
	maxSlow    = 2.0
)

// score rates w for t. Lower is better.
func (p *Planner) score(t *task, w *worker, nowMs int64) float64 {
	s := packing(t) * leftover(t, w)
	if p.config.Strategy == StrategyInterference {
		s += p.predictedHarm(t, w, nowMs)
	}
	if t.class == pb.TaskClass_TASK_CLASS_SERVICE {
		here, all := p.cache.racks[rackKey{t.kind, w.rack}], p.cache.kindInfo[t.kind].services
		s += rackWeight * float64(here) / float64(all+1)
	}
	if t.size.Accelerators == 0 && w.capacity.Accelerators > 0 {
		s += acceleratorWeight
	}
	return s
}

func packing(t *task) float64 {
	if t.batch() {
		return packingWeight
	}
	return latencyPackingWeight
}

// leftover is the share of w that remains free with t on it, 0 to 1. Small values pack tightly.
func leftover(t *task, w *worker) float64 {
	return 1 - w.used.Plus(t.size).Share(w.capacity)
}

// predictedHarm is the weighted slow-down of t by its neighbours and of the neighbours by t.
func (p *Planner) predictedHarm(t *task, w *worker, nowMs int64) float64 {
	own, others := 0.0, 0.0
	for i := range w.groups {
		g := &w.groups[i]
		n, class := float64(g.count), pb.TaskClass(g.class)
		own += n * p.slowdown(t.kind, t.class, g.kind, nowMs)
		others += n * p.weight(class) * float64(g.worsened) * p.slowdown(g.kind, class, t.kind, nowMs)
	}
	return p.weight(t.class)*own + others
}

// slowdown is the predicted effect of one aggressor task. Latency classes count part of the uncertainty as harm.
func (p *Planner) slowdown(victim kindID, class pb.TaskClass, aggressor kindID, nowMs int64) float64 {
	e := p.cache.model.estimate(victim, aggressor, nowMs)
	if class == pb.TaskClass_TASK_CLASS_BATCH {
		return e.mean
	}
	return e.mean + deviations*e.deviation
}

// worsened weighs further slow-down of tasks that are slow already, since the tail is made of them.
func worsened(slow float64) float64 { return math.Exp(min(maxSlow, slow)) }

func (p *Planner) weight(class pb.TaskClass) float64 {
	if class == pb.TaskClass_TASK_CLASS_BATCH {
		return p.config.ThroughputWeight
	}
	return p.config.TailLatencyWeight
}
