package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// LoadConditions are the parameters of a run of Load.
type LoadConditions struct {
	Seed    uint64
	Workers int
	// Rate is the number of task starts per second.
	Rate int
	// Running is the number of tasks that run at any time.
	Running int
	Kinds   int
	// Seconds is the simulated time that is measured, after the ramp-up.
	Seconds int
	// Samples switches on one usage report per running task and second.
	Samples bool
}

// LoadResult holds the cost of the planner in a run of Load.
type LoadResult struct {
	// PlanShare, UpsertShare and ObserveShare are the time spent in calls of Plan, of UpsertTask and RemoveTask, and of
	// Observe, in seconds per simulated second: the share of one core that the planner would use in real time.
	PlanShare, UpsertShare, ObserveShare float64
	// ProcessShare is the CPU time of the whole process in seconds per simulated second. It includes the simulation and
	// garbage collection.
	ProcessShare float64
	// P50, P99 and Max are quantiles of the duration of one call of Plan.
	P50, P99, Max time.Duration
	// Decision is the time spent in Plan divided by the number of placements.
	Decision time.Duration
	Placed   int
}

// String prints the conditions for the report of a run.
func (c LoadConditions) String() string {
	return fmt.Sprintf("seed=%d workers=%d rate=%d running=%d kinds=%d seconds=%d samples=%t",
		c.Seed, c.Workers, c.Rate, c.Running, c.Kinds, c.Seconds, c.Samples)
}

const planInterval = 10 * time.Millisecond

// loader drives a planner under LoadConditions. Unlike World, it does not check the proposals.
type loader struct {
	LoadConditions
	now               time.Time
	planner           Planner
	rng               *rand.Rand
	queue             []*pb.Task // starting and running tasks, oldest first
	tasks             map[string]*pb.Task
	lastID            int
	plans             []time.Duration
	upserts, observes time.Duration
	measuring         bool
	placed            int
}

// Load measures the cost of the planner that newPlanner returns at a constant rate of task starts.
func Load(c LoadConditions, newPlanner func(now func() time.Time) Planner) LoadResult {
	l := &loader{LoadConditions: c, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(c.Seed, 3)), tasks: map[string]*pb.Task{}}
	l.planner = newPlanner(func() time.Time { return l.now })
	l.setUp()
	steps := int(time.Second / planInterval)
	ramp := 2*c.Running/c.Rate + 1
	for range ramp * steps {
		l.step()
	}
	l.measuring = true
	before := processTime()
	for range c.Seconds * steps {
		l.step()
	}
	return l.result(processTime() - before)
}

func (l *loader) setUp() {
	for i := range l.Workers {
		l.planner.UpsertWorker(&pb.Worker{Id: fmt.Sprintf("w%05d", i), Epoch: 1, Rack: fmt.Sprintf("r%04d", i/11),
			Capacity: &pb.Resources{Millicores: 32000, MemoryBytes: 125 * gigabyte}, State: pb.WorkerState_WORKER_STATE_READY})
	}
	for m := range 4 {
		l.planner.SetContract(&pb.ResolvedContract{
			Written:  &pb.Contract{Name: fmt.Sprintf("c%d", m), Member: fmt.Sprintf("m%d", m), Terms: &pb.ServiceTerms{Weight: uint32(m + 1), Urgent: true}},
			Resolved: &pb.ResolvedLimits{Millicores: 1 << 50, MemoryBytes: 1 << 60}})
	}
}

// measure runs f and adds its duration to sum if the ramp-up is over.
func (l *loader) measure(sum *time.Duration, f func()) {
	begin := time.Now()
	f()
	if l.measuring {
		*sum += time.Since(begin)
	}
}

func (l *loader) step() {
	l.now = l.now.Add(planInterval)
	fresh := l.submit()
	l.measure(&l.upserts, func() { l.upsert(fresh) })
	l.plan()
	l.finish()
	if l.Samples {
		l.observe()
	}
}

func (l *loader) submit() []*pb.Task {
	var fresh []*pb.Task
	for range l.Rate / int(time.Second/planInterval) {
		l.lastID++
		t := l.newTask(fmt.Sprintf("t%08d", l.lastID))
		l.tasks[t.GetId()] = t
		fresh = append(fresh, t)
	}
	return fresh
}

