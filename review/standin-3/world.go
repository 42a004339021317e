package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one process of the system.
type process struct {
	role, ip, api, ready, folder string
	settings                     string
	cmd                          *exec.Cmd
	ended                        chan struct{}
}

type phase struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu"`
	MemMB          int64  `json:"mem_mb"`
	EstMs          int64  `json:"est_ms,omitempty"`
	After          []int  `json:"after,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	RequiredLabel  string `json:"required_label,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
	MaxPerServer   int    `json:"max_per_server,omitempty"`
	Checkpointing  bool   `json:"checkpointing,omitempty"`
}

type submission struct {
	Spec       string  `json:"spec"`
	Phases     []phase `json:"phases"`
	Times      int     `json:"times,omitempty"`
	StartAtMs  int64   `json:"start_at_ms,omitempty"`
	IntervalMs int64   `json:"interval_ms,omitempty"`
}

type liveRun struct {
	attempt uint32
	on      string
}

// world is a small deployment with its stand-ins and the record of what happened.
type world struct {
	folder, binary, service, host, prefix string
	cpu, mem                              int64
	controls, intakes                     []*process
	peerPort                              int

	began  time.Time
	recMu  sync.Mutex
	record io.Writer

	mu     sync.Mutex
	subs   map[string]submission
	execs  map[string]*executor
	live   map[string][]liveRun
	done   map[string]bool
	ends   map[string]int
	broken []string

	late *lateOrder // the order that is carried out late, nil if none is
}

func (w *world) event(what string, kv ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(w.began).Seconds(), what)
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	b.WriteByte('\n')
	_, _ = io.WriteString(w.record, b.String())
}

// breaks notes that a rule was broken.
func (w *world) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.event("BROKEN", "rule", text)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	w.mu.Unlock()
}

