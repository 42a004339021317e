package domain

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"slices"
	"unique"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

// maxFailedOn is the maximum length of a task's list of workers on which it failed. The oldest entries are removed.
const maxFailedOn = 8

// cloneTask returns a shallow copy of a task. The messages in it are shared, because they are never modified.
func cloneTask(t *pb.Task) *pb.Task {
	return &pb.Task{
		Id: t.Id, Spec: t.Spec, State: t.State, Attempt: t.Attempt, Worker: t.Worker, WorkerEpoch: t.WorkerEpoch,
		Checkpoint: t.Checkpoint, Evictions: t.Evictions, Failures: t.Failures, SubmittedUnixMs: t.SubmittedUnixMs,
		StartedUnixMs: t.StartedUnixMs, EndedUnixMs: t.EndedUnixMs, Reason: t.Reason, CancelRequested: t.CancelRequested,
		FailedOn: t.FailedOn, PlacedTerm: t.PlacedTerm, PlacedIndex: t.PlacedIndex, FenceTerm: t.FenceTerm,
		FenceIndex: t.FenceIndex, SpecDigest: t.SpecDigest,
	}
}

// Ended reports whether the state is final: finished, failed or cancelled.
func Ended(state pb.TaskState) bool {
	switch state {
	case pb.TaskState_TASK_STATE_FINISHED, pb.TaskState_TASK_STATE_FAILED, pb.TaskState_TASK_STATE_CANCELLED:
		return true
	default:
		return false
	}
}

// Assigned reports whether a task in this state has an attempt that occupies a worker.
func Assigned(state pb.TaskState) bool {
	switch state {
	case pb.TaskState_TASK_STATE_STARTING, pb.TaskState_TASK_STATE_RUNNING, pb.TaskState_TASK_STATE_EVICTING:
		return true
	default:
		return false
	}
}

func (s *State) storeTask(t *pb.Task) {
	s.tasks.set(s.generation, t.Id, t)
	s.change.Tasks = append(s.change.Tasks, t)
}

// SpecDigest returns the SHA-256 of the deterministic encoding of a spec.
func SpecDigest(spec *pb.TaskSpec) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(spec)
	if err != nil {
		return nil, errs.ErrInvalid.With("the task cannot be encoded: %w", err)
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}

// TaskID returns the id of the task that is submitted to a domain with the given idempotency key.
func TaskID(domainName, key string) string { return domainName + "/" + key }

func (s *State) submitTask(c *pb.SubmitTask) Result {
	spec := c.GetSpec()
	digest, err := SpecDigest(spec)
	if err != nil {
		return Result{Err: errs.From(err)}
	}
	if old := s.tasks.value(c.GetId()); old != nil {
		return resubmitted(old, digest)
	}
	if err := s.checkSubmit(c); err != nil {
		return Result{Err: errs.From(err)}
	}
	internSpec(spec)
	s.addActive(spec, 1)
	t := &pb.Task{Id: c.GetId(), Spec: spec, State: pb.TaskState_TASK_STATE_QUEUED, SubmittedUnixMs: s.unixMs, SpecDigest: digest}
	s.storeTask(t)
	return Result{Task: t, Created: true}
}

// addActive adds n to the counts of tasks that have not ended.
func (s *State) addActive(spec *pb.TaskSpec, n int) {
	s.activeTasks += n
	s.activePerContract[spec.GetContract()] += int64(n)
	if s.activePerContract[spec.GetContract()] == 0 {
		delete(s.activePerContract, spec.GetContract())
	}
}

// resubmitted returns the result of a submission whose idempotency key already has a task.
func resubmitted(old *pb.Task, digest []byte) Result {
	if !bytes.Equal(old.GetSpecDigest(), digest) {
		return Result{Err: ErrKeyReused.With("task %s was submitted with another spec", old.GetId())}
	}
	return Result{Task: old}
}

func (s *State) checkSubmit(c *pb.SubmitTask) error {
	key := c.GetSpec().GetIdempotencyKey()
	if c.GetId() != TaskID(s.name, key) {
		return errs.ErrInvalid.With("task id %q does not belong to key %q in domain %s", c.GetId(), key, s.name)
	}
	parsed, err := idempotency.Parse(key)
	if err != nil {
		return err
	}
	if err := parsed.CheckAge(s.unixMs); err != nil {
		return err
	}
	if c.GetSpec().GetMember() == "" {
		return errs.ErrInvalid.With("a task names its member")
	}
	if r := resourcesFromProto(c.GetSpec().GetResources()); min(r.millicores, r.memoryBytes, r.accelerators) < 0 {
		return errs.ErrInvalid.With("the resources of a task cannot be negative")
	}
	if s.activeTasks >= s.limits.MaxTasks {
		return ErrTooManyTasks.With("domain %s has %d tasks that have not ended", s.name, s.activeTasks)
	}
	contract := c.GetSpec().GetContract()
	if active := s.activePerContract[contract]; c.MaxContractTasks != nil && active >= c.GetMaxContractTasks() {
		return ErrTooManyTasks.With("contract %s has %d of %d tasks in domain %s", contract, active, c.GetMaxContractTasks(), s.name)
	}
	return nil
}

