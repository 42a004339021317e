package placement

// residence is a stay of an attempt on a worker that has ended.
type residence struct {
	task       string
	attempt    uint32
	kind       kindID
	share      float32
	start, end int64 // Unix ms
}

// residences is a bounded history of ended stays on one worker. Late samples are matched against it.
type residences struct {
	ring []residence
	next int
	// horizon is the latest end that was dropped. Before it the history is incomplete.
	horizon int64
}

// maxResidences covers 30 s of lateness at 1 end/s on one worker.
const maxResidences = 32

func (r *residences) add(e residence) {
	if len(r.ring) < maxResidences {
		r.ring = append(r.ring, e)
		return
	}
	r.horizon = max(r.horizon, r.ring[r.next].end)
	r.ring[r.next] = e
	r.next = (r.next + 1) % maxResidences
}

// at returns the stay of an attempt that covers time ms, or nil.
func (r *residences) at(task string, attempt uint32, ms int64) *residence {
	for i := range r.ring {
		e := &r.ring[i]
		if e.task == task && e.attempt == attempt && e.start <= ms && ms <= e.end {
			return e
		}
	}
	return nil
}

// neighboursAt appends to buffer the kinds that ran on w at time ms beside the given attempt. It reports false if the
// history does not reach back that far.
func (w *worker) neighboursAt(task string, attempt uint32, ms int64, buffer []neighbour) ([]neighbour, bool) {
	if ms < w.past.horizon {
		return buffer, false
	}
	for _, t := range w.tasks {
		if t.running > 0 && t.running <= ms && (t.id != task || t.attempt != attempt) {
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

func addNeighbour(list []neighbour, kind kindID, amount float64) []neighbour {
	for i := range list {
		if list[i].kind == kind {
			list[i].amount += amount
			return list
		}
	}
	return append(list, neighbour{kind, amount})
}
