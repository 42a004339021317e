package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempts holds the answers to the attempts to hand a submission in.
type attempts struct{ statuses []int }

// rejected reports whether every attempt was rejected, so that the submission must never run.
func (a *attempts) rejected() bool {
	for _, status := range a.statuses {
		if status != http.StatusNotFound && status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			return false
		}
	}
	return len(a.statuses) > 0
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// startFleet starts executors on machines m-1, m-2 and so on.
func (w *world) startFleet(n, cpu int, prepare func(*executor)) ([]*executor, error) {
	var list []*executor
	for i := range n {
		e, err := w.newExecutor(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("m-%d", i+1), w.ip(40+i), cpu)
		if err != nil {
			return nil, err
		}
		e.zone = zones[i%3]
		if prepare != nil {
			prepare(e)
		}
		e.begin()
		list = append(list, e)
	}
	return list, nil
}

const (
	// rounds is how often the leader is killed.
	rounds = 7
	// requesters hand in submissions at the same time.
	requesters = 120
	// orderDelay is how long after the kill the operator removes the route.
	orderDelay = 650 * time.Millisecond
)

// playRefused: requesters hand in submissions. The leader is killed, and just after that the operator removes their route. A submission of
// which all attempts were rejected must not run.
func playRefused(w *world) (bool, error) {
	if err := w.start(2); err != nil {
		return false, err
	}
	s := &submitter{w: w, started: map[string]time.Time{}, sent: map[string]*attempts{}}
	executors, err := w.startFleet(4, 64000, func(e *executor) {
		e.quiet = true
		e.sizeOf = func(string) int { return 20 }
		e.onStart = func(_ *executor, task string, _ int, _ string) { s.recordStart(strings.SplitN(task, ".", 2)[0]) }
	})
	if err != nil {
		return false, err
	}
	dyes := route("r-b", "/dyes/", "kit-orders")
	version := 1
	if err := w.putManifest(10*time.Second, manifest(version, route("r-a", "/sheets/", "kit-orders"), dyes)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range requesters {
		running.Go(func() { s.submitAlways(i, stop) })
	}
	for range rounds {
		time.Sleep(3 * time.Second)
		leader := executors[0].leader()
		if leader == nil {
			return false, fmt.Errorf("the leader is not known")
		}
		if w.trouble {
			leader.kill()
			time.Sleep(orderDelay)
		}
		w.note("the operator removes the route /sheets/")
		version++
		confirmed := make(chan error, len(w.controls()))
		for _, v := range w.controls() {
			if v != leader { // up to eight orders may be in progress at once
				go func() { confirmed <- w.putManifestAt(10*time.Second, manifest(version, dyes), v) }()
			}
		}
		if err := <-confirmed; err != nil {
			return false, err
		}
		time.Sleep(1500 * time.Millisecond)
		if w.trouble {
			if err := leader.start(); err != nil {
				return false, err
			}
			time.Sleep(2 * time.Second)
		}
		w.note("the operator adds the route /sheets/ again")
		version++
		if err := w.putManifest(10*time.Second, manifest(version, route("r-a", "/sheets/", "kit-orders"), dyes)); err != nil {
			return false, err
		}
	}
	close(stop)
	running.Wait()
	time.Sleep(10 * time.Second)
	return s.judge(), nil
}

// submitter hands submissions in and records what became of them.
type submitter struct {
	w       *world
	mu      sync.Mutex
	started map[string]time.Time
	sent    map[string]*attempts
}

func (s *submitter) recordStart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.started[id]; !ok {
		s.started[id] = time.Now()
	}
}

// judge checks the rule REFUSED.
func (s *submitter) judge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken, rejected := 0, 0
	for id, a := range s.sent {
		if !a.rejected() {
			continue
		}
		rejected++
		if at, ok := s.started[id]; ok {
			broken++
			s.w.note("BROKEN REFUSED: the attempts to hand in %s were answered %v, and a task of it started at %.3f", id, a.statuses, at.Sub(s.w.started).Seconds())
		}
	}
	s.w.note("%d submissions sent, %d of them ran, %d rejected in every attempt, %d of these ran", len(s.sent), len(s.started), rejected, broken)
	return broken > 0
}

// submitAlways hands in one submission after the other to the route /sheets/, each until it is accepted or rejected.
func (s *submitter) submitAlways(number int, stop <-chan struct{}) {
	c := &http.Client{Timeout: 3 * time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+rand.IntN(30)) * time.Millisecond):
			s.submit(c, number)
		}
	}
}

// submit hands one submission in. Attempts that are not answered with 200 at once are written to the record.
func (s *submitter) submit(c *http.Client, number int) {
	id, a := newID(), &attempts{}
	s.mu.Lock()
	s.sent[id] = a
	s.mu.Unlock()
	for try := range 4 {
		v := s.w.intakes()[(number+try)%len(s.w.intakes())]
		sent := time.Since(s.w.started)
		got := request(c, http.MethodPost, v.callers()+"/sheets/"+id, host, `{"spec":"ms:20","phases":[{"count":1,"cpu":20,"mem_mb":1,"est_ms":20}]}`)
		s.mu.Lock()
		a.statuses = append(a.statuses, got.status)
		s.mu.Unlock()
		if got.status != http.StatusOK || try > 0 {
			s.w.note("POST /sheets/%s to %s, sent at %.3f -> %d %s", id, v.ip, sent.Seconds(), got.status, strings.TrimSpace(got.body))
		}
		if got.status == http.StatusOK {
			return
		}
		if got.status == http.StatusNotFound {
			time.Sleep(2 * time.Second) // no such queue exists
			return
		}
		time.Sleep(time.Duration(100<<try) * time.Millisecond)
	}
}
