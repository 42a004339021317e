package emulator

import (
	"context"
	"errors"
	"fmt"
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

// Size is what a deployment consists of.
type Size struct {
	Controls, Intakes, Workers int
	// Width multiplies the number of tasks of each step; 0 counts as 1.
	Width int
}

// Options configure a run.
type Options struct {
	// Binary is the program under test.
	Binary string
	// Folder takes settings, state and logs.
	Folder string
	// Slot separates the addresses of runs that go on at the same time, 1 to 250.
	Slot int
	Size Size
	// Rate is the number of submissions a second.
	Rate float64
	// ReportInterval replaces reportInterval if it is not 0.
	ReportInterval time.Duration
	// Direct leaves out the proxies in front of workers, for runs without faults that come near the limit of open files.
	Direct bool
	// Sabotage makes the emulator or the deployment break a promise, to show that the checker notices.
	Sabotage Sabotage
}

// Deployment is a running system with its workers.
type Deployment struct {
	options Options
	checker *Checker
	vms     []*vm
	hosts   []*host
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
	// reporter sends the reports of all workers.
	reporter *platform.APIClient
}

// hostsPerBlock is the number of addresses that a block of the loopback network gives to workers.
const hostsPerBlock = 250

func (o Options) address(block, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", o.Slot, block+host/hostsPerBlock, 1+host%hostsPerBlock)
}

// Blocks of addresses: those that others know, where proxies listen, and those on which the processes listen.
const (
	blockVMs         = 1
	blockVMsListen   = 2
	blockWorkers     = 10
	blockWorkersReal = 100
)

// Start starts the processes and the workers.
func Start(o Options, checker *Checker) (*Deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{options: o, checker: checker, ctx: ctx, cancel: cancel}
	d.reporter = &platform.APIClient{Client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: reportConnections}}}
	var seeds []string
	for i := range o.Size.Controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", o.address(blockVMs, i), controlPort))
	}
	for i := range o.Size.Controls + o.Size.Intakes {
		if err := d.addVM(i, seeds); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	if err := d.connect(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	for _, v := range d.vms {
		if err := v.start(); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	for i := range o.Size.Workers {
		if err := d.addHost(i); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	return d, nil
}

func (d *Deployment) addVM(i int, seeds []string) error {
	o := d.options
	v := &vm{index: i, role: "control", id: o.address(blockVMs, i), listens: o.address(blockVMsListen, i), binary: o.Binary, checker: d.checker, firstStart: true}
	port := controlPort
	if i >= o.Size.Controls {
		v.role, port = "intake", callersPort
	}
	v.folder = filepath.Join(o.Folder, fmt.Sprintf("%s-%d", v.role, i))
	v.settings, v.ready = filepath.Join(v.folder, "settings.yaml"), fmt.Sprintf("%s:%d", v.listens, readyPort)
	if err := os.MkdirAll(filepath.Join(v.folder, "state"), 0o700); err != nil {
		return fmt.Errorf("folder of %s: %w", v.id, err)
	}
	if err := v.writeSettings(seeds); err != nil {
		return err
	}
	front, err := netfault.NewProxy(fmt.Sprintf("%s:%d", v.id, port), fmt.Sprintf("%s:%d", v.listens, port))
	if err != nil {
		return err
	}
	v.front = front
	d.vms = append(d.vms, v)
	return nil
}

// connect puts a relay in front of each VM, with a link for each other VM.
func (d *Deployment) connect() error {
	for _, v := range d.vms {
		v.links = map[netip.Addr]*netfault.Link{}
		for _, other := range d.vms {
			if other != v {
				v.links[netip.MustParseAddr(other.listens)] = netfault.NewLink()
			}
		}
		relay, err := netfault.NewRelay(fmt.Sprintf("%s:%d", v.id, peerPort), fmt.Sprintf("%s:%d", v.listens, peerPort), func(from netip.Addr) *netfault.Link { return v.links[from] })
		if err != nil {
			return err
		}
		v.relay = relay
	}
	return nil
}

// setPair sets what happens to packets between two VMs: dropped from a to b, from b to a, and delayed.
func setPair(a, b *vm, cutAB, cutBA bool, delay time.Duration) {
	b.links[netip.MustParseAddr(a.listens)].Set(netfault.State{CutTo: cutAB, CutFrom: cutBA, Delay: delay})
	a.links[netip.MustParseAddr(b.listens)].Set(netfault.State{CutTo: cutBA, CutFrom: cutAB, Delay: delay})
}

func (d *Deployment) controls() []*vm { return d.vms[:d.options.Size.Controls] }
func (d *Deployment) intakes() []*vm  { return d.vms[d.options.Size.Controls:] }

// Close ends all processes that the deployment started, and its workers.
func (d *Deployment) Close() error {
	d.cancel()
	for _, v := range d.vms {
		v.kill()
		v.front.Close()
		if v.relay != nil {
			v.relay.Close()
		}
	}
	for _, h := range d.hosts {
		h.crash()
		if h.proxy != nil {
			h.proxy.Close()
		}
	}
	d.work.Wait()
	return nil
}

// host is the VM of a worker. Lives of the worker come and go there at the same address.
type host struct {
	d       *Deployment
	index   int
	pool    string
	guards  bool
	domain  int
	listens string
	address string          // that others know
	proxy   *netfault.Proxy // nil if there is none
	peer    *platform.APIClient

	mu     sync.Mutex
	number int // lives so far
	life   *life
	server *http.Server
	end    context.CancelFunc
	state  *pb.PoolReport
}

// Pools of the emulated deployment. The workers of the second start whatever they are told to.
const (
	poolGuarded  = "guarded"
	poolTrusting = "trusting"
)

const (
	workerMillicores = 4000
	workerMemory     = 4_000_000_000
	// slowClock is the share by which the clock of every third worker is slow, the most that a worker may have.
	slowClock = 0.02
)

func (d *Deployment) addHost(i int) error {
	o := d.options
	h := &host{d: d, index: i, pool: poolGuarded, guards: true, domain: i % domains, listens: fmt.Sprintf("%s:%d", o.address(blockWorkersReal, i), workerPort),
		peer: d.reporter}
	if i%3 == 2 {
		h.pool, h.guards = poolTrusting, false
	}
	h.address = h.listens
	if !o.Direct {
		proxy, err := netfault.NewProxy(fmt.Sprintf("%s:%d", o.address(blockWorkers, i), workerPort), h.listens)
		if err != nil {
			return err
		}
		h.proxy, h.address = proxy, proxy.Addr()
	}
	d.hosts = append(d.hosts, h)
	return h.begin("")
}

// begin starts a life of the worker, under the given id or a new one.
func (h *host) begin(id string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life != nil {
		return nil
	}
	h.number++
	if id == "" {
		id = fmt.Sprintf("i-%d-%d", h.index, h.number)
	}
	listener, err := net.Listen("tcp", h.listens)
	if err != nil {
		return fmt.Errorf("worker %s: %w", id, err)
	}
	ctx, end := context.WithCancel(h.d.ctx)
	l := newLife(&life{id: id, pool: h.pool, guards: h.guards, size: &pb.Resources{Millicores: workerMillicores, MemoryBytes: workerMemory},
		checker: h.d.checker, sabotage: h.d.options.Sabotage, later: h.number > 1})
	if h.index%3 == 0 {
		l.slow = slowClock
	}
	l.heldUp = func() bool { return h.proxy != nil && h.proxy.FaultySince(time.Now().Add(-settleTime)) }
	h.life, h.end = l, end
	h.server = &http.Server{Handler: platform.WorkerHandler(id, l)}
	h.state = &pb.PoolReport{Worker: &pb.PoolWorker{Id: id, BornUnixMs: l.born.UnixMilli(), Pool: h.pool, Address: h.address,
		FailureDomain: fmt.Sprintf("d%d", h.domain), Rack: fmt.Sprintf("r%d", h.index%7), Labels: []string{"a", fmt.Sprintf("r%d", h.index%7)},
		Capacity: l.size, Vm: fmt.Sprintf("m-%d", h.index)}}
	server := h.server
	h.d.work.Add(3)
	go func() { defer h.d.work.Done(); _ = server.Serve(listener) }() // ends with Close
	go func() { defer h.d.work.Done(); l.run(ctx) }()
	go func() { defer h.d.work.Done(); h.report(ctx, l) }()
	return nil
}

// crash ends the life without a word.
func (h *host) crash() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life == nil {
		return ""
	}
	id := h.life.id
	h.end()
	_ = h.server.Close()
	h.life.die()
	h.life = nil
	return id
}

// present returns the life of the worker, or nil.
func (h *host) present() *life {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

const (
	// reportConnections is the number of open connections that the reports of all workers keep to each control VM.
	reportConnections = 128
	// reportInterval is the time between two reports of a worker.
	reportInterval = 400 * time.Millisecond
	// drainTime is how long a worker goes on after its drain was acknowledged.
	drainTime = 2 * time.Second
)

// leave drains the worker and ends it as a planned stop does.
func (h *host) leave() {
	h.mu.Lock()
	if h.life != nil {
		h.state.Worker.Draining = true
		h.state.RemainingMs = drainTime.Milliseconds()
	}
	h.mu.Unlock()
	select {
	case <-time.After(drainTime + reportInterval):
	case <-h.d.ctx.Done():
		return
	}
	h.mu.Lock()
	state := h.state
	h.mu.Unlock()
	h.send(h.d.ctx, "", &pb.PoolReport{Worker: state.Worker, Leaving: true})
	h.crash()
}

// report sends reports until ctx ends.
func (h *host) report(ctx context.Context, l *life) {
	address, interval := "", max(h.d.options.ReportInterval, reportInterval)
	if l.later {
		sleep(ctx, reportInterval/2) // calls reach a new life before its first report
	}
	for ctx.Err() == nil {
		h.mu.Lock()
		h.state.Sequence++
		h.state.ClockMs = l.clock()
		report := &pb.PoolReport{Worker: proto.Clone(h.state.Worker).(*pb.PoolWorker), Sequence: h.state.Sequence, ClockMs: h.state.ClockMs, RemainingMs: h.state.RemainingMs}
		h.mu.Unlock()
		address = h.send(ctx, address, report)
		sleep(ctx, interval)
	}
}

// send reports to the address, or to one control VM after the other. It returns where the next report goes.
func (h *host) send(ctx context.Context, address string, report *pb.PoolReport) string {
	candidates := []string{}
	if address != "" {
		candidates = append(candidates, address)
	}
	for i := range h.d.controls() {
		v := h.d.controls()[(h.index+i)%len(h.d.controls())]
		candidates = append(candidates, v.front.Addr())
	}
	for _, c := range candidates {
		next, err := h.peer.Report(ctx, c, report)
		if err == nil {
			return next
		}
	}
	return ""
}
