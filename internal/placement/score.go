package placement

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// Interference enters the score as a slow-down, -ln(speed): 1 stands for a task that takes e times as long. The
	// weights below convert the other terms to this unit. For a batch task, an empty worker instead of a full one costs
	// as much as a slow-down by 2%.
	batchPackingWeight = 0.02
	// The weight is higher for latency classes, since the room left beside such a task is filled with batch tasks
	// sooner or later.
	latencyPackingWeight = 0.6
	// rackWeight is multiplied by the share of the service tasks of the kind that are in the rack already. It spreads a
	// few tasks over racks; with many, one more in a rack hardly adds to what the loss of the rack costs.
	rackWeight = 1.0
	// acceleratorWeight is the cost of placing a task without accelerators on a worker that has some. It keeps them for
	// tasks that need them, unless this costs more than a slow-down by 20%.
	acceleratorWeight = 0.2
	// uncertaintyWeight is the number of standard deviations added to the predicted slow-down of tasks of latency
	// classes.
	uncertaintyWeight = 0.5
	// maxWeightedSlowdown bounds the exponent in slowdownWeight.
	maxWeightedSlowdown = 2.0
)

// score returns the cost of placing t on w. The worker with the lowest score is chosen.
func (p *Planner) score(t *task, w *worker, nowMs int64) float64 {
	s := packingWeight(t) * leftover(t, w)
	if p.config.Strategy == StrategyInterference {
		s += p.interferenceCost(t, w, nowMs)
	}
	if t.class == pb.TaskClass_TASK_CLASS_SERVICE {
		here, all := p.cache.servicesByRack[rackKey{t.kind, w.rack}], p.cache.kindInfo[t.kind].services
		s += rackWeight * float64(here) / float64(all+1)
	}
	if t.size.Accelerators == 0 && w.capacity.Accelerators > 0 {
		s += acceleratorWeight
	}
	return s
}

// packingWeight returns the cost of the room left on a worker beside t.
func packingWeight(t *task) float64 {
	if t.batch() {
		return batchPackingWeight
	}
	return latencyPackingWeight
}

// leftover returns the share of w's capacity left free with t on it, in the resource of which the least is left.
func leftover(t *task, w *worker) float64 {
	return 1 - w.used.Plus(t.size).Share(w.capacity)
}

// interferenceCost returns the weighted sum of the slow-down of t by the tasks on w and of those tasks by t.
func (p *Planner) interferenceCost(t *task, w *worker, nowMs int64) float64 {
	own, others := 0.0, 0.0
	for i := range w.groups {
		g := &w.groups[i]
		n, class := float64(g.count), pb.TaskClass(g.class)
		own += n * p.predictedSlowdown(t.kind, t.class, g.kind, nowMs)
		others += n * p.classWeight(class) * float64(g.slowdownWeight) * p.predictedSlowdown(g.kind, class, t.kind, nowMs)
	}
	return p.classWeight(t.class)*own + others
}

// predictedSlowdown returns the slow-down of a victim of the given class by one aggressor task. For latency classes,
// part of the uncertainty of the prediction is added.
func (p *Planner) predictedSlowdown(victim kindID, class pb.TaskClass, aggressor kindID, nowMs int64) float64 {
	e := p.cache.model.estimate(victim, aggressor, nowMs)
	if class == pb.TaskClass_TASK_CLASS_BATCH {
		return e.mean
	}
	return e.mean + uncertaintyWeight*e.deviation
}

// slowdownWeight returns the weight of a further slow-down of tasks that have the given one. It is higher for slow
// tasks, since these make up the tail of the latency.
func slowdownWeight(slowdown float64) float64 { return math.Exp(min(maxWeightedSlowdown, slowdown)) }

// classWeight returns the configured weight of a slow-down of tasks of the given class.
func (p *Planner) classWeight(class pb.TaskClass) float64 {
	if class == pb.TaskClass_TASK_CLASS_BATCH {
		return p.config.ThroughputWeight
	}
	return p.config.TailLatencyWeight
}
