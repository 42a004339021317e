package submission

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// accept stores a submission. A submission that is already known is left unchanged. One whose queue has been removed is not
// stored, since no settings would say where to run it.
func (s *State) accept(c *pb.AcceptSubmission) Result {
	id := c.GetSpec().GetId()
	if s.submissions[id] != nil {
		return Result{Found: true}
	}
	queue := s.queues[c.GetQueue()]
	if queue == nil {
		return Result{}
	}
	sub := &Submission{
		Spec: c.GetSpec(), Queue: c.GetQueue(), AcceptedQueue: queue, AcceptedUnixMs: s.unixMs,
		State: pb.SubmissionState_SUBMISSION_STATE_ACTIVE, Occurrences: map[uint32]*Occurrence{},
		Graph: newGraph(c.GetSpec().GetSteps()),
	}
	s.submissions[id], s.active[id] = sub, sub
	s.weigh(sub)
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

// finish ends a submission. Attempts that may still run stay recorded on their workers until their ends are committed.
func (s *State) finish(sub *Submission, state pb.SubmissionState) {
	sub.State, sub.EndedUnixMs = state, s.unixMs
	s.weigh(sub)
	delete(s.active, sub.Spec.GetId())
	s.endedByEntry = append(s.endedByEntry, sub.Spec.GetId())
}

// start places an attempt. It returns false if the placement is no longer valid, for example because the worker or the task
// has changed since it was planned.
func (s *State) start(c *pb.TaskStart) bool {
	ref := RefOf(c.GetTask())
	sub := s.submissions[ref.Submission]
	w := s.workers[c.GetWorker()]
	if sub == nil || !sub.Active() || !sub.hasTask(ref) || w == nil || !w.Usable() || w.GetBornUnixMs() != c.GetWorkerBornUnixMs() {
		return false
	}
	o := sub.Occurrences[ref.Occurrence]
	if o == nil {
		o = newOccurrence(sub.Spec)
		sub.Occurrences[ref.Occurrence] = o
	}
	if o.Done || !sub.Ready(o, int(ref.Step)) {
		return false
	}
	step := &o.Steps[ref.Step]
	t := &step.Tasks[ref.Index]
	if t.Done || t.Placed() || c.GetAttempt() <= t.Attempt {
		return false
	}
	t.Attempt, t.On, t.placedApplied = c.GetAttempt(), w.Incarnation(), s.clock()
	if t.On.ID != t.LostOn.ID || sub.Spec.GetSteps()[ref.Step].GetEndless() {
		t.LostOn = Incarnation{}
	}
	if sub.Spec.GetSteps()[ref.Step].GetGang() {
		t.Checkpoint = step.Gang.startValue(t.Attempt)
	}
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
	released := c.GetAttempt() == t.Attempt && t.On == on
	if released {
		t.On = Incarnation{}
		step.Placed--
		step.saveProgress(spec, t, c)
	}
	if !sub.Active() {
		return true
	}
	if released && c.GetSuspect() != nil { // once only: the end may be committed again
		s.suspectLost(on, c.GetSuspect())
	}
	if ranOnWorker(c.GetKind()) {
		s.forgetSuspicions(ref, t)
	}
	switch c.GetKind() {
	case pb.TaskEndKind_TASK_END_KIND_DONE:
		s.taskDone(sub, ref, step, spec)
	case pb.TaskEndKind_TASK_END_KIND_FAILED:
		s.taskFailed(sub, step, t, spec, c)
	}
	return true
}

// ranOnWorker reports whether an attempt that ended in this way ran on a worker that has not crashed.
func ranOnWorker(kind pb.TaskEndKind) bool {
	return kind == pb.TaskEndKind_TASK_END_KIND_DONE || kind == pb.TaskEndKind_TASK_END_KIND_FAILED
}

// taskDone marks a task as done. If the task belongs to a gang, all its members are done.
func (s *State) taskDone(sub *Submission, ref Ref, step *Step, spec *pb.Step) {
	if spec.GetEndless() {
		return // endless tasks are restarted however they end
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

// markDone marks a task as done. If an attempt of it still runs, it stays recorded on its worker until its end is committed.
func (s *State) markDone(step *Step, t *Task) {
	if t.Done {
		return
	}
	if t.Placed() {
		step.Placed--
		t.On = Incarnation{}
	}
	t.Done, t.Checkpoint, t.LostOn = true, "", Incarnation{}
	step.Done++
}

func (s *State) finishOccurrence(sub *Submission, number uint32) {
	o := sub.Occurrences[number]
	if slices.ContainsFunc(o.Steps, func(step Step) bool { return !step.Finished() }) {
		return
	}
	o.Done, o.Steps = true, nil
	sub.OccurrencesDone++
	if sub.OccurrencesDone == sub.OccurrenceCount() {
		s.finish(sub, pb.SubmissionState_SUBMISSION_STATE_DONE)
	}
}

// taskFailed records the failure of a run, and ends the submission once the task has used up the attempts that the
// queue allows. A run counts once, even if its end is reported again. For a gang an attempt counts once for all members.
func (s *State) taskFailed(sub *Submission, step *Step, t *Task, spec *pb.Step, c *pb.TaskEnd) {
	if spec.GetEndless() {
		return
	}
	run := failedRun{c.GetAttempt(), c.GetWorkerBornUnixMs()}
	if spec.GetGang() {
		t, run.bornUnixMs = &step.Tasks[0], 0
	}
	if slices.ContainsFunc(t.failed, run.repeats) {
		return
	}
	t.failed = append(t.failed, run)
	if limit := s.QueueOf(sub).GetAttempts(); limit > 0 && t.Failures() >= int(limit) {
		s.finish(sub, pb.SubmissionState_SUBMISSION_STATE_FAILED)
	}
}

// configure replaces the configuration if the new one has a higher version.
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
	s.weight += WaveWeight(wave)
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

// setIntake adds, replaces or removes an intake VM.
func (s *State) setIntake(c *pb.IntakeVM) bool {
	known := s.intakes[c.GetId()]
	if s.intakes[c.GetId()] = c; c.GetGone() {
		delete(s.intakes, c.GetId())
	}
	return !proto.Equal(known, s.intakes[c.GetId()])
}

// expireInterval is the number of entries between two removals of old records.
const expireInterval = 256

// goneRetentionMs is how long the record of a worker incarnation that is gone is kept. No late report of it can arrive after
// that time.
const goneRetentionMs = 10 * 60 * 1000

// expire removes the records of submissions and worker incarnations that ended long ago.
func (s *State) expire() {
	if s.version%expireInterval != 0 {
		return
	}
	for id, sub := range s.submissions {
		if !sub.Active() && s.unixMs-sub.EndedUnixMs > s.retentionMs {
			s.weight -= sub.weight
			delete(s.submissions, id)
		}
	}
	for id, w := range s.workers {
		if w.GetGone() && s.unixMs-w.goneAt > goneRetentionMs {
			delete(s.workers, id)
		}
	}
}
