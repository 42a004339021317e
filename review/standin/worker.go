package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a machine on which one incarnation of an executor runs after the other, always at the same address.
type worker struct {
	f      *fleet
	name   string // of the machine
	index  int
	addr   string
	labels []string
	cpu    int
	memMB  int
	server *http.Server

	mu        sync.Mutex
	reportsTo string // address of the control VM to which reports go
	cut       bool
	life      *life // nil while the executor is down
	gen       int   // number of incarnations and of ends so far
}

// life is one incarnation of an executor.
type life struct {
	id       string
	gen      int
	born     time.Time
	seq      int
	draining bool
	fence    uint64
	lease    int64 // end of the lease on the executor's clock, 0 if there is none
	running  map[string]*taskRun
	closed   map[string]uint32
	ends     []taskEnd
	lastEnd  int
	changed  chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	// drainAcked is when a report that says draining was acknowledged.
	drainAcked time.Time
}

type taskRun struct {
	task     string
	attempt  uint32
	phase    *phase
	began    time.Time // of its work; zero while a gang waits
	arrived  time.Time
	resumed  time.Duration
	value    string
	stopping bool
	gang     *gangRun
}

type taskEnd struct {
	number  int
	task    string
	attempt uint32
	how     string
	saved   string
}

type connGen struct{}

// addWorker adds a machine. Its executor is started by start.
func (f *fleet) addWorker(cpu, memMB int, labels ...string) (*worker, error) {
	i := len(f.workers) + 1
	w := &worker{f: f, name: fmt.Sprintf("m-%02d", i), index: i, addr: fmt.Sprintf("%s:%d", f.ip(3, i), f.port+portWorker), labels: labels, cpu: cpu, memMB: memMB}
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	for path, handle := range map[string]func(*life, *call) (int, map[string]any){
		"/v1/run-start": w.handleStart, "/v1/run-stop": w.handleStop, "/v1/pace": w.handlePace} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, handle) })
	}
	mux.HandleFunc("POST /v1/hold", w.serveHold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		w.mu.Lock()
		defer w.mu.Unlock()
		return context.WithValue(ctx, connGen{}, w.gen)
	}}
	go func() { _ = w.server.Serve(listener) }()
	f.workers = append(f.workers, w)
	return w, nil
}

