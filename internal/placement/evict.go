package placement

import (
	"fmt"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
)

const (
	// evictionsPerPlan bounds the evictions of one plan for other reasons than urgent tasks.
	evictionsPerPlan = 64
	// Penalty in seconds of lost work for the square of the earlier evictions of a task.
	evictionPenalty = 30.0
	// An eviction that takes longer no longer counts as room that is about to be free.
	releasePatienceMs = 2500
	// An urgent task that waited this long may displace tasks that were evicted recently.
	urgentPatienceMs = 1500
	reasonUrgent     = "makes room for urgent task %q"
	reasonQuota      = "makes room in the quota for urgent task %q"
	reasonLimit      = "contract %q was lowered or withdrawn"
	reasonDrain      = "worker is draining"
)

// protected reports whether t was evicted a short time ago and must be let run.
func (s *planning) protected(t *task) bool {
	if t.evictions == 0 {
		return false
	}
	since := max(t.evictedAt, t.started)
	return s.nowMs-since < s.config.EvictionProtection.Milliseconds()
}

// cost rates a victim: seconds of work since the last checkpoint, and a penalty for earlier evictions. A victim of a
// gang stops the whole gang.
func (s *planning) cost(t *task) float64 {
	lost := 0.0
	if t.running > 0 {
		lost = float64(s.nowMs-max(t.running, t.checkpointAt)) / 1000
	}
	cost := 1 + max(0, lost) + evictionPenalty*float64(t.evictions*t.evictions)
	if t.gang != "" {
		cost *= float64(max(1, t.gangSize))
	}
	return cost
}

// victimSet is a choice of victims on one worker.
type victimSet struct {
	worker *worker
	tasks  []*task
	cost   float64
}

// better prefers fewer, then cheaper victims.
func (v *victimSet) better(o *victimSet) bool {
	if len(v.tasks) != len(o.tasks) {
		return len(v.tasks) < len(o.tasks)
	}
	return v.cost < o.cost
}

// victimsOn returns the fewest and cheapest victims on w that make room for size, or nil.
func (s *planning) victimsOn(w *worker, size vector, lastResort bool) *victimSet {
	missing := size.Minus(w.room().Plus(s.releasing(w)))
	candidates := s.evictable(w, lastResort)
	chosen := fewest(candidates, missing, s.cost)
	if chosen == nil {
		return nil
	}
	set := &victimSet{worker: w, tasks: chosen}
	for _, t := range chosen {
		set.cost += s.cost(t)
	}
	return set
}

// releasing is the room on w that evictions in progress will free, without those that take too long.
func (s *planning) releasing(w *worker) vector {
	sum := vector{}
	if w.releasing == sum {
		return sum
	}
	for _, t := range w.tasks {
		if t.condemned || t.evicting() && s.nowMs-t.evictedAt < releasePatienceMs {
			sum = sum.Plus(t.occupied)
		}
	}
	return sum
}

func (s *planning) evictable(w *worker, lastResort bool) []*task {
	var list []*task
	for _, t := range w.tasks {
		if s.mayEvict(t, lastResort) {
			list = append(list, t)
		}
	}
	return list
}

// mayEvict reports whether t may be displaced: batch, placed by commit, and not protected.
func (s *planning) mayEvict(t *task, lastResort bool) bool {
	if !t.batch() || t.evicting() || !occupies(t.state) {
		return false
	}
	return lastResort || !s.protected(t)
}

// fewest returns the fewest of candidates that together hold missing, the cheapest among equally many. Sets of more
// than two are chosen greedily: the largest first, and the cheapest that suffices last.
func fewest(candidates []*task, missing vector, cost func(*task) float64) []*task {
	if missing.Fits(vector{}) {
		return []*task{}
	}
	if one := cheapestOne(candidates, missing, cost); one != nil {
		return []*task{one}
	}
	if two := cheapestTwo(candidates, missing, cost); two != nil {
		return two
	}
	return greedy(candidates, missing, cost)
}

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

