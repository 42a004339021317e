package domain

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// worker is a registered worker with the allocations on it. It is immutable once its generation has been published.
type worker struct {
	generation uint64
	pb         *pb.Worker
	// used is the sum of the resources of all assigned and held attempts.
	used resources
	// assigned lists the current attempts of tasks. held lists closed attempts that the worker may still run, because
	// it has not reported their end.
	assigned, held []allocation
}

// allocation is an attempt with the resources that it takes on a worker.
type allocation struct {
	task    string
	attempt uint32
	size    resources
}

func (a allocation) is(task string, attempt uint32) bool {
	return a.task == task && a.attempt == attempt
}

// indexOfAllocation returns the index of an attempt in a list, or -1 if it is not in the list.
func indexOfAllocation(list []allocation, task string, attempt uint32) int {
	return slices.IndexFunc(list, func(a allocation) bool { return a.is(task, attempt) })
}

func (w *worker) assign(a allocation) {
	w.assigned = append(w.assigned, a)
	w.used = w.used.plus(a.size)
}

func (w *worker) unassign(task string, attempt uint32) {
	if at := indexOfAllocation(w.assigned, task, attempt); at >= 0 {
		w.used = w.used.minus(w.assigned[at].size)
		w.assigned = slices.Delete(w.assigned, at, at+1)
	}
}

func (w *worker) hold(a allocation) {
	if indexOfAllocation(w.held, a.task, a.attempt) >= 0 {
		return
	}
	w.held = append(w.held, a)
	w.used = w.used.plus(a.size)
}

func (w *worker) release(task string, attempt uint32) {
	if at := indexOfAllocation(w.held, task, attempt); at >= 0 {
		w.used = w.used.minus(w.held[at].size)
		w.held = slices.Delete(w.held, at, at+1)
	}
}

// mutableWorker returns the worker, or a stored copy of it, that may be modified within the current generation.
func (s *State) mutableWorker(w *worker) *worker {
	if w.generation == s.generation {
		return w
	}
	copied := &worker{generation: s.generation, pb: w.pb, used: w.used, assigned: slices.Clone(w.assigned), held: slices.Clone(w.held)}
	s.workers.set(s.generation, w.pb.GetId(), copied)
	return copied
}

// resources holds the values of a pb.Resources without the memory overhead of a message.
type resources struct{ millicores, memoryBytes, accelerators int64 }

func resourcesFromProto(r *pb.Resources) resources {
	return resources{r.GetMillicores(), r.GetMemoryBytes(), r.GetAccelerators()}
}

func (r resources) proto() *pb.Resources {
	return &pb.Resources{Millicores: r.millicores, MemoryBytes: r.memoryBytes, Accelerators: r.accelerators}
}

func (r resources) plus(o resources) resources {
	return resources{r.millicores + o.millicores, r.memoryBytes + o.memoryBytes, r.accelerators + o.accelerators}
}

func (r resources) minus(o resources) resources {
	return resources{r.millicores - o.millicores, r.memoryBytes - o.memoryBytes, r.accelerators - o.accelerators}
}

func (r resources) fitsIn(o resources) bool {
	return r.millicores <= o.millicores && r.memoryBytes <= o.memoryBytes && r.accelerators <= o.accelerators
}

func (w *worker) free() resources { return resourcesFromProto(w.pb.GetCapacity()).minus(w.used) }

// registerWorker registers a worker in a new epoch. A new instance (a restarted process) loses all attempts of the
// former one; the same instance keeps the attempts that it lists as known.
func (s *State) registerWorker(c *pb.RegisterWorker) Result {
	requested := c.GetWorker()
	if requested.GetId() == "" || requested.GetInstance() == "" {
		return Result{Err: errs.ErrInvalid.With("a worker registers with an id and an instance")}
	}
	w := s.workers.value(requested.GetId())
	if w != nil && w.pb.GetEpoch() != c.GetKnownEpoch() {
		return Result{Err: ErrStaleEpoch.With("worker %s has epoch %d, not %d", requested.GetId(), w.pb.GetEpoch(), c.GetKnownEpoch()), Worker: w.pb}
	}
	if w == nil {
		w = &worker{generation: s.generation, pb: &pb.Worker{Id: requested.GetId(), Instance: requested.GetInstance()}}
		s.workers.set(s.generation, requested.GetId(), w)
	}
	w = s.mutableWorker(w)
	restarted := w.pb.GetInstance() != requested.GetInstance()
	s.closeUnknownAttempts(w, restarted, c.GetKnown())
	s.storeWorker(w, s.newRegistration(w, requested, restarted))
	if !restarted {
		s.keepKnownAttempts(w, c.GetKnown())
	}
	return Result{Worker: w.pb, Created: true}
}

