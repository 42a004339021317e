package domain

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// TestMain sets the seed and the number of checks of the property tests unless they are given as flags.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

func register(worker, instance string, knownEpoch uint64, known ...*pb.AttemptRef) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_RegisterWorker{RegisterWorker: &pb.RegisterWorker{KnownEpoch: knownEpoch, Known: known,
		Worker: &pb.Worker{Id: worker, Instance: instance, Capacity: &pb.Resources{Millicores: 4000, MemoryBytes: 4000}}}}}
}

func submit(key int, millicores int64, gang string) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_SubmitTask{SubmitTask: &pb.SubmitTask{Id: TaskID("d1", testKey(key)), Spec: &pb.TaskSpec{
		Member: "hanbit", Contract: "sheets", IdempotencyKey: testKey(key), Gang: gang, Payload: []byte("work"),
		Resources: &pb.Resources{Millicores: millicores, MemoryBytes: 1}}}}}
}

func place(placements ...*pb.Placement) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_PlaceTasks{PlaceTasks: &pb.PlaceTasks{Placements: placements}}}
}

func placement(key int, attempt uint32, worker string, epoch uint64) *pb.Placement {
	return &pb.Placement{Task: TaskID("d1", testKey(key)), Attempt: attempt, Worker: worker, WorkerEpoch: epoch}
}

func reports(worker string, epoch uint64, all ...*pb.AttemptReport) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_ReportAttempts{ReportAttempts: &pb.ReportAttempts{Worker: worker, Epoch: epoch, Reports: all}}}
}

func report(key int, attempt uint32, event pb.AttemptEvent, sequence uint64) *pb.AttemptReport {
	r := &pb.AttemptReport{Task: TaskID("d1", testKey(key)), Attempt: attempt, Event: event}
	if sequence > 0 {
		r.Checkpoint = &pb.Checkpoint{Attempt: attempt, Sequence: sequence}
	}
	return r
}

func evict(key int, attempt uint32) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_EvictTasks{EvictTasks: &pb.EvictTasks{
		Evictions: []*pb.Eviction{{Task: TaskID("d1", testKey(key)), Attempt: attempt, Reason: "test"}}}}}
}

func workerLost(worker string, epoch uint64) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_WorkerLost{WorkerLost: &pb.WorkerLost{Worker: worker, Epoch: epoch}}}
}

// drawCommand draws a command that is often valid, because its attempts and epochs are those of the state or close to
// them.
func drawCommand(t *rapid.T, s *State) *pb.DomainCommand {
	key := rapid.IntRange(0, 5).Draw(t, "key")
	worker := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
	var epoch uint64
	if w := s.workers.value(worker); w != nil {
		epoch = w.pb.GetEpoch()
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		epoch--
	}
	attempt := s.tasks.value(TaskID("d1", testKey(key))).GetAttempt()
	ref := &pb.AttemptRef{Task: TaskID("d1", testKey(key)), Attempt: attempt, Resources: &pb.Resources{Millicores: 100}}
	switch rapid.IntRange(0, 11).Draw(t, "command") {
	case 0:
		return register(worker, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "instance"), epoch, ref)
	case 1, 2:
		gang := rapid.SampledFrom([]string{"", "", "g"}).Draw(t, "gang")
		return submit(key, rapid.Int64Range(1, 3000).Draw(t, "millicores"), gang)
	case 3, 4, 5:
		other := rapid.IntRange(0, 5).Draw(t, "other")
		next := s.tasks.value(TaskID("d1", testKey(other))).GetAttempt() + 1
		return place(placement(key, attempt+1, worker, epoch), placement(other, next, worker, epoch))
	case 6, 7, 8:
		event := pb.AttemptEvent(rapid.IntRange(0, 6).Draw(t, "event"))
		return reports(worker, epoch, report(key, attempt, event, rapid.Uint64Range(0, 5).Draw(t, "sequence")))
	case 9:
		return evict(key, attempt)
	case 10:
		return workerLost(worker, epoch)
	default:
		return &pb.DomainCommand{Command: &pb.DomainCommand_HoldAttempts{HoldAttempts: &pb.HoldAttempts{Worker: worker, Epoch: epoch, Attempts: []*pb.AttemptRef{ref}}}}
	}
}

