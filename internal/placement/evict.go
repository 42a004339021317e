package placement

import (
	"fmt"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
)

const (
	// evictionsPerPlan bounds the evictions of one plan that enforce limits or drain workers.
	evictionsPerPlan = 64
	// evictionPenalty is the cost of a victim in seconds of lost work, times the square of its earlier evictions.
	evictionPenalty = 30.0
	// releasePatienceMs is how long an eviction in progress counts as room that is about to be free.
	releasePatienceMs = 2500
	// urgentPatienceMs is the waiting time after which an urgent task may displace protected tasks.
	urgentPatienceMs = 1500
	reasonUrgent     = "makes room for urgent task %q"
	reasonQuota      = "makes room in the quota for urgent task %q"
	reasonLimit      = "contract %q was lowered or withdrawn"
	reasonDrain      = "worker is draining"
)

// protected reports whether t was evicted, or started again after an eviction, less than Config.EvictionProtection ago.
func (s *planning) protected(t *task) bool {
	if t.evictions == 0 {
		return false
	}
	since := max(t.evictedAt, t.started)
	return s.nowMs-since < s.config.EvictionProtection.Milliseconds()
}

// cost returns the cost of evicting t: the seconds of work since its last checkpoint and a penalty for earlier
// evictions. For a task of a gang it is multiplied by the size of the gang, since the whole gang stops.
func (s *planning) cost(t *task) float64 {
	lost := 0.0
	if t.runningSince > 0 {
		lost = float64(s.nowMs-max(t.runningSince, t.checkpointAt)) / 1000
	}
	cost := 1 + max(0, lost) + evictionPenalty*float64(t.evictions*t.evictions)
	if t.gang != "" {
		cost *= float64(max(1, t.gangSize))
	}
	return cost
}

// victimSet is a set of tasks on one worker whose eviction makes enough room.
type victimSet struct {
	worker *worker
	tasks  []*task
	cost   float64
}

// better reports whether v has fewer victims than o, or as many at a lower cost.
func (v *victimSet) better(o *victimSet) bool {
	if len(v.tasks) != len(o.tasks) {
		return len(v.tasks) < len(o.tasks)
	}
	return v.cost < o.cost
}

// victimsOn returns the fewest and cheapest victims on w that make room for size, or nil if there are not enough. With
// evictProtected set, protected tasks may be victims.
func (s *planning) victimsOn(w *worker, size vector, evictProtected bool) *victimSet {
	missing := size.Minus(w.room().Plus(s.releasing(w)))
	candidates := s.evictable(w, evictProtected)
	chosen := fewestVictims(candidates, missing, s.cost)
	if chosen == nil {
		return nil
	}
	set := &victimSet{worker: w, tasks: chosen}
	for _, t := range chosen {
		set.cost += s.cost(t)
	}
	return set
}

// releasing returns the room that evictions on w will free, without those that have taken longer than
// releasePatienceMs.
func (s *planning) releasing(w *worker) vector {
	sum := vector{}
	if w.releasing == sum {
		return sum
	}
	for _, t := range w.tasks {
		if t.evictionPlanned || t.evicting() && s.nowMs-t.evictedAt < releasePatienceMs {
			sum = sum.Plus(t.occupied)
		}
	}
	return sum
}

// evictable returns the tasks on w that may be displaced.
func (s *planning) evictable(w *worker, evictProtected bool) []*task {
	var list []*task
	for _, t := range w.tasks {
		if s.mayEvict(t, evictProtected) {
			list = append(list, t)
		}
	}
	return list
}

// mayEvict reports whether t may be displaced: a batch task, placed before this plan, not being evicted, and not
// protected unless evictProtected is set.
func (s *planning) mayEvict(t *task, evictProtected bool) bool {
	if !t.batch() || t.evicting() || !occupies(t.state) {
		return false
	}
	return evictProtected || !s.protected(t)
}

// fewestVictims returns the smallest set of candidates that together occupy at least missing, the cheapest one of equal
// size. It returns nil if all candidates together occupy less. Sets of more than two are found by a greedy search and
// may not be minimal.
func fewestVictims(candidates []*task, missing vector, cost func(*task) float64) []*task {
	if missing.Fits(vector{}) {
		return []*task{}
	}
	if one := cheapestOne(candidates, missing, cost); one != nil {
		return []*task{one}
	}
	if two := cheapestTwo(candidates, missing, cost); two != nil {
		return two
	}
	return greedyVictims(candidates, missing, cost)
}

// cheapestOne returns the cheapest candidate that alone occupies at least missing, or nil.
func cheapestOne(candidates []*task, missing vector, cost func(*task) float64) *task {
	var best *task
	bestCost := 0.0
	for _, t := range candidates {
		if c := cost(t); missing.Fits(t.occupied) && (best == nil || c < bestCost) {
			best, bestCost = t, c
		}
	}
	return best
}

