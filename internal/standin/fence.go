package standin

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Lease deadlines, in percent of the lease, counted from the time at which the heartbeat that renewed it was sent.
const (
	// checkpointPercent is when an attempt whose lease was not renewed starts to write a checkpoint.
	checkpointPercent = 80
	// killPercent is when an attempt whose lease was not renewed is stopped even without a checkpoint. It is below 100
	// so that the attempt has stopped before the lease expires.
	killPercent = 95
)

// tombstoneLeases is how many lease durations the tombstone of a task is kept after the acknowledgement of its end. The
// leader repeats the start of an attempt until it knows the end, and an answer made before the commit may arrive later.
const tombstoneLeases = 3

// AttemptID identifies an attempt of a task.
type AttemptID struct {
	Task    string
	Attempt uint32
}

// Action is an operation that the worker must carry out on an attempt.
type Action struct {
	Op     pb.WorkerOp
	ID     AttemptID
	Spec   *pb.TaskSpec
	Resume *pb.Checkpoint
	Share  float64
}

// Fence decides which commands a worker carries out and when its attempts must stop. It implements the worker's side of
// the lease protocol. It has no goroutines and is not safe for concurrent use.
type Fence struct {
	now        func() time.Time
	capacity   *pb.Resources
	guards     bool
	lease      time.Duration
	epoch      uint64
	running    map[AttemptID]*leasedAttempt
	tombstones map[string]*tombstone
	reports    []*pb.AttemptReport
	// acknowledged counts the reports that were removed from the front of reports.
	acknowledged int
}

// leasedAttempt is an attempt that occupies capacity of the worker.
type leasedAttempt struct {
	size      *pb.Resources
	renewedAt time.Time // send time of the heartbeat that last renewed the lease
	lease     time.Duration
	stopping  bool // was told to stop, with or without a checkpoint
	killed    bool
}

// tombstone holds the newest command and the highest attempt of a task. It rejects older commands and repeated starts.
type tombstone struct {
	term, index uint64
	attempt     uint32
	lastUsed    time.Time
}

// NewFence returns the fence of a worker process. With guards, it refuses starts that exceed the capacity.
func NewFence(now func() time.Time, capacity *pb.Resources, guards bool) *Fence {
	return &Fence{now: now, capacity: capacity, guards: guards, running: map[AttemptID]*leasedAttempt{}, tombstones: map[string]*tombstone{}}
}

// Epoch returns the epoch of the session. 0 means that the worker must register.
func (f *Fence) Epoch() uint64 { return f.epoch }

// KnownAttempts lists the running attempts and those with unacknowledged reports.
func (f *Fence) KnownAttempts() []*pb.AttemptRef {
	refs := f.RunningAttempts()
	for _, r := range f.reports {
		if _, runs := f.running[AttemptID{r.GetTask(), r.GetAttempt()}]; !runs {
			refs = append(refs, &pb.AttemptRef{Task: r.GetTask(), Attempt: r.GetAttempt()})
		}
	}
	return refs
}

// RunningAttempts lists the attempts that occupy capacity of the worker.
func (f *Fence) RunningAttempts() []*pb.AttemptRef {
	refs := make([]*pb.AttemptRef, 0, len(f.running))
	for id, l := range f.running {
		refs = append(refs, &pb.AttemptRef{Task: id.Task, Attempt: id.Attempt, Resources: l.size})
	}
	return refs
}

// EndSession ends the session. Answers to its heartbeats are ignored from then on.
func (f *Fence) EndSession() { f.epoch = 0 }

// StartSession starts the session that a registration has opened.
func (f *Fence) StartSession(answer *pb.RegisterWorkerAnswer) {
	f.epoch = answer.GetEpoch()
	f.lease = time.Duration(answer.GetLeaseMs()) * time.Millisecond
}

// Sent records the state at which a heartbeat was sent. HandleAnswer needs it because answers may arrive at any time.
type Sent struct {
	sentAt     time.Time
	epoch      uint64
	running    []AttemptID
	reportsEnd int // number of reports ever queued up to the last one sent
}

