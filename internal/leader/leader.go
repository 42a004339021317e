// Package leader does what only the leader of a domain group does: worker sessions, lease clocks, commands to
// workers, and running the planner.
package leader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/rs/zerolog"
)

// Log commits entries of the domain group. replica.Group implements it.
type Log interface {
	// Propose returns the result of the state machine, a domain.Result or its encoded form.
	Propose(ctx context.Context, entry []byte) (any, error)
	// ReadBarrier returns after a quorum confirmed leadership in a round that began after the call, and after every
	// entry that was committed before the call is applied here. Without the second part a new leader could send the
	// start of an attempt that an earlier entry closed.
	ReadBarrier(ctx context.Context) error
}

// Config of a Leader.
type Config struct {
	Domain  string
	Log     Log
	State   *domain.State
	Planner Planner
	// AttemptLease is how long a worker may run an attempt without renewal. Default 10 s.
	AttemptLease time.Duration
	// HeartbeatInterval is how often workers report. Default 1 s.
	HeartbeatInterval time.Duration
	// EntryVMs returns the HTTP addresses that workers may use.
	EntryVMs func() []string
	Logger   zerolog.Logger
}

// Timing of the leader.
const (
	defaultAttemptLease      = 10 * time.Second
	defaultHeartbeatInterval = time.Second
	// Clocks of leader and worker may differ in rate by this share of the lease.
	leaseDriftPercent = 5
	// leaseSlack covers the time between the end of a lease and the end of the process that ran under it.
	leaseSlack    = time.Second
	clockInterval = 250 * time.Millisecond
	planInterval  = 250 * time.Millisecond
	// planGap lets changes gather, so that a busy domain is planned at most 200 times a second.
	planGap = 5 * time.Millisecond
	// contractInterval is how often running work is compared with the contracts in force.
	contractInterval = time.Second
	expireInterval   = time.Minute
	maxPoll          = time.Second
	maxPlacements    = 1024
)

// Errors of the leader.
var (
	ErrNotLeading = &errs.Error{Code: "not-leader", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "this entry VM does not lead the domain group", Remedy: "send the request to another entry VM of the domain"}
	ErrContractUnknown = &errs.Error{Code: "contract-unknown", Status: http.StatusNotFound, Outcome: errs.OutcomeNotRun,
		Message: "the contract is not in force", Remedy: "list the contracts with 'lentilyard contracts' and check the name"}
	errStopped = &errs.Error{Code: "stopped", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "this entry VM is stopping", Remedy: "send the request to another entry VM of the domain"}
	errUnknown = errs.ErrOutcomeUnknown
)

// Leader runs on every voter of a domain group and acts while its replica leads.
type Leader struct {
	config   Config
	proposer *proposer
	barriers *barriers
	planned  *planned
	policy   contracts

	mu        sync.Mutex
	leading   bool
	term      uint64
	electedAt time.Time
	sessions  map[string]*session
	// leaseWait is the time after which a silent worker has certainly stopped its attempts.
	leaseWait time.Duration
	pollers   map[string]chan struct{}
}

// New returns a leader that does nothing until SetLeading and Run.
func New(config Config) *Leader {
	if config.AttemptLease == 0 {
		config.AttemptLease = defaultAttemptLease
	}
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeatInterval
	}
	l := &Leader{config: config, proposer: newProposer(config.Log), barriers: newBarriers(config.Log),
		leaseWait: config.AttemptLease + config.AttemptLease*leaseDriftPercent/100 + leaseSlack, planned: newPlanned(), sessions: map[string]*session{}, pollers: map[string]chan struct{}{}}
	config.State.Subscribe(l.changed)
	return l
}

// SetLeading tells whether the replica leads and in which term. It does not block.
// Lease clocks start anew, because a former leader may have renewed leases until now.
func (l *Leader) SetLeading(leading bool, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = leading
	l.term = term
	l.electedAt = time.Now()
	l.sessions = map[string]*session{}
	l.wakeAll()
	l.planned.signal()
}

// view returns the latest applied state.
func (l *Leader) view() *domain.View { return l.config.State.View() }

func (l *Leader) isLeading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leading
}

// Run plans, counts leases and expires records until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){l.proposer.run, l.barriers.run, l.runPlanner, l.runClocks, l.runContracts, l.runExpiry} {
		running.Go(func() { loop(ctx) })
	}
	running.Wait()
	return ctx.Err()
}

// changed is called on the control goroutine after each applied entry.
func (l *Leader) changed(change domain.Change) {
	l.planned.add(change)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return
	}
	for _, t := range change.Tasks {
		l.wakePoller(t.GetWorker())
	}
}

func (l *Leader) wakePoller(workerID string) {
	if poller := l.pollers[workerID]; poller != nil {
		signal(poller)
	}
}

func (l *Leader) wakeAll() {
	for _, poller := range l.pollers {
		signal(poller)
	}
}

func (l *Leader) runExpiry(ctx context.Context) {
	l.every(ctx, expireInterval, func() {
		before := time.Now().Add(-idempotency.RecordLife).UnixMilli()
		_, err := l.proposer.propose(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_ExpireRecords{
			ExpireRecords: &pb.ExpireRecords{RecordsBeforeUnixMs: before, TasksBeforeUnixMs: before}}})
		l.logFailure("expire records", err)
	})
}

// every calls f at each interval while leading.
func (l *Leader) every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if l.isLeading() {
				f()
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *Leader) logFailure(action string, err error) {
	if err != nil {
		l.config.Logger.Warn().Str("domain", l.config.Domain).Str("action", action).Err(err).Msg("proposal failed")
	}
}
