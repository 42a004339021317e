package steps

import (
	"math"
	"slices"
	"time"
)

const (
	// maxExpectedLoad is the expected CPU use, as a share of the capacity of a worker, up to which filling tasks are added.
	maxExpectedLoad = 1.0
	// placementHorizon is how far ahead the load of a service must leave room for a filling task that is placed beside it.
	placementHorizon = 2 * time.Second
	// limitUtilization is the utilization of a service at which its tail latency reaches the limit.
	limitUtilization = 1 - idleTailRatio
	// predictionSpread is the scale of the logistic distribution of the errors of predicted utilizations.
	predictionSpread = 0.03
	// utilizationLimit is the predicted utilization of a service up to which filling tasks are added to its worker. At a
	// utilization of 0.8 its tail latency reaches the limit.
	utilizationLimit = 0.82
	// utilizationLimitRate is how much that limit rises for each second that a task waits beyond utilizationLimitDelay.
	utilizationLimitRate = 0.05
	// utilizationLimitDelay is the wait, in seconds, after which the limit starts to rise.
	utilizationLimitDelay = 3.0
	// maxUtilizationLimit bounds that rise.
	maxUtilizationLimit = 0.85
	// idleDelay is the wait, in seconds, after which one task of an idle submission starts even if it slows down a service.
	// It is throttled then if necessary.
	idleDelay = 1.5
	// busyPoolUsage is the usage of a pool from which idle submissions no longer start a task that slows down a service.
	// Callers must get a start while less than half of the pool is in use.
	busyPoolUsage = 0.6
	// starvedDelay is the wait, in seconds, after which one task of an idle submission of filling work starts on a busy worker.
	starvedDelay = 8.0
)

// Factors of the terms of score.
const (
	// remoteDataCost is the cost of a worker outside the rack that holds the input of the step.
	remoteDataCost = 2.0
	// overLimitCost is the cost of a service that a filling task puts over its tail limit.
	overLimitCost = 1.0
	// mixedImagesCost is the cost of placing a service on a worker for each other service image there. A worker with
	// services of one image has room for filling tasks that slow down other images only.
	mixedImagesCost = 0.5
	// penaltyCost multiplies the penalty of a worker.
	penaltyCost = 4.0
)

// planner makes one plan.
type planner struct {
	*Snapshot
	plan Plan
	// started holds the submissions of which the plan starts a task.
	started map[string]bool
	// usage is the share of the CPU time of each pool that is reserved or expected to be used.
	usage map[string]float64
	// reserved is the share of the cores of each pool that is reserved. Filling tasks reserve none.
	reserved map[string]float64
	// finiteRoom is the room for finite work in each pool that has such work.
	finiteRoom map[string]*finiteRoom
	unplaced   unplacedSizes
	// reservedWorkers is the number of workers that are reserved for endless tasks, reservations that number by submission.
	reservedWorkers int
	reservations    map[string]int
	// overdueUnplaced holds the pools in which an overdue endless task found no room.
	overdueUnplaced map[string]bool
}

// placeRequest proposes starts for the waiting tasks of a request, and records what long overdue endless tasks still need.
func (p *planner) placeRequest(r *Request) {
	before := len(p.plan.Starts)
	p.placeTasks(r)
	if r.longOverdue(p.NowUnixMs) {
		unplaced := len(r.Waiting) - (len(p.plan.Starts) - before)
		p.finiteRoom[r.Pool].addOwed(int64(unplaced) * ReservedSize(r.Spec).Cores)
	}
}

// placeTasks proposes starts for the waiting tasks of a request. Of a gang it starts all tasks or none.
func (p *planner) placeTasks(r *Request) {
	if r.Spec.GetGang() {
		p.placeGang(r)
		return
	}
	if why, ok := p.unplaced.rulesOut(p, r); ok {
		p.handleUnplaced(r, r.Waiting[0], why)
		return
	}
	bypass := p.bypassesPressure(r)
	found := p.search(r, "")
	handled := false
	for _, t := range r.Waiting {
		if len(p.plan.Starts) >= p.MaxStarts {
			return
		}
		if !p.placeTask(r, t, found) {
			p.unplaced.record(p, r, t, found)
			if !handled {
				handled = true
				p.handleUnplaced(r, t, formatObstacles(found.obstacles))
			}
			if len(found.candidates) == 0 {
				return
			}
			continue // the task avoids the workers with room; others of the step may not
		}
		if bypass {
			bypass = false
			found = p.search(r, "")
		}
	}
}

