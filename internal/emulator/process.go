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

// vm is a control or intake VM of the system, with its settings, its folder and the process that runs there.
type vm struct {
	index         int
	role          string // control or intake
	id            string // address that peers and clients know, on which the proxies listen
	listenAddress string // address on which the process listens
	folder        string
	settings      string
	binary        string
	checker       *Checker
	maxLease      time.Duration   // longest lease of the workers
	clientProxy   *netfault.Proxy // for callers, or for workers and the operator
	readyAddress  string
	peerRelay     *netfault.Relay               // for packets from the other VMs
	links         map[netip.Addr]*netfault.Link // by the source address of the other VM
	firstStart    bool

	mu              sync.Mutex
	process         *process
	starts          int
	stopRequestedAt time.Time // when the current process was told to exit; zero otherwise
	// activeFaults counts the current faults that may interrupt requests; lastFaultEnd is when one last ended.
	activeFaults int
	lastFaultEnd time.Time
}

// recordFault records the start or the end of a fault that may interrupt requests.
func (v *vm) recordFault(starts bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if starts {
		v.activeFaults++
		return
	}
	v.activeFaults--
	v.lastFaultEnd = time.Now()
}

// noFaultSince reports whether since t only a planned stop or reload could have interrupted a request to the VM.
func (v *vm) noFaultSince(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.activeFaults == 0 && v.lastFaultEnd.Before(t) && !v.clientProxy.FaultySince(t)
}

// process is a started process of a VM.
type process struct {
	cmd           *exec.Cmd
	ended         chan struct{}
	stopRequested bool // the emulator told it to exit
}

// memoryLimit bounds the memory of a process, because a few dozen of them run on one machine.
const memoryLimit = "GOMEMLIMIT=256MiB"

// start starts the process of the VM unless it is running.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(v.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", v.id, err)
	}
	cmd := exec.Command(v.binary, v.role, "--settings", v.settings)
	pipe := struct{ io.Writer }{log} // hides the *os.File, so that exec uses a pipe and the file size limit does not affect the log
	cmd.Stdout, cmd.Stderr = pipe, pipe
	cmd.Env = append(os.Environ(), memoryLimit, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", v.id, err)
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	v.process, v.stopRequestedAt = p, time.Time{}
	v.starts++
	go v.supervise(p, log)
	return nil
}

// supervise waits for a process to exit and restarts one that was not told to, as a platform does.
func (v *vm) supervise(p *process, log io.Closer) {
	err := errors.Join(p.cmd.Wait(), log.Close())
	v.mu.Lock()
	stopRequested := p.stopRequested
	if v.process == p {
		v.process = nil
	}
	v.mu.Unlock()
	close(p.ended)
	if stopRequested {
		return
	}
	v.checker.ReportViolation(PromiseRuns, "%s %s exited by itself: %v; its log is %s", v.role, v.id, err, filepath.Join(v.folder, "log"))
	time.Sleep(restartDelay)
	if err := v.start(); err != nil {
		v.checker.ReportViolation(PromiseRuns, "%s %s cannot be restarted: %v", v.role, v.id, err)
	}
}

// restartDelay is the time until a process that exited by itself is started again.
const restartDelay = 300 * time.Millisecond

// signal sends a signal to the process and returns the process, or nil if none is running. terminates is true if the signal
// makes the process exit.
func (v *vm) signal(s syscall.Signal, terminates bool) *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.process
	if p == nil {
		return nil
	}
	if terminates {
		p.stopRequested = true
		v.stopRequestedAt = time.Now()
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		v.checker.ReportViolation(PromiseRuns, "send signal %v to %s: %v", s, v.id, err)
	}
	return p
}

// kill kills the process and waits for it to exit.
func (v *vm) kill() {
	if p := v.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// stop terminates the process gracefully and kills it if it is still running after the grace period.
func (v *vm) stop() {
	p := v.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(gracePeriod):
		v.kill()
	}
}

// limitFileSize sets a file size limit of one byte, so that writes fail as on a full disk, or removes the limit.
func (v *vm) limitFileSize(full bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 1
	}
	if err := unix.Prlimit(v.process.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		v.checker.ReportViolation(PromiseRuns, "set the file size limit of %s: %v", v.id, err)
	}
}

// wipe removes the state of the VM. Its process must not be running.
func (v *vm) wipe() error {
	if err := os.RemoveAll(filepath.Join(v.folder, "state")); err != nil {
		return fmt.Errorf("wipe %s: %w", v.id, err)
	}
	return nil
}

// writeSettings replaces the settings of the VM with ones that name the given seeds.
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
`, v.id, v.index%failureDomains, v.listenAddress, callersPort, readyPort, controlPort, peerPort, metricsPort, strings.Join(seeds, `", "`), v.firstStart,
		filepath.Join(v.folder, "state"), v.maxLease.Milliseconds(), taskStopTime.Milliseconds(), gracePeriod.Milliseconds())
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
	// gracePeriod is the time between the request to exit and the kill.
	gracePeriod = 4 * time.Second
	// failureDomains is the number of failure domains.
	failureDomains = 3
	// racks is the number of racks of the workers.
	racks = 7
)

// Ports of all VMs, below the ephemeral range of the operating system.
const (
	callersPort = 8080
	readyPort   = 8081
	controlPort = 8166
	peerPort    = 8200
	metricsPort = 9464
	workerPort  = 8090
)
