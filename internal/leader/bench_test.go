package leader

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// benchLog is a Log that commits each entry after a fixed delay, which simulates a disk sync and a round trip to a
// peer.
type benchLog struct {
	mu      sync.Mutex
	state   *domain.State
	index   uint64
	delay   time.Duration
	entries atomic.Int64
}

func (l *benchLog) Propose(_ context.Context, entry []byte) (any, error) {
	if l.delay > 0 {
		time.Sleep(l.delay)
	}
	l.entries.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.state.Apply(l.index, 1, entry), nil
}

func (l *benchLog) ReadBarrier(context.Context) error {
	if l.delay > 0 {
		time.Sleep(l.delay)
	}
	return nil
}

// roundRobin is a Planner that places queued tasks on the workers in turn. Its cost per task is constant, so that a
// benchmark measures the leader rather than the planner.
type roundRobin struct {
	workers []*pb.Worker
	queued  map[string]*pb.Task
	next    int
}

func (r *roundRobin) UpsertWorker(w *pb.Worker) { r.workers = append(r.workers, w) }
func (r *roundRobin) RemoveWorker(string)       {}
func (r *roundRobin) UpsertTask(t *pb.Task) {
	if delete(r.queued, t.GetId()); t.GetState() == pb.TaskState_TASK_STATE_QUEUED {
		r.queued[t.GetId()] = t
	}
}
func (r *roundRobin) RemoveTask(id string)             { delete(r.queued, id) }
func (r *roundRobin) SetContract(*pb.ResolvedContract) {}
func (r *roundRobin) RemoveContract(string)            {}
func (r *roundRobin) Observe(string, *pb.UsageSample)  {}
func (r *roundRobin) Plan(_ time.Time, limit int) Plan {
	var plan Plan
	for _, t := range r.queued {
		if len(plan.Placements) == limit || len(r.workers) == 0 {
			break
		}
		w := r.workers[r.next%len(r.workers)]
		r.next++
		plan.Placements = append(plan.Placements, &pb.Placement{Task: t.GetId(), Attempt: t.GetAttempt() + 1, Worker: w.GetId(), WorkerEpoch: w.GetEpoch()})
	}
	return plan
}

// benchLeader returns a running leader with the given number of registered workers.
func benchLeader(b *testing.B, workers int, delay time.Duration) (*Leader, *benchLog) {
	state := domain.New("d1", domain.Limits{MaxTasks: 1 << 30})
	log := &benchLog{state: state, delay: delay}
	l := New(Config{Domain: "d1", Log: log, State: state, Planner: &roundRobin{queued: map[string]*pb.Task{}}})
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	l.SetLeading(true, 1)
	parallel(workers, workers, func(n int) {
		_, err := l.Register(ctx, &pb.RegisterWorkerRequest{Worker: &pb.Worker{Id: fmt.Sprint("w", n), Instance: "a", FailureDomain: "d1",
			Capacity: &pb.Resources{Millicores: 1 << 40, MemoryBytes: 1 << 40}}})
		if err != nil {
			b.Error(err)
		}
	})
	return l, log
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// parallel calls f with each number from 0 to n-1, from the given number of goroutines.
func parallel(goroutines, n int, f func(int)) {
	var next atomic.Int64
	var running sync.WaitGroup
	for range goroutines {
		running.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				f(i)
			}
		})
	}
	running.Wait()
}

// BenchmarkHeartbeat measures concurrent heartbeats of workers that run ten attempts each. A read barrier takes 2 ms.
// The time per operation is the elapsed time divided by the heartbeats of all workers, not the latency of one
// heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	for _, workers := range []int{100, 1_200, 6_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l, _ := benchLeader(b, workers, 2*time.Millisecond)
			parallel(1000, 10*workers, func(int) { _, _ = l.Submit(b.Context(), testSpec(100, 1000)) })
			for len(l.view().Tasks(domain.Filter{States: []pb.TaskState{pb.TaskState_TASK_STATE_QUEUED}})) > 0 {
				time.Sleep(10 * time.Millisecond)
			}
			heartbeats := make([]*pb.WorkerHeartbeat, workers)
			for n := range heartbeats {
				id := fmt.Sprint("w", n)
				heartbeats[n] = &pb.WorkerHeartbeat{Worker: id, Epoch: l.view().Worker(id).GetEpoch()}
				for _, t := range l.view().Assigned(id) {
					heartbeats[n].Running = append(heartbeats[n].Running, &pb.AttemptRef{Task: t.GetId(), Attempt: 1})
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			cpu := cpuTime()
			parallel(workers, b.N, func(n int) {
				if answer, err := l.Heartbeat(b.Context(), heartbeats[n%workers]); err != nil || answer.GetRegisterAgain() {
					b.Error(answer, err)
				}
			})
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/heartbeat")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "heartbeats/s")
		})
	}
}

