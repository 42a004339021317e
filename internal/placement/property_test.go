package placement_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
	"github.com/lentilyard/lentilyard/internal/placement/sim"
)

// init fixes the seed of rapid so that failures are reproducible. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1_700_000_000, 0)

const (
	memberA, memberB = "hanbit", "szikes"
	maxPlacements    = 64
)

func newWorld(config placement.Config) *sim.World {
	return sim.NewWorld(start, func(now func() time.Time) sim.Planner {
		config.Now = now
		return placement.New(config)
	})
}

func contract(name, member, team string, cores int64) *pb.ResolvedContract {
	return &pb.ResolvedContract{
		Written:  &pb.Contract{Name: name, Member: member, Team: team, Terms: &pb.ServiceTerms{Weight: 1, Urgent: true}},
		Resolved: &pb.ResolvedLimits{Millicores: cores, MemoryBytes: cores, Accelerators: cores / 4000},
	}
}

func worker(id int, epoch uint64, cores int64) *pb.Worker {
	return &pb.Worker{Id: fmt.Sprintf("w%d", id), Epoch: epoch, Rack: fmt.Sprintf("r%d", id/3),
		Capacity: &pb.Resources{Millicores: cores, MemoryBytes: cores, Accelerators: int64(id % 2)},
		State:    pb.WorkerState_WORKER_STATE_READY, Guards: true}
}

// startBatch submits and starts up to 40 batch tasks, so that most runs begin with full workers.
func (m *machine) startBatch(t *rapid.T) {
	for range rapid.IntRange(0, 40).Draw(t, "batch") {
		m.next++
		m.world.Submit(&pb.Task{Id: fmt.Sprintf("t%05d", m.next), Spec: &pb.TaskSpec{Member: memberB, Contract: "b1",
			Kind: "z", Class: pb.TaskClass_TASK_CLASS_BATCH, Resources: &pb.Resources{Millicores: 1000, MemoryBytes: 1000}}})
	}
	m.step(t)
	for s := m.drawTask(t, pb.TaskState_TASK_STATE_STARTING); s != nil; s = m.drawTask(t, pb.TaskState_TASK_STATE_STARTING) {
		m.world.SetState(s, pb.TaskState_TASK_STATE_RUNNING)
	}
}

// machine is a rapid state machine that applies random events to a world. Every step checks the plan against the state
// of the world and the cache for consistency.
type machine struct {
	world *sim.World
	next  int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{world: newWorld(placement.Config{Seed: rapid.Uint64().Draw(t, "seed"), StarveAfter: 5 * time.Second,
		CapacityGrace: time.Second})}
	for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
		m.world.AddWorker(worker(i, 1, 8000))
	}
	m.world.AddContract(contract("a1", memberA, "", 30000))
	m.world.AddContract(contract("a2", memberA, "dye", 20000))
	m.world.AddContract(contract("b1", memberB, "", 60000))
	m.startBatch(t)
	return m
}

func (m *machine) spec(t *rapid.T) *pb.TaskSpec {
	name := rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "contract")
	member := memberA
	if name == "b1" {
		member = memberB
	}
	cores := rapid.SampledFrom([]int64{100, 1000, 2000, 4000, 7900, 8000, 9000}).Draw(t, "cores")
	return &pb.TaskSpec{Member: member, Contract: name, Kind: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "kind"),
		Class:     pb.TaskClass(rapid.IntRange(1, 3).Draw(t, "class")),
		Resources: &pb.Resources{Millicores: cores, MemoryBytes: rapid.Int64Range(0, 4000).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 9).Draw(t, "acc") / 9},
	}
}

func (m *machine) submit(t *rapid.T) {
	spec := m.spec(t)
	n := 1
	if rapid.IntRange(0, 3).Draw(t, "gang") == 3 {
		n = rapid.IntRange(2, 4).Draw(t, "size")
		spec.Gang, spec.GangSize = fmt.Sprintf("g%d", m.next), uint32(n)
	}
	n *= rapid.IntRange(1, 3).Draw(t, "copies") // a gang with more tasks than its size must still be placed whole
	for range n {
		m.next++
		m.world.Submit(&pb.Task{Id: fmt.Sprintf("t%05d", m.next), Spec: proto.Clone(spec).(*pb.TaskSpec)})
	}
}

