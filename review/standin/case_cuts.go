package main

import (
	"errors"
	"time"
)

func init() { cases["cuts"] = caseCuts }

// Figures of the site szikes-prod: node_cut, how "servers", share 0.12, for_s 6.0; hold_max_ms 6000.
const (
	cutExecutors = 20
	cutShare     = 2
	cutFor       = 6 * time.Second
	cutTimes     = 6
	holdMaxCuts  = 6 * time.Second
	// cutPause is how long after the task has started again the next cut comes.
	cutPause = 700 * time.Millisecond
)

// watchFor is how long the submission is watched after the last cut.
const watchFor = 15 * time.Second

// caseCuts: the only two of twenty executors with a label are cut off again and again, and run on, while a submission whose task lasts
// needs that label. No executor crashes and nobody cancels, so it must not be shown as ended.
func caseCuts(f *fleet, trouble bool) (bool, error) {
	f.holdMax = holdMaxCuts
	for i := range cutExecutors {
		kind := "a"
		if i < cutShare {
			kind = "b"
		}
		if _, err := f.addWorker(64000, 250000, kind, "r1-1"); err != nil {
			return false, err
		}
	}
	if err := f.start(3); err != nil {
		return false, err
	}
	for _, w := range f.workers {
		w.start("")
	}
	time.Sleep(4 * time.Second)
	id, err := f.submit(phase{Count: 1, CPU: 13000, MemMB: 26000, EstMs: 320, RequiredLabel: "b", LongRunning: true})
	if err != nil {
		return false, err
	}
	task := id + ".0.0.0"
	for i := 0; trouble && i < cutTimes; i++ {
		if !await(4*time.Second, func() bool { return f.runningOn(task) != nil }) {
			f.rec.log("the task does not run; cut %d comes all the same", i+1)
		}
		time.Sleep(cutPause)
		for _, w := range f.workers[:cutShare] {
			w.setCut(true)
		}
		time.Sleep(cutFor)
		for _, w := range f.workers[:cutShare] {
			w.setCut(false)
		}
		if f.state(id) == "failed" {
			f.rec.log("after %d cuts the submission is shown as failed; it is watched for %s more", i+1, watchFor)
			time.Sleep(watchFor)
			break
		}
	}
	state := f.awaitState(id, watchFor, "done", "failed", "cancelled", "410")
	failed := 0
	for _, e := range f.eventsOf(id) {
		if e.how == "failed" {
			failed++
		}
	}
	atWork := f.runningOn(task) != nil
	f.rec.log("the submission is shown as %q; its task runs: %v; runs that ended as failed: %d; nobody has cancelled it, no executor has crashed", state, atWork, failed)
	switch {
	case state == "running" && atWork:
		return true, nil
	case state == "done" || state == "failed" || state == "cancelled" || state == "410":
		return false, nil
	}
	return false, errors.New("the submission is neither at work nor ended")
}