// BenchmarkTaskCycle measures tasks from submission to the commit of their end. A log entry takes 5 ms. Tasks are
// submitted as fast as they are accepted (rate 0) or at a fixed rate per second.
func BenchmarkTaskCycle(b *testing.B) {
	for _, c := range []struct{ workers, rate int }{{100, 0}, {1_200, 0}, {6_000, 0}, {1_200, 3_100}} {
		workers := c.workers
		b.Run(fmt.Sprintf("workers=%d/rate=%d", workers, c.rate), func(b *testing.B) {
			l, log := benchLeader(b, workers, 5*time.Millisecond)
			ctx, cancel := context.WithCancel(b.Context())
			var working sync.WaitGroup
			var finished atomic.Int64
			for n := range workers {
				working.Go(func() { benchWorker(ctx, l, fmt.Sprint("w", n), &finished) })
			}
			before, cpu := log.entries.Load(), cpuTime()
			b.ReportAllocs()
			b.ResetTimer()
			begin := time.Now()
			parallel(1000, b.N, func(n int) {
				if c.rate > 0 {
					time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / time.Duration(c.rate))))
				}
				_, _ = l.Submit(ctx, testSpec(100, 1000))
			})
			for finished.Load() < int64(b.N) {
				time.Sleep(time.Millisecond)
			}
			b.StopTimer()
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/task")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
			b.ReportMetric(float64(log.entries.Load()-before)/float64(b.N), "entries/task")
			cancel()
			working.Wait()
		})
	}
}

// benchWorker reports every attempt as started and finished as soon as it receives the start command.
func benchWorker(ctx context.Context, l *Leader, id string, finished *atomic.Int64) {
	var pending []*pb.AttemptReport
	seen := map[string]bool{}
	epoch := l.view().Worker(id).GetEpoch()
	for ctx.Err() == nil {
		answer, err := l.Heartbeat(ctx, &pb.WorkerHeartbeat{Worker: id, Epoch: epoch, WaitMs: 1000, Reports: pending})
		if err != nil {
			continue
		}
		finished.Add(int64(len(pending) / 2))
		pending = nil
		for _, c := range answer.GetCommands() {
			if c.GetOp() != pb.WorkerOp_WORKER_OP_START || seen[c.GetTask()] {
				continue
			}
			seen[c.GetTask()] = true
			for _, event := range []pb.AttemptEvent{pb.AttemptEvent_ATTEMPT_EVENT_STARTED, pb.AttemptEvent_ATTEMPT_EVENT_FINISHED} {
				pending = append(pending, &pb.AttemptReport{Task: c.GetTask(), Attempt: 1, Event: event})
			}
		}
	}
}

// BenchmarkCancellationWave measures the cost per task of concurrent cancellations. A log entry takes 5 ms.
func BenchmarkCancellationWave(b *testing.B) {
	for _, wave := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("wave=%d", wave), func(b *testing.B) {
			l, log := benchLeader(b, 0, 5*time.Millisecond)
			for range b.N {
				b.StopTimer()
				ids := make([]string, wave)
				parallel(1000, wave, func(n int) {
					t, err := l.Submit(b.Context(), testSpec(100, 1000))
					if err != nil {
						b.Error(err)
					}
					ids[n] = t.GetId()
				})
				before := log.entries.Load()
				b.StartTimer()
				parallel(wave, wave, func(n int) { _, _ = l.Cancel(b.Context(), ids[n], "wave") })
				b.ReportMetric(float64(log.entries.Load()-before)/float64(wave), "entries/task")
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*wave), "µs/task")
		})
	}
}
