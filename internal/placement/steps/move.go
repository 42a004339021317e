package steps

// maxMoves bounds the moves of one plan; they free places for the next one.
const maxMoves = 32

// move proposes to move filling tasks away from services on which they press, but only to workers that take them now. It
// answers a full pool: a task that is stopped with nowhere to go waits in the queue, or presses on another service and is
// stopped again, while a slowed one goes on whenever the load beside it falls.
func (p *planning) move() {
	for _, w := range p.Workers {
		for i := range w.Residents {
			if len(p.plan.Moves) >= maxMoves {
				return
			}
			if v := &w.Residents[i]; v.ShouldMove && !v.Stopping {
				p.moveFrom(w, v)
			}
		}
	}
}

func (p *planning) moveFrom(w *Worker, v *Resident) {
	r := &Request{Submission: v.Task.Submission, Occurrence: v.Task.Occurrence, Step: v.Task.Step, Spec: v.Step, Pool: w.Pool,
		Priority: v.Priority, ReadyUnixMs: p.NowUnixMs}
	t := WaitingTask{Index: v.Task.Index, Attempt: v.Attempt, AvoidWorkers: []string{w.Life.ID}}
	if _, full := p.full.covers(p, r); full {
		return
	}
	found := p.search(r, "")
	c, ok := found.take(t)
	if !ok {
		p.full.note(p, r, WaitingTask{}, found)
		return
	}
	v.Stopping = true
	p.plan.Moves = append(p.plan.Moves, Move{Task: v.Task, Attempt: v.Attempt, On: w.Life})
	c.worker.Residents = append(c.worker.Residents, Resident{Task: v.Task, Attempt: v.Attempt, Step: v.Step, Priority: v.Priority, TailRatio: noReading})
	c.worker.add(&c.worker.Residents[len(c.worker.Residents)-1]) // the place is kept for it
}