func (l *loader) newTask(id string) *pb.Task {
	m := l.rng.IntN(4)
	return &pb.Task{Id: id, State: pb.TaskState_TASK_STATE_QUEUED, SubmittedUnixMs: l.now.UnixMilli(),
		Spec: &pb.TaskSpec{Member: fmt.Sprintf("m%d", m), Contract: fmt.Sprintf("c%d", m), Kind: fmt.Sprintf("k%d", l.rng.IntN(l.Kinds)),
			Class: l.class(), Resources: l.size()}}
}

// class draws a class: urgent for 2% of the tasks, service for 18% and batch for 80%.
func (l *loader) class() pb.TaskClass {
	switch x := l.rng.IntN(50); {
	case x == 0:
		return pb.TaskClass_TASK_CLASS_URGENT
	case x < 10:
		return pb.TaskClass_TASK_CLASS_SERVICE
	}
	return pb.TaskClass_TASK_CLASS_BATCH
}

// size draws a size such that the running tasks use 80% of the cores on average.
func (l *loader) size() *pb.Resources {
	mean := 0.8 * 32000 * float64(l.Workers) / float64(l.Running)
	return &pb.Resources{Millicores: int64(mean * (0.5 + float64(l.rng.IntN(5))/4)), MemoryBytes: int64(1+l.rng.IntN(3)) * gigabyte / 2}
}

func (l *loader) upsert(list []*pb.Task) {
	for _, t := range list {
		l.planner.UpsertTask(t)
	}
}

// plan makes a plan and starts the tasks that it places; they run at once.
func (l *loader) plan() {
	begin := time.Now()
	plan := l.planner.Plan(l.now, 256)
	if l.measuring {
		l.plans = append(l.plans, time.Since(begin))
		l.placed += len(plan.Placements)
	}
	for _, state := range []pb.TaskState{pb.TaskState_TASK_STATE_STARTING, pb.TaskState_TASK_STATE_RUNNING} {
		var changed []*pb.Task
		for _, p := range plan.Placements {
			t := l.tasks[p.GetTask()]
			t.State, t.Attempt, t.Worker, t.StartedUnixMs = state, p.GetAttempt(), p.GetWorker(), l.now.UnixMilli()
			changed = append(changed, t)
		}
		l.measure(&l.upserts, func() { l.upsert(changed) })
	}
	for _, p := range plan.Placements {
		l.queue = append(l.queue, l.tasks[p.GetTask()])
	}
}

// finish ends the oldest tasks beyond the number that may run.
func (l *loader) finish() {
	n := max(0, len(l.queue)-l.Running)
	ended := l.queue[:n]
	l.queue = l.queue[n:]
	for _, t := range ended {
		t.State = pb.TaskState_TASK_STATE_FINISHED
		delete(l.tasks, t.GetId())
	}
	l.measure(&l.upserts, func() {
		for _, t := range ended {
			l.planner.UpsertTask(t)
			l.planner.RemoveTask(t.GetId())
		}
	})
}

// observe reports the usage of one in a hundred running tasks, drawn at random. With 100 steps in a second, each task is
// reported once a second on average.
func (l *loader) observe() {
	type report struct {
		worker string
		sample *pb.UsageSample
	}
	var reports []report
	for range len(l.queue) / int(time.Second/planInterval) {
		t := l.queue[l.rng.IntN(len(l.queue))]
		reports = append(reports, report{t.GetWorker(), &pb.UsageSample{Task: t.GetId(), Attempt: t.GetAttempt(),
			TakenUnixMs: l.now.UnixMilli() - int64(l.rng.IntN(2000)), Millicores: t.GetSpec().GetResources().GetMillicores() * 9 / 10,
			MemoryBytes: gigabyte / 4, Speed: 0.7 + 0.3*l.rng.Float64()}})
	}
	l.measure(&l.observes, func() {
		for _, r := range reports {
			l.planner.Observe(r.worker, r.sample)
		}
	})
}

func (l *loader) result(process time.Duration) LoadResult {
	total := time.Duration(0)
	for _, p := range l.plans {
		total += p
	}
	slices.Sort(l.plans)
	simulated := float64(l.Seconds) * float64(time.Second)
	return LoadResult{
		PlanShare: float64(total) / simulated, UpsertShare: float64(l.upserts) / simulated, ObserveShare: float64(l.observes) / simulated,
		ProcessShare: float64(process) / simulated, Placed: l.placed, Decision: total / time.Duration(max(1, l.placed)),
		P50: l.plans[len(l.plans)/2], P99: l.plans[len(l.plans)*99/100], Max: l.plans[len(l.plans)-1],
	}
}

// processTime returns the CPU time that the process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
