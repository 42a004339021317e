package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// fillers is the number of tasks of the step that fills, maxUnavailable its limit.
	fillers        = 4
	maxUnavailable = 1
	tailLimitMs    = 10
)

// playAvail: a step of four tasks that last and fill, of which one may be unavailable, runs beside a service. Then its tasks begin to disturb the
// service. The orders of the system must not take away more than one of them at a time.
func playAvail(w *world) (bool, error) {
	if err := w.start(1); err != nil {
		return false, err
	}
	a := &availability{w: w, away: map[string]bool{}}
	executors, err := w.startFleet(2, 32000, func(e *executor) {
		e.sizeOf = func(spec string) int { // what fills is not counted against the capacity
			if spec == "web" {
				return 6400
			}
			return 0
		}
		e.saves = true
		e.onStart, e.figure, e.onStop = a.started, a.reading, a.toldToStop
	})
	if err != nil {
		return false, err
	}
	if err := w.putManifest(10*time.Second, manifest(1, route("r-a", "/sheets/", "kit-orders")), nil); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	a.fill, a.web = newID(), newID()
	post := func(id, body string) error {
		got := request(client, http.MethodPost, w.intakes()[0].callers()+"/sheets/"+id, host, body)
		w.note("POST /sheets/%s %s -> %d", id, body, got.status)
		if got.status != http.StatusOK {
			return fmt.Errorf("submission refused: %d %s", got.status, got.body)
		}
		return nil
	}
	err = post(a.fill, fmt.Sprintf(`{"spec":"lasts","phases":[{"count":%d,"cpu":2000,"mem_mb":64,"est_ms":1000,"long_running":true,"fills":true,"checkpointing":true,"max_unavailable":%d,"image":"filler"}]}`,
		fillers, maxUnavailable))
	if err != nil {
		return false, err
	}
	atWork := func(id string, n int) error {
		return await(20*time.Second, "the tasks of "+id+" do not run", func() bool {
			count := 0
			for _, e := range executors {
				e.mu.Lock()
				for task, r := range e.running {
					if strings.HasPrefix(task, id) && r.progress() == 100 {
						count++
					}
				}
				e.mu.Unlock()
			}
			return count == n
		})
	}
	if err := atWork(a.fill, fillers); err != nil {
		return false, err
	}
	if err := post(a.web, `{"spec":"web","phases":[{"count":2,"cpu":6400,"mem_mb":64,"est_ms":1000,"long_running":true,"tail_latency_ms":10,"image":"web"}]}`); err != nil {
		return false, err
	}
	if err := atWork(a.web, 2); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.note("the tasks that fill disturb the service from now on")
		a.mu.Lock()
		a.disturbs = true
		a.mu.Unlock()
	}
	time.Sleep(30 * time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	w.note("%d orders to stop tasks at work, %d of them while %d or more others were away", a.orders, a.broken, maxUnavailable)
	return a.broken > 0, nil
}

// availability judges the rule AVAIL for the step that fills.
type availability struct {
	w              *world
	mu             sync.Mutex
	fill, web      string // ids of the two submissions
	disturbs       bool
	away           map[string]bool // tasks that an order has taken away
	orders, broken int
}

// started notes that a run starts. Its task is away until the run is at work.
func (a *availability) started(e *executor, task string, attempt int, _ string) {
	time.AfterFunc(startTime, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if strings.HasPrefix(task, a.fill) && a.away[task] {
			delete(a.away, task)
			a.w.note("%s is at work again, run %d on %s", task, attempt, e.id)
		}
	})
}

// toldToStop judges an order that ends a run.
func (a *availability) toldToStop(e *executor, task string, r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fill == "" || !strings.HasPrefix(task, a.fill) || r.progress() < 100 {
		return
	}
	a.orders++
	others := len(a.away)
	if others >= maxUnavailable {
		a.broken++
		a.w.note("BROKEN AVAIL: run %d of %s on %s is at work and told to stop while %d others of its step are away", r.attempt, task, e.id, others)
	}
	a.away[task] = true
}

// reading returns the fifth entry of a row of running: the tail of a service in ms, the processor time of a task that fills. The caller
// holds e.mu.
func (a *availability) reading(e *executor, task string, r *run) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if strings.HasPrefix(task, a.fill) {
		return float64(2000 * r.percent / 100)
	}
	tail := 4.0
	for other, f := range e.running {
		if a.disturbs && strings.HasPrefix(other, a.fill) {
			tail += 8 * float64(f.percent) / 100
		}
	}
	return float64(int(tail))
}
