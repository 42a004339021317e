package submission

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const retentionMs = 1000

// driver applies changes to a state in entries of the kind that the leader writes.
type driver struct {
	state  *State
	index  uint64
	unixMs int64
}

func newDriver() *driver { return &driver{state: New(retentionMs, nil), unixMs: 1_000_000} }

func (w *driver) apply(changes ...*pb.SubmissionChange) []Result {
	w.index++
	entry, err := proto.Marshal(&pb.SubmissionEntry{UnixMs: w.unixMs, Changes: changes})
	if err != nil {
		panic(err)
	}
	return w.state.Apply(w.index, 1, entry).([]Result)
}

func queueConfig(attempts uint32) *pb.SubmissionChange {
	return &pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 1,
		Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/p/", Pool: "pool", Attempts: attempts, TimeoutMs: 1}},
		Pools:  []*pb.Pool{{Name: "pool", Guards: true}}}}}
}

func accept(id string, steps ...*pb.Step) *pb.SubmissionChange {
	return &pb.SubmissionChange{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{
		Spec: &pb.SubmissionSpec{Id: id, Steps: steps}, Queue: "h /p/"}}}
}

func cancelOf(id string) *pb.SubmissionChange {
	return &pb.SubmissionChange{Change: &pb.SubmissionChange_Cancel{Cancel: &pb.CancelSubmission{Id: id}}}
}

func worker(id string, born int64) *pb.SubmissionChange {
	return &pb.SubmissionChange{Change: &pb.SubmissionChange_Worker{Worker: &pb.PoolWorker{Id: id, BornUnixMs: born, Pool: "pool", Address: "address of " + id}}}
}

func start(ref Ref, attempt uint32, id string, born int64) *pb.SubmissionChange {
	return &pb.SubmissionChange{Change: &pb.SubmissionChange_Start{Start: &pb.TaskStart{Task: ref.Proto(), Attempt: attempt, Worker: id, WorkerBornUnixMs: born}}}
}

func end(ref Ref, attempt uint32, id string, born int64, kind pb.TaskEndKind) *pb.SubmissionChange {
	return &pb.SubmissionChange{Change: &pb.SubmissionChange_End{End: &pb.TaskEnd{Task: ref.Proto(), Attempt: attempt, Worker: id, WorkerBornUnixMs: born, Kind: kind}}}
}

func oneTask() *pb.Step { return &pb.Step{Count: 1} }

const (
	done   = pb.TaskEndKind_TASK_END_KIND_DONE
	failed = pb.TaskEndKind_TASK_END_KIND_FAILED
	lost   = pb.TaskEndKind_TASK_END_KIND_LOST
)

// Guards against a second execution of a submission that a caller submits again because the answer was lost.
func TestRepeatedAcceptIsOneSubmission(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	w.apply(queueConfig(2), worker("w", 1))
	is.True(w.apply(accept("a", oneTask()))[0].Applied)
	ref := Ref{Submission: "a"}
	w.apply(start(ref, 1, "w", 1), end(ref, 1, "w", 1, done))
	is.True(!w.apply(accept("a", oneTask()))[0].Applied)
	is.Equal(w.state.Submission("a").Describe(), "done")
}

// Guards against a step that starts before its prerequisites are finished, and against two attempts of a task at once.
func TestStartsFollowStepOrder(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	w.apply(queueConfig(2), worker("w", 1), accept("a", oneTask(), &pb.Step{Count: 2, After: []uint32{0}}))
	first, second := Ref{Submission: "a"}, Ref{Submission: "a", Step: 1, Index: 1}
	is.True(!w.apply(start(second, 1, "w", 1))[0].Applied)
	is.True(w.apply(start(first, 1, "w", 1))[0].Applied)
	is.True(!w.apply(start(first, 2, "w", 1))[0].Applied) // attempt 1 may still be running
	w.apply(end(first, 1, "w", 1, lost))
	is.True(!w.apply(start(first, 1, "w", 1))[0].Applied) // the attempt number must increase
	is.True(w.apply(start(first, 2, "w", 1))[0].Applied)
	w.apply(end(first, 2, "w", 1, done))
	is.True(w.apply(start(second, 1, "w", 1))[0].Applied)
	is.True(!w.apply(start(first, 3, "w", 1))[0].Applied) // done
}

