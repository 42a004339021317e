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
	simWorkers    = 3
	simTasks      = 30
	faultPhase    = 50 * time.Second
	recoveryPhase = 150 * time.Second
	propertySeed  = "20261204"
	// propertyChecks is set so that the tests of the package take less than 30 s with -race.
	propertyChecks = "60"
)

var simCapacity = &pb.Resources{Millicores: 4000, MemoryBytes: 1 << 30}

// TestMain sets the seed and the number of checks of the property tests unless they are given as flags.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.checks": propertyChecks, "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// fault is a fault to inject into a simulation.
type fault struct {
	after  time.Duration // delay after the previous fault
	kind   string
	target int
	length time.Duration
}

func drawFaults(t *rapid.T) []fault {
	generator := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			after:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "after_ms")) * time.Millisecond,
			kind:   rapid.SampledFrom([]string{"elect", "failover", "pause", "restart", "partition", "evict", "evict", "cancel", "drain"}).Draw(t, "kind"),
			target: rapid.IntRange(0, 5).Draw(t, "target"),
			length: time.Duration(rapid.IntRange(100, 30000).Draw(t, "length_ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(generator, 4, 16).Draw(t, "faults")
}

// simulation is a cluster with workers into which faults are injected.
type simulation struct {
	cluster *simCluster
	network *simNetwork
	history *history
	running *sync.WaitGroup
	kill    [simWorkers]context.CancelFunc
	process [simWorkers]int
	options func(*standin.WorkerOptions)
	// minRun is the shortest run time of a task; the longest is 15 s longer.
	minRun          time.Duration
	checkpointEvery time.Duration
}

// sabotage disables one protection of a simulation.
type sabotage func(*simulation)

// simulate runs a simulation with the given faults in virtual time and returns its history.
func simulate(t *testing.T, seed uint64, overcommit bool, faults []fault, change sabotage) *history {
	h := newHistory()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		s := newSimulation(seed, overcommit, h, &running)
		if change != nil {
			change(s)
		}
		s.cluster.run(ctx, &running)
		s.cluster.elect(0, 0)
		for n := range simWorkers {
			s.startWorker(ctx, n)
		}
		running.Go(func() { s.submitAll(ctx) })
		s.injectFaults(ctx, faults)
		s.waitForEnd()
		cancel()
		running.Wait()
		h.entries = s.cluster.entries
		time.Sleep(time.Minute) // lets delayed messages arrive
	})
	return h
}

// waitForEnd waits until every task has ended, but no longer than recoveryPhase.
func (s *simulation) waitForEnd() {
	for deadline := time.Now().Add(recoveryPhase); time.Now().Before(deadline); time.Sleep(time.Second) {
		open := 0
		s.cluster.nodes[s.cluster.currentLeader()].state.View().EachTask(func(t *pb.Task) {
			if !domain.Ended(t.GetState()) {
				open++
			}
		})
		if open == 0 {
			return
		}
	}
}

func newSimulation(seed uint64, overcommit bool, h *history, running *sync.WaitGroup) *simulation {
	planner := func() Planner { return NewFirstFit() }
	if overcommit {
		planner = func() Planner { return &overcommittingPlanner{NewFirstFit(), rand.New(rand.NewPCG(seed, 2))} }
	}
	c := newSimCluster(seed, 3, planner, testLease)
	c.unknownPercent = 2
	network := &simNetwork{cluster: c, faulty: true, partitioned: map[string]bool{}}
	return &simulation{cluster: c, network: network, history: h, running: running, minRun: 500 * time.Millisecond, checkpointEvery: time.Second, options: func(*standin.WorkerOptions) {}}
}

// overcommittingPlanner also proposes placements that ignore capacity and worker state, which the state machine must
// refuse.
type overcommittingPlanner struct {
	*FirstFit
	random *rand.Rand
}

func (p *overcommittingPlanner) Plan(now time.Time, limit int) Plan {
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
		EntryVMs: []string{"n0", "n1", "n2"}, CheckpointTime: 300 * time.Millisecond, Observe: s.history.observer(id, process)}
	s.options(&options)
	ctx, cancel := context.WithCancel(ctx)
	s.kill[n] = func() {
		cancel()
		s.history.processExited(process)
	}
	s.running.Go(func() { _ = standin.NewWorker(options).Run(ctx) })
}

// submitAll submits the tasks with random pauses, so that it takes about the first half of the fault phase.
func (s *simulation) submitAll(ctx context.Context) {
	for n := range simTasks {
		spec := testSpec(int64(500+s.cluster.random.intN(2000)), 0)
		ms := time.Now().UnixMilli()
		spec.IdempotencyKey = fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n) // not random, so that runs with the same seed are identical
		spec.Payload = standin.Work{RunMs: (s.minRun + s.cluster.random.durationUpTo(15*time.Second)).Milliseconds(), CheckpointEveryMs: s.checkpointEvery.Milliseconds()}.Payload()
		s.retryOnLeader(func(l *Leader) error { _, err := l.Submit(ctx, spec); return err })
		time.Sleep(s.cluster.random.durationUpTo(faultPhase / simTasks))
	}
}

