package placement

// pastRun is the run of an attempt on a worker that has ended. Its throttle share is that at the end.
type pastRun struct {
	task       string
	attempt    uint32
	kind       kindID
	share      float32
	start, end int64 // Unix ms
}

// runHistory holds the most recent runs that ended on one worker. Samples that arrive late are matched against it.
type runHistory struct {
	ring []pastRun
	next int
	// completeSince is the latest end of a run that was dropped. The history before it is incomplete.
	completeSince int64
}

// maxPastRuns covers samples that are 30 s late on a worker where one run ends per second.
const maxPastRuns = 32

// add adds a run and drops the one added first if the history is full.
func (r *runHistory) add(e pastRun) {
	if len(r.ring) < maxPastRuns {
		r.ring = append(r.ring, e)
		return
	}
	r.completeSince = max(r.completeSince, r.ring[r.next].end)
	r.ring[r.next] = e
	r.next = (r.next + 1) % maxPastRuns
}

// at returns the run of an attempt that covers time ms, or nil.
func (r *runHistory) at(task string, attempt uint32, ms int64) *pastRun {
	for i := range r.ring {
		e := &r.ring[i]
		if e.task == task && e.attempt == attempt && e.start <= ms && ms <= e.end {
			return e
		}
	}
	return nil
}

// neighboursAt appends to buffer the kinds of task that ran on w at time ms beside the given attempt. It returns false
// if the history does not reach back that far.
func (w *worker) neighboursAt(task string, attempt uint32, ms int64, buffer []neighbour) ([]neighbour, bool) {
	if ms < w.past.completeSince {
		return buffer, false
	}
	for _, t := range w.tasks {
		if t.runningSince > 0 && t.runningSince <= ms && (t.id != task || t.attempt != attempt) {
			buffer = addNeighbour(buffer, t.kind, t.shareAt(ms))
		}
	}
	for i := range w.past.ring {
		e := &w.past.ring[i]
		if e.start <= ms && ms < e.end && (e.task != task || e.attempt != attempt) {
			buffer = addNeighbour(buffer, e.kind, float64(e.share))
		}
	}
	return buffer, true
}

// addNeighbour adds amount to the entry of kind, or appends one.
func addNeighbour(list []neighbour, kind kindID, amount float64) []neighbour {
	for i := range list {
		if list[i].kind == kind {
			list[i].amount += amount
			return list
		}
	}
	return append(list, neighbour{kind, amount})
}
