package steps

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Finite work and endless tasks of a pool compete for its cores. A core that an endless task gets does not come back, while one that a
// short task holds comes free within a second or so. In a pool that is short of cores endless tasks would therefore end up with all of
// them, and finite work, that of wide steps first of all, would find none. So endless tasks leave room for the finite work that the pool
// has had to do lately, and are stopped for it. As an endless task must not be away for long, one that is long overdue takes any room;
// others are then stopped in its place. In a pool that is short of cores the endless tasks thus take turns.

const (
	// maxFiniteShare bounds the part of the cores of a pool that endless tasks leave to finite work.
	maxFiniteShare = 0.25
	// demandTimeConstantMs is the time constant of FiniteDemand.
	demandTimeConstantMs = 2000
)

// FiniteDemand is a moving average of the cores that the finite work of each pool needs. The zero value is ready for use.
type FiniteDemand struct {
	pools map[string]*averageDemand
}

// averageDemand is the average in millicores up to a time in Unix milliseconds.
type averageDemand struct {
	untilMs int64
	cores   float64
}

// Observe records the usage of the pools after a plan.
func (d *FiniteDemand) Observe(nowMs int64, usage []PoolUsage) {
	if d.pools == nil {
		d.pools = map[string]*averageDemand{}
	}
	for i := range usage {
		u := &usage[i]
		needed := float64(u.Finite + u.Unrestricted)
		average := d.pools[u.Pool]
		if average == nil {
			average = &averageDemand{cores: needed}
			d.pools[u.Pool] = average
		}
		age := max(0, nowMs-average.untilMs) // the clock may be set back
		average.cores += (needed - average.cores) * (1 - math.Exp(-float64(age)/demandTimeConstantMs))
		average.untilMs = nowMs
	}
}

// of returns the demand of a pool in millicores.
func (d *FiniteDemand) of(pool string) int64 {
	if d == nil || d.pools[pool] == nil {
		return 0
	}
	return int64(d.pools[pool].cores)
}

// finiteRoom is the room in a pool that finite work can use, in millicores.
type finiteRoom struct {
	// taskSize is the mean size of the finite tasks that run or wait. Less room than that on a worker is of no use to them.
	taskSize int64
	// held is what finite work holds, free what more it can use, and stopping what endless tasks hold that have been told to stop.
	held, free, stopping int64
	// owed is what long overdue endless tasks that found no room will take of these as soon as they can.
	owed int64
	// reserved is what other endless tasks leave to finite work.
	reserved int64
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
		room := of(pool)
		room.taskSize = (room.held + waiting[pool]) / max(1, n)
		room.reserved = min(s.FiniteDemand.of(pool), int64(maxFiniteShare*float64(capacity[pool])))
	}
	for _, w := range s.Workers {
		if room := pools[w.Pool]; room != nil && w.Usable {
			room.free += room.usable(w)
		}
	}
	return pools
}

// available returns what finite work has now or will have once the stops in progress have ended and the long overdue endless tasks run.
func (room *finiteRoom) available() int64 { return room.held + room.free + room.stopping - room.owed }

// enoughWithout reports whether finite work has the reserved room also without the lost millicores.
func (room *finiteRoom) enoughWithout(lost int64) bool {
	return room == nil || max(0, room.available()-lost) >= room.reserved
}

// usable returns the free cores of a worker if a finite task can use them, else 0.
func (room *finiteRoom) usable(w *Worker) int64 {
	if free := w.Capacity.Cores - w.used.Cores; free >= room.taskSize {
		return free
	}
	return 0
}

// leavesFiniteRoom reports whether a task of r may start on w as far as finite work is concerned: enough room is left for it, or the
// task is long overdue.
func (p *planner) leavesFiniteRoom(w *Worker, r *Request) bool {
	room := p.finiteRoom[r.Pool]
	if room == nil || !r.Spec.GetEndless() || r.longOverdue(p.NowUnixMs) {
		return true
	}
	size, free := ReservedSize(r.Spec).Cores, w.Capacity.Cores-w.used.Cores
	lost := room.usable(w)
	if free-size >= room.taskSize {
		lost = size
	}
	return room.enoughWithout(lost)
}

// remove and add keep the free room current while a task is placed on w: remove is called before, add after it.
func (room *finiteRoom) remove(w *Worker) {
	if room != nil {
		room.free -= room.usable(w)
	}
}

func (room *finiteRoom) add(w *Worker, placed *pb.Step) {
	if room == nil {
		return
	}
	room.free += room.usable(w)
	if !placed.GetEndless() {
		room.held += ReservedSize(placed).Cores
	}
}

func (room *finiteRoom) addOwed(cores int64) {
	if room != nil {
		room.owed += cores
	}
}

func (room *finiteRoom) addStopping(step *pb.Step) {
	if room != nil && step.GetEndless() {
		room.stopping += ReservedSize(step).Cores
	}
}
