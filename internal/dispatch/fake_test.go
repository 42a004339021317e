package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// fakeWorker simulates a worker: tasks run under a lease, calls with an old fencing token are refused, and ends stay listed
// until they are acknowledged.
type fakeWorker struct {
	incarnation       submission.Incarnation
	born              time.Time
	fence             uint64
	lease             time.Time
	running           map[submission.Ref]*fakeRun
	ended             []Ended
	ends              uint64
	revoked           map[submission.Ref]uint32 // highest attempt that was stopped or has ended
	dropAnswers       bool                      // calls are carried out, but their answers are lost
	unreachable       bool                      // calls do not arrive
	startDelay        time.Duration             // if set, starts get no answer and are carried out after this delay
	holdLate          time.Duration             // if set, holds, also those that wait, get no answer and are carried out after this delay
	pollLate          time.Duration             // if set, the same for new holds that may wait
	startsReset       bool                      // the connections of starts break before they arrive
	startsRefused     bool                      // the connections of starts are refused
	stalled           bool                      // tasks make no progress
	wholePercents     bool                      // progress is stated in whole percents
	failing           bool                      // every task fails at once
	noRoom            bool                      // starts are refused with ErrNoRoom
	unavailable       bool                      // starts are refused with ErrUnavailable
	stopUnanswered    bool                      // stops do not arrive
	holdUnanswered    bool                      // holds do not arrive
	pollUnanswered    bool                      // holds that may wait do not arrive
	refuseAfterStart  bool                      // starts are carried out and answered with ErrUnavailable
	ignoreIncarnation bool                      // calls meant for another incarnation with the same id are carried out
	stopTime          time.Duration             // how long a stop takes
	starts            int                       // number of starts carried out
	peak              int                       // highest number of tasks running right after a start
	refusals          int                       // number of starts refused for lack of room
	throttle          map[submission.Ref]int    // last speed limit of each task, in percent
	serving           string                    // submission whose tasks serve requests and never end
	tailMs            float64                   // tail latency of the tasks that serve; 1000 if it is 0
	filling           string                    // submission whose tasks fill; they use 400 millicores at full speed
	tickets           []string                  // tickets of the starts, in order
	address           string                    // address in reports; the id if empty
	refusing          bool                      // connections are refused, and open ones are reset, as by a partition; see exit
	unsound           bool                      // crashes whatever starts
	overloaded        bool                      // holds are refused at once with ErrUnavailable
	holds             int                       // number of holds received
	holdDelay         time.Duration             // how long the answer to a hold is on its way
	closes            bool                      // it has closed its connections: holds that wait get ErrConnectionBroken
	endsListed        int                       // ends in an answer to a hold at most, 0 if there is no limit
	unreadable        map[submission.Ref]bool   // tasks whose rows in the list of running attempts cannot be decoded
	waitsFully        bool                      // a hold takes its whole wait, whatever it lists
	slow              bool                      // its clock runs 2 % slow
	lapsedAt          time.Time                 // when the lease last lapsed
	endedAt           map[uint64]time.Time      // when the ends with these numbers came
}

// hopeless is the prefix of the ids of submissions whose tasks fail at once on every worker.
const hopeless = "hopeless-"

type fakeRun struct {
	attempt uint32
	began   time.Time
	stopped time.Time // when the first stop arrived, zero if none has
}

// fakeWorkers is a set of simulated workers. It records violations of invariants, such as a task that runs twice at the same
// time.
type fakeWorkers struct {
	mu   sync.Mutex
	t    *testing.T
	work time.Duration // run time of a task
	byID map[string]*fakeWorker
	done map[submission.Ref]bool
	// doneOnceNoted is true if a task counts as done once the end of its run is acknowledged, unless the lease lapsed between the two, as
	// the platform judges it. Otherwise it counts as done at once.
	doneOnceNoted bool
	lastStarts    map[submission.Ref]time.Time // when the workers last started each task
	violations    []string
	// deadly lists the tasks that crash each worker that starts them.
	deadly map[submission.Ref]bool
	// crashDark is true if calls to a crashed worker hang. Otherwise its connections break.
	crashDark bool
	// relayed is true if calls that get no answer are given up a little before their deadline, as if other VMs made them.
	relayed bool
	// crashed is called without the lock after a worker has crashed.
	crashed func(f *fakeWorker)
	// crashes counts, for each task, the workers that crashed while it ran; startsByTask counts its starts.
	crashes, startsByTask map[submission.Ref]int
	// ticketValid, if set, tells whether a start may use a ticket.
	ticketValid func(ticket string) bool
}

