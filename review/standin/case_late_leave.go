package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["late-leave"] = caseLateLeave }

const smallFleet = 10

// startSmallFleet starts the system with smallFleet executors of one kind.
func (f *fleet) startSmallFleet(attempts int) error {
	for range smallFleet {
		if _, err := f.addWorker(32000, 128000, "a", "r1-1"); err != nil {
			return err
		}
	}
	if err := f.start(attempts); err != nil {
		return err
	}
	for _, w := range f.workers {
		w.start("")
	}
	time.Sleep(4 * time.Second)
	return nil
}

// overlap returns for how long two runs of a task went on at the same time on executors that were up.
func (f *fleet) overlap(task string) time.Duration {
	type span struct{ from, to time.Time }
	var spans []span
	open := map[string]time.Time{}
	f.mu.Lock()
	for _, e := range f.events {
		if e.task != task {
			continue
		}
		if e.kind == "start" {
			open[e.life] = e.at
			continue
		}
		if from, ok := open[e.life]; ok {
			spans = append(spans, span{from, e.at})
			delete(open, e.life)
		}
	}
	f.mu.Unlock()
	for _, from := range open {
		spans = append(spans, span{from, time.Now()})
	}
	longest := time.Duration(0)
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			from, to := a.from, a.to
			if b.from.After(from) {
				from = b.from
			}
			if b.to.Before(to) {
				to = b.to
			}
			longest = max(longest, to.Sub(from))
		}
	}
	return longest
}

// reportTwice records the longest overlap of two runs of a task and returns whether there was none.
func (f *fleet) reportTwice(task string) bool {
	both := f.overlap(task)
	f.rec.log("two runs of %s went on at the same time, both on executors that were up, for %s", task, max(0, both).Round(time.Millisecond))
	return both <= 0
}

// heldUp is how long the partition lasts: node_cut, how "servers one_way", for_s 6.0 in the day trouble-3 of hanbit-yard.
const heldUp = 6 * time.Second

// caseLateLeave: an executor drains and leaves, but a partition holds up its DELETE. It starts again under its id and gets work.
// Then the partition ends and the DELETE arrives.
func caseLateLeave(f *fleet, trouble bool) (bool, error) {
	if err := f.startSmallFleet(3); err != nil {
		return false, err
	}
	w := f.workers[0]
	l := w.current()
	w.mu.Lock()
	l.draining = true
	w.mu.Unlock()
	if !await(5*time.Second, func() bool { return !l.drainAcked.IsZero() }) {
		return false, errors.New("the drain was not acknowledged")
	}
	time.Sleep(drainTime + time.Second)
	// The reports and the DELETE of an executor go to the address that the last answer named.
	link, err := f.newHeldLink(w.lastAddr())
	if err != nil {
		return false, err
	}
	if trouble {
		f.rec.log("a partition between executor %s and control %s begins", w.name, link.to)
		link.cut()
		time.AfterFunc(heldUp, func() {
			f.rec.log("the partition is over; what was sent during it arrives")
			link.heal()
		})
	}
	cutAt := time.Now()
	f.rec.log("executor %s (%s): sends DELETE to control %s", w.name, l.id, link.to)
	status, _, err := f.call(http.MethodDelete, "http://"+link.addr+"/v1/instances/"+l.id, "", nil, time.Second)
	f.rec.log("executor %s (%s): DELETE: status %d, error %v", w.name, l.id, status, err)
	time.Sleep(time.Until(cutAt.Add(2 * time.Second)))
	w.dark("it has left")
	time.Sleep(2 * time.Second) // reuse_after_s
	w.start(l.id)
	time.Sleep(time.Second)
	// Two tasks for each executor, so that the one that is back gets some; each executor has room for a third.
	id, err := f.submit(phase{Count: 2 * smallFleet, CPU: 10000, MemMB: 6200, EstMs: 8000, MaxPerServer: 3, work: 8 * time.Second})
	if err != nil {
		return false, err
	}
	task := ""
	if !await(3*time.Second, func() bool { task = w.runningTask(); return task != "" }) {
		return false, errors.New("the executor that is back got no task within 3 s")
	}
	time.Sleep(time.Until(cutAt.Add(heldUp + 500*time.Millisecond)))
	state := f.awaitState(id, 40*time.Second, "done", "failed")
	f.rec.log("the submission is shown as %q", state)
	return f.reportTwice(task), nil
}

// runningTask returns a task that runs on the worker, or an empty string.
func (w *worker) runningTask() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return ""
	}
	for task := range w.life.running {
		return task
	}
	return ""
}
