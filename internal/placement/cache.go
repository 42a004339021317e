package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
)

// cache mirrors the workers, tasks and contracts of the domain in a form that makes decisions cheap.
type cache struct {
	config  Config
	workers map[string]*worker
	slots   []*worker // by index slot; nil for unused slots
	// Indexes by worker.free, worker.reach, worker.soon and worker.liveCapacity.
	free, reach, soon, capacity *index
	tasks                       map[string]*task
	queue                       *queue
	quotas                      *quotas
	kinds                       map[kindKey]kindID
	kindInfo                    []*kindInfo
	racks                       map[rackKey]int // placed service tasks of a kind in a rack
	rackIDs                     map[string]rackID
	total                       vector // capacity of all known workers
	ready                       int    // workers that are ready
	model                       *interference
	feasibility                 feasibility
	reserved                    []*worker
	suffering                   []*task
	throttled                   []*task
	draining                    map[*worker]bool
	aside, suspects             []*worker   // quarantined; with failed starts
	neighbours                  []neighbour // reused by observe
	sweep                       int         // slot at which the next sweep begins
}

// rackID numbers a rack. A key of two numbers is found faster than one with a string.
type rackID int32

func (c *cache) rackOf(name string) rackID {
	id, ok := c.rackIDs[name]
	if !ok {
		id = rackID(len(c.rackIDs))
		c.rackIDs[name] = id
	}
	return id
}

type rackKey struct {
	kind kindID
	rack rackID
}

// maxKinds bounds the memory of what is learned of kinds. Further kinds of a member share one entry.
const maxKinds = 1024

func newCache(config Config) *cache {
	return &cache{
		config: config, workers: map[string]*worker{}, tasks: map[string]*task{}, queue: newQueue(), quotas: newQuotas(),
		free: newIndex(), reach: newIndex(), soon: newIndex(), capacity: newIndex(),
		kinds: map[kindKey]kindID{}, racks: map[rackKey]int{}, rackIDs: map[string]rackID{}, draining: map[*worker]bool{},
		model: newInterference(float64(config.HalfLife.Milliseconds())),
	}
}

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