// crashDelay is the time from the start of a deadly task until its worker crashes.
const crashDelay = 10 * time.Millisecond

func newFakeWorkers(t *testing.T, work time.Duration, ids ...string) *fakeWorkers {
	w := &fakeWorkers{t: t, work: work, byID: map[string]*fakeWorker{}, done: map[submission.Ref]bool{}, deadly: map[submission.Ref]bool{},
		crashes: map[submission.Ref]int{}, lastStarts: map[submission.Ref]time.Time{}, startsByTask: map[submission.Ref]int{}}
	for i, id := range ids {
		w.byID[id] = newFakeWorker(id, int64(i+1))
	}
	return w
}

func newFakeWorker(id string, bornUnixMs int64) *fakeWorker {
	return &fakeWorker{incarnation: submission.Incarnation{ID: id, BornUnixMs: bornUnixMs}, born: time.Now(), running: map[submission.Ref]*fakeRun{},
		revoked: map[submission.Ref]uint32{}, endedAt: map[uint64]time.Time{}, throttle: map[submission.Ref]int{}}
}

// crash ends an incarnation of a worker and all that runs on it, without notice.
func (w *fakeWorkers) crash(f *fakeWorker) {
	w.mu.Lock()
	if f.unreachable {
		w.mu.Unlock()
		return
	}
	for ref := range f.running {
		w.crashes[ref]++
	}
	clear(f.running)
	f.unreachable, f.refusing, f.closes = true, !w.crashDark, !w.crashDark
	w.mu.Unlock()
	if w.crashed != nil {
		w.crashed(f)
	}
}

// lasting is the prefix of the ids of submissions whose tasks serve requests and never end, on every worker.
const lasting = "lasting-"

// serves reports whether a task serves requests and never ends.
func (f *fakeWorker) serves(ref submission.Ref) bool {
	return ref.Submission == f.serving || strings.HasPrefix(ref.Submission, lasting)
}

// exit ends the process of the worker, which closes its connections; later ones are refused.
func (f *fakeWorker) exit() { f.refusing, f.closes = true, true }

func (f *fakeWorker) clockMs(at time.Time) int64 {
	return int64(float64(at.Sub(f.born).Milliseconds())*f.speed()) + 1000
}

// speed returns how fast the clock of the worker runs.
func (f *fakeWorker) speed() float64 {
	if f.slow {
		return 1 - clockDrift
	}
	return 1
}

// advance brings a worker up to the present time: it ends tasks whose lease has expired and tasks that have finished, failed
// or stopped.
func (w *fakeWorkers) advance(f *fakeWorker) {
	now := time.Now()
	for ref, run := range f.running {
		switch {
		case !f.lease.IsZero() && now.After(f.lease):
			w.finish(f, ref, run, pb.TaskEndKind_TASK_END_KIND_LOST)
		case !run.stopped.IsZero() && now.Sub(run.stopped) >= f.stopTime:
			w.finish(f, ref, run, pb.TaskEndKind_TASK_END_KIND_STOPPED)
		case f.failing || strings.HasPrefix(ref.Submission, hopeless):
			w.finish(f, ref, run, pb.TaskEndKind_TASK_END_KIND_FAILED)
		case !f.stalled && !f.serves(ref) && now.Sub(run.began) >= w.work:
			w.finish(f, ref, run, pb.TaskEndKind_TASK_END_KIND_DONE)
			f.endedAt[f.ends] = run.began.Add(w.work)
			w.done[ref] = w.done[ref] || !w.doneOnceNoted
		}
	}
}

