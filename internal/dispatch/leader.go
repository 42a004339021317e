package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/boottime"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Config configures a Leader.
type Config struct {
	State  *submission.State
	Log    Log
	Caller Caller
	Logger zerolog.Logger
	Bounds Bounds
	// Adviser and Platform may be nil if the deployment has no policy service or no maintenance API.
	Adviser  Adviser
	Platform Platform
	// Handover sends the leader's pressure model to the other control VMs, which pass it to SetPressureModel. It is nil if there
	// are no other control VMs.
	Handover func(*pb.PressureModel)
	// Holder is the id of this VM that orders to the platform carry.
	Holder string
	// Clock returns a monotonic time that includes the time for which the VM was suspended. Default boottime.Now.
	Clock func() time.Duration
}

// Bounds are the time limits that workers and their tasks keep to.
type Bounds struct {
	// LeaseMax is the longest lease that a worker accepts.
	LeaseMax time.Duration
	// Stop is the longest time that a worker takes to stop a task.
	Stop time.Duration
	// Gang is how long a started member of a gang waits for the other members.
	Gang time.Duration
	// MaxOverLimit is how long filling tasks may keep a service above its tail latency limit.
	MaxOverLimit time.Duration
	// ThrottleDelay is the time from a throttle call until the task works at the new speed.
	ThrottleDelay time.Duration
	// HolderLease is the time that must pass between an order of one leader to the platform and one of the next.
	HolderLease time.Duration
}

const (
	// targetLease is the length of the leases that the leader requests. A longer lease keeps tasks running through a longer
	// partition; a shorter one lets the tasks of a dead worker restart sooner. It leaves time to restart an endless task
	// within the 9 s after its last run that the platform allows.
	targetLease = 8 * time.Second
	// clockDrift is the fraction by which a worker's clock may run slow, as documented by the platform.
	clockDrift = 0.02
	// leaseMargin is added before a lease counts as expired, because calls may still be in transit.
	leaseMargin = 300 * time.Millisecond
	// tickInterval is the interval at which the loop checks for expired leases, overdue calls and other timeouts.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds a start, stop or throttle call.
	callTimeout = 900 * time.Millisecond
	// handoverInterval is the interval at which the leader sends its pressure model to the other control VMs.
	handoverInterval = 2 * time.Second
	// cleanupInterval is the interval at which records of ended submissions and workers are removed from memory.
	cleanupInterval = 5 * time.Second
	// maxConcurrentCalls bounds the number of concurrent calls in the pool. The long polls of the sessions run outside it.
	maxConcurrentCalls = 256
)

// Leader schedules tasks and calls the workers while this VM leads. The event loop owns all fields, except those whose
// comment says otherwise.
type Leader struct {
	cfg    Config
	log    zerolog.Logger
	lease  time.Duration
	events chan func()
	pool   pond.Pool
	done   chan struct{}
	stop   context.CancelFunc

	mu            sync.Mutex // guards writes to term and reads of it outside the loop, and receivedModel
	term          uint64     // 0 while this VM does not lead
	receivedModel *pb.PressureModel

	ctx            context.Context // cancelled when the current term ends
	cancel         context.CancelFunc
	termStart      time.Duration // when this VM began to lead in the current term
	sessions       map[string]*session
	sessionsOpened uint64 // number of sessions opened in the last term that was led, countedTerm
	countedTerm    uint64
	runs           map[submission.Ref]*run
	pendingChanges []*pb.SubmissionChange                      // changes that are not proposed yet
	callbacks      []func(result submission.Result, err error) // one for each pending change
	inFlight       bool                                        // an entry is being committed
	dirty          bool                                        // a new plan has been requested
	nextPlan       time.Duration                               // earliest time of the next plan
	nextCleanup    time.Duration                               // earliest time of the next removal of old records
	// uncommittedGone holds the worker incarnations that are gone and whose commit of this has failed.
	uncommittedGone []*pb.WorkerGone
	// unexplainedUntil is the end of the time in which crashes prove nothing against a task, because workers crash by themselves.
	unexplainedUntil time.Duration
	// unexplainedAt is when a worker last crashed without a suspect, 0 if none has.
	unexplainedAt time.Duration
	calmWaits     map[submission.Ref]calmWait
	// lastUsageLog is when the usage of the pools was last logged.
	lastUsageLog time.Duration
	// ignoredLogged is when an ignored report was last logged.
	ignoredLogged time.Duration
	// lastHandover is when the pressure model was last sent to the other control VMs.
	lastHandover time.Duration
	// lastEviction is when a plan last evicted a task to make room for urgent work.
	lastEviction    time.Duration
	avoid           map[submission.Ref]*avoidedWorkers
	uncertainStarts map[submission.Ref]*uncertainStart
	// strayArrivals holds, by worker id, by when the calls of closed sessions have arrived that may have reached a later incarnation.
	strayArrivals map[string]time.Duration
	begun         begunSubmissions                 // guards itself
	lastRuns      map[submission.Ref]time.Duration // when each endless task was last known to run
	views         map[string]*steps.Worker         // planner views by worker id, reused by each plan
	health        map[string]*workerHealth
	pressure      *steps.Pressure
	finiteDemand  *steps.FiniteDemand
	waits         map[stepKey]*waitRecord
	occurrences   map[string]*openOccurrences // by submission id
	advice        map[stepKey]*stepAdvice
	waves         waveState
	successors    successorSearch
	former        map[string]*formerWorker // by worker id
	formerCalls   int                      // number of them that are being called
	late          lateCalls
	openClaims    map[claim]bool // claims that are verified by further calls
	workers       atomic.Int64   // number of sessions, for readers outside the loop
	ended         []string       // ids of ended submissions whose tasks have to be stopped
	endedMu       sync.Mutex     // guards ended
}

