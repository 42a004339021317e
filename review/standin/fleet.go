package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// Bounds of the site hanbit-yard (SYSTEM.md), which the settings and the stand-ins share. hold_max_ms is fleet.holdMax.
const (
	heartbeat       = 1100 * time.Millisecond
	stopTime        = 300 * time.Millisecond // at most stop_ms, 900
	gangWait        = 3 * time.Second
	checkpointEvery = 2 * time.Second
	restoreTime     = 250 * time.Millisecond
	drainTime       = 2 * time.Second
)

const service = "huvo11a"

const (
	controls = 3
	intakes  = 2
)

var zones = []string{"wonju", "gangneung", "chuncheon"}

// fleet is a small deployment: three control VMs, two intake VMs, executors and the platform's machine service.
type fleet struct {
	rec     *record
	folder  string
	net     int // second octet of all addresses
	port    int // first of the ports
	client  *http.Client
	version int
	holdMax time.Duration // the longest lease that executors accept

	mu      sync.Mutex
	procs   map[string]*exec.Cmd // by role and number
	workers []*worker
	jobs    map[string]*job
	gangs   map[string]*gangRun
	events  []event

	adviceAddr string
	tickets    map[string]time.Time // when each ticket of the policy service ends
	advised    map[string]bool      // submissions of the queue with advice
}

// event is something that executors did or saw.
type event struct {
	at      time.Time
	kind    string // start or end
	worker  *worker
	life    string // id of the incarnation
	task    string
	attempt uint32
	how     string
	value   string // the checkpoint that a start carried
}

