package placement_test

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
	"github.com/lentilyard/lentilyard/internal/placement/sim"
)

const (
	urgent  = pb.TaskClass_TASK_CLASS_URGENT
	service = pb.TaskClass_TASK_CLASS_SERVICE
	batch   = pb.TaskClass_TASK_CLASS_BATCH
	running = pb.TaskState_TASK_STATE_RUNNING
)

// domain is a world with helpers for scenarios.
type domain struct {
	*sim.World
	t    testing.TB
	next int
}

func newDomain(t testing.TB, workers int, config placement.Config) *domain {
	d := &domain{World: newWorld(config), t: t}
	for i := range workers {
		d.AddWorker(worker(i, 1, 8000))
	}
	d.AddContract(contract("a1", memberA, "", 1<<40))
	d.AddContract(contract("b1", memberB, "", 1<<40))
	return d
}

func (d *domain) submit(class pb.TaskClass, cores int64, change ...func(*pb.TaskSpec)) *pb.Task {
	d.next++
	t := &pb.Task{Id: fmt.Sprintf("t%05d", d.next), Spec: &pb.TaskSpec{Member: memberA, Contract: "a1", Kind: "k", Class: class,
		Resources: &pb.Resources{Millicores: cores}}}
	for _, f := range change {
		f(t.Spec)
	}
	d.Submit(t)
	return t
}

func (d *domain) step() placement.Plan {
	d.t.Helper()
	plan, err := d.Step(maxPlacements)
	if err != nil {
		d.t.Fatal(err)
	}
	return plan
}

// run commits a plan and starts what it placed.
func (d *domain) run() placement.Plan {
	d.t.Helper()
	plan := d.step()
	for _, p := range plan.Placements {
		d.SetState(d.Tasks[p.GetTask()], running)
	}
	return plan
}

func (d *domain) after(wait time.Duration) { d.Now = d.Now.Add(wait) }

// life is the run time of a small task in ms. It varies, so that room comes free a little at a time.
func life(t *pb.Task, seed uint64) int64 {
	h := fnv.New32a()
	fmt.Fprint(h, t.GetId(), seed)
	return 1000 + int64(h.Sum32()%2000)
}