// drawTask draws one of the tasks in the given state, or returns nil if there are none.
func (m *machine) drawTask(t *rapid.T, state pb.TaskState) *pb.Task {
	var eligible []*pb.Task
	for i := range m.next + 1 {
		if task := m.world.Tasks[fmt.Sprintf("t%05d", i)]; task != nil && task.GetState() == state {
			eligible = append(eligible, task)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return eligible[rapid.IntRange(0, len(eligible)-1).Draw(t, "which")]
}

// progress lets a starting task run or fail, may finish a running one, and ends an eviction.
func (m *machine) progress(t *rapid.T) {
	if s := m.drawTask(t, pb.TaskState_TASK_STATE_STARTING); s != nil {
		if rapid.IntRange(0, 3).Draw(t, "fail") == 3 {
			m.world.FailStart(s)
		} else {
			m.world.SetState(s, pb.TaskState_TASK_STATE_RUNNING)
		}
	}
	if r := m.drawTask(t, pb.TaskState_TASK_STATE_RUNNING); r != nil && rapid.Bool().Draw(t, "end") {
		m.world.End(r, pb.TaskState_TASK_STATE_FINISHED)
	}
	if e := m.drawTask(t, pb.TaskState_TASK_STATE_EVICTING); e != nil {
		m.world.EndEviction(e)
	}
}

func (m *machine) cancel(t *rapid.T) {
	if q := m.drawTask(t, pb.TaskState_TASK_STATE_QUEUED); q != nil {
		m.world.End(q, pb.TaskState_TASK_STATE_CANCELLED)
	}
}

// observe reports usage of a running task, sometimes late or for an attempt that does not exist.
func (m *machine) observe(t *rapid.T) {
	r := m.drawTask(t, pb.TaskState_TASK_STATE_RUNNING)
	if r == nil {
		return
	}
	lag := rapid.Int64Range(0, 30000).Draw(t, "lag")
	m.world.Planner.Observe(r.GetWorker(), &pb.UsageSample{
		Task: r.GetId(), Attempt: r.GetAttempt() + rapid.Uint32Range(0, 5).Draw(t, "attempt")/5, TakenUnixMs: m.world.Now.UnixMilli() - lag,
		Millicores: rapid.Int64Range(0, 12000).Draw(t, "used"), MemoryBytes: rapid.Int64Range(0, 9000).Draw(t, "memory"),
		Speed: rapid.Float64Range(0, 1).Draw(t, "speed"),
	})
}

// changeWorker registers a missing or lost worker, or loses or drains another.
func (m *machine) changeWorker(t *rapid.T) {
	id := rapid.IntRange(0, 8).Draw(t, "worker")
	old := m.world.Workers[fmt.Sprintf("w%d", id)]
	switch {
	case old == nil || old.GetState() == pb.WorkerState_WORKER_STATE_LOST:
		m.world.AddWorker(worker(id, old.GetEpoch()+1, 8000))
	case rapid.Bool().Draw(t, "lose"):
		m.world.SetWorkerState(old.GetId(), pb.WorkerState_WORKER_STATE_LOST)
	default:
		m.world.SetWorkerState(old.GetId(), pb.WorkerState_WORKER_STATE_DRAINING)
	}
}

// removeWorker removes a lost worker.
func (m *machine) removeWorker(t *rapid.T) {
	id := fmt.Sprintf("w%d", rapid.IntRange(0, 8).Draw(t, "worker"))
	if old := m.world.Workers[id]; old.GetState() == pb.WorkerState_WORKER_STATE_LOST {
		delete(m.world.Workers, id)
		m.world.Planner.RemoveWorker(id)
	}
}

// withdraw withdraws contract a2.
func (m *machine) withdraw(*rapid.T) {
	c := m.world.Contracts["a2"]
	c.Resolved = &pb.ResolvedLimits{} // the world then rejects placements under it and permits evictions
	m.world.Planner.RemoveContract("a2")
}

func (m *machine) changeContract(t *rapid.T) {
	m.world.AddContract(contract("a1", memberA, "", rapid.Int64Range(1, 6).Draw(t, "limit")*10000))
}

func (m *machine) advance(t *rapid.T) {
	m.world.Now = m.world.Now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) step(t *rapid.T) {
	if _, err := m.world.Step(rapid.IntRange(1, maxPlacements).Draw(t, "max")); err != nil {
		t.Fatal(err)
	}
	m.checkAccounting(t)
}

func (m *machine) checkAccounting(t *rapid.T) {
	if err := m.world.Planner.(*placement.Planner).CheckAccounting(); err != nil {
		t.Fatal(err)
	}
}

// TestPlanInvariants checks under random events that no plan exceeds capacity or quota, splits a gang, places a task
// twice, evicts an urgent task or refers to outdated state, and that the sums updated incrementally stay correct.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submit2": m.submit, "step": m.step, "step2": m.step, "progress": m.progress,
			"cancel": m.cancel, "observe": m.observe, "worker": m.changeWorker, "contract": m.changeContract,
			"advance": m.advance, "remove": m.removeWorker, "withdraw": m.withdraw, "": m.checkAccounting,
		})
	})
}

