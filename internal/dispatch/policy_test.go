package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// fakeAdviser answers the first request with ErrUnavailable and afterwards admits only worker b.
type fakeAdviser struct {
	mu    sync.Mutex
	calls int
}

func (f *fakeAdviser) Advise(_ context.Context, step submission.Ref, workers []string) (map[string]string, time.Duration, error) {
	time.Sleep(50 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls++; f.calls == 1 {
		return nil, 0, ErrUnavailable
	}
	tickets := map[string]string{}
	for _, w := range workers {
		if w == "b" {
			tickets[w] = fmt.Sprintf("ticket of %s for step %d", w, step.Step)
		}
	}
	return tickets, 2 * time.Second, nil
}

// Guards against starts without a valid ticket, or on workers that the policy of a queue does not allow.
func TestPolicyDecidesWhereStepsRun(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
		r.adviser = &fakeAdviser{}
		r.replaceLeader(6)
		for _, id := range []string{"a", "b", "c"} {
			r.report(id, 2) // the pool does not guard its capacity
		}
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 2,
			Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool", Attempts: 3, TimeoutMs: 1, Advice: &pb.Advice{DecideMs: 50}}},
			Pools:  []*pb.Pool{{Name: "pool"}}}}})
		r.submit("s", 6, nil)
		time.Sleep(6 * time.Second)
		is.Equal(r.describe("s"), "done")
		is.Equal(r.workers.byID["a"].starts+r.workers.byID["c"].starts, 0)
		for _, ticket := range r.workers.byID["b"].tickets {
			is.Equal(ticket, "ticket of b for step 0")
		}
	})
}

// fakePlatform takes VMs down for maintenance and brings them back after two seconds or upkeepTime.
type fakePlatform struct {
	mu      sync.Mutex
	harness *harness
	down    map[string]bool // by worker id
	ordered []string        // VMs whose maintenance was ordered, in order
	maxDown int             // highest number of VMs that were down at the same time
	fences  map[uint64]bool // fencing tokens of the orders
	last    time.Time       // time of the last order
	// firstAnswerAfter is how long the first order is under way until its answer arrives.
	firstAnswerAfter time.Duration
	upkeepTime       time.Duration
	// absent is a VM that is missing in the list, and list what else the list says.
	absent string
	list   VMList
	// onOrder, if set, is called with the worker id before the first order for a VM is carried out.
	onOrder func(worker string)
}

func newFakePlatform(r *harness) *fakePlatform {
	return &fakePlatform{harness: r, down: map[string]bool{}, fences: map[uint64]bool{}}
}

func (f *fakePlatform) VMs(context.Context) (VMList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.list
	for _, id := range []string{"a", "b", "c"} {
		if vm := "vm-" + id; vm != f.absent && !slices.Contains(f.list.Unreadable, vm) {
			list.VMs = append(list.VMs, VM{ID: vm, Pool: "pool", Up: !f.down[id], Worker: id})
		}
	}
	return list, nil
}

// Upkeep carries out the first order for a VM. Repeated ones are recorded and change nothing.
func (f *fakePlatform) Upkeep(ctx context.Context, vm string, _ uint64, _ string, fence uint64) error {
	if f.carryOut(vm, fence) == 1 && f.firstAnswerAfter > 0 {
		select {
		case <-time.After(f.firstAnswerAfter):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// carryOut records an order and returns the number of orders so far.
func (f *fakePlatform) carryOut(vm string, fence uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	repeated := slices.Contains(f.ordered, vm)
	f.ordered, f.fences[fence], f.last = append(f.ordered, vm), true, time.Now()
	if repeated {
		return len(f.ordered)
	}
	id := vm[len("vm-"):]
	f.down[id] = true
	if f.onOrder != nil {
		f.onOrder(id)
	}
	f.maxDown = max(f.maxDown, len(f.down))
	restarted := newFakeWorker(id, 100)
	restarted.unreachable = true
	f.harness.workers.update(func() {
		restarted.serving = f.harness.workers.byID[id].serving
		f.harness.workers.byID[id] = restarted
	})
	time.AfterFunc(cmp.Or(f.upkeepTime, 2*time.Second), func() {
		f.mu.Lock()
		delete(f.down, id)
		f.mu.Unlock()
		f.harness.workers.update(func() { restarted.unreachable = false })
		f.harness.report(id, 1)
	})
	return len(f.ordered)
}

// history returns the VMs whose maintenance was ordered, the time of the last order and the fencing tokens.
func (f *fakePlatform) history() (vms []string, last time.Time, fences map[uint64]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ordered), f.last, maps.Clone(f.fences)
}

// Guards against more VMs down for maintenance than a wave allows, against a VM that is maintained twice, and against a wave
// that never completes or counts as done too early.
func TestWaveKeepsToItsLimit(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
		platform := newFakePlatform(r)
		r.platform = platform
		r.replaceLeader(6)
		r.submitWave(1, "vm-a", "vm-b", "vm-c", "vm-gone")
		time.Sleep(3 * time.Second)
		is.True(!r.waveDone())
		time.Sleep(12 * time.Second)
		is.True(r.waveDone())
		is.Equal(platform.maxDown, 1)
		is.Equal(len(platform.ordered), 3)
		is.Equal(platform.fences, map[uint64]bool{6: true})
	})
}

