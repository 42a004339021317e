package main

import (
	"time"
)

func init() { scenarios["first-loss"] = firstLoss }

const (
	// lossTime is how long the operator sends the first manifest after the loss.
	lossTime = 45 * time.Second
	// startSpread is the most by which the pages let the machines start apart.
	startSpread = 280 * time.Millisecond
	// powerLossAfter is how long after its start the last machine loses power.
	powerLossAfter = 15 * time.Millisecond
	// successorAfter is when an empty machine takes its place, at another address.
	successorAfter = time.Second
)

// firstLoss starts the system for the first time. One of its three control VMs, the last to start, is lost for good at once, and an empty one
// takes its place at another address. Only one machine with a disk is ever lost.
func firstLoss(w *world, trouble bool) bool {
	successor := w.controls[3]
	w.controls = w.controls[:3]
	for _, p := range w.controls {
		if w.writeSettings(p, true) != nil {
			return false
		}
	}
	lost := w.controls[2]
	if w.start(w.controls[0]) != nil || w.start(w.controls[1]) != nil {
		return false
	}
	time.Sleep(startSpread)
	if w.start(lost) != nil {
		return false
	}
	if trouble {
		time.Sleep(powerLossAfter)
		lost.kill()
		w.event("lost", "vm", lost.ip)
		time.Sleep(successorAfter)
		if w.writeSettings(successor, false) != nil || w.start(successor) != nil {
			return false
		}
		w.event("successor", "vm", successor.ip)
		w.controls[2] = successor
	}
	accepted := w.putManifest(w.manifest(1), lossTime)
	if !w.allRun() {
		return false
	}
	if !accepted {
		w.breaks("Acks", "no control VM has accepted the first manifest %.0f s after the loss of one", lossTime.Seconds())
	}
	return true
}
