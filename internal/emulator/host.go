package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/netfault"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/platform"
)

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
	reportedBorn int64  // birth time in that report, in Unix ms
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
	listener, err := netfault.ListenAgain(h.listenAddress)
	if err != nil {
		return fmt.Errorf("worker %s: %w", id, err)
	}
	ctx, end := context.WithCancel(h.deployment.ctx)
	w := newIncarnation(&incarnation{id: id, pool: h.pool, guards: h.guards, size: workerSize(fullSize), heartbeat: h.deployment.heartbeat(),
		checker: h.deployment.checker, sabotage: h.deployment.options.Sabotage, successor: h.incarnations > 1,
		maxLease: h.deployment.options.maxLease(), clockStart: rand.Int64N(maxClockStart)})
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
	h.beginDrain()
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

// beginDrain makes the reports of the worker state that it drains.
func (h *host) beginDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation != nil {
		h.reportState.Worker.Draining = true
		h.reportState.RemainingMs = drainGracePeriod.Milliseconds()
	}
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
			h.reportedID, h.reportedBorn = report.GetWorker().GetId(), report.GetWorker().GetBornUnixMs()
			h.mu.Unlock()
			return next
		}
	}
	return ""
}