// newRegistration returns the worker's message for its new epoch. A quarantine is kept unless the worker has restarted.
func (s *State) newRegistration(w *worker, requested *pb.Worker, restarted bool) *pb.Worker {
	state := pb.WorkerState_WORKER_STATE_READY
	if !restarted && w.pb.GetState() == pb.WorkerState_WORKER_STATE_SET_ASIDE {
		state = pb.WorkerState_WORKER_STATE_SET_ASIDE
	}
	if _, drained := s.drained.get(requested.GetId()); drained {
		state = pb.WorkerState_WORKER_STATE_DRAINING
	}
	return &pb.Worker{Id: requested.GetId(), Epoch: s.index, FailureDomain: requested.GetFailureDomain(), Rack: requested.GetRack(),
		Capacity: resourcesFromProto(requested.GetCapacity()).proto(), State: state, Guards: requested.GetGuards(), Instance: requested.GetInstance(),
		StateUnixMs: s.unixMs}
}

// closeUnknownAttempts closes the attempts that the worker does not list as known, or all attempts if it has restarted.
func (s *State) closeUnknownAttempts(w *worker, restarted bool, known []*pb.AttemptRef) {
	unknown := func(a allocation) bool {
		return restarted || !slices.ContainsFunc(known, func(k *pb.AttemptRef) bool { return a.is(k.GetTask(), k.GetAttempt()) })
	}
	for _, a := range slices.Clone(w.assigned) {
		if unknown(a) {
			s.closeAttempt(w, s.tasks.value(a.task), "the worker registered again without it")
		}
	}
	for _, a := range slices.Clone(w.held) {
		if unknown(a) {
			w.release(a.task, a.attempt)
		}
	}
}

// keepKnownAttempts moves the assigned attempts among those that the worker knows to its new epoch, and holds capacity
// for the others.
func (s *State) keepKnownAttempts(w *worker, known []*pb.AttemptRef) {
	for _, k := range known {
		if indexOfAllocation(w.assigned, k.GetTask(), k.GetAttempt()) < 0 {
			s.holdAttempt(w, k)
			continue
		}
		t := cloneTask(s.tasks.value(k.GetTask()))
		t.WorkerEpoch = w.pb.GetEpoch()
		s.storeTask(t)
	}
}

// holdAttempt holds capacity for a closed attempt that the worker may still run. The size is taken from the task's
// spec, or from the worker's report if the task does not exist.
func (s *State) holdAttempt(w *worker, ref *pb.AttemptRef) {
	size := resourcesFromProto(ref.GetResources())
	if t := s.tasks.value(ref.GetTask()); t != nil {
		size = resourcesFromProto(t.GetSpec().GetResources())
	}
	w.hold(allocation{ref.GetTask(), ref.GetAttempt(), size})
}

func (s *State) storeWorker(w *worker, p *pb.Worker) {
	w.pb = p
	s.change.Workers = append(s.change.Workers, p)
}

// workerInEpoch returns the worker, or an error if it does not exist or its current epoch differs.
func (s *State) workerInEpoch(id string, epoch uint64) (*worker, *errs.Error) {
	w := s.workers.value(id)
	if w == nil {
		return nil, errs.ErrNotFound.With("worker %q is not registered", id)
	}
	if w.pb.GetEpoch() != epoch {
		return nil, ErrStaleEpoch.With("worker %s has epoch %d, not %d", id, w.pb.GetEpoch(), epoch)
	}
	return w, nil
}

