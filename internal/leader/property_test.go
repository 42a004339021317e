package leader

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/standin"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	simWorkers   = 3
	simTasks     = 30
	faultPhase   = 50 * time.Second
	quietPhase   = 150 * time.Second
	propertySeed = "20261204"
	// propertyChecks keeps the package under 30 s with -race.
	propertyChecks = "60"
)

var simCapacity = &pb.Resources{Millicores: 4000, MemoryBytes: 1 << 30}

// TestMain fixes the seed of the property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.checks": propertyChecks, "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// fault is one planned disturbance.
type fault struct {
	after  time.Duration // since the former one
	kind   string
	target int
	length time.Duration
}

func drawFaults(t *rapid.T) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			after:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "after_ms")) * time.Millisecond,
			kind:   rapid.SampledFrom([]string{"elect", "freeze", "stall", "restart", "silence", "evict", "evict", "cancel", "drain"}).Draw(t, "kind"),
			target: rapid.IntRange(0, 5).Draw(t, "target"),
			length: time.Duration(rapid.IntRange(100, 30000).Draw(t, "length_ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 4, 16).Draw(t, "faults")
}

// simulation is one run of a cluster with workers under faults.
type simulation struct {
	cluster *simCluster
	network *simNetwork
	history *history
	running *sync.WaitGroup
	kill    [simWorkers]context.CancelFunc
	process [simWorkers]int
	options func(*standin.WorkerOptions)
	// minRun is the shortest run time of a task; the longest is 15 s more.
	minRun          time.Duration
	checkpointEvery time.Duration
}

// seeded changes a simulation so that a protection is missing.
type seeded func(*simulation)

// simulate runs a plan in virtual time and returns what happened.
func simulate(t *testing.T, seed uint64, reckless bool, faults []fault, change seeded) *history {
	h := newHistory()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		s := newSimulation(seed, reckless, h, &running)
		if change != nil {
			change(s)
		}
		s.cluster.run(ctx, &running)
		s.cluster.elect(0, 0)
		for n := range simWorkers {
			s.startWorker(ctx, n)
		}
		running.Go(func() { s.submitAll(ctx) })
		s.disturb(ctx, faults)
		s.waitForEnd()
		cancel()
		running.Wait()
		h.entries = s.cluster.entries
		time.Sleep(time.Minute) // lets delayed messages end
	})
	return h
}

// waitForEnd waits until every task has ended, at most for the quiet phase.
func (s *simulation) waitForEnd() {
	for deadline := time.Now().Add(quietPhase); time.Now().Before(deadline); time.Sleep(time.Second) {
		open := 0
		s.cluster.nodes[s.cluster.current()].state.View().EachTask(func(t *pb.Task) {
			if !domain.Ended(t.GetState()) {
				open++
			}
		})
		if open == 0 {
			return
		}
	}
}

func newSimulation(seed uint64, reckless bool, h *history, running *sync.WaitGroup) *simulation {
	planner := func() Planner { return NewFirstFit() }
	if reckless {
		planner = func() Planner { return &recklessPlanner{NewFirstFit(), rand.New(rand.NewPCG(seed, 2))} }
	}
	c := newSimCluster(seed, 3, planner, testLease)
	c.unknownPercent = 2
	network := &simNetwork{cluster: c, faulty: true, silent: map[string]bool{}}
	return &simulation{cluster: c, network: network, history: h, running: running, minRun: 500 * time.Millisecond, checkpointEvery: time.Second, options: func(*standin.WorkerOptions) {}}
}

// recklessPlanner proposes placements that ignore capacity and worker state, which the state machine must refuse.
type recklessPlanner struct {
	*FirstFit
	random *rand.Rand
}

func (p *recklessPlanner) Plan(now time.Time, limit int) Plan {
	plan := p.FirstFit.Plan(now, limit)
	for _, t := range p.queued {
		for id, w := range p.workers {
			if p.random.IntN(20) == 0 {
				plan.Placements = append(plan.Placements, &pb.Placement{Task: t.GetId(), Attempt: t.GetAttempt() + 1, Worker: id, WorkerEpoch: w.GetEpoch()})
			}
		}
	}
	return plan
}

