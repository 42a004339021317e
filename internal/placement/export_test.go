package placement

import "fmt"

// CheckAccounting recomputes the values that the cache updates incrementally and returns an error for the first
// difference.
func (p *Planner) CheckAccounting() error {
	charges := map[*flow]int64{}
	for _, w := range p.cache.workers {
		if err := p.checkWorker(w, charges); err != nil {
			return err
		}
	}
	for _, c := range p.cache.quotas.contracts {
		used, releasing := vector{}, vector{}
		for _, t := range c.placed {
			used = used.Plus(t.size)
			if t.evicting() {
				releasing = releasing.Plus(t.size)
			}
		}
		if c.account.used != used || c.account.releasing != releasing {
			return fmt.Errorf("contract %s: account %+v, want used %v, releasing %v", c.name, c.account, used, releasing)
		}
	}
	for _, flows := range p.cache.queue.flows {
		for _, f := range flows {
			if f.charge != charges[f] {
				return fmt.Errorf("flow of member %s: charge %d, want %d", f.member, f.charge, charges[f])
			}
		}
	}
	return nil
}

// checkWorker checks w and adds the charges of its tasks to charges.
func (p *Planner) checkWorker(w *worker, charges map[*flow]int64) error {
	var used, releasing, evictable vector
	groups := int32(0)
	for _, g := range w.groups {
		groups += int32(g.count)
	}
	for _, u := range w.untracked {
		used = used.Plus(u.size)
	}
	for _, t := range w.tasks {
		used = used.Plus(t.occupied)
		charges[p.cache.queue.flow(t)] += t.charge
		if t.evicting() {
			releasing = releasing.Plus(t.occupied)
		} else if t.batch() {
			evictable = evictable.Plus(t.occupied)
		}
		if t.evictionPlanned || !t.size.Fits(t.occupied) {
			return fmt.Errorf("task %s on %s: eviction planned %t, occupied %v", t.id, w.id, t.evictionPlanned, t.occupied)
		}
	}
	if used != w.used || releasing != w.releasing || evictable != w.evictable || int(groups) != len(w.tasks) {
		return fmt.Errorf("worker %s: used %v want %v, releasing %v want %v, evictable %v want %v, %d tasks in groups, want %d",
			w.id, w.used, used, w.releasing, releasing, w.evictable, evictable, groups, len(w.tasks))
	}
	if p.cache.free.nodes[p.cache.free.leaves+w.slot] != w.free() || p.cache.freeSoon.nodes[p.cache.freeSoon.leaves+w.slot] != w.freeSoon() {
		return fmt.Errorf("worker %s: the free or freeSoon index is out of date", w.id)
	}
	return nil
}

// AccountingFaults holds functions that corrupt the cache in ways that CheckAccounting must detect, by name. They need
// a placed batch task.
var AccountingFaults = map[string]func(p *Planner){
	"used":             func(p *Planner) { placedTask(p).worker.used.Cores++ },
	"evictable":        func(p *Planner) { placedTask(p).worker.evictable.Cores-- },
	"releasing":        func(p *Planner) { placedTask(p).worker.releasing.Cores++ },
	"planned eviction": func(p *Planner) { placedTask(p).evictionPlanned = true },
	"quota":            func(p *Planner) { placedTask(p).contract.account.used.Cores++ },
	"charge":           func(p *Planner) { p.cache.queue.flow(placedTask(p)).charge++ },
	"index":            func(p *Planner) { w := placedTask(p).worker; p.cache.free.set(w.slot, w.room().Plus(vector{Cores: 1})) },
}

// placedTask returns any placed task, or nil.
func placedTask(p *Planner) *task {
	for _, t := range p.cache.tasks {
		if t.allocation != nil {
			return t
		}
	}
	return nil
}
