package dispatch

import (
	"cmp"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// crashDowntime is how long a crashed worker is away.
const crashDowntime = 3300 * time.Millisecond

// crashCase is a way in which workers crash and return.
type crashCase struct {
	newID bool // the next incarnation has a new id at the old address
	dark  bool // calls to a crashed worker hang, while otherwise its connections break
	// relayed is true if other VMs make the calls.
	relayed bool
	// downtime is how long the worker is away, crashDowntime if 0.
	downtime time.Duration
	// takesAll is true if the next incarnation, under the same id, carries out calls that are meant for the one before. It reports
	// only after it has been called.
	takesAll bool
}

func (c crashCase) String() string {
	return fmt.Sprintf("new id %t, dark %t, relayed %t, takes all calls %t", c.newID, c.dark, c.relayed, c.takesAll)
}

var crashCases = []crashCase{{newID: false, dark: false}, {newID: true, dark: false}, {newID: false, dark: true}, {newID: true, dark: true},
	{takesAll: true}, {dark: true, takesAll: true}, {newID: true, dark: true, relayed: true}, {dark: true, relayed: true, takesAll: true}}

// restartCrashed lets each crashed worker return after crashDowntime.
func (r *harness) restartCrashed(c crashCase) {
	newID, lives := c.newID, 0
	r.workers.crashDark, r.workers.relayed = c.dark, c.relayed
	r.workers.crashed = func(f *fakeWorker) {
		time.AfterFunc(cmp.Or(c.downtime, crashDowntime), func() {
			var next *fakeWorker
			r.workers.update(func() {
				lives++
				id := f.incarnation.ID
				if newID {
					id = fmt.Sprintf("%s-%d", f.incarnation.ID, lives)
				}
				next = newFakeWorker(id, f.incarnation.BornUnixMs+1000)
				next.address, next.unsound, next.ignoreIncarnation = f.address, f.unsound, c.takesAll
				if newID && next.address == "" {
					next.address = f.incarnation.ID
				}
				r.workers.byID[id] = next
			})
			if c.takesAll {
				time.Sleep(500 * time.Millisecond)
			}
			r.report(next.incarnation.ID, 1)
		})
	}
}

// furtherStarts returns how often a task was started after three workers had crashed while it ran, and how many have crashed.
func (r *harness) furtherStarts(task submission.Ref) (starts, crashes int) {
	r.workers.update(func() { starts, crashes = r.workers.startsByTask[task]-crashLimit, r.workers.crashes[task] })
	return starts, crashes
}

// checkDeadlyTaskIsGivenUp submits a task that crashes its workers, waits for the given time and checks how often it was started.
func (r *harness) checkDeadlyTaskIsGivenUp(is *is.I, c crashCase, wait time.Duration) {
	task := submission.Ref{Submission: "deadly"}
	r.restartCrashed(c)
	r.workers.update(func() { r.workers.deadly[task] = true })
	r.submit("deadly", 1, nil)
	time.Sleep(wait)
	further, crashes := r.furtherStarts(task)
	r.t.Logf("%d workers crashed, started %d times more after the third", crashes, further)
	is.True(crashes >= 1)
	is.True(further < maxFurtherStarts)
}

// crashLimit is the number of crashes after which a task may be started fewer than maxFurtherStarts times more.
const (
	crashLimit       = 3
	maxFurtherStarts = 3
)

// Guards against a task that is started without end although each worker that starts it crashes.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, c := range crashCases {
		t.Run(c.String(), func(t *testing.T) {
			withHarness(t, time.Second, []string{"a", "b", "c", "d", "e", "f"}, func(is *is.I, r *harness) {
				r.checkDeadlyTaskIsGivenUp(is, c, time.Minute)
			})
		})
	}
}

// Guards against a task that is started without end since its crashes do not count where the first hold after them is refused and takes long, as by way of
// another VM: the worker was taken to have lived until then.
func TestWorkerIsNotAliveUntilItsHoldIsRefused(t *testing.T) {
	is := is.New(t)
	answered, failed := time.Hour, time.Hour+170*time.Millisecond
	r := &run{startedAt: answered - 20*time.Millisecond}
	for _, c := range []struct {
		err        error
		mayCrashed bool
	}{
		{ErrConnectionRefused, true},
		{ErrConnectionBroken, false}, // it lived until its connection broke
	} {
		s := &session{}
		s.recordHold(holdResult{sent: answered - time.Second, ended: answered})
		s.recordHold(holdResult{sent: answered, ended: failed, err: c.err})
		is.Equal(r.mayHaveCrashed(s), c.mayCrashed)
	}
}