// internSpec interns the strings that many specs have in common, to save memory.
func internSpec(spec *pb.TaskSpec) {
	for _, f := range []*string{&spec.Member, &spec.Contract, &spec.Kind, &spec.FailureDomain, &spec.Gang} {
		*f = unique.Make(*f).Value()
	}
}

func (s *State) cancelTask(c *pb.CancelTask) Result {
	t := s.tasks.value(c.GetId())
	if t == nil {
		return Result{Err: errs.ErrNotFound.With("task %q does not exist", c.GetId())}
	}
	if Ended(t.GetState()) || t.GetCancelRequested() {
		return Result{Task: t}
	}
	next := cloneTask(t)
	next.CancelRequested = true
	next.Reason = c.GetReason()
	if Assigned(t.GetState()) {
		s.requestStop(next)
	} else {
		s.endTask(next, pb.TaskState_TASK_STATE_CANCELLED)
	}
	s.storeTask(next)
	return Result{Task: next}
}

// requestStop moves a task to the evicting state, in which the leader tells the worker to checkpoint and stop the
// attempt.
func (s *State) requestStop(t *pb.Task) {
	t.State = pb.TaskState_TASK_STATE_EVICTING
	t.FenceTerm, t.FenceIndex = s.term, s.index
}

// endTask moves a task to a final state. It discards the payload to bound the memory that ended tasks take.
func (s *State) endTask(t *pb.Task, state pb.TaskState) {
	t.State = state
	t.EndedUnixMs = s.unixMs
	s.addActive(t.GetSpec(), -1)
	s.endedTasks.add(s.unixMs, t.Id)
	if len(t.GetSpec().GetPayload()) > 0 {
		spec := proto.CloneOf(t.Spec)
		spec.Payload = nil
		t.Spec = spec
	}
}

func (s *State) evictTasks(c *pb.EvictTasks) Result {
	batch := make([]Result, 0, len(c.GetEvictions()))
	for _, e := range c.GetEvictions() {
		batch = append(batch, s.evict(e))
	}
	return Result{Batch: batch}
}

func (s *State) evict(e *pb.Eviction) Result {
	t := s.tasks.value(e.GetTask())
	if t == nil {
		return Result{Err: errs.ErrNotFound.With("task %q does not exist", e.GetTask())}
	}
	if t.GetAttempt() != e.GetAttempt() || !Assigned(t.GetState()) {
		return Result{Err: ErrNotRunning.With("attempt %d of task %s is not running", e.GetAttempt(), e.GetTask())}
	}
	if t.GetState() == pb.TaskState_TASK_STATE_EVICTING {
		return Result{Task: t}
	}
	next := cloneTask(t)
	next.Evictions++
	next.Reason = e.GetReason()
	s.requestStop(next)
	s.storeTask(next)
	return Result{Task: next}
}

// markUnschedulable records why a queued task cannot be placed at present.
func (s *State) markUnschedulable(c *pb.MarkUnschedulable) Result {
	t := s.tasks.value(c.GetTask())
	if t == nil {
		return Result{Err: errs.ErrNotFound.With("task %q does not exist", c.GetTask())}
	}
	if Assigned(t.GetState()) || Ended(t.GetState()) {
		return Result{Err: ErrPlacement.With("task %s is not queued", c.GetTask())}
	}
	if t.GetState() == pb.TaskState_TASK_STATE_UNSCHEDULABLE && t.GetReason() == c.GetReason() {
		return Result{Task: t}
	}
	next := cloneTask(t)
	next.State = pb.TaskState_TASK_STATE_UNSCHEDULABLE
	next.Reason = c.GetReason()
	s.storeTask(next)
	return Result{Task: next}
}

var errNotQueued = errors.New("not queued")

// placeTasks applies each placement that is still valid. The placements of a gang are applied all together or not at
// all.
func (s *State) placeTasks(c *pb.PlaceTasks) Result {
	batch := make([]Result, len(c.GetPlacements()))
	gangs := map[string][]int{}
	var order []string
	for i, p := range c.GetPlacements() {
		gang := gangKey(s.tasks.value(p.GetTask()))
		if gang == "" {
			batch[i] = s.place(p)
			continue
		}
		if gangs[gang] == nil {
			order = append(order, gang)
		}
		gangs[gang] = append(gangs[gang], i)
	}
	for _, gang := range order {
		s.placeGang(c.GetPlacements(), gangs[gang], batch)
	}
	return Result{Batch: batch}
}

// gangKey returns the key of a task's gang, or "" if the task belongs to none. Gang names are scoped to the member.
func gangKey(t *pb.Task) string {
	if t.GetSpec().GetGang() == "" {
		return ""
	}
	return t.GetSpec().GetMember() + "/" + t.GetSpec().GetGang()
}

