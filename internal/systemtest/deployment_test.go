// Package systemtest runs entry VMs, executors and workers as separate
// processes on the loopback interface and checks what callers observe under failures.
package systemtest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/client"
	"github.com/lentilyard/lentilyard/internal/credentials"
)

const (
	operatorToken = "test-operator"
	callerToken   = "test-caller"
	otherToken    = "test-other-caller"
	targetToken   = "test-target"
	workerToken   = "test-worker"
)

var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lentilyard-systemtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "lentilyard")
	build := exec.Command("go", "build", "-o", binary, "github.com/lentilyard/lentilyard/cmd/lentilyard")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// vm is an entry VM of a deployment.
type vm struct {
	id, domain               string
	disk                     bool
	httpAddress, peerAddress string
	process                  *process
}

// deployment is a set of entry VMs with their settings in a temporary folder.
type deployment struct {
	t            testing.TB
	folder       string
	vms          []*vm
	voters       map[string][]string // by failure domain
	configVoters []string
	timingYAML   string // timing section of the settings, as YAML
	targets      []*process
	relays       map[string]peerLink // by "FROM TO" with the ids of entry VMs; empty without relays
}

// newThreeVMDeployment returns a deployment with one entry VM in each of three failure domains. Each VM has a disk.
func newThreeVMDeployment(t testing.TB) *deployment {
	d := newDeployment(t)
	for _, name := range []string{"a", "b", "c"} {
		d.addVM("vm-"+name, name, true)
		d.voters[name] = []string{"vm-" + name}
	}
	d.configVoters = []string{"vm-a", "vm-b", "vm-c"}
	return d
}

// newSixVMDeployment returns a deployment with two entry VMs, one of them with a disk, in each of three failure domains.
// The third voter of each domain is an entry VM of the next domain.
func newSixVMDeployment(t testing.TB) *deployment {
	d := newDeployment(t)
	names := []string{"a", "b", "c"}
	for i, name := range names {
		d.addVM("vm-"+name+"1", name, true)
		d.addVM("vm-"+name+"2", name, false)
		witness := "vm-" + names[(i+1)%len(names)] + "1"
		d.voters[name] = []string{"vm-" + name + "1", "vm-" + name + "2", witness}
	}
	d.configVoters = []string{"vm-a1", "vm-b1", "vm-c1"}
	return d
}

func newDeployment(t testing.TB) *deployment {
	return &deployment{t: t, folder: t.TempDir(), voters: make(map[string][]string), relays: make(map[string]peerLink)}
}

func (d *deployment) addVM(id, domain string, disk bool) {
	d.vms = append(d.vms, &vm{id: id, domain: domain, disk: disk, httpAddress: freeTCP(d.t), peerAddress: freeUDP(d.t)})
}

// nextPort counts the ports that were handed out. They lie below the ephemeral range, so that no outgoing connection takes
// one before its process binds it.
var nextPort atomic.Int32

// Test processes choose one of portRanges port ranges by their process id. When concurrent test processes shared a range, a
// deployment could take over the port of a killed process of another one and receive its traffic.
const (
	firstPort    = 12000
	portRange    = 400
	portRanges   = 50
	portAttempts = 5000
)

func freePort(t testing.TB, bind func(address string) (io.Closer, error)) string {
	base := firstPort + os.Getpid()%portRanges*portRange
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", base+int(nextPort.Add(1))%portRange)
		if closer, err := bind(address); err == nil {
			closer.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func freeTCP(t testing.TB) string {
	return freePort(t, func(address string) (io.Closer, error) { return net.Listen("tcp", address) })
}

func freeUDP(t testing.TB) string {
	return freePort(t, func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) })
}

// start writes the settings and keys, starts all entry VMs and waits until they are ready.
func (d *deployment) start() {
	d.t.Helper()
	d.writeKeys()
	for _, v := range d.vms {
		d.writeSettings(v)
		d.startVM(v)
	}
	d.t.Cleanup(d.stop)
	for _, v := range d.vms {
		d.waitReady(v, 15*time.Second)
	}
}

func (d *deployment) writeKeys() {
	authority, err := credentials.NewAuthority("test", credentials.AuthorityValidity, time.Now())
	d.must(err)
	d.must(authority.Save(d.path("ca.pem"), d.path("ca-key.pem")))
	for _, v := range d.vms {
		certificate, key, err := authority.Issue(v.id, credentials.CertificateValidity, time.Now())
		d.must(err)
		d.must(credentials.WritePair(d.path(v.id+".pem"), certificate, d.path(v.id+"-key.pem"), key))
	}
}

func (d *deployment) path(name string) string { return filepath.Join(d.folder, name) }

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) dataFolder(v *vm) string { return d.path("data-" + v.id) }

