// Package submission implements the deterministic state machine that the control VMs replicate: submissions with their
// steps and tasks, the workers that run the tasks, the configuration of queues and pools, and maintenance waves.
//
// Every change is a log entry. The start of a task is committed before the worker is called, and its end before it is
// acknowledged to the worker. So every leader knows which attempts may be running on which worker.
package submission

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/boottime"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Ref identifies a task of one occurrence of a submission.
type Ref struct {
	Submission              string
	Occurrence, Step, Index uint32
}

// Proto converts r to its protobuf message.
func (r Ref) Proto() *pb.TaskRef {
	return &pb.TaskRef{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
}

// Compare orders tasks by submission, occurrence, step and index.
func (r Ref) Compare(other Ref) int {
	return cmp.Or(cmp.Compare(r.Submission, other.Submission), cmp.Compare(r.Occurrence, other.Occurrence),
		cmp.Compare(r.Step, other.Step), cmp.Compare(r.Index, other.Index))
}

// RefOf converts a protobuf message to a Ref.
func RefOf(p *pb.TaskRef) Ref {
	return Ref{Submission: p.GetSubmission(), Occurrence: p.GetOccurrence(), Step: p.GetStep(), Index: p.GetIndex()}
}

// Incarnation identifies a worker between one start of its process and the next. A worker that restarts under the same id has
// a later birth time.
type Incarnation struct {
	ID         string
	BornUnixMs int64
}

// Task is the state of one task.
type Task struct {
	// Attempt is the number of the current or last attempt, 0 before the first.
	Attempt uint32
	// On is the worker incarnation that the current attempt is placed on; the zero value while the task waits or is done.
	On   Incarnation
	Done bool
	// LostOn is the worker incarnation that went while an attempt was placed on it; the zero value otherwise and once the task is placed
	// on another worker, or anywhere if it is endless. A later incarnation of the worker may still carry out the start of that attempt.
	LostOn Incarnation
	// Checkpoint is the progress from which the current or next attempt resumes. A member of a gang gets that of its gang when it is
	// placed.
	Checkpoint string
	// Suspicions is the number of workers that crashed when an attempt of the task had only just started there, since the task
	// last ran for longer. Crashes is the number of those where no attempt of another submission had.
	Suspicions, Crashes uint32
	// Unproven is the number of silent workers of which the same may be true.
	Unproven uint32
	// failed lists the runs that ended in failure.
	failed []failedRun
	// placedApplied is when this VM applied the last placement. It is local to the VM and decides nothing in the state machine.
	placedApplied time.Duration
}

// failedRun is a run that has failed. An attempt may run on two incarnations of its worker. bornUnixMs is 0 for the members of a gang,
// whose failures count as one.
type failedRun struct {
	attempt    uint32
	bornUnixMs int64
}

// repeats reports whether a run is one that is known. Older builds have not recorded the birth time of its worker.
func (f failedRun) repeats(known failedRun) bool {
	return f.attempt == known.attempt && (f.bornUnixMs == known.bornUnixMs || known.bornUnixMs == 0)
}

// PlacedAt returns when this VM learnt of the current or last placement, by the clock of the state.
func (t *Task) PlacedAt() time.Duration { return t.placedApplied }

// Placed reports whether the current attempt is placed on a worker and may be running.
func (t *Task) Placed() bool { return t.On != Incarnation{} }

// Failures returns the number of runs that failed.
func (t *Task) Failures() int { return len(t.failed) }

// Step is the state of one step of an occurrence.
type Step struct {
	Tasks []Task
	// Gang is used if the step is a gang.
	Gang Gang
	// Placed and Done count tasks.
	Placed, Done int
}

// Waiting returns the number of tasks that are neither placed nor done.
func (s *Step) Waiting() int { return len(s.Tasks) - s.Placed - s.Done }

// Finished reports whether all tasks are done.
func (s *Step) Finished() bool { return s.Done == len(s.Tasks) }

// Occurrence is one execution of all steps of a submission. Recurring submissions have several.
type Occurrence struct {
	Steps []Step
	Done  bool
}

// Submission is the state of a submission that was accepted from a caller.
type Submission struct {
	Spec *pb.SubmissionSpec
	// Queue is the key of its queue, as returned by QueueKey.
	Queue string
	// AcceptedQueue holds the settings of the queue when the submission was accepted.
	AcceptedQueue  *pb.Queue
	State          pb.SubmissionState
	AcceptedUnixMs int64
	EndedUnixMs    int64
	// Started is true once any of its tasks has been placed.
	Started         bool
	Occurrences     map[uint32]*Occurrence
	OccurrencesDone uint32
	// Graph follows from Spec.
	Graph *Graph
	// weight is the part of State.weight.
	weight int64
}

// QueueKey returns the identity of a queue: the host and path prefix at which callers reach it. Its name may change with a
// new configuration.
func QueueKey(q *pb.Queue) string { return q.GetHost() + " " + q.GetPrefix() }

// Active reports whether the submission has not ended.
func (s *Submission) Active() bool { return s.State == pb.SubmissionState_SUBMISSION_STATE_ACTIVE }

// OccurrenceCount returns the number of occurrences, which is at least 1.
func (s *Submission) OccurrenceCount() uint32 { return max(1, s.Spec.GetOccurrences()) }

// DueUnixMs returns when an occurrence is due. One that would be due later than an int64 can hold is due at its highest value.
func (s *Submission) DueUnixMs(occurrence uint32) int64 {
	if s.Spec.GetOccurrences() == 0 {
		return s.AcceptedUnixMs
	}
	first, interval := s.Spec.GetFirstDueUnixMs(), s.Spec.GetIntervalMs()
	if occurrence > 0 && interval > (math.MaxInt64-max(0, first))/int64(occurrence) {
		return math.MaxInt64
	}
	return first + int64(occurrence)*interval
}

// Occurrence returns an occurrence. For one without a placed task so far, it returns a new value with all tasks waiting that
// is not part of the state.
func (s *Submission) Occurrence(number uint32) *Occurrence {
	if o := s.Occurrences[number]; o != nil {
		return o
	}
	return newOccurrence(s.Spec)
}

func newOccurrence(spec *pb.SubmissionSpec) *Occurrence {
	o := &Occurrence{Steps: make([]Step, len(spec.GetSteps()))}
	for i, step := range spec.GetSteps() {
		o.Steps[i].Tasks = make([]Task, step.GetCount())
	}
	return o
}

// Ready reports whether all prerequisites of the step with the given number are finished in one of the submission's occurrences. A
// step that is finished implies that its own prerequisites are.
func (s *Submission) Ready(o *Occurrence, number int) bool {
	for _, prerequisite := range s.Graph.direct[number] {
		if !o.Steps[prerequisite].Finished() {
			return false
		}
	}
	return true
}

// State is the replicated state. Apply, Snapshot and Restore must be called from a single goroutine. Other goroutines read
// the state through View.
type State struct {
	mu          sync.RWMutex
	retentionMs int64
	config      *pb.ServiceConfig
	queues      map[string]*pb.Queue
	pools       map[string]*pb.Pool
	submissions map[string]*Submission
	active      map[string]*Submission
	workers     map[string]*Worker
	waves       map[uint64]*pb.Wave
	intakes     map[string]*pb.IntakeVM
	unixMs      int64 // latest time of an applied entry
	version     uint64
	weight      int64 // the sum for submissions, see Weight
	// endedByEntry lists the submissions that were ended by the entry being applied.
	endedByEntry []string
	changed      func(ended []string)
	clock        func() time.Duration
}

// New returns an empty state. Ended submissions are kept for retentionMs. If changed is not nil, Apply calls it after each
// entry with the submissions that the entry ended. changed must not block.
func New(retentionMs int64, changed func(ended []string)) *State {
	s := &State{retentionMs: retentionMs, changed: changed, clock: boottime.Now}
	s.clear()
	return s
}

// SetClock replaces the clock by which silences are timed, which is boottime.Now. It must be called before the first entry.
func (s *State) SetClock(clock func() time.Duration) { s.clock = clock }

func (s *State) clear() {
	s.config = nil
	s.queues, s.pools = map[string]*pb.Queue{}, map[string]*pb.Pool{}
	s.submissions, s.active = map[string]*Submission{}, map[string]*Submission{}
	s.workers, s.waves = map[string]*Worker{}, map[uint64]*pb.Wave{}
	s.intakes = map[string]*pb.IntakeVM{}
	s.unixMs, s.weight = 0, 0
}

// Result is the outcome of one change of an entry.
type Result struct {
	// Applied is false if the change had no effect, for example because an earlier change has overtaken it.
	Applied bool
	// Found reports, for changes that accept or cancel a submission, whether the submission exists afterwards.
	Found bool
	// Version is the version of the configuration in force, set by changes of the configuration.
	Version uint64
}

// ErrStaleTerm is the result of an entry that a leader decided on in another term than the one in which it was committed.
var ErrStaleTerm = errors.New("the changes were decided on in an earlier term; the present leader decides again")

// Apply implements replica.StateMachine. It returns a []Result with one element for each change. If the entry cannot be
// decoded or its term is stale, it returns an error, such as ErrStaleTerm, and changes nothing.
func (s *State) Apply(_, term uint64, entry []byte) any {
	decoded := &pb.SubmissionEntry{}
	if err := proto.Unmarshal(entry, decoded); err != nil {
		return err // deterministic, since all VMs apply the same bytes
	}
	if decided := decoded.GetDecidedTerm(); decided != 0 && decided != term {
		return fmt.Errorf("%w: decided in term %d, committed in term %d", ErrStaleTerm, decided, term)
	}
	s.mu.Lock()
	s.unixMs = max(s.unixMs, decoded.GetUnixMs())
	results := make([]Result, len(decoded.GetChanges()))
	for i, change := range decoded.GetChanges() {
		results[i] = s.apply(change)
	}
	s.expire()
	s.version++
	ended := s.endedByEntry
	s.endedByEntry = nil
	s.mu.Unlock()
	if s.changed != nil {
		s.changed(ended)
	}
	return results
}

func (s *State) apply(change *pb.SubmissionChange) Result {
	switch c := change.GetChange().(type) {
	case *pb.SubmissionChange_Accept:
		return s.accept(c.Accept)
	case *pb.SubmissionChange_Cancel:
		return s.cancel(c.Cancel.GetId())
	case *pb.SubmissionChange_Start:
		return Result{Applied: s.start(c.Start)}
	case *pb.SubmissionChange_End:
		return Result{Applied: s.end(c.End)}
	case *pb.SubmissionChange_Config:
		return s.configure(c.Config)
	case *pb.SubmissionChange_Worker:
		return Result{Applied: s.register(c.Worker)}
	case *pb.SubmissionChange_Correction:
		return Result{Applied: s.correct(c.Correction)}
	case *pb.SubmissionChange_Gone:
		return Result{Applied: s.workerGone(Incarnation{ID: c.Gone.GetId(), BornUnixMs: c.Gone.GetBornUnixMs()}, c.Gone)}
	case *pb.SubmissionChange_Wave:
		return Result{Applied: s.addWave(c.Wave)}
	case *pb.SubmissionChange_WaveProgress:
		return Result{Applied: s.progressWave(c.WaveProgress)}
	case *pb.SubmissionChange_Cleared:
		return Result{Applied: s.clearSuspicion(c.Cleared)}
	case *pb.SubmissionChange_Leave:
		return Result{Applied: s.setLeave(c.Leave)}
	case *pb.SubmissionChange_Silence:
		return Result{Applied: s.setSilence(c.Silence)}
	case *pb.SubmissionChange_Intake:
		return Result{Applied: s.setIntake(c.Intake)}
	}
	return Result{}
}

// View calls f with read access to the state. f must not retain references to the state or its parts.
func (s *State) View(f func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s)
}

