package placement

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

func (c *cache) observe(worker string, s *pb.UsageSample, now time.Time) {
	t := c.tasks[s.GetTask()]
	if t == nil || t.worker == nil || t.worker.id != worker || t.attempt != s.GetAttempt() {
		return
	}
	_ = now
	measured := vector{s.GetMillicores(), s.GetMemoryBytes(), t.size.accelerators}
	w := t.worker
	w.used = w.used.minus(t.occupied)
	t.occupied = c.demand(t, w).max(measured)
	w.used = w.used.plus(t.occupied)
	c.refresh(w)
}
