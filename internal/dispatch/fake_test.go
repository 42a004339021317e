package dispatch

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// fakeLog commits every entry after a sync's time.
type fakeLog struct {
	mu    sync.Mutex
	state *submission.State
	index uint64
	term  uint64
}

func (f *fakeLog) Propose(_ context.Context, entry []byte) (any, error) {
	time.Sleep(6 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	return f.state.Apply(f.index, f.term, entry), nil
}

func (f *fakeLog) ReadBarrier(context.Context) error { return nil }

// fakeWorker runs tasks as a worker does: under a lease, by the highest fencing token, with ends that stay listed until
// they are noted.
type fakeWorker struct {
	life     submission.Incarnation
	born     time.Time
	fence    uint64
	lease    time.Time
	running  map[submission.Ref]*fakeRun
	ended    []Ended
	ends     uint64
	barred   map[submission.Ref]uint32 // highest attempt that was stopped or ended
	silent   bool                      // calls are carried out, answers are lost
	cut      bool                      // calls do not arrive
	lateFor  time.Duration             // starts get no answer and are carried out after this
	stuck    bool                      // tasks make no progress
	failing  bool                      // every task fails at once
	noRoom   bool
	shedding bool          // starts are carried out and answered as refused
	byIDOnly bool          // calls meant for another life under the same id are carried out
	stopFor  time.Duration // how long a stop takes
	starts   int
	refusals int
	throttle map[submission.Ref]int
	tickets  []string // of the starts, in order
}

type fakeRun struct {
	attempt uint32
	began   time.Time
	stopped time.Time // when a stop arrived, zero if none has
}

// workers is a set of fake workers that notes what no history may show.
type workers struct {
	mu      sync.Mutex
	t       *testing.T
	work    time.Duration
	byID    map[string]*fakeWorker
	done    map[submission.Ref]bool
	trouble []string
}

func newWorkers(t *testing.T, work time.Duration, ids ...string) *workers {
	w := &workers{t: t, work: work, byID: map[string]*fakeWorker{}, done: map[submission.Ref]bool{}}
	for i, id := range ids {
		w.byID[id] = &fakeWorker{life: submission.Incarnation{ID: id, BornUnixMs: int64(i + 1)}, born: time.Now(), running: map[submission.Ref]*fakeRun{},
			barred: map[submission.Ref]uint32{}, throttle: map[submission.Ref]int{}}
	}
	return w
}

func (f *fakeWorker) clockMs(at time.Time) int64 { return at.Sub(f.born).Milliseconds() + 1000 }

// settle brings a worker up to date: leases that are over and tasks that have finished.
func (w *workers) settle(f *fakeWorker) {
	now := time.Now()
	for ref, run := range f.running {
		switch {
		case !f.lease.IsZero() && now.After(f.lease):
			w.finish(f, ref, run, pb.TaskEndKind_TASK_END_KIND_LOST)
		case !run.stopped.IsZero() && now.Sub(run.stopped) >= f.stopFor:
			w.finish(f, ref, run, pb.TaskEndKind_TASK_END_KIND_STOPPED)
		case f.failing:
			w.finish(f, ref, run, pb.TaskEndKind_TASK_END_KIND_FAILED)
		case !f.stuck && now.Sub(run.began) >= w.work:
			w.finish(f, ref, run, pb.TaskEndKind_TASK_END_KIND_DONE)
			w.done[ref] = true
		}
	}
}

func (w *workers) finish(f *fakeWorker, ref submission.Ref, run *fakeRun, kind pb.TaskEndKind) {
	delete(f.running, ref)
	f.barred[ref] = max(f.barred[ref], run.attempt)
	f.ends++
	f.ended = append(f.ended, Ended{Number: f.ends, Task: ref, Attempt: run.attempt, Kind: kind})
}

// enter begins a call: it returns the worker, or an error if the call does not arrive or is refused.
func (w *workers) enter(t Target) (*fakeWorker, error) {
	f := w.byID[t.Incarnation.ID]
	if f == nil || f.cut {
		return nil, ErrNoAnswer
	}
	w.settle(f)
	if f.life != t.Incarnation && !f.byIDOnly {
		return nil, ErrOtherIncarnation
	}
	if t.Fence < f.fence {
		return nil, ErrFenced
	}
	f.fence = t.Fence
	return f, nil
}

// wait lets a call without an answer run into its timeout.
func (w *workers) wait(ctx context.Context, err error) error {
	if err == ErrNoAnswer {
		<-ctx.Done()
	}
	return err
}

func (w *workers) Start(ctx context.Context, c StartCall) (int64, error) {
	w.mu.Lock()
	f, err := w.enter(c.Target)
	if err != nil {
		w.mu.Unlock()
		return 0, w.wait(ctx, err)
	}
	clock, lateFor := f.clockMs(time.Now()), f.lateFor
	if lateFor > 0 {
		time.AfterFunc(lateFor, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.settle(f)
			_ = w.begin(f, c)
		})
		w.mu.Unlock()
		return 0, w.wait(ctx, ErrNoAnswer)
	}
	err = w.begin(f, c)
	silent := f.silent
	if f.shedding && err == nil {
		err = ErrUnavailable
	}
	w.mu.Unlock()
	if silent {
		return 0, w.wait(ctx, ErrNoAnswer)
	}
	return clock, err
}

