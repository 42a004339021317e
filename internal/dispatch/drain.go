package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Endless tasks on a worker that drains end with it in any case. Shortly before that they move to other workers, as far as these have room and
// the limits of their steps allow: whether the process of a worker that has left has ended may not be known before its lease is over.

// drainMoveMargin is how long before a worker may leave the last of its endless tasks are to have stopped.
const drainMoveMargin = 700 * time.Millisecond

// drainState is what the leader knows of the drain of a worker.
type drainState struct {
	// leavesAt is when the worker may leave at the earliest, by its last report that states it; 0 if none does.
	leavesAt time.Duration
	// isDue is true once endless tasks are to move.
	isDue bool
}

// checkDrain notes when the endless tasks on a worker are to move, if it drains. A drain without a stated time may end at any moment.
func (l *Leader) checkDrain(s *session, now time.Duration) {
	if s.drain.isDue || s.drain.leavesAt == 0 || now < s.drain.leavesAt-l.cfg.Bounds.Stop-drainMoveMargin {
		return
	}
	s.drain.isDue, l.dirty = true, true
}

// endsSoon reports whether the endless tasks on a worker have to move since it drains. s, which may be nil, is the session with it.
func (s *session) endsSoon(w *submission.Worker) bool {
	return w.GetDraining() && s != nil && s.incarnation == w.Incarnation() && (s.drain.isDue || s.drain.leavesAt == 0)
}

// movesFromDraining reports whether the tasks of a step leave a worker that drains. The members of a gang would have to move together; they stay.
func movesFromDraining(step *pb.Step) bool { return step.GetEndless() && !step.GetGang() }

// anyEndsSoon reports whether attempts are placed on a worker whose endless tasks have to move.
func (l *Leader) anyEndsSoon(state *submission.State) bool {
	for id, w := range state.Workers() {
		if !w.GetGone() && len(w.Attempts) > 0 && l.sessions[id].endsSoon(w) {
			return true
		}
	}
	return false
}
