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

// domain is a simulated failure domain with helpers for the tests in this file.
type domain struct {
	*sim.World
	t    testing.TB
	next int
}

// newDomain returns a domain with the given number of workers and a contract without effective limits for each member.
func newDomain(t testing.TB, workers int, config placement.Config) *domain {
	d := &domain{World: newWorld(config), t: t}
	for i := range workers {
		d.AddWorker(worker(i, 1, 8000))
	}
	d.AddContract(contract("a1", memberA, "", 1<<40))
	d.AddContract(contract("b1", memberB, "", 1<<40))
	return d
}

// submit submits a task of member A after the changes to its spec.
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

// step makes a plan, checks it and commits it.
func (d *domain) step() placement.Plan {
	d.t.Helper()
	plan, err := d.Step(maxPlacements)
	if err != nil {
		d.t.Fatal(err)
	}
	return plan
}

// run is step, after which the placed tasks run.
func (d *domain) run() placement.Plan {
	d.t.Helper()
	plan := d.step()
	for _, p := range plan.Placements {
		d.SetState(d.Tasks[p.GetTask()], running)
	}
	return plan
}

func (d *domain) advance(by time.Duration) { d.Now = d.Now.Add(by) }

// runTimeMs returns the run time of a small task in ms. It varies between tasks, so that capacity comes free in small
// amounts.
func runTimeMs(t *pb.Task, seed uint64) int64 {
	h := fnv.New32a()
	fmt.Fprint(h, t.GetId(), seed)
	return 1000 + int64(h.Sum32()%2000)
}

// checkStarvation returns an error if one of the large tasks is still queued after the given number of rounds with a
// stream of small tasks.
func checkStarvation(d *domain, seed uint64, large []*pb.Task, rounds int) error {
	for round := range rounds {
		d.advance(100 * time.Millisecond)
		for i := range 2 { // enough small tasks to take all room that comes free
			d.submit(batch, 500+500*int64((round+i)%3), func(s *pb.TaskSpec) { s.Member, s.Contract = memberB, "b1" })
		}
		d.run()
		for _, t := range d.Tasks {
			if t.GetState() == running && d.Now.UnixMilli()-t.GetStartedUnixMs() > runTimeMs(t, seed) {
				d.End(t, pb.TaskState_TASK_STATE_FINISHED)
			}
		}
		waiting := 0
		for _, t := range large {
			if t.GetState() == pb.TaskState_TASK_STATE_QUEUED {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
	}
	return fmt.Errorf("large tasks are still queued after %d rounds", rounds)
}

// starvationDomain returns a domain full of small tasks, and four large tasks queued in it: one that needs a whole
// worker and a gang of three.
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

// TestNoStarvation checks that large tasks and gangs don't wait for ever behind a stream of small tasks. With
// StarveAfter at 2 s they must start within 150 rounds of 100 ms.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		d, large := starvationDomain(&rapidTB{TB: nil, t: t}, seed, 2*time.Second)
		if err := checkStarvation(d, seed, large, 150); err != nil {
			t.Fatal(err)
		}
	})
}

// TestStarvationCheckRejectsFault checks that TestNoStarvation can fail: without protection from starvation, its tasks
// starve.
func TestStarvationCheckRejectsFault(t *testing.T) {
	d, large := starvationDomain(t, 1, time.Hour)
	is.New(t).True(checkStarvation(d, 1, large, 150) != nil)
}

// rapidTB is a testing.TB that passes fatal failures to rapid. Its other methods must not be called.
type rapidTB struct {
	testing.TB
	t *rapid.T
}

func (f *rapidTB) Helper()           {}
func (f *rapidTB) Fatal(args ...any) { f.t.Fatal(args...) }

// TestUrgentEvictsOnce checks that no more victims are evicted for an urgent task while the first ones stop, and that
// the room they free goes to the urgent task.
func TestUrgentEvictsOnce(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 3, placement.Config{})
	for range 12 {
		d.submit(batch, 2000)
	}
	is.Equal(len(d.run().Placements), 12)
	d.advance(10 * time.Second)
	u := d.submit(urgent, 3000)
	first := d.step()
	is.Equal(len(first.Evictions), 2)
	is.Equal(len(first.Placements), 0)
	d.advance(100 * time.Millisecond)
	d.submit(service, 1000) // must not take the room that the evictions free
	is.Equal(len(d.step().Evictions), 0)
	for _, e := range first.Evictions {
		d.EndEviction(d.Tasks[e.GetTask()])
	}
	plan := d.step()
	is.Equal(plan.Placements[0].GetTask(), u.GetId())
	is.Equal(len(plan.Evictions), 0)
}

