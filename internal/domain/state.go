// Package domain implements the deterministic state machine of a domain group: the replicated workers, tasks, attempts,
// request records and drains. Only the control goroutine applies entries; other goroutines read through View.
package domain

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

// Limits bounds the size of the state and the retries of tasks. The default applies to each field that is zero.
type Limits struct {
	// MaxRecords is the maximum number of request records in the domain.
	MaxRecords int
	// MaxRecordsPerMember is the maximum number of request records of one member.
	MaxRecordsPerMember int
	// MaxAnswerBytes is the maximum total size of the stored answers. An answer that would exceed it is stored without
	// its body.
	MaxAnswerBytes int64
	// MaxTasks is the maximum number of tasks that have not ended.
	MaxTasks int
	// MaxFailures is the number of failed attempts after which a task is not retried.
	MaxFailures uint32
}

// Default values of Limits.
const (
	defaultMaxRecords          = 1_000_000
	defaultMaxRecordsPerMember = 100_000
	defaultMaxAnswerBytes      = 256 << 20
	defaultMaxTasks            = 200_000
	// After five failed attempts, the task itself rather than a worker is assumed to be at fault.
	defaultMaxFailures = 5
)

func (l Limits) withDefaults() Limits {
	if l.MaxRecords == 0 {
		l.MaxRecords = defaultMaxRecords
	}
	if l.MaxRecordsPerMember == 0 {
		l.MaxRecordsPerMember = defaultMaxRecordsPerMember
	}
	if l.MaxAnswerBytes == 0 {
		l.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if l.MaxTasks == 0 {
		l.MaxTasks = defaultMaxTasks
	}
	if l.MaxFailures == 0 {
		l.MaxFailures = defaultMaxFailures
	}
	return l
}

// Change lists the tasks and workers that one entry or restored snapshot changed. The values must not be modified.
type Change struct {
	Index, Term    uint64
	Tasks          []*pb.Task
	RemovedTasks   []string
	Workers        []*pb.Worker
	RemovedWorkers []string
}

func (c *Change) empty() bool {
	return len(c.Tasks)+len(c.RemovedTasks)+len(c.Workers)+len(c.RemovedWorkers) == 0
}

// content holds all replicated data. Its tries are persistent, so a copy of the struct is an immutable view.
type content struct {
	tasks   trie[string, *pb.Task]
	workers trie[string, *worker]
	records trie[recordKey, *record]
	drained trie[string, struct{}]
	index   uint64
	term    uint64
	unixMs  int64
}

// State is the state machine of one domain group. Only View and Snapshot may be called from more than one
// goroutine.
type State struct {
	content
	name   string
	limits Limits
	// generation is incremented when the content is published. Trie nodes and workers of the current generation are not
	// visible to readers yet and may be modified in place.
	generation uint64
	// activeTasks is the number of tasks that have not ended.
	activeTasks       int
	activePerContract map[string]int64
	endedTasks        expiry[string]
	recordUsage       recordUsage
	published         atomic.Pointer[View]
	change            Change // changes since the last notification
	subscribers       []func(Change)
}

// New returns the empty state of a domain.
func New(domainName string, limits Limits) *State {
	s := &State{name: domainName, limits: limits.withDefaults()}
	s.clear()
	s.publish()
	return s
}

func (s *State) clear() {
	s.content = content{
		tasks:   trie[string, *pb.Task]{hash: xxhash.Sum64String},
		workers: trie[string, *worker]{hash: xxhash.Sum64String},
		records: trie[recordKey, *record]{hash: recordKey.hash},
		drained: trie[string, struct{}]{hash: xxhash.Sum64String},
	}
	s.activeTasks = 0
	s.activePerContract = map[string]int64{}
	s.endedTasks = expiry[string]{}
	s.recordUsage = newRecordUsage()
}

// publish makes the current content visible to readers and starts a new generation.
func (s *State) publish() {
	s.published.Store(&View{s.content})
	s.generation++
}

// View returns the state after the last applied entry. It is immutable. View may be called from any goroutine.
func (s *State) View() *View { return s.published.Load() }

// Subscribe registers f to be called on the control goroutine after each entry or restored snapshot that changed tasks
// or workers. Subscribe must be called before the first entry is applied.
func (s *State) Subscribe(f func(change Change)) {
	s.subscribers = append(s.subscribers, f)
}

// Apply executes one committed entry and returns its Result.
func (s *State) Apply(index, term uint64, entry []byte) any {
	command := &pb.DomainCommand{}
	if err := proto.Unmarshal(entry, command); err != nil {
		return Result{Err: errs.ErrInvalid.With("entry %d cannot be decoded: %w", index, err)}
	}
	s.index, s.term = index, term
	result := s.execute(command)
	s.publish()
	s.notify()
	return result
}

// notify passes the collected changes to the subscribers.
func (s *State) notify() {
	change := s.change
	s.change = Change{}
	if change.empty() {
		return
	}
	change.Index, change.Term = s.index, s.term
	for _, f := range s.subscribers {
		f(change)
	}
}

// execute executes one command. The time of the state never goes back, even if the clock of a new leader is behind.
func (s *State) execute(command *pb.DomainCommand) Result {
	s.unixMs = max(s.unixMs, command.GetUnixMs())
	switch c := command.GetCommand().(type) {
	case *pb.DomainCommand_Batch:
		return s.executeBatch(c.Batch)
	case *pb.DomainCommand_RegisterWorker:
		return s.registerWorker(c.RegisterWorker)
	case *pb.DomainCommand_WorkerLost:
		return s.workerLost(c.WorkerLost)
	case *pb.DomainCommand_HoldAttempts:
		return s.holdAttempts(c.HoldAttempts)
	case *pb.DomainCommand_SetWorkerState:
		return s.setWorkerState(c.SetWorkerState)
	case *pb.DomainCommand_SetDrain:
		return s.setDrain(c.SetDrain)
	default:
		return s.executeTaskCommand(command)
	}
}

func (s *State) executeTaskCommand(command *pb.DomainCommand) Result {
	switch c := command.GetCommand().(type) {
	case *pb.DomainCommand_SubmitTask:
		return s.submitTask(c.SubmitTask)
	case *pb.DomainCommand_CancelTask:
		return s.cancelTask(c.CancelTask)
	case *pb.DomainCommand_PlaceTasks:
		return s.placeTasks(c.PlaceTasks)
	case *pb.DomainCommand_ReportAttempts:
		return s.reportAttempts(c.ReportAttempts)
	case *pb.DomainCommand_EvictTasks:
		return s.evictTasks(c.EvictTasks)
	case *pb.DomainCommand_MarkUnschedulable:
		return s.markUnschedulable(c.MarkUnschedulable)
	default:
		return s.executeRecordCommand(command)
	}
}

func (s *State) executeRecordCommand(command *pb.DomainCommand) Result {
	switch c := command.GetCommand().(type) {
	case *pb.DomainCommand_CommitIntent:
		return s.commitIntent(c.CommitIntent)
	case *pb.DomainCommand_CommitOutcome:
		return s.commitOutcome(c.CommitOutcome)
	case *pb.DomainCommand_ExpireRecords:
		return s.expire(c.ExpireRecords)
	case *pb.DomainCommand_SenderGone:
		return s.senderGone(c.SenderGone)
	default:
		return Result{Err: errs.ErrInvalid.With("entry %d holds no known command", s.index)}
	}
}

func (s *State) executeBatch(batch *pb.CommandBatch) Result {
	results := make([]Result, 0, len(batch.GetCommands()))
	for _, c := range batch.GetCommands() {
		results = append(results, s.execute(c))
	}
	return Result{Batch: results}
}
