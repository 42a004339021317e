package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/boottime"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Log commits entries of the group. It is implemented by replica.Group.
type Log interface {
	Propose(ctx context.Context, entry []byte) (any, error)
	ReadBarrier(ctx context.Context) error
}

// Config configures a Leader.
type Config struct {
	State  *submission.State
	Log    Log
	Caller Caller
	Logger zerolog.Logger
	Bounds Bounds
	// Adviser and Platform are nil where the deployment has none.
	Adviser  Adviser
	Platform Platform
	// Handover passes what the leader has learnt to the other control VMs, which call Learnt; nil if there are none.
	Handover func(*pb.PressureModel)
	// Holder names this VM in orders to the platform.
	Holder string
	// Clock counts suspensions of the VM. Default boottime.Now.
	Clock func() time.Duration
}

// Bounds are the times that workers keep to.
type Bounds struct {
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// Stop is the longest time that a stop takes.
	Stop time.Duration
	// Gang is how long a member of a gang waits for the others.
	Gang time.Duration
	// Harm is how long a service may exceed its limit because of filling tasks.
	Harm time.Duration
	// Pace is the time until a changed share takes effect.
	Pace time.Duration
}

const (
	// leaseWanted is the lease that this system asks for. A longer one keeps tasks running through a partition, a
	// shorter one frees the tasks of a dead worker sooner.
	leaseWanted = 9 * time.Second
	// clockDrift is the share by which a worker's clock may be slow, from the platform's pages.
	clockDrift = 0.02
	// leaseMargin is added to the time after which a lease counts as over, for calls on their way.
	leaseMargin = 300 * time.Millisecond
	// tickInterval bounds the time until an event without a message of its own is noticed.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds a start, stop or throttle call.
	callTimeout = 900 * time.Millisecond
	// commitTimeout bounds the wait for a commit; a leader without a quorum steps down sooner.
	commitTimeout = 5 * time.Second
	// handoverInterval is the time between two copies of what the leader has learnt.
	handoverInterval = 2 * time.Second
	// tidyInterval is the time between two searches for records of what has ended.
	tidyInterval = 5 * time.Second
	// callWorkers bounds the calls in progress.
	callWorkers = 256
	// entryChanges bounds the changes in one log entry.
	entryChanges = 512
)

// Leader runs the work of the leader while this VM leads. Its loop owns all fields that no comment excepts.
type Leader struct {
	cfg    Config
	log    zerolog.Logger
	lease  time.Duration
	events chan func()
	pool   pond.Pool
	done   chan struct{}
	stop   context.CancelFunc

	mu     sync.Mutex // guards term for readers outside the loop, and learnt
	term   uint64     // 0 while this VM does not lead
	learnt *pb.PressureModel

	ctx      context.Context // of the current term
	cancel   context.CancelFunc
	since    time.Duration // when the current term began here
	sessions map[string]*session
	runs     map[submission.Ref]*run
	queue    []*pb.SubmissionChange
	after    []func(result submission.Result, err error)
	inFlight bool
	dirty    bool
	planAt   time.Duration // not before this is the next plan made
	tidyAt   time.Duration
	// handedAt is when what was learnt was last handed to the other control VMs.
	handedAt time.Duration
	// crowdedAt is when a task was last displaced for urgent work.
	crowdedAt time.Duration
	avoid     map[submission.Ref]*avoidance
	unsure    map[submission.Ref]*unsureRun
	views     map[string]*steps.Worker // of the last plan, by worker
	quality   map[string]*quality
	pressure  *steps.Pressure
	waits     map[stepOf]*waitRecord
	advice    map[stepOf]*advised
	waves     waveWork
	workers   atomic.Int64 // sessions, for readers outside the loop
	ended     []string
	endedMu   sync.Mutex // guards ended
}