// greedy takes the tasks that cover most of what is missing, then leaves out those that turn out not to be needed.
func greedy(candidates []*task, missing vector, cost func(*task) float64) []*task {
	slices.SortStableFunc(candidates, func(a, b *task) int {
		ca, cb := covers(a, missing), covers(b, missing)
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

// covers is the part of missing that t holds, 0 to 3.
func covers(t *task, missing vector) float64 {
	return min(1, resources.Ratio(t.occupied.Cores, missing.Cores)) + min(1, resources.Ratio(t.occupied.Memory, missing.Memory)) +
		min(1, resources.Ratio(t.occupied.Accelerators, missing.Accelerators))
}

// prune leaves out the most expensive tasks that are not needed.
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

// evict proposes the eviction of t and counts its room as about to be free.
func (s *planning) evict(t *task, reason string) {
	s.condemn(t)
	s.plan.Evictions = append(s.plan.Evictions, &pb.Eviction{Task: t.id, Attempt: t.attempt, Reason: reason})
	s.decide(t.id, t.worker.id, reason, 0)
}

func (s *planning) condemn(t *task) {
	w := t.worker
	w.bear(t, -1)
	t.condemned = true
	w.bear(t, 1)
	t.contract.expectRelease(t, 1)
	s.cache.refresh(w)
	s.condemned = append(s.condemned, t)
}

func (s *planning) pardon(t *task) {
	w := t.worker
	w.bear(t, -1)
	t.condemned = false
	w.bear(t, 1)
	t.contract.expectRelease(t, -1)
	s.cache.refresh(w)
}

// makeRoom finds or makes room for an urgent task that fits nowhere now, and holds it for the rest of the plan. It
// binds the task if it fits a worker that is kept from other tasks.
func (s *planning) makeRoom(t *task) outcome {
	size := s.cache.demand(t)
	if w := s.awaited(size); w != nil {
		s.hold(t, w)
		return waiting
	}
	best, considered := s.cheapestVictims(t, size)
	if best == nil {
		return blocked
	}
	if len(best.tasks) == 0 && size.Fits(best.worker.room()) {
		s.bind(t, best.worker, considered)
		return placed
	}
	for _, v := range best.tasks {
		s.evict(v, fmt.Sprintf(reasonUrgent, t.id))
	}
	s.hold(t, best.worker)
	return waiting
}

// awaited returns a worker on which evictions in progress make room for size.
func (s *planning) awaited(size vector) *worker {
	from := 0
	for range s.config.Candidates {
		slot := s.cache.soon.find(size, from)
		if slot < 0 {
			return nil
		}
		w := s.cache.slots[slot]
		if size.Fits(w.room().Plus(s.releasing(w))) {
			return w
		}
		from = (slot + 1) % s.cache.soon.leaves
	}
	return nil
}

// cheapestVictims samples workers where evictions would make room and returns the best choice.
func (s *planning) cheapestVictims(t *task, size vector) (*victimSet, int) {
	lastResort := s.nowMs-t.submitted >= urgentPatienceMs
	var best *victimSet
	considered := 0
	s.sample(s.cache.reach, size, 2*s.config.Candidates, func(w *worker) {
		considered++
		if v := s.victimsOn(w, size, lastResort); v != nil && (best == nil || v.better(best)) {
			best = v
		}
	})
	return best, considered
}

// makeQuotaRoom evicts batch tasks of the same contract where its quota keeps an urgent task from starting.
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
	t.contract.expectRelease(t, -1)
	s.promised = append(s.promised, t)
	return waiting
}

// maxQuotaCandidates bounds the search for victims in one contract.
const maxQuotaCandidates = 64

func (s *planning) quotaVictims(t *task) []*task {
	var missing vector
	for _, a := range t.contract.accounts() {
		if a.limited {
			missing = missing.Max(a.used.Minus(a.releasing).Plus(t.size).Minus(a.limit))
		}
	}
	lastResort := s.nowMs-t.submitted >= urgentPatienceMs
	var candidates []*task
	for _, v := range t.contract.placed {
		if len(candidates) < maxQuotaCandidates && s.mayEvict(v, lastResort) {
			candidates = append(candidates, v)
		}
	}
	return fewest(candidates, missing, s.cost)
}

// enforceLimits ends work of contracts that were lowered or withdrawn, batch tasks first.
func (s *planning) enforceLimits() {
	for _, c := range s.cache.quotas.changed() {
		if !s.shrink(c) {
			delete(s.cache.quotas.over, c)
		}
	}
}

// shrink proposes evictions until c is within its limits and reports whether it was above them.
func (s *planning) shrink(c *contract) bool {
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

// drainWorkers ends the work on draining workers that will not end by itself soon. Urgent tasks run to their end.
func (s *planning) drainWorkers() {
	for _, w := range s.cache.drainingInOrder() {
		for _, t := range w.tasks {
			if len(s.plan.Evictions) >= evictionsPerPlan {
				return
			}
			if !t.urgent() && !t.evicting() && t.running > 0 && !s.endsSoon(t, w) {
				s.evict(t, reasonDrain)
			}
		}
	}
}

// endsSoon reports whether t is expected to end before the drain patience is over.
func (s *planning) endsSoon(t *task, w *worker) bool {
	patience := w.drainAt + s.config.DrainPatience.Milliseconds()
	if s.nowMs >= patience || !t.batch() || t.expected == 0 {
		return false
	}
	run := s.cache.kindInfo[t.kind].sizes.runTimeMs(t.expected)
	return t.running+int64(float64(run)*(1-t.progress)) < patience
}
