package placement

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// filter reports whether t, with the given expected size, may start on w now.
func filter(t *task, w *worker, size vector) bool {
	return w.ready() && size.Fits(w.room()) && reservationAllows(t, w) && probeAllows(t, w) && !failedOnWorker(t, w)
}

// reservationAllows reports whether w is not reserved, or is reserved for the bucket of t.
func reservationAllows(t *task, w *worker) bool {
	return w.reservedFor == nil || w.reservedFor == t.bucket
}

// probeAllows reports whether w is not being probed after a quarantine, or t may be its probe. A probe is a single
// batch task outside a gang, since a failed start does the least harm there.
func probeAllows(t *task, w *worker) bool {
	if !w.health.probing {
		return true
	}
	return w.starting == 0 && t.class == pb.TaskClass_TASK_CLASS_BATCH && t.gang == ""
}

// failedOnWorker reports whether t has failed to start on w before.
func failedOnWorker(t *task, w *worker) bool {
	return len(t.failedOn) > 0 && slices.Contains(t.failedOn, w.id)
}