func (s *simulation) startWorker(ctx context.Context, n int) {
	id := fmt.Sprintf("w%d", n)
	s.process[n]++
	process := fmt.Sprintf("%s-%d", id, s.process[n])
	options := standin.WorkerOptions{ID: id, Instance: process, FailureDomain: "d1", Capacity: simCapacity, Transport: s.network,
		EntryVMs: []string{"n0", "n1", "n2"}, CheckpointTime: 300 * time.Millisecond, Observe: s.history.observe(id, process)}
	s.options(&options)
	ctx, cancel := context.WithCancel(ctx)
	s.kill[n] = func() {
		cancel()
		s.history.died(process)
	}
	s.running.Go(func() { _ = standin.NewWorker(options).Run(ctx) })
}

// submitAll spreads the tasks over the first half of the fault phase.
func (s *simulation) submitAll(ctx context.Context) {
	for n := range simTasks {
		spec := testSpec(int64(500+s.cluster.random.below(2000)), 0)
		ms := time.Now().UnixMilli()
		spec.IdempotencyKey = fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n) // repeatable, unlike a random key
		spec.Payload = standin.Work{RunMs: (s.minRun + s.cluster.random.upTo(15*time.Second)).Milliseconds(), CheckpointEveryMs: s.checkpointEvery.Milliseconds()}.Payload()
		s.onLeader(func(l *Leader) error { _, err := l.Submit(ctx, spec); return err })
		time.Sleep(s.cluster.random.upTo(faultPhase / simTasks))
	}
}

func (s *simulation) disturb(ctx context.Context, faults []fault) {
	begin := time.Now()
	for _, f := range faults {
		time.Sleep(f.after)
		if time.Since(begin) > faultPhase {
			break
		}
		s.inject(ctx, f)
	}
	time.Sleep(max(0, faultPhase-time.Since(begin)))
	s.network.set(func() {
		s.network.faulty = false
		clear(s.network.silent)
	})
	for n := range simWorkers {
		s.onLeader(func(l *Leader) error { return l.Drain(ctx, fmt.Sprintf("w%d", n), false) })
	}
}

func (s *simulation) inject(ctx context.Context, f fault) {
	worker := f.target % simWorkers
	id := fmt.Sprintf("w%d", worker)
	switch f.kind {
	case "elect":
		s.cluster.elect(f.target%3, f.length/3)
	case "freeze":
		leader := s.cluster.current()
		s.cluster.nodes[leader].freeze(f.length)
		s.cluster.elect((leader+1)%3, f.length+time.Second)
	case "stall": // the leader keeps leading
		s.cluster.nodes[s.cluster.current()].freeze(f.length)
	case "restart":
		s.kill[worker]()
		time.Sleep(f.length / 10)
		s.startWorker(ctx, worker)
	case "silence":
		s.network.set(func() { s.network.silent[id] = true })
		time.AfterFunc(f.length, func() { s.network.set(func() { delete(s.network.silent, id) }) })
	case "evict", "cancel":
		go s.onTask(ctx, f)
	case "drain":
		go s.onLeader(func(l *Leader) error { return l.Drain(ctx, id, f.target < simWorkers) })
	}
}

func (s *simulation) onTask(ctx context.Context, f fault) {
	view := s.cluster.nodes[s.cluster.current()].state.View()
	tasks := view.Tasks(domain.Filter{States: []pb.TaskState{pb.TaskState_TASK_STATE_RUNNING, pb.TaskState_TASK_STATE_STARTING}})
	if len(tasks) == 0 {
		return
	}
	id := tasks[f.target%len(tasks)].GetId()
	if f.kind == "evict" {
		s.onLeader(func(l *Leader) error { _, err := l.Evict(ctx, id, "test"); return err })
		return
	}
	s.onLeader(func(l *Leader) error { _, err := l.Cancel(ctx, id, "test"); return err })
}

