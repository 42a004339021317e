package sim

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// UrgentConditions returns conditions with more batch work than the domain can run and a stream of urgent tasks.
func UrgentConditions(seed uint64) Conditions {
	c := DefaultConditions(seed)
	c.Load = 1.2
	c.UrgentRate, c.UrgentCores = 3, 2*batchCores
	c.Warmup, c.Duration = time.Minute, 3*time.Minute
	return c
}

// Oldest returns the time since the submission of the oldest queued task of the given class, or 0.
func (w *World) Oldest(class pb.TaskClass) time.Duration {
	oldest := time.Duration(0)
	for _, t := range w.Tasks {
		if t.GetState() == pb.TaskState_TASK_STATE_QUEUED && t.GetSpec().GetClass() == class {
			oldest = max(oldest, w.Now.Sub(time.UnixMilli(t.GetSubmittedUnixMs())))
		}
	}
	return oldest
}
