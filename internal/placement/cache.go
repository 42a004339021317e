package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
)

// cache holds the workers, tasks and contracts of the failure domain, with sums and indexes that are updated
// incrementally so that a decision need not scan them.
type cache struct {
	config  Config
	workers map[string]*worker
	slots   []*worker // by index slot; nil for unused slots
	// Indexes of the workers by free, reclaimable, freeSoon and liveCapacity.
	free, reclaimable, freeSoon, capacity *index
	tasks                                 map[string]*task
	queue                                 *queue
	quotas                                *quotas
	kinds                                 map[kindKey]kindID
	kindInfo                              []*kindInfo
	servicesByRack                        map[rackKey]int // number of placed service tasks of a kind in a rack
	rackIDs                               map[string]rackID
	totalCapacity                         vector // capacity of all known workers
	readyWorkers                          int    // number of ready workers
	model                                 *interference
	feasibility                           feasibility
	reserved                              []*worker
	slowTasks                             []*task // slower than Config.SlowdownLimit allows
	throttled                             []*task
	draining                              map[*worker]bool
	// suspects lists workers with failed starts since the last plan, and those whose quarantine is proposed.
	quarantined, suspects []*worker
	neighbours            []neighbour // buffer of learnInterference
	expirySlot            int         // slot examined last by expireUsage
}

// rackID identifies a rack by a number, since map keys of integers hash faster than keys with strings.
type rackID int32

// rackOf returns the id of the rack of that name, and assigns one if it is new.
func (c *cache) rackOf(name string) rackID {
	id, ok := c.rackIDs[name]
	if !ok {
		id = rackID(len(c.rackIDs))
		c.rackIDs[name] = id
	}
	return id
}

// rackKey identifies the service tasks of a kind in a rack.
type rackKey struct {
	kind kindID
	rack rackID
}

// maxKinds bounds the memory used for statistics of kinds. Above it, the new kinds of a member share one id.
const maxKinds = 1024

func newCache(config Config) *cache {
	return &cache{
		config: config, workers: map[string]*worker{}, tasks: map[string]*task{}, queue: newQueue(), quotas: newQuotas(),
		free: newIndex(), reclaimable: newIndex(), freeSoon: newIndex(), capacity: newIndex(),
		kinds: map[kindKey]kindID{}, servicesByRack: map[rackKey]int{}, rackIDs: map[string]rackID{}, draining: map[*worker]bool{},
		model: newInterference(float64(config.HalfLife.Milliseconds())),
	}
}

// kindOf returns the id of a member's kind, and assigns one if it is new.
func (c *cache) kindOf(member, kind string) kindID {
	key := kindKey{member, kind}
	if id, ok := c.kinds[key]; ok {
		return id
	}
	if len(c.kinds) >= maxKinds {
		key.kind = ""
		if id, ok := c.kinds[key]; ok {
			return id
		}
	}
	id := kindID(len(c.kindInfo))
	c.kinds[key] = id
	c.kindInfo = append(c.kindInfo, &kindInfo{})
	return id
}

// worker returns the worker of that id. If there is none, it adds one that is not known.
func (c *cache) worker(id string) *worker {
	if w := c.workers[id]; w != nil {
		return w
	}
	w := &worker{id: id, slot: c.free.add(), rack: c.rackOf("")}
	for _, x := range [...]*index{c.reclaimable, c.freeSoon, c.capacity} {
		x.add() // returns w.slot, since slots are added to and removed from all indexes together
	}
	for len(c.slots) <= w.slot {
		c.slots = append(c.slots, nil)
	}
	c.slots[w.slot] = w
	c.workers[id] = w
	return w
}

func (c *cache) upsertWorker(m *pb.Worker, now int64) {
	w := c.worker(m.GetId())
	before, wasReady, oldState := w.liveCapacity(), w.ready(), w.state
	c.totalCapacity = c.totalCapacity.Minus(w.capacity)
	c.moveRack(w, c.rackOf(m.GetRack()))
	if w.epoch != m.GetEpoch() {
		w.keepUntracked(func(untrackedUsage) bool { return false })
	}
	w.epoch, w.state, w.known = m.GetEpoch(), m.GetState(), true
	w.capacity = resources.FromProto(m.GetCapacity())
	c.totalCapacity = c.totalCapacity.Plus(w.capacity)
	c.updateReadyCount(w, wasReady)
	c.trackState(w, oldState, now)
	c.feasibility.capacityChanged(before, w.liveCapacity(), now)
	c.updateIndexes(w)
}