func (w *workers) begin(f *fakeWorker, c StartCall) error {
	switch run := f.running[c.Task]; {
	case c.Fence < f.fence:
		return ErrFenced
	case run != nil && run.attempt == c.Attempt:
		return nil
	case c.Attempt <= f.barred[c.Task]:
		return ErrOldAttempt
	case c.LeaseUntilMs <= f.clockMs(time.Now()):
		return ErrLeaseOver
	case f.noRoom:
		f.refusals++
		return ErrNoRoom
	}
	w.extend(f, c.LeaseUntilMs)
	if run := f.running[c.Task]; run != nil {
		w.trouble = append(w.trouble, fmt.Sprintf("%v attempt %d is started on %s while attempt %d runs there", c.Task, c.Attempt, f.life.ID, run.attempt))
	}
	f.running[c.Task] = &fakeRun{attempt: c.Attempt, began: time.Now()}
	f.starts++
	f.tickets = append(f.tickets, c.Ticket)
	for id, other := range w.byID {
		if other != f && other.running[c.Task] != nil {
			w.settle(other)
			if other.running[c.Task] != nil {
				w.trouble = append(w.trouble, fmt.Sprintf("%v runs on %s and on %s", c.Task, id, f.life.ID))
			}
		}
	}
	if w.done[c.Task] {
		w.trouble = append(w.trouble, fmt.Sprintf("%v is started after it was done", c.Task))
	}
	return nil
}

func (w *workers) extend(f *fakeWorker, untilMs int64) {
	until := f.born.Add(time.Duration(untilMs-1000) * time.Millisecond)
	if until.After(f.lease) {
		f.lease = until
	}
}

func (w *workers) Stop(ctx context.Context, c StopCall) (int64, error) {
	w.mu.Lock()
	f, err := w.enter(c.Target)
	if err == nil && f.silent {
		err = ErrNoAnswer
	}
	if f != nil {
		f.barred[c.Task] = max(f.barred[c.Task], c.Attempt)
		if run := f.running[c.Task]; run != nil && run.attempt <= c.Attempt && run.stopped.IsZero() {
			run.stopped = time.Now()
			w.settle(f)
		}
	}
	w.mu.Unlock()
	return 0, w.wait(ctx, err)
}

func (w *workers) Throttle(_ context.Context, c ThrottleCall) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f, err := w.enter(c.Target)
	if f != nil {
		f.throttle[c.Task] = c.Percent
	}
	return 0, err
}

func (w *workers) Hold(ctx context.Context, c HoldCall) (HoldAnswer, error) {
	deadline := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for {
		w.mu.Lock()
		f, err := w.enter(c.Target)
		if err != nil {
			w.mu.Unlock()
			return HoldAnswer{}, w.wait(ctx, err)
		}
		answer, ready := w.hold(f, c)
		silent := f.silent
		w.mu.Unlock()
		if silent {
			return HoldAnswer{}, w.wait(ctx, ErrNoAnswer)
		}
		if ready || !time.Now().Before(deadline) {
			return answer, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return HoldAnswer{}, ErrNoAnswer
		}
	}
}