// handleUnplaced records that no worker can take a task, and reserves a worker or stops other tasks for it where the
// rules allow it.
func (p *planner) handleUnplaced(r *Request, t WaitingTask, why string) {
	p.addWait(r, t, why)
	if r.overdue(p.NowUnixMs) {
		p.overdueUnplaced[r.Pool] = true
	}
	p.reserveWorker(r)
	p.preempt(r, t)
}

func (p *planner) addWait(r *Request, t WaitingTask, why string) {
	p.plan.Waiting = append(p.plan.Waiting, Wait{Task: r.ref(t), Priority: r.Priority, Tasks: len(r.Waiting), Obstacles: why})
}

// placeGang places all tasks of a gang or none. A gang that is slower across racks is placed in one rack if possible.
func (p *planner) placeGang(r *Request) {
	if len(r.Waiting) < int(r.Spec.GetCount()) {
		return // tasks of the last attempt have not ended yet
	}
	racks := []string{""}
	if r.Spec.GetSameRack() {
		racks = append(p.rackNames(), "")
	}
	for _, rack := range racks {
		before := len(p.plan.Starts)
		found := p.search(r, rack)
		placed := 0
		for _, t := range r.Waiting {
			if !p.placeTask(r, t, found) {
				break
			}
			placed++
		}
		if placed == len(r.Waiting) {
			return
		}
		p.rollBack(before)
		if rack == racks[len(racks)-1] {
			p.addWait(r, r.Waiting[placed], formatObstacles(found.obstacles))
		}
	}
}

func (p *planner) rackNames() []string {
	var names []string
	for _, w := range p.Workers {
		if !slices.Contains(names, w.Rack) {
			names = append(names, w.Rack)
		}
	}
	slices.Sort(names)
	return names
}

// rollBack removes all proposed starts after the first n.
func (p *planner) rollBack(n int) {
	for _, s := range p.plan.Starts[n:] {
		i := slices.IndexFunc(p.Workers, func(w *Worker) bool { return w.Incarnation == s.On })
		w := p.Workers[i]
		last := len(w.Residents) - 1
		w.remove(&w.Residents[last])
		w.Residents = w.Residents[:last]
	}
	p.plan.Starts = p.plan.Starts[:n]
	before := p.finiteRoom
	p.finiteRoom = finiteRoomByPool(p.Snapshot)
	for pool, room := range p.finiteRoom {
		if old := before[pool]; old != nil {
			room.owed = old.owed
		}
	}
}

// placeTask proposes to start one task on the best worker of a search. It returns false if no worker can take it.
func (p *planner) placeTask(r *Request, t WaitingTask, found *searchResult) bool {
	c, ok := found.take(p, r, t)
	if !ok {
		return false
	}
	w := c.worker
	room := p.finiteRoom[r.Pool]
	room.remove(w)
	w.Residents = append(w.Residents, Resident{Task: r.ref(t), Attempt: t.Attempt, Step: r.Spec, Priority: r.Priority, TailRatio: noReading,
		Young: true, Suspect: t.Suspect})
	w.add(&w.Residents[len(w.Residents)-1])
	room.add(w, r.Spec)
	p.plan.Starts = append(p.plan.Starts, Start{Task: r.ref(t), Attempt: t.Attempt, On: w.Incarnation, Considered: found.considered()})
	p.started[r.Submission] = true
	p.putBack(found, r, w, c.position)
	return true
}

// score rates a worker that can take a task of r; lower is better. The terms are in shares of the worker's CPU time.
func (p *planner) score(w *Worker, r *Request) float64 {
	spec := r.Spec
	capacity := float64(max(1, w.Capacity.Cores))
	score := (w.load + expectedLoad(spec)) / capacity
	if spec.GetDataRack() != "" && spec.GetDataRack() != w.Rack {
		score += remoteDataCost
	}
	if spec.GetTailLimitMs() > 0 {
		// Prefer the fullest worker, so that others stay free of services.
		score = mixedImagesCost*float64(w.otherServiceImages(spec.GetImage())) - score
	}
	if spec.GetFills() {
		for i := range w.services {
			s := &w.services[i]
			utilization := s.base * (1 + s.pressure)
			added := s.base * p.Pressure.assumedWeight(s.image, spec.GetImage()) * w.cpuShare(spec)
			score += overLimitCost * float64(s.tasks) * (overLimitProbability(utilization+added) - overLimitProbability(utilization))
		}
	}
	return score + penaltyCost*w.Penalty
}

// overLimitProbability returns how likely a service exceeds its tail limit at a predicted utilization. Predictions for the
// next seconds are off by some hundredths.
func overLimitProbability(utilization float64) float64 {
	return 1 / (1 + math.Exp((limitUtilization-utilization)/predictionSpread))
}
