package main

import (
	"bytes"
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

// world holds the processes and stand-ins of one run.
type world struct {
	trouble bool
	folder  string
	binary  string
	net     byte // second octet of the loopback addresses
	ports   ports
	started time.Time
	cloud   string // address of the platform's machine service, may be empty

	mu     sync.Mutex
	record *os.File
	vms    []*vm
}

// ports are the same on all VMs.
type ports struct{ peer, control, callers, ready, metrics int }

// vm is a control or an intake VM.
type vm struct {
	w     *world
	role  string
	ip    string
	cmd   *exec.Cmd
	ended chan struct{}
}

func newWorld(record, binary string, trouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, folder: folder, binary: binary, started: time.Now(), record: file}
	for range 20 {
		w.net = byte(60 + rand.IntN(180))
		if w.ports, err = freePorts(w.ip(10), 5); err == nil {
			w.note("trouble=%v, loopback network 127.%d.0.0/16", trouble, w.net)
			return w, nil
		}
	}
	return nil, err
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) (ports, error) {
	var list []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	return ports{list[0], list[1], list[2], list[3], list[4]}, nil
}

// ip returns a loopback address of this run.
func (w *world) ip(host int) string { return fmt.Sprintf("127.%d.%d.%d", w.net, host/200, host%200+1) }

// note writes a line with the time since the start of the run to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	if strings.Contains(line, "RESULT") || strings.Contains(line, "BROKEN") || strings.Contains(line, "could not") {
		fmt.Print(line)
	}
}

// settingsText has the fields of deploy/settings.yaml with the bounds of a small deployment.
const settingsText = `id: "%s"
failureDomain: "%s"
listen:
  callers: "%s"
  ready: "%s"
  control: "%s"
  peer: "%s"
  metrics: "%s"
seeds: [%s]
firstStart: %v
toleratedLosses: 1
dataFolder: "%s"
orders: "call"
adviceAddress: ""
bounds:
  leaseMax: 10000ms
  stop: 900ms
  gang: 3000ms
  retention: 120s
  grace: 6s
  harm: 4000ms
  pace: 100ms
  holderLease: 3000ms
platform:
  address: "%s"
`

// start starts three control VMs and the given number of intake VMs, and waits until they are ready.
func (w *world) start(intakes int) error {
	for i := range 3 {
		w.vms = append(w.vms, &vm{w: w, role: "control", ip: w.ip(10 + i)})
	}
	for i := range intakes {
		w.vms = append(w.vms, &vm{w: w, role: "intake", ip: w.ip(20 + i)})
	}
	for i, v := range w.vms {
		if err := v.writeSettings(i, true); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	err := await(15*time.Second, "the VMs are not ready", func() bool {
		for _, v := range w.vms {
			if v.role == "intake" && get(v.ready()+"/v1/readyz", "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
	for i, v := range w.vms { // bootstrap is true at the first start only
		err = errors.Join(err, v.writeSettings(i, false))
	}
	w.note("started")
	return err
}

func (w *world) controls() []*vm { return w.vms[:3] }
func (w *world) intakes() []*vm  { return w.vms[3:] }

func (v *vm) writeSettings(i int, first bool) error {
	p := v.w.ports
	at := func(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }
	callers, ready, control, data := "", "", "", ""
	if v.role == "control" {
		control, data = at(p.control), v.folder("data")
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
	} else {
		callers, ready = at(p.callers), at(p.ready)
		if err := os.MkdirAll(v.folder(""), 0o700); err != nil {
			return err
		}
	}
	var seeds []string
	for _, c := range v.w.controls() {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, p.control)))
	}
	text := fmt.Sprintf(settingsText, v.ip, zones[i%3], callers, ready, control, at(p.peer), at(p.metrics), strings.Join(seeds, ","), first, data, v.w.cloud)
	return os.WriteFile(v.folder("settings.yaml"), []byte(text), 0o600)
}

var zones = []string{"wonju", "gangneung", "chuncheon"}

func (v *vm) folder(name string) string { return filepath.Join(v.w.folder, v.role+"-"+v.ip, name) }
func (v *vm) control() string           { return fmt.Sprintf("http://%s:%d", v.ip, v.w.ports.control) }
func (v *vm) callers() string           { return fmt.Sprintf("http://%s:%d", v.ip, v.w.ports.callers) }
func (v *vm) ready() string             { return fmt.Sprintf("http://%s:%d", v.ip, v.w.ports.ready) }

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	log, err := os.OpenFile(v.folder("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.w.binary, v.role, "--settings", v.folder("settings.yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.w.mu.Lock()
	v.cmd, v.ended = cmd, ended
	v.w.mu.Unlock()
	go func() { _ = cmd.Wait(); _ = log.Close(); close(ended) }()
	v.w.note("%s %s starts, pid %d", v.role, v.ip, cmd.Process.Pid)
	return nil
}

// kill ends the process at once.
func (v *vm) kill() {
	v.w.note("%s %s gets SIGKILL", v.role, v.ip)
	_ = v.cmd.Process.Kill()
	<-v.ended
}

// close ends all processes that were started and removes the temporary folder.
func (w *world) close() {
	for _, v := range w.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs:", w.folder)
	}
	_ = w.record.Close()
}

// await waits until a condition holds.
func await(limit time.Duration, problem string, f func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return errors.New(problem)
}

// answer is the answer to a request; status is 0 if there was none.
type answer struct {
	status int
	body   string
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func request(c *http.Client, method, url, host, body string) answer {
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{0, err.Error()}
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	if host != "" {
		r.Header.Set("Deadline-Ms", "3000")
	}
	resp, err := c.Do(r)
	if err != nil {
		return answer{0, err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{0, err.Error()}
	}
	return answer{resp.StatusCode, string(data)}
}

func get(url, host string) answer { return request(client, http.MethodGet, url, host, "") }

// putManifest sends a manifest to the control VMs in turn until it is confirmed.
func (w *world) putManifest(limit time.Duration, manifest string) error {
	return w.putManifestAt(limit, manifest, w.controls()...)
}

// putManifestAt sends a manifest to some control VMs in turn until it is confirmed.
func (w *world) putManifestAt(limit time.Duration, manifest string, vms ...*vm) error {
	end := time.Now().Add(limit)
	operator := &http.Client{Timeout: time.Second}
	for i := 0; time.Now().Before(end); i++ {
		v := vms[i%len(vms)]
		a := request(operator, http.MethodPut, v.control()+"/v1/config", "", manifest)
		w.note("operator: PUT /v1/config at %s -> %d", v.ip, a.status)
		if a.status == http.StatusOK {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("no control VM confirmed the manifest")
}

// route is a route of a manifest.
func route(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":"kit.example","prefix":%q,"kind":"mutating","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":%q,"attempts":3,"stretch":2.0}`, name, prefix, service)
}

func manifest(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"kit-orders","health_path":"/healthz","max_conns":64,"proto":"h1","tls":false,"rejects_overload":true,"spare":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, strings.Join(routes, ","))
}

const host = "kit.example"
