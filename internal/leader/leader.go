// Package leader implements the duties of the leader of a domain group: it keeps worker sessions and their leases,
// sends commands to workers, enforces contracts and runs the planner.
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
	// Propose commits an entry and returns the result of the state machine: a domain.Result, or its encoded form as
	// []byte.
	Propose(ctx context.Context, entry []byte) (any, error)
	// ReadBarrier returns once a quorum has confirmed leadership in a round that began after the call and every entry
	// committed before the call has been applied locally. Without the second condition, a new leader could tell a
	// worker to start an attempt that an earlier entry has closed.
	ReadBarrier(ctx context.Context) error
}

// Config holds the settings and dependencies of a Leader.
type Config struct {
	Domain  string // name of the failure domain
	Log     Log
	State   *domain.State
	Planner Planner
	// AttemptLease is how long a worker may run an attempt without a renewal of its lease. Default 10 s.
	AttemptLease time.Duration
	// HeartbeatInterval is the time between the heartbeats of a worker. Default 1 s.
	HeartbeatInterval time.Duration
	// EntryVMs returns the HTTP addresses to which workers send registrations and heartbeats. It may be nil.
	EntryVMs func() []string
	Logger   zerolog.Logger
}

// Intervals and limits of the leader.
const (
	defaultAttemptLease      = 10 * time.Second
	defaultHeartbeatInterval = time.Second
	// leaseDriftPercent is the tolerated difference in rate between the clocks of leader and worker, in percent of the
	// lease.
	leaseDriftPercent = 5
	// leaseSlack covers the time between the expiry of a lease and the exit of the process that ran under it.
	leaseSlack         = time.Second
	leaseCheckInterval = 250 * time.Millisecond
	planInterval       = 250 * time.Millisecond
	// planPause follows each plan, so that changes accumulate and a busy domain is planned at most 200 times a second.
	planPause = 5 * time.Millisecond
	// contractInterval is the time between two checks of the tasks against the contracts in force.
	contractInterval = time.Second
	expireInterval   = time.Minute
	maxLongPoll      = time.Second
	maxPlacements    = 1024
)

// Errors returned by Leader.
var (
	ErrNotLeading = &errs.Error{Code: "not-leader", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "this entry VM does not lead the domain group", Remedy: "send the request to another entry VM of the domain"}
	ErrContractUnknown = &errs.Error{Code: "contract-unknown", Status: http.StatusNotFound, Outcome: errs.OutcomeNotRun,
		Message: "the contract is not in force", Remedy: "list the contracts with 'lentilyard contracts' and check the name"}
	errStopped = &errs.Error{Code: "stopped", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "this entry VM is stopping", Remedy: "send the request to another entry VM of the domain"}
	errOutcomeUnknown = errs.ErrOutcomeUnknown
)

// Leader runs on every voter of a domain group and is active only while the local replica is the Raft leader.
type Leader struct {
	config       Config
	proposer     *proposer
	barriers     *barrierBatcher
	plannerInbox *plannerInbox
	contracts    contractTracker

	mu      sync.Mutex
	leading bool
	term    uint64
	// roleChangedAt is the time of the last call of SetLeading.
	roleChangedAt time.Time
	sessions      map[string]*session // by worker id
	// leaseWait is how long a worker must be silent until its attempts have certainly stopped.
	leaseWait time.Duration
	pollers   map[string]chan struct{} // wake channels of the long polls, by worker id
}

// New returns a Leader that stays inactive until Run and SetLeading are called.
func New(config Config) *Leader {
	if config.AttemptLease == 0 {
		config.AttemptLease = defaultAttemptLease
	}
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeatInterval
	}
	l := &Leader{config: config, proposer: newProposer(config.Log), barriers: newBarrierBatcher(config.Log),
		leaseWait: config.AttemptLease + config.AttemptLease*leaseDriftPercent/100 + leaseSlack, plannerInbox: newPlannerInbox(), sessions: map[string]*session{}, pollers: map[string]chan struct{}{}}
	config.State.Subscribe(l.onStateChange)
	return l
}

// SetLeading records whether the replica leads, and in which term. It does not block.
// All lease timers restart, because the previous leader may have renewed leases up to now.
func (l *Leader) SetLeading(leading bool, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = leading
	l.term = term
	l.roleChangedAt = time.Now()
	l.sessions = map[string]*session{}
	l.wakeAllPollers()
	l.plannerInbox.signal()
}

// view returns the state after the last entry that was applied locally.
func (l *Leader) view() *domain.View { return l.config.State.View() }

func (l *Leader) isLeading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leading
}

// Run executes the background loops of the leader until ctx is done.
func (l *Leader) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){l.proposer.run, l.barriers.run, l.runPlanner, l.runLeaseChecks, l.runContracts, l.runExpiry} {
		running.Go(func() { loop(ctx) })
	}
	running.Wait()
	return ctx.Err()
}

// onStateChange is called on the control goroutine after each applied entry or restored snapshot that changed tasks or
// workers.
func (l *Leader) onStateChange(change domain.Change) {
	l.plannerInbox.addChange(change)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return
	}
	for _, t := range change.Tasks {
		l.wakePoller(t.GetWorker())
	}
}

// wakePoller wakes the long poll of a worker, if there is one. The caller holds l.mu.
func (l *Leader) wakePoller(workerID string) {
	if poller := l.pollers[workerID]; poller != nil {
		signal(poller)
	}
}

// wakeAllPollers wakes every long poll. The caller holds l.mu.
func (l *Leader) wakeAllPollers() {
	for _, poller := range l.pollers {
		signal(poller)
	}
}

// runExpiry regularly proposes the removal of old request records, ended tasks and lost workers.
func (l *Leader) runExpiry(ctx context.Context) {
	l.everyInterval(ctx, expireInterval, func() {
		before := time.Now().Add(-idempotency.RecordLifetime).UnixMilli()
		_, err := l.proposer.propose(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_ExpireRecords{
			ExpireRecords: &pb.ExpireRecords{RecordsBeforeUnixMs: before, TasksBeforeUnixMs: before}}})
		l.logFailure("expire records", err)
	})
}

// everyInterval calls f once per interval while this replica leads, until ctx is done.
func (l *Leader) everyInterval(ctx context.Context, interval time.Duration, f func()) {
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
