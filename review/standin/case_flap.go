package main

import (
	"errors"
	"time"
)

func init() { cases["flap"] = caseFlap }

// Figures of srv_flap in grown/hanbit-yard-grown.toml: a tenth of the executors, a period of 1.4 s, for 6.5 s.
const (
	flapExecutors = 20
	flapShare     = 2
	flapPeriod    = 1400 * time.Millisecond
	flapFor       = 6500 * time.Millisecond
)

// caseFlap: two of twenty executors, the only ones with a label, go down and up by turns while a submission whose task lasts needs that
// label. Nobody cancels it, so it must not be shown as ended.
func caseFlap(f *fleet, trouble bool) (bool, error) {
	for i := range flapExecutors {
		kind := "a"
		if i < flapShare {
			kind = "b"
		}
		if _, err := f.addWorker(32000, 128000, kind, "r1-1"); err != nil {
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
	id, err := f.submit(phase{Count: 1, CPU: 6400, MemMB: 13000, EstMs: 320, RequiredLabel: "b", LongRunning: true})
	if err != nil {
		return false, err
	}
	task := id + ".0.0.0"
	if !await(3*time.Second, func() bool { return f.runningOn(task) != nil }) {
		return false, errors.New("the task was not started within 3 s")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.rec.log("the two executors with the label b go down and up, period %s, for %s", flapPeriod, flapFor)
		end := time.Now().Add(flapFor)
		for time.Now().Before(end) {
			for _, w := range f.workers[:flapShare] {
				w.dark("flap")
			}
			time.Sleep(flapPeriod / 2)
			for _, w := range f.workers[:flapShare] {
				w.start("")
			}
			time.Sleep(flapPeriod / 2)
		}
		f.rec.log("the executors stay up from now on")
	}
	state := f.awaitState(id, watchFor, "done", "failed", "cancelled", "410")
	failed := 0
	for _, e := range f.eventsOf(id) {
		if e.how == "failed" {
			failed++
		}
	}
	atWork := f.runningOn(task) != nil
	f.rec.log("the submission is shown as %q; its task runs: %v; runs that ended as failed: %d; nobody has cancelled it", state, atWork, failed)
	switch {
	case state == "running" && atWork:
		return true, nil
	case state == "done" || state == "failed" || state == "cancelled" || state == "410":
		return false, nil
	}
	return false, errors.New("the submission is neither at work nor ended")
}

// watchFor is how long the submission is watched after the executors have stopped to flap.
const watchFor = 20 * time.Second