func (w *world) stepOf(task string) phase {
	id, _, step, _ := taskParts(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.subs[id]; ok && step < len(s.Phases) {
		return s.Phases[step]
	}
	return phase{}
}

// started notes a start. The caller holds the executor's mutex.
func (w *world) started(task string, attempt uint32, e *executor, c *call) {
	w.event("start", "task", task, "attempt", attempt, "on", e.id, "fence", c.FenceToken, "saved", c.Checkpointed)
	w.mu.Lock()
	others := append([]liveRun(nil), w.live[task]...)
	wasDone := w.done[task]
	w.live[task] = append(w.live[task], liveRun{attempt, e.id})
	w.mu.Unlock()
	if len(others) > 0 {
		w.breaks("TWICE", "%s attempt %d starts on %s while attempt %d runs on %s", task, attempt, e.id, others[0].attempt, others[0].on)
	}
	if wasDone {
		w.breaks("TWICE", "%s attempt %d starts on %s after it has ended done and that was noted", task, attempt, e.id)
	}
}

func (w *world) ended(task string, attempt uint32, on, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.live[task]
	for i, r := range list {
		if r.attempt == attempt && r.on == on {
			w.live[task] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	w.ends[how]++
}

func (w *world) noted(f finished) {
	w.event("noted", "task", f.task, "attempt", f.attempt, "how", f.how)
	if f.how != "done" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[f.task] = true
}

// newWorld prepares a deployment of control and intake VMs, which is started by startAll.
func newWorld(record io.Writer, binary string, controls, intakes int) (*world, error) {
	folder, err := os.MkdirTemp("", "lentilyard-review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, binary: binary, service: "svc-a", host: "queue.example", prefix: "/jobs/", cpu: 32000, mem: 125000, began: time.Now(), record: record,
		subs: map[string]submission{}, execs: map[string]*executor{}, live: map[string][]liveRun{}, done: map[string]bool{}, ends: map[string]int{}}
	net1 := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
	w.peerPort, err = freeUDP(net1 + ".1")
	if err != nil {
		return nil, err
	}
	for i := range controls + intakes {
		p := &process{role: "control", ip: fmt.Sprintf("%s.%d", net1, 1+i)}
		if i >= controls {
			p.role = "intake"
		}
		p.folder = filepath.Join(folder, fmt.Sprintf("%s-%d", p.role, i))
		p.settings = filepath.Join(p.folder, "settings.yaml")
		if err := os.MkdirAll(filepath.Join(p.folder, "state"), 0o700); err != nil {
			return nil, err
		}
		if p.role == "control" {
			w.controls = append(w.controls, p)
		} else {
			w.intakes = append(w.intakes, p)
		}
	}
	// All control VMs listen on the same ports, as on the platform.
	api, err := freePort(net1 + ".1")
	if err != nil {
		return nil, err
	}
	ready, err := freePort(net1 + ".1")
	if err != nil {
		return nil, err
	}
	for _, p := range w.all() {
		p.api, p.ready = fmt.Sprintf("%s:%d", p.ip, api), fmt.Sprintf("%s:%d", p.ip, ready)
	}
	return w, nil
}

func (w *world) all() []*process { return append(append([]*process(nil), w.controls...), w.intakes...) }

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

func freeUDP(ip string) (int, error) {
	conn, err := net.ListenPacket("udp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).Port, nil
}

func (w *world) writeSettings(p *process, first bool) error {
	var seeds []string
	for _, c := range w.controls {
		seeds = append(seeds, fmt.Sprintf("%q", c.api))
	}
	text := fmt.Sprintf(`id: %q
failureDomain: "z%s"
listen:
  callers: %q
  ready: %q
  control: %q
  peer: "%s:%d"
seeds: [%s]
firstStart: %t
toleratedLosses: 1
dataFolder: %q
orders: call
bounds: {leaseMax: %dms, stop: %dms, gang: %dms, retention: 120s, grace: 6s, harm: 4000ms, pace: 100ms, holderLease: 3000ms}
`, p.ip, p.ip[strings.LastIndex(p.ip, ".")+1:], p.api, p.ready, p.api, p.ip, w.peerPort, strings.Join(seeds, ", "), first, filepath.Join(p.folder, "state"),
		holdMax.Milliseconds(), stopTime.Milliseconds(), int64(3000))
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

func (w *world) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.binary, p.role, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	ended := p.ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (w *world) startAll() error {
	for _, p := range w.all() {
		if err := errors.Join(w.writeSettings(p, p.role == "control"), w.start(p)); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// runs reports whether the process has been started and has not ended.
func (p *process) runs() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// allRun reports whether all control VMs run, and records which do not: without them a case proves nothing.
func (w *world) allRun() bool {
	all := true
	for _, p := range w.controls {
		if !p.runs() {
			w.event("error", "not-running", p.ip)
			all = false
		}
	}
	return all
}

func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, p := range w.all() {
		p.kill()
	}
	w.mu.Lock()
	var list []*executor
	for _, e := range w.execs {
		list = append(list, e)
	}
	w.mu.Unlock()
	for _, e := range list {
		e.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
}

// send makes one HTTP call and returns its status, 0 if there was no answer.
func send(client *http.Client, method, url string, header map[string]string, body, answer any) int {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if k == "Host" {
			r.Host = v
			continue
		}
		r.Header.Set(k, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if answer != nil {
		_ = json.Unmarshal(data, answer)
	}
	return resp.StatusCode
}

// manifest is the configuration of the deployment.
func (w *world) manifest(version int) map[string]any {
	route := map[string]any{"name": "r-a", "host": w.host, "prefix": w.prefix, "kind": "mutating", "timeout_ms": 3000, "slo_ms": 1000, "priority": 0, "service": w.service, "attempts": 3, "stretch": 2.0}
	return map[string]any{"version": version, "routes": []any{route},
		"services": []any{map[string]any{"name": w.service, "health_path": "/healthz", "max_conns": 64, "proto": "h1", "tls": false, "rejects_overload": true, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// putManifest sends the configuration to one control VM after the other until it is accepted.
func (w *world) putManifest(body map[string]any, within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for began, i := time.Now(), 0; time.Since(began) < within; i++ {
		to := w.controls[i%len(w.controls)]
		status := send(client, "PUT", "http://"+to.api+"/v1/config", nil, body, nil)
		w.event("operator", "call", "PUT /v1/config", "to", to.ip, "status", status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (w *world) addExecutors(n int) error {
	for i := range n {
		id := fmt.Sprintf("i-%04d%04d", i, rand.Intn(10000))
		e, err := newExecutor(w, id, "127.0.0.1:0", fmt.Sprintf("z%d", 1+i%3), fmt.Sprintf("m-%d", i), []string{"a", fmt.Sprintf("r%d", i/8)})
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.execs[id] = e
		w.mu.Unlock()
	}
	return nil
}

// awaitReady waits until all intake VMs are ready and all executors were asked.
func (w *world) awaitReady(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < within; time.Sleep(100 * time.Millisecond) {
		ok := true
		for _, p := range w.intakes {
			ok = ok && send(client, "GET", "http://"+p.ready+"/v1/readyz", nil, nil, nil) == http.StatusOK
		}
		w.mu.Lock()
		for _, e := range w.execs {
			e.mu.Lock()
			ok = ok && e.held
			e.mu.Unlock()
		}
		w.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request sends one request of a caller to an intake VM.
func (w *world) request(method string, to *process, id string, body any, deadline time.Duration) (int, map[string]any) {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	answer := map[string]any{}
	status := send(client, method, "http://"+to.api+w.prefix+id, map[string]string{"Host": w.host, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}, body, &answer)
	w.event("caller", "call", method, "id", id, "to", to.ip, "status", status, "answer", fmt.Sprint(answer))
	return status, answer
}

func (w *world) submit(to *process, id string, s submission) int {
	w.mu.Lock()
	w.subs[id] = s
	w.mu.Unlock()
	status, _ := w.request("POST", to, id, s, 3*time.Second)
	return status
}

// bring starts a deployment with a manifest and executors, and returns once all are known.
func (w *world) bring(executors int) bool {
	if err := w.startAll(); err != nil {
		w.event("error", "start", err)
		return false
	}
	if !w.putManifest(w.manifest(1), 20*time.Second) {
		return false
	}
	if err := w.addExecutors(executors); err != nil {
		w.event("error", "executors", err)
		return false
	}
	return w.awaitReady(20 * time.Second)
}
