package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["gang"] = caseGang }

// caseGang: an executor on which a member of a gang runs is down for 4.5 s. When the gang runs again, all members must carry the same
// checkpoint.
func caseGang(f *fleet, trouble bool) (bool, error) {
	if err := f.startSmallFleet(3); err != nil {
		return false, err
	}
	id, err := f.submit(phase{Count: 4, CPU: 3100, MemMB: 6200, EstMs: 8000, Gang: true, Checkpointing: true, MaxPerServer: 1, work: 8 * time.Second})
	if err != nil {
		return false, err
	}
	task := id + ".0.0.1"
	if !await(3*time.Second, func() bool { return f.runningOn(task) != nil }) {
		return false, errors.New("the gang was not started within 3 s")
	}
	time.Sleep(5 * time.Second)
	calm := time.Now()
	if trouble {
		w := f.runningOn(task)
		if w == nil {
			return false, errors.New("the gang does not run any more")
		}
		w.dark("crash")
		time.Sleep(4500 * time.Millisecond)
		w.start("")
		calm = time.Now().Add(3 * time.Second) // stable_window_ms
	}
	state := f.awaitState(id, 45*time.Second, "done", "failed")
	f.rec.log("the submission is shown as %q", state)
	alone, values := 0, map[uint32]map[string]bool{}
	for _, e := range f.eventsOf(id) {
		if e.kind == "start" {
			if values[e.attempt] == nil {
				values[e.attempt] = map[string]bool{}
			}
			values[e.attempt][e.value] = true
		}
		if e.how == "alone" && e.at.After(calm) {
			alone++
		}
	}
	mixed := 0
	for attempt, v := range values {
		if len(v) > 1 {
			mixed++
			f.rec.log("attempt %d: the members carry %d different checkpoints: %s", attempt, len(v), keys(v))
		}
	}
	f.rec.log("attempts whose members carry different checkpoints: %d; runs that ended alone later than 3 s after the executor was back: %d", mixed, alone)
	return mixed == 0 && alone == 0, nil
}

func keys(m map[string]bool) string {
	list := ""
	for k := range m {
		list += fmt.Sprintf("%q ", k)
	}
	return list
}
