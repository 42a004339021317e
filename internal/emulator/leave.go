package emulator

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilyard/lentilyard/internal/netfault"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// FaultLeaveCut is a fault in which workers report their leave and are back soon, while the control VMs do not reach them and get no reports
// of them. Intake VMs reach them.
const FaultLeaveCut FaultKind = "leave-cut"

const (
	// leaveCutsPerSecond is the mean rate of such faults.
	leaveCutsPerSecond = 0.15
	// maxLeaveDowntime bounds the time from the end of the worker until it is back.
	maxLeaveDowntime = 3 * time.Second
	// maxUnconfirmed bounds the time for which a worker that got no confirmation of its leave works on.
	maxUnconfirmed = time.Second
	// unconfirmedShare, otherIDShare and leftUntilEndShare are the shares of these faults in which the workers get no confirmation, are back under
	// other ids, and stay cut off until the end of the run: one in so many.
	unconfirmedShare, otherIDShare, leftUntilEndShare = 2, 4, 3
)

// leaveCut describes how workers leave and are back.
type leaveCut struct {
	count int
	// unconfirmed is how long the workers work on after their report, whose confirmation they do not get; 0 if they end before they report.
	unconfirmed       time.Duration
	otherID, untilEnd bool
	down              time.Duration
}

// leaveCutOf returns the leave of a fault.
func leaveCutOf(f Fault, size Size) leaveCut {
	n := f.Other / size.Workers
	c := leaveCut{count: 1 + f.Other%size.Workers, otherID: n/unconfirmedShare%otherIDShare == 0, untilEnd: n%leftUntilEndShare == 0,
		down: time.Duration(n) * 7 * time.Millisecond % maxLeaveDowntime}
	if n%unconfirmedShare == 0 {
		c.unconfirmed = time.Millisecond + time.Duration(n)*3*time.Millisecond%maxUnconfirmed
	}
	return c
}

// injectLeaveCut lets workers leave at about the same time.
func (d *Deployment) injectLeaveCut(ctx context.Context, f Fault) error {
	c := leaveCutOf(f, d.options.Size)
	var leaving errgroup.Group
	for i := range c.count {
		h := d.hosts[(f.Subject+i)%len(d.hosts)]
		leaving.Go(func() error { return h.leaveBehindCut(ctx, c, f.Duration) })
	}
	return leaving.Wait()
}

// leaveBehindCut ends the worker with a report of its leave, cuts it off and starts it again.
func (h *host) leaveBehindCut(ctx context.Context, c leaveCut, duration time.Duration) error {
	w := h.currentIncarnation()
	if w == nil {
		return nil
	}
	h.mu.Lock()
	leave := &pb.PoolReport{Worker: h.describe(w), Leaving: true}
	h.mu.Unlock()
	if c.unconfirmed > 0 {
		h.send(ctx, "", leave)
	}
	h.cutOff(netfault.State{CutTo: true, CutFrom: true}, false)
	sleep(ctx, c.unconfirmed)
	id := h.crash()
	if c.unconfirmed == 0 {
		h.cutOff(netfault.State{}, false)
		h.send(ctx, "", leave)
	}
	h.cutOff(netfault.State{CutTo: true, CutFrom: true}, c.untilEnd)
	if c.otherID {
		id = ""
	}
	sleep(h.deployment.ctx, c.down) // also if the run ends meanwhile
	if err := h.start(id); err != nil {
		return err
	}
	sleep(ctx, duration)
	h.cutOff(netfault.State{}, false)
	return nil
}