// start starts an incarnation under the id, or under a new one if id is empty. Its first report goes out at once.
func (w *worker) start(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != nil {
		return
	}
	w.gen++
	if id == "" {
		id = "i-" + newID()[:8]
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.life = &life{id: id, gen: w.gen, born: time.Now(), running: map[string]*taskRun{}, closed: map[string]uint32{}, changed: make(chan struct{}), ctx: ctx, cancel: cancel}
	w.f.rec.log("executor %s starts as %s, born %d", w.name, id, w.life.born.UnixMilli())
	go w.report(w.life)
	go w.work(w.life)
}

// dark ends the incarnation without a word: its channels go silent, and what runs there is gone. An empty reason is not recorded.
func (w *worker) dark(why string) {
	w.mu.Lock()
	l := w.life
	if l == nil {
		w.mu.Unlock()
		return
	}
	w.life = nil
	w.gen++
	l.cancel()
	var gone []*taskRun
	for _, r := range l.running {
		gone = append(gone, r)
	}
	l.running = map[string]*taskRun{}
	w.mu.Unlock()
	if why == "" {
		return // the case is over
	}
	w.f.rec.log("executor %s (%s) is down: %s", w.name, l.id, why)
	for _, r := range gone {
		w.f.addEvent(event{kind: "end", worker: w, life: l.id, task: r.task, attempt: r.attempt, how: "gone with its executor"})
		r.gang.memberEnded(r, "gone")
	}
}

// setCut cuts the executor off from the system, silently and both ways, or ends that. It runs on meanwhile.
func (w *worker) setCut(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = on
	if !on && w.life != nil {
		w.gen++ // channels that hung are not used again
		w.life.gen = w.gen
	}
	w.f.rec.log("executor %s: cut off from the system: %v", w.name, on)
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

func (w *worker) current() *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

func (w *worker) runs(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life != nil && w.life.running[task] != nil
}

func (l *life) clock() int64 { return 1 + time.Since(l.born).Milliseconds() }

// heartbeatBody is a report of the executor about itself.
func (w *worker) heartbeatBody(l *life) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.seq++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	body := map[string]any{"service": service, "addr": w.addr, "zone": zones[w.index%len(zones)], "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": w.labels, "clock_ms": l.clock(), "seq": l.seq, "born": l.born.UnixMilli(), "machine": w.name}
	if l.draining {
		body["remaining_ms"] = drainTime.Milliseconds()
	}
	return body
}

// report sends reports until the incarnation ends: to the address that the last answer named, and to the next control VM if it fails.
func (w *worker) report(l *life) {
	address := ""
	for l.ctx.Err() == nil {
		address = w.sendReport(l, address)
		select {
		case <-l.ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// lastAddr returns the address of the control VM to which the executor sends its reports.
func (w *worker) lastAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportsTo
}

func (w *worker) sendReport(l *life, address string) string {
	list := []string{}
	if address != "" {
		list = append(list, address)
	}
	for i := range controls {
		list = append(list, w.f.controlAddr((w.index+i)%controls))
	}
	for _, to := range list {
		if w.isCut() {
			return ""
		}
		body := w.heartbeatBody(l)
		status, answer, err := w.f.call(http.MethodPut, "http://"+to+"/v1/instances/"+l.id, "", body, time.Second)
		if err != nil || status != http.StatusOK || l.ctx.Err() != nil {
			continue
		}
		if body["state"] == "draining" && l.drainAcked.IsZero() {
			l.drainAcked = time.Now()
			w.f.rec.log("executor %s (%s): %s acknowledges that it is draining", w.name, l.id, to)
		}
		var next struct {
			Addr string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal(answer, &next)
		w.mu.Lock()
		w.reportsTo = next.Addr
		w.mu.Unlock()
		return next.Addr
	}
	return ""
}

// work ends the tasks that are due.
func (w *worker) work(l *life) {
	for l.ctx.Err() == nil {
		w.mu.Lock()
		var due []func()
		if w.life == l {
			due = w.dueEnds(l)
		}
		w.mu.Unlock()
		for _, f := range due {
			f()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *worker) dueEnds(l *life) []func() {
	var due []func()
	lapsed := l.lease > 0 && l.clock() >= l.lease
	for _, r := range l.running {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case r.gang != nil && r.gang.brokenFor(r):
			how = "broken"
		case r.gang != nil && !r.gang.complete(r) && time.Since(r.arrived) > gangWait:
			how = "alone"
		case r.phase.LongRunning:
		case r.done() >= r.phase.work:
			how = "done"
		}
		if how != "" {
			due = append(due, w.end(l, r, how, r.saved(false)))
		}
	}
	if lapsed {
		l.lease = 0
	}
	return due
}

// end ends a run. The caller holds w.mu and calls the result without it.
func (w *worker) end(l *life, r *taskRun, how, saved string) func() {
	delete(l.running, r.task)
	l.closed[r.task] = max(l.closed[r.task], r.attempt)
	l.lastEnd++
	l.ends = append(l.ends, taskEnd{l.lastEnd, r.task, r.attempt, how, saved})
	close(l.changed)
	l.changed = make(chan struct{})
	return func() {
		w.f.addEvent(event{kind: "end", worker: w, life: l.id, task: r.task, attempt: r.attempt, how: how})
		r.gang.memberEnded(r, how)
	}
}

// done returns the work that is done.
func (r *taskRun) done() time.Duration {
	began := r.began
	if r.gang != nil {
		began = r.gang.beganAt()
	}
	if began.IsZero() {
		return r.resumed
	}
	worked := time.Since(began)
	if r.resumed > 0 {
		worked -= restoreTime
	}
	return r.resumed + max(0, worked)
}

// saved returns the last checkpoint: milliseconds of work and a part of the id, in hexadecimal. At a stop it is exact.
func (r *taskRun) saved(stop bool) string {
	if !r.phase.Checkpointing {
		return ""
	}
	done := r.done()
	if !stop {
		done = done.Truncate(checkpointEvery)
	}
	if done <= 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", done.Milliseconds(), r.task[4:12])
}

func resumeFrom(value string) time.Duration {
	if len(value) < 8 {
		return 0
	}
	ms, err := strconv.ParseInt(value[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// call is the body of a call about one task.
type call struct {
	Task         string `json:"task"`
	Attempt      uint32 `json:"attempt"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"until_ms"`
	FenceToken   uint64 `json:"fence_token"`
	Ticket       string `json:"ticket"`
	Checkpointed string `json:"checkpointed"`
	LastSeen     int    `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
}

// admit returns the incarnation that serves a request. While the executor is down it answers nothing, and a channel of an earlier
// incarnation is reset.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request) *life {
	w.mu.Lock()
	l, gen := w.life, w.gen
	w.mu.Unlock()
	if opened, _ := r.Context().Value(connGen{}).(int); l != nil && opened != gen {
		resetChannel(rw)
		return nil
	}
	if l == nil || w.isCut() {
		<-r.Context().Done()
		return nil
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != l.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": l.clock()})
		return nil
	}
	return l
}

func resetChannel(rw http.ResponseWriter) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, handle func(*life, *call) (int, map[string]any)) {
	c := &call{}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l := w.admit(rw, r)
	if l == nil {
		return
	}
	if err := json.Unmarshal(body, c); err != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{"clock_ms": l.clock()})
		return
	}
	w.mu.Lock()
	status, answer := http.StatusConflict, map[string]any{"reason": "fence"}
	if w.life == l && c.FenceToken >= l.fence {
		l.fence = c.FenceToken
		status, answer = handle(l, c)
	}
	then, _ := answer["then"].(func())
	delete(answer, "then")
	answer["clock_ms"], answer["born"] = l.clock(), l.born.UnixMilli()
	w.mu.Unlock()
	if then != nil {
		then()
	}
	writeJSON(rw, status, answer)
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) extend(l *life, untilMs int64) {
	l.lease = max(l.lease, min(untilMs, l.clock()+w.f.holdMax.Milliseconds()))
}

func (w *worker) handleStart(l *life, c *call) (int, map[string]any) {
	parts := strings.Split(c.Task, ".")
	if len(parts) != 4 {
		return http.StatusBadRequest, map[string]any{}
	}
	if c.UntilMs <= l.clock() {
		return conflict("late")
	}
	w.extend(l, c.UntilMs)
	if r := l.running[c.Task]; r != nil && r.attempt == c.Attempt {
		return http.StatusOK, map[string]any{}
	}
	if l.running[c.Task] != nil || c.Attempt <= l.closed[c.Task] {
		return conflict("old")
	}
	if !w.f.ticketValid(c.Task, l.id, c.Ticket) {
		return conflict("ticket")
	}
	j := w.f.job(parts[0])
	step, _ := strconv.Atoi(parts[2])
	if j == nil || step >= len(j.phases) {
		return http.StatusBadRequest, map[string]any{}
	}
	p := &j.phases[step]
	cpu, mem := p.CPU, p.MemMB
	for _, r := range l.running {
		cpu, mem = cpu+r.phase.CPU, mem+r.phase.MemMB
	}
	if cpu > w.cpu || mem > w.memMB {
		return conflict("room")
	}
	r := &taskRun{task: c.Task, attempt: c.Attempt, phase: p, began: time.Now(), arrived: time.Now(), resumed: resumeFrom(c.Checkpointed), value: c.Checkpointed}
	if p.Gang {
		r.began = time.Time{}
	}
	l.running[c.Task] = r
	return http.StatusOK, map[string]any{"then": func() {
		w.f.addEvent(event{kind: "start", worker: w, life: l.id, task: c.Task, attempt: c.Attempt, value: c.Checkpointed})
		if p.Gang {
			w.f.joinGang(w, r)
		}
	}}
}

func (w *worker) handleStop(l *life, c *call) (int, map[string]any) {
	l.closed[c.Task] = max(l.closed[c.Task], c.Attempt)
	if r := l.running[c.Task]; r != nil && r.attempt <= c.Attempt && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			if w.life != l || l.running[c.Task] != r {
				w.mu.Unlock()
				return
			}
			then := w.end(l, r, "stopped", r.saved(true))
			w.mu.Unlock()
			then()
		})
	}
	return http.StatusOK, map[string]any{"then": func() {
		w.f.rec.log("executor %s (%s): is told to stop %s attempt %d", w.name, l.id, c.Task, c.Attempt)
	}}
}

func (w *worker) handlePace(*life, *call) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

// serveHold renews the lease, forgets ends and lists what runs and what has ended.
func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	c := &call{}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l := w.admit(rw, r)
	if l == nil {
		return
	}
	if err := json.Unmarshal(body, c); err != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{"clock_ms": l.clock()})
		return
	}
	deadline := time.Now().Add(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		w.mu.Lock()
		if w.life != l {
			w.mu.Unlock()
			<-r.Context().Done() // the executor went down while the call waited
			return
		}
		if c.FenceToken < l.fence {
			w.mu.Unlock()
			writeJSON(rw, http.StatusConflict, map[string]any{"reason": "fence", "clock_ms": l.clock()})
			return
		}
		if first {
			l.fence = c.FenceToken
			if c.UntilMs > 0 {
				w.extend(l, c.UntilMs)
			}
			for len(l.ends) > 0 && l.ends[0].number <= c.LastSeen {
				l.ends = l.ends[1:]
			}
		}
		answer, changed := l.holdAnswer(), l.changed
		ended := len(l.ends) > 0
		w.mu.Unlock()
		if ended || !time.Now().Before(deadline) {
			if w.isCut() {
				<-r.Context().Done()
				return
			}
			writeJSON(rw, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
		case <-r.Context().Done():
			return
		case <-time.After(time.Until(deadline)):
		}
	}
}

func (l *life) holdAnswer() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range l.running {
		percent := 100
		if !r.phase.LongRunning {
			percent = min(99, int(100*r.done()/r.phase.work))
		} else if time.Since(r.began) < 300*time.Millisecond {
			percent = 50
		}
		running = append(running, []any{r.task, r.attempt, r.saved(false), percent, r.phase.CPU})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	for _, e := range l.ends {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	return map[string]any{"clock_ms": l.clock(), "born": l.born.UnixMilli(), "running": running, "finished": finished}
}