// The methods below may only be called within View.

// Config returns the configuration in force, or nil.
func (s *State) Config() *pb.ServiceConfig { return s.config }

// Version returns a counter that this process increments with each applied entry and each restored snapshot.
func (s *State) Version() uint64 { return s.version }

// Submission returns a submission, or nil.
func (s *State) Submission(id string) *Submission { return s.submissions[id] }

// Active returns the submissions that have not ended, by submission id.
func (s *State) Active() map[string]*Submission { return s.active }

// Workers returns the latest known incarnation of each worker, by worker id.
func (s *State) Workers() map[string]*Worker { return s.workers }

// Intakes returns the intake VMs that are known, by id.
func (s *State) Intakes() map[string]*pb.IntakeVM { return s.intakes }

// Waves returns the maintenance waves by number.
func (s *State) Waves() map[uint64]*pb.Wave { return s.waves }

// QueueOf returns the current settings of a submission's queue, or the settings under which the submission was accepted if
// the queue has been removed.
func (s *State) QueueOf(sub *Submission) *pb.Queue {
	if q := s.queues[sub.Queue]; q != nil {
		return q
	}
	return sub.AcceptedQueue
}

// Pool returns a pool, or nil.
func (s *State) Pool(name string) *pb.Pool { return s.pools[name] }

