package placement

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// filter reports whether t may start on w now, given what it is expected to take.
func filter(t *task, w *worker, size vector) bool {
	return w.ready() && size.Fits(w.room()) && keptFor(t, w) && admitsProbe(t, w) && !failedHere(t, w)
}

// keptFor reports whether w is not reserved, or reserved for the tasks of t's bucket.
func keptFor(t *task, w *worker) bool {
	return w.reserved == nil || w.reserved == t.bucket
}

// admitsProbe reports whether w is in normal use, or t suits as the single probe after a quarantine. A failed probe
// costs a batch task the least.
func admitsProbe(t *task, w *worker) bool {
	if !w.health.probing {
		return true
	}
	return w.starting == 0 && t.class == pb.TaskClass_TASK_CLASS_BATCH && t.gang == ""
}

// failedHere reports whether a start of t failed on w.
func failedHere(t *task, w *worker) bool {
	return len(t.failedOn) > 0 && slices.Contains(t.failedOn, w.id)
}