// Guards against the same if the leader changes right after each crash: the next one does not know which attempts had only just started.
func TestTaskThatCrashesItsWorkersAroundLeaderChangesIsGivenUp(t *testing.T) {
	for _, c := range crashCases {
		t.Run(c.String(), func(t *testing.T) {
			withHarness(t, time.Second, []string{"a", "b", "c", "d", "e", "f"}, func(is *is.I, r *harness) {
				go r.changeLeaderAfterCrashes(submission.Ref{Submission: "deadly"}, time.Minute)
				r.checkDeadlyTaskIsGivenUp(is, c, 2*time.Minute)
			})
		})
	}
}

// changeLeaderAfterCrashes replaces the leader for some time after each crash that a task causes, before the crash can be noticed.
func (r *harness) changeLeaderAfterCrashes(task submission.Ref, duration time.Duration) {
	seen := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		crashes := 0
		r.workers.update(func() { crashes = r.workers.crashes[task] })
		if crashes == seen {
			continue
		}
		seen = crashes
		r.leader.Close()
		r.workers.update(r.newLeader)
		r.lead(uint64(5 + seen))
	}
}

// longDowntimes are longer than the lease of a worker, and longer than two.
var longDowntimes = []time.Duration{12 * time.Second, 20 * time.Second}

// Guards against the same if the lease of each crashed worker is over before the worker is back.
func TestTaskThatKeepsItsWorkersAwayIsGivenUp(t *testing.T) {
	for _, downtime := range longDowntimes {
		for _, c := range crashCases {
			c.downtime = downtime
			t.Run(c.String(), func(t *testing.T) {
				withHarness(t, time.Second, []string{"a", "b", "c", "d", "e", "f"}, func(is *is.I, r *harness) {
					r.checkDeadlyTaskIsGivenUp(is, c, 3*time.Minute)
					is.Equal(r.describe("deadly"), "failed")
				})
			})
		}
	}
}

// Guards against the same while a wave goes on, on VMs whose maintenance was done before.
func TestCrashesOnMaintainedVMsCount(t *testing.T) {
	for _, c := range crashCases {
		t.Run(c.String(), func(t *testing.T) {
			withHarness(t, time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
				r.submitWave(1, "vm-a", "vm-b", "vm-c")
				for _, id := range []string{"a", "b"} {
					r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_WaveProgress{WaveProgress: &pb.WaveProgress{Number: 1, Vm: "vm-" + id}}})
					r.restart(id, 1000, func(*fakeWorker) {})
					r.report(id, 1)
				}
				time.Sleep(time.Second)
				r.checkDeadlyTaskIsGivenUp(is, c, time.Minute)
			})
		})
	}
}

// Guards against an endless task that is never given up, since it does not wait until it is known whether its workers have crashed.
func TestEndlessTaskThatKeepsItsWorkersAwayIsGivenUp(t *testing.T) {
	for _, downtime := range longDowntimes {
		for _, c := range crashCases {
			c.downtime = downtime
			t.Run(c.String(), func(t *testing.T) {
				withHarness(t, time.Hour, []string{"a", "b", "c", "d", "e", "f"}, func(is *is.I, r *harness) {
					r.restartCrashed(c)
					r.workers.update(func() { r.workers.deadly[submission.Ref{Submission: "deadly"}] = true })
					r.submit("deadly", 1, endless)
					time.Sleep(3 * time.Minute)
					is.Equal(r.describe("deadly"), "failed")
				})
			})
		}
	}
}

// Guards against a submission that fails because its tasks were lost several times beside one that crashes its workers.
func TestNeighboursOfCrashingTaskAreNotGivenUp(t *testing.T) {
	for _, c := range crashCases {
		t.Run(c.String(), func(t *testing.T) {
			withHarness(t, 2*time.Second, []string{"a", "b"}, func(is *is.I, r *harness) {
				r.restartCrashed(c)
				r.workers.update(func() { r.workers.deadly[submission.Ref{Submission: "deadly"}] = true })
				r.commit(accept("deadly", 1), accept("neighbour", 7)) // one commit, so that they are placed together, on full workers
				time.Sleep(30 * time.Second)
				lost := 0
				r.workers.update(func() {
					for index := range uint32(7) {
						lost = max(lost, r.workers.crashes[submission.Ref{Submission: "neighbour", Index: index}])
					}
				})
				t.Logf("a neighbour was lost %d times; the submission is %s", lost, r.describe("neighbour"))
				is.True(lost >= 1)
				is.True(r.describe("neighbour") != "failed")
				time.Sleep(60 * time.Second)
				is.Equal(r.describe("neighbour"), "done")
			})
		})
	}
}