// Guards against starts on a worker that is draining or that has restarted as another incarnation.
func TestNoStartOnLeavingWorker(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	w.apply(queueConfig(2), worker("w", 1), accept("a", oneTask()))
	draining := worker("w", 1)
	draining.GetWorker().Draining = true
	w.apply(draining)
	is.True(!w.apply(start(Ref{Submission: "a"}, 1, "w", 1))[0].Applied)
	w.apply(worker("w", 1)) // a late report from before the drain
	is.True(!w.apply(start(Ref{Submission: "a"}, 1, "w", 1))[0].Applied)
	w.apply(worker("w", 2))
	is.True(!w.apply(start(Ref{Submission: "a"}, 1, "w", 1))[0].Applied)
	is.True(w.apply(start(Ref{Submission: "a"}, 1, "w", 2))[0].Applied)
}

// Guards against a correction that replaces a worker incarnation which registered after the worker was asked.
func TestCorrectionRefutesNoOtherIncarnation(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	correction := func(refuted int64) *pb.SubmissionChange {
		return &pb.SubmissionChange{Change: &pb.SubmissionChange_Correction{Correction: &pb.WorkerCorrection{Worker: worker("w", 1).GetWorker(), RefutedBornUnixMs: refuted}}}
	}
	ref := Ref{Submission: "a"}
	w.apply(queueConfig(2), worker("w", 5), worker("w", 9), accept("a", oneTask()), start(ref, 1, "w", 9))
	is.True(!w.apply(correction(5))[0].Applied)
	is.True(w.state.Task(ref).Placed())
	is.True(w.apply(correction(9))[0].Applied)
	is.True(!w.state.Task(ref).Placed())
	is.Equal(w.state.Workers()["w"].GetBornUnixMs(), int64(1))
}

// Guards against tasks that stay placed on a worker incarnation that is gone, and against a late report that revives it.
func TestNewIncarnationEndsPreviousOne(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	ref := Ref{Submission: "a"}
	w.apply(queueConfig(2), worker("w", 1), accept("a", oneTask()), start(ref, 1, "w", 1))
	w.apply(worker("w", 2))
	is.True(!w.state.Task(ref).Placed())
	is.True(!w.apply(worker("w", 1))[0].Applied)
	is.Equal(w.state.Workers()["w"].GetBornUnixMs(), int64(2))
	other := worker("other", 3)
	other.GetWorker().Address = "address of w" // the address was taken over
	w.apply(other)
	is.True(w.state.Workers()["w"].GetGone())
}

// Guards against a submission that fails after too few or too many failed attempts, and against a failure that is counted
// twice because the worker lists it again.
func TestFailuresCountOncePerAttempt(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	ref := Ref{Submission: "a"}
	w.apply(queueConfig(2), worker("w", 1), accept("a", oneTask()), start(ref, 1, "w", 1))
	w.apply(end(ref, 1, "w", 1, failed))
	w.apply(end(ref, 1, "w", 1, failed)) // the worker lists the end again
	is.Equal(w.state.Submission("a").Describe(), "running")
	w.apply(start(ref, 2, "w", 1), end(ref, 2, "w", 1, lost)) // a lost attempt does not count as a failure
	w.apply(start(ref, 3, "w", 1), end(ref, 3, "w", 1, failed))
	is.Equal(w.state.Submission("a").Describe(), "failed")
}

// Guards against a completed task that runs again because its end is reported after its attempt was committed as lost.
func TestLateEndCounts(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	ref := Ref{Submission: "a"}
	w.apply(queueConfig(2), worker("w", 1), accept("a", oneTask()), start(ref, 1, "w", 1), end(ref, 1, "w", 1, lost))
	w.apply(end(ref, 1, "w", 1, done))
	is.Equal(w.state.Submission("a").Describe(), "done")
}

// Guards against a gang whose members do not all finish together, and against a failure of a gang that is counted once for
// each member.
func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	gang := &pb.Step{Count: 3, Gang: true}
	w.apply(queueConfig(2), worker("w", 1), accept("a", gang))
	member := func(i uint32) Ref { return Ref{Submission: "a", Index: i} }
	for i := range uint32(3) {
		w.apply(start(member(i), 1, "w", 1))
	}
	w.apply(end(member(0), 1, "w", 1, failed), end(member(1), 1, "w", 1, failed), end(member(2), 1, "w", 1, pb.TaskEndKind_TASK_END_KIND_BROKEN))
	is.Equal(w.state.Submission("a").Describe(), "running")
	for i := range uint32(3) {
		w.apply(start(member(i), 2, "w", 1))
	}
	w.apply(end(member(1), 2, "w", 1, done))
	is.Equal(w.state.Submission("a").Describe(), "done")
}