// New returns a Leader and starts its loop. It does nothing until Lead is called.
func New(cfg Config) *Leader {
	if cfg.Clock == nil {
		cfg.Clock = boottime.Now
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Leader{
		cfg: cfg, log: cfg.Logger, lease: min(leaseWanted, cfg.Bounds.LeaseMax), events: make(chan func(), 1024),
		pool: pond.NewPool(callWorkers, pond.WithContext(ctx)), done: make(chan struct{}), stop: stop,
	}
	l.reset()
	go l.loop(ctx)
	return l
}

// Close ends the loop and all calls.
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

// Workers returns the number of workers that this VM calls.
func (l *Leader) Workers() int { return int(l.workers.Load()) }

// Lead begins to lead in a term. The state must contain everything committed before the term.
func (l *Leader) Lead(term uint64) { l.post(func() { l.begin(term) }) }

// SetPressureModel takes what the present leader has learnt. This VM starts from it when it leads next.
func (l *Leader) SetPressureModel(model *pb.PressureModel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learnt = model
}

// Resign ends the work of the leader, whatever the term.
func (l *Leader) Resign() { l.post(l.end) }

// SubmissionsEnded tells the leader which submissions have ended, so that their tasks are stopped. It does not block.
func (l *Leader) SubmissionsEnded(ids []string) {
	l.endedMu.Lock()
	l.ended = append(l.ended, ids...)
	l.endedMu.Unlock()
	select {
	case l.events <- func() { l.dirty = true }:
	default: // the loop is busy and looks at ended anyway
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
	l.advice, l.waves = map[stepOf]*advised{}, waveWork{down: map[string]submission.Incarnation{}}
	l.pressure, l.waits = steps.NewPressure(), map[stepOf]*waitRecord{}
	l.avoid, l.quality = map[submission.Ref]*avoidance{}, map[string]*quality{}
	l.unsure, l.views = map[submission.Ref]*unsureRun{}, map[string]*steps.Worker{}
	l.queue, l.after, l.inFlight, l.dirty = nil, nil, false, false
}

func (l *Leader) loop(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.end()
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

// drainEvents handles what waits already, so that one plan and one entry serve all of it.
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

func (l *Leader) begin(term uint64) {
	if l.term == term {
		return
	}
	l.end()
	l.reset()
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.since = l.cfg.Clock()
	l.setTerm(term)
	l.takeLearnt()
	l.dirty = true
	l.log.Info().Str("event", "leading").Uint64("term", term).Msg("this VM leads and calls the workers")
	l.cfg.State.View(func(s *submission.State) {
		for _, w := range s.Workers() {
			if !w.GetGone() {
				l.openSession(w)
			}
		}
	})
}

func (l *Leader) end() {
	if !l.leads() {
		return
	}
	l.log.Info().Str("event", "not-leading").Uint64("term", l.term).Msg("this VM leads no longer")
	l.cancel()
	for _, f := range l.after {
		f(submission.Result{}, errResigned)
	}
	l.reset()
	l.setTerm(0)
}

// takeLearnt starts from what the former leader has learnt.
func (l *Leader) takeLearnt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learnt != nil {
		l.pressure.Import(l.learnt)
		l.log.Info().Str("event", "learnt").Int("pairs", len(l.learnt.GetPairs())).Msg("continues with the pressure that the former leader has learnt")
	}
}

// handOver sends what this leader has learnt to the other control VMs, and keeps it for its own next term.
func (l *Leader) handOver(now time.Duration) {
	if l.cfg.Handover == nil || now-l.handedAt < handoverInterval {
		return
	}
	l.handedAt = now
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

// advance plans and sends what waits to be committed. It plans also while ends wait: on hundreds of workers there is
// always one. All starts of a plan go into the next entry, since the next plan must see them.
func (l *Leader) advance() {
	l.stopEnded()
	if l.inFlight {
		return
	}
	if len(l.queue) <= entryChanges-maxStarts {
		l.plan()
	}
	if len(l.queue) > 0 {
		l.commit()
	}
}

// change queues a change. after is called on the loop with its result.
func (l *Leader) change(c *pb.SubmissionChange, after func(submission.Result, error)) {
	l.queue = append(l.queue, c)
	l.after = append(l.after, after)
}

// commit proposes the queued changes as one entry.
func (l *Leader) commit() {
	n := min(len(l.queue), entryChanges)
	changes, after := l.queue[:n:n], l.after[:n:n]
	l.queue, l.after = l.queue[n:], l.after[n:]
	l.inFlight = true
	ctx, term := l.ctx, l.term
	go func() {
		began := time.Now()
		results, err := commitEntry(ctx, l.cfg.Log, &pb.SubmissionEntry{Changes: changes, DecidedTerm: term})
		commitSeconds.UpdateDuration(began)
		l.post(func() {
			if l.term != term {
				return
			}
			l.inFlight = false
			l.dirty = true
			for i, f := range after {
				if err != nil {
					f(submission.Result{}, err)
					continue
				}
				f(results[i], nil)
			}
		})
	}()
}

// Commit proposes changes that hold in any term as one entry and returns their results. Errors are those of
// replica.Group.Propose.
func Commit(ctx context.Context, log Log, changes ...*pb.SubmissionChange) ([]submission.Result, error) {
	return commitEntry(ctx, log, &pb.SubmissionEntry{Changes: changes})
}

func commitEntry(ctx context.Context, log Log, e *pb.SubmissionEntry) ([]submission.Result, error) {
	e.UnixMs = time.Now().UnixMilli()
	entry, err := proto.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := log.Propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	switch r := result.(type) {
	case []submission.Result:
		return r, nil
	case error:
		return nil, fmt.Errorf("apply changes: %w", r)
	default:
		return nil, fmt.Errorf("apply changes: result of type %T", result)
	}
}

// tick looks for leases that are over and for calls to repeat.
func (l *Leader) tick() {
	if !l.leads() {
		return
	}
	now := l.cfg.Clock()
	for _, s := range l.sessions {
		l.checkLease(s, now)
		l.checkSilence(s, now)
	}
	for ref, r := range l.runs {
		l.repeatCalls(ref, r, now)
	}
	l.advanceWaves(now)
	l.handOver(now)
	if now >= l.tidyAt {
		l.tidyAt = now + tidyInterval
		l.forgetAdvice()
		l.forgetTasks()
		l.forgetUnsure(now)
		for id := range l.sessions { // a worker that took over the address of another has ended its life
			l.closeStale(id)
		}
	}
	l.dirty = true
}

// Wake makes the leader plan again soon. It does not block.
func (l *Leader) Wake() {
	select {
	case l.events <- func() { l.dirty = true }:
	default: // the loop is busy and plans anyway
	}
}

// forgetTasks drops what is known of tasks that have ended.
func (l *Leader) forgetTasks() {
	l.cfg.State.View(func(state *submission.State) {
		alive := func(ref submission.Ref) bool {
			sub := state.Submission(ref.Submission)
			return sub != nil && sub.Active()
		}
		l.pressure.Keep(alive)
		for ref := range l.avoid {
			if !alive(ref) {
				delete(l.avoid, ref)
			}
		}
		for id := range l.views {
			if state.Workers()[id] == nil {
				delete(l.views, id)
			}
		}
		for ref, r := range l.runs {
			if w := state.Workers()[r.on.ID]; w == nil || w.Incarnation() != r.on || w.GetGone() {
				delete(l.runs, ref)
			}
		}
	})
}