// Task returns a task, or nil if it is unknown, its occurrence has not begun or its occurrence is done.
func (s *State) Task(ref Ref) *Task {
	sub := s.submissions[ref.Submission]
	if sub == nil || !sub.hasTask(ref) {
		return nil
	}
	o := sub.Occurrences[ref.Occurrence]
	if o == nil || o.Done {
		return nil
	}
	return &o.Steps[ref.Step].Tasks[ref.Index]
}

// hasTask reports whether the submission has the task ref.
func (s *Submission) hasTask(ref Ref) bool {
	steps := s.Spec.GetSteps()
	return ref.Occurrence < s.OccurrenceCount() && int(ref.Step) < len(steps) && ref.Index < steps[ref.Step].GetCount()
}

// Pending returns the number of active submissions of a queue that have not begun. One has begun if confirmed says that a worker has
// confirmed a start, or if an end or a checkpoint of a task is recorded.
func (s *State) Pending(queue string, confirmed func(id string) bool) int {
	n := 0
	for id, sub := range s.active {
		if sub.Queue == queue && !(sub.Started && (confirmed(id) || sub.hasProgress())) {
			n++
		}
	}
	return n
}

// hasProgress reports whether it is recorded that a task of the submission has finished, failed or saved a checkpoint.
func (s *Submission) hasProgress() bool {
	for _, o := range s.Occurrences {
		if o.Done {
			return true
		}
		for i := range o.Steps {
			worked := func(t Task) bool { return t.Done || len(t.failed) > 0 || t.Checkpoint != "" }
			if slices.ContainsFunc(o.Steps[i].Tasks, worked) {
				return true
			}
		}
	}
	return false
}
