package sim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// MemoryResult holds the bytes of heap that a planner uses for workers, for running and for queued tasks.
type MemoryResult struct {
	Workers, Running, Queued, Total int64
}

// Memory measures how the heap of a planner grows when workers are added, then running tasks, then as many queued tasks.
func Memory(c LoadConditions, newPlanner func(now func() time.Time) Planner) MemoryResult {
	l := &loader{LoadConditions: c, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(c.Seed, 3)), tasks: map[string]*pb.Task{}}
	empty := liveHeap()
	l.planner = newPlanner(func() time.Time { return l.now })
	l.setUp()
	workers := liveHeap()
	l.addRunning()
	running := liveHeap()
	for i := range l.Running {
		l.planner.UpsertTask(l.newTask(fmt.Sprintf("q%08d", i)))
	}
	queued := liveHeap()
	runtime.KeepAlive(l)
	return MemoryResult{Workers: workers - empty, Running: running - workers, Queued: queued - running, Total: queued - empty}
}

// addRunning adds the running tasks and reports their usage for 5 s. It keeps no reference to the tasks, so that only the
// memory of the planner is measured.
func (l *loader) addRunning() {
	for i := range l.Running {
		l.planner.UpsertTask(l.runningTask(i))
	}
	for range 5 {
		l.now = l.now.Add(time.Second)
		for i := range l.Running {
			t := l.runningTask(i)
			l.planner.Observe(t.GetWorker(), &pb.UsageSample{Task: t.GetId(), Attempt: 1, TakenUnixMs: l.now.UnixMilli(),
				Millicores: 900, MemoryBytes: gigabyte / 4, Speed: 0.9})
		}
	}
}

func (l *loader) runningTask(i int) *pb.Task {
	t := l.newTask(fmt.Sprintf("t%08d", i))
	t.State, t.Attempt, t.Worker = pb.TaskState_TASK_STATE_RUNNING, 1, fmt.Sprintf("w%05d", i%l.Workers)
	return t
}

// liveHeap returns the bytes of live heap objects.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// CancelWave returns the time that a planner takes to cancel n queued tasks, all that are queued, in random order.
func CancelWave(n int, seed uint64, newPlanner func(now func() time.Time) Planner) time.Duration {
	l := &loader{LoadConditions: LoadConditions{Seed: seed, Workers: 65, Running: 650, Kinds: 20}, now: time.Unix(1_700_000_000, 0),
		rng: rand.New(rand.NewPCG(seed, 4)), tasks: map[string]*pb.Task{}}
	l.planner = newPlanner(func() time.Time { return l.now })
	l.setUp()
	var list []*pb.Task
	for i := range n {
		t := l.newTask(fmt.Sprintf("t%08d", i))
		l.planner.UpsertTask(t)
		t.State = pb.TaskState_TASK_STATE_CANCELLED
		list = append(list, t)
	}
	l.rng.Shuffle(n, func(i, j int) { list[i], list[j] = list[j], list[i] })
	begin := time.Now()
	for _, t := range list {
		l.planner.UpsertTask(t)
		l.planner.RemoveTask(t.GetId())
	}
	return time.Since(begin)
}