func (w *fakeWorkers) finish(f *fakeWorker, ref submission.Ref, run *fakeRun, kind pb.TaskEndKind) {
	delete(f.running, ref)
	f.revoked[ref] = max(f.revoked[ref], run.attempt)
	f.ends++
	f.endedAt[f.ends] = time.Now()
	f.ended = append(f.ended, Ended{Number: f.ends, Task: ref, Attempt: run.attempt, Kind: kind})
}

// receive receives a call. It returns the worker, or an error if the call does not arrive or is refused.
func (w *fakeWorkers) receive(t Target) (*fakeWorker, error) {
	f := w.byID[t.Incarnation.ID]
	if f != nil && (f.refusing || t.Address != cmp.Or(f.address, t.Incarnation.ID)) {
		return nil, ErrConnectionRefused
	}
	if f == nil || f.unreachable {
		return nil, ErrNoAnswer
	}
	w.advance(f)
	if f.incarnation != t.Incarnation && !f.ignoreIncarnation {
		return nil, ErrOtherIncarnation
	}
	if t.Fence < f.fence {
		return nil, ErrFenced
	}
	f.fence = t.Fence
	return f, nil
}

// awaitTimeout blocks until the call times out if err is ErrNoAnswer, and returns err.
func (w *fakeWorkers) awaitTimeout(ctx context.Context, err error) error {
	if err != ErrNoAnswer {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && w.relayed {
		select {
		case <-time.After(time.Until(deadline) - 40*time.Millisecond):
		case <-ctx.Done():
		}
		return err
	}
	<-ctx.Done()
	return err
}

func (w *fakeWorkers) Start(ctx context.Context, c StartCall) (int64, error) {
	w.mu.Lock()
	f, err := w.receive(c.Target)
	if known := w.byID[c.Incarnation.ID]; known != nil && known.startsRefused {
		err = ErrConnectionRefused
	}
	if err != nil {
		w.mu.Unlock()
		return 0, w.awaitTimeout(ctx, err)
	}
	if f.startsReset {
		w.mu.Unlock()
		return 0, ErrNoAnswer
	}
	clock, delay := f.clockMs(time.Now()), f.startDelay
	if delay > 0 {
		w.carryOutLate(f, delay, func(f *fakeWorker) { _ = w.begin(f, c) })
		w.mu.Unlock()
		return 0, w.awaitTimeout(ctx, ErrNoAnswer)
	}
	err = w.begin(f, c)
	answerLost := f.dropAnswers
	if f.refuseAfterStart && err == nil {
		err = ErrUnavailable
	}
	w.mu.Unlock()
	if answerLost {
		return 0, w.awaitTimeout(ctx, ErrNoAnswer)
	}
	return clock, err
}

func (w *fakeWorkers) begin(f *fakeWorker, c StartCall) error {
	switch run := f.running[c.Task]; {
	case c.Fence < f.fence:
		return ErrFenced
	case run != nil && run.attempt == c.Attempt:
		w.extend(f, c.LeaseUntilMs)
		return nil
	case c.Attempt <= f.revoked[c.Task]:
		w.extend(f, c.LeaseUntilMs)
		return ErrOldAttempt
	case c.LeaseUntilMs <= f.clockMs(time.Now()):
		return ErrLeaseOver
	case w.ticketValid != nil && !w.ticketValid(c.Ticket):
		return ErrNoTicket
	case f.unavailable:
		return ErrUnavailable
	case f.noRoom:
		w.extend(f, c.LeaseUntilMs)
		f.refusals++
		return ErrNoRoom
	}
	w.extend(f, c.LeaseUntilMs)
	if run := f.running[c.Task]; run != nil {
		w.violations = append(w.violations, fmt.Sprintf("%v attempt %d is started on %s while attempt %d runs there", c.Task, c.Attempt, f.incarnation.ID, run.attempt))
	}
	delete(f.throttle, c.Task) // each attempt starts at full speed
	f.running[c.Task] = &fakeRun{attempt: c.Attempt, began: time.Now()}
	f.starts++
	w.startsByTask[c.Task]++
	w.lastStarts[c.Task] = time.Now()
	if w.deadly[c.Task] || f.unsound {
		time.AfterFunc(crashDelay, func() { w.crash(f) })
	}
	f.peak = max(f.peak, len(f.running))
	f.tickets = append(f.tickets, c.Ticket)
	for id, other := range w.byID {
		if other != f && other.running[c.Task] != nil {
			w.advance(other)
			if other.running[c.Task] != nil {
				w.violations = append(w.violations, fmt.Sprintf("%v runs on %s and on %s", c.Task, id, f.incarnation.ID))
			}
		}
	}
	if w.done[c.Task] {
		w.violations = append(w.violations, fmt.Sprintf("%v is started after it was done", c.Task))
	}
	return nil
}

// fakeLeaseMax is the longest lease in the tests, 10 s on a clock that is 2 % slow.
const fakeLeaseMax = 10200 * time.Millisecond

// extend extends the lease of a worker to a time on its clock, but to the longest lease at most.
func (w *fakeWorkers) extend(f *fakeWorker, untilMs int64) {
	until := f.born.Add(time.Duration(float64(untilMs-1000)/f.speed()) * time.Millisecond)
	if longest := time.Now().Add(fakeLeaseMax); until.After(longest) {
		until = longest
	}
	f.recordLapse()
	if until.After(f.lease) {
		f.lease = until
	}
}

// recordLapse records that the lease has lapsed if it has.
func (f *fakeWorker) recordLapse() {
	if !f.lease.IsZero() && time.Now().After(f.lease) {
		f.lapsedAt = f.lease
	}
}

// forget removes the first end that the worker lists, which was acknowledged.
func (w *fakeWorkers) forget(f *fakeWorker) {
	e := f.ended[0]
	f.ended = f.ended[1:]
	f.recordLapse()
	if at := f.endedAt[e.Number]; w.doneOnceNoted && e.Kind == pb.TaskEndKind_TASK_END_KIND_DONE && !f.lapsedAt.After(at) {
		w.done[e.Task] = true
		if w.lastStarts[e.Task].After(at) {
			w.violations = append(w.violations, fmt.Sprintf("%v was started again after it was done on %s", e.Task, f.incarnation.ID))
		}
	}
}

func (w *fakeWorkers) Stop(ctx context.Context, c StopCall) (int64, error) {
	w.mu.Lock()
	f, err := w.receive(c.Target)
	if f != nil && f.stopUnanswered {
		f, err = nil, ErrNoAnswer
	}
	if err == nil && f.dropAnswers {
		err = ErrNoAnswer
	}
	if f != nil {
		f.revoked[c.Task] = max(f.revoked[c.Task], c.Attempt)
		if run := f.running[c.Task]; run != nil && run.attempt <= c.Attempt && run.stopped.IsZero() {
			run.stopped = time.Now()
			w.advance(f)
		}
	}
	w.mu.Unlock()
	return 0, w.awaitTimeout(ctx, err)
}

func (w *fakeWorkers) Throttle(_ context.Context, c ThrottleCall) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f, err := w.receive(c.Target)
	if f != nil {
		f.throttle[c.Task] = c.Percent
	}
	return 0, err
}