// Guards against an endless task that counts as done, and against starts of a cancelled submission.
func TestEndlessRunsUntilCancelled(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	ref := Ref{Submission: "a"}
	w.apply(queueConfig(1), worker("w", 1), accept("a", &pb.Step{Count: 1, Endless: true}), start(ref, 1, "w", 1))
	w.apply(end(ref, 1, "w", 1, failed), start(ref, 2, "w", 1), end(ref, 2, "w", 1, done))
	is.Equal(w.state.Submission("a").Describe(), "running")
	is.True(w.apply(cancelOf("a"))[0].Applied)
	is.True(w.apply(cancelOf("a"))[0].Found) // cancelling again is not an error
	is.True(!w.apply(start(ref, 3, "w", 1))[0].Applied)
	is.True(!w.apply(cancelOf("unknown"))[0].Found)
}

// Guards against a configuration that replaces one with the same or a higher version.
func TestHighestConfigurationStays(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	put := func(version uint64, host string) Result {
		return w.apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: version, Written: []byte(host)}}})[0]
	}
	is.True(put(5, "five").Applied)
	is.Equal(put(4, "four"), Result{Version: 5})
	is.Equal(put(5, "other").Version, uint64(5))
	is.Equal(string(w.state.Config().GetWritten()), "five")
	is.True(put(9, "nine").Applied)
}

// Checks with random entries that a snapshot preserves the state, that a task never has two placed attempts, and that the
// counts of each step match its tasks.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newDriver()
		w.apply(queueConfig(2))
		for range rapid.IntRange(20, 120).Draw(rt, "entries") {
			w.unixMs += rapid.Int64Range(0, 50).Draw(rt, "ms")
			w.apply(drawChange(rt))
		}
		checkState(rt, w.state)
		before, err := w.state.Snapshot()
		if err != nil {
			rt.Fatal(err)
		}
		restored := New(retentionMs, nil)
		if err := restored.Restore(before); err != nil {
			rt.Fatal(err)
		}
		checkState(rt, restored)
		after, err := restored.Snapshot()
		if err != nil || string(before) != string(after) {
			rt.Fatalf("the snapshot of the restored state differs from the original, error: %v", err)
		}
	})
}

func drawChange(rt *rapid.T) *pb.SubmissionChange {
	id := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(rt, "submission"))
	ref := Ref{Submission: id, Step: rapid.Uint32Range(0, 1).Draw(rt, "step"), Index: rapid.Uint32Range(0, 2).Draw(rt, "index")}
	name, born := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(rt, "worker")), rapid.Int64Range(1, 3).Draw(rt, "born")
	attempt := rapid.Uint32Range(1, 5).Draw(rt, "attempt")
	switch rapid.IntRange(0, 6).Draw(rt, "kind") {
	case 0:
		return accept(id, &pb.Step{Count: 2}, &pb.Step{Count: 3, After: []uint32{0}, Gang: rapid.Bool().Draw(rt, "gang")})
	case 1:
		return cancelOf(id)
	case 2:
		return worker(name, born)
	case 3, 4:
		return start(ref, attempt, name, born)
	}
	kinds := []pb.TaskEndKind{done, failed, lost, pb.TaskEndKind_TASK_END_KIND_STOPPED, pb.TaskEndKind_TASK_END_KIND_BROKEN}
	return end(ref, attempt, name, born, rapid.SampledFrom(kinds).Draw(rt, "how"))
}

func checkState(rt *rapid.T, s *State) {
	for id, sub := range s.submissions {
		for number, o := range sub.Occurrences {
			for i := range o.Steps {
				placed, finished := 0, 0
				for j := range o.Steps[i].Tasks {
					task := &o.Steps[i].Tasks[j]
					if task.Placed() && task.Done {
						rt.Fatalf("task %d of step %d of %s is done and placed", j, i, id)
					}
					if task.Placed() {
						placed++
						checkPlaced(rt, s, Ref{Submission: id, Occurrence: number, Step: uint32(i), Index: uint32(j)}, task)
					}
					if task.Done {
						finished++
					}
				}
				if step := &o.Steps[i]; step.Placed != placed || step.Done != finished {
					rt.Fatalf("step %d of %s counts %d placed and %d done instead of %d and %d", i, id, step.Placed, step.Done, placed, finished)
				}
			}
		}
		if sub.Active() != (s.active[id] != nil) {
			rt.Fatalf("submission %s: Active() = %t, but listed as active = %t", id, sub.Active(), s.active[id] != nil)
		}
	}
}

