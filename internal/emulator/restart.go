package emulator

import (
	"context"
	"time"

	"github.com/lentilyard/lentilyard/internal/netfault"
)

// FaultRestartCut is a fault in which workers fall silent and crash, are back under their ids soon after, and are then cut off from all VMs
// for longer than a lease.
const FaultRestartCut FaultKind = "restart-cut"

const (
	// restartCutsPerSecond is the mean rate of such faults.
	restartCutsPerSecond = 0.15
	// minRestartDelay and maxRestartDelay bound the time from the crash until the workers are back.
	minRestartDelay, maxRestartDelay = 200 * time.Millisecond, 800 * time.Millisecond
	// maxConnected bounds the time from the restart until the workers are cut off.
	maxConnected = 2 * time.Second
)

// restartCut describes the workers that a fault restarts and cuts off, and when.
type restartCut struct {
	count           int
	down, connected time.Duration
}

// restartCutOf returns the restart and the cut of a fault.
func restartCutOf(f Fault, size Size) restartCut {
	n := f.Other / size.Workers
	return restartCut{count: 1 + f.Other%size.Workers, down: minRestartDelay + time.Duration(n)*time.Millisecond%(maxRestartDelay-minRestartDelay),
		connected: time.Duration(n) * 7 * time.Millisecond % maxConnected}
}

// injectRestartCut restarts workers under their ids and cuts them off.
func (d *Deployment) injectRestartCut(ctx context.Context, f Fault) error {
	c := restartCutOf(f, d.options.Size)
	ids := make([]string, c.count)
	hosts := make([]*host, c.count)
	for i := range hosts {
		hosts[i] = d.hosts[(f.Subject+i)%len(d.hosts)]
		hosts[i].disconnect(netfault.State{CutTo: true, CutFrom: true}) // calls hang meanwhile
		ids[i] = hosts[i].crash()
	}
	sleep(d.ctx, c.down) // also if the run ends meanwhile
	for i, h := range hosts {
		if err := h.start(ids[i]); err != nil {
			return err
		}
		h.resetConnections()
		h.disconnect(netfault.State{})
	}
	sleep(ctx, c.connected)
	for _, h := range hosts {
		h.disconnect(netfault.State{CutTo: true, CutFrom: true})
	}
	sleep(ctx, d.options.maxLease()+f.Duration/4)
	for _, h := range hosts {
		h.disconnect(netfault.State{})
	}
	return nil
}

// resetConnections resets the connections to the worker, so that nothing that was sent on them reaches its next incarnation.
func (h *host) resetConnections() {
	if h.proxy != nil {
		h.proxy.Reset()
	}
}

// disconnect sets the links between the worker and all VMs.
func (h *host) disconnect(state netfault.State) {
	if h.proxy != nil {
		h.proxy.Set(state)
	}
	h.cutOff(state, false)
}