// TestEvictedTaskIsProtected checks that a task that was evicted and has started again is not the next victim.
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
	d.advance(time.Second)
	d.submit(urgent, 4000)
	second := d.step().Evictions
	is.Equal(len(second), 1)
	is.True(second[0].GetTask() != victim.GetId())
	is.Equal(len(tasks), 2)
}

// TestUrgentEvictsWithinQuota checks that batch tasks are evicted if they use the quota that an urgent task of their
// contract needs.
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

// TestLoweredContractEvictsTasks checks that tasks are evicted once if the limit of their contract is lowered or the
// contract is withdrawn, and that queued tasks of a withdrawn contract are reported.
func TestLoweredContractEvictsTasks(t *testing.T) {
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

// TestUnschedulableIsReported checks that tasks that can never run are reported and don't block others, and that a task
// is not reported while a lost worker may still come back.
func TestUnschedulableIsReported(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 2, placement.Config{CapacityGrace: 5 * time.Second})
	d.advance(time.Minute)
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
	d.advance(6 * time.Second)
	is.Equal(d.step().Unschedulable[0].GetTask(), needsOne.GetId())
}

// TestQuarantine checks that a worker on which every start fails is quarantined, and that a kind that fails on every
// worker does not put workers into quarantine.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 6, placement.Config{})
	badKind := func(s *pb.TaskSpec) { s.Kind = "broken" }
	quarantined, reported := map[string]int{}, 0
	for round := range 400 {
		d.advance(100 * time.Millisecond)
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

// TestThrottleBeforeEviction checks that a batch task is throttled and not evicted if that suffices, and that the
// throttle is lifted when the slow task has recovered.
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
		d.advance(time.Second)
		d.Planner.Observe("w0", &pb.UsageSample{Task: web.GetId(), Attempt: 1, TakenUnixMs: d.Now.UnixMilli(), Speed: speed})
		plan := d.step()
		evictions += len(plan.Evictions)
		for _, th := range plan.Throttles {
			if th.Task == noisy.GetId() {
				shares = append(shares, th.Share)
				speed = 1 // web recovers as soon as noisy is throttled
			}
		}
	}
	is.Equal(evictions, 0)
	is.Equal(shares, []float64{0.5, 1})
}

// TestMeasuredUsage checks that room used beyond the declared size is not given to other tasks, that declared sizes
// count again when reports are missing, and that the expected size of a kind follows its measured usage.
func TestMeasuredUsage(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, placement.Config{})
	hungry := d.submit(batch, 1000)
	d.run()
	usage := func(cores int64) {
		d.Planner.Observe("w0", &pb.UsageSample{Task: hungry.GetId(), Attempt: 1, TakenUnixMs: d.Now.UnixMilli(), Millicores: cores})
	}
	d.advance(time.Second)
	usage(7000)
	waits := d.submit(batch, 2000, func(s *pb.TaskSpec) { s.Kind = "other" })
	is.Equal(len(d.step().Placements), 0)
	d.advance(20 * time.Second) // the last report is outdated, so the declared size counts
	is.Equal(d.run().Placements[0].GetTask(), waits.GetId())
	for range 20 {
		d.advance(time.Second)
		usage(3000)
	}
	d.End(waits, pb.TaskState_TASK_STATE_FINISHED)
	for range 4 { // the kind uses three times its declared size, so 5,000 free millicores hold one more and not four
		d.submit(batch, 1000)
	}
	is.Equal(len(d.run().Placements), 1)
}

// TestFairShares checks that the shares of two members are proportional to the weights of their contracts.
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

// TestRackSpread checks that the service tasks of one kind are spread over racks.
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

// TestTasksThatDoNotFitDoNotBlockOthers checks that a task is placed that is queued behind tasks that do not fit, even
// if these are more than one plan tries. One worker has no free memory and the other no free cores, so the maxima in
// the index don't rule the tasks out and each must be searched for.
func TestTasksThatDoNotFitDoNotBlockOthers(t *testing.T) {
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
		d.advance(10 * time.Millisecond)
		d.run()
	}
	is.Equal(last.GetState(), running)
}

// TestUrgentStartsInTime checks that urgent tasks start within 4.8 s of their submission on full workers, with at most
// two evictions per urgent task. BenchmarkUrgent runs the same conditions for longer.
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

// TestRefusedStartIsDelayed checks that a task whose start was refused is not placed again at once.
func TestRefusedStartIsDelayed(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, placement.Config{})
	refused := d.submit(batch, 1000)
	is.Equal(len(d.step().Placements), 1)
	d.SetState(refused, pb.TaskState_TASK_STATE_QUEUED)
	is.Equal(len(d.step().Placements), 0)
	d.advance(200 * time.Millisecond)
	is.Equal(len(d.step().Placements), 1)
}
