package placement

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
)

// task is the part of a task's state that placement needs.
type task struct {
	id        string
	member    string
	contract  *contract
	kind      kindID
	class     pb.TaskClass
	size      vector
	gang      string
	gangSize  int32
	attempt   uint32
	evictions uint32
	failures  uint32
	state     pb.TaskState
	submitted int64 // Unix ms
	started   int64 // Unix ms
	expected  int64 // declared run time in ms
	progress  float64
	failedOn  []string
	// notBefore delays the next try after a failed start. Unix ms.
	notBefore int64
	// evictedAt is when the last eviction began, 0 if never. Unix ms.
	evictedAt int64

	// Position in the queue while queued.
	bucket     *bucket
	prev, next *task

	// What the task holds while placed; nil otherwise.
	*stay
}

// stay is what a task holds on a worker during one attempt.
type stay struct {
	worker     *worker
	position   int // in worker.tasks
	inContract int // in contract.placed
	occupied   vector
	charge     int64 // see flow.charge
	// condemned marks a victim of the current plan.
	condemned bool
	// running is when the attempt began to run, 0 before. Unix ms.
	running int64
	// checkpointAt is when the last checkpoint was seen. Unix ms.
	checkpointAt int64
	measured     vector
	measuredAt   int64 // Unix ms; 0 without a usable measurement
	throttle     throttleState
	// slow is the recent mean of -ln(speed).
	slow      float64
	suffering bool
}

// kindID numbers a kind of work within a member.
type kindID int32

type kindKey struct{ member, kind string }

// kindInfo is what is learned of a kind.
type kindInfo struct {
	sizes sizeHistory
	// Decayed counts of starts that succeeded and failed.
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

// normalClass treats a missing class as batch.
func normalClass(c pb.TaskClass) pb.TaskClass {
	if c == pb.TaskClass_TASK_CLASS_UNSPECIFIED {
		return pb.TaskClass_TASK_CLASS_BATCH
	}
	return c
}

func (c *cache) newTask(m *pb.Task) *task {
	s := m.GetSpec()
	c.model.expect(c.kindOf(s.GetMember(), s.GetKind()), normalClass(s.GetClass()) == pb.TaskClass_TASK_CLASS_BATCH)
	return &task{
		id: m.GetId(), member: s.GetMember(), contract: c.quotas.contract(s.GetContract()),
		kind: c.kindOf(s.GetMember(), s.GetKind()), class: normalClass(s.GetClass()),
		size: resources.FromProto(s.GetResources()), gang: s.GetGang(), gangSize: int32(s.GetGangSize()),
		submitted: m.GetSubmittedUnixMs(), expected: s.GetExpectedRunMs(),
	}
}

// update copies what changes during the life of a task.
func (t *task) update(m *pb.Task, now int64) {
	t.state, t.attempt = m.GetState(), m.GetAttempt()
	t.evictions, t.failures = m.GetEvictions(), m.GetFailures()
	t.started = m.GetStartedUnixMs()
	if progress := m.GetCheckpoint().GetProgress(); progress != t.progress {
		t.progress = progress
		if t.stay != nil {
			t.checkpointAt = now
		}
	}
	if len(m.GetFailedOn()) != len(t.failedOn) {
		t.failedOn = slices.Clone(m.GetFailedOn())
	}
}

// before orders tasks by submission. The id breaks ties, so the order does not depend on arrival.
func (t *task) before(o *task) bool {
	if t.submitted != o.submitted {
		return t.submitted < o.submitted
	}
	return t.id < o.id
}

func (t *task) urgent() bool { return t.class == pb.TaskClass_TASK_CLASS_URGENT }

func (t *task) batch() bool { return t.class == pb.TaskClass_TASK_CLASS_BATCH }

// evicting reports whether t is leaving its worker, by commit or by the current plan.
func (t *task) evicting() bool {
	return t.state == pb.TaskState_TASK_STATE_EVICTING || t.condemned
}