// Guards against a wave that is said to be done although a VM of it had no maintenance, since its entry in the platform's list could not be read for a
// while, or was missing.
func TestWaveIsNotDoneWithoutVMThatIsNotListed(t *testing.T) {
	for name, hide := range map[string]func(*fakePlatform){
		"unreadable entry":                func(f *fakePlatform) { f.list.Unreadable = []string{"vm-c"} },
		"unreadable entry without a name": func(f *fakePlatform) { f.absent, f.list.Incomplete = "vm-c", true },
		"entry left out":                  func(f *fakePlatform) { f.absent = "vm-c" },
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
				platform := newFakePlatform(r)
				r.platform = platform
				hide(platform)
				r.replaceLeader(6)
				r.submitWave(1, "vm-a", "vm-b", "vm-c")
				time.Sleep(15 * time.Second)
				is.True(!r.waveDone())
				platform.mu.Lock()
				platform.absent, platform.list = "", VMList{}
				platform.mu.Unlock()
				time.Sleep(5 * time.Second)
				is.True(r.waveDone())
				ordered, _, _ := platform.history()
				is.Equal(ordered, []string{"vm-a", "vm-b", "vm-c"})
			})
		})
	}
}

// Guards against a wave that is never done since one of its VMs was removed while the list holds an entry without a name.
func TestWaveWithRemovedVMIsDone(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
		platform := newFakePlatform(r)
		r.platform = platform
		platform.absent, platform.list.Incomplete = "vm-c", true
		r.workers.update(func() { r.workers.byID["c"].unreachable = true })
		r.replaceLeader(6)
		r.submitWave(1, "vm-a", "vm-b", "vm-c")
		time.Sleep(25 * time.Second)
		is.True(r.waveDone())
	})
}

// Guards against a wave that is never done since the order for a VM whose maintenance is over is repeated, after an answer that came
// too late or a change of the leader: the VM then counts as down until its worker restarts.
func TestWaveWithLateAnswerIsDone(t *testing.T) {
	for name, newLeader := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
				platform := newFakePlatform(r)
				platform.firstAnswerAfter = 2500 * time.Millisecond
				r.platform = platform
				r.replaceLeader(6)
				r.submitWave(1, "vm-a", "vm-b", "vm-c")
				time.Sleep(time.Second)
				if newLeader {
					r.lead(7)
				}
				time.Sleep(30 * time.Second)
				is.True(r.waveDone())
				is.Equal(platform.maxDown, 1)
				is.Equal(len(platform.ordered), 4) // the first order is repeated
			})
		})
	}
}

// Guards against two leaders that order the platform at the same time: a platform that does not check fencing tokens carries
// out both orders. The previous leader may have sent its last order just before the new term.
func TestNextLeaderWaitsBeforeItOrders(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
		platform := newFakePlatform(r)
		r.platform = platform
		r.replaceLeader(6)
		r.submitWave(1, "vm-a", "vm-b", "vm-c")
		time.Sleep(time.Second)
		vms, _, _ := platform.history()
		is.Equal(vms, []string{"vm-a"})
		r.lead(7)
		began := time.Now()
		time.Sleep(time.Minute)
		vms, last, fences := platform.history()
		is.Equal(vms, []string{"vm-a", "vm-b", "vm-c"})
		is.True(!last.Before(began.Add(testHolderLease + orderTimeout)))
		is.Equal(fences, map[uint64]bool{6: true, 7: true})
	})
}

// Guards against an order by a leader that was suspended after it had last heard from its quorum: the next leader may order
// by then. Answers of the quorum that take longer than an order may wait have the same effect as a suspension.
func TestLeaderOrdersNothingOnAnOldConfirmation(t *testing.T) {
	for name, late := range map[string]error{"late answer": nil, "no answer": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
				platform := newFakePlatform(r)
				r.leader.Close()
				r.platform = platform
				r.newLeader()
				r.log.barrier = func() error { time.Sleep(orderTimeout); return late }
				r.lead(6)
				r.submitWave(1, "vm-a")
				time.Sleep(10 * time.Second)
				vms, _, _ := platform.history()
				is.Equal(len(vms), 0)
				r.leader.Close()
				time.Sleep(orderTimeout) // until the last answer of the quorum
			})
		})
	}
}

// Guards against maintenance that makes more tasks of a step unavailable than the step allows.
func TestWaveRespectsMaxUnavailable(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		platform := newFakePlatform(r)
		r.platform = platform
		r.replaceLeader(6)
		r.submit("s", 3, func(s *pb.Step) { s.Endless, s.MaxUnavailable = true, 2 })
		time.Sleep(time.Second)
		r.submitWave(1, "vm-a")
		time.Sleep(4 * time.Second)
		is.Equal(len(platform.ordered), 0) // all three tasks of the step run on this VM, and only two may be unavailable
	})
}

