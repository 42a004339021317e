package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// fakeAdviser admits one worker, after it was busy at first.
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
	play(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *rig) {
		r.leader.Close()
		r.adviser = &fakeAdviser{}
		r.newLeader()
		r.lead(6)
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

// fakePlatform takes VMs down for upkeep and brings them back after two seconds.
type fakePlatform struct {
	mu      sync.Mutex
	rig     *rig
	down    map[string]bool
	ordered []string
	most    int
	fences  map[uint64]bool
}

func (f *fakePlatform) VMs(context.Context) ([]VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var vms []VM
	for _, id := range []string{"a", "b", "c"} {
		vms = append(vms, VM{ID: "vm-" + id, Pool: "pool", Up: !f.down[id], Worker: id})
	}
	return vms, nil
}

func (f *fakePlatform) Upkeep(_ context.Context, vm string, _ uint64, _ string, fence uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := vm[len("vm-"):]
	f.down[id], f.fences[fence] = true, true
	f.ordered = append(f.ordered, vm)
	f.most = max(f.most, len(f.down))
	reborn := newWorkers(f.rig.t, time.Second, id).byID[id]
	reborn.life.BornUnixMs = 100
	reborn.cut = true
	f.rig.workers.change(func() { f.rig.workers.byID[id] = reborn })
	time.AfterFunc(2*time.Second, func() {
		f.mu.Lock()
		delete(f.down, id)
		f.mu.Unlock()
		f.rig.workers.change(func() { reborn.cut = false })
		f.rig.report(id, 1)
	})
	return nil
}

// Guards against more VMs down for upkeep than a wave allows, against a VM that is maintained twice, and against a wave that
// never ends or counts as done too early.
func TestWaveKeepsToItsLimit(t *testing.T) {
	play(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *rig) {
		platform := &fakePlatform{rig: r, down: map[string]bool{}, fences: map[uint64]bool{}}
		r.leader.Close()
		r.platform = platform
		r.newLeader()
		r.lead(6)
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Wave{Wave: &pb.Wave{Number: 1, Vms: []string{"vm-a", "vm-b", "vm-c", "vm-gone"}, MaxAtOnce: 1}}})
		waveDone := func() bool {
			done := false
			r.state.View(func(s *submission.State) { done = s.Waves()[1].GetDone() })
			return done
		}
		time.Sleep(3 * time.Second)
		is.True(!waveDone())
		time.Sleep(12 * time.Second)
		is.True(waveDone())
		is.Equal(platform.most, 1)
		is.Equal(len(platform.ordered), 3)
		is.Equal(platform.fences, map[uint64]bool{6: true})
	})
}

// Guards against upkeep that keeps more tasks of a step from work than the step allows.
func TestWaveWaitsForSteps(t *testing.T) {
	play(t, time.Minute, []string{"a"}, func(is *is.I, r *rig) {
		platform := &fakePlatform{rig: r, down: map[string]bool{}, fences: map[uint64]bool{}}
		r.leader.Close()
		r.platform = platform
		r.newLeader()
		r.lead(6)
		r.submit("s", 3, func(s *pb.Step) { s.Endless, s.MaxUnavailable = true, 2 })
		time.Sleep(time.Second)
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Wave{Wave: &pb.Wave{Number: 1, Vms: []string{"vm-a"}, MaxAtOnce: 1}}})
		time.Sleep(4 * time.Second)
		is.Equal(len(platform.ordered), 0) // all three tasks of the step are there
	})
}
