package emulator

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lentilyard/lentilyard/internal/netfault"
)

// vm is a VM of the system: its settings, its folder and the process that runs there.
type vm struct {
	index      int
	role       string // control or intake
	id         string // address that others know, where the proxies listen
	listens    string // address on which the process listens
	folder     string
	settings   string
	binary     string
	checker    *Checker
	front      *netfault.Proxy // callers or workers and the operator
	ready      string
	relay      *netfault.Relay               // packets of the other VMs
	links      map[netip.Addr]*netfault.Link // by the address from which the other VM sends
	firstStart bool

	mu       sync.Mutex
	process  *process
	starts   int
	stopping time.Time // when the present process was told to end; zero otherwise
	// upset is true while a fault may make the process end by itself.
	upset bool
	// disturbances counts the faults that act on the process now; disturbedAt is when one last ended.
	disturbances int
	disturbedAt  time.Time
}

// disturb notes that a fault that may break off requests begins or ends.
func (v *vm) disturb(begins bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if begins {
		v.disturbances++
		return
	}
	v.disturbances--
	v.disturbedAt = time.Now()
}

// undisturbed reports whether since t nothing but a planned stop or reload could have broken off a request to the VM.
func (v *vm) undisturbed(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disturbances == 0 && v.disturbedAt.Before(t) && !v.front.FaultySince(t)
}

// process is one process of a VM.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	told  bool // it was told to end
}

// memoryLimit bounds the heap of a process, which runs beside a few dozen others.
const memoryLimit = "GOMEMLIMIT=256MiB"

// start starts the process of the VM unless it runs.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(v.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", v.id, err)
	}
	cmd := exec.Command(v.binary, v.role, "--settings", v.settings)
	pipe := struct{ io.Writer }{log} // a pipe, so that a full disk does not keep the process from logging
	cmd.Stdout, cmd.Stderr = pipe, pipe
	cmd.Env = append(os.Environ(), memoryLimit, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", v.id, err)
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	v.process, v.stopping = p, time.Time{}
	v.starts++
	go v.await(p, log)
	return nil
}

// await notes the end of a process and restarts one that ended by itself, as a platform does.
func (v *vm) await(p *process, log io.Closer) {
	err := errors.Join(p.cmd.Wait(), log.Close())
	v.mu.Lock()
	told, upset := p.told, v.upset
	if v.process == p {
		v.process = nil
	}
	v.mu.Unlock()
	close(p.ended)
	if told {
		return
	}
	if !upset {
		v.checker.Break(PromiseRuns, "%s %s ended by itself: %v; its log is %s", v.role, v.id, err, filepath.Join(v.folder, "log"))
	}
	time.Sleep(restartPause)
	if err := v.start(); err != nil {
		v.checker.Break(PromiseRuns, "%s %s does not start again: %v", v.role, v.id, err)
	}
}

// restartPause is the time until a process that ended by itself is started again.
const restartPause = 300 * time.Millisecond

// signal sends a signal to the process if it runs. ends is true if the process is to end.
func (v *vm) signal(s syscall.Signal, ends bool) *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.process
	if p == nil {
		return nil
	}
	if ends {
		p.told = true
		v.stopping = time.Now()
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		v.checker.Break(PromiseRuns, "signal %v to %s: %v", s, v.id, err)
	}
	return p
}

// kill ends the process at once and waits for its end.
func (v *vm) kill() {
	if p := v.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// stop asks the process to end and kills it once the grace period is over.
func (v *vm) stop() {
	p := v.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(grace):
		v.kill()
	}
}

// limitFiles makes writes beyond the present size of the largest file fail, as on a full disk, or lifts that.
func (v *vm) limitFiles(full bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upset = full
	if v.process == nil {
		return
	}
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 1
	}
	if err := unix.Prlimit(v.process.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		v.checker.Break(PromiseRuns, "limit the files of %s: %v", v.id, err)
	}
}

// wipe removes the state of the VM, whose process does not run.
func (v *vm) wipe() error {
	if err := os.RemoveAll(filepath.Join(v.folder, "state")); err != nil {
		return fmt.Errorf("wipe %s: %w", v.id, err)
	}
	return nil
}

// writeSettings writes the settings of the VM with the given seeds.
func (v *vm) writeSettings(seeds []string) error {
	text := fmt.Sprintf(`id: %q
failureDomain: "d%d"
listen:
  callers: "%[3]s:%[4]d"
  ready: "%[3]s:%[5]d"
  control: "%[3]s:%[6]d"
  peer: "%[3]s:%[7]d"
  metrics: "%[3]s:%[8]d"
seeds: ["%[9]s"]
firstStart: %[10]t
toleratedLosses: 1
dataFolder: %[11]q
orders: call
bounds: {leaseMax: %[12]dms, stop: %[13]dms, gang: 3s, retention: 120s, grace: %[14]dms, harm: 4s, pace: 100ms}
`, v.id, v.index%domains, v.listens, callersPort, readyPort, controlPort, peerPort, metricsPort, strings.Join(seeds, `", "`), v.firstStart,
		filepath.Join(v.folder, "state"), leaseMax.Milliseconds(), stopTime.Milliseconds(), grace.Milliseconds())
	temporary := v.settings + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", v.id, err)
	}
	if err := os.Rename(temporary, v.settings); err != nil {
		return fmt.Errorf("settings of %s: %w", v.id, err)
	}
	return nil
}

const (
	// grace is the time between the request to end and the kill.
	grace = 4 * time.Second
	// domains is the number of failure domains.
	domains = 3
)

// Ports of all VMs, below those that the system hands out for outgoing connections.
const (
	callersPort = 8080
	readyPort   = 8081
	controlPort = 8166
	peerPort    = 8200
	metricsPort = 9464
	workerPort  = 8090
)