// Heartbeat returns a heartbeat to be sent immediately.
func (f *Fence) Heartbeat(worker string) (*pb.WorkerHeartbeat, Sent) {
	sent := Sent{sentAt: f.now(), epoch: f.epoch, running: slices.Collect(maps.Keys(f.running)), reportsEnd: f.acknowledged + len(f.reports)}
	return &pb.WorkerHeartbeat{Worker: worker, Epoch: f.epoch, Reports: slices.Clone(f.reports), Running: f.RunningAttempts()}, sent
}

// HandleAnswer processes the answer to a heartbeat and returns the actions to carry out. Answers may arrive late, twice or
// out of order.
func (f *Fence) HandleAnswer(sent Sent, answer *pb.WorkerHeartbeatAnswer) []Action {
	if sent.epoch != f.epoch || f.epoch == 0 {
		return nil
	}
	if answer.GetRegisterAgain() {
		f.EndSession()
		return nil
	}
	if answer.GetReportsCommitted() {
		f.acknowledge(sent.reportsEnd)
	}
	lease := time.Duration(answer.GetLeaseMs()) * time.Millisecond
	f.renewLeases(sent, lease)
	var actions []Action
	for _, c := range answer.GetCommands() {
		if action, ok := f.applyCommand(sent, lease, c); ok {
			actions = append(actions, action)
		}
	}
	f.pruneTombstones()
	return actions
}

func (f *Fence) acknowledge(position int) {
	if drop := position - f.acknowledged; drop > 0 {
		f.reports = slices.Clone(f.reports[drop:])
		f.acknowledged = position
	}
}

func (f *Fence) renewLeases(sent Sent, lease time.Duration) {
	for _, id := range sent.running {
		if l := f.running[id]; l != nil && sent.sentAt.After(l.renewedAt) {
			l.renewedAt = sent.sentAt
			l.lease = lease
		}
	}
}

func (f *Fence) applyCommand(sent Sent, lease time.Duration, c *pb.WorkerCommand) (Action, bool) {
	if f.isStale(c) {
		return Action{}, false
	}
	id := AttemptID{c.GetTask(), c.GetAttempt()}
	switch c.GetOp() {
	case pb.WorkerOp_WORKER_OP_START:
		return f.startAttempt(sent, lease, id, c)
	case pb.WorkerOp_WORKER_OP_THROTTLE:
		_, runs := f.running[id]
		return Action{Op: c.GetOp(), ID: id, Share: c.GetShare()}, runs
	case pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP, pb.WorkerOp_WORKER_OP_STOP:
		return f.stopAttempt(id, c)
	default:
		return Action{}, false
	}
}

// isStale reports whether a command is older than the newest one recorded for its task.
func (f *Fence) isStale(c *pb.WorkerCommand) bool {
	newest := f.tombstones[c.GetTask()]
	if newest == nil {
		return false
	}
	if c.GetTerm() != newest.term {
		return c.GetTerm() < newest.term
	}
	return c.GetIndex() < newest.index
}

func (f *Fence) recordCommand(c *pb.WorkerCommand) {
	newest := f.tombstones[c.GetTask()]
	if newest == nil {
		newest = &tombstone{}
		f.tombstones[c.GetTask()] = newest
	}
	newest.term, newest.index = c.GetTerm(), c.GetIndex()
	newest.attempt = max(newest.attempt, c.GetAttempt())
	newest.lastUsed = f.now()
}