// starved returns an error if some of the victims wait for more than the given rounds behind a stream of small tasks.
func starved(d *domain, seed uint64, victims []*pb.Task, rounds int) error {
	for round := range rounds {
		d.after(100 * time.Millisecond)
		for i := range 2 { // small tasks take all room that comes free
			d.submit(batch, 500+500*int64((round+i)%3), func(s *pb.TaskSpec) { s.Member, s.Contract = memberB, "b1" })
		}
		d.run()
		for _, t := range d.Tasks {
			if t.GetState() == running && d.Now.UnixMilli()-t.GetStartedUnixMs() > life(t, seed) {
				d.End(t, pb.TaskState_TASK_STATE_FINISHED)
			}
		}
		waiting := 0
		for _, v := range victims {
			if v.GetState() == pb.TaskState_TASK_STATE_QUEUED {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
	}
	return fmt.Errorf("tasks still wait after %d rounds", rounds)
}

func starvationDomain(t testing.TB, seed uint64, after time.Duration) (*domain, []*pb.Task) {
	d := newDomain(t, 4, placement.Config{Seed: seed, StarveAfter: after})
	for range 40 {
		d.submit(batch, 1000, func(s *pb.TaskSpec) { s.Member, s.Contract = memberB, "b1" })
	}
	d.run()
	whole := d.submit(batch, 8000)
	gang := func(s *pb.TaskSpec) { s.Gang, s.GangSize = "g", 3 }
	return d, []*pb.Task{whole, d.submit(batch, 6000, gang), d.submit(batch, 6000, gang), d.submit(batch, 6000, gang)}
}

// Guards against large tasks and gangs that wait for ever behind a stream of small ones: they must start within 150
// rounds of 100 ms when the starvation limit is 2 s.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		d, victims := starvationDomain(&fatal{TB: nil, t: t}, seed, 2*time.Second)
		if err := starved(d, seed, victims, 150); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a starvation check that passes everything: with the protection off, the tasks must starve.
func TestStarvationCheckRejectsFault(t *testing.T) {
	d, victims := starvationDomain(t, 1, time.Hour)
	is.New(t).True(starved(d, 1, victims, 150) != nil)
}

// fatal passes failures of a scenario to rapid.
type fatal struct {
	testing.TB
	t *rapid.T
}

func (f *fatal) Helper()           {}
func (f *fatal) Fatal(args ...any) { f.t.Fatal(args...) }

// Guards against evictions that repeat while their victims stop, and against an urgent task that does not get the room.
func TestUrgentEvictsOnce(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 3, placement.Config{})
	for range 12 {
		d.submit(batch, 2000)
	}
	is.Equal(len(d.run().Placements), 12)
	d.after(10 * time.Second)
	u := d.submit(urgent, 3000)
	first := d.step()
	is.Equal(len(first.Evictions), 2)
	is.Equal(len(first.Placements), 0)
	d.after(100 * time.Millisecond)
	d.submit(service, 1000) // must not take what is being freed
	is.Equal(len(d.step().Evictions), 0)
	for _, e := range first.Evictions {
		d.EndEviction(d.Tasks[e.GetTask()])
	}
	plan := d.step()
	is.Equal(plan.Placements[0].GetTask(), u.GetId())
	is.Equal(len(plan.Evictions), 0)
}

// Guards against ping-pong: a task that was evicted and started again is not the next victim.
func TestEvictedTaskIsProtected(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, placement.Config{})
	tasks := []*pb.Task{d.submit(batch, 4000), d.submit(batch, 4000)}
	d.run()
	d.submit(urgent, 4000)
	victim := d.Tasks[d.step().Evictions[0].GetTask()]
	d.EndEviction(victim)
	done := d.run()
	d.End(d.Tasks[done.Placements[0].GetTask()], pb.TaskState_TASK_STATE_FINISHED)
	is.Equal(d.run().Placements[0].GetTask(), victim.GetId())
	d.after(time.Second)
	d.submit(urgent, 4000)
	second := d.step().Evictions
	is.Equal(len(second), 1)
	is.True(second[0].GetTask() != victim.GetId())
	is.Equal(len(tasks), 2)
}

// Guards against an urgent task that its own contract's batch tasks keep from starting.
func TestUrgentEvictsWithinQuota(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 2, placement.Config{})
	d.AddContract(contract("a1", memberA, "", 4000))
	for range 2 {
		d.submit(batch, 2000)
	}
	d.run()
	u := d.submit(urgent, 1000)
	first := d.step()
	is.Equal(len(first.Evictions), 1)
	is.Equal(len(d.step().Evictions), 0)
	d.EndEviction(d.Tasks[first.Evictions[0].GetTask()])
	is.Equal(d.step().Placements[0].GetTask(), u.GetId())
}

// Guards against work that runs on under a contract that was lowered or withdrawn.
func TestLoweredContractEndsWork(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 2, placement.Config{})
	for range 4 {
		d.submit(batch, 2000)
	}
	d.run()
	d.AddContract(contract("a1", memberA, "", 5000))
	is.Equal(len(d.step().Evictions), 2)
	is.Equal(len(d.step().Evictions), 0)
	delete(d.Contracts, "a1")
	d.Planner.RemoveContract("a1")
	is.Equal(len(d.step().Evictions), 2)
	q := d.submit(batch, 100)
	report := d.step().Unschedulable
	is.Equal(report[0].GetTask(), q.GetId())
	is.Equal(report[0].GetReason(), `contract "a1" was withdrawn`)
}

