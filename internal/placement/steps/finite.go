package steps

import "github.com/lentilyard/lentilyard/internal/pb"

// Finite work and endless tasks of a pool compete for its cores. A core that an endless task gets does not come back, while one that a
// short task holds comes free within a second or so. In a pool that is short of cores endless tasks would therefore end up with all of
// them, and finite work, that of wide steps first of all, would find none. So endless tasks leave room for the finite work that the pool
// has had to do lately.

const (
	// maxFiniteShare bounds the part of the cores of a pool that endless tasks leave to finite work.
	maxFiniteShare = 0.25
	// demandWindowMs is the time over which FiniteDemand keeps the highest demand, once or twice over. Room that finite work does
	// not use is therefore given up within 2 s: callers may not wait longer for an endless task that has room.
	demandWindowMs = 1000
	// ampleRoom is the multiple of its size that must be free on a worker so that an overdue endless task starts there although finite
	// work could use the room.
	ampleRoom = 2
)

// FiniteDemand remembers how many cores the finite work of each pool has needed lately. The zero value is ready for use.
type FiniteDemand struct {
	pools map[string]*demandPeak
}

// demandPeak holds the highest demand in the current window and in the one before, in millicores.
type demandPeak struct {
	windowStartMs     int64
	current, previous int64
}

// Observe records the usage of the pools after a plan.
func (d *FiniteDemand) Observe(nowMs int64, usage []PoolUsage) {
	if d.pools == nil {
		d.pools = map[string]*demandPeak{}
	}
	for i := range usage {
		u := &usage[i]
		peak := d.pools[u.Pool]
		if peak == nil {
			peak = &demandPeak{windowStartMs: nowMs}
			d.pools[u.Pool] = peak
		}
		if age := nowMs - peak.windowStartMs; age < 0 || age >= demandWindowMs { // the clock may be set back
			peak.windowStartMs, peak.previous, peak.current = nowMs, peak.current, 0
		}
		peak.current = max(peak.current, u.Finite+u.Unrestricted)
	}
}

// of returns the demand of a pool in millicores.
func (d *FiniteDemand) of(pool string) int64 {
	if d == nil || d.pools[pool] == nil {
		return 0
	}
	return max(d.pools[pool].current, d.pools[pool].previous)
}

// finiteRoom is the room in a pool that finite work can use, in millicores.
type finiteRoom struct {
	// taskSize is the mean size of the finite tasks that run or wait. Less room than that on a worker is of no use to them.
	taskSize int64
	// held is what finite work holds, free what more it can use, stopping what endless tasks hold that have been told to stop, and
	// reserved what endless tasks leave to finite work of the three together.
	held, free, stopping, reserved int64
}

// finiteRoomByPool returns the room for finite work in each pool. It has no entry for a pool without finite work.
func finiteRoomByPool(s *Snapshot) map[string]*finiteRoom {
	pools := map[string]*finiteRoom{}
	tasks, capacity := map[string]int64{}, map[string]int64{}
	of := func(pool string) *finiteRoom {
		if pools[pool] == nil {
			pools[pool] = &finiteRoom{}
		}
		return pools[pool]
	}
	for _, w := range s.Workers {
		for i := range w.Residents {
			v := &w.Residents[i]
			switch {
			case !w.Usable || v.Step.GetFills():
			case !v.Step.GetEndless():
				tasks[w.Pool]++
				of(w.Pool).held += ReservedSize(v.Step).Cores
			case v.Stopping:
				of(w.Pool).stopping += ReservedSize(v.Step).Cores
			}
		}
		if w.Usable {
			capacity[w.Pool] += w.Capacity.Cores
		}
	}
	waiting := map[string]int64{}
	for _, r := range s.Requests {
		if !r.Spec.GetEndless() && !r.Spec.GetFills() {
			tasks[r.Pool] += int64(len(r.Waiting))
			waiting[r.Pool] += int64(len(r.Waiting)) * ReservedSize(r.Spec).Cores
		}
	}
	for pool, n := range tasks {
		h := of(pool)
		h.taskSize = (h.held + waiting[pool]) / max(1, n)
		h.reserved = min(s.FiniteDemand.of(pool), int64(maxFiniteShare*float64(capacity[pool])))
	}
	for _, w := range s.Workers {
		if h := pools[w.Pool]; h != nil && w.Usable {
			h.free += h.usable(w)
		}
	}
	return pools
}

// available returns what finite work has now or will have once the stops in progress have ended.
func (h *finiteRoom) available() int64 { return h.held + h.free + h.stopping }

// enoughWithout reports whether finite work has the reserved room also without the lost millicores.
func (h *finiteRoom) enoughWithout(lost int64) bool {
	return h == nil || max(0, h.available()-lost) >= h.reserved
}

// usable returns the free cores of a worker if a finite task can use them, else 0.
func (h *finiteRoom) usable(w *Worker) int64 {
	if free := w.Capacity.Cores - w.used.Cores; free >= h.taskSize {
		return free
	}
	return 0
}

// leavesFiniteRoom reports whether enough room is left for finite work when a task of r starts on w.
func (p *planner) leavesFiniteRoom(w *Worker, r *Request) bool {
	h := p.finiteRoom[r.Pool]
	if h == nil || !r.Spec.GetEndless() {
		return true
	}
	size, free := ReservedSize(r.Spec).Cores, w.Capacity.Cores-w.used.Cores
	if r.overdue(p.NowUnixMs) && free >= ampleRoom*size {
		return true
	}
	lost := h.usable(w)
	if free-size >= h.taskSize {
		lost = size
	}
	return h.enoughWithout(lost)
}

// remove and add keep the free room current while a task is placed on w: remove is called before, add after it.
func (h *finiteRoom) remove(w *Worker) {
	if h != nil {
		h.free -= h.usable(w)
	}
}

func (h *finiteRoom) add(w *Worker, placed *pb.Step) {
	if h == nil {
		return
	}
	h.free += h.usable(w)
	if !placed.GetEndless() {
		h.held += ReservedSize(placed).Cores
	}
}

func (h *finiteRoom) addStopping(step *pb.Step) {
	if h != nil && step.GetEndless() {
		h.stopping += ReservedSize(step).Cores
	}
}