func accept(id string, tasks uint32) *pb.SubmissionChange {
	return &pb.SubmissionChange{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{Queue: "h /", Spec: &pb.SubmissionSpec{Id: id, Payload: "payload",
		Steps: []*pb.Step{{Count: tasks, Size: &pb.Resources{Millicores: 1000, MemoryBytes: 1}, EstimateMs: 2000}}}}}}
}

// Guards against a suspect task that waits for ever in a pool where some task has always only just started.
func TestSuspectStartsInBusyPool(t *testing.T) {
	withHarness(t, youngAttempt/3, []string{"a"}, func(is *is.I, r *harness) {
		task := submission.Ref{Submission: "suspect"}
		r.restartCrashed(crashCase{})
		r.workers.update(func() { r.workers.deadly[task] = true })
		r.commit(accept("suspect", 1))
		time.Sleep(time.Second)
		r.workers.update(func() { delete(r.workers.deadly, task) }) // something else may have crashed the worker
		stop := make(chan struct{})
		defer close(stop)
		go r.submitOften(stop)
		time.Sleep(crashDowntime + maxIsolationWait + time.Second)
		is.Equal(r.describe("suspect"), "done")
	})
}

// submitOften submits tasks so often that one has always only just started, until stop is closed.
func (r *harness) submitOften(stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(youngAttempt / 6):
			r.submit(fmt.Sprint("short-", n), 1, nil)
		}
	}
}

// Guards against a crash that counts for nothing because the next incarnation has answered a call meant for the crashed one.
func TestAnswerOfNextIncarnationDoesNotHideCrash(t *testing.T) {
	is := is.New(t)
	s, r := &session{}, &run{startedAt: time.Second}
	s.recordHold(holdResult{ended: time.Second + crashDelay, err: ErrNoAnswer})
	s.recordAnswered(time.Second + crashDowntime)
	is.True(r.mayHaveCrashed(s))
}

// Guards against a submission that is never the only suspect, since several of its tasks start on the same worker.
func TestSiblingsAreNoAlternativeSuspects(t *testing.T) {
	is := is.New(t)
	s := &session{aliveAt: time.Second + crashDelay, endedBy: time.Second + crashDelay, endKnown: true}
	l := &Leader{cfg: Config{State: submission.New(time.Minute.Milliseconds(), nil)}, runs: map[submission.Ref]*run{
		{Submission: "s"}:           {startedAt: time.Second},
		{Submission: "s", Index: 1}: {startedAt: time.Second},
	}}
	only := func() (list []bool) {
		for _, suspect := range l.suspects(s) {
			list = append(list, suspect.GetOnly())
		}
		return list
	}
	is.Equal(only(), []bool{true, true})
	l.runs[submission.Ref{Submission: "other"}] = &run{startedAt: time.Second}
	is.Equal(only(), []bool{false, false, false})
}

// Guards against submissions that fail because one worker crashes whatever starts there.
func TestUnsoundWorkerDoesNotFailSubmissions(t *testing.T) {
	for _, c := range crashCases {
		t.Run(c.String(), func(t *testing.T) {
			withHarness(t, time.Second, []string{"a", "b", "c"}, func(is *is.I, r *harness) {
				r.restartCrashed(c)
				r.workers.update(func() { r.workers.byID["a"].unsound = true })
				for n := range 30 {
					r.commit(accept(fmt.Sprintf("s-%d", n), 2))
					time.Sleep(time.Second)
				}
				time.Sleep(30 * time.Second)
				for n := range 30 {
					is.Equal(r.describe(fmt.Sprintf("s-%d", n)), "done")
				}
			})
		})
	}
}

// Guards against a crash that counts for nothing, or for a start that came too late, because no hold was waiting at the worker.
func TestCrashBetweenHoldsCounts(t *testing.T) {
	is := is.New(t)
	s, guilty, late, old := &session{}, &run{startedAt: time.Second}, &run{startedAt: 2 * time.Second}, &run{startedAt: 500 * time.Millisecond}
	s.recordHold(holdResult{sent: 0, ended: 900 * time.Millisecond})
	s.recordAnswered(time.Second + time.Millisecond)
	s.recordHold(holdResult{sent: 1300 * time.Millisecond, ended: 1301 * time.Millisecond, err: ErrNoAnswer})
	is.True(guilty.mayHaveCrashed(s))
	is.True(!late.mayHaveCrashed(s))
	is.True(!old.mayHaveCrashed(s))
}

