package placement

import (
	"github.com/lentilyard/lentilyard/internal/pb"
)

// cache mirrors the workers, tasks and contracts of the domain in a form that makes decisions cheap.
type cache struct {
	workers map[string]*worker
	slots   []*worker // by index slot; nil for unused slots
	index   *index
	tasks   map[string]*task
	queue   *queue
	quotas  *quotas
	kinds   map[kindKey]kindID
	racks   map[rackKey]int // placed service tasks of a kind in a rack
	total   vector          // capacity of all known workers
}

type rackKey struct {
	kind kindID
	rack string
}

func newCache() *cache {
	return &cache{
		workers: map[string]*worker{}, index: newIndex(), tasks: map[string]*task{}, queue: newQueue(),
		quotas: newQuotas(), kinds: map[kindKey]kindID{}, racks: map[rackKey]int{},
	}
}

// worker is what the cache knows of a worker.
type worker struct {
	id, rack string
	epoch    uint64
	state    pb.WorkerState
	// known is false if only tasks name the worker so far.
	known    bool
	capacity vector
	// used is the sum over its tasks of the largest of declared, corrected and measured size.
	used  vector
	slot  int
	tasks []*task
}

// free returns the capacity that new tasks may take.
func (w *worker) free() vector {
	if !w.known || w.state != pb.WorkerState_WORKER_STATE_READY {
		return nothing
	}
	return w.capacity.minus(w.used)
}

func (c *cache) kindOf(member, kind string) kindID {
	key := kindKey{member, kind}
	id, ok := c.kinds[key]
	if !ok {
		id = kindID(len(c.kinds))
		c.kinds[key] = id
	}
	return id
}

// worker returns the worker of that id and adds an unknown one if needed.
func (c *cache) worker(id string) *worker {
	w := c.workers[id]
	if w != nil {
		return w
	}
	w = &worker{id: id, slot: c.index.add()}
	for len(c.slots) <= w.slot {
		c.slots = append(c.slots, nil)
	}
	c.slots[w.slot] = w
	c.workers[id] = w
	return w
}

func (c *cache) upsertWorker(m *pb.Worker) {
	w := c.worker(m.GetId())
	c.total = c.total.minus(w.capacity)
	c.moveRack(w, m.GetRack())
	w.epoch, w.state, w.known = m.GetEpoch(), m.GetState(), true
	w.capacity = toVector(m.GetCapacity())
	c.total = c.total.plus(w.capacity)
	c.refresh(w)
}

func (c *cache) moveRack(w *worker, rack string) {
	if w.rack == rack {
		return
	}
	for _, t := range w.tasks {
		c.countRack(t, w, -1)
	}
	w.rack = rack
	for _, t := range w.tasks {
		c.countRack(t, w, 1)
	}
}

func (c *cache) removeWorker(id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.total = c.total.minus(w.capacity)
	w.known, w.capacity = false, vector{}
	c.refresh(w)
	c.dropIfUnused(w)
}

// dropIfUnused forgets a worker that was removed once no task names it.
func (c *cache) dropIfUnused(w *worker) {
	if w.known || len(w.tasks) > 0 {
		return
	}
	delete(c.workers, w.id)
	c.slots[w.slot] = nil
	c.index.remove(w.slot)
}

// refresh brings the index up to date with w.
func (c *cache) refresh(w *worker) {
	c.index.set(w.slot, w.free())
}

func (c *cache) upsertTask(m *pb.Task) {
	t := c.tasks[m.GetId()]
	if t == nil {
		t = c.newTask(m)
		c.tasks[t.id] = t
	} else if t.state == m.GetState() && t.attempt == m.GetAttempt() {
		t.update(m)
		return
	}
	c.detach(t)
	t.update(m)
	switch {
	case t.state == pb.TaskState_TASK_STATE_QUEUED:
		c.queue.add(t)
	case occupies(t.state):
		c.occupy(t, c.worker(m.GetWorker()))
	}
}

func (c *cache) removeTask(id string) {
	if t := c.tasks[id]; t != nil {
		c.detach(t)
		delete(c.tasks, id)
	}
}

// detach takes t out of the queue or off its worker.
func (c *cache) detach(t *task) {
	if t.bucket != nil {
		c.queue.remove(t)
	}
	if w := t.worker; w != nil {
		c.vacate(t)
		c.dropIfUnused(w)
	}
}

// occupy counts t against w and its quotas.
func (c *cache) occupy(t *task, w *worker) {
	t.worker, t.position, t.occupied = w, len(w.tasks), c.demand(t, w)
	w.tasks = append(w.tasks, t)
	w.used = w.used.plus(t.occupied)
	c.countRack(t, w, 1)
	t.contract.take(t.size, t.class)
	t.charge = int64(t.size.share(c.total) / t.contract.weight / chargeUnit)
	c.queue.flow(t).charge += t.charge
	c.refresh(w)
}

// vacate undoes occupy.
func (c *cache) vacate(t *task) {
	w := t.worker
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.position], last.position = last, t.position
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	w.used = w.used.minus(t.occupied)
	c.countRack(t, w, -1)
	t.contract.release(t.size, t.class)
	c.queue.flow(t).charge -= t.charge
	t.worker, t.occupied, t.charge = nil, vector{}, 0
	c.refresh(w)
}

func (c *cache) countRack(t *task, w *worker, by int) {
	if t.class != pb.TaskClass_TASK_CLASS_SERVICE {
		return
	}
	key := rackKey{t.kind, w.rack}
	c.racks[key] += by
	if c.racks[key] == 0 {
		delete(c.racks, key)
	}
}

// demand is the capacity that t takes on w.
func (c *cache) demand(t *task, w *worker) vector {
	return t.size
}

func (c *cache) setContract(r *pb.ResolvedContract, parts, total uint32) {
	c.quotas.set(r, parts, total)
}

func (c *cache) removeContract(name string) { c.quotas.remove(name) }
