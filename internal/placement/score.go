package placement

import "github.com/lentilyard/lentilyard/internal/pb"

const (
	packingWeight = 0.2
	rackWeight    = 1.0
)

// score rates w for t. Lower is better.
func (p *Planner) score(t *task, w *worker) float64 {
	s := packingWeight * leftover(t, w)
	if t.class == pb.TaskClass_TASK_CLASS_SERVICE {
		s += rackWeight * float64(p.cache.racks[rackKey{t.kind, w.rack}])
	}
	return s
}

// leftover is the share of w that remains free with t on it, 0 to 1. Small values pack tightly.
func leftover(t *task, w *worker) float64 {
	return 1 - w.used.plus(t.size).share(w.capacity)
}
