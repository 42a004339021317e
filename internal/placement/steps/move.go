package steps

// maxMoves bounds the moves of one plan. Further tasks move with the next plans.
const maxMoves = 32

// proposeMoves proposes to move filling tasks away from services that they slow down, and endless tasks away from workers that are about to
// leave, but only if another worker can take them now and their steps allow it. It is meant for a full pool: a task that is stopped without such
// a worker waits in the queue, or slows down another service and is stopped again, while a throttled task goes on whenever the load of the
// service falls, and one on a worker that drains goes on until that leaves.
func (p *planner) proposeMoves() {
	for _, w := range p.Workers {
		for i := range w.Residents {
			if len(p.plan.Moves) >= maxMoves {
				return
			}
			if v := &w.Residents[i]; v.ShouldMove && v.MayStop && !v.Stopping {
				p.proposeMove(w, v)
			}
		}
	}
}

func (p *planner) proposeMove(w *Worker, v *Resident) {
	r := &Request{Submission: v.Task.Submission, Occurrence: v.Task.Occurrence, Step: v.Task.Step, Spec: v.Step, Pool: w.Pool,
		Priority: v.Priority, ReadyUnixMs: p.NowUnixMs}
	t := WaitingTask{Index: v.Task.Index, Attempt: v.Attempt, AvoidWorkers: []string{w.Incarnation.ID}}
	if _, ruledOut := p.unplaced.rulesOut(p, r); ruledOut {
		return
	}
	found := p.search(r, "")
	c, ok := found.take(p, r, t)
	if !ok {
		p.unplaced.record(p, r, WaitingTask{}, found)
		return
	}
	v.Stopping = true
	p.plan.Moves = append(p.plan.Moves, Move{Task: v.Task, Attempt: v.Attempt, On: w.Incarnation})
	c.worker.Residents = append(c.worker.Residents, Resident{Task: v.Task, Attempt: v.Attempt, Step: v.Step, Priority: v.Priority, TailRatio: noReading})
	c.worker.add(&c.worker.Residents[len(c.worker.Residents)-1]) // reserves its place within this plan
}
