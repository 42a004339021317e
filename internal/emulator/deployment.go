package emulator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/netfault"
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
	// MaxLease is the longest lease that workers accept; 0 means defaultMaxLease.
	MaxLease time.Duration
	// Sabotage makes the emulator or the deployment break a guarantee, to show that the checker detects it.
	Sabotage Sabotage
}

func (o Options) maxLease() time.Duration { return cmp.Or(o.MaxLease, defaultMaxLease) }

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
	checker.maxLease = o.maxLease()
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
	v := &vm{index: i, role: "control", id: o.address(vmProxyBlock, i), listenAddress: o.address(vmListenBlock, i), binary: o.Binary, checker: d.checker,
		maxLease: o.maxLease(), firstStart: true}
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