// Guards against tasks that can never run being silent or blocking others, and against reports while a lost worker may
// still come back.
func TestUnschedulableIsReported(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 2, placement.Config{CapacityGrace: 5 * time.Second})
	d.after(time.Minute)
	cases := []struct {
		task   *pb.Task
		reason string
	}{
		{d.submit(batch, 9000), "no worker is large enough: needs 9000 millicores, the most is 8000"},
		{d.submit(batch, 100, func(s *pb.TaskSpec) { s.Resources.Accelerators = 2 }), "needs 2 accelerators, the most is 1"},
		{d.submit(batch, 8000, func(s *pb.TaskSpec) { s.Gang, s.GangSize = "g", 3 }), ""},
		{d.submit(batch, 8000, func(s *pb.TaskSpec) { s.Gang, s.GangSize = "g", 3 }), ""},
		{d.submit(batch, 8000, func(s *pb.TaskSpec) { s.Gang, s.GangSize = "g", 3 }), "the workers hold only 2 of the 3 tasks of the gang at once"},
	}
	fine := d.submit(batch, 100)
	needsOne := d.submit(batch, 8000, func(s *pb.TaskSpec) { s.Resources.Accelerators = 1 })
	plan := d.step()
	is.Equal(len(plan.Placements), 2)
	is.Equal(d.Tasks[fine.GetId()].GetState(), pb.TaskState_TASK_STATE_STARTING)
	reasons := map[string]string{}
	for _, u := range plan.Unschedulable {
		reasons[u.GetTask()] = u.GetReason()
	}
	is.Equal(len(reasons), 5)
	for _, c := range cases {
		is.True(strings.Contains(reasons[c.task.GetId()], c.reason))
	}
	pair := func(s *pb.TaskSpec) { s.Gang, s.GangSize = "h", 2 }
	cancelled, left := d.submit(batch, 100, pair), d.submit(batch, 100, pair)
	d.End(cancelled, pb.TaskState_TASK_STATE_CANCELLED)
	is.Equal(d.step().Unschedulable[0].GetTask(), left.GetId())
	d.SetWorkerState("w1", pb.WorkerState_WORKER_STATE_LOST) // the only one with an accelerator
	is.Equal(len(d.step().Unschedulable), 0)
	d.after(6 * time.Second)
	is.Equal(d.step().Unschedulable[0].GetTask(), needsOne.GetId())
}

// Guards against a worker that fails every start staying in use, and against taking workers out because of a kind that
// fails everywhere.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 6, placement.Config{})
	badKind := func(s *pb.TaskSpec) { s.Kind = "broken" }
	quarantined, reported := map[string]int{}, 0
	for round := range 400 {
		d.after(100 * time.Millisecond)
		d.submit(batch, 500)
		if round%4 == 0 {
			d.submit(batch, 500, badKind)
		}
		plan := d.step()
		reported += len(plan.Unschedulable)
		for _, s := range plan.WorkerStates {
			if s.GetState() == pb.WorkerState_WORKER_STATE_SET_ASIDE {
				quarantined[s.GetWorker()]++
			}
		}
		for _, p := range plan.Placements {
			task := d.Tasks[p.GetTask()]
			if p.GetWorker() == "w2" || task.GetSpec().GetKind() == "broken" {
				d.FailStart(task)
				continue
			}
			d.SetState(task, running)
			d.End(task, pb.TaskState_TASK_STATE_FINISHED)
		}
	}
	t.Log(quarantined, reported)
	is.True(quarantined["w2"] >= 2 && quarantined["w2"] <= 4) // 40 s: quarantines of 10 s, 20 s, 40 s
	is.Equal(len(quarantined), 1)
	is.True(reported > 50)
}

// Guards against evictions where a throttle would do, and against throttles that stay after the cause has gone.
func TestThrottleBeforeEviction(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, placement.Config{})
	web := d.submit(service, 1000, func(s *pb.TaskSpec) { s.Kind = "web" })
	noisy := d.submit(batch, 1000, func(s *pb.TaskSpec) { s.Kind = "noisy" })
	d.submit(batch, 1000, func(s *pb.TaskSpec) { s.Kind = "quiet" })
	d.run()
	shares := []float64{}
	evictions := 0
	speed := 0.4
	for range 60 {
		d.after(time.Second)
		d.Planner.Observe("w0", &pb.UsageSample{Task: web.GetId(), Attempt: 1, TakenUnixMs: d.Now.UnixMilli(), Speed: speed})
		plan := d.step()
		evictions += len(plan.Evictions)
		for _, th := range plan.Throttles {
			if th.Task == noisy.GetId() {
				shares = append(shares, th.Share)
				speed = 1 // the throttle helps, and the noise ends by itself
			}
		}
	}
	is.Equal(evictions, 0)
	is.Equal(shares, []float64{0.5, 1})
}

