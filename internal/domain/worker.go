package domain

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// worker is a registered worker with everything that occupies it. It is immutable after the edit that made it.
type worker struct {
	edit uint64
	pb   *pb.Worker
	// used counts every attempt that is not known to be gone.
	used resources
	// assigned holds the current attempts of tasks; held the closed attempts that are not reported gone.
	assigned, held []occupant
}

// occupant is an attempt that occupies a worker.
type occupant struct {
	task    string
	attempt uint32
	size    resources
}

func (o occupant) is(task string, attempt uint32) bool { return o.task == task && o.attempt == attempt }

func find(list []occupant, task string, attempt uint32) int {
	return slices.IndexFunc(list, func(o occupant) bool { return o.is(task, attempt) })
}

func (w *worker) assign(o occupant) {
	w.assigned = append(w.assigned, o)
	w.used = w.used.plus(o.size)
}

func (w *worker) unassign(task string, attempt uint32) {
	if at := find(w.assigned, task, attempt); at >= 0 {
		w.used = w.used.minus(w.assigned[at].size)
		w.assigned = slices.Delete(w.assigned, at, at+1)
	}
}

func (w *worker) hold(o occupant) {
	if find(w.held, o.task, o.attempt) >= 0 {
		return
	}
	w.held = append(w.held, o)
	w.used = w.used.plus(o.size)
}

func (w *worker) release(task string, attempt uint32) {
	if at := find(w.held, task, attempt); at >= 0 {
		w.used = w.used.minus(w.held[at].size)
		w.held = slices.Delete(w.held, at, at+1)
	}
}

// edited returns a worker that may be changed until the end of the current edit.
func (s *State) edited(w *worker) *worker {
	if w.edit == s.edit {
		return w
	}
	copied := &worker{edit: s.edit, pb: w.pb, used: w.used, assigned: slices.Clone(w.assigned), held: slices.Clone(w.held)}
	s.workers.set(s.edit, w.pb.GetId(), copied)
	return copied
}

// resources is pb.Resources without the message overhead.
type resources struct{ millicores, memoryBytes, accelerators int64 }

