package standin

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes seed and number of property tests unless they are given.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

const fenceLease = 10 * time.Second

// fenceSim drives a fence with a clock of its own and answers that arrive late, twice and out of order.
type fenceSim struct {
	fence *Fence
	now   time.Time
	index uint64
	// sent heartbeats and their answers, of which any may arrive at any time.
	sent    []Sent
	answers []*pb.WorkerHeartbeatAnswer
	history []fenceEvent
	running map[AttemptID]bool
	// obedient workers carry out what is due in time.
	obedient bool
}

// fenceEvent is one thing that happened, with the end of the lease as the leader counts it.
type fenceEvent struct {
	at          time.Time
	start, end  bool
	id          AttemptID
	term, index uint64
	sentAt      time.Time
}

func newFenceSim() *fenceSim {
	f := &fenceSim{now: time.UnixMilli(0), running: map[AttemptID]bool{}, obedient: true}
	f.fence = NewFence(func() time.Time { return f.now }, &pb.Resources{Millicores: 3000}, true)
	f.fence.Registered(&pb.RegisterWorkerAnswer{Epoch: 1, LeaseMs: fenceLease.Milliseconds()})
	return f
}

func (f *fenceSim) step(t *rapid.T) {
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0, 1:
		_, sent := f.fence.Heartbeat("w")
		f.sent = append(f.sent, sent)
		f.answers = append(f.answers, f.drawAnswer(t))
	case 2, 3, 4:
		if len(f.sent) > 0 {
			at := rapid.IntRange(0, len(f.sent)-1).Draw(t, "answer")
			f.answer(f.sent[at], f.answers[at])
		}
	case 5:
		f.pass(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	case 6:
		for _, id := range f.ids() {
			if rapid.IntRange(0, 3).Draw(t, "finishes") == 0 {
				f.end(id)
			}
		}
	}
}

func (f *fenceSim) ids() []AttemptID {
	var ids []AttemptID
	for id := range f.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b AttemptID) int { return int(a.Attempt) - int(b.Attempt) })
	return ids
}

func (f *fenceSim) drawAnswer(t *rapid.T) *pb.WorkerHeartbeatAnswer {
	answer := &pb.WorkerHeartbeatAnswer{LeaseMs: fenceLease.Milliseconds(), ReportsCommitted: rapid.Bool().Draw(t, "committed")}
	for range rapid.IntRange(0, 2).Draw(t, "commands") {
		f.index++
		answer.Commands = append(answer.Commands, &pb.WorkerCommand{
			Op:   rapid.SampledFrom([]pb.WorkerOp{1, 1, 2, 3, 4}).Draw(t, "op"),
			Task: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "task"), Attempt: uint32(rapid.IntRange(1, 4).Draw(t, "attempt")),
			Term: 1, Index: f.index, Spec: &pb.TaskSpec{Resources: &pb.Resources{Millicores: 2000}}})
	}
	return answer
}

func (f *fenceSim) answer(sent Sent, answer *pb.WorkerHeartbeatAnswer) {
	for _, a := range f.fence.Answer(sent, answer) {
		switch a.Op {
		case pb.WorkerOp_WORKER_OP_START:
			f.running[a.ID] = true
			c := answer.GetCommands()[slices.IndexFunc(answer.GetCommands(), func(c *pb.WorkerCommand) bool {
				return c.GetOp() == a.Op && c.GetTask() == a.ID.Task && c.GetAttempt() == a.ID.Attempt
			})]
			f.history = append(f.history, fenceEvent{at: f.now, start: true, id: a.ID, term: c.GetTerm(), index: c.GetIndex(), sentAt: sent.at})
		case pb.WorkerOp_WORKER_OP_STOP:
			f.end(a.ID)
		}
	}
	// Whatever the worker takes from an answer, the leader counts the lease from the time the heartbeat was sent.
	for _, id := range sent.running {
		f.history = append(f.history, fenceEvent{at: f.now, id: id, sentAt: sent.at})
	}
}

func (f *fenceSim) end(id AttemptID) {
	if !f.running[id] {
		return
	}
	delete(f.running, id)
	f.fence.Report(&pb.AttemptReport{Task: id.Task, Attempt: id.Attempt, Event: pb.AttemptEvent_ATTEMPT_EVENT_STOPPED})
	f.history = append(f.history, fenceEvent{at: f.now, end: true, id: id})
}

// pass lets time go by and carries out what becomes due, as the worker's timer does.
func (f *fenceSim) pass(d time.Duration) {
	target := f.now.Add(d)
	for f.obedient {
		due, ok := f.fence.NextDue()
		if !ok || due.After(target) {
			break
		}
		f.now = due
		for _, a := range f.fence.Due() {
			if a.Op == pb.WorkerOp_WORKER_OP_STOP {
				f.end(a.ID)
			}
		}
	}
	f.now = target
}

// checkFence reports an attempt that runs without a lease, is started twice, or runs beside another of its task.
func checkFence(history []fenceEvent, until time.Time) error {
	lease := map[AttemptID]time.Time{}
	running := map[string]AttemptID{}
	startedBefore := map[AttemptID]bool{}
	for _, e := range append(history, fenceEvent{at: until}) {
		for _, id := range running {
			if e.at.After(lease[id]) {
				return fmt.Errorf("attempt %v runs %s beyond its lease", id, e.at.Sub(lease[id]))
			}
		}
		other, runs := running[e.id.Task]
		switch {
		case e.start && startedBefore[e.id]:
			return fmt.Errorf("attempt %v is started twice", e.id)
		case e.start && runs:
			return fmt.Errorf("attempt %v starts beside %v", e.id, other)
		case e.start:
			startedBefore[e.id], running[e.id.Task] = true, e.id
			lease[e.id] = e.sentAt.Add(fenceLease)
		case e.end:
			delete(running, e.id.Task)
		case lease[e.id].Before(e.sentAt.Add(fenceLease)):
			lease[e.id] = e.sentAt.Add(fenceLease)
		}
	}
	return nil
}