// injectFaults injects the faults during the fault phase, then heals the network and ends all drains.
func (s *simulation) injectFaults(ctx context.Context, faults []fault) {
	begin := time.Now()
	for _, f := range faults {
		time.Sleep(f.after)
		if time.Since(begin) > faultPhase {
			break
		}
		s.injectFault(ctx, f)
	}
	time.Sleep(max(0, faultPhase-time.Since(begin)))
	s.network.update(func() {
		s.network.faulty = false
		clear(s.network.partitioned)
	})
	for n := range simWorkers {
		s.retryOnLeader(func(l *Leader) error { return l.Drain(ctx, fmt.Sprintf("w%d", n), false) })
	}
}

func (s *simulation) injectFault(ctx context.Context, f fault) {
	worker := f.target % simWorkers
	id := fmt.Sprintf("w%d", worker)
	switch f.kind {
	case "elect":
		s.cluster.elect(f.target%3, f.length/3)
	case "failover":
		leader := s.cluster.currentLeader()
		s.cluster.nodes[leader].pause(f.length)
		s.cluster.elect((leader+1)%3, f.length+time.Second)
	case "pause": // no other leader is elected
		s.cluster.nodes[s.cluster.currentLeader()].pause(f.length)
	case "restart":
		s.kill[worker]()
		time.Sleep(f.length / 10)
		s.startWorker(ctx, worker)
	case "partition":
		s.network.update(func() { s.network.partitioned[id] = true })
		time.AfterFunc(f.length, func() { s.network.update(func() { delete(s.network.partitioned, id) }) })
	case "evict", "cancel":
		go s.applyToTask(ctx, f)
	case "drain":
		go s.retryOnLeader(func(l *Leader) error { return l.Drain(ctx, id, f.target < simWorkers) })
	}
}

// applyToTask evicts or cancels one of the assigned tasks.
func (s *simulation) applyToTask(ctx context.Context, f fault) {
	view := s.cluster.nodes[s.cluster.currentLeader()].state.View()
	tasks := view.Tasks(domain.Filter{States: []pb.TaskState{pb.TaskState_TASK_STATE_RUNNING, pb.TaskState_TASK_STATE_STARTING}})
	if len(tasks) == 0 {
		return
	}
	id := tasks[f.target%len(tasks)].GetId()
	if f.kind == "evict" {
		s.retryOnLeader(func(l *Leader) error { _, err := l.Evict(ctx, id, "test"); return err })
		return
	}
	s.retryOnLeader(func(l *Leader) error { _, err := l.Cancel(ctx, id, "test"); return err })
}

// retryOnLeader runs an operation on the current leader, and retries it up to four times if it fails.
func (s *simulation) retryOnLeader(operation func(*Leader) error) {
	for range 5 {
		if operation(s.cluster.nodes[s.cluster.currentLeader()].leader) == nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func checkAll(h *history) error {
	return errors.Join(checkCapacity(h, simCapacity), checkNoDoubleExecution(h), checkResume(h), checkReplicatedState(h))
}

// TestProperties checks that no worker is overcommitted (P1), no task is executed twice at a time (P2) and no progress
// is lost or repeated (P3) when messages are lost, delayed, duplicated and reordered, leaders change or pause, and
// workers restart or are partitioned.
func TestProperties(t *testing.T) {
	executions, resumes := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		overcommit := rapid.Bool().Draw(rt, "overcommit")
		longTimeout := rapid.Bool().Draw(rt, "longTimeout")
		faults := drawFaults(rt)
		h := simulate(t, seed, overcommit, faults, func(s *simulation) {
			if longTimeout { // the worker accepts late answers
				s.options = func(o *standin.WorkerOptions) { o.RequestTimeout = 9 * time.Second }
			}
		})
		executions += len(h.executions)
		for _, r := range h.executions {
			if r.resume != nil {
				resumes++
			}
		}
		if err := checkAll(h); err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("%d executions, %d of them resumed from a checkpoint", executions, resumes)
}

// TestCheckersDetectInjectedBugs checks that the checkers can fail: with one protection disabled, the checker of the
// given property must report a violation.
func TestCheckersDetectInjectedBugs(t *testing.T) {
	partition := []fault{{after: 6 * time.Second, kind: "partition", length: 30 * time.Second}}
	restarts := []fault{{after: 2 * time.Second, kind: "restart", target: 0}, {after: 2 * time.Second, kind: "restart", target: 1},
		{after: 2 * time.Second, kind: "restart", target: 2}, {after: 2 * time.Second, kind: "evict", target: 2}}
	deposed := []fault{{after: 6 * time.Second, kind: "elect", target: 1, length: 90 * time.Second}, {kind: "restart", target: 1}}
	for _, test := range []struct {
		name   string
		faults []fault
		change sabotage
		report string
	}{
		{"worker ignores the end of its lease", partition, func(s *simulation) {
			s.minRun = 20 * time.Second
			s.options = func(o *standin.WorkerOptions) { o.IgnoreLease = true }
		}, "P2"},
		{"leader does not wait for the end of leases", partition, func(s *simulation) {
			for _, n := range s.cluster.nodes {
				n.leader.leaseWait = time.Second
			}
		}, "P2"},
		{"leadership is not confirmed", deposed, func(s *simulation) {
			s.minRun = 20 * time.Second
			s.checkpointEvery = 0 // committing a report would fail and show the worker that the leader is deposed
			s.network.faulty = false
			s.cluster.skipBarrier = true
		}, "P2"},
		{"epoch of a registration is not checked", restarts, func(s *simulation) {
			s.minRun = 20 * time.Second
			s.network.replayRegistrations = true
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
			is.True(strings.Contains(found, test.report)) // the checker must report the injected bug
		})
	}
}