func (w *workers) hold(f *fakeWorker, c HoldCall) (HoldAnswer, bool) {
	if c.LeaseUntilMs > 0 {
		w.extend(f, c.LeaseUntilMs)
	}
	for len(f.ended) > 0 && f.ended[0].Number <= c.SeenEnd {
		f.ended = f.ended[1:]
	}
	answer := HoldAnswer{ClockMs: f.clockMs(time.Now()), BornUnixMs: f.life.BornUnixMs, Ended: append([]Ended(nil), f.ended...)}
	for ref, run := range f.running {
		percent := 0.0
		if !f.stuck {
			percent = 100 * float64(time.Since(run.began)) / float64(w.work)
		}
		answer.Running = append(answer.Running, Running{Task: ref, Attempt: run.attempt, Percent: percent, Figure: 1000})
	}
	return answer, len(answer.Ended) > 0
}

// change runs f while no call is in progress.
func (w *workers) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// rig is a leader with its state and workers.
type rig struct {
	t       *testing.T
	state   *submission.State
	log     *fakeLog
	workers *workers
	leader  *Leader
	start   time.Time
	// adviser and platform are taken up by newLeader.
	adviser  Adviser
	platform Platform
}

func newRig(t *testing.T, work time.Duration, ids ...string) *rig {
	r := &rig{t: t, workers: newWorkers(t, work, ids...), start: time.Now()}
	r.state = submission.New(time.Minute.Milliseconds(), func(ended []string) {
		if r.leader != nil && len(ended) > 0 {
			r.leader.SubmissionsEnded(ended)
		}
	})
	r.log = &fakeLog{state: r.state}
	r.newLeader()
	r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 1,
		Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool", Attempts: 3, Stretch: 2, ObjectiveMs: 1000, TimeoutMs: 1}},
		Pools:  []*pb.Pool{{Name: "pool", Guards: true}}}}})
	return r
}

func (r *rig) newLeader() {
	r.leader = New(Config{State: r.state, Log: r.log, Caller: r.workers, Logger: testLogger(), Adviser: r.adviser, Platform: r.platform, Holder: "vm",
		Clock:  func() time.Duration { return time.Since(r.start) + time.Hour },
		Bounds: Bounds{LeaseMax: 10 * time.Second, Stop: time.Second, Gang: 3 * time.Second, Harm: 4 * time.Second, Pace: 100 * time.Millisecond}})
}

// lead makes the leader lead in a term, in which the log then commits.
func (r *rig) lead(term uint64) {
	r.log.mu.Lock()
	r.log.term = term
	r.log.mu.Unlock()
	r.leader.Lead(term)
}

func (r *rig) commit(changes ...*pb.SubmissionChange) {
	entry, err := proto.Marshal(&pb.SubmissionEntry{UnixMs: time.Now().UnixMilli(), Changes: changes})
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := r.log.Propose(context.Background(), entry); err != nil {
		r.t.Fatal(err)
	}
	r.leader.Wake()
}

func (r *rig) report(id string, sequence uint64) {
	var f *fakeWorker
	r.workers.change(func() { f = r.workers.byID[id] })
	w := &pb.PoolWorker{Id: id, BornUnixMs: f.life.BornUnixMs, Pool: "pool", Address: id, FailureDomain: "d", Rack: "r",
		Vm:       "vm-" + id,
		Capacity: &pb.Resources{Millicores: 4000, MemoryBytes: 100}}
	if err := r.leader.Report(context.Background(), &pb.PoolReport{Worker: w, Sequence: sequence, ClockMs: f.clockMs(time.Now())}); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) submit(id string, tasks uint32, change func(*pb.Step)) {
	step := &pb.Step{Count: tasks, Size: &pb.Resources{Millicores: 1000, MemoryBytes: 1}, EstimateMs: 1000}
	if change != nil {
		change(step)
	}
	r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{Queue: "h /",
		Spec: &pb.SubmissionSpec{Id: id, Payload: "payload", Steps: []*pb.Step{step}}}}})
}

func (r *rig) describe(id string) string {
	text := "unknown"
	r.state.View(func(s *submission.State) {
		if sub := s.Submission(id); sub != nil {
			text = sub.Describe()
		}
	})
	return text
}

// running returns the number of tasks that run on a worker.
func (r *rig) running(id string) int {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	r.workers.settle(r.workers.byID[id])
	return len(r.workers.byID[id].running)
}

// finish ends the leader and reports what no history may show.
func (r *rig) finish() {
	r.leader.Close()
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	for _, trouble := range r.workers.trouble {
		r.t.Error(trouble)
	}
}

// testLogger writes the log if LENTILYARD_TEST_LOG is set.
func testLogger() zerolog.Logger {
	if os.Getenv("LENTILYARD_TEST_LOG") == "" {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}
