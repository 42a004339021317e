package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

var testStart = time.Unix(1_700_000_000, 0)

func amounts(cores, memory, accelerators int64) *pb.Resources {
	return &pb.Resources{Millicores: cores, MemoryBytes: memory, Accelerators: accelerators}
}

func testWorker(i int, capacity *pb.Resources) *pb.Worker {
	return &pb.Worker{Id: fmt.Sprintf("w%05d", i), Epoch: 1, Rack: fmt.Sprintf("r%d", i/11), Capacity: capacity,
		State: pb.WorkerState_WORKER_STATE_READY, Guards: true}
}

func testTask(i int, class pb.TaskClass, size *pb.Resources) *pb.Task {
	return &pb.Task{Id: fmt.Sprintf("t%06d", i), State: pb.TaskState_TASK_STATE_QUEUED, SubmittedUnixMs: testStart.UnixMilli(),
		Spec: &pb.TaskSpec{Member: "hanbit", Contract: "c1", Kind: "sheet", Class: class, Resources: size}}
}

func testContract(name, team string, cores, memory, accelerators int64) *pb.ResolvedContract {
	return &pb.ResolvedContract{
		Written:  &pb.Contract{Name: name, Member: "hanbit", Team: team, Terms: &pb.ServiceTerms{Weight: 1, Urgent: true}},
		Resolved: &pb.ResolvedLimits{Millicores: cores, MemoryBytes: memory, Accelerators: accelerators},
	}
}

func newTestPlanner(workers int, capacity *pb.Resources) *Planner {
	p := New(Config{Seed: 1, Now: func() time.Time { return testStart }})
	for i := range workers {
		p.UpsertWorker(testWorker(i, capacity))
	}
	p.SetContract(testContract("c1", "", 1<<40, 1<<50, 1<<20))
	return p
}

// TestPlanLeavesCacheUnchanged checks that a plan fills the workers but not beyond their capacity, and that a second
// plan without any update in between is the same.
func TestPlanLeavesCacheUnchanged(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(3, amounts(4000, 4000, 0))
	for i := range 20 {
		p.UpsertTask(testTask(i, pb.TaskClass_TASK_CLASS_BATCH, amounts(1000, 500, 0)))
	}
	first := p.Plan(testStart, 100)
	is.Equal(len(first.Placements), 12)
	is.Equal(len(first.Decisions), 12)
	second := p.Plan(testStart, 100)
	is.Equal(second, first)
}

// TestGangAllOrNothing checks that no part of a gang is placed unless all of it fits, and that a gang that does not fit
// doesn't block other tasks.
func TestGangAllOrNothing(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2, amounts(2000, 2000, 0))
	for i := range 5 {
		m := testTask(i, pb.TaskClass_TASK_CLASS_BATCH, amounts(1000, 500, 0))
		m.Spec.Gang, m.Spec.GangSize = "g", 5
		p.UpsertTask(m)
	}
	p.UpsertTask(testTask(9, pb.TaskClass_TASK_CLASS_BATCH, amounts(1000, 500, 0)))
	plan := p.Plan(testStart, 100)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Task, "t000009")
	p.UpsertWorker(testWorker(2, amounts(2000, 2000, 0)))
	is.Equal(len(p.Plan(testStart, 100).Placements), 6)
}

// TestQuota checks that no tasks are placed beyond the resolved limits of their contract, or after it was withdrawn.
func TestQuota(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(4, amounts(8000, 8000, 0))
	p.SetContract(testContract("c1", "", 3000, 3000, 0))
	for i := range 20 {
		p.UpsertTask(testTask(i, pb.TaskClass_TASK_CLASS_BATCH, amounts(1000, 500, 0)))
	}
	is.Equal(len(p.Plan(testStart, 100).Placements), 3)
	p.RemoveContract("c1")
	is.Equal(len(p.Plan(testStart, 100).Placements), 0)
}

// TestClassOrder checks that an urgent task is placed before service and batch tasks that were submitted with it.
func TestClassOrder(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1, amounts(1000, 1000, 0))
	p.UpsertTask(testTask(1, pb.TaskClass_TASK_CLASS_BATCH, amounts(1000, 500, 0)))
	p.UpsertTask(testTask(2, pb.TaskClass_TASK_CLASS_SERVICE, amounts(1000, 500, 0)))
	p.UpsertTask(testTask(3, pb.TaskClass_TASK_CLASS_URGENT, amounts(1000, 500, 0)))
	plan := p.Plan(testStart, 100)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Task, "t000003")
}

// benchmarkPlan measures a plan over a queue of 2,000 batch tasks, of which it places 64.
func benchmarkPlan(b *testing.B, workers int) {
	p := newTestPlanner(workers, amounts(32000, 125<<30, 4))
	for i := range 2000 {
		p.UpsertTask(testTask(i, pb.TaskClass_TASK_CLASS_BATCH, amounts(int64(100+i%7*10), 1<<20, 0)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	n := 0
	for b.Loop() {
		n += len(p.Plan(testStart, 64).Placements)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/placement")
}

// BenchmarkPlan reports the cost of a placement by the number of workers.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{65, 1200, 6000, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPlan(b, n) })
	}
}