func newFleet(rec *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	f := &fleet{rec: rec, holdMax: 10 * time.Second, folder: folder, net: 30 + rand.IntN(200), procs: map[string]*exec.Cmd{}, jobs: map[string]*job{}, gangs: map[string]*gangRun{}, tickets: map[string]time.Time{}, advised: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if f.port, err = f.freePorts(); err != nil {
		return nil, err
	}
	return f, nil
}

// Offsets of the ports from fleet.port.
const (
	portFront = iota
	portReady
	portControl
	portPeer
	portMetrics
	portWorker
	portCloud
	portCount
)

// freePorts returns the first of portCount ports that are free on the addresses of the fleet.
func (f *fleet) freePorts() (int, error) {
	for range 50 {
		base := 20000 + rand.IntN(11000)
		free := true
		for i := range portCount {
			for _, ip := range []string{f.ip(1, 1), f.ip(2, 1), f.ip(3, 1)} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("found no free ports")
}

// ip returns a loopback address: block 1 holds the control VMs, 2 the intake VMs, 3 the executors, 4 the platform.
func (f *fleet) ip(block, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, block, i) }

func (f *fleet) controlAddr(i int) string {
	return fmt.Sprintf("%s:%d", f.ip(1, i+1), f.port+portControl)
}

func (f *fleet) frontAddr(i int) string { return fmt.Sprintf("%s:%d", f.ip(2, i+1), f.port+portFront) }

// settings returns the settings file of a VM, in the form of deploy/settings.yaml.
func (f *fleet) settings(block, i int) string {
	ip := f.ip(block, i+1)
	addr := func(offset int) string { return fmt.Sprintf("%s:%d", ip, f.port+offset) }
	front, ready, control, data := addr(portFront), addr(portReady), "", ""
	if block == 1 {
		front, ready, control, data = "", "", addr(portControl), filepath.Join(f.folder, fmt.Sprintf("data-%d", i+1))
	}
	var seeds []string
	for c := range controls {
		seeds = append(seeds, fmt.Sprintf("%q", f.controlAddr(c)))
	}
	return fmt.Sprintf(`id: %q
failureDomain: %q
listen:
  callers: %q
  ready: %q
  control: %q
  peer: %q
  metrics: %q
seeds: [%s]
firstStart: true
toleratedLosses: 1
dataFolder: %q
orders: "call"
adviceAddress: %q
bounds:
  leaseMax: %dms
  stop: 900ms
  gang: 3000ms
  retention: 120s
  grace: 6s
  harm: 4000ms
  pace: 100ms
  holderLease: 3000ms
platform:
  address: ""
`, ip, zones[i%len(zones)], front, ready, control, addr(portPeer), addr(portMetrics), strings.Join(seeds, ","), data, f.adviceAddr, f.holdMax.Milliseconds())
}

// start starts all processes with the commands of the deploy file and waits until the first manifest is acknowledged.
func (f *fleet) start(attempts int) error {
	f.version = 7
	for i := range controls {
		if err := f.startProcess("control", 1, i); err != nil {
			return err
		}
	}
	for i := range intakes {
		if err := f.startProcess("intake", 2, i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if f.putManifest(attempts) == nil && f.ready() {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("the system was not ready after 20 s")
}

func (f *fleet) startProcess(role string, block, i int) error {
	file := filepath.Join(f.folder, fmt.Sprintf("%s-%d.yaml", role, i+1))
	if err := os.WriteFile(file, []byte(f.settings(block, i)), 0o600); err != nil {
		return err
	}
	if block == 1 {
		if err := os.MkdirAll(filepath.Join(f.folder, fmt.Sprintf("data-%d", i+1)), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(f.folder, fmt.Sprintf("%s-%d.log", role, i+1)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lentilyard", role, "--settings", file)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start target/lentilyard: %w; build it first", err)
	}
	f.mu.Lock()
	f.procs[fmt.Sprintf("%s-%d", role, i+1)] = cmd
	f.mu.Unlock()
	f.rec.log("started %s on %s, process %d", role, f.ip(block, i+1), cmd.Process.Pid)
	return nil
}

// close ends all processes that the case started, by their ids.
func (f *fleet) close() {
	for _, w := range f.workers {
		w.dark("")
	}
	for _, cmd := range f.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "1" {
		f.rec.log("logs are kept in %s", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

const (
	host        = "nony24.example"
	prefix      = "/lohu930/"
	batchPrefix = "/pufi791/" // of a queue with priority 2
)

// putManifest sends the next version of the manifest to the control VMs in turn until one acknowledges it.
func (f *fleet) putManifest(attempts int) error {
	m := map[string]any{"version": f.version,
		"routes": []map[string]any{
			{"name": "r-1", "host": host, "prefix": prefix, "kind": "mutating", "timeout_ms": 3000, "slo_ms": 1000, "priority": 0, "service": service, "attempts": attempts, "stretch": 2.0},
			{"name": "r-2", "host": host, "prefix": batchPrefix, "kind": "mutating", "timeout_ms": 3000, "slo_ms": 1000, "priority": 2, "service": service, "attempts": attempts, "stretch": 2.0},
		},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 64, "proto": "h1", "tls": false, "rejects_overload": true, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if f.adviceAddr != "" {
		m["routes"] = append(m["routes"].([]map[string]any), map[string]any{"name": "r-3", "host": host, "prefix": advicePrefix, "kind": "mutating", "timeout_ms": 3000, "slo_ms": 1000,
			"priority": 0, "service": service, "attempts": attempts, "stretch": 2.0,
			"advice": map[string]any{"decide_ms": adviceDecide.Milliseconds(), "each_ms": adviceEach.Milliseconds(), "valid_ms": adviceValid.Milliseconds()}})
	}
	for i := range controls {
		status, _, err := f.call(http.MethodPut, "http://"+f.controlAddr(i)+"/v1/config", "", m, time.Second)
		f.rec.log("operator: manifest %d at control %d: status %d, error %v", f.version, i+1, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
	}
	return errors.New("no control VM acknowledged the manifest")
}

func (f *fleet) ready() bool {
	for i := range intakes {
		status, _, err := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readyz", f.ip(2, i+1), f.port+portReady), "", nil, time.Second)
		if err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

// call makes an HTTP call with a JSON body and returns the status and the body of the answer.
func (f *fleet) call(method, url, hostHeader string, body any, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	if hostHeader != "" {
		req.Host = hostHeader
		req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// phase is a step of a submission on the wire.
type phase struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstMs         int    `json:"est_ms"`
	After         []int  `json:"after,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	MaxPerServer  int    `json:"max_per_server,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	work          time.Duration
}

// job is a submission that a requester handed in.
type job struct {
	id, spec string
	phases   []phase
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a submission in, with the requester's retries, and returns its id once it is accepted.
func (f *fleet) submit(phases ...phase) (string, error) { return f.submitTo(prefix, phases...) }

func (f *fleet) submitTo(prefix string, phases ...phase) (string, error) {
	j := &job{id: newID(), spec: "work of the review", phases: phases}
	f.mu.Lock()
	f.jobs[j.id] = j
	f.advised[j.id] = prefix == advicePrefix
	f.mu.Unlock()
	for try := range 5 {
		status, _, err := f.call(http.MethodPost, "http://"+f.frontAddr(try%intakes)+prefix+j.id, host, map[string]any{"spec": j.spec, "phases": phases}, 3*time.Second)
		f.rec.log("requester: POST %s: status %d, error %v", j.id, status, err)
		if err == nil && status == http.StatusOK {
			return j.id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", errors.New("the submission was not accepted")
}

// state asks for the state of a submission. It returns an empty string if there was no clear answer.
func (f *fleet) state(id string) string { return f.stateAt(prefix, id) }

func (f *fleet) stateAt(prefix, id string) string {
	status, body, err := f.call(http.MethodGet, "http://"+f.frontAddr(0)+prefix+id, host, nil, 3*time.Second)
	var answer struct {
		State string `json:"state"`
	}
	if err == nil && status == http.StatusOK && json.Unmarshal(body, &answer) == nil {
		return answer.State
	}
	if err == nil && status == http.StatusGone {
		return "410"
	}
	return ""
}

// awaitState asks until the submission is shown in one of the states or the time is over. It records each change.
func (f *fleet) awaitState(id string, limit time.Duration, states ...string) string {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		now := f.state(id)
		if now != last {
			f.rec.log("requester: GET %s: %q", id, now)
			last = now
		}
		for _, s := range states {
			if now == s {
				return now
			}
		}
	}
	return last
}

func (f *fleet) job(id string) *job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[id]
}

func (f *fleet) addEvent(e event) {
	f.mu.Lock()
	e.at = time.Now()
	f.events = append(f.events, e)
	f.mu.Unlock()
	switch e.kind {
	case "start":
		f.rec.log("executor %s (%s): starts %s attempt %d, checkpoint %q", e.worker.name, e.life, e.task, e.attempt, e.value)
	default:
		f.rec.log("executor %s (%s): %s attempt %d ends: %s", e.worker.name, e.life, e.task, e.attempt, e.how)
	}
}

// eventsOf returns the events of the tasks of a submission.
func (f *fleet) eventsOf(id string) []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []event
	for _, e := range f.events {
		if strings.HasPrefix(e.task, id+".") {
			list = append(list, e)
		}
	}
	return list
}

// runningOn returns the worker on which an attempt of a task runs, or nil.
func (f *fleet) runningOn(task string) *worker {
	for _, w := range f.workers {
		if w.runs(task) {
			return w
		}
	}
	return nil
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
