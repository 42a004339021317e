package placement

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
)

// task is the cached state of a task.
type task struct {
	id            string
	member        string
	contract      *contract
	kind          kindID
	class         pb.TaskClass
	size          vector
	gang          string
	gangSize      int32
	attempt       uint32
	evictions     uint32
	failures      uint32
	state         pb.TaskState
	submitted     int64 // Unix ms
	started       int64 // Unix ms
	declaredRunMs int64 // declared run time in ms, 0 if not declared
	progress      float64
	failedOn      []string
	// notBefore is the earliest time of the next placement after a failed or refused start. Unix ms.
	notBefore int64
	// evictedAt is when the last eviction began, 0 if never. Unix ms.
	evictedAt int64

	// bucket, prev and next locate the task in the queue; nil unless it is queued.
	bucket     *bucket
	prev, next *task

	// allocation is nil unless the task is placed.
	*allocation
}

// allocation is what a task holds on a worker during one attempt, and what was measured there.
type allocation struct {
	worker        *worker
	position      int // in worker.tasks
	contractIndex int // in contract.placed
	// occupied is the capacity counted for the task: the declared or expected size, or the measured usage if larger.
	occupied vector
	charge   int64 // see flow.charge
	// evictionPlanned marks a victim of the current plan.
	evictionPlanned bool
	// runningSince is when the attempt began to run, 0 before. Unix ms.
	runningSince int64
	// checkpointAt is when the last checkpoint was seen. Unix ms.
	checkpointAt int64
	measured     vector
	measuredAt   int64 // Unix ms; 0 without a usable measurement
	throttle     throttleState
	// slowdown is the moving average of -ln(speed).
	slowdown float64
	// tooSlow is set while the task is in cache.slowTasks.
	tooSlow bool
}

// kindID identifies a kind of task of one member. It is an index into cache.kindInfo.
type kindID int32

// kindKey identifies a kind of task of a member by name.
type kindKey struct{ member, kind string }

// kindInfo holds statistics of the tasks of one kind.
type kindInfo struct {
	usage usageHistory
	// Numbers of successful and failed starts, both decayed at each start.
	startsOK, startsFailed float64
	services               int // placed service tasks
}

// occupies reports whether a task in state s holds capacity on its worker.
func occupies(s pb.TaskState) bool {
	switch s {
	case pb.TaskState_TASK_STATE_STARTING, pb.TaskState_TASK_STATE_RUNNING, pb.TaskState_TASK_STATE_EVICTING:
		return true
	}
	return false
}

// classOrBatch returns c, or batch if it is unspecified.
func classOrBatch(c pb.TaskClass) pb.TaskClass {
	if c == pb.TaskClass_TASK_CLASS_UNSPECIFIED {
		return pb.TaskClass_TASK_CLASS_BATCH
	}
	return c
}

func (c *cache) newTask(m *pb.Task) *task {
	s := m.GetSpec()
	c.model.ensurePrior(c.kindOf(s.GetMember(), s.GetKind()), classOrBatch(s.GetClass()) == pb.TaskClass_TASK_CLASS_BATCH)
	return &task{
		id: m.GetId(), member: s.GetMember(), contract: c.quotas.contract(s.GetContract()),
		kind: c.kindOf(s.GetMember(), s.GetKind()), class: classOrBatch(s.GetClass()),
		size: resources.FromProto(s.GetResources()), gang: s.GetGang(), gangSize: int32(s.GetGangSize()),
		submitted: m.GetSubmittedUnixMs(), declaredRunMs: s.GetExpectedRunMs(),
	}
}

// update copies the fields that change during the life of a task.
func (t *task) update(m *pb.Task, now int64) {
	t.state, t.attempt = m.GetState(), m.GetAttempt()
	t.evictions, t.failures = m.GetEvictions(), m.GetFailures()
	t.started = m.GetStartedUnixMs()
	if progress := m.GetCheckpoint().GetProgress(); progress != t.progress {
		t.progress = progress
		if t.allocation != nil {
			t.checkpointAt = now
		}
	}
	if len(m.GetFailedOn()) != len(t.failedOn) {
		t.failedOn = slices.Clone(m.GetFailedOn())
	}
}

// before reports whether t was submitted before o. Ties are broken by id, so that the order does not depend on the
// order of updates.
func (t *task) before(o *task) bool {
	if t.submitted != o.submitted {
		return t.submitted < o.submitted
	}
	return t.id < o.id
}

func (t *task) urgent() bool { return t.class == pb.TaskClass_TASK_CLASS_URGENT }

func (t *task) batch() bool { return t.class == pb.TaskClass_TASK_CLASS_BATCH }

// evicting reports whether t is being evicted, or the current plan proposes to evict it.
func (t *task) evicting() bool {
	return t.state == pb.TaskState_TASK_STATE_EVICTING || t.evictionPlanned
}