// carryOutLate carries a call out after a delay, on the incarnation that runs then if that takes calls for others. The lock is held.
func (w *fakeWorkers) carryOutLate(f *fakeWorker, delay time.Duration, call func(*fakeWorker)) {
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if now := w.byID[f.incarnation.ID]; now != nil && now.ignoreIncarnation {
			f = now
		}
		w.advance(f)
		call(f)
	})
}

// latenessOf returns after how long a hold is carried out that gets no answer, 0 if it is carried out at once. f may be nil.
func (f *fakeWorker) latenessOf(c HoldCall, waits bool) time.Duration {
	switch {
	case f == nil:
		return 0
	case f.holdLate == 0 && c.WaitMs > 0 && !waits:
		return f.pollLate
	}
	return f.holdLate
}

func (w *fakeWorkers) Hold(ctx context.Context, c HoldCall) (HoldAnswer, error) {
	deadline := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	var waitsAt *fakeWorker
	for {
		w.mu.Lock()
		f, err := w.receive(c.Target)
		if late := f.latenessOf(c, waitsAt != nil); late > 0 {
			w.carryOutLate(f, late, func(f *fakeWorker) {
				if c.Fence >= f.fence {
					w.hold(f, c)
				}
			})
			f, err = nil, ErrNoAnswer
		}
		if f != nil && (f.holdUnanswered || f.pollUnanswered && c.WaitMs > 0) {
			f, err = nil, ErrNoAnswer
		}
		if err == nil && waitsAt != nil && f != waitsAt { // its connection ended with the process
			w.mu.Unlock()
			return HoldAnswer{}, ErrNoAnswer
		}
		if err == ErrConnectionRefused && waitsAt != nil {
			err = ErrConnectionBroken
		}
		if err != nil && waitsAt != nil && waitsAt.closes {
			err = ErrConnectionBroken
		}
		if err != nil {
			w.mu.Unlock()
			return HoldAnswer{}, w.awaitTimeout(ctx, err)
		}
		if waitsAt == nil {
			f.holds++
		}
		if f.overloaded {
			w.mu.Unlock()
			select {
			case <-time.After(time.Millisecond):
			case <-ctx.Done():
			}
			return HoldAnswer{}, ErrUnavailable
		}
		waitsAt = f
		answer, ready := w.hold(f, c)
		answerLost, delay := f.dropAnswers, f.holdDelay
		w.mu.Unlock()
		if answerLost {
			return HoldAnswer{}, w.awaitTimeout(ctx, ErrNoAnswer)
		}
		if ready || !time.Now().Before(deadline) {
			if time.Sleep(delay); ctx.Err() != nil {
				return HoldAnswer{}, ErrNoAnswer
			}
			return answer, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return HoldAnswer{}, ErrNoAnswer
		}
	}
}

