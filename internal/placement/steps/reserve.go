package steps

import "slices"

// maxReservedShare bounds the share of the workers that are reserved in one plan. One worker may always be reserved.
const maxReservedShare = 0.05

// reserveExpected reserves workers for the tasks that will soon have to be placed.
func (p *planner) reserveExpected() {
	for _, r := range p.Expected {
		p.reserveWorker(r)
	}
}

// reserveWorker reserves a worker for the overdue endless tasks of r: only overdue endless tasks start there, and filling tasks that
// leave enough memory, until one of r fits. Of the workers that have room once their short tasks have ended, it is the one with the most free
// cores. It is meant for a pool that is full of short tasks: each that ends makes room for another short task, but never
// for a larger endless one. A reservation lasts for one plan.
func (p *planner) reserveWorker(r *Request) {
	if !r.overdue(p.NowUnixMs) || float64(p.reservedWorkers) >= max(1, maxReservedShare*float64(len(p.Workers))) {
		return
	}
	var best *Worker
	for _, w := range p.Workers {
		if !w.Usable || w.Pool != r.Pool || w.reservedFor != "" || !ReservedSize(r.Spec).Fits(w.Capacity.Minus(w.usedByEndless)) ||
			r.Spec.GetLabel() != "" && !slices.Contains(w.Labels, r.Spec.GetLabel()) {
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

const (
	// suspectPatience is the wait, in seconds, after which a worker is kept for a suspect task, for as long, and again after as long:
	// if the task does not start, for example because its gang has no room, others may use the worker in between.
	suspectPatience = 1.0
	// maxKeptShare bounds the share of the workers that are kept for suspect tasks in one plan. One may always be kept.
	maxKeptShare = 0.1
)

// keepForSuspects keeps workers for suspect tasks that have waited for long: no others start there, so that those that have only just
// started soon no longer count as young. It is meant for a pool in which tasks start on each worker all the time.
func (p *planner) keepForSuspects() {
	left := max(1, int(maxKeptShare*float64(len(p.Workers))))
	for _, r := range p.Requests {
		if r.Deferred || int(p.waitedSeconds(r)/suspectPatience)%2 == 0 {
			continue
		}
		var found *searchResult
		for _, t := range r.Waiting {
			if !t.Suspect {
				continue
			}
			if left == 0 {
				return
			}
			if found == nil {
				found = p.search(r, "")
			}
			if w := found.calmest(r, t); w != nil {
				w.probationOf = r.Submission
				left--
			}
		}
	}
}

// calmest returns the worker with the fewest young tasks of other submissions that may be kept for a task, or nil.
func (s *searchResult) calmest(r *Request, t WaitingTask) *Worker {
	var best candidate
	lowest := 0
	for _, c := range s.candidates {
		if c.worker.probationOf != "" || slices.Contains(t.AvoidWorkers, c.worker.Incarnation.ID) {
			continue
		}
		young := c.worker.youngBeside(r.Submission)
		if best.worker == nil || young < lowest || young == lowest && c.position < best.position {
			best, lowest = c, young
		}
	}
	return best.worker
}
