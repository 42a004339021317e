package submission

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Snapshot implements replica.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := &pb.SubmissionSnapshot{Config: s.config, UnixMs: s.unixMs}
	for _, id := range slices.Sorted(maps.Keys(s.submissions)) {
		out.Submissions = append(out.Submissions, s.submissions[id].record())
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		out.Workers = append(out.Workers, s.workers[id].PoolWorker)
		if silence := s.workers[id].Silence; silence != nil {
			out.Silences = append(out.Silences, silence)
		}
		if leave := s.workers[id].Leave; leave != nil {
			out.Leaves = append(out.Leaves, leave)
		}
		for _, suspect := range s.workers[id].unprovenList() {
			out.Unproven = append(out.Unproven, &pb.UnprovenCrash{Worker: id, Suspect: suspect})
		}
		if s.workers[id].reused {
			out.ReusedIds = append(out.ReusedIds, id)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(s.waves)) {
		out.Waves = append(out.Waves, s.waves[number])
	}
	for _, id := range slices.Sorted(maps.Keys(s.intakes)) {
		out.Intakes = append(out.Intakes, s.intakes[id])
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

func (s *Submission) record() *pb.SubmissionRecord {
	r := &pb.SubmissionRecord{
		Spec: s.Spec, Queue: s.Queue, State: s.State, AcceptedUnixMs: s.AcceptedUnixMs, EndedUnixMs: s.EndedUnixMs,
		Started: s.Started, OccurrencesDone: s.OccurrencesDone, AcceptedQueue: s.AcceptedQueue,
	}
	for _, number := range slices.Sorted(maps.Keys(s.Occurrences)) {
		r.Occurrences = append(r.Occurrences, s.Occurrences[number].record(number))
	}
	return r
}

func (o *Occurrence) record(number uint32) *pb.OccurrenceRecord {
	r := &pb.OccurrenceRecord{Number: number, Done: o.Done}
	for i := range o.Steps {
		step := &pb.StepRecord{Gang: o.Steps[i].Gang.record()}
		for _, t := range o.Steps[i].Tasks {
			attempts, born := failedRecord(t.failed)
			step.Tasks = append(step.Tasks, &pb.TaskRecord{Attempt: t.Attempt, Worker: t.On.ID, WorkerBornUnixMs: t.On.BornUnixMs,
				Done: t.Done, Checkpoint: t.Checkpoint, FailedAttempts: attempts, FailedBornUnixMs: born, LostWorker: t.LostOn.ID, LostWorkerBornUnixMs: t.LostOn.BornUnixMs,
				Suspicions: t.Suspicions, Crashes: t.Crashes})
		}
		r.Steps = append(r.Steps, step)
	}
	return r
}

func failedRecord(runs []failedRun) (attempts []uint32, bornUnixMs []int64) {
	for _, run := range runs {
		attempts, bornUnixMs = append(attempts, run.attempt), append(bornUnixMs, run.bornUnixMs)
	}
	return attempts, bornUnixMs
}

// failedFromRecord returns the failed runs of a task. Older builds do not record the birth times of their workers.
func failedFromRecord(r *pb.TaskRecord) []failedRun {
	var runs []failedRun
	for i, attempt := range r.GetFailedAttempts() {
		run := failedRun{attempt: attempt}
		if i < len(r.GetFailedBornUnixMs()) {
			run.bornUnixMs = r.GetFailedBornUnixMs()[i]
		}
		runs = append(runs, run)
	}
	return runs
}

// Restore implements replica.StateMachine.
func (s *State) Restore(snapshot []byte) error {
	in := &pb.SubmissionSnapshot{}
	if err := proto.Unmarshal(snapshot, in); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear()
	s.unixMs = in.GetUnixMs()
	if in.GetConfig() != nil {
		s.setConfig(in.GetConfig())
	}
	for _, p := range in.GetWorkers() {
		s.workers[p.GetId()] = &Worker{PoolWorker: p, Attempts: map[Ref]uint32{}, goneAt: s.unixMs, registeredApplied: s.clock()}
	}
	for _, silence := range in.GetSilences() {
		s.setSilence(silence)
	}
	for _, id := range in.GetReusedIds() {
		if w := s.workers[id]; w != nil {
			w.reused = true
		}
	}
	for _, leave := range in.GetLeaves() {
		s.setLeave(leave)
	}
	for _, wave := range in.GetWaves() {
		s.addWave(wave)
	}
	for _, intake := range in.GetIntakes() {
		s.setIntake(intake)
	}
	for _, r := range in.GetSubmissions() {
		s.restoreSubmission(r)
	}
	for _, u := range in.GetUnproven() {
		if w := s.workers[u.GetWorker()]; w != nil {
			s.suspectUnproven(w.Incarnation(), u.GetSuspect())
		}
	}
	s.version++
	return nil
}

func (s *State) restoreSubmission(r *pb.SubmissionRecord) {
	sub := &Submission{
		Spec: r.GetSpec(), Queue: r.GetQueue(), State: r.GetState(), AcceptedUnixMs: r.GetAcceptedUnixMs(), EndedUnixMs: r.GetEndedUnixMs(),
		Started: r.GetStarted(), OccurrencesDone: r.GetOccurrencesDone(), AcceptedQueue: r.GetAcceptedQueue(), Occurrences: map[uint32]*Occurrence{},
		Graph: newGraph(r.GetSpec().GetSteps()),
	}
	id := sub.Spec.GetId()
	s.submissions[id] = sub
	s.weigh(sub)
	if sub.Active() {
		s.active[id] = sub
	}
	for _, o := range r.GetOccurrences() {
		sub.Occurrences[o.GetNumber()] = s.restoreOccurrence(id, o)
	}
}

func (s *State) restoreOccurrence(id string, r *pb.OccurrenceRecord) *Occurrence {
	o := &Occurrence{Done: r.GetDone(), Steps: make([]Step, len(r.GetSteps()))}
	for i, step := range r.GetSteps() {
		o.Steps[i].Gang = gangFromRecord(step.GetGang())
		tasks := make([]Task, len(step.GetTasks()))
		for j, t := range step.GetTasks() {
			tasks[j] = Task{Attempt: t.GetAttempt(), On: Incarnation{ID: t.GetWorker(), BornUnixMs: t.GetWorkerBornUnixMs()}, Done: t.GetDone(),
				Checkpoint: t.GetCheckpoint(), failed: failedFromRecord(t), LostOn: Incarnation{ID: t.GetLostWorker(), BornUnixMs: t.GetLostWorkerBornUnixMs()},
				Suspicions: t.GetSuspicions(), Crashes: t.GetCrashes(), placedApplied: s.clock()}
			if t.GetDone() {
				o.Steps[i].Done++
			}
			if !tasks[j].Placed() {
				continue
			}
			o.Steps[i].Placed++
			if w := s.workers[tasks[j].On.ID]; w != nil && w.Incarnation() == tasks[j].On {
				w.Attempts[Ref{Submission: id, Occurrence: r.GetNumber(), Step: uint32(i), Index: uint32(j)}] = t.GetAttempt()
			}
		}
		o.Steps[i].Tasks = tasks
	}
	return o
}