// Guards against a worker that runs an attempt without a lease, twice, or beside another attempt of the task.
func TestFence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFenceSim()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.step(t)
		}
		if err := checkFence(f.history, f.now); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a checker that cannot fail: a worker that ignores the end of leases, and one that forgets attempts.
func TestFenceCheckerReportsSeededFaults(t *testing.T) {
	for name, breakIt := range map[string]func(*fenceSim){
		"lease is ignored":         func(f *fenceSim) { f.obedient = false },
		"attempts are forgotten":   func(f *fenceSim) { clear(f.fence.seen) },
		"running is not looked at": func(f *fenceSim) { clear(f.fence.running); clear(f.fence.seen) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := false
			for n := 0; n < 2000 && !found; n++ {
				f := newFenceSim()
				rapid.Custom(func(t *rapid.T) int {
					for range 60 {
						f.step(t)
						breakIt(f)
					}
					return 0
				}).Example(n)
				found = checkFence(f.history, f.now) != nil
			}
			is.True(found) // the checker must report the seeded fault
		})
	}
}

// Guards against commands that arrive out of order: a late start must not undo a stop.
func TestLateStartAfterStop(t *testing.T) {
	is := is.New(t)
	f := newFenceSim()
	_, sent := f.fence.Heartbeat("w")
	command := func(op pb.WorkerOp, index uint64) *pb.WorkerHeartbeatAnswer {
		return &pb.WorkerHeartbeatAnswer{LeaseMs: 10000, Commands: []*pb.WorkerCommand{{Op: op, Task: "a", Attempt: 1, Term: 1, Index: index}}}
	}
	is.Equal(len(f.fence.Answer(sent, command(pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP, 5))), 0)
	is.Equal(f.fence.Pending(), 1) // reports that the attempt does not run
	is.Equal(len(f.fence.Answer(sent, command(pb.WorkerOp_WORKER_OP_START, 4))), 0)
	is.Equal(len(f.fence.Running()), 0)
	f.fence.Registering()
	f.fence.Registered(&pb.RegisterWorkerAnswer{Epoch: 2, LeaseMs: 10000})
	is.Equal(len(f.fence.Answer(sent, command(pb.WorkerOp_WORKER_OP_START, 9))), 0) // answer to the former session
}

// Guards against starts above the capacity of the worker.
func TestGuards(t *testing.T) {
	is := is.New(t)
	f := newFenceSim()
	_, sent := f.fence.Heartbeat("w")
	big := &pb.TaskSpec{Resources: &pb.Resources{Millicores: 2000}}
	actions := f.fence.Answer(sent, &pb.WorkerHeartbeatAnswer{LeaseMs: 10000, Commands: []*pb.WorkerCommand{
		{Op: pb.WorkerOp_WORKER_OP_START, Task: "a", Attempt: 1, Term: 1, Index: 1, Spec: big},
		{Op: pb.WorkerOp_WORKER_OP_START, Task: "b", Attempt: 1, Term: 1, Index: 2, Spec: big}}})
	is.Equal(len(actions), 1)
	message, _ := f.fence.Heartbeat("w")
	is.Equal(message.GetReports()[0].GetEvent(), pb.AttemptEvent_ATTEMPT_EVENT_REFUSED)
}

// Guards against a second execution of an attempt whose end has not reached the leader for longer than tombstones last:
// the leader goes on sending its start.
func TestEndedAttemptIsRememberedUntilItsEndIsAcknowledged(t *testing.T) {
	is := is.New(t)
	f := newFenceSim()
	id := AttemptID{"t", 1}
	start := &pb.WorkerHeartbeatAnswer{LeaseMs: fenceLease.Milliseconds(), Commands: []*pb.WorkerCommand{
		{Op: pb.WorkerOp_WORKER_OP_START, Task: id.Task, Attempt: id.Attempt, Term: 1, Index: 1, Spec: &pb.TaskSpec{}}}}
	poll := func(answer *pb.WorkerHeartbeatAnswer) []Action {
		_, sent := f.fence.Heartbeat("w")
		return f.fence.Answer(sent, answer)
	}
	is.Equal(len(poll(start)), 1)
	f.fence.Report(&pb.AttemptReport{Task: id.Task, Attempt: id.Attempt, Event: pb.AttemptEvent_ATTEMPT_EVENT_FINISHED})
	f.now = f.now.Add((tombstoneLeases + 1) * fenceLease)
	is.Equal(len(poll(start)), 0) // forgets tombstones that are old enough
	is.Equal(len(poll(start)), 0) // must not start the attempt again

	late, sent := f.fence.Heartbeat("w")
	is.Equal(len(late.GetReports()), 1)
	f.fence.Answer(sent, &pb.WorkerHeartbeatAnswer{LeaseMs: fenceLease.Milliseconds(), ReportsCommitted: true})
	is.Equal(len(poll(start)), 0) // an answer made before the commit may arrive after it
	f.now = f.now.Add((tombstoneLeases + 1) * fenceLease)
	poll(&pb.WorkerHeartbeatAnswer{LeaseMs: fenceLease.Milliseconds()})
	is.Equal(len(f.fence.seen), 0) // in the end it is forgotten
}