// Guards against capacity promised twice when tasks use more than declared, against reports that are missing, and
// against corrections that outgrow the workers.
func TestMeasuredUsage(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, placement.Config{})
	hungry := d.submit(batch, 1000)
	d.run()
	usage := func(cores int64) {
		d.Planner.Observe("w0", &pb.UsageSample{Task: hungry.GetId(), Attempt: 1, TakenUnixMs: d.Now.UnixMilli(), Millicores: cores})
	}
	d.after(time.Second)
	usage(7000)
	waits := d.submit(batch, 2000, func(s *pb.TaskSpec) { s.Kind = "other" })
	is.Equal(len(d.step().Placements), 0)
	d.after(20 * time.Second) // reports are missing: declared sizes count again
	is.Equal(d.run().Placements[0].GetTask(), waits.GetId())
	for range 20 {
		d.after(time.Second)
		usage(3000)
	}
	d.End(waits, pb.TaskState_TASK_STATE_FINISHED)
	for range 4 { // the kind uses three times its size, so 5,000 free millicores hold one more and not four
		d.submit(batch, 1000)
	}
	is.Equal(len(d.run().Placements), 1)
}

// Guards against shares that do not follow the weights of the contracts.
func TestFairShares(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 4, placement.Config{})
	heavy := contract("b1", memberB, "", 1<<40)
	heavy.Written.Terms.Weight = 3
	d.AddContract(heavy)
	for range 40 {
		d.submit(batch, 1000)
		d.submit(batch, 1000, func(s *pb.TaskSpec) { s.Member, s.Contract = memberB, "b1" })
	}
	placedFor := map[string]int{}
	for _, p := range d.run().Placements {
		placedFor[d.Tasks[p.GetTask()].GetSpec().GetMember()]++
	}
	is.Equal(placedFor, map[string]int{memberA: 8, memberB: 24})
}

// Guards against services of one kind in one rack.
func TestRackSpread(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 9, placement.Config{}) // racks of three
	for range 3 {
		d.submit(service, 1000)
	}
	racks := map[string]bool{}
	for _, p := range d.run().Placements {
		racks[d.Workers[p.GetWorker()].GetRack()] = true
	}
	is.Equal(len(racks), 3)
}

// Guards against tasks that do not fit now blocking those behind them, also when there are more of them than one plan
// tries. The memory of one worker and the cores of the other are in use, so each has to be searched for.
func TestTasksThatDoNotFitBlockNobody(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 2, placement.Config{})
	d.submit(batch, 8000)
	d.run()
	d.submit(batch, 100, func(s *pb.TaskSpec) { s.Resources.MemoryBytes = 8000 })
	d.run()
	for i := range 2000 {
		d.submit(batch, 200+int64(i), func(s *pb.TaskSpec) { s.Resources.MemoryBytes = 1000 })
	}
	last := d.submit(batch, 50)
	last.SubmittedUnixMs++
	for range 20 {
		d.after(10 * time.Millisecond)
		d.run()
	}
	is.Equal(last.GetState(), running)
}

// Guards against urgent tasks that start later than 4.8 s after their submit on full workers, and against more victims
// than room for them needs. The benchmark BenchmarkUrgent runs the same for longer.
func TestUrgentStartsInTime(t *testing.T) {
	is := is.New(t)
	c := sim.UrgentConditions(1)
	c.Warmup, c.Duration = 20*time.Second, 20*time.Second
	r, err := sim.Drive(c, func(now func() time.Time) sim.Planner {
		return placement.New(placement.Config{Seed: 1, Now: now})
	})
	is.NoErr(err)
	is.True(r.Urgent >= 20)
	is.True(r.UrgentWait <= 4800*time.Millisecond)
	is.True(r.Evictions <= 2*r.Urgent)
}

// Guards against a refused start that is repeated in every plan.
func TestRefusedStartWaits(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, placement.Config{})
	refused := d.submit(batch, 1000)
	is.Equal(len(d.step().Placements), 1)
	d.SetState(refused, pb.TaskState_TASK_STATE_QUEUED)
	is.Equal(len(d.step().Placements), 0)
	d.after(200 * time.Millisecond)
	is.Equal(len(d.step().Placements), 1)
}
