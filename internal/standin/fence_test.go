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

// TestMain fixes the seed and the number of checks of property tests unless flags set them.
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

// fenceSim drives a fence with a simulated clock and with answers that arrive late, twice and out of order.
type fenceSim struct {
	fence *Fence
	now   time.Time
	index uint64
	// sent and answers hold the heartbeats and their answers, any of which may arrive at any time.
	sent    []Sent
	answers []*pb.WorkerHeartbeatAnswer
	history []fenceEvent
	running map[AttemptID]bool
	// stopsInTime makes the worker carry out due actions in time.
	stopsInTime bool
}

// fenceEvent is the start, the end or a lease renewal of an attempt. sentAt is the time from which the leader counts the lease.
type fenceEvent struct {
	at          time.Time
	start, end  bool
	id          AttemptID
	term, index uint64
	sentAt      time.Time
}

func newFenceSim() *fenceSim {
	f := &fenceSim{now: time.UnixMilli(0), running: map[AttemptID]bool{}, stopsInTime: true}
	f.fence = NewFence(func() time.Time { return f.now }, &pb.Resources{Millicores: 3000}, true)
	f.fence.StartSession(&pb.RegisterWorkerAnswer{Epoch: 1, LeaseMs: fenceLease.Milliseconds()})
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
			f.deliver(f.sent[at], f.answers[at])
		}
	case 5:
		f.advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	case 6:
		for _, id := range f.runningIDs() {
			if rapid.IntRange(0, 3).Draw(t, "finishes") == 0 {
				f.endAttempt(id)
			}
		}
	}
}

func (f *fenceSim) runningIDs() []AttemptID {
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

func (f *fenceSim) deliver(sent Sent, answer *pb.WorkerHeartbeatAnswer) {
	for _, a := range f.fence.HandleAnswer(sent, answer) {
		switch a.Op {
		case pb.WorkerOp_WORKER_OP_START:
			f.running[a.ID] = true
			c := answer.GetCommands()[slices.IndexFunc(answer.GetCommands(), func(c *pb.WorkerCommand) bool {
				return c.GetOp() == a.Op && c.GetTask() == a.ID.Task && c.GetAttempt() == a.ID.Attempt
			})]
			f.history = append(f.history, fenceEvent{at: f.now, start: true, id: a.ID, term: c.GetTerm(), index: c.GetIndex(), sentAt: sent.sentAt})
		case pb.WorkerOp_WORKER_OP_STOP:
			f.endAttempt(a.ID)
		}
	}
	// The leader counts the lease from the time the heartbeat was sent, even if the worker ignores the answer.
	for _, id := range sent.running {
		f.history = append(f.history, fenceEvent{at: f.now, id: id, sentAt: sent.sentAt})
	}
}

func (f *fenceSim) endAttempt(id AttemptID) {
	if !f.running[id] {
		return
	}
	delete(f.running, id)
	f.fence.QueueReport(&pb.AttemptReport{Task: id.Task, Attempt: id.Attempt, Event: pb.AttemptEvent_ATTEMPT_EVENT_STOPPED})
	f.history = append(f.history, fenceEvent{at: f.now, end: true, id: id})
}

// advance moves the clock forward and carries out the actions that become due, as the worker's timer does.
func (f *fenceSim) advance(d time.Duration) {
	target := f.now.Add(d)
	for f.stopsInTime {
		due, ok := f.fence.NextDue()
		if !ok || due.After(target) {
			break
		}
		f.now = due
		for _, a := range f.fence.DueActions() {
			if a.Op == pb.WorkerOp_WORKER_OP_STOP {
				f.endAttempt(a.ID)
			}
		}
	}
	f.now = target
}

// checkHistory returns an error if an attempt runs without a lease, is started twice, or runs while another attempt of its
// task does.
func checkHistory(history []fenceEvent, until time.Time) error {
	lease := map[AttemptID]time.Time{}
	running := map[string]AttemptID{}
	startedBefore := map[AttemptID]bool{}
	for _, e := range append(history, fenceEvent{at: until}) {
		for _, id := range running {
			if e.at.After(lease[id]) {
				return fmt.Errorf("attempt %v still runs %s after its lease expired", id, e.at.Sub(lease[id]))
			}
		}
		other, runs := running[e.id.Task]
		switch {
		case e.start && startedBefore[e.id]:
			return fmt.Errorf("attempt %v is started twice", e.id)
		case e.start && runs:
			return fmt.Errorf("attempt %v starts while %v runs", e.id, other)
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

// Guards against a worker that runs an attempt without a lease, twice, or at the same time as another attempt of its task.
func TestFenceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFenceSim()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.step(t)
		}
		if err := checkHistory(f.history, f.now); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a checker that cannot fail: it must detect workers that ignore expired leases or forget attempts.
func TestFenceCheckerReportsSeededFaults(t *testing.T) {
	for name, breakIt := range map[string]func(*fenceSim){
		"lease is ignored":               func(f *fenceSim) { f.stopsInTime = false },
		"attempts are forgotten":         func(f *fenceSim) { clear(f.fence.tombstones) },
		"running attempts are forgotten": func(f *fenceSim) { clear(f.fence.running); clear(f.fence.tombstones) },
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
				found = checkHistory(f.history, f.now) != nil
			}
			is.True(found) // the checker must report the injected fault
		})
	}
}

