package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// lease and stop bounds of the stand-in executors. The settings of the processes under test state the same values.
const (
	holdMax    = 10 * time.Second
	stopTime   = 300 * time.Millisecond
	saveEvery  = 2 * time.Second
	heartbeat  = 1100 * time.Millisecond
	maxHoldEnd = 500
)

// taskSpec is what the stand-in client puts into the spec of a submission.
type taskSpec struct {
	// Ms is the run time of a finite task; 0 means that it runs until it is stopped.
	Ms int64 `json:"ms"`
}

type run struct {
	attempt  uint32
	spec     taskSpec
	began    time.Time
	stopAt   time.Time
	resumed  time.Duration
	cpu, mem int64
}

type finished struct {
	n       uint64
	task    string
	attempt uint32
	how     string
	saved   string
}

// executor is one life of a worker.
type executor struct {
	id, addr, zone, machine string
	labels                  []string
	born                    int64
	clockBase               int64
	began                   time.Time
	world                   *world
	ln                      net.Listener
	srv                     *http.Server
	stopped                 chan struct{}

	mu             sync.Mutex
	wake           chan struct{}
	draining       bool
	dead           bool
	fence          uint64
	until          int64
	running        map[string]*run
	closed         map[string]uint32
	ends           []finished
	lastEnd        uint64
	seq            uint64
	held           bool // a hold was answered
	conns          map[net.Conn]bool
	drainConfirmed bool
	deaf           bool      // answers to what the executor sends are lost
	cutUntil       time.Time // until then nothing passes between the system and the executor
}

func newExecutor(w *world, id, addr, zone, machine string, labels []string) (*executor, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &executor{id: id, addr: ln.Addr().String(), zone: zone, machine: machine, labels: labels, born: time.Now().UnixMilli(), clockBase: rand.Int63n(9_000_000) + 1000,
		began: time.Now(), world: w, ln: ln, stopped: make(chan struct{}), wake: make(chan struct{}), running: map[string]*run{}, closed: map[string]uint32{}, conns: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.guard(e.start))
	mux.HandleFunc("POST /v1/run-stop", e.guard(e.stop))
	mux.HandleFunc("POST /v1/pace", e.guard(e.pace))
	mux.HandleFunc("POST /v1/hold", e.guard(e.hold))
	e.srv = &http.Server{Handler: mux, ConnState: e.trackConn}
	go func() { _ = e.srv.Serve(ln) }()
	go e.tick()
	go e.report()
	return e, nil
}

func (e *executor) clock() int64 { return e.clockBase + time.Since(e.began).Milliseconds() }

// crash ends the executor at once.
func (e *executor) crash() {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	e.dead = true
	for task, r := range e.running {
		e.world.event("gone", "task", task, "attempt", r.attempt, "on", e.id)
		e.world.ended(task, r.attempt, e.id, "gone")
	}
	e.running = map[string]*run{}
	e.mu.Unlock()
	close(e.stopped)
	_ = e.srv.Close()
}

