package main

import (
	"time"
)

func init() { scenarios["leave"] = leaveBehindRefusal }

const (
	// leavingExecutors is the size of the service, of which the pages let 0.065 be taken away at a time, and 0.17 be cut off.
	leavingExecutors = 16
	// cutAfterDrain is when the partition begins, counted from the confirmation that the executor drains.
	cutAfterDrain = 1500 * time.Millisecond
	// drainTime is how long the executor goes on after the confirmation until it sends DELETE: drain_ms and a little longer.
	drainTime = 2500 * time.Millisecond
	// unconfirmedTime is how long it works on without a confirmation of DELETE. The partition is over with it, after 5 s.
	unconfirmedTime = 4 * time.Second
)

// leaveBehindRefusal: an executor is emptied and taken away, and while it still serves a partition, which refuses connections, begins between all
// machines of the system and the executor. What it sends arrives, but answers do not. Its DELETE is not confirmed, so that it ends some seconds
// later.
func leaveBehindRefusal(w *world, trouble bool) bool {
	if !w.bring(leavingExecutors) {
		return false
	}
	id := newID()
	tasks := submission{Spec: `{"ms":0}`, Phases: []phase{{Count: 2 * leavingExecutors, CPU: 4000, MemMB: 1000, LongRunning: true}}}
	if w.submit(w.intakes[0], id, tasks) != 200 {
		return false
	}
	time.Sleep(4 * time.Second)
	leaving := w.busiest()
	if leaving == nil {
		return false
	}
	if !leaving.drain() {
		return false
	}
	time.Sleep(cutAfterDrain)
	if trouble {
		w.event("cut", "executor", leaving.id)
		leaving.cutRefusing()
	}
	time.Sleep(drainTime - cutAfterDrain)
	leaving.sendLeave(unconfirmedTime)
	time.Sleep(12 * time.Second)
	return w.allRun()
}

// busiest returns the executor with the most tasks, nil if none has one.
func (w *world) busiest() *executor {
	w.mu.Lock()
	defer w.mu.Unlock()
	var best *executor
	most := 0
	for _, e := range w.execs {
		e.mu.Lock()
		if len(e.running) > most {
			best, most = e, len(e.running)
		}
		e.mu.Unlock()
	}
	return best
}
