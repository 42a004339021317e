// Package domain is the deterministic state machine of a domain group: workers, tasks, attempts, request records
// and drains. Only the control goroutine applies entries; other goroutines read through View.
package domain

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

// Limits bound the size of the state. Zero fields take the defaults.
type Limits struct {
	// MaxRecords is the number of request records in the domain.
	MaxRecords int
	// MaxRecordsPerMember is the number of request records of one member.
	MaxRecordsPerMember int
	// MaxAnswerBytes bounds the stored answers together. Beyond it the bodies of new answers are dropped.
	MaxAnswerBytes int64
	// MaxTasks is the number of tasks that have not ended.
	MaxTasks int
	// MaxFailures is the number of failures after which a task is failed for good.
	MaxFailures uint32
}

// Default limits.
const (
	defaultMaxRecords          = 1_000_000
	defaultMaxRecordsPerMember = 100_000
	defaultMaxAnswerBytes      = 256 << 20
	defaultMaxTasks            = 200_000
	// A task that failed on five attempts is taken to be at fault itself.
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

// Change lists what one entry changed. The values are immutable.
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

// content is everything that the state holds and readers may see. A copy is a snapshot.
type content struct {
	tasks   tree[string, *pb.Task]
	workers tree[string, *worker]
	records tree[recordKey, *record]
	drained tree[string, struct{}]
	index   uint64
	term    uint64
	unixMs  int64
}

// State is the state of one domain group. One goroutine applies entries.
type State struct {
	content
	name   string
	limits Limits
	// edit is the number of the current change; nodes and workers made in it may be changed in place.
	edit uint64
	// active is the number of tasks that have not ended.
	active      int
	perContract map[string]int64
	ended       expiry[string]
	recordUse   recordUse
	published   atomic.Pointer[View]
	change      Change
	subscribers []func(Change)
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
		tasks:   tree[string, *pb.Task]{hash: xxhash.Sum64String},
		workers: tree[string, *worker]{hash: xxhash.Sum64String},
		records: tree[recordKey, *record]{hash: recordKey.hash},
		drained: tree[string, struct{}]{hash: xxhash.Sum64String},
	}
	s.active = 0
	s.perContract = map[string]int64{}
	s.ended = expiry[string]{}
	s.recordUse = newRecordUse()
}

// publish makes the current content visible to readers and starts a new edit.
func (s *State) publish() {
	s.published.Store(&View{s.content})
	s.edit++
}

// View returns the latest applied state. It does not change afterwards and may be read from any goroutine.
func (s *State) View() *View { return s.published.Load() }

// Subscribe registers f, which is called on the control goroutine after each entry that changed tasks or workers.
// It must be called before the first entry is applied.
func (s *State) Subscribe(f func(change Change)) {
	s.subscribers = append(s.subscribers, f)
}

// Apply executes one committed entry and returns a Result.
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
		return s.executeTask(command)
	}
}

func (s *State) executeTask(command *pb.DomainCommand) Result {
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
		return s.executeRecord(command)
	}
}

func (s *State) executeRecord(command *pb.DomainCommand) Result {
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
