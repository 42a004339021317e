package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of executors, from the sheet of the Hanbit deployment.
const (
	holdMax   = 10 * time.Second
	stopTime  = 300 * time.Millisecond // stop_ms is 900
	startTime = 200 * time.Millisecond // until a task that lasts is at work
	pingEvery = 1100 * time.Millisecond
	maxListed = 500 // ends in one answer
)

// run is a run of a task on an executor.
type run struct {
	attempt  int
	spec     string
	begun    time.Time
	stopping time.Time
	percent  int // of its speed
	size     int // millicores
}

// executor is a stand-in for one life of an executor. It follows the platform's page on running tasks.
type executor struct {
	w             *world
	id, machine   string
	zone          string
	kind          string // its first label
	address       string // to which it listens
	announced     string // which its pings state
	controls      []string
	born          time.Time
	cpu           int
	onStart       func(e *executor, task string, attempt int, spec string)
	onEnd         func(e *executor, task string, r *run, how string, number int)
	onSeen        func(number int)
	cut           bool // pings do not leave the machine
	fixedTarget   bool // pings go to the first of controls, whatever address an answer names
	pingClient    *http.Client
	heartbeatAddr string

	mu      sync.Mutex
	state   string
	running map[string]*run
	closed  map[string]int // highest run that ended or was stopped
	ends    [][]any
	lastEnd int
	fence   uint64
	lease   int64 // end on the executor's clock
	seq     int
	changed chan struct{}
	dead    bool
	server  *http.Server
	stop    context.CancelFunc
	sizeOf  func(spec string) int
	silent  atomic.Bool // no further pings are sent
	quiet   bool        // starts and ends of runs are not written to the record
}

// note writes a line about a run to the record.
func (e *executor) note(format string, args ...any) {
	if !e.quiet {
		e.w.note(format, args...)
	}
}

