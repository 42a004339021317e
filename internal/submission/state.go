// Package submission is the deterministic state machine of the submissions that control VMs hold: submissions with
// their steps and tasks, the workers that run them, the configuration of queues and pools, and waves of upkeep.
//
// Every change is a log entry. A start is committed before the worker is called, an end before the worker may forget
// it, so each leader knows what may be running where.
package submission

import (
	"errors"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Ref names a task.
type Ref struct {
	Submission              string
	Occurrence, Step, Index uint32
}

// Proto returns the message form.
func (r Ref) Proto() *pb.TaskRef {
	return &pb.TaskRef{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
}

// RefOf reads the message form.
func RefOf(p *pb.TaskRef) Ref {
	return Ref{Submission: p.GetSubmission(), Occurrence: p.GetOccurrence(), Step: p.GetStep(), Index: p.GetIndex()}
}

// Incarnation names one life of a worker.
type Incarnation struct {
	ID         string
	BornUnixMs int64
}

// Task is the state of one task.
type Task struct {
	// Attempt is the number of the current or last attempt, 0 before the first.
	Attempt uint32
	// On is the worker of the current attempt; the zero Life while the task waits.
	On         Incarnation
	Done       bool
	Checkpoint string
	// failed lists the attempts that ended by a failure.
	failed []uint32
}

// Placed reports whether an attempt may be running.
func (t *Task) Placed() bool { return t.On != Incarnation{} }

// Failures returns the number of attempts that failed.
func (t *Task) Failures() int { return len(t.failed) }

// Step is the state of one step of an occurrence.
type Step struct {
	Tasks []Task
	// Placed and Done count tasks.
	Placed, Done int
}

// Waiting returns the number of tasks that are neither placed nor done.
func (s *Step) Waiting() int { return len(s.Tasks) - s.Placed - s.Done }

// Finished reports whether all tasks are done.
func (s *Step) Finished() bool { return s.Done == len(s.Tasks) }

// Occurrence is one run of the steps of a submission.
type Occurrence struct {
	Steps []Step
	Done  bool
}

// Submission is what a caller has handed in.
type Submission struct {
	Spec *pb.SubmissionSpec
	// Queue is the key of its queue.
	Queue string
	// AcceptedQueue holds the settings of the queue when the submission was accepted.
	AcceptedQueue  *pb.Queue
	State          pb.SubmissionState
	AcceptedUnixMs int64
	EndedUnixMs    int64
	// Started is true once a task was placed.
	Started         bool
	Occurrences     map[uint32]*Occurrence
	OccurrencesDone uint32
}

// QueueKey identifies a queue by the place where callers find it; its name may change with a configuration.
func QueueKey(q *pb.Queue) string { return q.GetHost() + " " + q.GetPrefix() }

// Active reports whether the submission still runs tasks.
func (s *Submission) Active() bool { return s.State == pb.SubmissionState_SUBMISSION_STATE_ACTIVE }

// Runs returns how often the steps run.
func (s *Submission) Runs() uint32 { return max(1, s.Spec.GetOccurrences()) }

// DueUnixMs returns when an occurrence is due.
func (s *Submission) DueUnixMs(occurrence uint32) int64 {
	if s.Spec.GetOccurrences() == 0 {
		return s.AcceptedUnixMs
	}
	return s.Spec.GetFirstDueUnixMs() + int64(occurrence)*s.Spec.GetIntervalMs()
}

// Occurrence returns an occurrence; one that has not begun has all tasks waiting. The result of one that has not begun
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

// Ready reports whether the steps that step number waits for are finished.
func (o *Occurrence) Ready(spec *pb.SubmissionSpec, number int) bool {
	for _, before := range spec.GetSteps()[number].GetAfter() {
		if !o.Steps[before].Finished() {
			return false
		}
	}
	return true
}

// Worker is one life of a worker with the attempts that may run there.
type Worker struct {
	*pb.PoolWorker
	// Attempts are the attempts placed here.
	Attempts map[Ref]uint32
	goneAt   int64
}

// Incarnation returns the name of this life.
func (w *Worker) Incarnation() Incarnation {
	return Incarnation{ID: w.GetId(), BornUnixMs: w.GetBornUnixMs()}
}

// Usable reports whether tasks may be placed on the worker.
func (w *Worker) Usable() bool { return !w.GetGone() && !w.GetDraining() }

// State is the replicated state. Apply, Snapshot and Restore are called from one goroutine; others read through View.
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
	unixMs      int64
	version     uint64
	// endedNow lists the submissions that the current entry ended.
	endedNow []string
	changed  func(ended []string)
}

// New returns an empty state. Ended submissions are kept for retentionMs. changed, if not nil, is called after each
// entry with the submissions that it ended, from the goroutine of Apply, and must not block.
func New(retentionMs int64, changed func(ended []string)) *State {
	s := &State{retentionMs: retentionMs, changed: changed}
	s.clear()
	return s
}

func (s *State) clear() {
	s.config = nil
	s.queues, s.pools = map[string]*pb.Queue{}, map[string]*pb.Pool{}
	s.submissions, s.active = map[string]*Submission{}, map[string]*Submission{}
	s.workers, s.waves = map[string]*Worker{}, map[uint64]*pb.Wave{}
	s.unixMs = 0
}

// Result is the outcome of one change of an entry.
type Result struct {
	// Applied is false if the change had no effect because the state has moved on.
	Applied bool
	// Found is false if a submission to be cancelled is unknown.
	Found bool
	// Version is the version of the configuration in force after a change of it.
	Version uint64
}

// ErrStaleTerm is the result of an entry that a leader decided on in an earlier term.
var ErrStaleTerm = errors.New("the changes were decided on in an earlier term; the present leader decides again")

// Apply implements replica.StateMachine. It returns a []Result with one element for each change, or an error if nothing
// was changed: the entry cannot be decoded, or ErrStaleTerm.
func (s *State) Apply(_, term uint64, entry []byte) any {
	decoded := &pb.SubmissionEntry{}
	if err := proto.Unmarshal(entry, decoded); err != nil {
		return err // the same on all VMs, since all apply the same bytes
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
	ended := s.endedNow
	s.endedNow = nil
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
	case *pb.SubmissionChange_Gone:
		return Result{Applied: s.workerGone(Incarnation{ID: c.Gone.GetId(), BornUnixMs: c.Gone.GetBornUnixMs()})}
	case *pb.SubmissionChange_Wave:
		return Result{Applied: s.addWave(c.Wave)}
	case *pb.SubmissionChange_WaveProgress:
		return Result{Applied: s.progressWave(c.WaveProgress)}
	}
	return Result{}
}

// View gives read access to the state while f runs. f must not keep what it is given.
func (s *State) View(f func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s)
}

