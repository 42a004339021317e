package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["late-order"] = lateOrderAfterDone }

const (
	// lateExecutors is the size of the service, of which the pages let 0.17 be cut off.
	lateExecutors = 9
	// lateBy is how late the order is carried out. The pages say 2 to 12 s.
	lateBy = 6 * time.Second
	// cutTime is how long the executor is cut off.
	cutTime = 5500 * time.Millisecond
	// rebornAfter is how long after the begin of the partition the executor crashes, and awayTime how long it is away.
	rebornAfter = 100 * time.Millisecond
	awayTime    = 500 * time.Millisecond
	// usualRate is the number of usual submissions per second, of four tasks each, so that the late order is one of very many.
	usualRate = 6
)

// lateOrder is one order to start a task that gets no answer and is carried out late.
type lateOrder struct {
	submission string
	mu         sync.Mutex
	on         *executor
}

// holdsBack reports whether a call is the first order to start the task of the late order. It is carried out late.
func (w *world) holdsBack(e *executor, path string, c *call) bool {
	l := w.late
	if l == nil || path != "/v1/run-start" || !strings.HasPrefix(c.Task, l.submission+".") {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.on != nil {
		return false
	}
	l.on = e
	w.event("held-back", "task", c.Task, "attempt", c.Attempt, "on", e.id, "until_ms", c.UntilMs, "fence", c.FenceToken)
	time.AfterFunc(lateBy, func() {
		defer func() { _ = recover() }() // the executor is away
		answer := httptest.NewRecorder()
		e.carryOut(answer, nil, func(rw http.ResponseWriter, r *http.Request, c *call) { e.start(rw, r, c) }, c)
		w.event("carried-out-late", "task", c.Task, "attempt", c.Attempt, "on", e.id, "status", answer.Code, "answer", strings.TrimSpace(answer.Body.String()))
	})
	return true
}

// lateOrderAfterDone: the first order to start a task gets no answer and is carried out 6 s later. It is sent again, and the task ends as done,
// which is taken note of. Then the executor is cut off, crashes and starts again under its id.
func lateOrderAfterDone(w *world, trouble bool) bool {
	if !w.bring(lateExecutors) {
		return false
	}
	stop := make(chan bool)
	go w.usualTraffic(stop)
	time.Sleep(2 * time.Second)
	id := newID()
	if trouble {
		w.late = &lateOrder{submission: id}
	}
	if w.submit(w.intakes[0], id, submission{Spec: `{"ms":300}`, Phases: []phase{{Count: 1, CPU: 1000, MemMB: 500, EstMs: 300}}}) != 200 {
		return false
	}
	if !w.awaitNoted(id+".0.0.0", 4*time.Second) {
		w.event("error", "not-done", id)
		return false
	}
	if trouble {
		w.late.mu.Lock()
		e := w.late.on
		w.late.mu.Unlock()
		e.mu.Lock()
		e.cutUntil = time.Now().Add(cutTime)
		e.mu.Unlock()
		w.event("cut", "on", e.id, "for", cutTime)
		time.Sleep(rebornAfter)
		e.reborn(awayTime)
	}
	time.Sleep(10 * time.Second)
	w.request("GET", w.intakes[0], id, nil, 3*time.Second)
	close(stop)
	return w.allRun()
}

// usualTraffic hands submissions in until stop is closed.
func (w *world) usualTraffic(stop chan bool) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / usualRate):
		}
		go w.submit(w.intakes[n%len(w.intakes)], newID(), submission{Spec: `{"ms":500}`, Phases: []phase{{Count: 4, CPU: 1000, MemMB: 500, EstMs: 500}}})
	}
}

// awaitNoted waits until the end of a task as done has been taken note of.
func (w *world) awaitNoted(task string, within time.Duration) bool {
	for began := time.Now(); time.Since(began) < within; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		done := w.done[task]
		w.mu.Unlock()
		if done {
			return true
		}
	}
	return false
}