func (w *world) newExecutor(id, machine string, ip string, cpu int) (*executor, error) {
	e := &executor{w: w, id: id, machine: machine, zone: zones[0], kind: "a", cpu: cpu, born: time.Now(), state: "ready", running: map[string]*run{},
		closed: map[string]int{}, changed: make(chan struct{}), pingClient: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e.address = l.Addr().String()
	e.announced = e.address
	for _, v := range w.controls() {
		e.controls = append(e.controls, v.control())
	}
	mux := http.NewServeMux()
	for path, f := range map[string]func(*http.Request, map[string]any) (int, map[string]any){
		"/v1/run-start": e.serveStart, "/v1/run-stop": e.serveStop, "/v1/hold": e.serveHold, "/v1/pace": e.servePace,
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { e.serve(rw, r, f) })
	}
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// begin starts the pings and the clock of the executor.
func (e *executor) begin() {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.advanceLoop(ctx)
	go e.pingLoop(ctx)
}

// end ends the process: everything that runs on it ends.
func (e *executor) end(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	e.dead = true
	e.stop()
	_ = e.server.Close()
	for task, r := range e.running {
		e.w.note("executor %s: run %d of %s ends with the executor (%s)", e.id, r.attempt, task, why)
		if e.onEnd != nil {
			e.onEnd(e, task, r, "gone", 0)
		}
	}
	clear(e.running)
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

func (e *executor) serve(rw http.ResponseWriter, r *http.Request, f func(*http.Request, map[string]any) (int, map[string]any)) {
	data, err := io.ReadAll(r.Body)
	body := map[string]any{}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.UseNumber()
	if err != nil || decoder.Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := http.StatusMisdirectedRequest, map[string]any{}
	if r.Header.Get("Expect-Instance") == e.id {
		e.mu.Lock()
		fence := uint64(integer(body["fence_token"]))
		if fence < e.fence {
			status, answer = http.StatusConflict, map[string]any{"reason": "fence"}
			e.mu.Unlock()
		} else {
			e.fence = fence
			e.mu.Unlock()
			status, answer = f(r, body)
		}
	}
	answer["clock_ms"], answer["born"] = e.clock(), e.born.UnixMilli()
	encoded, _ := json.Marshal(answer)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(encoded)
}

func integer(v any) int64 {
	n, _ := v.(json.Number)
	i, _ := strconv.ParseInt(string(n), 10, 64)
	return i
}

// extend takes the lease in a call. The caller holds e.mu.
func (e *executor) extend(until int64) {
	e.lease = max(e.lease, min(until, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) serveStart(_ *http.Request, body map[string]any) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	task, _ := body["task"].(string)
	spec, _ := body["spec"].(string)
	attempt, until := int(integer(body["attempt"])), integer(body["until_ms"])
	refuse := func(reason string) (int, map[string]any) {
		e.note("executor %s: start of run %d of %s refused: %s", e.id, attempt, task, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	r := e.running[task]
	size := 1000
	if e.sizeOf != nil {
		size = e.sizeOf(spec)
	}
	switch {
	case until <= e.clock():
		return refuse("late")
	case r != nil && r.attempt == attempt:
		e.extend(until)
		return http.StatusOK, map[string]any{}
	case attempt <= e.closed[task] || r != nil:
		e.extend(until)
		return refuse("old")
	}
	used := size
	for _, other := range e.running {
		used += other.size
	}
	e.extend(until)
	if used > e.cpu {
		return refuse("room")
	}
	e.running[task] = &run{attempt: attempt, spec: spec, begun: time.Now(), percent: 100, size: size}
	e.note("executor %s: run %d of %s starts", e.id, attempt, task)
	if e.onStart != nil {
		e.onStart(e, task, attempt, spec)
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) serveStop(_ *http.Request, body map[string]any) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	task, _ := body["task"].(string)
	attempt := int(integer(body["attempt"]))
	e.closed[task] = max(e.closed[task], attempt)
	if r := e.running[task]; r != nil && r.attempt == attempt && r.stopping.IsZero() {
		r.stopping = time.Now()
		e.note("executor %s: run %d of %s is told to stop", e.id, attempt, task)
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) servePace(_ *http.Request, body map[string]any) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	task, _ := body["task"].(string)
	if r := e.running[task]; r != nil && r.attempt == int(integer(body["attempt"])) {
		r.percent = int(integer(body["percent"]))
		e.w.note("executor %s: %s is paced to %d percent", e.id, task, r.percent)
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) serveHold(r *http.Request, body map[string]any) (int, map[string]any) {
	e.mu.Lock()
	e.extend(integer(body["until_ms"]))
	seen := integer(body["last_seen"])
	e.ends = slices.DeleteFunc(e.ends, func(row []any) bool { return int64(row[0].(int)) <= seen })
	if e.onSeen != nil {
		e.onSeen(int(seen))
	}
	changed, waits := e.changed, len(e.ends) == 0
	e.mu.Unlock()
	if wait := integer(body["wait_ms"]); waits && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running := [][]any{}
	for task, r := range e.running {
		running = append(running, []any{task, r.attempt, "", r.progress(), r.size})
	}
	finished := [][]any{}
	finished = append(finished, e.ends[:min(len(e.ends), maxListed)]...)
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// duration returns how long a task runs: its spec is "ms:N" or "lasts".
func (r *run) duration() time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(r.spec, "ms:"))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// progress returns the percent that a hold shows. A task that lasts is at work at 100.
func (r *run) progress() int {
	total := r.duration()
	if total == 0 {
		total = startTime
	}
	return min(100, int(100*time.Since(r.begun)/total))
}

func (e *executor) advanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		for task, r := range e.running {
			switch {
			case e.clock() > e.lease:
				e.endRun(task, r, "lapsed")
			case !r.stopping.IsZero() && time.Since(r.stopping) > stopTime:
				e.endRun(task, r, "stopped")
			case r.stopping.IsZero() && r.duration() > 0 && time.Since(r.begun) >= r.duration():
				e.endRun(task, r, "done")
			}
		}
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// endRun ends a run and lists its end. The caller holds e.mu.
func (e *executor) endRun(task string, r *run, how string) {
	delete(e.running, task)
	e.closed[task] = max(e.closed[task], r.attempt)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, task, r.attempt, how, ""})
	e.note("executor %s: run %d of %s ends: %s", e.id, r.attempt, task, how)
	if e.onEnd != nil {
		e.onEnd(e, task, r, how, e.lastEnd)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// ping sends one ping and returns whether it was acknowledged.
func (e *executor) ping() bool {
	e.mu.Lock()
	if e.cut {
		e.mu.Unlock()
		time.Sleep(time.Second)
		return false
	}
	e.seq++
	body := fmt.Sprintf(`{"service":"kit-orders","addr":%q,"zone":%q,"machine":%q,"version":"v1","slots":8,"state":%q,"cold_left_ms":0,"capacity":{"cpu":%d,"mem_mb":64000,"gpu":0},`+
		`"labels":[%q,"r1-1"],"clock_ms":%d,"seq":%d,"born":%d%s}`, e.announced, e.zone, e.machine, e.state, e.cpu, e.kind, e.clock(), e.seq, e.born.UnixMilli(), e.remaining())
	state := e.state
	e.mu.Unlock()
	targets := append([]string{}, e.controls...)
	if e.heartbeatAddr != "" && !e.fixedTarget {
		targets = append([]string{"http://" + e.heartbeatAddr}, targets...)
	}
	for _, target := range targets {
		a := request(e.pingClient, http.MethodPut, target+"/v1/instances/"+e.id, "", body)
		if a.status == http.StatusOK {
			named := struct {
				HeartbeatAddr string `json:"heartbeat_addr"`
			}{}
			_ = json.Unmarshal([]byte(a.body), &named)
			e.mu.Lock()
			e.heartbeatAddr = named.HeartbeatAddr
			e.mu.Unlock()
			if state == "draining" {
				e.w.note("executor %s: %s confirms that it is draining", e.id, target)
			}
			return true
		}
	}
	return false
}

func (e *executor) remaining() string {
	if e.state == "draining" {
		return `,"remaining_ms":2000`
	}
	return ""
}

func (e *executor) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if e.silent.Load() {
			return
		}
		e.ping()
		select {
		case <-ctx.Done():
		case <-time.After(pingEvery):
		}
	}
}

// leader returns the control VM that the pings of the executor are answered by, which leads in a small deployment.
func (e *executor) leader() *vm {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, v := range e.w.controls() {
		if strings.HasPrefix(e.heartbeatAddr, v.ip+":") {
			return v
		}
	}
	return nil
}

// setCut cuts the pings of the executor off, or ends that.
func (e *executor) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
}

// drain makes the pings of the executor say that it drains.
func (e *executor) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
}

// stopPings ends the pings of the executor.
func (e *executor) stopPings() { e.silent.Store(true) }

// count returns the number of runs on the executor.
func (e *executor) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}