// worker returns the worker of that id and adds an unknown one if needed.
func (c *cache) worker(id string) *worker {
	if w := c.workers[id]; w != nil {
		return w
	}
	w := &worker{id: id, slot: c.free.add(), rack: c.rackOf("")}
	for _, x := range [...]*index{c.reach, c.soon, c.capacity} {
		x.add() // the indexes hand out the same slots, since they are always used together
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
	c.total = c.total.Minus(w.capacity)
	c.moveRack(w, c.rackOf(m.GetRack()))
	if w.epoch != m.GetEpoch() {
		w.keepStray(func(strayUsage) bool { return false })
	}
	w.epoch, w.state, w.known = m.GetEpoch(), m.GetState(), true
	w.capacity = resources.FromProto(m.GetCapacity())
	c.total = c.total.Plus(w.capacity)
	c.countReady(w, wasReady)
	c.trackState(w, oldState, now)
	c.feasibility.capacityChanged(c, before, w.liveCapacity(), now)
	c.refresh(w)
}

func (c *cache) countReady(w *worker, wasReady bool) {
	if wasReady {
		c.ready--
	}
	if w.ready() {
		c.ready++
	}
}

// trackState keeps the lists of draining and quarantined workers.
func (c *cache) trackState(w *worker, old pb.WorkerState, now int64) {
	if w.state == pb.WorkerState_WORKER_STATE_DRAINING {
		if !c.draining[w] {
			w.drainAt = now
		}
		c.draining[w] = true
	} else {
		delete(c.draining, w)
	}
	if old != w.state {
		c.healthStateChanged(w, old, now)
	}
}

func (c *cache) moveRack(w *worker, rack rackID) {
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

func (c *cache) removeWorker(id string, now int64) {
	w := c.workers[id]
	if w == nil {
		return
	}
	before, wasReady := w.liveCapacity(), w.ready()
	c.total = c.total.Minus(w.capacity)
	w.known, w.capacity = false, vector{}
	c.countReady(w, wasReady)
	delete(c.draining, w)
	c.aside = slices.DeleteFunc(c.aside, func(o *worker) bool { return o == w })
	c.feasibility.capacityChanged(c, before, nothing, now)
	c.refresh(w)
	c.dropIfUnused(w)
}

// drainingInOrder returns the draining workers by id, so that plans do not depend on map iteration.
func (c *cache) drainingInOrder() []*worker {
	return slices.SortedFunc(maps.Keys(c.draining), func(a, b *worker) int { return strings.Compare(a.id, b.id) })
}

// dropIfUnused forgets a worker that was removed once no task names it.
func (c *cache) dropIfUnused(w *worker) {
	if w.known || len(w.tasks) > 0 {
		return
	}
	if i := slices.Index(c.reserved, w); i >= 0 {
		c.unreserve(i)
	}
	delete(c.workers, w.id)
	c.slots[w.slot] = nil
	for _, x := range [...]*index{c.free, c.reach, c.soon, c.capacity} {
		x.remove(w.slot)
	}
}

// refresh brings the indexes up to date with w.
func (c *cache) refresh(w *worker) {
	c.free.set(w.slot, w.free())
	c.reach.set(w.slot, w.reach())
	c.soon.set(w.slot, w.soon())
	c.capacity.set(w.slot, w.liveCapacity())
}

func (c *cache) upsertTask(m *pb.Task, now int64) {
	t := c.tasks[m.GetId()]
	if t == nil {
		t = c.newTask(m)
		c.tasks[t.id] = t
		t.failures, t.failedOn = m.GetFailures(), m.GetFailedOn()
	}
	c.noteOutcome(t, m, now)
	switch {
	case t.state == m.GetState() && t.attempt == m.GetAttempt():
		t.update(m, now)
	case t.stay != nil && occupies(m.GetState()) && t.attempt == m.GetAttempt() && t.worker.id == m.GetWorker():
		c.changeState(t, m, now)
	default:
		if t.bucket != nil && occupies(m.GetState()) {
			t.bucket.servedAt = now
		}
		c.noteBrokenGang(t, m)
		c.detach(t, now)
		t.update(m, now)
		c.attach(t, m.GetWorker(), now)
	}
}

// noteBrokenGang marks a gang that lost a task before it started.
func (c *cache) noteBrokenGang(t *task, m *pb.Task) {
	if t.bucket == nil || t.gang == "" || t.attempt > 0 || occupies(m.GetState()) || m.GetState() == pb.TaskState_TASK_STATE_QUEUED {
		return
	}
	t.bucket.broken = true
	c.feasibility.check(t.bucket)
}

// changeState moves a placed task between starting, running and evicting.
func (c *cache) changeState(t *task, m *pb.Task, now int64) {
	w := t.worker
	w.bear(t, -1)
	w.leave(t)
	if t.state == pb.TaskState_TASK_STATE_EVICTING {
		t.contract.expectRelease(t, -1)
	}
	t.update(m, now)
	c.noteState(t, now)
	w.join(t)
	w.bear(t, 1)
	c.refresh(w)
}

// attach queues t or counts it against the worker of that id, by its state.
func (c *cache) attach(t *task, worker string, now int64) {
	switch {
	case t.state == pb.TaskState_TASK_STATE_QUEUED:
		first := c.queue.add(t)
		if first || t.gang != "" && t.bucket.count >= int(t.gangSize) {
			c.feasibility.check(t.bucket)
		}
	case occupies(t.state):
		w := c.worker(worker)
		w.dropStray(t.id, t.attempt)
		c.occupy(t, w)
		c.noteState(t, now)
	}
}

// noteState records when an attempt began to run or to leave.
func (c *cache) noteState(t *task, now int64) {
	switch t.state {
	case pb.TaskState_TASK_STATE_RUNNING:
		if t.running == 0 {
			t.running = now
			if t.started > 0 && t.started < now {
				t.running = t.started
			}
			t.checkpointAt = t.running
		}
	case pb.TaskState_TASK_STATE_EVICTING:
		t.evictedAt = now
		t.contract.expectRelease(t, 1)
	}
}

func (c *cache) removeTask(id string, now int64) {
	if t := c.tasks[id]; t != nil {
		c.detach(t, now)
		delete(c.tasks, id)
	}
}

// detach takes t out of the queue or off its worker.
func (c *cache) detach(t *task, now int64) {
	if t.bucket != nil {
		c.unqueue(t)
	}
	if t.stay == nil {
		return
	}
	w := t.worker
	if t.running > 0 {
		share := float32(t.throttle.shareNow())
		w.past.add(residence{t.id, t.attempt, t.kind, share, t.running, now})
	}
	if t.state == pb.TaskState_TASK_STATE_EVICTING {
		t.contract.expectRelease(t, -1)
	}
	c.forgetTroubles(t)
	c.vacate(t)
	c.dropIfUnused(w)
}

func (c *cache) unqueue(t *task) {
	b := t.bucket
	c.queue.remove(t)
	if b.count == 0 {
		c.feasibility.forget(b)
		c.releaseReservations(b)
	}
}

// occupy counts t against w and its quotas.
func (c *cache) occupy(t *task, w *worker) {
	t.stay = &stay{worker: w, position: len(w.tasks), occupied: c.demand(t)}
	w.tasks = append(w.tasks, t)
	w.bear(t, 1)
	w.join(t)
	c.countRack(t, w, 1)
	t.contract.take(t)
	t.charge = int64(t.size.Share(c.total) / t.contract.weight / chargeUnit)
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
	w.bear(t, -1)
	w.leave(t)
	c.countRack(t, w, -1)
	t.contract.release(t)
	c.queue.flow(t).charge -= t.charge
	t.stay = nil
	c.refresh(w)
}

func (c *cache) countRack(t *task, w *worker, by int) {
	if t.class != pb.TaskClass_TASK_CLASS_SERVICE {
		return
	}
	c.kindInfo[t.kind].services += by
	key := rackKey{t.kind, w.rack}
	c.racks[key] += by
	if c.racks[key] == 0 {
		delete(c.racks, key)
	}
}

// demand is the capacity that t is expected to take: at least the declared size, more if its kind has used more. The
// correction is dropped where no worker is large enough for it, so that it never keeps a task from running.
func (c *cache) demand(t *task) vector {
	size := c.kindInfo[t.kind].sizes.corrected(t.size)
	if size != t.size && !c.capacity.holds(size) {
		return t.size
	}
	return size
}
