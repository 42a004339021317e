// Package standin holds stand-ins of outside systems for tests, demonstrations and benchmarks.
package standin

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Shares of the lease, in percent, counted from the time at which the renewing heartbeat was sent.
const (
	// checkpointPercent is when an attempt without renewal starts its checkpoint.
	checkpointPercent = 80
	// killPercent is when an attempt without renewal is ended even without a checkpoint. It is below 100 so that
	// the attempt has stopped when the lease ends.
	killPercent = 95
)

// tombstoneLeases is how long an ended attempt is remembered once its end is acknowledged: the leader sends its start
// until it knows the end, and no answer to an older heartbeat is accepted.
const tombstoneLeases = 3

// AttemptID is the fencing token of a run.
type AttemptID struct {
	Task    string
	Attempt uint32
}

// Action is what the worker must do with an attempt.
type Action struct {
	Op     pb.WorkerOp
	ID     AttemptID
	Spec   *pb.TaskSpec
	Resume *pb.Checkpoint
	Share  float64
}

// Fence decides which commands a worker carries out and when its attempts must stop. It keeps the worker's side of
// the lease contract and has no goroutines; the caller serialises access.
type Fence struct {
	now      func() time.Time
	capacity *pb.Resources
	guards   bool
	lease    time.Duration
	epoch    uint64
	running  map[AttemptID]*leased
	seen     map[string]*tombstone
	reports  []*pb.AttemptReport
	// acknowledged counts the reports removed from the front of the list.
	acknowledged int
}

// leased is an attempt that occupies the worker.
type leased struct {
	size    *pb.Resources
	renewed time.Time // send time of the heartbeat that last renewed the lease
	lease   time.Duration
	ending  bool // told to checkpoint and stop
	killed  bool
}

// tombstone remembers the highest command and attempt of a task.
type tombstone struct {
	term, index uint64
	attempt     uint32
	touched     time.Time
}

// NewFence returns the fence of a worker process. Guards make it refuse starts above its capacity.
func NewFence(now func() time.Time, capacity *pb.Resources, guards bool) *Fence {
	return &Fence{now: now, capacity: capacity, guards: guards, running: map[AttemptID]*leased{}, seen: map[string]*tombstone{}}
}

// Epoch returns the session epoch; 0 means that the worker must register.
func (f *Fence) Epoch() uint64 { return f.epoch }

// Known lists the attempts that run or whose reports are not acknowledged.
func (f *Fence) Known() []*pb.AttemptRef {
	refs := f.Running()
	for _, r := range f.reports {
		if _, runs := f.running[AttemptID{r.GetTask(), r.GetAttempt()}]; !runs {
			refs = append(refs, &pb.AttemptRef{Task: r.GetTask(), Attempt: r.GetAttempt()})
		}
	}
	return refs
}

// Running lists the attempts that occupy the worker.
func (f *Fence) Running() []*pb.AttemptRef {
	refs := make([]*pb.AttemptRef, 0, len(f.running))
	for id, l := range f.running {
		refs = append(refs, &pb.AttemptRef{Task: id.Task, Attempt: id.Attempt, Resources: l.size})
	}
	return refs
}

// Registering ends the session: answers to heartbeats of the former epoch are ignored from now on.
func (f *Fence) Registering() { f.epoch = 0 }

// Registered starts a session.
func (f *Fence) Registered(answer *pb.RegisterWorkerAnswer) {
	f.epoch = answer.GetEpoch()
	f.lease = time.Duration(answer.GetLeaseMs()) * time.Millisecond
}

// Sent identifies a heartbeat, so that its answer can be matched whenever it arrives.
type Sent struct {
	at      time.Time
	epoch   uint64
	running []AttemptID
	reports int // position after the last report that was sent
}