// cheapestTwo returns the cheapest two candidates that together occupy at least missing, or nil.
func cheapestTwo(candidates []*task, missing vector, cost func(*task) float64) []*task {
	var best []*task
	bestCost := 0.0
	for i, t := range candidates {
		for _, u := range candidates[i+1:] {
			if !missing.Fits(t.occupied.Plus(u.occupied)) {
				continue
			}
			if c := cost(t) + cost(u); best == nil || c < bestCost {
				best, bestCost = []*task{t, u}, c
			}
		}
	}
	return best
}

// greedyVictims adds candidates in descending order of coverage until the cheapest of the rest that suffices completes
// the set, then prunes it. It returns nil if all candidates together don't suffice. It reorders candidates.
func greedyVictims(candidates []*task, missing vector, cost func(*task) float64) []*task {
	slices.SortStableFunc(candidates, func(a, b *task) int {
		ca, cb := coverage(a, missing), coverage(b, missing)
		if ca != cb {
			return compare(cb, ca)
		}
		return compare(cost(a), cost(b))
	})
	var chosen []*task
	held := vector{}
	for i, t := range candidates {
		if last := cheapestOne(candidates[i:], missing.Minus(held), cost); last != nil {
			chosen, held = append(chosen, last), held.Plus(last.occupied)
			break
		}
		chosen, held = append(chosen, t), held.Plus(t.occupied)
	}
	if !missing.Fits(held) {
		return nil
	}
	return prune(chosen, held, missing, cost)
}

// coverage returns the sum over the three resources of the share of missing that t occupies, 0 to 3.
func coverage(t *task, missing vector) float64 {
	return min(1, resources.Ratio(t.occupied.Cores, missing.Cores)) + min(1, resources.Ratio(t.occupied.Memory, missing.Memory)) +
		min(1, resources.Ratio(t.occupied.Accelerators, missing.Accelerators))
}

