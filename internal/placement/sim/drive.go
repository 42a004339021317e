package sim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Conditions are the parameters of one run of Drive. Runs with equal conditions have the same arrivals.
type Conditions struct {
	Seed    uint64
	Workers int
	// Cores is the capacity of each worker in millicores.
	Cores int64
	// Load is the offered load of all tasks as a share of all cores, if tasks run at full speed.
	Load float64
	// ServiceLoad is the part of Load that services offer.
	ServiceLoad float64
	// UrgentRate is the arrival rate of urgent tasks per second for each 100 workers.
	UrgentRate float64
	// UrgentCores is the size of urgent tasks in millicores.
	UrgentCores      int64
	Warmup, Duration time.Duration
	// ServiceLife is the mean lifetime of a service task, after which another task of its kind is submitted. If it is 0,
	// all services are submitted before any other task and never end.
	ServiceLife time.Duration
	// Shift is the time between changes of the pairs of kinds that interfere strongly.
	Shift time.Duration
	// Lag is the maximum delay of nine in ten usage reports; the others are delayed up to four times as long.
	Lag time.Duration
}

// DefaultConditions returns the conditions of the comparison in docs/measurements-placement.md.
func DefaultConditions(seed uint64) Conditions {
	return Conditions{Seed: seed, Workers: 65, Cores: 32000, Load: 0.8, ServiceLoad: 0.3, UrgentRate: 0.5, UrgentCores: 1000,
		ServiceLife: 5 * time.Minute, Warmup: 2 * time.Minute, Duration: 10 * time.Minute, Shift: 3 * time.Minute, Lag: 5 * time.Second}
}

// String prints the conditions for the report of a run.
func (c Conditions) String() string {
	return fmt.Sprintf("seed=%d workers=%d cores=%d load=%.2f service_load=%.2f urgent_rate=%.2f urgent_cores=%d service_life=%s warmup=%s duration=%s shift=%s lag=%s",
		c.Seed, c.Workers, c.Cores, c.Load, c.ServiceLoad, c.UrgentRate, c.UrgentCores, c.ServiceLife, c.Warmup, c.Duration, c.Shift, c.Lag)
}

// Result holds the measurements of a run after the warm-up.
type Result struct {
	// P50 and P99 are quantiles of the service latency relative to that of a service that runs alone.
	P50, P99 float64
	// Batch is the batch work done in core-seconds per second, for each core of the domain. Work that is repeated after an
	// eviction does not count.
	Batch float64
	// Evictions counts all evictions; Throttles counts proposals that lower the speed of a task.
	Evictions, Throttles int
	// UrgentWait is the longest time from the submission of an urgent task until it runs.
	UrgentWait time.Duration
	// Urgent counts the urgent tasks that started.
	Urgent int
	// Waiting is the number of batch tasks queued at the end.
	Waiting int
}

const (
	tick            = 100 * time.Millisecond
	startDelay      = 300 * time.Millisecond
	checkpointDelay = time.Second
	// repeatedWork is the work that is repeated after an eviction, in seconds at full speed.
	repeatedWork = 2.0
	batchCores   = 2000 // millicores
	serviceCores = 2000 // millicores
	meanBatchRun = 40.0 // s
	urgentRun    = 5.0  // s
	speedNoise   = 0.05 // relative standard deviation of reported speeds
	latencyNoise = 0.1  // standard deviation of the logarithm of latencies
	// maxPlacements bounds the placements of one plan.
	maxPlacements = 256
	gigabyte      = 1 << 30
)

// driver runs one world under Conditions.
type driver struct {
	Conditions
	world    *World
	slowdown *Slowdown
	arrivals []arrival
	progress map[string]*progress // by task that has not ended
	due      dueHeap
	samples  sampleHeap
	latency  []float64
	noise    *rand.Rand
	start    time.Time
	result   Result
	lastID   int
}

// arrival is a task that is submitted at a given time.
type arrival struct {
	at    time.Duration
	kind  int
	class pb.TaskClass
	work  float64       // s at full speed
	life  time.Duration // time from submission to end; 0 for tasks that end when their work is done
}

