package steps

import (
	"cmp"
	"slices"
)

// PoolUsage is how the cores of a pool are used once the proposals of a plan are carried out, and what still waits for them. It does
// not count filling tasks, which reserve no cores. All sizes are in millicores.
type PoolUsage struct {
	Pool string
	// Workers is the number of workers, Usable that of those on which tasks may be placed. The sizes below cover the usable ones.
	Workers, Usable int
	Capacity        int64
	// Endless and Finite are reserved by residents that run, Stopping by those that have been told to stop.
	Endless, Finite, Stopping int64
	// Evictable is the part of Endless that the limits of the steps allow to be stopped.
	Evictable int64
	// Waiting is what the waiting tasks of each tier need, WaitingTasks their number.
	Waiting      [NumTiers]int64
	WaitingTasks [NumTiers]int
	// Unrestricted is the part of Waiting[tierOnTime] that any worker of the pool may run.
	Unrestricted int64
}

// TierNames are the names of the tiers in logs, first the one that is served first.
var TierNames = [NumTiers]string{"overdue-endless", "on-time", "endless", "late", "worthless"}

// usageByPool returns the usage of each pool after a plan, sorted by pool.
func (p *planner) usageByPool() []PoolUsage {
	pools := map[string]*PoolUsage{}
	of := func(pool string) *PoolUsage {
		if pools[pool] == nil {
			pools[pool] = &PoolUsage{Pool: pool}
		}
		return pools[pool]
	}
	for _, w := range p.Workers {
		of(w.Pool).addWorker(w)
	}
	started := map[stepKey]int{}
	for i := range p.plan.Starts {
		started[keyOf(p.plan.Starts[i].Task)]++
	}
	for _, r := range p.Requests {
		of(r.Pool).addWaiting(r, len(r.Waiting)-started[r.key()], p.NowUnixMs)
	}
	usage := make([]PoolUsage, 0, len(pools))
	for _, u := range pools {
		usage = append(usage, *u)
	}
	slices.SortFunc(usage, func(a, b PoolUsage) int { return cmp.Compare(a.Pool, b.Pool) })
	return usage
}

func (u *PoolUsage) addWorker(w *Worker) {
	u.Workers++
	if !w.Usable {
		return
	}
	u.Usable++
	u.Capacity += w.Capacity.Cores
	for i := range w.Residents {
		v := &w.Residents[i]
		cores := ReservedSize(v.Step).Cores
		switch {
		case v.Stopping:
			u.Stopping += cores
		case v.Step.GetEndless():
			u.Endless += cores
			if v.MayStop {
				u.Evictable += cores
			}
		default:
			u.Finite += cores
		}
	}
}

func (u *PoolUsage) addWaiting(r *Request, tasks int, nowMs int64) {
	if r.Spec.GetFills() {
		return
	}
	tier, cores := r.tier(nowMs), int64(tasks)*ReservedSize(r.Spec).Cores
	u.Waiting[tier] += cores
	u.WaitingTasks[tier] += tasks
	if tier == tierOnTime && !r.restricted() {
		u.Unrestricted += cores
	}
}

// restricted reports whether only some workers may run the tasks of r, or only several at once.
func (r *Request) restricted() bool {
	return r.Advice != nil || r.Spec.GetLabel() != "" || r.Spec.GetMaxPerWorker() > 0 || r.Spec.GetGang()
}