// placeGang places the tasks of a gang one by one, and undoes their placements if one is refused. The indexes are those
// of the gang's placements.
func (s *State) placeGang(placements []*pb.Placement, indexes []int, batch []Result) {
	var originals []*pb.Task // the tasks placed so far, as they were before
	for _, i := range indexes {
		original := s.tasks.value(placements[i].GetTask())
		batch[i] = s.place(placements[i])
		if batch[i].Err != nil {
			s.undoPlacements(originals)
			refuseGang(indexes, batch, batch[i].Err)
			return
		}
		originals = append(originals, original)
	}
}

func refuseGang(indexes []int, batch []Result, cause *errs.Error) {
	for _, i := range indexes {
		batch[i] = Result{Err: ErrPlacement.With("another task of the gang cannot be placed: %w", cause)}
	}
}

// undoPlacements restores tasks to their state before placement and frees their allocations.
func (s *State) undoPlacements(originals []*pb.Task) {
	for _, t := range originals {
		placed := s.tasks.value(t.GetId())
		s.mutableWorker(s.workers.value(placed.GetWorker())).unassign(placed.GetId(), placed.GetAttempt())
		s.storeTask(t)
	}
}

// place applies one placement. It checks the placement against the current state, because the planner may have worked
// from an older state.
func (s *State) place(p *pb.Placement) Result {
	t := s.tasks.value(p.GetTask())
	if t == nil {
		return Result{Err: errs.ErrNotFound.With("task %q does not exist", p.GetTask())}
	}
	if err := checkPlaceable(t, p); err != nil {
		return Result{Err: ErrPlacement.With("task %s: %w", p.GetTask(), err)}
	}
	w, refused := s.checkWorker(p, resourcesFromProto(t.GetSpec().GetResources()))
	if refused != nil {
		return Result{Err: refused}
	}
	next := cloneTask(t)
	next.State = pb.TaskState_TASK_STATE_STARTING
	next.Attempt = p.GetAttempt()
	next.Worker, next.WorkerEpoch = w.pb.GetId(), w.pb.GetEpoch()
	next.PlacedTerm, next.PlacedIndex = s.term, s.index
	next.FenceTerm, next.FenceIndex = s.term, s.index
	next.Reason = ""
	s.mutableWorker(w).assign(allocation{t.Id, next.Attempt, resourcesFromProto(t.GetSpec().GetResources())})
	s.storeTask(next)
	return Result{Task: next, Worker: w.pb}
}

func checkPlaceable(t *pb.Task, p *pb.Placement) error {
	state := t.GetState()
	if state != pb.TaskState_TASK_STATE_QUEUED && state != pb.TaskState_TASK_STATE_UNSCHEDULABLE {
		return errNotQueued
	}
	if p.GetAttempt() != t.GetAttempt()+1 {
		return errors.New("the attempt is not the next one")
	}
	return nil
}

func (s *State) checkWorker(p *pb.Placement, size resources) (*worker, *errs.Error) {
	w, err := s.workerInEpoch(p.GetWorker(), p.GetWorkerEpoch())
	if err != nil {
		return nil, err
	}
	if w.pb.GetState() != pb.WorkerState_WORKER_STATE_READY {
		return nil, ErrPlacement.With("worker %s is %s", p.GetWorker(), w.pb.GetState())
	}
	if !size.fitsIn(w.free()) {
		return nil, ErrPlacement.With("worker %s has no room for task %s", p.GetWorker(), p.GetTask())
	}
	return w, nil
}

// closeAttempt closes the current attempt of a task, which is known to have stopped, and queues the task again.
// The worker belongs to the current generation.
func (s *State) closeAttempt(w *worker, t *pb.Task, reason string) {
	next := cloneTask(t)
	s.freeAttempt(w, next)
	next.Reason = reason
	s.requeue(next)
	s.storeTask(next)
}

// freeAttempt frees the capacity of a task's current attempt and detaches the task from the worker.
func (s *State) freeAttempt(w *worker, t *pb.Task) {
	w.unassign(t.Id, t.Attempt)
	t.Worker, t.WorkerEpoch = "", 0
	t.FenceTerm, t.FenceIndex = s.term, s.index
}

// requeue queues a task again, or ends it if it is to be cancelled.
func (s *State) requeue(t *pb.Task) {
	if t.GetCancelRequested() {
		s.endTask(t, pb.TaskState_TASK_STATE_CANCELLED)
		return
	}
	t.State = pb.TaskState_TASK_STATE_QUEUED
}

// appendFailedOn adds a worker to the list of workers on which the task failed.
func appendFailedOn(t *pb.Task, workerID string) {
	if slices.Contains(t.FailedOn, workerID) {
		return
	}
	kept := t.FailedOn
	if len(kept) >= maxFailedOn {
		kept = kept[1:]
	}
	t.FailedOn = append(slices.Clone(kept), workerID)
}
