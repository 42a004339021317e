package dispatch

import (
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Endless tasks on a worker that drains end with it in any case. They move to other workers before, as far as these have room and the limits of
// their steps allow: whether the process of a worker that has left has ended may not be known before its lease is over.

// leavesWithWorker reports whether a task of a step on a worker ends with it and should move to another one. The members of a gang would have to
// move together; they stay.
func leavesWithWorker(w *submission.Worker, step *pb.Step) bool {
	return w.GetDraining() && step.GetEndless() && !step.GetGang()
}

// anyDrains reports whether attempts are placed on a worker that drains.
func anyDrains(state *submission.State) bool {
	for _, w := range state.Workers() {
		if w.GetDraining() && !w.GetGone() && len(w.Attempts) > 0 {
			return true
		}
	}
	return false
}
