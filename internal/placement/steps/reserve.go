package steps

import "slices"

// maxReservedShare bounds the share of the workers that are reserved in one plan. One worker may always be reserved.
const maxReservedShare = 0.05

// reserveWorker reserves the worker with the most free cores for the overdue endless task of r: other submissions start
// no more tasks there except filling tasks, until the endless task fits. It is meant for a pool that is full of short
// tasks: each that ends makes room for another short task, but never for a larger endless one. A reservation lasts for
// one plan.
func (p *planner) reserveWorker(r *Request) {
	if !r.overdue(p.NowUnixMs) || float64(p.reservedWorkers) >= max(1, maxReservedShare*float64(len(p.Workers))) {
		return
	}
	var best *Worker
	for _, w := range p.Workers {
		if !w.Usable || w.Pool != r.Pool || w.reservedFor != "" || !ReservedSize(r.Spec).Fits(w.Capacity) ||
			r.Spec.GetLabel() != "" && !slices.Contains(w.Labels, r.Spec.GetLabel()) {
			continue
		}
		if best == nil || w.Capacity.Cores-w.used.Cores > best.Capacity.Cores-best.used.Cores {
			best = w
		}
	}
	if best != nil {
		best.reservedFor = r.Submission
		p.reservedWorkers++
	}
}