// checkAllocations checks the allocations and the resource count of each worker against the tasks in the state.
func checkAllocations(s *State) error {
	for id, w := range s.workers.all {
		var sum resources
		var assigned []string
		for _, t := range s.tasks.all {
			if Assigned(t.GetState()) && t.GetWorker() == id {
				sum = sum.plus(resourcesFromProto(t.GetSpec().GetResources()))
				assigned = append(assigned, t.GetId())
			}
		}
		var listed []string
		for _, o := range w.assigned {
			listed = append(listed, o.task)
		}
		if slices.Sort(assigned); !slices.Equal(assigned, slices.Sorted(slices.Values(listed))) {
			return fmt.Errorf("worker %s lists tasks %v, but tasks %v are assigned to it", id, listed, assigned)
		}
		placed := sum
		for _, o := range w.held {
			sum = sum.plus(o.size)
		}
		if sum != w.used {
			return fmt.Errorf("worker %s counts %v, but its attempts sum up to %v", id, w.used, sum)
		}
		if !placed.fitsIn(resourcesFromProto(w.pb.GetCapacity())) {
			return fmt.Errorf("P1: worker %s is assigned %v, which exceeds its capacity", id, placed)
		}
	}
	return nil
}

// TestStateInvariants checks that resource counts are right, that replicas stay equal, and that a replica restored from
// its snapshot does too.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := &applier{state: New("d1", Limits{})}, &applier{state: New("d1", Limits{})}
		a.apply(register("w1", "a", 0))
		b.apply(register("w1", "a", 0))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			command := drawCommand(t, a.state)
			ra, rb := a.apply(proto.CloneOf(command)), b.apply(command)
			if !proto.Equal(ra.proto(), rb.proto()) {
				t.Fatalf("replicas return different results %v and %v", ra, rb)
			}
			if err := checkAllocations(a.state); err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "reload") == 0 {
				snapshot, _ := b.state.Snapshot()
				b.state = New("d1", Limits{})
				if err := b.state.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
		}
		sa, _ := a.state.Snapshot()
		sb, _ := b.state.Snapshot()
		if string(sa) != string(sb) {
			t.Fatal("snapshots of replicas differ")
		}
	})
}

// TestTrieMatchesMap compares the trie with a map, also when hashes collide, and checks that earlier copies do not
// change.
func TestTrieMatchesMap(t *testing.T) {
	for name, hash := range map[string]func(int) uint64{
		"spread":    func(k int) uint64 { return uint64(k) * 0x9e3779b97f4a7c15 },
		"colliding": func(k int) uint64 { return uint64(k%3) << 60 },
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				tr := trie[int, int]{hash: hash}
				model := map[int]int{}
				var old trie[int, int]
				var oldModel map[int]int
				for step := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
					key := rapid.IntRange(0, 40).Draw(t, "key")
					if rapid.Bool().Draw(t, "remove") {
						tr.remove(step/3, key)
						delete(model, key)
					} else {
						tr.set(step/3, key, int(step))
						model[key] = int(step)
					}
					if step%3 == 2 {
						old, oldModel = tr, maps.Clone(model)
					}
				}
				if !maps.Equal(maps.Collect(tr.all), model) || tr.size != len(model) {
					t.Fatalf("trie holds %v, want %v", maps.Collect(tr.all), model)
				}
				if old.hash != nil && !maps.Equal(maps.Collect(old.all), oldModel) {
					t.Fatal("an earlier snapshot changed")
				}
				for key := range 41 {
					want, exists := model[key]
					if got, ok := tr.get(key); ok != exists || got != want {
						t.Fatalf("key %d is %d, want %d", key, got, want)
					}
				}
			})
		})
	}
}

// newPlacedTask returns a state with two workers, w1 (epoch 1) and w2 (epoch 2), and task 1 placed on w1.
func newPlacedTask(t *testing.T) (*is.I, *applier) {
	a := &applier{state: New("d1", Limits{MaxFailures: 2})}
	a.apply(register("w1", "a", 0)) // epoch 1
	a.apply(register("w2", "a", 0)) // epoch 2
	a.apply(submit(1, 1000, ""))
	a.apply(place(placement(1, 1, "w1", 1)))
	return is.New(t), a
}

func (a *applier) task(key int) *pb.Task { return a.state.View().Task(TaskID("d1", testKey(key))) }