// Guards against an endless task that is given up for crashes long ago, though it has run in between.
func TestCrashesBeforeLongRunAreForgotten(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		task := submission.Ref{Submission: "s"}
		r.restartCrashed(crashCase{})
		crashOnce := func(begin func()) {
			r.workers.update(func() { r.workers.deadly[task] = true })
			begin()
			time.Sleep(time.Second)
			r.workers.update(func() { r.workers.deadly[task] = false })
			time.Sleep(20 * time.Second)
		}
		crashOnce(func() { r.submit("s", 1, endless) })
		is.Equal(r.running("a")+r.running("b"), 1)
		crashOnce(func() {
			for _, id := range []string{"a", "b"} {
				if r.running(id) > 0 {
					var f *fakeWorker
					r.workers.update(func() { f = r.workers.byID[id] })
					r.workers.crash(f)
				}
			}
			time.Sleep(crashDowntime)
		})
		is.Equal(r.running("a")+r.running("b"), 1)
		crashes := 0
		r.workers.update(func() { crashes = r.workers.crashes[task] })
		is.Equal(crashes, 3) // the second while it ran
	})
}

// Guards against a task that is suspect again and again, each time beside others, and is never taken for the culprit.
func TestEarlierSuspectIsTakenForTheCulprit(t *testing.T) {
	is := is.New(t)
	w := &session{incarnation: submission.Incarnation{ID: "w"}, aliveAt: time.Second, endedBy: time.Second, endKnown: true}
	state := submission.New(time.Minute.Milliseconds(), nil)
	l := &Leader{cfg: Config{State: state}, runs: map[submission.Ref]*run{}}
	for _, id := range []string{"a", "b"} {
		l.runs[submission.Ref{Submission: id}] = &run{on: w.incarnation, attempt: 2, startedAt: time.Second}
	}
	only := func() (list []bool) {
		for _, suspect := range l.suspects(w) {
			list = append(list, suspect.GetOnly())
		}
		return list
	}
	is.Equal(only(), []bool{false, false})
	makeSuspect(is, state, "b")
	is.Equal(only(), []bool{false, true})
}

// Guards against submissions that fail because their workers crash by themselves, also while none of their tasks is young.
func TestCrashesWithoutSuspectProtectTasks(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	l := &Leader{cfg: Config{State: submission.New(time.Minute.Milliseconds(), nil), Clock: func() time.Duration { return now }}, runs: map[submission.Ref]*run{}}
	crashOf := func(id string) []*pb.SuspectAttempt {
		return l.crashSuspects(&session{incarnation: submission.Incarnation{ID: id}, aliveAt: time.Second, endedBy: time.Second, endKnown: true,
			leaseState: leaseState{confirmed: true}})
	}
	l.runs[submission.Ref{Submission: "s"}] = &run{on: submission.Incarnation{ID: "w"}, startedAt: time.Second}
	is.True(crashOf("w")[0].GetOnly())
	is.Equal(len(crashOf("idle")), 0)
	is.True(!crashOf("w")[0].GetOnly())
	now += unexplainedWindow
	is.True(crashOf("w")[0].GetOnly())
}

// storm submits a task and lets each worker crash that starts it, for one time, and a worker without room by itself, for another.
func (r *harness) storm(is *is.I, deadly, all time.Duration) submission.Ref {
	task := submission.Ref{Submission: "s"}
	r.restartCrashed(crashCase{downtime: 500 * time.Millisecond})
	r.workers.update(func() { r.workers.byID["idle"], r.workers.deadly[task] = newFakeWorker("idle", 1), true })
	time.AfterFunc(3*time.Second, func() { r.submit("s", 1, nil) })
	time.AfterFunc(deadly, func() { r.workers.update(func() { r.workers.deadly[task] = false }) })
	for end := time.Now().Add(all); time.Now().Before(end); {
		is.NoErr(r.reportCapacity("idle", 2, 0))
		time.Sleep(2 * time.Second)
		var idle *fakeWorker
		r.workers.update(func() { idle = r.workers.byID["idle"] })
		r.workers.crash(idle)
	}
	time.Sleep(2 * time.Second) // it is back
	return task
}

// Guards against a submission that is given up because its workers crashed several times just after it had started there, while others
// crashed by themselves, and against one that waits for ever since they do not stop.
func TestWorkersThatCrashByThemselvesDoNotFailSubmissions(t *testing.T) {
	for _, all := range []time.Duration{10 * time.Second, 20 * time.Second} {
		withHarness(t, time.Second, []string{"a", "b", "c", "d", "e", "f"}, func(is *is.I, r *harness) {
			task := r.storm(is, 10*time.Second, all)
			time.Sleep(20*time.Second - all)
			_, crashes := r.furtherStarts(task)
			is.Equal(crashes, 3)
			is.Equal(r.describe("s"), "done")
		})
	}
}

