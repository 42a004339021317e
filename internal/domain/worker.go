package domain

import (
	"maps"
	"slices"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// worker is a registered worker with everything that occupies it.
type worker struct {
	pb *pb.Worker // immutable
	// used counts every attempt that is not known to be gone.
	used resources
	// tasks whose current attempt is assigned to the worker, with the attempt
	tasks map[string]uint32
	// closed attempts that the worker has not reported gone
	held map[attemptKey]resources
}

type attemptKey struct {
	task    string
	attempt uint32
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

func (w *worker) release(key attemptKey) {
	if r, ok := w.held[key]; ok {
		w.used = w.used.minus(r)
		delete(w.held, key)
	}
}

func (w *worker) hold(key attemptKey, r resources) {
	if _, ok := w.held[key]; ok {
		return
	}
	if w.held == nil {
		w.held = map[attemptKey]resources{}
	}
	w.held[key] = r
	w.used = w.used.plus(r)
}

// registerWorker starts a new epoch. A new instance frees all former attempts; the same instance keeps those it knows.
func (s *State) registerWorker(c *pb.RegisterWorker) Result {
	asked := c.GetWorker()
	if asked.GetId() == "" || asked.GetInstance() == "" {
		return Result{Err: errs.ErrInvalid.With("a worker registers with an id and an instance")}
	}
	w := s.workers[asked.GetId()]
	if w != nil && w.pb.GetEpoch() != c.GetKnownEpoch() {
		return Result{Err: ErrStaleEpoch.With("worker %s has epoch %d, not %d", asked.GetId(), w.pb.GetEpoch(), c.GetKnownEpoch()), Worker: w.pb}
	}
	if w == nil {
		w = &worker{tasks: map[string]uint32{}}
		s.workers[asked.GetId()] = w
	}
	restarted := w.pb.GetInstance() != asked.GetInstance()
	s.closeUnknown(w, restarted, c.GetKnown())
	s.storeWorker(w, s.registered(asked))
	if !restarted {
		s.keepKnown(w, c.GetKnown())
	}
	return Result{Worker: w.pb, Created: true}
}

func (s *State) registered(asked *pb.Worker) *pb.Worker {
	state := pb.WorkerState_WORKER_STATE_READY
	if _, drained := s.drained[asked.GetId()]; drained {
		state = pb.WorkerState_WORKER_STATE_DRAINING
	}
	return &pb.Worker{Id: asked.GetId(), Epoch: s.index, FailureDomain: asked.GetFailureDomain(), Rack: asked.GetRack(),
		Capacity: fromPB(asked.GetCapacity()).proto(), State: state, Guards: asked.GetGuards(), Instance: asked.GetInstance(),
		StateUnixMs: s.unixMs}
}

// closeUnknown requeues the attempts that the worker does not know, and all of them if its process restarted.
func (s *State) closeUnknown(w *worker, restarted bool, known []*pb.AttemptRef) {
	keep := map[attemptKey]bool{}
	if !restarted {
		for _, k := range known {
			keep[attemptKey{k.GetTask(), k.GetAttempt()}] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if !keep[attemptKey{id, w.tasks[id]}] {
			s.closeAttempt(w, s.tasks[id], "the worker registered again without it")
		}
	}
	for key := range w.held {
		if !keep[key] {
			w.release(key)
		}
	}
}

// keepKnown moves assigned attempts to the new epoch and holds the closed ones.
func (s *State) keepKnown(w *worker, known []*pb.AttemptRef) {
	for _, k := range known {
		if w.tasks[k.GetTask()] == k.GetAttempt() {
			t := cloneTask(s.tasks[k.GetTask()])
			t.WorkerEpoch = w.pb.GetEpoch()
			s.storeTask(t)
			continue
		}
		s.holdRef(w, k)
	}
}

func (s *State) holdRef(w *worker, ref *pb.AttemptRef) {
	size := fromPB(ref.GetResources())
	if t := s.tasks[ref.GetTask()]; t != nil {
		size = fromPB(t.GetSpec().GetResources())
	}
	w.hold(attemptKey{ref.GetTask(), ref.GetAttempt()}, size)
}

func (s *State) storeWorker(w *worker, p *pb.Worker) {
	w.pb = p
	s.change.Workers = append(s.change.Workers, p)
}

// current returns the worker if it exists with this epoch.
func (s *State) current(id string, epoch uint64) (*worker, *errs.Error) {
	w := s.workers[id]
	if w == nil {
		return nil, errs.ErrNotFound.With("worker %q is not registered", id)
	}
	if w.pb.GetEpoch() != epoch {
		return nil, ErrStaleEpoch.With("worker %s has epoch %d, not %d", id, w.pb.GetEpoch(), epoch)
	}
	return w, nil
}

func (s *State) workerLost(c *pb.WorkerLost) Result {
	w, err := s.current(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		s.closeAttempt(w, s.tasks[id], "the worker was lost")
	}
	for key := range w.held {
		w.release(key)
	}
	s.changeState(w, pb.WorkerState_WORKER_STATE_LOST, "no heartbeat")
	return Result{Worker: w.pb}
}

func (s *State) holdAttempts(c *pb.HoldAttempts) Result {
	w, err := s.current(c.GetWorker(), c.GetEpoch())
	if err != nil {
		return Result{Err: err}
	}
	for _, ref := range c.GetAttempts() {
		if w.tasks[ref.GetTask()] != ref.GetAttempt() {
			s.holdRef(w, ref)
		}
	}
	s.change.Workers = append(s.change.Workers, w.pb)
	return Result{Worker: w.pb}
}

func (s *State) changeState(w *worker, state pb.WorkerState, reason string) {
	if w.pb.GetState() == state {
		return
	}
	old := w.pb
	s.storeWorker(w, &pb.Worker{Id: old.GetId(), Epoch: old.GetEpoch(), FailureDomain: old.GetFailureDomain(), Rack: old.GetRack(),
		Capacity: old.GetCapacity(), State: state, Guards: old.GetGuards(), Instance: old.GetInstance(),
		StateUnixMs: s.unixMs, Reason: reason})
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
	s.changeState(w, c.GetState(), c.GetReason())
	return Result{Worker: w.pb}
}

func mayQuarantine(state pb.WorkerState) bool {
	return state == pb.WorkerState_WORKER_STATE_READY || state == pb.WorkerState_WORKER_STATE_SET_ASIDE
}

func (s *State) setDrain(c *pb.SetDrain) Result {
	if c.GetTarget() == "" {
		return Result{Err: errs.ErrInvalid.With("a drain names its target")}
	}
	if c.GetDraining() {
		s.drained[c.GetTarget()] = struct{}{}
	} else {
		delete(s.drained, c.GetTarget())
	}
	w := s.workers[c.GetTarget()]
	if w == nil {
		return Result{}
	}
	s.drainWorker(w, c.GetDraining())
	return Result{Worker: w.pb}
}

func (s *State) drainWorker(w *worker, draining bool) {
	state := w.pb.GetState()
	switch {
	case draining && state != pb.WorkerState_WORKER_STATE_LOST:
		s.changeState(w, pb.WorkerState_WORKER_STATE_DRAINING, "drained by an operator")
	case !draining && state == pb.WorkerState_WORKER_STATE_DRAINING:
		s.changeState(w, pb.WorkerState_WORKER_STATE_READY, "")
	}
}
