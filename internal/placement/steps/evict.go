package steps

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// maxVictims bounds the number of tasks that are stopped for one task.
	maxVictims = 3
	// unsavedCost is the cost of stopping a task that loses its work.
	unsavedCost = 4.0
	// savedCost is the cost of stopping a task that saves its progress and resumes elsewhere.
	savedCost = 1.0
	// endlessCost is the cost of stopping an endless task, which starts again elsewhere or later.
	endlessCost = 2.0
)

// preempt proposes to stop tasks on one worker so that task t of r fits there: tasks of a lower priority, and endless tasks of the same
// priority, which earn less for each core-second. While overdue endless tasks find no room, it stops endless tasks only as far as
// finite work lacks the room that is left to it. It stops nothing for filling and endless tasks, for work that will earn nothing, and
// while the stops in progress will free enough room on some worker.
//
// It is meant for urgent work that arrives while the workers are full of less urgent work.
func (p *planner) preempt(r *Request, t WaitingTask) {
	tier := r.tier(p.NowUnixMs)
	if r.Spec.GetFills() || r.Spec.GetEndless() || tier > tierLate {
		return
	}
	if tier == tierOnTime && p.restoreFiniteRoom(r, t) || p.roomPending(r) {
		return
	}
	p.evictFor(r, t, !p.overdueUnplaced[r.Pool])
}

// maxEvictionsPerRequest bounds the calls of evictFor for one request in one plan.
const maxEvictionsPerRequest = 8

// restoreFiniteRoom stops endless tasks, also while others are overdue, until finite work of the pool of r has the room that endless
// tasks leave to it. It returns false if it stops none.
func (p *planner) restoreFiniteRoom(r *Request, t WaitingTask) bool {
	room := p.finiteRoom[r.Pool]
	if room == nil {
		return false
	}
	evicted := false
	for range maxEvictionsPerRequest {
		if room.enoughWithout(0) || !p.evictFor(r, t, true) {
			break
		}
		evicted = true
	}
	return evicted
}

// evictFor proposes to stop the tasks on the worker where that costs least, so that task t of r fits there. endless tells whether
// endless tasks may be stopped. It returns false if there are no such tasks.
func (p *planner) evictFor(r *Request, t WaitingTask, endless bool) bool {
	var best *Worker
	var victims []int
	lowest := 0.0
	for _, w := range p.Workers {
		if o := p.obstacleFor(w, r); o != noCores && o != noMemory || !t.mayStartOn(w.Incarnation.ID) {
			continue
		}
		chosen, cost := w.victims(r, endless)
		if len(chosen) > 0 && (best == nil || cost < lowest) {
			best, victims, lowest = w, chosen, cost
		}
	}
	for _, i := range victims {
		v := &best.Residents[i]
		v.Stopping = true
		p.finiteRoom[r.Pool].addStopping(v.Step)
		p.plan.Stops = append(p.plan.Stops, Stop{Task: v.Task, Attempt: v.Attempt, On: best.Incarnation, For: r.Submission})
	}
	return len(victims) > 0
}

// roomPending reports whether a worker of the pool will have room for a task of r once the stops in progress have ended.
func (p *planner) roomPending(r *Request) bool {
	for _, w := range p.Workers {
		if !w.Usable || w.Pool != r.Pool {
			continue
		}
		free := w.Capacity.Minus(w.used)
		stopping := false
		for i := range w.Residents {
			if w.Residents[i].Stopping {
				stopping = true
				free = free.Plus(ReservedSize(w.Residents[i].Step))
			}
		}
		if stopping && ReservedSize(r.Spec).Fits(free) {
			return true
		}
	}
	return false
}

// victims returns the indexes of the residents to stop so that a task of r fits, and the cost of stopping them. It
// returns none if maxVictims stops do not free enough room. endless tells whether endless tasks may be stopped.
func (w *Worker) victims(r *Request, endless bool) ([]int, float64) {
	free := w.Capacity.Minus(w.used)
	var chosen []int
	cost := 0.0
	for len(chosen) < maxVictims {
		if ReservedSize(r.Spec).Fits(free) {
			return chosen, cost
		}
		best, lowest := -1, 0.0
		for i := range w.Residents {
			v := &w.Residents[i]
			if v.Stopping || !v.MayStop || !v.yieldsTo(r) || v.Step.GetEndless() && !endless || slices.Contains(chosen, i) {
				continue
			}
			if c := victimCost(v.Step); best < 0 || c < lowest {
				best, lowest = i, c
			}
		}
		if best < 0 {
			return nil, 0
		}
		chosen = append(chosen, best)
		cost += lowest
		free = free.Plus(ReservedSize(w.Residents[best].Step))
	}
	if ReservedSize(r.Spec).Fits(free) {
		return chosen, cost
	}
	return nil, 0
}

// yieldsTo reports whether a resident may be stopped for a task of r.
func (v *Resident) yieldsTo(r *Request) bool {
	return v.Priority > r.Priority || v.Step.GetEndless() && v.Priority == r.Priority
}

func victimCost(step *pb.Step) float64 {
	if step.GetEndless() {
		return endlessCost
	}
	if step.GetCheckpoints() {
		return savedCost
	}
	return unsavedCost
}
