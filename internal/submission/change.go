package submission

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// accept stores a submission. One that is known already stays as it is.
func (s *State) accept(c *pb.AcceptSubmission) Result {
	id := c.GetSpec().GetId()
	if s.submissions[id] != nil {
		return Result{Found: true}
	}
	sub := &Submission{
		Spec: c.GetSpec(), Queue: c.GetQueue(), AcceptedQueue: s.queues[c.GetQueue()], AcceptedUnixMs: s.unixMs,
		State: pb.SubmissionState_SUBMISSION_STATE_ACTIVE, Occurrences: map[uint32]*Occurrence{},
	}
	s.submissions[id], s.active[id] = sub, sub
	return Result{Applied: true, Found: true}
}

func (s *State) cancel(id string) Result {
	sub := s.submissions[id]
	if sub == nil {
		return Result{}
	}
	if sub.Active() {
		s.finish(sub, pb.SubmissionState_SUBMISSION_STATE_CANCELLED)
		return Result{Applied: true, Found: true}
	}
	return Result{Found: true}
}

// finish ends a submission. Attempts that may still run stay counted on their workers until their end is noted.
func (s *State) finish(sub *Submission, state pb.SubmissionState) {
	sub.State, sub.EndedUnixMs = state, s.unixMs
	delete(s.active, sub.Spec.GetId())
	s.endedNow = append(s.endedNow, sub.Spec.GetId())
}

// start places an attempt. It is refused if the state has moved on since it was planned.
func (s *State) start(c *pb.TaskStart) bool {
	ref := RefOf(c.GetTask())
	sub := s.submissions[ref.Submission]
	w := s.workers[c.GetWorker()]
	if sub == nil || !sub.Active() || !sub.holds(ref) || w == nil || !w.Usable() || w.GetBornUnixMs() != c.GetWorkerBornUnixMs() {
		return false
	}
	o := sub.Occurrences[ref.Occurrence]
	if o == nil {
		o = newOccurrence(sub.Spec)
		sub.Occurrences[ref.Occurrence] = o
	}
	if o.Done || !o.Ready(sub.Spec, int(ref.Step)) {
		return false
	}
	step := &o.Steps[ref.Step]
	t := &step.Tasks[ref.Index]
	if t.Done || t.Placed() || c.GetAttempt() <= t.Attempt {
		return false
	}
	t.Attempt, t.On = c.GetAttempt(), w.Incarnation()
	step.Placed++
	sub.Started = true
	w.Attempts[ref] = t.Attempt
	return true
}

// end records the end of an attempt.
func (s *State) end(c *pb.TaskEnd) bool {
	ref := RefOf(c.GetTask())
	on := Incarnation{ID: c.GetWorker(), BornUnixMs: c.GetWorkerBornUnixMs()}
	if w := s.workers[on.ID]; w != nil && w.Incarnation() == on && w.Attempts[ref] == c.GetAttempt() {
		delete(w.Attempts, ref)
	}
	sub := s.submissions[ref.Submission]
	t := s.Task(ref)
	if t == nil || t.Done || c.GetAttempt() > t.Attempt {
		return false
	}
	step := &sub.Occurrences[ref.Occurrence].Steps[ref.Step]
	spec := sub.Spec.GetSteps()[ref.Step]
	if c.GetAttempt() == t.Attempt && t.On == on {
		t.On = Incarnation{}
		step.Placed--
		if c.GetCheckpoint() != "" {
			t.Checkpoint = c.GetCheckpoint()
		}
	}
	if !sub.Active() {
		return true
	}
	switch c.GetKind() {
	case pb.TaskEndKind_TASK_END_KIND_DONE:
		s.taskDone(sub, ref, step, spec)
	case pb.TaskEndKind_TASK_END_KIND_FAILED:
		s.taskFailed(sub, step, t, spec, c.GetAttempt())
	}
	return true
}

// taskDone notes that a task has finished, and with it its whole gang.
func (s *State) taskDone(sub *Submission, ref Ref, step *Step, spec *pb.Step) {
	if spec.GetEndless() {
		return // restarted however it ends
	}
	if !spec.GetGang() {
		s.markDone(step, &step.Tasks[ref.Index])
	} else {
		for i := range step.Tasks {
			s.markDone(step, &step.Tasks[i])
		}
	}
	s.finishOccurrence(sub, ref.Occurrence)
}

// markDone keeps an attempt that still runs counted on its worker until that worker lists its end.
func (s *State) markDone(step *Step, t *Task) {
	if t.Done {
		return
	}
	if t.Placed() {
		step.Placed--
		t.On = Incarnation{}
	}
	t.Done, t.Checkpoint = true, ""
	step.Done++
}