// onLeader repeats an operation on the current leader until it succeeds or a few tries failed.
func (s *simulation) onLeader(operation func(*Leader) error) {
	for range 5 {
		if operation(s.cluster.nodes[s.cluster.current()].leader) == nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func checkAll(h *history) error {
	return errors.Join(checkCapacity(h, simCapacity), checkOnce(h), checkResume(h), checkState(h))
}

// Guards against overcommitted workers (P1), double execution (P2), and lost or repeated work (P3) under lost, delayed,
// duplicated and reordered messages, leader changes, frozen leaders, worker restarts and silent workers.
func TestProperties(t *testing.T) {
	runs, resumes := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		reckless := rapid.Bool().Draw(rt, "reckless")
		patient := rapid.Bool().Draw(rt, "patient")
		faults := drawFaults(rt)
		h := simulate(t, seed, reckless, faults, func(s *simulation) {
			if patient { // late answers are not cut off by the worker's timeout
				s.options = func(o *standin.WorkerOptions) { o.RequestTimeout = 9 * time.Second }
			}
		})
		runs += len(h.runs)
		for _, r := range h.runs {
			if r.resume != nil {
				resumes++
			}
		}
		if err := checkAll(h); err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("%d executions, %d of them resumed from a checkpoint", runs, resumes)
}

// Guards against checkers that cannot fail: with one protection left out, the named checker must report it.
func TestCheckersReportSeededFaults(t *testing.T) {
	silence := []fault{{after: 6 * time.Second, kind: "silence", length: 30 * time.Second}}
	restarts := []fault{{after: 2 * time.Second, kind: "restart", target: 0}, {after: 2 * time.Second, kind: "restart", target: 1},
		{after: 2 * time.Second, kind: "restart", target: 2}, {after: 2 * time.Second, kind: "evict", target: 2}}
	deposed := []fault{{after: 6 * time.Second, kind: "elect", target: 1, length: 90 * time.Second}, {kind: "restart", target: 1}}
	for _, test := range []struct {
		name   string
		faults []fault
		change seeded
		report string
	}{
		{"worker ignores the end of its lease", silence, func(s *simulation) {
			s.minRun = 20 * time.Second
			s.options = func(o *standin.WorkerOptions) { o.IgnoreLease = true }
		}, "P2"},
		{"leader does not wait for the end of leases", silence, func(s *simulation) {
			for _, n := range s.cluster.nodes {
				n.leader.leaseWait = time.Second
			}
		}, "P2"},
		{"leadership is not confirmed", deposed, func(s *simulation) {
			s.minRun = 20 * time.Second
			s.checkpointEvery = 0 // a report would show the worker that the leader is deposed
			s.network.faulty = false
			s.cluster.skipBarrier = true
		}, "P2"},
		{"epoch of a registration is not checked", restarts, func(s *simulation) {
			s.minRun = 20 * time.Second
			s.network.lateRegistrations = true
			s.cluster.rewrite = func(view *domain.View, c *pb.DomainCommand) {
				if r := c.GetRegisterWorker(); r != nil {
					r.KnownEpoch = view.Worker(r.GetWorker().GetId()).GetEpoch()
				}
			}
		}, "P2"},
		{"capacity is not checked", nil, func(s *simulation) {
			s.cluster.rewrite = func(_ *domain.View, c *pb.DomainCommand) {
				if r := c.GetRegisterWorker(); r != nil {
					r.Worker.Capacity = &pb.Resources{Millicores: 8000, MemoryBytes: 1 << 30}
				}
			}
		}, "P1"},
		{"checkpoint is left out of the start", restarts, func(s *simulation) { s.network.dropResume = true }, "P3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			found := ""
			for seed := range uint64(20) {
				if err := checkAll(simulate(t, seed, false, test.faults, test.change)); err != nil {
					found = err.Error()
				}
				if strings.Contains(found, test.report) {
					t.Logf("seed %d: %s", seed, found)
					break
				}
			}
			is.True(strings.Contains(found, test.report)) // the checker must report the seeded fault
		})
	}
}