func fromPB(r *pb.Resources) resources {
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

func (r resources) within(o resources) bool {
	return r.millicores <= o.millicores && r.memoryBytes <= o.memoryBytes && r.accelerators <= o.accelerators
}

func (w *worker) free() resources { return fromPB(w.pb.GetCapacity()).minus(w.used) }

// registerWorker starts a new epoch. A new instance frees all former attempts; the same instance keeps those it knows.
func (s *State) registerWorker(c *pb.RegisterWorker) Result {
	asked := c.GetWorker()
	if asked.GetId() == "" || asked.GetInstance() == "" {
		return Result{Err: errs.ErrInvalid.With("a worker registers with an id and an instance")}
	}
	w := s.workers.value(asked.GetId())
	if w != nil && w.pb.GetEpoch() != c.GetKnownEpoch() {
		return Result{Err: ErrStaleEpoch.With("worker %s has epoch %d, not %d", asked.GetId(), w.pb.GetEpoch(), c.GetKnownEpoch()), Worker: w.pb}
	}
	if w == nil {
		w = &worker{edit: s.edit, pb: &pb.Worker{Id: asked.GetId(), Instance: asked.GetInstance()}}
		s.workers.set(s.edit, asked.GetId(), w)
	}
	w = s.edited(w)
	restarted := w.pb.GetInstance() != asked.GetInstance()
	s.closeUnknown(w, restarted, c.GetKnown())
	s.storeWorker(w, s.registered(w, asked, restarted))
	if !restarted {
		s.keepKnown(w, c.GetKnown())
	}
	return Result{Worker: w.pb, Created: true}
}

// registered returns the worker in its new epoch. Only a restart ends a quarantine.
func (s *State) registered(w *worker, asked *pb.Worker, restarted bool) *pb.Worker {
	state := pb.WorkerState_WORKER_STATE_READY
	if !restarted && w.pb.GetState() == pb.WorkerState_WORKER_STATE_SET_ASIDE {
		state = pb.WorkerState_WORKER_STATE_SET_ASIDE
	}
	if _, drained := s.drained.get(asked.GetId()); drained {
		state = pb.WorkerState_WORKER_STATE_DRAINING
	}
	return &pb.Worker{Id: asked.GetId(), Epoch: s.index, FailureDomain: asked.GetFailureDomain(), Rack: asked.GetRack(),
		Capacity: fromPB(asked.GetCapacity()).proto(), State: state, Guards: asked.GetGuards(), Instance: asked.GetInstance(),
		StateUnixMs: s.unixMs}
}

// closeUnknown closes the attempts that the worker does not know, and all of them if its process restarted.
func (s *State) closeUnknown(w *worker, restarted bool, known []*pb.AttemptRef) {
	unknown := func(o occupant) bool {
		return restarted || !slices.ContainsFunc(known, func(k *pb.AttemptRef) bool { return o.is(k.GetTask(), k.GetAttempt()) })
	}
	for _, o := range slices.Clone(w.assigned) {
		if unknown(o) {
			s.closeAttempt(w, s.tasks.value(o.task), "the worker registered again without it")
		}
	}
	for _, o := range slices.Clone(w.held) {
		if unknown(o) {
			w.release(o.task, o.attempt)
		}
	}
}

// keepKnown moves assigned attempts to the new epoch and holds the closed ones.
func (s *State) keepKnown(w *worker, known []*pb.AttemptRef) {
	for _, k := range known {
		if find(w.assigned, k.GetTask(), k.GetAttempt()) < 0 {
			s.holdRef(w, k)
			continue
		}
		t := cloneTask(s.tasks.value(k.GetTask()))
		t.WorkerEpoch = w.pb.GetEpoch()
		s.storeTask(t)
	}
}

func (s *State) holdRef(w *worker, ref *pb.AttemptRef) {
	size := fromPB(ref.GetResources())
	if t := s.tasks.value(ref.GetTask()); t != nil {
		size = fromPB(t.GetSpec().GetResources())
	}
	w.hold(occupant{ref.GetTask(), ref.GetAttempt(), size})
}

func (s *State) storeWorker(w *worker, p *pb.Worker) {
	w.pb = p
	s.change.Workers = append(s.change.Workers, p)
}

// current returns the worker if it exists with this epoch.
func (s *State) current(id string, epoch uint64) (*worker, *errs.Error) {
	w := s.workers.value(id)
	if w == nil {
		return nil, errs.ErrNotFound.With("worker %q is not registered", id)
	}
	if w.pb.GetEpoch() != epoch {
		return nil, ErrStaleEpoch.With("worker %s has epoch %d, not %d", id, w.pb.GetEpoch(), epoch)
	}
	return w, nil
}

func (s *State) workerLost(c *pb.WorkerLost) Result {
	if c.GetTerm() != 0 && c.GetTerm() != s.term {
		return Result{Err: ErrStaleTerm.With("worker %s was silent in term %d, this is term %d", c.GetWorker(), c.GetTerm(), s.term)}
	}
	w, err := s.current(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	w = s.edited(w)
	for _, o := range slices.Clone(w.assigned) {
		s.closeAttempt(w, s.tasks.value(o.task), "the worker was lost")
	}
	w.held, w.used = nil, resources{}
	return Result{Worker: s.changeState(w, pb.WorkerState_WORKER_STATE_LOST, "no heartbeat")}
}

func (s *State) holdAttempts(c *pb.HoldAttempts) Result {
	w, err := s.current(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	w = s.edited(w)
	for _, ref := range c.GetAttempts() {
		if find(w.assigned, ref.GetTask(), ref.GetAttempt()) < 0 {
			s.holdRef(w, ref)
		}
	}
	s.change.Workers = append(s.change.Workers, w.pb)
	return Result{Worker: w.pb}
}

func (s *State) changeState(w *worker, state pb.WorkerState, reason string) *pb.Worker {
	if w.pb.GetState() == state {
		return w.pb
	}
	old := w.pb
	w = s.edited(w)
	s.storeWorker(w, &pb.Worker{Id: old.GetId(), Epoch: old.GetEpoch(), FailureDomain: old.GetFailureDomain(), Rack: old.GetRack(),
		Capacity: old.GetCapacity(), State: state, Guards: old.GetGuards(), Instance: old.GetInstance(),
		StateUnixMs: s.unixMs, Reason: reason})
	return w.pb
}

// setWorkerState quarantines a ready worker or releases it. Draining and lost workers keep their state.
func (s *State) setWorkerState(c *pb.SetWorkerState) Result {
	w, err := s.current(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	if !mayQuarantine(w.pb.GetState()) || !mayQuarantine(c.GetState()) {
		return Result{Err: errs.ErrInvalid.With("worker %s cannot go from %s to %s", c.GetWorker(), w.pb.GetState(), c.GetState())}
	}
	return Result{Worker: s.changeState(w, c.GetState(), c.GetReason())}
}

func mayQuarantine(state pb.WorkerState) bool {
	return state == pb.WorkerState_WORKER_STATE_READY || state == pb.WorkerState_WORKER_STATE_SET_ASIDE
}

func (s *State) setDrain(c *pb.SetDrain) Result {
	if c.GetTarget() == "" {
		return Result{Err: errs.ErrInvalid.With("a drain names its target")}
	}
	if c.GetDraining() {
		s.drained.set(s.edit, c.GetTarget(), struct{}{})
	} else {
		s.drained.remove(s.edit, c.GetTarget())
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
		return s.changeState(w, pb.WorkerState_WORKER_STATE_DRAINING, "drained by an operator")
	case !draining && state == pb.WorkerState_WORKER_STATE_DRAINING:
		return s.changeState(w, pb.WorkerState_WORKER_STATE_READY, "")
	default:
		return w.pb
	}
}