// Heartbeat returns a heartbeat to send now.
func (f *Fence) Heartbeat(worker string) (*pb.WorkerHeartbeat, Sent) {
	sent := Sent{at: f.now(), epoch: f.epoch, running: slices.Collect(maps.Keys(f.running)), reports: f.acknowledged + len(f.reports)}
	return &pb.WorkerHeartbeat{Worker: worker, Epoch: f.epoch, Reports: slices.Clone(f.reports), Running: f.Running()}, sent
}

// Answer takes the answer to a heartbeat and returns what to do. Answers may come late, twice or out of order.
func (f *Fence) Answer(sent Sent, answer *pb.WorkerHeartbeatAnswer) []Action {
	if sent.epoch != f.epoch || f.epoch == 0 {
		return nil
	}
	if answer.GetRegisterAgain() {
		f.Registering()
		return nil
	}
	if answer.GetReportsCommitted() {
		f.acknowledge(sent.reports)
	}
	lease := time.Duration(answer.GetLeaseMs()) * time.Millisecond
	f.renew(sent, lease)
	var actions []Action
	for _, c := range answer.GetCommands() {
		if action, ok := f.command(sent, lease, c); ok {
			actions = append(actions, action)
		}
	}
	f.forget()
	return actions
}

func (f *Fence) acknowledge(position int) {
	if drop := position - f.acknowledged; drop > 0 {
		f.reports = slices.Clone(f.reports[drop:])
		f.acknowledged = position
	}
}

func (f *Fence) renew(sent Sent, lease time.Duration) {
	for _, id := range sent.running {
		if l := f.running[id]; l != nil && sent.at.After(l.renewed) {
			l.renewed = sent.at
			l.lease = lease
		}
	}
}

func (f *Fence) command(sent Sent, lease time.Duration, c *pb.WorkerCommand) (Action, bool) {
	if f.lower(c) {
		return Action{}, false
	}
	id := AttemptID{c.GetTask(), c.GetAttempt()}
	switch c.GetOp() {
	case pb.WorkerOp_WORKER_OP_START:
		return f.start(sent, lease, id, c)
	case pb.WorkerOp_WORKER_OP_THROTTLE:
		_, runs := f.running[id]
		return Action{Op: c.GetOp(), ID: id, Share: c.GetShare()}, runs
	case pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP, pb.WorkerOp_WORKER_OP_STOP:
		return f.stop(id, c)
	default:
		return Action{}, false
	}
}

// lower reports whether a command is older than one already seen for the task.
func (f *Fence) lower(c *pb.WorkerCommand) bool {
	seen := f.seen[c.GetTask()]
	if seen == nil {
		return false
	}
	if c.GetTerm() != seen.term {
		return c.GetTerm() < seen.term
	}
	return c.GetIndex() < seen.index
}

func (f *Fence) remember(c *pb.WorkerCommand) {
	seen := f.seen[c.GetTask()]
	if seen == nil {
		seen = &tombstone{}
		f.seen[c.GetTask()] = seen
	}
	seen.term, seen.index = c.GetTerm(), c.GetIndex()
	seen.attempt = max(seen.attempt, c.GetAttempt())
	seen.touched = f.now()
}

func (f *Fence) start(sent Sent, lease time.Duration, id AttemptID, c *pb.WorkerCommand) (Action, bool) {
	if seen := f.seen[id.Task]; seen != nil && seen.attempt >= id.Attempt {
		return Action{}, false // an attempt is never started twice
	}
	if f.now().Sub(sent.at) >= percent(lease, checkpointPercent) || f.runsTask(id.Task) {
		return Action{}, false // the leader sends the start again
	}
	f.remember(c)
	size := c.GetSpec().GetResources()
	if f.guards && !f.hasRoom(size) {
		f.Report(&pb.AttemptReport{Task: id.Task, Attempt: id.Attempt, Event: pb.AttemptEvent_ATTEMPT_EVENT_REFUSED,
			Reason: "the start exceeds the capacity of the worker"})
		return Action{}, false
	}
	f.running[id] = &leased{size: size, renewed: sent.at, lease: lease}
	return Action{Op: c.GetOp(), ID: id, Spec: c.GetSpec(), Resume: c.GetResume()}, true
}