// progress is the state of the work of one task.
type progress struct {
	kind      int
	left      float64 // s at full speed
	speed     float64
	submitted time.Time
	ends      time.Time // zero for tasks that end when their work is done
}

// Drive runs the planner that newPlanner returns under the given conditions.
func Drive(c Conditions, newPlanner func(now func() time.Time) Planner) (Result, error) {
	d := newDriver(c, newPlanner)
	steps := int((c.Warmup + c.Duration) / tick)
	for range steps {
		if err := d.step(); err != nil {
			return d.result, err
		}
	}
	return d.finish(), nil
}

func newDriver(c Conditions, newPlanner func(now func() time.Time) Planner) *driver {
	start := time.Unix(1_700_000_000, 0)
	d := &driver{
		Conditions: c, world: NewWorld(start, newPlanner), start: start, progress: map[string]*progress{},
		slowdown: &Slowdown{Seed: c.Seed, Services: 6, Batches: 8, Period: c.Shift},
		noise:    rand.New(rand.NewPCG(c.Seed, 2)),
	}
	d.arrivals = d.drawArrivals(rand.New(rand.NewPCG(c.Seed, 1)))
	for i := range c.Workers {
		d.world.AddWorker(&pb.Worker{Id: fmt.Sprintf("w%05d", i), Epoch: 1, Rack: fmt.Sprintf("r%03d", i/11),
			Capacity: &pb.Resources{Millicores: c.Cores, MemoryBytes: 125 * gigabyte}, State: pb.WorkerState_WORKER_STATE_READY, Guards: true})
	}
	d.world.AddContract(&pb.ResolvedContract{
		Written:  &pb.Contract{Name: "c", Member: "hanbit", Terms: &pb.ServiceTerms{Weight: 1, Urgent: true}},
		Resolved: &pb.ResolvedLimits{Millicores: 1 << 40, MemoryBytes: 1 << 60}})
	return d
}