type call struct {
	Task         string `json:"task"`
	Attempt      uint32 `json:"attempt"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"until_ms"`
	FenceToken   uint64 `json:"fence_token"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
	Checkpointed string `json:"checkpointed"`
	Ticket       string `json:"ticket"`
	Percent      int    `json:"percent"`
}

func (e *executor) guard(f func(http.ResponseWriter, *http.Request, *call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
			reply(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		c := &call{}
		if err := json.NewDecoder(r.Body).Decode(c); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{"clock_ms": e.clock()})
			return
		}
		if e.isCut() || e.world.holdsBack(e, r.URL.Path, c) {
			<-r.Context().Done()
			return
		}
		e.carryOut(w, r, f, c)
	}
}

// isCut reports whether a silent partition lies between the system and the executor.
func (e *executor) isCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.cutUntil)
}

// carryOut carries out a call that has arrived.
func (e *executor) carryOut(w http.ResponseWriter, r *http.Request, f func(http.ResponseWriter, *http.Request, *call), c *call) {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.FenceToken < e.fence {
		e.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "reason": "fence"})
		return
	}
	e.fence = c.FenceToken
	e.endDue(time.Now())
	e.mu.Unlock()
	f(w, r, c)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "reason": reason})
}

func (e *executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) start(w http.ResponseWriter, _ *http.Request, c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.UntilMs <= e.clock() {
		e.refuse(w, "late")
		return
	}
	e.extend(c.UntilMs)
	if r := e.running[c.Task]; r != nil && r.attempt == c.Attempt {
		reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock()})
		return
	}
	if c.Attempt <= e.closed[c.Task] || e.running[c.Task] != nil {
		e.refuse(w, "old")
		return
	}
	step := e.world.stepOf(c.Task)
	cpu, mem := step.CPU, step.MemMB
	for _, r := range e.running {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu > e.world.cpu || mem > e.world.mem {
		e.refuse(w, "room")
		return
	}
	spec := taskSpec{}
	_ = json.Unmarshal([]byte(c.Spec), &spec)
	r := &run{attempt: c.Attempt, spec: spec, began: time.Now(), cpu: step.CPU, mem: step.MemMB, resumed: parseSaved(c.Checkpointed)}
	e.running[c.Task] = r
	e.world.started(c.Task, c.Attempt, e, c)
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock()})
}

func (e *executor) stop(w http.ResponseWriter, _ *http.Request, c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed[c.Task] = max(e.closed[c.Task], c.Attempt)
	if r := e.running[c.Task]; r != nil && r.attempt <= c.Attempt && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
		e.world.event("stop", "task", c.Task, "attempt", r.attempt, "on", e.id)
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock()})
}

func (e *executor) pace(w http.ResponseWriter, _ *http.Request, _ *call) {
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock()})
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, c *call) {
	deadline := time.Now().Add(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	e.mu.Lock()
	if c.UntilMs > 0 {
		e.extend(c.UntilMs)
	}
	for len(e.ends) > 0 && e.ends[0].n <= c.LastSeen {
		e.world.noted(e.ends[0])
		e.ends = e.ends[1:]
	}
	for len(e.ends) == 0 && time.Now().Before(deadline) && !e.dead {
		wake := e.wake
		e.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Until(deadline)):
		}
		e.mu.Lock()
	}
	if e.dead {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if time.Now().Before(e.cutUntil) {
		e.mu.Unlock()
		<-r.Context().Done() // the answer does not pass
		return
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range e.running {
		percent := 0.0
		switch {
		case r.spec.Ms == 0:
			percent = min(100, float64(time.Since(r.began).Milliseconds())/2)
		default:
			percent = min(99.9, 100*float64((time.Since(r.began)+r.resumed).Milliseconds())/float64(r.spec.Ms))
		}
		running = append(running, []any{task, r.attempt, r.saved(), percent, float64(r.cpu)})
	}
	for i, f := range e.ends {
		if i == maxHoldEnd {
			break
		}
		ended = append(ended, []any{f.n, f.task, f.attempt, f.how, f.saved})
	}
	e.held = true
	body := map[string]any{"clock_ms": e.clock(), "born": e.born, "running": running, "finished": ended}
	e.mu.Unlock()
	reply(w, http.StatusOK, body)
}

// saved names the progress of a run; the prefix makes it recognisable.
func (r *run) saved() string {
	if r.spec.Ms == 0 {
		return ""
	}
	if done := (r.resumed + time.Since(r.began)).Truncate(saveEvery); done > 0 {
		return fmt.Sprintf("s%d", done.Milliseconds())
	}
	return ""
}

func parseSaved(text string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(text, "s%d", &ms); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// end lists the end of a run. The caller holds e.mu.
func (e *executor) end(task string, r *run, how string) {
	delete(e.running, task)
	e.closed[task] = max(e.closed[task], r.attempt)
	e.lastEnd++
	e.ends = append(e.ends, finished{e.lastEnd, task, r.attempt, how, r.saved()})
	e.world.event("end", "task", task, "attempt", r.attempt, "on", e.id, "how", how)
	e.world.ended(task, r.attempt, e.id, how)
	close(e.wake)
	e.wake = make(chan struct{})
}

func (e *executor) endDue(now time.Time) {
	if e.dead {
		return
	}
	lapsed := e.until > 0 && e.clock() >= e.until
	if lapsed {
		e.until = 0
	}
	var tasks []string
	for task := range e.running {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		r := e.running[task]
		if r == nil {
			continue
		}
		switch {
		case lapsed:
			e.end(task, r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			e.end(task, r, "stopped")
		case r.spec.Ms == 0:
		case now.Sub(r.began)+r.resumed >= time.Duration(r.spec.Ms)*time.Millisecond:
			e.end(task, r, "done")
		}
	}
}

func (e *executor) tick() {
	for {
		select {
		case <-e.stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		e.mu.Lock()
		e.endDue(time.Now())
		e.mu.Unlock()
	}
}

// report sends the executor's reports.
func (e *executor) report() {
	client := &http.Client{Timeout: time.Second}
	next, addr := 0, ""
	for {
		e.mu.Lock()
		e.seq++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body := map[string]any{"service": e.world.service, "addr": e.addr, "zone": e.zone, "machine": e.machine, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": e.world.cpu, "mem_mb": e.world.mem, "gpu": 0}, "labels": e.labels, "clock_ms": e.clock(), "seq": e.seq, "born": e.born}
		e.mu.Unlock()
		for range 2 * len(e.world.controls) {
			if e.isCut() {
				break
			}
			to := addr
			if to == "" {
				to = e.world.controls[next%len(e.world.controls)].api
				next++
			}
			answer := struct {
				HeartbeatAddr string `json:"heartbeat_addr"`
			}{}
			status := send(client, "PUT", "http://"+to+"/v1/instances/"+e.id, nil, body, &answer)
			e.mu.Lock()
			if e.deaf {
				status = 0
			}
			e.mu.Unlock()
			if status/100 == 2 {
				e.mu.Lock()
				e.drainConfirmed = e.drainConfirmed || state == "draining"
				e.mu.Unlock()
				addr = answer.HeartbeatAddr
				break
			}
			addr = ""
			select {
			case <-e.stopped:
				return
			default:
			}
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// taskParts splits a task's name into submission, occurrence, step and index.
func taskParts(task string) (id string, occurrence, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0, 0, 0
	}
	_, _ = fmt.Sscan(parts[1], &occurrence)
	_, _ = fmt.Sscan(parts[2], &step)
	_, _ = fmt.Sscan(parts[3], &index)
	return parts[0], occurrence, step, index
}

// trackConn keeps the connections that are open.
func (e *executor) trackConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, conn)
		return
	}
	e.conns[conn] = true
}

// cutRefusing begins a one-way partition that refuses: no machine of the system can open a connection to the executor, those that are open are
// reset, and answers to what it sends are lost. What it sends arrives.
func (e *executor) cutRefusing() {
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = true
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// drain makes the executor report that it drains, and returns once that is confirmed.
func (e *executor) drain() bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.world.event("draining", "on", e.id)
	for range 500 {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		confirmed := e.drainConfirmed
		e.mu.Unlock()
		if confirmed {
			e.world.event("draining-confirmed", "on", e.id)
			return true
		}
	}
	return false
}

// sendLeave sends DELETE until it is confirmed, and ends then or, without a confirmation, after the given time.
func (e *executor) sendLeave(unconfirmed time.Duration) {
	client := &http.Client{Timeout: time.Second}
	began := time.Now()
	for i := 0; time.Since(began) < unconfirmed; i++ {
		to := e.world.controls[i%len(e.world.controls)]
		status := send(client, "DELETE", "http://"+to.api+"/v1/instances/"+e.id, nil, map[string]any{"born": e.born}, nil)
		e.mu.Lock()
		deaf := e.deaf
		e.mu.Unlock()
		e.world.event("leave-sent", "on", e.id, "to", to.ip, "status", status, "answer-lost", deaf)
		if status/100 == 2 && !deaf {
			break
		}
		time.Sleep(time.Second)
	}
	e.world.event("left", "on", e.id)
	e.crash()
}

// reborn ends the executor behind a partition and starts it again under its id and address. It knows nothing of before.
func (e *executor) reborn(away time.Duration) {
	e.mu.Lock()
	for task, r := range e.running {
		e.world.event("gone", "task", task, "attempt", r.attempt, "on", e.id)
		e.world.ended(task, r.attempt, e.id, "gone")
	}
	e.dead = true
	e.mu.Unlock()
	e.world.event("crashed", "on", e.id)
	time.Sleep(away)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead, e.born, e.began, e.clockBase = false, time.Now().UnixMilli(), time.Now(), rand.Int63n(1000)+1
	e.fence, e.until, e.seq, e.lastEnd, e.ends = 0, 0, 0, 0, nil
	e.running, e.closed = map[string]*run{}, map[string]uint32{}
	e.world.event("reborn", "on", e.id, "born", e.born)
}