// New returns a Leader and starts its event loop. It schedules nothing until Lead is called.
func New(cfg Config) *Leader {
	if cfg.Clock == nil {
		cfg.Clock = boottime.Now
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Leader{
		cfg: cfg, log: cfg.Logger, lease: min(targetLease, cfg.Bounds.LeaseMax), events: make(chan func(), 1024),
		pool: pond.NewPool(maxConcurrentCalls, pond.WithContext(ctx)), done: make(chan struct{}), stop: stop,
	}
	l.reset()
	go l.loop(ctx)
	return l
}

// Close ends the current term, cancels all calls and waits for the event loop to return.
func (l *Leader) Close() {
	l.stop()
	<-l.done
}

// Term returns the term in which this VM leads, or 0.
func (l *Leader) Term() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// Workers returns the number of workers with which the leader has a session.
func (l *Leader) Workers() int { return int(l.workers.Load()) }

// Lead starts leading in a term. By then the state must contain every entry committed in earlier terms.
func (l *Leader) Lead(term uint64) { l.post(func() { l.beginTerm(term) }) }

// SetPressureModel stores the pressure model of the current leader. If this VM becomes the leader, it starts from that
// model.
func (l *Leader) SetPressureModel(model *pb.PressureModel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedModel = model
}

// Resign stops leading, whatever the term is.
func (l *Leader) Resign() { l.post(l.endTerm) }

// SubmissionsEnded tells the leader to stop the remaining tasks of submissions that have ended. It does not block.
func (l *Leader) SubmissionsEnded(ids []string) {
	l.endedMu.Lock()
	l.ended = append(l.ended, ids...)
	l.endedMu.Unlock()
	select {
	case l.events <- func() { l.dirty = true }:
	default: // the event queue is full, so the loop will run and check ended anyway
	}
}

func (l *Leader) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

func (l *Leader) reset() {
	l.sessions, l.runs = map[string]*session{}, map[submission.Ref]*run{}
	l.advice, l.waves = map[stepKey]*stepAdvice{}, waveState{orders: map[string]upkeep{}}
	l.pressure, l.finiteDemand, l.waits = steps.NewPressure(), &steps.FiniteDemand{}, map[stepKey]*waitRecord{}
	l.avoid, l.health = map[submission.Ref]*avoidedWorkers{}, map[string]*workerHealth{}
	l.uncertainStarts, l.views = map[submission.Ref]*uncertainStart{}, map[string]*steps.Worker{}
	l.strayArrivals = map[string]time.Duration{}
	l.occurrences = map[string]*openOccurrences{}
	l.lastRuns, l.calmWaits = map[submission.Ref]time.Duration{}, map[submission.Ref]calmWait{}
	l.unexplainedUntil, l.unexplainedAt = 0, 0
	l.successors, l.former = successorSearch{missing: map[string]missingSuccessor{}}, map[string]*formerWorker{}
	l.formerCalls, l.late = 0, lateCalls{}
	l.openClaims = map[claim]bool{}
	l.begun.clear()
	l.pendingChanges, l.callbacks, l.uncommittedGone, l.inFlight, l.dirty = nil, nil, nil, false, false
}

func (l *Leader) loop(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.endTerm()
			return
		case f := <-l.events:
			f()
			l.drainEvents()
		case <-ticker.C:
			l.tick()
		}
		if l.leads() {
			l.advance()
		}
		l.workers.Store(int64(len(l.sessions)))
	}
}

