package leader

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/standin"
	"github.com/matryer/is"
)

const testLease = 10 * time.Second

func testSpec(millicores, runMs int64) *pb.TaskSpec {
	return &pb.TaskSpec{Member: "hanbit", Contract: "sheets", Kind: "pattern", Class: pb.TaskClass_TASK_CLASS_BATCH,
		Resources: &pb.Resources{Millicores: millicores, MemoryBytes: 1 << 20}, IdempotencyKey: idempotency.NewKey(time.Now()),
		Payload: standin.Work{RunMs: runMs}.Payload()}
}

func simWorker(network *simNetwork, id string) *standin.Worker {
	return standin.NewWorker(standin.WorkerOptions{ID: id, FailureDomain: "d1", Guards: true, Transport: network,
		EntryVMs: []string{"n0", "n1", "n2"}[:len(network.cluster.nodes)],
		Capacity: &pb.Resources{Millicores: 4000, MemoryBytes: 1 << 30}})
}

// inCluster runs f in virtual time, with node 0 as the leader and the given number of workers on a network without
// faults.
func inCluster(t *testing.T, workers int, f func(ctx context.Context, is *is.I, c *simCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer time.Sleep(time.Minute) // lets delayed messages arrive
		defer running.Wait()
		defer cancel()
		c := newSimCluster(1, 3, func() Planner { return NewFirstFit() }, testLease)
		network := &simNetwork{cluster: c}
		c.run(ctx, &running)
		c.elect(0, 0)
		for n := range workers {
			running.Go(func() { _ = simWorker(network, fmt.Sprintf("w%d", n)).Run(ctx) })
		}
		f(ctx, is.New(t), c)
	})
}

// TestTasksFinish checks the whole path of tasks from submission to the acknowledged end.
func TestTasksFinish(t *testing.T) {
	inCluster(t, 2, func(ctx context.Context, is *is.I, c *simCluster) {
		for range 20 {
			_, err := c.nodes[0].leader.Submit(ctx, testSpec(1000, 2000))
			is.NoErr(err)
		}
		time.Sleep(20 * time.Second)
		for _, task := range c.nodes[0].state.View().Tasks(domain.Filter{}) {
			is.Equal(task.GetState(), pb.TaskState_TASK_STATE_FINISHED)
			is.Equal(task.GetAttempt(), uint32(1))
		}
	})
}

// TestStartLatency checks the time from the submission of a task to its reported start in an idle domain.
func TestStartLatency(t *testing.T) {
	inCluster(t, 2, func(ctx context.Context, is *is.I, c *simCluster) {
		time.Sleep(3 * time.Second)
		submitted := time.Now()
		task, err := c.nodes[0].leader.Submit(ctx, testSpec(1000, 60000))
		is.NoErr(err)
		for c.nodes[0].state.View().Task(task.GetId()).GetState() != pb.TaskState_TASK_STATE_RUNNING {
			time.Sleep(time.Millisecond)
		}
		is.True(time.Since(submitted) < 300*time.Millisecond)
	})
}

// TestDrain checks that the tasks of a drained worker move to another one and keep their progress.
func TestDrain(t *testing.T) {
	inCluster(t, 2, func(ctx context.Context, is *is.I, c *simCluster) {
		l := c.nodes[0].leader
		for range 4 {
			_, err := l.Submit(ctx, testSpec(1000, 30000))
			is.NoErr(err)
		}
		time.Sleep(3 * time.Second)
		is.NoErr(l.Drain(ctx, "w0", true))
		time.Sleep(2 * time.Second)
		is.Equal(len(l.view().Assigned("w0")), 0)
		is.Equal(len(l.view().Assigned("w1")), 4)
		for _, task := range l.view().Tasks(domain.Filter{}) {
			is.True(task.GetCheckpoint().GetProgress() > 0.05) // the progress made before the drain
		}
	})
}

func contract(name string, millicores, tasks int64) *pb.ResolvedContract {
	return &pb.ResolvedContract{Written: &pb.Contract{Name: name},
		Resolved: &pb.ResolvedLimits{Millicores: millicores, MemoryBytes: 1 << 40, Accelerators: 8, Tasks: tasks}}
}

