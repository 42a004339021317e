package steps

import "slices"

const (
	// fillLimit is the share of a worker's processor time up to which filling tasks are added.
	fillLimit = 1.0
	// farWeight is the cost of a place far from the data of a step, in shares of a worker's processor time.
	farWeight = 2.0
	// pressureLimit is the predicted busy share up to which filling tasks are added beside an endless one. At 0.8 its
	// tail reaches the limit.
	pressureLimit = 0.78
	// riskRate is how much pressureLimit rises with each second that a task has waited longer than patience, in seconds.
	riskRate = 0.05
	patience = 3.0
	// riskLimit bounds that rise.
	riskLimit = 0.85
	// idlePatience is the wait, in seconds, after which one task of a submission of which nothing runs starts even if it
	// presses on a service. Relief slows it then.
	idlePatience = 1.5
	// busyPool is the share of a pool in use from which no submission goes ahead; callers are owed a start while under
	// half is in use.
	busyPool = 0.6
	// strainLimit is the reading of a tail above which a worker gets no filling task that presses on it.
	strainLimit = 0.85
	// harmlessWeight is the weight of a pair that does not matter: a tenth of the worker adds less than its own load swings.
	harmlessWeight = 1.0
	// pressureWeight is the cost of what a filling task adds to the busy share of an endless one.
	pressureWeight = 1.0
	// mixWeight is the cost of an endless task beside those of other images. Workers with one image leave room for
	// filling tasks that press on others only.
	mixWeight = 0.5
	// penaltyWeight multiplies the penalty of a worker.
	penaltyWeight = 4.0
)

// planning is the state of one plan.
type planning struct {
	*Snapshot
	plan Plan
	// started holds the submissions of which the plan starts a task.
	started map[string]bool
	// usage is the share of the processor time of each pool that is taken or expected to be used.
	usage map[string]float64
	full  fullness
	// kept is the number of workers on which cores are kept free.
	kept int
}

// place proposes starts for the waiting tasks of a request, all or none of a gang.
func (p *planning) place(r *Request) {
	if r.Spec.GetGang() {
		p.placeGang(r)
		return
	}
	if why, ok := p.full.covers(p, r); ok {
		p.noPlace(r, r.Waiting[0], why)
		return
	}
	ahead := p.goesAhead(r)
	found := p.search(r, "")
	for _, t := range r.Waiting {
		if len(p.plan.Starts) >= p.MaxStarts {
			return
		}
		if !p.placeTask(r, t, found) {
			p.full.note(p, r, t, found)
			p.noPlace(r, t, describe(found.obstacles))
			return
		}
		if ahead {
			ahead = false
			found = p.search(r, "")
		}
	}
}

// noPlace deals with a task that found no place.
func (p *planning) noPlace(r *Request, t WaitingTask, why string) {
	p.waits(r, t, why)
	p.keepRoom(r)
	p.makeRoom(r, t)
}

func (p *planning) waits(r *Request, t WaitingTask, why string) {
	p.plan.Waiting = append(p.plan.Waiting, Wait{Task: r.ref(t), Priority: r.Priority, Tasks: len(r.Waiting), Obstacles: why})
}

// placeGang places all members or none. If distance between racks slows the gang, it tries to keep it in one rack.
func (p *planning) placeGang(r *Request) {
	if len(r.Waiting) < int(r.Spec.GetCount()) {
		return // members of the last attempt have not ended yet
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
		p.withdraw(before)
		if rack == racks[len(racks)-1] {
			p.waits(r, r.Waiting[placed], describe(found.obstacles))
		}
	}
}

func (p *planning) rackNames() []string {
	var names []string
	for _, w := range p.Workers {
		if !slices.Contains(names, w.Rack) {
			names = append(names, w.Rack)
		}
	}
	slices.Sort(names)
	return names
}

// withdraw takes back the proposals after the first n.
func (p *planning) withdraw(n int) {
	for _, s := range p.plan.Starts[n:] {
		i := slices.IndexFunc(p.Workers, func(w *Worker) bool { return w.Life == s.On })
		w := p.Workers[i]
		last := len(w.Residents) - 1
		w.remove(&w.Residents[last])
		w.Residents = w.Residents[:last]
	}
	p.plan.Starts = p.plan.Starts[:n]
}

// placeTask proposes a start of one task on the best worker of a search. It returns false if none takes it.
func (p *planning) placeTask(r *Request, t WaitingTask, found *search) bool {
	c, ok := found.take(t)
	if !ok {
		return false
	}
	w := c.worker
	w.Residents = append(w.Residents, Resident{Task: r.ref(t), Attempt: t.Attempt, Step: r.Spec, Priority: r.Priority, TailRatio: noReading})
	w.add(&w.Residents[len(w.Residents)-1])
	p.plan.Starts = append(p.plan.Starts, Start{Task: r.ref(t), Attempt: t.Attempt, On: w.Life, Considered: found.considered()})
	p.started[r.Submission] = true
	p.offer(found, r, w, c.position)
	return true
}

// score rates a worker with room; lower is better. The terms are shares of the worker's processor time.
func (p *planning) score(w *Worker, r *Request) float64 {
	spec := r.Spec
	capacity := float64(max(1, w.Capacity.Cores))
	score := (w.load + expectedLoad(spec)) / capacity
	if spec.GetDataRack() != "" && spec.GetDataRack() != w.Rack {
		score += farWeight
	}
	if spec.GetTailLimitMs() > 0 {
		// Fullest first, so that other workers stay free of endless tasks.
		score = mixWeight*float64(w.mix(spec.GetImage())) - score
	}
	if spec.GetFills() {
		for i := range w.services {
			s := &w.services[i]
			score += pressureWeight * float64(s.tasks) * p.Pressure.Weight(s.image, spec.GetImage()) * w.share(spec)
		}
	}
	return score + penaltyWeight*w.Penalty
}