func (c *cache) updateReadyCount(w *worker, wasReady bool) {
	if wasReady {
		c.readyWorkers--
	}
	if w.ready() {
		c.readyWorkers++
	}
}

// trackState updates the draining and quarantined workers after a change of w.state from old.
func (c *cache) trackState(w *worker, old pb.WorkerState, now int64) {
	if w.state == pb.WorkerState_WORKER_STATE_DRAINING {
		if !c.draining[w] {
			w.drainStartedAt = now
		}
		c.draining[w] = true
	} else {
		delete(c.draining, w)
	}
	if old != w.state {
		c.healthStateChanged(w, old, now)
	}
}

// moveRack sets the rack of w and moves the counts of its service tasks.
func (c *cache) moveRack(w *worker, rack rackID) {
	if w.rack == rack {
		return
	}
	for _, t := range w.tasks {
		c.countService(t, w, -1)
	}
	w.rack = rack
	for _, t := range w.tasks {
		c.countService(t, w, 1)
	}
}

// removeWorker marks a worker as not known, without capacity, and deletes it unless tasks are placed on it.
func (c *cache) removeWorker(id string, now int64) {
	w := c.workers[id]
	if w == nil {
		return
	}
	before, wasReady := w.liveCapacity(), w.ready()
	c.totalCapacity = c.totalCapacity.Minus(w.capacity)
	w.known, w.capacity = false, vector{}
	c.updateReadyCount(w, wasReady)
	delete(c.draining, w)
	c.quarantined = slices.DeleteFunc(c.quarantined, func(o *worker) bool { return o == w })
	c.feasibility.capacityChanged(before, unavailable, now)
	c.updateIndexes(w)
	c.dropIfUnused(w)
}

// drainingByID returns the draining workers sorted by id, so that plans do not depend on the order of map iteration.
func (c *cache) drainingByID() []*worker {
	return slices.SortedFunc(maps.Keys(c.draining), func(a, b *worker) int { return strings.Compare(a.id, b.id) })
}

// dropIfUnused deletes w from the cache if it is not known and no task is placed on it.
func (c *cache) dropIfUnused(w *worker) {
	if w.known || len(w.tasks) > 0 {
		return
	}
	if i := slices.Index(c.reserved, w); i >= 0 {
		c.unreserve(i)
	}
	delete(c.workers, w.id)
	c.slots[w.slot] = nil
	for _, x := range [...]*index{c.free, c.reclaimable, c.freeSoon, c.capacity} {
		x.remove(w.slot)
	}
}

// updateIndexes brings the indexes up to date with w. It must follow every change of w that they depend on.
func (c *cache) updateIndexes(w *worker) {
	c.free.set(w.slot, w.free())
	c.reclaimable.set(w.slot, w.reclaimable())
	c.freeSoon.set(w.slot, w.freeSoon())
	c.capacity.set(w.slot, w.liveCapacity())
}

// upsertTask adds a task or applies a change of its state. A change within the same attempt on the same worker keeps
// the allocation; any other change of state or attempt removes the task from its place and attaches it anew.
func (c *cache) upsertTask(m *pb.Task, now int64) {
	t := c.tasks[m.GetId()]
	if t == nil {
		t = c.newTask(m)
		c.tasks[t.id] = t
		t.failures, t.failedOn = m.GetFailures(), m.GetFailedOn()
	}
	c.recordOutcome(t, m, now)
	switch {
	case t.state == m.GetState() && t.attempt == m.GetAttempt():
		t.update(m, now)
	case t.allocation != nil && occupies(m.GetState()) && t.attempt == m.GetAttempt() && t.worker.id == m.GetWorker():
		c.changeState(t, m, now)
	default:
		if t.bucket != nil && occupies(m.GetState()) {
			t.bucket.servedAt = now
		}
		c.markBrokenGang(t, m)
		c.detach(t, now)
		t.update(m, now)
		c.attach(t, m.GetWorker(), now)
	}
}

// markBrokenGang marks the gang of t as broken if t ends before the gang has started.
func (c *cache) markBrokenGang(t *task, m *pb.Task) {
	if t.bucket == nil || t.gang == "" || t.attempt > 0 || occupies(m.GetState()) || m.GetState() == pb.TaskState_TASK_STATE_QUEUED {
		return
	}
	t.bucket.broken = true
	c.feasibility.scheduleCheck(t.bucket)
}

