package steps

import "slices"

// keptShare is the part of the workers on which cores may be kept free in one plan.
const keptShare = 0.05

// keepRoom keeps the emptiest worker free of further finite work until an overdue endless task fits there. It answers a pool
// that is full of short tasks: each that ends makes room for the next short one, but never for a larger task that lasts.
func (p *planning) keepRoom(r *Request) {
	if !r.overdue(p.NowUnixMs) || float64(p.kept) >= max(1, keptShare*float64(len(p.Workers))) {
		return
	}
	var best *Worker
	for _, w := range p.Workers {
		if !w.Usable || w.Pool != r.Pool || w.keptFor != "" || !counted(r.Spec).Fits(w.Capacity) ||
			r.Spec.GetLabel() != "" && !slices.Contains(w.Labels, r.Spec.GetLabel()) {
			continue
		}
		if best == nil || w.Capacity.Cores-w.used.Cores > best.Capacity.Cores-best.used.Cores {
			best = w
		}
	}
	if best != nil {
		best.keptFor = r.Submission
		p.kept++
	}
}