// Guards against a task that crashes its workers and is started without end because others crash as well.
func TestTaskThatCrashesItsWorkersInStormIsGivenUp(t *testing.T) {
	withHarness(t, time.Second, []string{"a", "b", "c", "d", "e", "f"}, func(is *is.I, r *harness) {
		before := givenUpTotal.Get()
		further, _ := r.furtherStarts(r.storm(is, time.Minute, 30*time.Second))
		is.True(further < maxFurtherStarts)
		is.Equal(r.describe("s"), "failed")
		is.Equal(givenUpTotal.Get(), before+1)
	})
}

// Guards against a submission that failed for another cause and is logged and counted as given up for crashes.
func TestFailedSubmissionIsNotCountedAsGivenUp(t *testing.T) {
	is := is.New(t)
	state, before := submission.New(time.Minute.Milliseconds(), nil), givenUpTotal.Get()
	l := &Leader{cfg: Config{State: state}, log: testLogger()}
	makeSuspect(is, state, "s")
	task := submission.Ref{Submission: "s"}.Proto()
	fail := &pb.SubmissionEntry{Changes: []*pb.SubmissionChange{
		{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 2, Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool", Attempts: 1}}}}},
		{Change: &pb.SubmissionChange_Worker{Worker: &pb.PoolWorker{Id: "w", BornUnixMs: 1}}},
		{Change: &pb.SubmissionChange_Start{Start: &pb.TaskStart{Task: task, Attempt: 2, Worker: "w", WorkerBornUnixMs: 1}}},
		{Change: &pb.SubmissionChange_End{End: &pb.TaskEnd{Task: task, Attempt: 2, Worker: "w", WorkerBornUnixMs: 1, Kind: pb.TaskEndKind_TASK_END_KIND_FAILED}}},
	}}
	entry, err := proto.Marshal(fail)
	is.NoErr(err)
	state.Apply(2, 1, entry)
	is.Equal(state.Submission("s").Describe(), "failed")
	l.logSuspects("w", []*pb.SuspectAttempt{{Task: task, Attempt: 2}})
	is.Equal(givenUpTotal.Get(), before)
}

// makeSuspect accepts a submission and lets a worker crash under its task.
func makeSuspect(is *is.I, state *submission.State, id string) {
	ref := submission.Ref{Submission: id}
	entry, err := proto.Marshal(&pb.SubmissionEntry{Changes: []*pb.SubmissionChange{
		{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 1, Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool"}}}}},
		accept(id, 1),
		{Change: &pb.SubmissionChange_Worker{Worker: &pb.PoolWorker{Id: "gone", BornUnixMs: 1}}},
		{Change: &pb.SubmissionChange_Start{Start: &pb.TaskStart{Task: ref.Proto(), Attempt: 1, Worker: "gone", WorkerBornUnixMs: 1}}},
		{Change: &pb.SubmissionChange_Gone{Gone: &pb.WorkerGone{Id: "gone", BornUnixMs: 1, Suspects: []*pb.SuspectAttempt{{Task: ref.Proto(), Attempt: 1}}}}},
	}})
	is.NoErr(err)
	state.Apply(1, 1, entry)
}

// Guards against a task that is blamed for a crash because a call made by another VM timed out there, which is taken for a connection
// that broke when the task had only just started.
func TestCallThatTimesOutAtOtherVMIsNoBrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		workers := newFakeWorkers(t, time.Second)
		workers.relayed = true
		l := &Leader{cfg: Config{Caller: workers, Clock: func() time.Duration { return time.Since(begin) + time.Hour }}}
		s := &session{}
		s.recordHold(l.hold(t.Context(), s, HoldCall{WaitMs: holdWait.Milliseconds()}))
		is.True(!s.endKnown)
	})
}

// Guards against an endless task that is away for longer than it may be, because workers go on to crash by themselves.
func TestEndlessTaskThatIsAwayDoesNotWaitForCalm(t *testing.T) {
	is := is.New(t)
	task, now := submission.Ref{Submission: "s"}, time.Minute
	suspect := &submission.Task{Suspicions: 3}
	l := &Leader{unexplainedAt: now - time.Second, calmWaits: map[submission.Ref]calmWait{}, lastRuns: map[submission.Ref]time.Duration{task: now - time.Second}}
	is.True(l.awaitsCalm(task, suspect, true, now))
	l.lastRuns[task] = now - calmTime
	is.True(!l.awaitsCalm(task, suspect, true, now))
	is.True(l.awaitsCalm(task, suspect, false, now))
}
