package steps

// maxReservedShare bounds the share of the workers that are reserved in one plan. One worker may always be reserved.
const maxReservedShare = 0.05

// reserveExpected reserves workers for the tasks that will soon have to be placed.
func (p *planner) reserveExpected() {
	for _, r := range p.Expected {
		p.reserveWorker(r)
	}
}

// reserveWorker reserves a worker for the overdue endless tasks of r: only overdue endless tasks start there, and filling tasks that
// leave enough memory, until one of r fits. Of the workers that have room once their short tasks have ended, it is the one with the
// most free cores. It is meant for a pool that is full of short tasks: each that ends makes room for another short task, but never
// for a larger endless one. Unless they are long overdue, it reserves nothing while finite work has no more than the room
// that endless tasks leave to it. A reservation lasts for one plan.
func (p *planner) reserveWorker(r *Request) {
	if !r.overdue(p.NowUnixMs) || float64(p.reservedWorkers) >= max(1, maxReservedShare*float64(len(p.Workers))) {
		return
	}
	if !r.longOverdue(p.NowUnixMs) && !p.finiteRoom[r.Pool].enoughWithout(ReservedSize(r.Spec).Cores) {
		return
	}
	var best *Worker
	for _, w := range p.Workers {
		if !w.MayRun(r) || w.reservedFor != "" || !ReservedSize(r.Spec).Fits(w.Capacity.Minus(w.usedByEndless)) {
			continue
		}
		if best == nil || w.Capacity.Cores-w.used.Cores > best.Capacity.Cores-best.used.Cores {
			best = w
		}
	}
	if best != nil {
		best.reservedFor, best.reservedMemory = r.Submission, ReservedSize(r.Spec).Memory
		p.reservations[r.Submission]++
		p.reservedWorkers++
	}
}

// mayUseReserved reports whether tasks of r may start on some reserved workers: overdue ones on all, others on those that are
// reserved for their submission.
func (p *planner) mayUseReserved(r *Request) bool {
	return r.overdue(p.NowUnixMs) || p.reservations[r.Submission] > 0
}
