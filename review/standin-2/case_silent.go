package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// pool is the number of executors; losses of them are lost for good, which is below the share of 0.14 of the site.
	pool   = 30
	losses = 4
	// mostAway is after how long a task that lasts must run again: LOST holds from 6 s after its last run, for 3 s.
	mostAway = 9 * time.Second
	// watched is for how long the case waits for it.
	watched = 35 * time.Second
)

// playSilent: the executor of a task that lasts is lost for good right after the start, silently, four times in a row. The other 26 executors
// are idle. The task must run again.
func playSilent(w *world) (bool, error) {
	if err := w.start(1); err != nil {
		return false, err
	}
	s := &silentPlay{w: w, lost: make(chan time.Time, losses), proxies: map[string]*proxy{}}
	for i := range pool {
		e, err := w.newExecutor(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("m-%d", i+1), w.ip(40+i), 32000)
		if err != nil {
			return false, err
		}
		inbound, err := newProxy(w.ip(80+i), e.address)
		if err != nil {
			return false, err
		}
		defer inbound.close()
		e.announced, e.zone, e.onStart = inbound.address(), zones[i%3], s.started
		s.proxies[e.id] = inbound
		e.begin()
	}
	if err := w.putManifest(10*time.Second, manifest(1, route("r-a", "/sheets/", "kit-orders"))); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	id := newID()
	body := `{"spec":"lasts","phases":[{"count":1,"cpu":6400,"mem_mb":64,"est_ms":1000,"long_running":true}]}`
	got := request(client, http.MethodPost, w.intakes()[0].callers()+"/sheets/"+id, host, body)
	w.note("POST /sheets/%s %s -> %d", id, body, got.status)
	if !w.trouble {
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		w.note("the task was started %d times", s.starts)
		return s.starts != 1, nil
	}
	var last time.Time
	for range losses {
		select {
		case last = <-s.lost:
		case <-time.After(20 * time.Second):
			return false, fmt.Errorf("the task was not started after a loss")
		}
	}
	for time.Since(last) < watched {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		again := s.again
		s.mu.Unlock()
		if !again.IsZero() {
			break
		}
	}
	state := get(w.intakes()[0].callers()+"/sheets/"+id, host)
	s.mu.Lock()
	defer s.mu.Unlock()
	away := time.Since(last)
	if !s.again.IsZero() {
		away = s.again.Sub(last)
	}
	w.note("GET /sheets/%s -> %d %s; after the last loss the task was away for %.1f s, started again: %v", id, state.status, strings.TrimSpace(state.body), away.Seconds(), !s.again.IsZero())
	broken := away > mostAway
	if broken {
		w.note("BROKEN LOST: nothing of the submission runs for %.1f s with %d idle executors and no disruption", away.Seconds(), pool-losses)
	}
	return broken, nil
}

// silentPlay loses the executor that starts the task, as often as losses.
type silentPlay struct {
	w       *world
	proxies map[string]*proxy
	lost    chan time.Time

	mu     sync.Mutex
	starts int
	again  time.Time // when the task started after the last loss
}

func (s *silentPlay) started(e *executor, _ string, _ int, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	if !s.w.trouble {
		return
	}
	if s.starts > losses {
		s.again = time.Now()
		return
	}
	time.AfterFunc(20*time.Millisecond, func() {
		s.proxies[e.id].cut(true, true) // nothing answers there any more
		e.end("lost for good")
		s.lost <- time.Now()
	})
}