func (w *fakeWorkers) hold(f *fakeWorker, c HoldCall) (HoldAnswer, bool) {
	if c.LeaseUntilMs > 0 {
		w.extend(f, c.LeaseUntilMs)
	}
	for len(f.ended) > 0 && f.ended[0].Number <= c.SeenEnd {
		w.forget(f)
	}
	answer := HoldAnswer{ClockMs: f.clockMs(time.Now()), BornUnixMs: f.incarnation.BornUnixMs, Ended: append([]Ended(nil), f.ended...)}
	if f.endsListed > 0 && len(answer.Ended) >= f.endsListed {
		answer.Ended, answer.MayLackEnds = answer.Ended[:f.endsListed], true
	}
	answer.HasUnreadable = len(f.unreadable) > 0
	for ref, run := range f.running {
		if f.unreadable[ref] {
			continue
		}
		percent := 0.0
		if !f.stalled {
			percent = 100 * float64(time.Since(run.began)) / float64(w.work)
		}
		if f.wholePercents {
			percent = math.Floor(percent)
		}
		figure := 1000.0
		switch {
		case f.serves(ref):
			percent, figure = servingPercent, cmp.Or(f.tailMs, figure)
		case ref.Submission == f.filling:
			figure = fakeFillingUse * float64(f.speedOf(ref)) / fullSpeed
		}
		answer.Running = append(answer.Running, Running{Task: ref, Attempt: run.attempt, Percent: percent, Figure: figure})
	}
	return answer, len(answer.Ended) > 0 && !f.waitsFully
}

// fakeFillingUse is what a filling task uses at full speed, in millicores.
const fakeFillingUse = 400

// speedOf returns the speed, in percent, at which a task may run.
func (f *fakeWorker) speedOf(ref submission.Ref) int {
	if percent, ok := f.throttle[ref]; ok {
		return percent
	}
	return fullSpeed
}

// update runs f while no call is being processed.
func (w *fakeWorkers) update(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}