// TestCheckpoints checks that the newest checkpoint of the latest attempt is kept, and that reports of a replaced
// attempt are ignored.
func TestCheckpoints(t *testing.T) {
	is, a := newPlacedTask(t)
	a.apply(reports("w1", 1, report(1, 1, pb.AttemptEvent_ATTEMPT_EVENT_STARTED, 0), report(1, 1, pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED, 2)))
	a.apply(evict(1, 1))
	is.Equal(a.task(1).GetState(), pb.TaskState_TASK_STATE_EVICTING)
	a.apply(reports("w1", 1, report(1, 1, pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED, 1))) // an older one
	is.Equal(a.task(1).GetCheckpoint().GetSequence(), uint64(2))
	a.apply(reports("w1", 1, report(1, 1, pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, 3)))
	is.Equal(a.task(1).GetState(), pb.TaskState_TASK_STATE_QUEUED)
	is.Equal(a.task(1).GetCheckpoint().GetSequence(), uint64(3))
	a.apply(reports("w1", 1, report(1, 1, pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED, 4))) // late, but no newer attempt exists
	is.Equal(a.task(1).GetCheckpoint().GetSequence(), uint64(4))
	a.apply(place(placement(1, 2, "w2", 2)))
	a.apply(reports("w1", 1, report(1, 1, pb.AttemptEvent_ATTEMPT_EVENT_FINISHED, 9))) // of a replaced attempt
	is.Equal(a.task(1).GetState(), pb.TaskState_TASK_STATE_STARTING)
	is.Equal(a.task(1).GetCheckpoint().GetSequence(), uint64(4))
}

// TestLateFinish checks that a lost worker must register again before it reports, and that a finish reported late ends
// the task, so that it is not run again.
func TestLateFinish(t *testing.T) {
	is, a := newPlacedTask(t)
	a.apply(workerLost("w1", 1))
	is.Equal(a.task(1).GetState(), pb.TaskState_TASK_STATE_QUEUED)
	finish := report(1, 1, pb.AttemptEvent_ATTEMPT_EVENT_FINISHED, 0)
	is.True(errors.Is(a.apply(reports("w1", 1, finish)).Err, ErrStaleEpoch))
	epoch := a.apply(register("w1", "a", 1, &pb.AttemptRef{Task: finish.GetTask(), Attempt: 1})).Worker.GetEpoch()
	is.Equal(a.state.View().Used("w1").GetMillicores(), int64(1000)) // held until the report arrives
	a.apply(reports("w1", epoch, finish))
	is.Equal(a.task(1).GetState(), pb.TaskState_TASK_STATE_FINISHED)
	is.Equal(a.state.View().Used("w1").GetMillicores(), int64(0))
	is.Equal(len(a.task(1).GetSpec().GetPayload()), 0)
}

// TestWorkerLostFromEarlierTermIsRefused checks that a WorkerLost command of an earlier term is refused. Otherwise a
// leader that was delayed while another one renewed the leases, and then leads again, could requeue tasks that still
// run.
func TestWorkerLostFromEarlierTermIsRefused(t *testing.T) {
	is, a := newPlacedTask(t)
	held := workerLost("w1", 1)
	held.GetWorkerLost().Term = a.state.term + 1
	is.True(errors.Is(a.apply(held).Err, ErrStaleTerm))
	is.True(a.task(1).GetState() != pb.TaskState_TASK_STATE_QUEUED)
	held.GetWorkerLost().Term = a.state.term
	is.Equal(a.apply(held).Err, nil)
	is.Equal(a.task(1).GetState(), pb.TaskState_TASK_STATE_QUEUED)
}

// TestPlacementsAreChecked checks that outdated placements are refused one by one, and that gangs are placed completely
// or not at all.
func TestPlacementsAreChecked(t *testing.T) {
	is, a := newPlacedTask(t)
	a.apply(submit(2, 3500, ""))
	a.apply(submit(3, 3000, ""))
	result := a.apply(place(placement(2, 1, "w1", 1), placement(3, 1, "w1", 9), placement(3, 2, "w1", 1), placement(1, 2, "w2", 2), placement(3, 1, "w1", 1)))
	is.True(errors.Is(result.Batch[0].Err, ErrPlacement))  // no room
	is.True(errors.Is(result.Batch[1].Err, ErrStaleEpoch)) // old session
	is.True(errors.Is(result.Batch[2].Err, ErrPlacement))  // not the next attempt
	is.True(errors.Is(result.Batch[3].Err, ErrPlacement))  // not queued
	is.Equal(result.Batch[4].Err, nil)
	a.apply(submit(4, 2000, "g"))
	a.apply(submit(5, 3000, "g"))
	result = a.apply(place(placement(4, 1, "w2", 2), placement(5, 1, "w2", 2)))
	is.True(result.Batch[0].Err != nil && result.Batch[1].Err != nil)
	is.Equal(a.task(4).GetAttempt(), uint32(0))
	is.Equal(a.state.View().Used("w2").GetMillicores(), int64(0))
}