// TestContractsChanged checks that a contract's share of tasks is enforced, that lowered limits evict the excess tasks,
// and that tasks of a withdrawn contract are cancelled with a checkpoint.
func TestContractsChanged(t *testing.T) {
	inCluster(t, 1, func(ctx context.Context, is *is.I, c *simCluster) {
		l := c.nodes[0].leader
		l.ContractsChanged([]*pb.ResolvedContract{contract("sheets", 4000, 4)})
		var ids []string
		for range 4 {
			task, err := l.Submit(ctx, testSpec(1000, 600000))
			is.NoErr(err)
			ids = append(ids, task.GetId())
		}
		_, err := l.Submit(ctx, testSpec(1000, 600000))
		is.True(errors.Is(err, domain.ErrTooManyTasks)) // the share of this domain is 4 tasks
		time.Sleep(3 * time.Second)

		l.ContractsChanged([]*pb.ResolvedContract{contract("sheets", 2000, 4)})
		time.Sleep(1500 * time.Millisecond)
		evicted := 0
		for _, id := range ids {
			evicted += int(min(1, l.view().Task(id).GetEvictions()))
		}
		is.Equal(evicted, 2) // the contract has two of its four cores left

		l.ContractsChanged(nil)
		time.Sleep(3 * time.Second)
		for _, id := range ids {
			is.Equal(l.view().Task(id).GetState(), pb.TaskState_TASK_STATE_CANCELLED)
			is.True(l.view().Task(id).GetCheckpoint() != nil)
		}
		_, err = l.Submit(ctx, testSpec(1000, 1000))
		is.True(errors.Is(err, ErrContractUnknown))
	})
}

// TestUnknownContractGracePeriod checks that tasks are not cancelled while the process may not have seen their contract
// yet, and that they are cancelled once the grace period is over.
func TestUnknownContractGracePeriod(t *testing.T) {
	inCluster(t, 1, func(ctx context.Context, is *is.I, c *simCluster) {
		l := c.nodes[0].leader
		task, err := l.Submit(ctx, testSpec(1000, 600000))
		is.NoErr(err)
		l.ContractsChanged(nil)
		time.Sleep(unknownContractGrace - 2*time.Second)
		is.Equal(l.view().Task(task.GetId()).GetState(), pb.TaskState_TASK_STATE_RUNNING)
		time.Sleep(10 * time.Second)
		is.Equal(l.view().Task(task.GetId()).GetState(), pb.TaskState_TASK_STATE_CANCELLED)
	})
}

// TestCancellationsAreBatched checks that concurrent cancellations share log entries instead of taking one each.
func TestCancellationsAreBatched(t *testing.T) {
	inCluster(t, 0, func(ctx context.Context, is *is.I, c *simCluster) {
		const wave = 2000
		l := c.nodes[0].leader
		var waiting sync.WaitGroup
		for range wave {
			waiting.Go(func() { _, _ = l.Submit(ctx, testSpec(1000, 1000)) })
		}
		waiting.Wait()
		before := len(c.entries)
		for _, task := range l.view().Tasks(domain.Filter{}) {
			waiting.Go(func() { _, _ = l.Cancel(ctx, task.GetId(), "wave") })
		}
		waiting.Wait()
		is.Equal(len(l.view().Tasks(domain.Filter{States: []pb.TaskState{pb.TaskState_TASK_STATE_CANCELLED}})), wave)
		is.True(len(c.entries)-before < 20)
	})
}

// TestHeldAttemptIsReleased checks that a delayed heartbeat, which still lists an attempt whose end has been reported,
// does not hold capacity for that attempt forever.
func TestHeldAttemptIsReleased(t *testing.T) {
	inCluster(t, 1, func(ctx context.Context, is *is.I, c *simCluster) {
		l := c.nodes[0].leader
		task, err := l.Submit(ctx, testSpec(1000, 500))
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		is.Equal(l.view().Task(task.GetId()).GetState(), pb.TaskState_TASK_STATE_FINISHED)
		// A heartbeat sent before the end of the attempt arrives after its report was acknowledged.
		late := &pb.WorkerHeartbeat{Worker: "w0", Epoch: l.view().Worker("w0").GetEpoch(),
			Running: []*pb.AttemptRef{{Task: task.GetId(), Attempt: 1}}}
		answer, err := l.Heartbeat(ctx, late)
		is.NoErr(err)
		is.Equal(answer.GetCommands()[0].GetOp(), pb.WorkerOp_WORKER_OP_STOP)
		is.Equal(l.view().Used("w0").GetMillicores(), int64(1000))
		time.Sleep(5 * time.Second)
		is.Equal(l.view().Used("w0").GetMillicores(), int64(0))
	})
}

