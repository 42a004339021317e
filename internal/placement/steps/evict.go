package steps

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// maxVictims bounds the tasks that one task may displace.
	maxVictims = 3
	// unsavedCost is the cost of a victim that loses its work, against one that saves its progress when it is stopped.
	unsavedCost = 4.0
	// savedCost is the cost of a victim that resumes elsewhere.
	savedCost = 1.0
	// endlessCost is the cost of an endless task, which starts again elsewhere or later.
	endlessCost = 2.0
)

// makeRoom proposes to stop less urgent tasks for a task that found no place, at most once for a request until the stops
// have taken effect. It answers urgent work that arrives while workers are full of less urgent work, or of endless tasks
// of its own priority, which earn less for each core-second.
func (p *planning) makeRoom(r *Request, t WaitingTask) {
	if r.Spec.GetFills() || r.Spec.GetEndless() || r.standing(p.NowUnixMs) > late || p.roomComing(r) {
		return
	}
	var best *Worker
	var victims []int
	lowest := 0.0
	for _, w := range p.Workers {
		if o := p.admits(w, r); o != noCores && o != noMemory || slices.Contains(t.AvoidWorkers, w.Life.ID) {
			continue
		}
		chosen, cost := w.victims(r)
		if len(chosen) > 0 && (best == nil || cost < lowest) {
			best, victims, lowest = w, chosen, cost
		}
	}
	for _, i := range victims {
		v := &best.Residents[i]
		v.Stopping = true
		p.plan.Stops = append(p.plan.Stops, Stop{Task: v.Task, Attempt: v.Attempt, On: best.Life, For: r.Submission})
	}
}

// roomComing reports whether a worker of the pool will have room once the stops in progress have ended.
func (p *planning) roomComing(r *Request) bool {
	for _, w := range p.Workers {
		if !w.Usable || w.Pool != r.Pool {
			continue
		}
		free := w.Capacity.Minus(w.used)
		stopping := false
		for i := range w.Residents {
			if w.Residents[i].Stopping {
				stopping = true
				free = free.Plus(counted(w.Residents[i].Step))
			}
		}
		if stopping && counted(r.Spec).Fits(free) {
			return true
		}
	}
	return false
}

// victims returns the residents to stop so that a task of r fits, and their cost. It is empty if that cannot be done.
func (w *Worker) victims(r *Request) ([]int, float64) {
	free := w.Capacity.Minus(w.used)
	var chosen []int
	cost := 0.0
	for len(chosen) < maxVictims {
		if counted(r.Spec).Fits(free) {
			return chosen, cost
		}
		best, lowest := -1, 0.0
		for i := range w.Residents {
			v := &w.Residents[i]
			if v.Stopping || !v.MayStop || !v.yields(r) || slices.Contains(chosen, i) {
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
		free = free.Plus(counted(w.Residents[best].Step))
	}
	if counted(r.Spec).Fits(free) {
		return chosen, cost
	}
	return nil, 0
}

// yields reports whether a resident may be displaced by r.
func (v *Resident) yields(r *Request) bool {
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