// TestSubmitFailCancel checks repeated submissions, the limit on failures, cancellation and the removal of ended tasks
// and lost workers.
func TestSubmitFailCancel(t *testing.T) {
	is, a := newPlacedTask(t)
	is.True(!a.apply(submit(1, 1000, "")).Created)
	is.True(errors.Is(a.apply(submit(1, 1001, "")).Err, ErrKeyReused))
	a.apply(reports("w1", 1, report(1, 1, pb.AttemptEvent_ATTEMPT_EVENT_FAILED, 0)))
	is.Equal(a.task(1).GetState(), pb.TaskState_TASK_STATE_QUEUED)
	is.Equal(a.task(1).GetFailedOn(), []string{"w1"})
	a.apply(place(placement(1, 2, "w2", 2)))
	a.apply(reports("w2", 2, report(1, 2, pb.AttemptEvent_ATTEMPT_EVENT_FAILED, 0)))
	is.Equal(a.task(1).GetState(), pb.TaskState_TASK_STATE_FAILED)

	a.apply(submit(2, 1000, ""))
	a.apply(place(placement(2, 1, "w1", 1)))
	cancel := &pb.DomainCommand{Command: &pb.DomainCommand_CancelTask{CancelTask: &pb.CancelTask{Id: TaskID("d1", testKey(2)), Reason: "test"}}}
	is.Equal(a.apply(cancel).Task.GetState(), pb.TaskState_TASK_STATE_EVICTING)
	is.Equal(a.state.View().Used("w1").GetMillicores(), int64(1000)) // the attempt may still run
	a.apply(workerLost("w1", 1))
	is.Equal(a.task(2).GetState(), pb.TaskState_TASK_STATE_CANCELLED)

	later := &pb.DomainCommand{UnixMs: testNow + 2*idempotency.RecordLifetime.Milliseconds(), Command: &pb.DomainCommand_ExpireRecords{
		ExpireRecords: &pb.ExpireRecords{TasksBeforeUnixMs: testNow + idempotency.RecordLifetime.Milliseconds()}}}
	a.apply(later)
	is.Equal(a.task(1), nil)
	is.Equal(a.state.View().Worker("w1"), nil) // lost for a day
	is.True(a.state.View().Worker("w2") != nil)
}

// TestWorkerStates checks that a quarantine lasts until the worker restarts, that a drain survives a restart, and that
// an outdated registration is refused.
func TestWorkerStates(t *testing.T) {
	is, a := newPlacedTask(t)
	quarantine := &pb.DomainCommand{Command: &pb.DomainCommand_SetWorkerState{SetWorkerState: &pb.SetWorkerState{Worker: "w1", Epoch: 1,
		State: pb.WorkerState_WORKER_STATE_SET_ASIDE}}}
	a.apply(quarantine)
	is.Equal(a.apply(register("w1", "a", 1)).Worker.GetState(), pb.WorkerState_WORKER_STATE_SET_ASIDE)
	is.True(errors.Is(a.apply(register("w1", "old", 1)).Err, ErrStaleEpoch))
	epoch := a.state.View().Worker("w1").GetEpoch()
	is.Equal(a.apply(register("w1", "b", epoch)).Worker.GetState(), pb.WorkerState_WORKER_STATE_READY)
	drain := &pb.DomainCommand{Command: &pb.DomainCommand_SetDrain{SetDrain: &pb.SetDrain{Target: "w1", Draining: true}}}
	is.Equal(a.apply(drain).Worker.GetState(), pb.WorkerState_WORKER_STATE_DRAINING)
	is.True(a.state.View().Drained("w1"))
	epoch = a.state.View().Worker("w1").GetEpoch()
	is.Equal(a.apply(register("w1", "c", epoch)).Worker.GetState(), pb.WorkerState_WORKER_STATE_DRAINING)
	a.apply(submit(2, 1, ""))
	is.True(a.apply(place(placement(2, 1, "w1", a.state.index-1))).Batch[0].Err != nil)
}