// workerLost marks a worker as lost, and closes all its attempts.
func (s *State) workerLost(c *pb.WorkerLost) Result {
	if c.GetTerm() != 0 && c.GetTerm() != s.term {
		return Result{Err: ErrStaleTerm.With("worker %s was silent in term %d, this is term %d", c.GetWorker(), c.GetTerm(), s.term)}
	}
	w, err := s.workerInEpoch(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	w = s.mutableWorker(w)
	for _, a := range slices.Clone(w.assigned) {
		s.closeAttempt(w, s.tasks.value(a.task), "the worker was lost")
	}
	w.held, w.used = nil, resources{}
	return Result{Worker: s.changeWorkerState(w, pb.WorkerState_WORKER_STATE_LOST, "no heartbeat")}
}

// holdAttempts holds capacity for attempts that a worker runs although they have been closed.
func (s *State) holdAttempts(c *pb.HoldAttempts) Result {
	w, err := s.workerInEpoch(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	w = s.mutableWorker(w)
	for _, ref := range c.GetAttempts() {
		if indexOfAllocation(w.assigned, ref.GetTask(), ref.GetAttempt()) < 0 {
			s.holdAttempt(w, ref)
		}
	}
	s.change.Workers = append(s.change.Workers, w.pb)
	return Result{Worker: w.pb}
}

func (s *State) changeWorkerState(w *worker, state pb.WorkerState, reason string) *pb.Worker {
	if w.pb.GetState() == state {
		return w.pb
	}
	old := w.pb
	w = s.mutableWorker(w)
	s.storeWorker(w, &pb.Worker{Id: old.GetId(), Epoch: old.GetEpoch(), FailureDomain: old.GetFailureDomain(), Rack: old.GetRack(),
		Capacity: old.GetCapacity(), State: state, Guards: old.GetGuards(), Instance: old.GetInstance(),
		StateUnixMs: s.unixMs, Reason: reason})
	return w.pb
}

// setWorkerState quarantines a ready worker or ends its quarantine. It is refused for draining and lost workers.
func (s *State) setWorkerState(c *pb.SetWorkerState) Result {
	w, err := s.workerInEpoch(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	if !isReadyOrQuarantined(w.pb.GetState()) || !isReadyOrQuarantined(c.GetState()) {
		return Result{Err: errs.ErrInvalid.With("worker %s cannot go from %s to %s", c.GetWorker(), w.pb.GetState(), c.GetState())}
	}
	return Result{Worker: s.changeWorkerState(w, c.GetState(), c.GetReason())}
}

// isReadyOrQuarantined reports whether the state is ready or quarantined, the states that setWorkerState may switch
// between.
func isReadyOrQuarantined(state pb.WorkerState) bool {
	return state == pb.WorkerState_WORKER_STATE_READY || state == pb.WorkerState_WORKER_STATE_SET_ASIDE
}

// setDrain starts or ends the drain of a target. The target may be an executor or a worker that is not registered.
func (s *State) setDrain(c *pb.SetDrain) Result {
	if c.GetTarget() == "" {
		return Result{Err: errs.ErrInvalid.With("a drain names its target")}
	}
	if c.GetDraining() {
		s.drained.set(s.generation, c.GetTarget(), struct{}{})
	} else {
		s.drained.remove(s.generation, c.GetTarget())
	}
	w := s.workers.value(c.GetTarget())
	if w == nil {
		return Result{}
	}
	return Result{Worker: s.drainWorker(w, c.GetDraining())}
}

func (s *State) drainWorker(w *worker, draining bool) *pb.Worker {
	state := w.pb.GetState()
	switch {
	case draining && state != pb.WorkerState_WORKER_STATE_LOST:
		return s.changeWorkerState(w, pb.WorkerState_WORKER_STATE_DRAINING, "drained by an operator")
	case !draining && state == pb.WorkerState_WORKER_STATE_DRAINING:
		return s.changeWorkerState(w, pb.WorkerState_WORKER_STATE_READY, "")
	default:
		return w.pb
	}
}