func (s *State) finishOccurrence(sub *Submission, number uint32) {
	o := sub.Occurrences[number]
	if slices.ContainsFunc(o.Steps, func(step Step) bool { return !step.Finished() }) {
		return
	}
	o.Done, o.Steps = true, nil
	sub.OccurrencesDone++
	if sub.OccurrencesDone == sub.Runs() {
		s.finish(sub, pb.SubmissionState_SUBMISSION_STATE_DONE)
	}
}

// taskFailed counts a failure once for each attempt, of a gang once for all its members, and ends the submission when
// the queue allows no more.
func (s *State) taskFailed(sub *Submission, step *Step, t *Task, spec *pb.Step, attempt uint32) {
	if spec.GetEndless() {
		return
	}
	if spec.GetGang() {
		t = &step.Tasks[0]
	}
	if slices.Contains(t.failed, attempt) {
		return
	}
	t.failed = append(t.failed, attempt)
	if limit := s.QueueOf(sub).GetAttempts(); limit > 0 && t.Failures() >= int(limit) {
		s.finish(sub, pb.SubmissionState_SUBMISSION_STATE_FAILED)
	}
}

// register adds a life of a worker or updates it. A new life ends the one before, and any that had its address.
func (s *State) register(p *pb.PoolWorker) bool {
	known := s.workers[p.GetId()]
	if known != nil && (known.GetBornUnixMs() > p.GetBornUnixMs() || known.GetBornUnixMs() == p.GetBornUnixMs() && known.GetGone()) {
		return false // a late report of a life that is over
	}
	for _, other := range s.workers {
		if other.GetAddress() == p.GetAddress() && other.GetId() != p.GetId() && !other.GetGone() {
			if other.GetBornUnixMs() > p.GetBornUnixMs() {
				return false
			}
			s.workerGone(other.Incarnation())
		}
	}
	if known != nil && known.GetBornUnixMs() == p.GetBornUnixMs() {
		draining := known.GetDraining() || p.GetDraining()
		known.PoolWorker = p
		known.PoolWorker.Draining = draining
		return true
	}
	if known != nil {
		s.workerGone(known.Incarnation())
	}
	s.workers[p.GetId()] = &Worker{PoolWorker: p, Attempts: map[Ref]uint32{}}
	return true
}

// workerGone ends a life of a worker: nothing runs there any more.
func (s *State) workerGone(life Incarnation) bool {
	w := s.workers[life.ID]
	if w == nil || w.Incarnation() != life || w.GetGone() {
		return false
	}
	refs := make([]Ref, 0, len(w.Attempts))
	for ref := range w.Attempts {
		refs = append(refs, ref)
	}
	for _, ref := range refs {
		s.end(&pb.TaskEnd{Task: ref.Proto(), Attempt: w.Attempts[ref], Worker: life.ID, WorkerBornUnixMs: life.BornUnixMs,
			Kind: pb.TaskEndKind_TASK_END_KIND_LOST})
	}
	w.Gone, w.goneAt = true, s.unixMs
	return true
}

// configure takes a configuration into force if its version is the highest.
func (s *State) configure(c *pb.ServiceConfig) Result {
	if s.config != nil && c.GetVersion() <= s.config.GetVersion() {
		return Result{Version: s.config.GetVersion()}
	}
	s.setConfig(c)
	return Result{Applied: true, Version: c.GetVersion()}
}

func (s *State) setConfig(c *pb.ServiceConfig) {
	s.config = c
	s.queues, s.pools = map[string]*pb.Queue{}, map[string]*pb.Pool{}
	for _, q := range c.GetQueues() {
		s.queues[QueueKey(q)] = q
	}
	for _, p := range c.GetPools() {
		s.pools[p.GetName()] = p
	}
}

func (s *State) addWave(wave *pb.Wave) bool {
	if s.waves[wave.GetNumber()] != nil {
		return false
	}
	s.waves[wave.GetNumber()] = wave
	return true
}

func (s *State) progressWave(c *pb.WaveProgress) bool {
	wave := s.waves[c.GetNumber()]
	if wave == nil || slices.Contains(wave.GetBegun(), c.GetVm()) {
		return false
	}
	wave.Begun = append(wave.Begun, c.GetVm())
	wave.Done = !slices.ContainsFunc(wave.GetVms(), func(vm string) bool { return !slices.Contains(wave.GetBegun(), vm) })
	return true
}

// expireEvery is the number of entries between two searches for records to drop.
const expireEvery = 256

// goneRetentionMs keeps the record of a life that is over until no late report of it can arrive any more.
const goneRetentionMs = 10 * 60 * 1000

// expire drops submissions and lives of workers that ended long ago.
func (s *State) expire() {
	if s.version%expireEvery != 0 {
		return
	}
	for id, sub := range s.submissions {
		if !sub.Active() && s.unixMs-sub.EndedUnixMs > s.retentionMs {
			delete(s.submissions, id)
		}
	}
	for id, w := range s.workers {
		if w.GetGone() && s.unixMs-w.goneAt > goneRetentionMs {
			delete(s.workers, id)
		}
	}
}
