package placement

import "github.com/lentilyard/lentilyard/internal/pb"

// filter reports whether t may run on w now.
func (c *cache) filter(t *task, w *worker) bool {
	return ready(w) && hasRoom(c.demand(t, w), w)
}

func ready(w *worker) bool {
	return w.known && w.state == pb.WorkerState_WORKER_STATE_READY
}

func hasRoom(size vector, w *worker) bool { return size.fits(w.free()) }