// drawArrivals draws the arrivals of services, and those of batch and urgent tasks as Poisson processes, sorted by time.
func (d *driver) drawArrivals(rng *rand.Rand) []arrival {
	total := float64(d.Workers) * float64(d.Cores)
	list := d.drawServices(rng, int(d.ServiceLoad*total/serviceCores))
	batchRate := (d.Load - d.ServiceLoad) * total / batchCores / meanBatchRun
	list = d.drawStream(rng, list, pb.TaskClass_TASK_CLASS_BATCH, batchRate)
	list = d.drawStream(rng, list, pb.TaskClass_TASK_CLASS_URGENT, d.UrgentRate*float64(d.Workers)/100)
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// rampUp is the time over which the first services are submitted if ServiceLife is not 0.
const rampUp = 30 * time.Second

// drawServices draws n sequences of service tasks, in each of which a task arrives when the one before ends.
func (d *driver) drawServices(rng *rand.Rand, n int) []arrival {
	var list []arrival
	for i := range n {
		a := arrival{kind: i % d.slowdown.Services, class: pb.TaskClass_TASK_CLASS_SERVICE, work: math.Inf(1)}
		if d.ServiceLife == 0 {
			list = append(list, a)
			continue
		}
		a.at = time.Duration(rng.Float64() * float64(rampUp))
		for a.at < d.Warmup+d.Duration {
			a.life = time.Duration(rng.ExpFloat64() * float64(d.ServiceLife))
			list = append(list, a)
			a.at += a.life
		}
	}
	return list
}

func (d *driver) drawStream(rng *rand.Rand, list []arrival, class pb.TaskClass, rate float64) []arrival {
	end := (d.Warmup + d.Duration).Seconds()
	for at := rng.ExpFloat64() / rate; at < end; at += rng.ExpFloat64() / rate {
		work := urgentRun
		if class == pb.TaskClass_TASK_CLASS_BATCH {
			work = 5 + (meanBatchRun-5)*rng.ExpFloat64()
		}
		kind := d.slowdown.Services + rng.IntN(d.slowdown.Batches)
		list = append(list, arrival{at: time.Duration(at * float64(time.Second)), kind: kind, class: class, work: work})
	}
	return list
}

func (d *driver) elapsed() time.Duration { return d.world.Now.Sub(d.start) }

func (d *driver) measuring() bool { return d.elapsed() >= d.Warmup }

func (d *driver) step() error {
	d.world.Now = d.world.Now.Add(tick)
	d.submit()
	d.completeDue()
	d.advanceTasks()
	d.deliverSamples()
	before := d.world.Evictions
	plan, err := d.world.Step(maxPlacements)
	if err != nil {
		return err
	}
	for _, p := range plan.Placements {
		d.schedule(p.GetTask(), p.GetAttempt(), startDelay)
	}
	for _, e := range plan.Evictions {
		d.schedule(e.GetTask(), e.GetAttempt(), checkpointDelay)
	}
	if d.measuring() {
		d.result.Evictions += d.world.Evictions - before
		d.result.Throttles += countLimiting(plan.Throttles)
	}
	return nil
}

func (d *driver) submit() {
	for len(d.arrivals) > 0 && d.arrivals[0].at <= d.elapsed() {
		a := d.arrivals[0]
		d.arrivals = d.arrivals[1:]
		d.lastID++
		id := fmt.Sprintf("t%07d", d.lastID)
		p := &progress{kind: a.kind, left: a.work, submitted: d.world.Now}
		if a.life > 0 {
			p.ends = d.world.Now.Add(a.life)
		}
		d.progress[id] = p
		d.world.Submit(&pb.Task{Id: id, Spec: d.spec(a)})
	}
}

func (d *driver) spec(a arrival) *pb.TaskSpec {
	cores := map[pb.TaskClass]int64{pb.TaskClass_TASK_CLASS_BATCH: batchCores, pb.TaskClass_TASK_CLASS_SERVICE: serviceCores,
		pb.TaskClass_TASK_CLASS_URGENT: d.UrgentCores}[a.class]
	s := &pb.TaskSpec{Member: "hanbit", Contract: "c", Kind: fmt.Sprintf("kind%d", a.kind), Class: a.class,
		Resources: &pb.Resources{Millicores: cores, MemoryBytes: 4 * gigabyte}}
	if !math.IsInf(a.work, 1) {
		s.ExpectedRunMs = int64(a.work * 1000)
	}
	return s
}

// completeDue completes the starts and evictions that are due.
func (d *driver) completeDue() {
	for len(d.due) > 0 && !d.due[0].at.After(d.world.Now) {
		e := heap.Pop(&d.due).(dueEvent)
		t := d.world.Tasks[e.task]
		if t == nil || t.GetAttempt() != e.attempt {
			continue
		}
		switch t.GetState() {
		case pb.TaskState_TASK_STATE_STARTING:
			d.world.SetState(t, pb.TaskState_TASK_STATE_RUNNING)
			d.recordUrgent(t)
		case pb.TaskState_TASK_STATE_EVICTING:
			d.repeatWork(t)
			t.Checkpoint = &pb.Checkpoint{Attempt: t.GetAttempt(), Sequence: uint64(t.GetAttempt())}
			d.world.EndEviction(t)
		}
	}
}

// repeatWork adds the work that an evicted task has to repeat.
func (d *driver) repeatWork(t *pb.Task) {
	d.progress[t.GetId()].left += repeatedWork
	if d.measuring() {
		d.result.Batch -= repeatedWork * batchCores
	}
}

func (d *driver) recordUrgent(t *pb.Task) {
	if t.GetSpec().GetClass() == pb.TaskClass_TASK_CLASS_URGENT && d.measuring() {
		d.result.Urgent++
		d.result.UrgentWait = max(d.result.UrgentWait, d.world.Now.Sub(d.progress[t.GetId()].submitted))
	}
}

func (d *driver) schedule(task string, attempt uint32, after time.Duration) {
	heap.Push(&d.due, dueEvent{d.world.Now.Add(after), task, attempt})
}

// advanceTasks advances all started tasks by one tick, each at the speed that results from the tasks on the same worker.
func (d *driver) advanceTasks() {
	effects := d.slowdown.Effects(d.elapsed())
	for i := range d.Workers {
		worker := fmt.Sprintf("w%05d", i)
		on := slices.Clone(d.world.On(worker))
		pressure := d.pressure(on)
		for _, t := range on {
			if t.GetState() != pb.TaskState_TASK_STATE_STARTING {
				d.advance(t, worker, effects, pressure)
			}
		}
	}
}

// pressure returns the number of started tasks of each kind, weighted by their throttled speed.
func (d *driver) pressure(on []*pb.Task) []float64 {
	sum := make([]float64, d.slowdown.Kinds())
	for _, t := range on {
		if t.GetState() != pb.TaskState_TASK_STATE_STARTING {
			sum[d.progress[t.GetId()].kind] += d.share(t)
		}
	}
	return sum
}

func (d *driver) share(t *pb.Task) float64 {
	if s, ok := d.world.Shares[t.GetId()]; ok {
		return s
	}
	return 1
}

func (d *driver) advance(t *pb.Task, worker string, effects [][]float64, pressure []float64) {
	p := d.progress[t.GetId()]
	slow := -effects[p.kind][p.kind] * d.share(t) // pressure includes the task itself
	for kind, amount := range pressure {
		slow += amount * effects[p.kind][kind]
	}
	p.speed = math.Exp(-slow) * d.share(t)
	if d.elapsed()%time.Second == 0 {
		d.report(t, worker, p)
	}
	if t.GetSpec().GetClass() == pb.TaskClass_TASK_CLASS_SERVICE && d.measuring() {
		d.latency = append(d.latency, math.Exp(slow+latencyNoise*d.noise.NormFloat64()))
	}
	if t.GetState() != pb.TaskState_TASK_STATE_RUNNING {
		return
	}
	done := min(p.left, p.speed*tick.Seconds())
	p.left -= done
	if t.GetSpec().GetClass() == pb.TaskClass_TASK_CLASS_BATCH && d.measuring() {
		d.result.Batch += done * batchCores
	}
	if p.left <= 0 || !p.ends.IsZero() && !p.ends.After(d.world.Now) {
		d.world.End(t, pb.TaskState_TASK_STATE_FINISHED)
		delete(d.progress, t.GetId())
	}
}

// report queues a usage sample of a task for delivery after a random delay.
func (d *driver) report(t *pb.Task, worker string, p *progress) {
	lag := time.Duration(d.noise.Int64N(int64(d.Lag)))
	if d.noise.IntN(10) == 0 {
		lag *= 4
	}
	speed := p.speed * (1 + speedNoise*d.noise.NormFloat64())
	heap.Push(&d.samples, lateSample{d.world.Now.Add(lag), worker, &pb.UsageSample{
		Task: t.GetId(), Attempt: t.GetAttempt(), TakenUnixMs: d.world.Now.UnixMilli(), Speed: min(1, max(0.01, speed)),
		Millicores: int64(float64(t.GetSpec().GetResources().GetMillicores()) * 0.9), MemoryBytes: 3 * gigabyte}})
}

func (d *driver) deliverSamples() {
	for len(d.samples) > 0 && !d.samples[0].at.After(d.world.Now) {
		s := heap.Pop(&d.samples).(lateSample)
		d.world.Planner.Observe(s.worker, s.sample)
	}
}

func (d *driver) finish() Result {
	slices.Sort(d.latency)
	d.result.P50, d.result.P99 = quantile(d.latency, 0.5), quantile(d.latency, 0.99)
	d.result.Batch /= d.Duration.Seconds() * float64(d.Workers) * float64(d.Cores)
	for _, t := range d.world.Tasks {
		if t.GetState() == pb.TaskState_TASK_STATE_QUEUED {
			d.result.Waiting++
		}
	}
	return d.result
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
