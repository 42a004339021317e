package placement

import (
	"fmt"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// feasibility finds buckets whose tasks can never run, so that they are reported and not tried.
type feasibility struct {
	// toCheck lists buckets that are new or that may have lost their last fitting worker.
	toCheck []*bucket
	// infeasible lists buckets whose tasks are reported.
	infeasible []*bucket
	// unsettled is when capacity was last lost or first seen. Unix ms. A missing worker may come back shortly after.
	unsettled int64
	seen      bool
	// shrunk is set when a worker was lost, drained or became smaller; grown when one was added.
	shrunk, grown bool
}

// checksPerPlan bounds the work of one plan after the loss of a worker.
const checksPerPlan = 256

// reportsPerPlan bounds the unschedulable tasks that one plan reports.
const reportsPerPlan = 64

func (f *feasibility) check(b *bucket) {
	if !b.listed {
		b.listed = true
		f.toCheck = append(f.toCheck, b)
	}
}

// forget drops an empty bucket. It stays in the lists until the next plan skips it.
func (f *feasibility) forget(b *bucket) { b.infeasible = "" }

// capacityChanged notes that the capacity of one worker changed.
func (f *feasibility) capacityChanged(c *cache, before, after vector, now int64) {
	if before == after {
		return
	}
	if !before.Fits(after) {
		f.shrunk = true
		f.unsettled = now
	}
	if !after.Fits(before) {
		f.grown = true
	}
	if !f.seen {
		f.seen, f.unsettled = true, now
	}
}

// limitsChanged notes that a contract was set or removed.
func (f *feasibility) limitsChanged() { f.shrunk, f.grown = true, true }

// recheck lists the buckets that a change of capacity or limits may affect.
func (f *feasibility) recheck(q *queue) {
	if f.grown {
		for _, b := range f.infeasible {
			f.check(b)
		}
	}
	if f.shrunk {
		q.eachBucket(f.check)
	}
	f.shrunk, f.grown = false, false
}

// checkFeasible checks a bounded number of buckets and reports the tasks that can never run.
func (s *planning) checkFeasible() {
	f := &s.cache.feasibility
	f.recheck(s.cache.queue)
	n := min(len(f.toCheck), checksPerPlan)
	var later []*bucket
	for _, b := range f.toCheck[:n] {
		b.listed = false
		if b.count > 0 && s.checkBucket(b) {
			later = append(later, b)
		}
	}
	f.toCheck = append(f.toCheck[:0], f.toCheck[n:]...)
	for _, b := range later {
		f.check(b)
	}
	s.reportInfeasible()
}

// checkBucket marks b if its tasks can never run. It returns true if that cannot be decided yet.
func (s *planning) checkBucket(b *bucket) bool {
	reason, mayChange := s.cache.infeasible(b)
	settled := s.cache.feasibility.seen && s.nowMs-s.cache.feasibility.unsettled >= s.config.CapacityGrace.Milliseconds()
	if reason != "" && mayChange && !settled {
		b.infeasible = ""
		return true
	}
	if reason != "" && b.infeasible == "" {
		s.cache.feasibility.infeasible = append(s.cache.feasibility.infeasible, b)
	}
	b.infeasible = reason
	return false
}

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
	s.decide(t.id, "", reason, 0)
}

// infeasible returns why the tasks of b can never run, or "". mayChange is true if a worker that comes back would
// change that.
func (c *cache) infeasible(b *bucket) (reason string, mayChange bool) {
	t := b.head
	total := vector{}
	for m := b.head; m != nil; m = m.next {
		if reason := c.contractRefuses(m, total.Plus(m.size)); reason != "" {
			return reason, false
		}
		if !c.capacity.any(m.size) {
			return "no worker is large enough: " + needs(m.size, c.capacity.largest()), true
		}
		if t.gang == "" {
			return "", false
		}
		total = total.Plus(m.size)
	}
	return c.gangRefused(b, total)
}

// contractRefuses returns why the contract of t never admits a total of size, or "".
func (c *cache) contractRefuses(t *task, size vector) string {
	k := t.contract
	switch {
	case k.withdrawn:
		return fmt.Sprintf("contract %q was withdrawn", k.name)
	case !k.known:
		return "" // it may not have arrived yet; the task waits
	case t.urgent() && !k.urgent:
		return fmt.Sprintf("contract %q does not admit tasks of class urgent", k.name)
	}
	names := [...]string{"contract", "team", "member"}
	for i, a := range k.accounts() {
		if a.limited && !size.Fits(a.limit) {
			return fmt.Sprintf("above the limit of the %s of contract %q in this domain: %s", names[i], k.name, needs(size, a.limit))
		}
	}
	return ""
}

// gangRefused returns why the workers together cannot hold the gang of b, or "".
func (c *cache) gangRefused(b *bucket, total vector) (string, bool) {
	if !complete(b) {
		if b.broken {
			return "a task of the gang ended before the gang started", false
		}
		return "", false // checked again when it is complete
	}
	size, uniform := b.uniformSize()
	if !uniform {
		return "", false // only the single tasks and their sum are checked
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

// uniformSize returns the size of the tasks of b and whether all have it.
func (b *bucket) uniformSize() (vector, bool) {
	for t := b.head; t != nil; t = t.next {
		if t.size != b.head.size {
			return vector{}, false
		}
	}
	return b.head.size, true
}

// needs names the first resource in which size exceeds limit.
func needs(size, limit vector) string {
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