// drainEvents handles all queued events, so that a single plan and a single log entry cover them.
func (l *Leader) drainEvents() {
	for {
		select {
		case f := <-l.events:
			f()
		default:
			return
		}
	}
}

func (l *Leader) leads() bool { return l.term != 0 }

func (l *Leader) beginTerm(term uint64) {
	if l.term == term {
		return
	}
	l.endTerm()
	l.reset()
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.countSessionsIn(term)
	l.termStart = l.cfg.Clock()
	l.setTerm(term)
	l.importPressureModel()
	l.dirty = true
	l.log.Info().Str("event", "leading").Uint64("term", term).Msg("this VM is now the leader and calls the workers")
	l.cfg.State.View(func(s *submission.State) {
		for _, w := range s.Workers() {
			if !w.GetGone() {
				l.openSession(s, w)
			}
		}
		l.takeOverUncertainStarts(s)
		l.takeOverMissing(s)
		l.takeOverEnded(s)
		l.waves.mayOrderAt = l.firstOrderAt(len(s.Waves()) > 0)
	})
}

func (l *Leader) endTerm() {
	if !l.leads() {
		return
	}
	l.log.Info().Str("event", "not-leading").Uint64("term", l.term).Msg("this VM is no longer the leader")
	l.cancel()
	for _, f := range l.callbacks {
		f(submission.Result{}, errResigned)
	}
	l.reset()
	l.setTerm(0)
}

// importPressureModel initializes the pressure model from the one received from the previous leader.
func (l *Leader) importPressureModel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.receivedModel != nil {
		l.pressure.Import(l.receivedModel)
		l.log.Info().Str("event", "learnt").Int("pairs", len(l.receivedModel.GetPairs())).Msg("starting from the pressure model of the previous leader")
	}
}

// sendPressureModel sends the pressure model to the other control VMs and keeps a copy for a later term of this VM.
func (l *Leader) sendPressureModel(now time.Duration) {
	if l.cfg.Handover == nil || now-l.lastHandover < handoverInterval {
		return
	}
	l.lastHandover = now
	if model := l.pressure.Export(); len(model.GetPairs()) > 0 {
		l.cfg.Handover(model)
		l.SetPressureModel(model)
	}
}

func (l *Leader) setTerm(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
}

var errResigned = errors.New("this VM no longer leads; ask the new leader")

// advance makes a plan if one is due and commits the queued changes. It also plans while ends of tasks are queued, because
// with hundreds of workers some end is almost always queued. A plan is made only if all of its starts fit into the next
// entry, since the next plan must take them into account.
func (l *Leader) advance() {
	l.stopEnded()
	if l.inFlight {
		return
	}
	if len(l.pendingChanges) <= maxEntryChanges-maxStarts {
		l.plan()
	}
	if len(l.pendingChanges) > 0 {
		l.commit()
	}
}

// tick handles timeouts: it checks leases, repeats calls, continues maintenance waves and removes old records.
func (l *Leader) tick() {
	if !l.leads() {
		return
	}
	now := l.cfg.Clock()
	for _, s := range l.sessions {
		l.checkLease(s, now)
		l.closeIfSilent(s, now)
		l.checkDrain(s, now)
		l.askLeaving(s, now)
		l.endLeave(s, now)
	}
	for ref, r := range l.runs {
		l.retryCalls(ref, r, now)
	}
	gone := l.uncommittedGone
	l.uncommittedGone = nil
	for _, g := range gone {
		l.commitWorkerGone(g)
	}
	l.repeatRegistrations()
	l.advanceWaves(now)
	l.searchSuccessors(now)
	l.callFormerWorkers(now)
	l.sendPressureModel(now)
	if now >= l.nextCleanup {
		l.nextCleanup = now + cleanupInterval
		l.cleanUpAdvice()
		l.cleanUpTasks()
		l.cleanUpUncertainStarts(now)
		for id := range l.sessions { // a worker counts as gone once another one has registered with its address
			l.closeStale(id)
		}
	}
	l.dirty = true
}

// Wake requests a new plan after the state has changed. It does not block.
func (l *Leader) Wake() {
	select {
	case l.events <- func() { l.dirty = true }:
	default: // the event queue is full; ticks also request a plan
	}
}