// prune removes the tasks that are not needed from chosen, the most expensive first. held is the sum of what they
// occupy.
func prune(chosen []*task, held, missing vector, cost func(*task) float64) []*task {
	slices.SortStableFunc(chosen, func(a, b *task) int { return compare(cost(b), cost(a)) })
	return slices.DeleteFunc(chosen, func(t *task) bool {
		rest := held.Minus(t.occupied)
		if !missing.Fits(rest) {
			return false
		}
		held = rest
		return true
	})
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// evict proposes to evict t and counts its room as about to be free.
func (s *planning) evict(t *task, reason string) {
	s.markVictim(t)
	s.plan.Evictions = append(s.plan.Evictions, &pb.Eviction{Task: t.id, Attempt: t.attempt, Reason: reason})
	s.addDecision(t.id, t.worker.id, reason, 0)
}

// markVictim counts t as being evicted for the rest of the plan.
func (s *planning) markVictim(t *task) {
	w := t.worker
	w.countOccupied(t, -1)
	t.evictionPlanned = true
	w.countOccupied(t, 1)
	t.contract.countReleasing(t, 1)
	s.cache.updateIndexes(w)
	s.victims = append(s.victims, t)
}

// unmarkVictim undoes markVictim.
func (s *planning) unmarkVictim(t *task) {
	w := t.worker
	w.countOccupied(t, -1)
	t.evictionPlanned = false
	w.countOccupied(t, 1)
	t.contract.countReleasing(t, -1)
	s.cache.updateIndexes(w)
}

// makeRoom finds room for an urgent task that choose could not place. It prefers evictions that are in progress
// already, then proposes new ones, and keeps the room for t for the rest of the plan. It places t at once if t fits a
// worker without evictions, such as a reserved one.
func (s *planning) makeRoom(t *task) outcome {
	size := s.cache.expectedSize(t)
	if w := s.workerFreeSoon(size); w != nil {
		s.keepRoom(t, w)
		return waiting
	}
	best, considered := s.cheapestVictims(t, size)
	if best == nil {
		return blocked
	}
	if len(best.tasks) == 0 && size.Fits(best.worker.room()) {
		s.placeOn(t, best.worker, considered)
		return placed
	}
	for _, v := range best.tasks {
		s.evict(v, fmt.Sprintf(reasonUrgent, t.id))
	}
	s.keepRoom(t, best.worker)
	return waiting
}

// workerFreeSoon returns a worker on which evictions in progress make room for size, or nil.
func (s *planning) workerFreeSoon(size vector) *worker {
	from := 0
	for range s.config.Candidates {
		slot := s.cache.freeSoon.find(size, from)
		if slot < 0 {
			return nil
		}
		w := s.cache.slots[slot]
		if size.Fits(w.room().Plus(s.releasing(w))) {
			return w
		}
		from = (slot + 1) % s.cache.freeSoon.leaves
	}
	return nil
}

// cheapestVictims returns the best set of victims on the sampled workers, or nil, and the number of workers examined.
func (s *planning) cheapestVictims(t *task, size vector) (*victimSet, int) {
	evictProtected := s.nowMs-t.submitted >= urgentPatienceMs
	var best *victimSet
	considered := 0
	s.sample(s.cache.reclaimable, size, 2*s.config.Candidates, func(w *worker) {
		considered++
		if v := s.victimsOn(w, size, evictProtected); v != nil && (best == nil || v.better(best)) {
			best = v
		}
	})
	return best, considered
}

// makeQuotaRoom evicts batch tasks of the same contract if the contract's quota keeps an urgent task from starting.
func (s *planning) makeQuotaRoom(t *task) outcome {
	if !t.contract.allowsSoon(vector{}) {
		return blocked
	}
	if !t.contract.allowsSoon(t.size) {
		chosen := s.quotaVictims(t)
		if len(chosen) == 0 {
			return blocked
		}
		for _, v := range chosen {
			s.evict(v, fmt.Sprintf(reasonQuota, t.id))
		}
	}
	t.contract.countReleasing(t, -1)
	s.awaitingQuota = append(s.awaitingQuota, t)
	return waiting
}

// maxQuotaCandidates bounds the search for victims in one contract.
const maxQuotaCandidates = 64

// quotaVictims returns the fewest and cheapest batch tasks of t's contract whose end makes room for t in its quota.
func (s *planning) quotaVictims(t *task) []*task {
	var missing vector
	for _, a := range t.contract.accounts() {
		if a.limited {
			missing = missing.Max(a.used.Minus(a.releasing).Plus(t.size).Minus(a.limit))
		}
	}
	evictProtected := s.nowMs-t.submitted >= urgentPatienceMs
	var candidates []*task
	for _, v := range t.contract.placed {
		if len(candidates) < maxQuotaCandidates && s.mayEvict(v, evictProtected) {
			candidates = append(candidates, v)
		}
	}
	return fewestVictims(candidates, missing, s.cost)
}

// enforceLimits evicts tasks of contracts that were lowered or withdrawn.
func (s *planning) enforceLimits() {
	for _, c := range s.cache.quotas.maybeOverByName() {
		if !s.enforceLimit(c) {
			delete(s.cache.quotas.maybeOver, c)
		}
	}
}

// enforceLimit evicts tasks of c, batch tasks first, until it is within its limits or has no tasks left if it was
// withdrawn. It returns true if a later plan has to check c again.
func (s *planning) enforceLimit(c *contract) bool {
	if !c.withdrawn && c.allowsSoon(vector{}) {
		return !c.allows(vector{}, pb.TaskClass_TASK_CLASS_SERVICE)
	}
	victims := slices.Clone(c.placed)
	slices.SortStableFunc(victims, func(a, b *task) int {
		if a.class != b.class {
			return int(b.class) - int(a.class)
		}
		return compare(s.cost(a), s.cost(b))
	})
	for _, t := range victims {
		if !c.withdrawn && c.allowsSoon(vector{}) || len(s.plan.Evictions) >= evictionsPerPlan {
			break
		}
		if !t.evicting() && occupies(t.state) {
			s.evict(t, fmt.Sprintf(reasonLimit, c.name))
		}
	}
	return len(c.placed) > 0
}

// drainWorkers evicts the service tasks on draining workers, and the batch tasks that are not expected to end soon.
// Urgent tasks run to their end.
func (s *planning) drainWorkers() {
	for _, w := range s.cache.drainingByID() {
		for _, t := range w.tasks {
			if len(s.plan.Evictions) >= evictionsPerPlan {
				return
			}
			if !t.urgent() && !t.evicting() && t.runningSince > 0 && !s.endsSoon(t, w) {
				s.evict(t, reasonDrain)
			}
		}
	}
}

// endsSoon reports whether t is a batch task that is expected to end within Config.DrainPatience of the start of the
// drain. The declared run time is corrected by that of earlier tasks of the kind and by the progress of the last
// checkpoint.
func (s *planning) endsSoon(t *task, w *worker) bool {
	deadline := w.drainStartedAt + s.config.DrainPatience.Milliseconds()
	if s.nowMs >= deadline || !t.batch() || t.declaredRunMs == 0 {
		return false
	}
	run := s.cache.kindInfo[t.kind].usage.runTimeMs(t.declaredRunMs)
	return t.runningSince+int64(float64(run)*(1-t.progress)) < deadline
}
