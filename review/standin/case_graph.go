package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["graph"] = caseGraph }

const (
	// graphSteps is the number of steps of the submission, of one task of 100 ms each.
	graphSteps = 40
	// usualLimit is far more than a usual submission takes on idle executors.
	usualLimit = 30 * time.Second
)

// caseGraph: a submission comes whose steps each name all earlier steps as those that must be done first. It has to run, and what was
// accepted has to get an answer.
func caseGraph(f *fleet, trouble bool) (bool, error) {
	if err := f.startSmallFleet(3); err != nil {
		return false, err
	}
	usual := phase{Count: 2, CPU: 3100, MemMB: 6200, EstMs: 1000, work: time.Second}
	before, err := f.submit(usual)
	if err != nil {
		return false, err
	}
	if state := f.awaitState(before, usualLimit, "done", "failed"); state != "done" {
		return false, errors.New("a usual submission before was not done")
	}
	var steps []phase
	for i := range graphSteps {
		p := phase{Count: 1, CPU: 500, MemMB: 256, EstMs: 100, work: 100 * time.Millisecond}
		for earlier := range i {
			if trouble || earlier == i-1 {
				p.After = append(p.After, earlier)
			}
		}
		steps = append(steps, p)
	}
	f.rec.log("a submission of %d steps comes; each names all earlier steps in after: %v (else only the one before)", graphSteps, trouble)
	id, err := f.submit(steps...)
	if err != nil {
		return false, err
	}
	after, err := f.submit(usual)
	if err != nil {
		f.rec.log("a usual submission after it: %v", err)
	}
	state := f.awaitState(id, usualLimit, "done", "failed")
	usualState := ""
	if after != "" {
		usualState = f.awaitState(after, usualLimit/2, "done", "failed")
	}
	begun := 0
	for _, e := range f.eventsOf(id) {
		if e.kind == "start" {
			begun++
		}
	}
	earlier := f.state(before)
	for i := range controls {
		status, _, err := f.call(http.MethodGet, "http://"+f.controlAddr(i)+"/v1/config", "", nil, time.Second)
		f.rec.log("operator: GET /v1/config at control %d: status %d, error %v", i+1, status, err)
	}
	f.rec.log("the submission of %d steps: %q, %d of its tasks were started; the usual one that was done before: %q; the usual one that came after: %q (accepted: %v)",
		graphSteps, state, begun, earlier, usualState, after != "")
	noAnswer := state == "" || earlier == ""
	return !noAnswer && begun > 0 && state == "done", nil
}