// The methods below are for use in View.

// Config returns the configuration in force, or nil.
func (s *State) Config() *pb.ServiceConfig { return s.config }

// Version counts the entries applied by this process.
func (s *State) Version() uint64 { return s.version }

// Submission returns a submission, or nil.
func (s *State) Submission(id string) *Submission { return s.submissions[id] }

// Active returns the submissions that have not ended, by id.
func (s *State) Active() map[string]*Submission { return s.active }

// Workers returns the newest known life of each worker, by id.
func (s *State) Workers() map[string]*Worker { return s.workers }

// Waves returns the waves of upkeep by number.
func (s *State) Waves() map[uint64]*pb.Wave { return s.waves }

// QueueOf returns the settings of a submission's queue: those in force, or the ones under which it was accepted if the
// queue was removed.
func (s *State) QueueOf(sub *Submission) *pb.Queue {
	if q := s.queues[sub.Queue]; q != nil {
		return q
	}
	return sub.AcceptedQueue
}

// Pool returns a pool, or nil.
func (s *State) Pool(name string) *pb.Pool { return s.pools[name] }

// Task returns a task of a known submission, or nil.
func (s *State) Task(ref Ref) *Task {
	sub := s.submissions[ref.Submission]
	if sub == nil || !sub.holds(ref) {
		return nil
	}
	o := sub.Occurrences[ref.Occurrence]
	if o == nil || o.Done {
		return nil
	}
	return &o.Steps[ref.Step].Tasks[ref.Index]
}

// holds reports whether the submission has such a task.
func (s *Submission) holds(ref Ref) bool {
	steps := s.Spec.GetSteps()
	return ref.Occurrence < s.Runs() && int(ref.Step) < len(steps) && ref.Index < steps[ref.Step].GetCount()
}

// Pending returns the number of active submissions of a queue of which no task has been placed.
func (s *State) Pending(queue string) int {
	n := 0
	for _, sub := range s.active {
		if sub.Queue == queue && !sub.Started {
			n++
		}
	}
	return n
}