// kindAdviser admits the workers on which the step may run. The set may change with a new incarnation.
type kindAdviser struct {
	mu       sync.Mutex
	admitted map[string]bool
}

func (f *kindAdviser) Advise(_ context.Context, _ submission.Ref, workers []string) (map[string]string, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tickets := map[string]string{}
	for _, w := range workers {
		if f.admitted[w] {
			tickets[w] = "ticket"
		}
	}
	return tickets, time.Minute, nil
}

// Guards against a step that waits for ever because the policy did not admit a worker, which has since restarted under the same
// id as another kind.
func TestPolicyIsAskedAboutNewIncarnation(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		adviser := &kindAdviser{admitted: map[string]bool{}}
		r.adviser = adviser
		r.replaceLeader(6)
		r.report("a", 2) // the pool does not guard its capacity
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 2,
			Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool", Attempts: 3, TimeoutMs: 1, Advice: &pb.Advice{DecideMs: 50}}},
			Pools:  []*pb.Pool{{Name: "pool"}}}}})
		r.submit("s", 1, endless)
		time.Sleep(2 * time.Second)
		is.Equal(r.running("a"), 0)
		adviser.mu.Lock()
		adviser.admitted["a"] = true
		adviser.mu.Unlock()
		r.restart("a", 77, func(*fakeWorker) {})
		r.report("a", 1)
		time.Sleep(9 * time.Second)
		is.Equal(r.running("a"), 1)
	})
}

// Guards against a step that waits until its tickets expire because all workers with a ticket are full, while the policy service
// was not asked about those with room.
func TestPolicyIsAskedAboutWorkersWithRoom(t *testing.T) {
	var ids []string
	for i := range adviceWorkers + 2 {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	withHarness(t, time.Minute, ids, func(is *is.I, r *harness) {
		adviser := &kindAdviser{admitted: map[string]bool{}}
		for _, id := range ids {
			adviser.admitted[id] = true
		}
		r.adviser = adviser
		r.replaceLeader(6)
		for _, id := range ids {
			r.report(id, 2) // the pool does not guard its capacity
		}
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 2,
			Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool", Attempts: 3, TimeoutMs: 1, Advice: &pb.Advice{DecideMs: 50}}},
			Pools:  []*pb.Pool{{Name: "pool"}}}}})
		whole := func(s *pb.Step) { s.Endless, s.Size.Millicores = true, 4000 }
		r.submit("full", adviceWorkers, whole)
		time.Sleep(2 * time.Second)
		is.Equal(r.running(ids[adviceWorkers])+r.running(ids[adviceWorkers+1]), 0)
		r.submit("s", 1, whole)
		time.Sleep(9 * time.Second)
		is.Equal(r.running(ids[adviceWorkers])+r.running(ids[adviceWorkers+1]), 1)
	})
}

// Guards against moves of filling tasks that make more tasks of a step unavailable than the step allows.
func TestMovesRespectMaxUnavailable(t *testing.T) {
	withHarness(t, time.Minute, []string{"a", "b"}, func(is *is.I, r *harness) {
		for _, id := range []string{"a", "b"} {
			r.workers.update(func() { r.workers.byID[id].serving, r.workers.byID[id].stopTime = "f", time.Second })
		}
		r.submit("f", 4, func(s *pb.Step) { s.Endless, s.Fills, s.Checkpoints, s.MaxUnavailable = true, true, true, 1 })
		time.Sleep(minEndlessRun + 2*time.Second)
		is.Equal(r.running("a")+r.running("b"), 4)
		moved := false
		for range 60 {
			r.leader.post(func() {
				for _, run := range r.leader.runs {
					run.shouldMove = true
				}
				r.leader.dirty = true
			})
			time.Sleep(50 * time.Millisecond)
			stopped := 0
			r.workers.update(func() {
				for _, f := range r.workers.byID {
					for _, run := range f.running {
						if !run.stopped.IsZero() {
							stopped++
						}
					}
				}
			})
			moved = moved || stopped > 0
			is.True(stopped <= 1)
		}
		is.True(moved)
	})
}

// Guards against evictions for urgent work that make more tasks of a step unavailable than the step allows, in one plan or in two
// while the first stop is in progress.
func TestEvictionsRespectMaxUnavailable(t *testing.T) {
	withHarness(t, time.Minute, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].serving, r.workers.byID["a"].stopTime = "s", time.Second })
		r.submit("s", 4, func(s *pb.Step) { s.Endless, s.MaxUnavailable = true, 1 })
		time.Sleep(2 * time.Second)
		is.Equal(r.running("a"), 4)
		r.submit("urgent", 2, func(s *pb.Step) { s.Size.Millicores = 2000 })
		r.submit("small", 3, nil)
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			stopped := 0
			r.workers.update(func() {
				for _, run := range r.workers.byID["a"].running {
					if !run.stopped.IsZero() {
						stopped++
					}
				}
			})
			is.True(stopped <= 1)
		}
	})
}
