package placement

import (
	"fmt"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// feasibility tracks which buckets hold tasks that can never run. Plans report these tasks as unschedulable and don't
// try to place them.
type feasibility struct {
	// toCheck lists the buckets that are new or affected by a change of capacity or limits.
	toCheck []*bucket
	// infeasible lists the buckets found infeasible, and some that have become feasible or empty since.
	infeasible []*bucket
	// graceStart is when capacity was last lost or first seen. Unix ms. Workers may be missing for a while after it.
	graceStart   int64
	capacitySeen bool
	// shrunk and grown are set when the capacity of a worker has become smaller or larger since the last plan. A change
	// of limits sets both.
	shrunk, grown bool
}

// checksPerPlan bounds the buckets checked in one plan. The loss of a worker makes a check of every bucket necessary.
const checksPerPlan = 256

// reportsPerPlan bounds the tasks of infeasible buckets that one plan reports.
const reportsPerPlan = 64

// scheduleCheck adds b to the buckets to check, unless it is there already.
func (f *feasibility) scheduleCheck(b *bucket) {
	if !b.checkPending {
		b.checkPending = true
		f.toCheck = append(f.toCheck, b)
	}
}

// unmark marks an emptied bucket as not infeasible. Later plans remove it from the lists.
func (f *feasibility) unmark(b *bucket) { b.infeasible = "" }

// capacityChanged records that the live capacity of a worker changed from before to after.
func (f *feasibility) capacityChanged(before, after vector, now int64) {
	if before == after {
		return
	}
	if !before.Fits(after) {
		f.shrunk = true
		f.graceStart = now
	}
	if !after.Fits(before) {
		f.grown = true
	}
	if !f.capacitySeen {
		f.capacitySeen, f.graceStart = true, now
	}
}

// limitsChanged records that a contract was set or removed.
func (f *feasibility) limitsChanged() { f.shrunk, f.grown = true, true }

// scheduleRechecks schedules checks of the buckets that a change of capacity or limits may affect: infeasible ones
// after growth, all after a loss.
func (f *feasibility) scheduleRechecks(q *queue) {
	if f.grown {
		for _, b := range f.infeasible {
			f.scheduleCheck(b)
		}
	}
	if f.shrunk {
		q.eachBucket(f.scheduleCheck)
	}
	f.shrunk, f.grown = false, false
}

// checkFeasibility checks up to checksPerPlan buckets and reports the tasks of infeasible ones.
func (s *planning) checkFeasibility() {
	f := &s.cache.feasibility
	f.scheduleRechecks(s.cache.queue)
	n := min(len(f.toCheck), checksPerPlan)
	var undecided []*bucket
	for _, b := range f.toCheck[:n] {
		b.checkPending = false
		if b.count > 0 && s.checkBucket(b) {
			undecided = append(undecided, b)
		}
	}
	f.toCheck = append(f.toCheck[:0], f.toCheck[n:]...)
	for _, b := range undecided {
		f.scheduleCheck(b)
	}
	s.reportInfeasible()
}

// checkBucket marks b as infeasible if its tasks can never run, and unmarks it otherwise. It returns true if this
// cannot be decided before the end of the grace period.
func (s *planning) checkBucket(b *bucket) bool {
	reason, mayChange := s.cache.infeasibleReason(b)
	graceOver := s.cache.feasibility.capacitySeen && s.nowMs-s.cache.feasibility.graceStart >= s.config.CapacityGrace.Milliseconds()
	if reason != "" && mayChange && !graceOver {
		b.infeasible = ""
		return true
	}
	if reason != "" && b.infeasible == "" {
		s.cache.feasibility.infeasible = append(s.cache.feasibility.infeasible, b)
	}
	b.infeasible = reason
	return false
}

// reportInfeasible reports the tasks of the infeasible buckets and removes other buckets from that list.
func (s *planning) reportInfeasible() {
	f := &s.cache.feasibility
	kept := f.infeasible[:0]
	for _, b := range f.infeasible {
		if b.count == 0 || b.infeasible == "" {
			continue
		}
		kept = append(kept, b)
		for t := b.head; t != nil && len(s.plan.Unschedulable) < reportsPerPlan; t = t.next {
			s.reportUnschedulable(t, b.infeasible)
		}
	}
	clear(f.infeasible[len(kept):])
	f.infeasible = kept
}

func (s *planning) reportUnschedulable(t *task, reason string) {
	s.plan.Unschedulable = append(s.plan.Unschedulable, &pb.MarkUnschedulable{Task: t.id, Reason: reason})
	s.addDecision(t.id, "", reason, 0)
}

// infeasibleReason returns why the tasks of b can never run, or "" if they may. mayChange is true if the return of a
// lost worker could make them feasible.
func (c *cache) infeasibleReason(b *bucket) (reason string, mayChange bool) {
	t := b.head
	total := vector{}
	for m := b.head; m != nil; m = m.next {
		if reason := c.contractRefusal(m, total.Plus(m.size)); reason != "" {
			return reason, false
		}
		if !c.capacity.anyFits(m.size) {
			return "no worker is large enough: " + describeExcess(m.size, c.capacity.largest()), true
		}
		if t.gang == "" {
			return "", false
		}
		total = total.Plus(m.size)
	}
	return c.gangRefusal(b)
}

// contractRefusal returns why the contract of t never admits tasks of the given total size, or "" if it may.
func (c *cache) contractRefusal(t *task, size vector) string {
	k := t.contract
	switch {
	case k.withdrawn:
		return fmt.Sprintf("contract %q was withdrawn", k.name)
	case !k.known:
		return "" // the contract may not have arrived yet
	case t.urgent() && !k.urgent:
		return fmt.Sprintf("contract %q does not admit tasks of class urgent", k.name)
	}
	names := [...]string{"contract", "team", "member"}
	for i, a := range k.accounts() {
		if a.limited && !size.Fits(a.limit) {
			return fmt.Sprintf("above the limit of the %s of contract %q in this domain: %s", names[i], k.name, describeExcess(size, a.limit))
		}
	}
	return ""
}

// gangRefusal returns why the gang of b can never be placed on the live workers, or "" if it may. The second result is
// true if the return of a lost worker could change this.
func (c *cache) gangRefusal(b *bucket) (string, bool) {
	if !gangComplete(b) {
		if b.broken {
			return "a task of the gang ended before the gang started", false
		}
		return "", false // attach schedules another check when the gang is complete
	}
	size, uniform := b.uniformSize()
	if !uniform {
		return "", false // no packing check; infeasibleReason has checked each task and the quota of their sum
	}
	room := int64(0)
	for _, w := range c.workers {
		if w.live() {
			room += size.CopiesIn(w.capacity)
		}
		if room >= int64(b.count) {
			return "", false
		}
	}
	return fmt.Sprintf("the workers hold only %d of the %d tasks of the gang at once", room, b.count), true
}

// uniformSize returns the common size of the tasks of b, and false if their sizes differ.
func (b *bucket) uniformSize() (vector, bool) {
	for t := b.head; t != nil; t = t.next {
		if t.size != b.head.size {
			return vector{}, false
		}
	}
	return b.head.size, true
}

// describeExcess describes the first resource in which size exceeds limit.
func describeExcess(size, limit vector) string {
	switch {
	case size.Cores > limit.Cores:
		return fmt.Sprintf("needs %d millicores, the most is %d", size.Cores, max(0, limit.Cores))
	case size.Memory > limit.Memory:
		return fmt.Sprintf("needs %d bytes of memory, the most is %d", size.Memory, max(0, limit.Memory))
	case size.Accelerators > limit.Accelerators:
		return fmt.Sprintf("needs %d accelerators, the most is %d", size.Accelerators, max(0, limit.Accelerators))
	}
	return fmt.Sprintf("needs %d millicores, %d bytes of memory and %d accelerators on one worker", size.Cores, size.Memory, size.Accelerators)
}