// countingLog counts read barriers and makes each take at least 5 ms.
type countingLog struct {
	*simNode
	barriers atomic.Int64
}

func (c *countingLog) ReadBarrier(ctx context.Context) error {
	c.barriers.Add(1)
	time.Sleep(5 * time.Millisecond)
	return c.simNode.ReadBarrier(ctx)
}

// TestBarriersAreShared checks that concurrent callers share a read barrier, and that no caller gets the result of a
// barrier that began before its call.
func TestBarriersAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimCluster(1, 1, func() Planner { return NewFirstFit() }, testLease)
		c.elect(0, 0)
		log := &countingLog{simNode: c.nodes[0]}
		b := newBarrierBatcher(log)
		ctx, cancel := context.WithCancel(t.Context())
		var running, waiting sync.WaitGroup
		running.Go(func() { b.run(ctx) })
		for range 1000 {
			waiting.Go(func() { is.NoErr(b.wait(ctx)) })
		}
		waiting.Wait()
		is.True(log.barriers.Load() <= 2)
		waiting.Go(func() { is.NoErr(b.wait(ctx)) })
		time.Sleep(time.Millisecond) // the barrier of the first caller has begun
		began := log.barriers.Load()
		is.NoErr(b.wait(ctx))
		is.Equal(log.barriers.Load(), began+1) // the second caller waited for a new barrier
		waiting.Wait()
		cancel()
		running.Wait()
		is.True(errors.Is(b.wait(t.Context()), errStopped))
	})
}

// throttlePlanner throttles every assigned task to a quarter of its cores and counts usage samples.
type throttlePlanner struct {
	*FirstFit
	samples *atomic.Int64
}

func (p throttlePlanner) Observe(string, *pb.UsageSample) { p.samples.Add(1) }

func (p throttlePlanner) Plan(now time.Time, limit int) Plan {
	plan := p.FirstFit.Plan(now, limit)
	for _, t := range p.assigned {
		plan.Throttles = append(plan.Throttles, Throttle{Task: t.GetId(), Attempt: t.GetAttempt(), Share: 0.25})
	}
	return plan
}

// TestThrottle checks that throttles reach the worker, which makes the task take longer, and that usage samples reach
// the planner.
func TestThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var samples atomic.Int64
		c := newSimCluster(1, 1, func() Planner { return throttlePlanner{NewFirstFit(), &samples} }, testLease)
		c.run(ctx, &running)
		c.elect(0, 0)
		running.Go(func() { _ = simWorker(&simNetwork{cluster: c}, "w0").Run(ctx) })
		task, err := c.nodes[0].leader.Submit(ctx, testSpec(1000, 4000))
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.Equal(c.nodes[0].state.View().Task(task.GetId()).GetState(), pb.TaskState_TASK_STATE_RUNNING)
		time.Sleep(8 * time.Second)
		is.Equal(c.nodes[0].state.View().Task(task.GetId()).GetState(), pb.TaskState_TASK_STATE_FINISHED)
		is.True(samples.Load() > 10)
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})
}

// TestFollowerRefusesOperations checks that a node that does not lead refuses operations.
func TestFollowerRefusesOperations(t *testing.T) {
	inCluster(t, 0, func(ctx context.Context, is *is.I, c *simCluster) {
		l := c.nodes[1].leader
		_, err := l.Submit(ctx, testSpec(1, 1))
		is.True(errors.Is(err, ErrNotLeading))
		_, err = l.Heartbeat(ctx, &pb.WorkerHeartbeat{})
		is.True(errors.Is(err, ErrNotLeading))
		_, err = l.Register(ctx, &pb.RegisterWorkerRequest{})
		is.True(errors.Is(err, ErrNotLeading))
		is.True(errors.Is(l.Drain(ctx, "w0", true), ErrNotLeading))
	})
}
