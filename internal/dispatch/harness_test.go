package dispatch

import (
	"cmp"
	"context"
	"errors"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// fakeLog commits every entry after the typical duration of a disk sync.
type fakeLog struct {
	mu    sync.Mutex
	state *submission.State
	index uint64
	term  uint64
	// err, if set, is what Propose returns without committing anything.
	err error
	// barrier, if set, is called by ReadBarrier.
	barrier func() error
	// unknown makes Propose commit the entry but report a failure.
	unknown bool
	// delay is added to the time that a commit takes.
	delay time.Duration
}

func (f *fakeLog) Propose(ctx context.Context, entry []byte) (any, error) {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	time.Sleep(6 * time.Millisecond)
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	f.index++
	result := f.state.Apply(f.index, f.term, entry)
	if f.unknown {
		return nil, errNoCommit
	}
	return result, nil
}

// failing makes the following calls of Propose return err, or succeed if it is nil.
func (f *fakeLog) failing(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeLog) ReadBarrier(context.Context) error {
	if f.barrier != nil {
		return f.barrier()
	}
	return nil
}

var errNoCommit = errors.New("the entry was not committed")

func (f *fakeLog) update(change func(*fakeLog)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// testHolderLease is Bounds.HolderLease in tests.
const testHolderLease = 3 * time.Second

// harness is a leader with a replicated state and fake workers.
type harness struct {
	t       *testing.T
	state   *submission.State
	log     *fakeLog
	workers *fakeWorkers
	leader  *Leader
	start   time.Time
	// adviser and platform are passed to the leader by newLeader.
	adviser  Adviser
	platform Platform
	logger   zerolog.Logger
	// onClock, if set before a leader is created, is called whenever the leader reads its clock.
	onClock func()
}

func newHarness(t *testing.T, work time.Duration, ids ...string) *harness {
	r := &harness{t: t, workers: newFakeWorkers(t, work, ids...), start: time.Now(), logger: testLogger()}
	r.state = submission.New(time.Minute.Milliseconds(), func(ended []string) {
		if r.leader != nil && len(ended) > 0 {
			r.leader.SubmissionsEnded(ended)
		}
	})
	r.state.SetClock(r.clock)
	r.log = &fakeLog{state: r.state}
	r.newLeader()
	r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 1,
		Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool", Attempts: 3, Stretch: 2, ObjectiveMs: 1000, TimeoutMs: 1}},
		Pools:  []*pb.Pool{{Name: "pool", Guards: true}}}}})
	return r
}

func (r *harness) newLeader() {
	r.leader = New(Config{State: r.state, Log: r.log, Caller: r.workers, Logger: r.logger, Adviser: r.adviser, Platform: r.platform, Holder: "vm",
		Clock:  r.clock,
		Bounds: Bounds{LeaseMax: 10 * time.Second, Stop: time.Second, Gang: 3 * time.Second, MaxOverLimit: 4 * time.Second, ThrottleDelay: 100 * time.Millisecond, HolderLease: testHolderLease}})
}

func (r *harness) clock() time.Duration {
	if r.onClock != nil {
		r.onClock()
	}
	return time.Since(r.start) + time.Hour
}

// lead sets the term of the log and makes the leader lead in it.
func (r *harness) lead(term uint64) {
	r.log.mu.Lock()
	r.log.term = term
	r.log.mu.Unlock()
	r.leader.Lead(term)
}

func (r *harness) commit(changes ...*pb.SubmissionChange) {
	entry, err := proto.Marshal(&pb.SubmissionEntry{UnixMs: time.Now().UnixMilli(), Changes: changes})
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := r.log.Propose(context.Background(), entry); err != nil {
		r.t.Fatal(err)
	}
	r.leader.Wake()
}

func (r *harness) report(id string, sequence uint64) {
	if err := r.reportCapacity(id, sequence, 4000); err != nil {
		r.t.Fatal(err)
	}
}

// reportCapacity reports a worker with room for the given millicores.
func (r *harness) reportCapacity(id string, sequence uint64, millicores int64) error {
	return r.leader.Report(context.Background(), r.reportOf(id, sequence, millicores))
}

func (r *harness) reportOf(id string, sequence uint64, millicores int64) *pb.PoolReport {
	var f *fakeWorker
	r.workers.update(func() { f = r.workers.byID[id] })
	w := &pb.PoolWorker{Id: id, BornUnixMs: f.incarnation.BornUnixMs, Pool: "pool", Address: cmp.Or(f.address, id), FailureDomain: "d", Rack: "r",
		Vm:       "vm-" + id,
		Capacity: &pb.Resources{Millicores: millicores, MemoryBytes: 100}}
	return &pb.PoolReport{Worker: w, Sequence: sequence, ClockMs: f.clockMs(time.Now())}
}

// capacity returns the millicores of a worker in the replicated state.
func (r *harness) capacity(id string) int64 {
	millicores := int64(0)
	r.state.View(func(s *submission.State) { millicores = s.Workers()[id].GetCapacity().GetMillicores() })
	return millicores
}

// peak returns the highest number of tasks that have run on a worker right after a start.
func (r *harness) peak(id string) int {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	return r.workers.byID[id].peak
}

func (r *harness) submit(id string, tasks uint32, change func(*pb.Step)) {
	step := &pb.Step{Count: tasks, Size: &pb.Resources{Millicores: 1000, MemoryBytes: 1}, EstimateMs: 1000}
	if change != nil {
		change(step)
	}
	r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{Queue: "h /",
		Spec: &pb.SubmissionSpec{Id: id, Payload: "payload", Steps: []*pb.Step{step}}}}})
}

func (r *harness) describe(id string) string {
	text := "unknown"
	r.state.View(func(s *submission.State) {
		if sub := s.Submission(id); sub != nil {
			text = sub.Describe()
		}
	})
	return text
}

// running returns the number of tasks that run on a worker.
func (r *harness) running(id string) int {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	r.workers.advance(r.workers.byID[id])
	return len(r.workers.byID[id].running)
}

// finish closes the leader and fails the test if the workers have recorded violations.
func (r *harness) finish() {
	r.leader.Close()
	time.Sleep(time.Second) // commits in progress end
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	for _, violation := range r.workers.violations {
		r.t.Error(violation)
	}
}

// testLogger returns a logger that writes to stderr if LENTILYARD_TEST_LOG is set, and one that discards the log otherwise.
func testLogger() zerolog.Logger {
	if os.Getenv("LENTILYARD_TEST_LOG") == "" {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}
