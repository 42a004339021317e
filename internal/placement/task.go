package placement

import (
	"github.com/lentilyard/lentilyard/internal/pb"
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
	gangSize  int
	state     pb.TaskState
	attempt   uint32
	evictions uint32
	failures  uint32
	submitted int64 // Unix ms
	started   int64 // Unix ms
	progress  float64
	expected  int64 // ms

	// Position in the queue while queued.
	bucket     *bucket
	prev, next *task

	// What the task occupies while placed.
	worker   *worker
	position int // in worker.tasks
	occupied vector
	charge   int64 // see flow.charge
}

// kindID numbers a kind of work within a member.
type kindID int32

type kindKey struct{ member, kind string }

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
	return &task{
		id: m.GetId(), member: s.GetMember(), contract: c.quotas.contract(s.GetContract()),
		kind: c.kindOf(s.GetMember(), s.GetKind()), class: normalClass(s.GetClass()),
		size: toVector(s.GetResources()), gang: s.GetGang(), gangSize: int(s.GetGangSize()),
		submitted: m.GetSubmittedUnixMs(), expected: s.GetExpectedRunMs(),
	}
}

// update copies what changes during the life of a task.
func (t *task) update(m *pb.Task) {
	t.state, t.attempt = m.GetState(), m.GetAttempt()
	t.evictions, t.failures = m.GetEvictions(), m.GetFailures()
	t.started = m.GetStartedUnixMs()
	t.progress = m.GetCheckpoint().GetProgress()
}

// before orders tasks by submission. The id breaks ties, so the order does not depend on arrival.
func (t *task) before(o *task) bool {
	if t.submitted != o.submitted {
		return t.submitted < o.submitted
	}
	return t.id < o.id
}