// TestCheckersRejectFaults checks that World.Check detects each kind of invalid plan, and accepts a valid one.
func TestCheckersRejectFaults(t *testing.T) {
	place := func(task, worker string) *pb.Placement {
		return &pb.Placement{Task: task, Attempt: 1, Worker: worker, WorkerEpoch: 1}
	}
	big := place("big", "w0")
	cases := []struct {
		name string
		plan placement.Plan
		want error
	}{
		{"capacity", placement.Plan{Placements: []*pb.Placement{big, place("small", "w0")}}, sim.ErrCapacity},
		{"quota", placement.Plan{Placements: []*pb.Placement{big, place("over", "w1")}}, sim.ErrQuota},
		{"gang", placement.Plan{Placements: []*pb.Placement{place("g1", "w1")}}, sim.ErrGang},
		{"twice", placement.Plan{Placements: []*pb.Placement{place("small", "w0"), place("small", "w1")}}, sim.ErrTwice},
		{"twice running", placement.Plan{Placements: []*pb.Placement{place("urgent", "w1")}}, sim.ErrTwice},
		{"urgent victim", placement.Plan{Evictions: []*pb.Eviction{{Task: "urgent", Attempt: 1}}}, sim.ErrUrgent},
		{"worker state", placement.Plan{Placements: []*pb.Placement{place("small", "w2")}}, sim.ErrWorkerState},
		{"attempt", placement.Plan{Placements: []*pb.Placement{{Task: "small", Attempt: 2, Worker: "w0", WorkerEpoch: 1}}}, sim.ErrStale},
		{"eviction of queued", placement.Plan{Evictions: []*pb.Eviction{{Task: "small"}}}, sim.ErrStale},
		{"report of running", placement.Plan{Unschedulable: []*pb.MarkUnschedulable{{Task: "urgent"}}}, sim.ErrStale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(faultWorld().Check(c.plan), c.want))
		})
	}
	is.New(t).NoErr(faultWorld().Check(placement.Plan{Placements: []*pb.Placement{big, place("small", "w1")}}))
}

// faultWorld returns the world in which the plans of TestCheckersRejectFaults are invalid.
func faultWorld() *sim.World {
	w := newWorld(placement.Config{})
	for i := range 3 {
		w.AddWorker(worker(i, 1, 8000))
	}
	w.AddContract(contract("a1", memberA, "", 12000))
	submit := func(id, gang string, class pb.TaskClass, cores int64) *pb.Task {
		m := &pb.Task{Id: id, Spec: &pb.TaskSpec{Member: memberA, Contract: "a1", Class: class, Gang: gang,
			Resources: &pb.Resources{Millicores: cores}}}
		if gang != "" {
			m.Spec.GangSize = 2
		}
		w.Submit(m)
		return m
	}
	urgent := submit("urgent", "", pb.TaskClass_TASK_CLASS_URGENT, 100)
	urgent.Attempt, urgent.Worker = 1, "w0"
	w.SetState(urgent, pb.TaskState_TASK_STATE_RUNNING)
	submit("big", "", pb.TaskClass_TASK_CLASS_BATCH, 7900)
	submit("small", "", pb.TaskClass_TASK_CLASS_BATCH, 100)
	submit("over", "", pb.TaskClass_TASK_CLASS_BATCH, 5000)
	submit("g1", "g", pb.TaskClass_TASK_CLASS_BATCH, 100)
	submit("g2", "g", pb.TaskClass_TASK_CLASS_BATCH, 100)
	w.SetWorkerState("w2", pb.WorkerState_WORKER_STATE_DRAINING)
	return w
}

// TestAccountingCheckRejectsFaults checks that CheckAccounting detects each corruption of the cache.
func TestAccountingCheckRejectsFaults(t *testing.T) {
	for name, fault := range placement.AccountingFaults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDomain(t, 2, placement.Config{})
			d.submit(batch, 1000)
			d.run()
			p := d.Planner.(*placement.Planner)
			is.NoErr(p.CheckAccounting())
			fault(p)
			is.True(p.CheckAccounting() != nil)
		})
	}
}
