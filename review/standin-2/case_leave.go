package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// others is the number of the other executors: the site cuts off a share of 0.12 one way.
	others = 8
	// leaveCut is within the 6 s for which the site cuts executors off one way.
	leaveCut = 5 * time.Second
	// lingerTime is how long an executor whose leave was not confirmed runs on: some seconds.
	lingerTime = 3 * time.Second
)

// playLeave: an executor drains and leaves. Just before it reports that it leaves, what is sent to it no longer arrives, while what it sends
// does. Its report gets no confirmation, so that it ends some seconds later. Its tasks must not run elsewhere meanwhile.
func playLeave(w *world) (bool, error) {
	if err := w.start(1); err != nil {
		return false, err
	}
	j := &overlapJudge{w: w, on: map[string]map[string]int{}}
	leaving, err := w.newExecutor("i-1", "m-1", w.ip(40), 32000)
	if err != nil {
		return false, err
	}
	inbound, err := newProxy(w.ip(50), leaving.address)
	if err != nil {
		return false, err
	}
	defer inbound.close()
	leaving.announced = inbound.address()
	var outbound []*proxy // from the executor to the control VMs
	for i, v := range w.controls() {
		p, err := newProxy(w.ip(60+i), strings.TrimPrefix(v.control(), "http://"))
		if err != nil {
			return false, err
		}
		defer p.close()
		outbound = append(outbound, p)
		leaving.controls[i] = "http://" + p.address()
	}
	leaving.fixedTarget = true
	j.watch(leaving)
	leaving.begin()
	if err := w.putManifest(10*time.Second, manifest(1, route("r-a", "/sheets/", "kit-orders"))); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	id := newID()
	body := `{"spec":"lasts","phases":[{"count":4,"cpu":2000,"mem_mb":64,"est_ms":1000,"long_running":true}]}`
	got := request(client, http.MethodPost, w.intakes()[0].callers()+"/sheets/"+id, host, body)
	w.note("POST /sheets/%s %s -> %d", id, body, got.status)
	if err := await(5*time.Second, "the tasks do not run", func() bool { return leaving.count() == 4 }); err != nil {
		return false, err
	}
	for i := range others {
		other, err := w.newExecutor(fmt.Sprintf("i-%d", i+2), fmt.Sprintf("m-%d", i+2), w.ip(41+i), 32000)
		if err != nil {
			return false, err
		}
		j.watch(other)
		other.begin()
	}
	time.Sleep(4 * time.Second)
	w.note("executor i-1 drains")
	leaving.drain()
	if err := await(5*time.Second, "the drain was not confirmed", leaving.ping); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond) // drain_ms and a little longer
	if !leaving.ping() {
		return false, fmt.Errorf("the last ping was not acknowledged")
	}
	leaving.stopPings()
	if w.trouble {
		w.note("nothing that is sent to the executor i-1 arrives any more")
		inbound.cut(true, false)
		for _, p := range outbound {
			p.cut(false, true)
		}
		time.AfterFunc(leaveCut, func() {
			inbound.cut(false, false)
			for _, p := range outbound {
				p.cut(false, false)
			}
			w.note("what is sent to the executor i-1 arrives again")
		})
	}
	time.Sleep(200 * time.Millisecond)
	// The connection of the last ping is still open, so that this goes out on it.
	confirmed := request(leaving.pingClient, http.MethodDelete, leaving.controls[0]+"/v1/instances/i-1", "", "")
	w.note("executor i-1: DELETE /v1/instances/i-1 -> %d %s", confirmed.status, confirmed.body)
	if confirmed.status != http.StatusOK {
		time.Sleep(lingerTime - time.Second) // it has waited for the confirmation for a second
	}
	leaving.end("it leaves")
	time.Sleep(10 * time.Second)
	return j.judge(), nil
}

// overlapJudge judges the rule TWICE for runs of a task at the same time.
type overlapJudge struct {
	w      *world
	mu     sync.Mutex
	on     map[string]map[string]int // runs by task and executor
	broken int
}

func (j *overlapJudge) watch(e *executor) {
	e.onStart = func(e *executor, task string, attempt int, _ string) {
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.on[task] == nil {
			j.on[task] = map[string]int{}
		}
		for id, other := range j.on[task] {
			j.broken++
			j.w.note("BROKEN TWICE: run %d of %s starts on %s while run %d goes on on %s, which is up", attempt, task, e.id, other, id)
		}
		j.on[task][e.id] = attempt
	}
	e.onEnd = func(e *executor, task string, _ *run, _ string, _ int) {
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.on[task], e.id)
	}
}

func (j *overlapJudge) judge() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.w.note("%d starts of a task that ran on another executor at that time", j.broken)
	return j.broken > 0
}