func (f *Fence) runsTask(task string) bool {
	for id := range f.running {
		if id.Task == task {
			return true
		}
	}
	return false
}

func (f *Fence) hasRoom(size *pb.Resources) bool {
	cores, memory, devices := size.GetMillicores(), size.GetMemoryBytes(), size.GetAccelerators()
	for _, l := range f.running {
		cores += l.size.GetMillicores()
		memory += l.size.GetMemoryBytes()
		devices += l.size.GetAccelerators()
	}
	return cores <= f.capacity.GetMillicores() && memory <= f.capacity.GetMemoryBytes() && devices <= f.capacity.GetAccelerators()
}

func (f *Fence) stop(id AttemptID, c *pb.WorkerCommand) (Action, bool) {
	f.remember(c)
	l := f.running[id]
	if l == nil {
		f.reportNeverStarted(id)
		return Action{}, false
	}
	kill := c.GetOp() == pb.WorkerOp_WORKER_OP_STOP
	if l.killed || l.ending && !kill {
		return Action{}, false
	}
	l.ending, l.killed = true, kill
	return Action{Op: c.GetOp(), ID: id}, true
}

// reportNeverStarted answers a stop of an attempt whose start did not arrive. The tombstone keeps it from starting.
func (f *Fence) reportNeverStarted(id AttemptID) {
	for _, r := range f.reports {
		if r.GetTask() == id.Task && r.GetAttempt() == id.Attempt {
			return
		}
	}
	f.reports = append(f.reports, &pb.AttemptReport{Task: id.Task, Attempt: id.Attempt,
		Event: pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, Reason: "not running on this worker"})
}

// Due returns the attempts that must checkpoint or end because their lease was not renewed.
func (f *Fence) Due() []Action {
	var actions []Action
	for id, l := range f.running {
		silent := f.now().Sub(l.renewed)
		switch {
		case silent >= percent(l.lease, killPercent) && !l.killed:
			l.ending, l.killed = true, true
			actions = append(actions, Action{Op: pb.WorkerOp_WORKER_OP_STOP, ID: id})
		case silent >= percent(l.lease, checkpointPercent) && !l.ending:
			l.ending = true
			actions = append(actions, Action{Op: pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP, ID: id})
		}
	}
	return actions
}

// NextDue returns when Due has something to say next, or false if nothing runs.
func (f *Fence) NextDue() (time.Time, bool) {
	var next time.Time
	for _, l := range f.running {
		if l.killed {
			continue
		}
		at := l.renewed.Add(percent(l.lease, checkpointPercent))
		if l.ending {
			at = l.renewed.Add(percent(l.lease, killPercent))
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Report queues an event until a leader acknowledges it. An end event frees the attempt's capacity.
func (f *Fence) Report(r *pb.AttemptReport) {
	f.reports = append(f.reports, r)
	switch r.GetEvent() {
	case pb.AttemptEvent_ATTEMPT_EVENT_STARTED, pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED:
	default:
		delete(f.running, AttemptID{r.GetTask(), r.GetAttempt()})
	}
}

// Pending returns the number of reports that are not acknowledged.
func (f *Fence) Pending() int { return len(f.reports) }

// forget drops tombstones that no acceptable answer can refer to any more.
func (f *Fence) forget() {
	unacknowledged := map[string]bool{}
	for _, r := range f.reports {
		unacknowledged[r.GetTask()] = true
	}
	for task, seen := range f.seen {
		switch {
		case unacknowledged[task] || f.runsTask(task):
			seen.touched = f.now()
		case f.now().Sub(seen.touched) > tombstoneLeases*f.lease:
			delete(f.seen, task)
		}
	}
}

func percent(d time.Duration, share int) time.Duration { return d * time.Duration(share) / 100 }
