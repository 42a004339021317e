package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/netfault"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/platform"
)

// Size states the number of VMs and workers of a deployment.
type Size struct {
	Controls, Intakes, Workers int
	// Width multiplies the number of tasks of each step; 0 counts as 1.
	Width int
}

// Options configures a run.
type Options struct {
	// Binary is the program under test.
	Binary string
	// Folder holds the settings, state and logs of all processes.
	Folder string
	// Slot is the second octet of the loopback addresses, 1 to 250. Concurrent runs need different slots.
	Slot int
	Size Size
	// Rate is the number of submissions per second.
	Rate float64
	// ReportInterval replaces reportInterval if it is not 0.
	ReportInterval time.Duration
	// Direct omits the proxies in front of workers, for runs without faults whose connections would otherwise reach the
	// limit of open files.
	Direct bool
	// CrashingShare is the share of submissions of which one task crashes each worker that starts it.
	CrashingShare float64
	// LastingTasks is the number of endless tasks of each queue that are handed in at the start and must run until the end.
	LastingTasks uint32
	// Sabotage makes the emulator or the deployment break a guarantee, to show that the checker detects it.
	Sabotage Sabotage
}

// Deployment consists of the processes of the system and the emulated workers.
type Deployment struct {
	options    Options
	checker    *Checker
	vms        []*vm
	hosts      []*host
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// reportClient sends the reports of all workers.
	reportClient *platform.APIClient
}

// hostsPerBlock is the number of addresses used in a /24 block. Further hosts use the next block.
const hostsPerBlock = 250

func (o Options) address(block, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", o.Slot, block+host/hostsPerBlock, 1+host%hostsPerBlock)
}

// Address blocks, as the third octet of the loopback addresses. Proxies listen in the proxy blocks, on the addresses that
// peers and clients know; processes and workers listen in the listen blocks.
const (
	vmProxyBlock      = 1
	vmListenBlock     = 2
	workerProxyBlock  = 10
	workerListenBlock = 100
)