func checkPlaced(rt *rapid.T, s *State, ref Ref, task *Task) {
	w := s.workers[task.On.ID]
	if w == nil || w.Incarnation() != task.On || w.GetGone() {
		rt.Fatalf("%v is placed on a worker incarnation that is gone: %v", ref, task.On)
	}
	if w.Attempts[ref] != task.Attempt {
		rt.Fatalf("%v is placed with attempt %d, but its worker has recorded attempt %d", ref, task.Attempt, w.Attempts[ref])
	}
}

// Guards against a task that runs twice because an expired lease is committed late: a VM leads, is suspended while another
// leader renews the lease, and then leads again. The end that it decided on in its earlier term must be rejected.
func TestEntryDecidedInEarlierTermIsRejected(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	ref := Ref{Submission: "a"}
	w.apply(queueConfig(2), worker("w1", 1), accept("a", &pb.Step{Count: 1}), start(ref, 1, "w1", 1))
	entry, err := proto.Marshal(&pb.SubmissionEntry{UnixMs: w.unixMs, DecidedTerm: 1,
		Changes: []*pb.SubmissionChange{end(ref, 1, "w1", 1, pb.TaskEndKind_TASK_END_KIND_LOST)}})
	is.NoErr(err)
	refused, ok := w.state.Apply(w.index+1, 3, entry).(error)
	is.True(ok && errors.Is(refused, ErrStaleTerm))
	is.True(w.state.Task(ref).Placed())
	results, ok := w.state.Apply(w.index+2, 1, entry).([]Result)
	is.True(ok && results[0].Applied)
	is.True(!w.state.Task(ref).Placed())
}

// Guards against a submission that is accepted and never runs because a new configuration has removed its queue since the
// request was matched to it.
func TestNoAcceptWithoutQueue(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	w.apply(queueConfig(2), worker("w", 1))
	without := queueConfig(2)
	without.GetConfig().Version, without.GetConfig().Queues = 2, nil
	w.apply(without)
	is.Equal(w.apply(accept("a", oneTask()))[0], Result{})
	is.True(w.state.Submission("a") == nil)
}

// Guards against a delayed report that restores what a later one has changed, such as a capacity that has shrunk. The order
// has to outlast the leader, so it is part of the state and of its snapshots.
func TestEarlierReportDoesNotOverwriteLaterOne(t *testing.T) {
	is := is.New(t)
	w := newDriver()
	report := func(sequence uint64, born, millicores int64) bool {
		return w.apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Worker{Worker: &pb.PoolWorker{Id: "a", BornUnixMs: born, Pool: "pool", Address: "x",
			Sequence: sequence, Capacity: &pb.Resources{Millicores: millicores}}}})[0].Applied
	}
	capacity := func() int64 { return w.state.Workers()["a"].GetCapacity().GetMillicores() }
	is.True(report(7, 1, 4000))
	is.True(report(9, 1, 2000))
	snapshot, err := w.state.Snapshot()
	is.NoErr(err)
	is.NoErr(w.state.Restore(snapshot))
	is.True(!report(8, 1, 4000))
	is.Equal(capacity(), int64(2000))
	is.True(report(10, 1, 3000))
	is.True(report(1, 2, 4000)) // a new incarnation counts from 1
	is.Equal(capacity(), int64(4000))
}

// Guards against a leave that a partition held up and that is taken for the leave of a later incarnation, also across a restored
// snapshot.
func TestLeaveIsCertainOnlyForFirstIncarnation(t *testing.T) {
	is := is.New(t)
	leave := func(id string, born int64) *pb.SubmissionChange {
		return &pb.SubmissionChange{Change: &pb.SubmissionChange_Leave{Leave: &pb.WorkerLeave{Id: id, BornUnixMs: born}}}
	}
	w := newDriver()
	w.apply(queueConfig(2), worker("a", 1), worker("b", 1), worker("b", 2))
	snapshot, err := w.state.Snapshot()
	is.NoErr(err)
	w.state = New(retentionMs, nil)
	is.NoErr(w.state.Restore(snapshot))
	w.apply(leave("a", 1), leave("b", 2))
	is.True(w.state.Workers()["a"].Leave.GetCertain())
	is.True(!w.state.Workers()["b"].Leave.GetCertain())
	snapshot, err = w.state.Snapshot()
	is.NoErr(err)
	is.NoErr(w.state.Restore(snapshot))
	is.True(w.state.Workers()["a"].Leave.GetCertain())
	is.True(!w.state.Workers()["b"].Leave.GetCertain())
	w.apply(worker("a", 2))
	is.Equal(w.state.Workers()["a"].Leave, nil) // a new incarnation has reported nothing yet
}