// changeState moves a placed task between starting, running and evicting.
func (c *cache) changeState(t *task, m *pb.Task, now int64) {
	w := t.worker
	w.countOccupied(t, -1)
	w.removeFromGroup(t)
	if t.state == pb.TaskState_TASK_STATE_EVICTING {
		t.contract.countReleasing(t, -1)
	}
	t.update(m, now)
	c.recordState(t, now)
	w.addToGroup(t)
	w.countOccupied(t, 1)
	c.updateIndexes(w)
}

// attach queues a queued task, and counts a placed one against the worker of that id.
func (c *cache) attach(t *task, worker string, now int64) {
	switch {
	case t.state == pb.TaskState_TASK_STATE_QUEUED:
		first := c.queue.add(t)
		if first || t.gang != "" && t.bucket.count >= int(t.gangSize) {
			c.feasibility.scheduleCheck(t.bucket)
		}
	case occupies(t.state):
		w := c.worker(worker)
		w.dropUntracked(t.id, t.attempt)
		c.occupy(t, w)
		c.recordState(t, now)
	}
}

// recordState records when t began to run or its eviction began.
func (c *cache) recordState(t *task, now int64) {
	switch t.state {
	case pb.TaskState_TASK_STATE_RUNNING:
		if t.runningSince == 0 {
			t.runningSince = now
			if t.started > 0 && t.started < now {
				t.runningSince = t.started
			}
			t.checkpointAt = t.runningSince
		}
	case pb.TaskState_TASK_STATE_EVICTING:
		t.evictedAt = now
		t.contract.countReleasing(t, 1)
	}
}

func (c *cache) removeTask(id string, now int64) {
	if t := c.tasks[id]; t != nil {
		c.detach(t, now)
		delete(c.tasks, id)
	}
}

// detach removes t from the queue or from its worker. A run that ended is kept in the worker's history.
func (c *cache) detach(t *task, now int64) {
	if t.bucket != nil {
		c.unqueue(t)
	}
	if t.allocation == nil {
		return
	}
	w := t.worker
	if t.runningSince > 0 {
		share := float32(t.throttle.currentShare())
		w.past.add(pastRun{t.id, t.attempt, t.kind, share, t.runningSince, now})
	}
	if t.state == pb.TaskState_TASK_STATE_EVICTING {
		t.contract.countReleasing(t, -1)
	}
	c.dropSlowOrThrottled(t)
	c.vacate(t)
	c.dropIfUnused(w)
}

// unqueue removes t from the queue. An empty bucket loses its marks and reservations.
func (c *cache) unqueue(t *task) {
	b := t.bucket
	c.queue.remove(t)
	if b.count == 0 {
		c.feasibility.unmark(b)
		c.releaseReservations(b)
	}
}

// occupy counts t against the capacity of w and the quotas of its contract.
func (c *cache) occupy(t *task, w *worker) {
	t.allocation = &allocation{worker: w, position: len(w.tasks), occupied: c.expectedSize(t)}
	w.tasks = append(w.tasks, t)
	w.countOccupied(t, 1)
	w.addToGroup(t)
	c.countService(t, w, 1)
	t.contract.addTask(t)
	t.charge = int64(t.size.Share(c.totalCapacity) / t.contract.weight / chargeUnit)
	c.queue.flow(t).charge += t.charge
	c.updateIndexes(w)
}

// vacate undoes occupy.
func (c *cache) vacate(t *task) {
	w := t.worker
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.position], last.position = last, t.position
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	w.countOccupied(t, -1)
	w.removeFromGroup(t)
	c.countService(t, w, -1)
	t.contract.removeTask(t)
	c.queue.flow(t).charge -= t.charge
	t.allocation = nil
	c.updateIndexes(w)
}

// countService adds by to the counts of service tasks of t's kind, in all and in the rack of w, if t is a service task.
func (c *cache) countService(t *task, w *worker, by int) {
	if t.class != pb.TaskClass_TASK_CLASS_SERVICE {
		return
	}
	c.kindInfo[t.kind].services += by
	key := rackKey{t.kind, w.rack}
	c.servicesByRack[key] += by
	if c.servicesByRack[key] == 0 {
		delete(c.servicesByRack, key)
	}
}

// expectedSize returns the capacity that t is expected to use: the declared size, or more if earlier tasks of its kind
// used more than declared. It returns the declared size if no worker is large enough for more, so that the correction
// alone never keeps a task from running.
func (c *cache) expectedSize(t *task) vector {
	size := c.kindInfo[t.kind].usage.correctedSize(t.size)
	if size != t.size && !c.capacity.mayFit(size) {
		return t.size
	}
	return size
}
