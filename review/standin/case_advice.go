package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["advice"] = caseAdvice }

// Figures of a queue's advice.
const (
	adviceDecide = 50 * time.Millisecond
	adviceEach   = 2 * time.Millisecond
	adviceValid  = 3 * time.Second
)

const advicePrefix = "/zuka77/"

// adviceFleet is the number of executors of hanbit-yard.
const adviceFleet = 66

// startAdvice starts the policy service. It admits every executor that it knows and issues a ticket for it.
func (f *fleet) startAdvice() error {
	f.adviceAddr = fmt.Sprintf("%s:%d", f.ip(4, 2), f.port+portCloud)
	listener, err := net.Listen("tcp", f.adviceAddr)
	if err != nil {
		return err
	}
	turn := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(rw http.ResponseWriter, r *http.Request) {
		var request struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Workers) > 100 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		turn <- struct{}{}
		time.Sleep(adviceDecide + time.Duration(len(request.Workers))*adviceEach)
		<-turn
		admitted := [][2]string{}
		for _, id := range request.Workers {
			admitted = append(admitted, [2]string{id, f.issueTicket(request.Step, id)})
		}
		f.rec.log("policy service: asked about step %s and %d executors, admits %d", request.Step, len(request.Workers), len(admitted))
		writeJSON(rw, http.StatusOK, map[string]any{"admitted": admitted, "valid_ms": adviceValid.Milliseconds()})
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return nil
}

func (f *fleet) issueTicket(step, id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ticket := newID()
	f.tickets[step+" "+id+" "+ticket] = time.Now().Add(adviceValid)
	return ticket
}

// ticketValid reports whether an executor may start a task of a step with a ticket. Steps of other queues need none.
func (f *fleet) ticketValid(task, id, ticket string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.advised[strings.Split(task, ".")[0]] {
		return true
	}
	until, ok := f.tickets[task[:strings.LastIndex(task, ".")]+" "+id+" "+ticket]
	return ok && time.Now().Before(until)
}

// caseAdvice: a large submission comes to a queue with advice, a gang of 32 tasks, one to an executor. All 66 executors are idle and
// admitted.
func caseAdvice(f *fleet, trouble bool) (bool, error) {
	if err := f.startAdvice(); err != nil {
		return false, err
	}
	for i := range adviceFleet {
		if _, err := f.addWorker(32000, 128000, "a", fmt.Sprintf("r1-%d", i/11)); err != nil {
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
	count := 24
	if trouble {
		count = 32
	}
	f.rec.log("a gang of %d tasks comes, one to an executor; %d executors are idle", count, adviceFleet)
	id, err := f.submitTo(advicePrefix, phase{Count: count, CPU: 3100, MemMB: 6200, EstMs: 3000, Gang: true, MaxPerServer: 1, work: 3 * time.Second})
	if err != nil {
		return false, err
	}
	accepted := time.Now()
	const limit = 40 * time.Second
	var state string
	for time.Since(accepted) < limit && state != "done" && state != "failed" {
		state = f.stateAt(advicePrefix, id)
		time.Sleep(500 * time.Millisecond)
	}
	starts := 0
	for _, e := range f.eventsOf(id) {
		if e.kind == "start" {
			starts++
		}
	}
	f.rec.log("%.1f s after it was accepted the submission is shown as %q; %d tasks of it were started", time.Since(accepted).Seconds(), state, starts)
	switch {
	case state == "done":
		return true, nil
	case starts == 0 && (state == "queued" || state == "running"):
		return false, nil // nothing of it has run for far more than 3 s, with room for it many times over
	}
	return false, errors.New("the submission has neither ended nor waited")
}
