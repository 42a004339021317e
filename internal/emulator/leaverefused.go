package emulator

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// FaultLeaveRefused is a fault in which workers report their leave and work on, since the confirmation is lost, while connections of all VMs to
// them are refused and open ones are reset. What the workers send arrives.
const FaultLeaveRefused FaultKind = "leave-refused"

const (
	// refusedLeavesPerSecond is the mean rate of such faults.
	refusedLeavesPerSecond = 0.12
	// maxRefusedUnconfirmed bounds the time for which the workers work on after their report.
	maxRefusedUnconfirmed = 5 * time.Second
	// maxReportDelay bounds the time from the begin of the partition until the workers report their leave.
	maxReportDelay = 1500 * time.Millisecond
	// drainedShare, reachedShare and sameIDShare are the shares of these faults in which the workers drain before, are reached again before they
	// end, and are back under their ids: one in so many.
	drainedShare, reachedShare, sameIDShare = 2, 3, 3
)

// refusedLeave describes how workers leave behind a partition that refuses connections.
type refusedLeave struct {
	count                   int
	drains, reached, sameID bool
	reportDelay             time.Duration
	unconfirmed             time.Duration
}

// refusedLeaveOf returns the leave of a fault.
func refusedLeaveOf(f Fault, size Size) refusedLeave {
	n := f.Other / size.Workers
	return refusedLeave{count: 1 + f.Other%size.Workers, drains: n%drainedShare == 0, reached: n%reachedShare == 0, sameID: n/reachedShare%sameIDShare == 0,
		reportDelay: time.Duration(n) * 7 * time.Millisecond % maxReportDelay, unconfirmed: time.Duration(n) * 13 * time.Millisecond % maxRefusedUnconfirmed}
}

// injectLeaveRefused lets workers leave at about the same time.
func (d *Deployment) injectLeaveRefused(ctx context.Context, f Fault) error {
	c := refusedLeaveOf(f, d.options.Size)
	var leaving errgroup.Group
	for i := range c.count {
		h := d.hosts[(f.Subject+i)%len(d.hosts)]
		leaving.Go(func() error { return h.leaveBehindRefusal(ctx, c) })
	}
	return leaving.Wait()
}

// leaveBehindRefusal lets the worker report its leave behind a partition that refuses connections, ends it and starts it again.
func (h *host) leaveBehindRefusal(ctx context.Context, c refusedLeave) error {
	w := h.currentIncarnation()
	if w == nil || h.proxy == nil {
		return nil
	}
	if c.drains {
		h.beginDrain()
		sleep(ctx, drainGracePeriod)
	}
	h.proxy.Refuse()
	sleep(ctx, c.reportDelay)
	h.mu.Lock()
	leave := &pb.PoolReport{Worker: h.describe(w), Leaving: true}
	h.mu.Unlock()
	h.send(ctx, "", leave)
	sleep(ctx, c.unconfirmed)
	if c.reached {
		if err := h.proxy.Accept(); err != nil {
			return err
		}
		sleep(ctx, c.unconfirmed)
	}
	id := h.crash()
	if err := h.proxy.Accept(); err != nil {
		return err
	}
	if !c.sameID {
		id = ""
	}
	return h.start(id)
}