func (d *deployment) writeSettings(v *vm) {
	var b strings.Builder
	fmt.Fprintf(&b, "id: %s\nlisten:\n  http: %s\n  peer: %s\n", v.id, v.httpAddress, v.peerAddress)
	if v.disk {
		fmt.Fprintf(&b, "dataFolder: %s\n", d.dataFolder(v))
	}
	b.WriteString("entryVms:\n")
	for _, other := range d.vms {
		fmt.Fprintf(&b, "  - {id: %s, failureDomain: %s, httpAddress: \"%s\", peerAddress: \"%s\", disk: %t}\n",
			other.id, other.domain, other.httpAddress, d.peerAddress(v, other), other.disk)
	}
	b.WriteString("failureDomains:\n")
	for _, name := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "  - {name: %s, region: r, voters: [%s]}\n", name, strings.Join(d.voters[name], ", "))
	}
	fmt.Fprintf(&b, "configVoters: [%s]\n", strings.Join(d.configVoters, ", "))
	fmt.Fprintf(&b, "peerTls: {caFile: %s, certFile: %s, keyFile: %s}\n", d.path("ca.pem"), d.path(v.id+".pem"), d.path(v.id+"-key.pem"))
	b.WriteString("tokens:\n")
	for _, token := range [][4]string{{"operator", operatorToken, "operator", ""}, {"caller", callerToken, "caller", "hanbit"},
		{"other", otherToken, "caller", "szikes"}, {"targets", targetToken, "target", ""}, {"workers", workerToken, "worker", ""}} {
		digest := sha256.Sum256([]byte(token[1]))
		fmt.Fprintf(&b, "  - {name: %s, sha256: %s, role: %s, member: \"%s\"}\n", token[0], hex.EncodeToString(digest[:]), token[2], token[3])
	}
	b.WriteString("units:\n  - {name: core, dimension: processor, factor: \"1000\"}\n  - {name: GB, dimension: memory, factor: \"1000000000\"}\n" +
		"  - {name: task, dimension: count, factor: \"1\"}\n  - {name: request/s, dimension: rate, factor: \"1000\"}\n  - {name: s, dimension: time, factor: \"1000\"}\n")
	b.WriteString(d.timingYAML)
	d.must(os.WriteFile(d.path(v.id+".yaml"), []byte(b.String()), 0o600))
}

func (d *deployment) startVM(v *vm) {
	d.t.Helper()
	v.process = startProcess(d.t, d.path(v.id+".log"), "serve", "--settings", d.path(v.id+".yaml"))
}

func (d *deployment) vm(id string) *vm {
	for _, v := range d.vms {
		if v.id == id {
			return v
		}
	}
	d.t.Fatalf("no entry VM %s", id)
	return nil
}

func (d *deployment) waitReady(v *vm, limit time.Duration) {
	d.t.Helper()
	eventually(d.t, limit, "entry VM "+v.id+" is ready", func() bool {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + v.httpAddress + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (d *deployment) operatorClient(v *vm) *client.Client {
	c, err := client.New(v.httpAddress, operatorToken)
	d.must(err)
	return c
}

func (d *deployment) entryAddresses(domain string) []string {
	var addresses []string
	for _, v := range d.vms {
		if v.domain == domain {
			addresses = append(addresses, v.httpAddress)
		}
	}
	return addresses
}

func (d *deployment) startExecutor(id, domain string, args ...string) *process {
	return d.startTarget("executor", id, domain, targetToken, append([]string{"--service", "kit-orders"}, args...))
}

func (d *deployment) startWorker(id, domain string, args ...string) *process {
	return d.startTarget("worker", id, domain, workerToken, args)
}

func (d *deployment) startTarget(kind, id, domain, token string, args []string) *process {
	all := []string{"stand-in", kind, "--id", id, "--domain", domain, "--target-token", token}
	for _, address := range d.entryAddresses(domain) {
		all = append(all, "--entry-vm", address)
	}
	p := startProcess(d.t, d.path(id+".log"), append(all, args...)...)
	d.targets = append(d.targets, p)
	return p
}

func (d *deployment) stop() {
	for _, p := range d.targets {
		p.kill()
	}
	for _, v := range d.vms {
		if v.process != nil {
			v.process.kill()
		}
	}
	d.checkLogs()
	if d.t.Failed() {
		d.printLogs()
	}
}

// checkLogs fails the test if a process has logged a panic, including one that net/http has recovered.
func (d *deployment) checkLogs() {
	files, _ := filepath.Glob(d.path("*.log"))
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, "panic") {
				d.t.Errorf("%s: %s", filepath.Base(file), line)
			}
		}
	}
}

const logTailBytes = 6000 // bytes of each log printed after a failure

func (d *deployment) printLogs() {
	files, _ := filepath.Glob(d.path("*.log"))
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		if len(content) > logTailBytes {
			content = content[len(content)-logTailBytes:]
		}
		d.t.Logf("== %s\n%s", filepath.Base(file), content)
	}
}

// process is a child process of the test.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(t testing.TB, logFile string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(p.done)
	}()
	return p
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate requests a graceful shutdown and waits for the process to exit.
func (p *process) terminate(t testing.TB, limit time.Duration) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(limit):
		t.Fatalf("process %v did not stop within %v of SIGTERM", p.cmd.Args[1:3], limit)
	}
}

// eventually polls until condition holds and returns the time it took. It fails the test after the limit.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for time.Since(begin) < limit {
		if condition() {
			return time.Since(begin)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("not within %v: %s", limit, what)
	return 0
}

func testContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 60*time.Second)
}