func (f *Fence) startAttempt(sent Sent, lease time.Duration, id AttemptID, c *pb.WorkerCommand) (Action, bool) {
	if newest := f.tombstones[id.Task]; newest != nil && newest.attempt >= id.Attempt {
		return Action{}, false // an attempt is never started twice
	}
	if f.now().Sub(sent.sentAt) >= percentOf(lease, checkpointPercent) || f.runsTask(id.Task) {
		return Action{}, false // the leader repeats the start
	}
	f.recordCommand(c)
	size := c.GetSpec().GetResources()
	if f.guards && !f.hasCapacity(size) {
		f.QueueReport(&pb.AttemptReport{Task: id.Task, Attempt: id.Attempt, Event: pb.AttemptEvent_ATTEMPT_EVENT_REFUSED,
			Reason: "the start exceeds the capacity of the worker"})
		return Action{}, false
	}
	f.running[id] = &leasedAttempt{size: size, renewedAt: sent.sentAt, lease: lease}
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

func (f *Fence) hasCapacity(size *pb.Resources) bool {
	cores, memory, devices := size.GetMillicores(), size.GetMemoryBytes(), size.GetAccelerators()
	for _, l := range f.running {
		cores += l.size.GetMillicores()
		memory += l.size.GetMemoryBytes()
		devices += l.size.GetAccelerators()
	}
	return cores <= f.capacity.GetMillicores() && memory <= f.capacity.GetMemoryBytes() && devices <= f.capacity.GetAccelerators()
}

func (f *Fence) stopAttempt(id AttemptID, c *pb.WorkerCommand) (Action, bool) {
	f.recordCommand(c)
	l := f.running[id]
	if l == nil {
		f.reportNotRunning(id)
		return Action{}, false
	}
	kill := c.GetOp() == pb.WorkerOp_WORKER_OP_STOP
	if l.killed || l.stopping && !kill {
		return Action{}, false
	}
	l.stopping, l.killed = true, kill
	return Action{Op: c.GetOp(), ID: id}, true
}

// reportNotRunning reports that an attempt that was told to stop is not running, unless a report of it is pending. Its
// tombstone prevents a later start.
func (f *Fence) reportNotRunning(id AttemptID) {
	for _, r := range f.reports {
		if r.GetTask() == id.Task && r.GetAttempt() == id.Attempt {
			return
		}
	}
	f.reports = append(f.reports, &pb.AttemptReport{Task: id.Task, Attempt: id.Attempt,
		Event: pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, Reason: "not running on this worker"})
}

// DueActions returns the actions on attempts that must checkpoint or stop because their lease was not renewed.
func (f *Fence) DueActions() []Action {
	var actions []Action
	for id, l := range f.running {
		sinceRenewal := f.now().Sub(l.renewedAt)
		switch {
		case sinceRenewal >= percentOf(l.lease, killPercent) && !l.killed:
			l.stopping, l.killed = true, true
			actions = append(actions, Action{Op: pb.WorkerOp_WORKER_OP_STOP, ID: id})
		case sinceRenewal >= percentOf(l.lease, checkpointPercent) && !l.stopping:
			l.stopping = true
			actions = append(actions, Action{Op: pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP, ID: id})
		}
	}
	return actions
}

// NextDue returns the time of the next lease deadline, or false if there is none.
func (f *Fence) NextDue() (time.Time, bool) {
	var next time.Time
	for _, l := range f.running {
		if l.killed {
			continue
		}
		at := l.renewedAt.Add(percentOf(l.lease, checkpointPercent))
		if l.stopping {
			at = l.renewedAt.Add(percentOf(l.lease, killPercent))
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// QueueReport queues a report until a leader acknowledges it. A report of an end frees the capacity of the attempt.
func (f *Fence) QueueReport(r *pb.AttemptReport) {
	f.reports = append(f.reports, r)
	switch r.GetEvent() {
	case pb.AttemptEvent_ATTEMPT_EVENT_STARTED, pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED:
	default:
		delete(f.running, AttemptID{r.GetTask(), r.GetAttempt()})
	}
}

// PendingReports returns the number of unacknowledged reports.
func (f *Fence) PendingReports() int { return len(f.reports) }

// pruneTombstones drops tombstones that are too old for any acceptable answer to refer to.
func (f *Fence) pruneTombstones() {
	unacknowledged := map[string]bool{}
	for _, r := range f.reports {
		unacknowledged[r.GetTask()] = true
	}
	for task, entry := range f.tombstones {
		switch {
		case unacknowledged[task] || f.runsTask(task):
			entry.lastUsed = f.now()
		case f.now().Sub(entry.lastUsed) > tombstoneLeases*f.lease:
			delete(f.tombstones, task)
		}
	}
}

func percentOf(d time.Duration, share int) time.Duration { return d * time.Duration(share) / 100 }