// Start starts the processes and the workers of a deployment.
func Start(o Options, checker *Checker) (*Deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{options: o, checker: checker, ctx: ctx, cancel: cancel}
	d.reportClient = &platform.APIClient{Client: &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleReportConns}}}
	if err := d.startAll(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// startAll starts the processes, the relays and proxies in front of them, and the workers.
func (d *Deployment) startAll() error {
	o := d.options
	var seeds []string
	for i := range o.Size.Controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", o.address(vmProxyBlock, i), controlPort))
	}
	for i := range o.Size.Controls + o.Size.Intakes {
		if err := d.addVM(i, seeds); err != nil {
			return err
		}
	}
	if err := d.addPeerRelays(); err != nil {
		return err
	}
	for _, v := range d.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for i := range o.Size.Workers {
		if err := d.addWorkerHost(i); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) addVM(i int, seeds []string) error {
	o := d.options
	v := &vm{index: i, role: "control", id: o.address(vmProxyBlock, i), listenAddress: o.address(vmListenBlock, i), binary: o.Binary, checker: d.checker, firstStart: true}
	port := controlPort
	if i >= o.Size.Controls {
		v.role, port = "intake", callersPort
	}
	v.folder = filepath.Join(o.Folder, fmt.Sprintf("%s-%d", v.role, i))
	v.settings, v.readyAddress = filepath.Join(v.folder, "settings.yaml"), fmt.Sprintf("%s:%d", v.listenAddress, readyPort)
	if err := os.MkdirAll(filepath.Join(v.folder, "state"), 0o700); err != nil {
		return fmt.Errorf("folder of %s: %w", v.id, err)
	}
	if err := v.writeSettings(seeds); err != nil {
		return err
	}
	proxy, err := netfault.NewProxy(fmt.Sprintf("%s:%d", v.id, port), fmt.Sprintf("%s:%d", v.listenAddress, port))
	if err != nil {
		return err
	}
	v.clientProxy = proxy
	d.vms = append(d.vms, v)
	return nil
}

// addPeerRelays puts a relay in front of each VM, with a separate link for each other VM.
func (d *Deployment) addPeerRelays() error {
	for _, v := range d.vms {
		v.links = map[netip.Addr]*netfault.Link{}
		for _, other := range d.vms {
			if other != v {
				v.links[netip.MustParseAddr(other.listenAddress)] = netfault.NewLink()
			}
		}
		relay, err := netfault.NewRelay(fmt.Sprintf("%s:%d", v.id, peerPort), fmt.Sprintf("%s:%d", v.listenAddress, peerPort), func(from netip.Addr) *netfault.Link { return v.links[from] })
		if err != nil {
			return err
		}
		v.peerRelay = relay
	}
	return nil
}

// setLinkPair sets the link state between two VMs: whether packets from a to b and from b to a are dropped, and their delay.
func setLinkPair(a, b *vm, cutAB, cutBA bool, delay time.Duration) {
	b.links[netip.MustParseAddr(a.listenAddress)].Set(netfault.State{CutTo: cutAB, CutFrom: cutBA, Delay: delay})
	a.links[netip.MustParseAddr(b.listenAddress)].Set(netfault.State{CutTo: cutBA, CutFrom: cutAB, Delay: delay})
}

// endFirstStart changes the settings of the control VMs, which say from now on that the deployment has started before. A VM
// that loses its disk would otherwise bootstrap a group of its own if it cannot reach the others.
func (d *Deployment) endFirstStart() error {
	for _, v := range d.controls() {
		v.firstStart = false
		if err := v.writeSettings(d.seeds(-1)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) controls() []*vm { return d.vms[:d.options.Size.Controls] }
func (d *Deployment) intakes() []*vm  { return d.vms[d.options.Size.Controls:] }

// Close kills the processes of the deployment and stops its workers.
func (d *Deployment) Close() error {
	d.cancel()
	for _, v := range d.vms {
		v.kill()
		v.clientProxy.Close()
		if v.peerRelay != nil {
			v.peerRelay.Close()
		}
	}
	for _, h := range d.hosts {
		h.crash()
		if h.proxy != nil {
			h.proxy.Close()
		}
	}
	d.goroutines.Wait()
	return nil
}

// host is the VM of a worker. Incarnations of the worker follow one another there at the same address.
type host struct {
	deployment    *Deployment
	index         int
	pool          string
	guards        bool
	domain        int
	listenAddress string
	address       string          // address that the system calls
	proxy         *netfault.Proxy // nil with Options.Direct
	client        *platform.APIClient
	controlLink   *netfault.Link // between the worker and all control VMs

	mu           sync.Mutex
	cutUntilEnd  bool   // controlLink stays as it is until the end of the run
	reportedID   string // id under which a report was last acknowledged
	incarnations int    // number of incarnations so far
	incarnation  *incarnation
	server       *http.Server
	cancel       context.CancelFunc
	reportState  *pb.PoolReport
}

// Pools of the emulated deployment. Workers of the trusting pool do not check their capacity before they start a task.
const (
	poolGuarded  = "guarded"
	poolTrusting = "trusting"
)

const (
	workerMillicores = 4000
	workerMemory     = 4_000_000_000
	// clockSlowdown is the fraction by which the clock of every third worker runs slow: the largest drift that the
	// protocol allows for a worker.
	clockSlowdown = 0.02
)

func (d *Deployment) addWorkerHost(i int) error {
	o := d.options
	h := &host{deployment: d, index: i, pool: poolGuarded, guards: true, domain: i % failureDomains, listenAddress: fmt.Sprintf("%s:%d", o.address(workerListenBlock, i), workerPort),
		client: d.reportClient, controlLink: netfault.NewLink()}
	if i%3 == 2 {
		h.pool, h.guards = poolTrusting, false
	}
	h.address = h.listenAddress
	if !o.Direct {
		h.address = fmt.Sprintf("%s:%d", o.address(workerProxyBlock, i), workerPort)
		proxy, err := netfault.NewClientProxy(h.address, h.listenAddress, h.linkOf)
		if err != nil {
			return err
		}
		h.proxy = proxy
	}
	d.hosts = append(d.hosts, h)
	return h.start("")
}

// fullSize is the size of a worker that has not shrunk, in the unit of workerSize.
const fullSize = 4

// workerSize returns the capacity of a worker of which so many of fullSize parts are left.
func workerSize(parts int) *pb.Resources {
	return &pb.Resources{Millicores: int64(workerMillicores * parts / fullSize), MemoryBytes: int64(workerMemory * parts / fullSize)}
}

// resize changes the capacity of an incarnation, which its reports state from now on, unless it has ended.
func (h *host) resize(w *incarnation, size *pb.Resources) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation != w {
		return
	}
	w.update(func(w *incarnation) { w.resize(size) })
	h.reportState.Worker.Capacity = size
}

// start starts an incarnation of the worker unless one is running. It generates an id if id is empty.
func (h *host) start(id string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation != nil || h.deployment.ctx.Err() != nil {
		return nil
	}
	h.incarnations++
	if id == "" {
		id = fmt.Sprintf("i-%d-%d", h.index, h.incarnations)
	}
	listener, err := net.Listen("tcp", h.listenAddress)
	if err != nil {
		return fmt.Errorf("worker %s: %w", id, err)
	}
	ctx, end := context.WithCancel(h.deployment.ctx)
	w := newIncarnation(&incarnation{id: id, pool: h.pool, guards: h.guards, size: workerSize(fullSize), heartbeat: h.deployment.heartbeat(),
		checker: h.deployment.checker, sabotage: h.deployment.options.Sabotage, successor: h.incarnations > 1})
	if h.index%3 == 0 {
		w.clockSlowdown = clockSlowdown
	}
	w.crashHost = func() { h.crashAndRestart(w) }
	w.maybeDelayed = func() bool {
		since := time.Now().Add(-settleTime)
		return h.proxy != nil && h.proxy.FaultySince(since) || h.controlLink.FaultySince(since)
	}
	h.incarnation, h.cancel = w, end
	h.server = &http.Server{Handler: platform.WorkerHandler(id, w)}
	h.reportState = &pb.PoolReport{Worker: h.describe(w)}
	if w.sabotage == SabotageShrink {
		w.resize(workerSize(0))
	}
	server := h.server
	h.deployment.goroutines.Add(3)
	go func() { defer h.deployment.goroutines.Done(); _ = server.Serve(listener) }() // returns once the server is closed
	go func() { defer h.deployment.goroutines.Done(); w.run(ctx) }()
	go func() { defer h.deployment.goroutines.Done(); h.report(ctx, w) }()
	return nil
}

// describe returns the description of an incarnation in its reports.
func (h *host) describe(w *incarnation) *pb.PoolWorker {
	rack := fmt.Sprintf("r%d", h.index%racks)
	return &pb.PoolWorker{Id: w.id, BornUnixMs: w.startedAt.UnixMilli(), Pool: h.pool, Address: h.address, FailureDomain: fmt.Sprintf("d%d", h.domain),
		Rack: rack, Labels: []string{"a", rack}, Capacity: w.size, Vm: fmt.Sprintf("m-%d", h.index)}
}

// crash ends the incarnation without notice to the system and returns its id, or an empty string if none was running.
func (h *host) crash() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation == nil {
		return ""
	}
	id := h.incarnation.id
	h.cancel()
	_ = h.server.Close()
	h.incarnation.terminate()
	h.incarnation = nil
	return id
}

const (
	// minDowntime and maxDowntime bound the time for which a worker is away after a task has crashed it.
	minDowntime = time.Second
	maxDowntime = 3 * time.Second
)

// crashAndRestart ends an incarnation without notice to the system, and starts the next one after a while, under the same id
// or a new one.
func (h *host) crashAndRestart(w *incarnation) {
	if h.currentIncarnation() != w {
		return
	}
	id := h.crash()
	if rand.IntN(2) == 0 {
		id = ""
	}
	sleep(h.deployment.ctx, minDowntime+rand.N(maxDowntime-minDowntime))
	if err := h.start(id); err != nil {
		h.deployment.checker.ReportViolation(PromiseRuns, "after a crash: %v", err)
	}
}

// currentIncarnation returns the running incarnation of the worker, or nil.
func (h *host) currentIncarnation() *incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

const (
	// maxIdleReportConns is the number of idle connections to each control VM that the reports of all workers share.
	maxIdleReportConns = 128
	// reportTimeout bounds the wait for the answer to a report.
	reportTimeout = time.Second
	// reportInterval is the time between two reports of a worker.
	reportInterval = 400 * time.Millisecond
	// drainGracePeriod is the remaining time that a draining worker reports before it leaves.
	drainGracePeriod = 2 * time.Second
)

// drainAndStop drains the worker, ends it and reports that it has left, as a planned stop does. Its tasks end first: once the
// report is acknowledged, they may run elsewhere.
func (h *host) drainAndStop() {
	h.mu.Lock()
	if h.incarnation != nil {
		h.reportState.Worker.Draining = true
		h.reportState.RemainingMs = drainGracePeriod.Milliseconds()
	}
	h.mu.Unlock()
	select {
	case <-time.After(drainGracePeriod + reportInterval):
	case <-h.deployment.ctx.Done():
		return
	}
	h.mu.Lock()
	state := h.reportState
	h.mu.Unlock()
	h.crash()
	h.send(h.deployment.ctx, "", &pb.PoolReport{Worker: state.Worker, Leaving: true})
}

// heartbeat returns the time between two reports of a worker.
func (d *Deployment) heartbeat() time.Duration { return max(d.options.ReportInterval, reportInterval) }

// report sends reports until ctx ends.
func (h *host) report(ctx context.Context, w *incarnation) {
	address, interval := "", h.deployment.heartbeat()
	if w.successor {
		sleep(ctx, reportInterval/2) // lets calls reach a new incarnation before its first report
	}
	for ctx.Err() == nil {
		h.mu.Lock()
		h.reportState.Sequence++
		h.reportState.ClockMs = w.clock()
		report := &pb.PoolReport{Worker: proto.Clone(h.reportState.Worker).(*pb.PoolWorker), Sequence: h.reportState.Sequence, ClockMs: h.reportState.ClockMs, RemainingMs: h.reportState.RemainingMs}
		h.mu.Unlock()
		address = h.send(ctx, address, report)
		sleep(ctx, interval)
	}
}

// send sends a report to the address if there is one, and otherwise or on failure to one control VM after the other. It
// returns the address for the next report, empty if every call failed.
func (h *host) send(ctx context.Context, address string, report *pb.PoolReport) string {
	candidates := []string{}
	if address != "" {
		candidates = append(candidates, address)
	}
	for i := range h.deployment.controls() {
		v := h.deployment.controls()[(h.index+i)%len(h.deployment.controls())]
		candidates = append(candidates, v.clientProxy.Addr())
	}
	for _, c := range candidates {
		if !h.controlLink.Forwards(false) {
			sleep(ctx, reportTimeout)
			continue
		}
		next, err := h.client.Report(ctx, c, report)
		if err == nil {
			h.mu.Lock()
			h.reportedID = report.GetWorker().GetId()
			h.mu.Unlock()
			return next
		}
	}
	return ""
}