// Guards against commands that arrive out of order: a late start must not start a stopped attempt.
func TestStartIsIgnoredAfterStop(t *testing.T) {
	is := is.New(t)
	f := newFenceSim()
	_, sent := f.fence.Heartbeat("w")
	command := func(op pb.WorkerOp, index uint64) *pb.WorkerHeartbeatAnswer {
		return &pb.WorkerHeartbeatAnswer{LeaseMs: 10000, Commands: []*pb.WorkerCommand{{Op: op, Task: "a", Attempt: 1, Term: 1, Index: index}}}
	}
	is.Equal(len(f.fence.HandleAnswer(sent, command(pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP, 5))), 0)
	is.Equal(f.fence.PendingReports(), 1) // reports that the attempt is not running
	is.Equal(len(f.fence.HandleAnswer(sent, command(pb.WorkerOp_WORKER_OP_START, 4))), 0)
	is.Equal(len(f.fence.RunningAttempts()), 0)
	f.fence.EndSession()
	f.fence.StartSession(&pb.RegisterWorkerAnswer{Epoch: 2, LeaseMs: 10000})
	is.Equal(len(f.fence.HandleAnswer(sent, command(pb.WorkerOp_WORKER_OP_START, 9))), 0) // answer to the former session
}

// Guards against starts that exceed the capacity of the worker.
func TestStartAboveCapacityIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFenceSim()
	_, sent := f.fence.Heartbeat("w")
	big := &pb.TaskSpec{Resources: &pb.Resources{Millicores: 2000}}
	actions := f.fence.HandleAnswer(sent, &pb.WorkerHeartbeatAnswer{LeaseMs: 10000, Commands: []*pb.WorkerCommand{
		{Op: pb.WorkerOp_WORKER_OP_START, Task: "a", Attempt: 1, Term: 1, Index: 1, Spec: big},
		{Op: pb.WorkerOp_WORKER_OP_START, Task: "b", Attempt: 1, Term: 1, Index: 2, Spec: big}}})
	is.Equal(len(actions), 1)
	message, _ := f.fence.Heartbeat("w")
	is.Equal(message.GetReports()[0].GetEvent(), pb.AttemptEvent_ATTEMPT_EVENT_REFUSED)
}

// Guards against a second execution of an attempt whose end is unacknowledged for longer than the lifetime of a tombstone:
// the leader keeps sending its start.
func TestEndedAttemptIsRememberedUntilItsEndIsAcknowledged(t *testing.T) {
	is := is.New(t)
	f := newFenceSim()
	id := AttemptID{"t", 1}
	start := &pb.WorkerHeartbeatAnswer{LeaseMs: fenceLease.Milliseconds(), Commands: []*pb.WorkerCommand{
		{Op: pb.WorkerOp_WORKER_OP_START, Task: id.Task, Attempt: id.Attempt, Term: 1, Index: 1, Spec: &pb.TaskSpec{}}}}
	poll := func(answer *pb.WorkerHeartbeatAnswer) []Action {
		_, sent := f.fence.Heartbeat("w")
		return f.fence.HandleAnswer(sent, answer)
	}
	is.Equal(len(poll(start)), 1)
	f.fence.QueueReport(&pb.AttemptReport{Task: id.Task, Attempt: id.Attempt, Event: pb.AttemptEvent_ATTEMPT_EVENT_FINISHED})
	f.now = f.now.Add((tombstoneLeases + 1) * fenceLease)
	is.Equal(len(poll(start)), 0) // prunes old tombstones
	is.Equal(len(poll(start)), 0) // must not start the attempt again

	late, sent := f.fence.Heartbeat("w")
	is.Equal(len(late.GetReports()), 1)
	f.fence.HandleAnswer(sent, &pb.WorkerHeartbeatAnswer{LeaseMs: fenceLease.Milliseconds(), ReportsCommitted: true})
	is.Equal(len(poll(start)), 0) // an answer made before the commit may arrive after it
	f.now = f.now.Add((tombstoneLeases + 1) * fenceLease)
	poll(&pb.WorkerHeartbeatAnswer{LeaseMs: fenceLease.Milliseconds()})
	is.Equal(len(f.fence.tombstones), 0) // the tombstone is pruned in the end
}
