package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// avoidFor is how long a task is not placed again on a worker that refused it or on which it failed or stalled.
const avoidFor = 3 * time.Second

// avoidedWorkers lists the workers on which a task is not to be placed for a while.
type avoidedWorkers struct {
	workers map[string]time.Duration // when avoidWorker was last called for each
}

func (l *Leader) avoidWorker(task submission.Ref, worker string) {
	a := l.avoid[task]
	if a == nil {
		a = &avoidedWorkers{workers: map[string]time.Duration{}}
		l.avoid[task] = a
	}
	a.workers[worker] = l.cfg.Clock()
}

func (l *Leader) avoided(task submission.Ref, now time.Duration) []string {
	a := l.avoid[task]
	if a == nil {
		return nil
	}
	var list []string
	for worker, at := range a.workers {
		if now-at < avoidFor {
			list = append(list, worker)
			continue
		}
		delete(a.workers, worker)
	}
	if len(list) == 0 {
		delete(l.avoid, task)
	}
	return list
}

// avoidWorkerTogether avoids a worker for a task and, since the members of a gang cannot work without each other, for its whole gang.
func (l *Leader) avoidWorkerTogether(task submission.Ref, worker string) {
	l.avoidWorker(task, worker)
	members := uint32(0)
	l.cfg.State.View(func(state *submission.State) {
		if step := stepOf(state, task); step.GetGang() {
			members = step.GetCount()
		}
	})
	for member := task; members > 0; members-- {
		member.Index = members - 1
		l.avoidWorker(member, worker)
	}
}
