package emulator

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/lentilyard/lentilyard/internal/netfault"
)

// FaultCutWorkers is a fault in which control VMs and some workers do not reach each other, while intake VMs reach these workers.
const FaultCutWorkers FaultKind = "cut-workers"

const (
	// cutsPerSecond is the mean rate of such faults.
	cutsPerSecond = 0.15
	// answersLostShare and untilEndShare are the shares of cuts that lose only answers and reports, and that last until the end of the run:
	// one in so many.
	answersLostShare, untilEndShare = 3, 4
)

// cut describes the workers that a fault cuts off from the control VMs, and how.
type cut struct {
	first, count int
	// answersLost is true if calls of control VMs reach the workers.
	answersLost bool
	// untilEnd is true if the cut lasts until the end of the run, when the submissions have to end in spite of it.
	untilEnd bool
}

// other returns the random number of a fault that cuts workers off in this way.
func (c cut) other(size Size) int {
	n := c.count - 1
	if !c.answersLost {
		n += size.Workers
	}
	if !c.untilEnd {
		n += size.Workers * answersLostShare
	}
	return n
}

// cutOf returns the cut of a fault.
func cutOf(f Fault, size Size) cut {
	n := f.Other / size.Workers
	return cut{first: f.Subject, count: 1 + f.Other%size.Workers, answersLost: n%answersLostShare == 0, untilEnd: n/answersLostShare%untilEndShare == 0}
}

// injectCut cuts workers off from the control VMs.
func (d *Deployment) injectCut(ctx context.Context, f Fault) {
	c := cutOf(f, d.options.Size)
	state := netfault.State{CutTo: !c.answersLost, CutFrom: true}
	var hosts []*host
	for i := range c.count {
		hosts = append(hosts, d.hosts[(c.first+i)%len(d.hosts)])
	}
	for _, h := range hosts {
		h.cutOff(state, c.untilEnd)
	}
	if c.untilEnd {
		return
	}
	sleep(ctx, f.Duration)
	for _, h := range hosts {
		h.cutOff(netfault.State{}, false)
	}
}

// cutOff sets the link between the worker and the control VMs, unless it is cut until the end.
func (h *host) cutOff(state netfault.State, untilEnd bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cutUntilEnd {
		return
	}
	h.cutUntilEnd = untilEnd
	h.controlLink.Set(state)
}

// endUnknownCut ends a cut of the worker if the control VMs have not heard enough of its incarnation, so that nobody could use it.
func (h *host) endUnknownCut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation != nil && !h.isKnown(h.incarnation) {
		h.cutUntilEnd = false
		h.controlLink.Set(netfault.State{})
	}
}

// isKnown reports whether the control VMs know what they need to use an incarnation that they do not reach: its id, and its capacity if
// it does not guard that itself. An incarnation may be of another size than the one before it.
func (h *host) isKnown(w *incarnation) bool {
	return w.id == h.reportedID && (h.guards || w.startedAt.UnixMilli() == h.reportedBorn)
}

// linkOf returns the link of the connections from a process to a worker: h.controlLink for control VMs, otherwise nil.
func (h *host) linkOf(client netip.AddrPort) *netfault.Link {
	server, err := netip.ParseAddrPort(h.address)
	if err != nil {
		return h.controlLink
	}
	inode := socketInode(client, server)
	for _, v := range h.deployment.intakes() {
		if inode != "" && v.ownsSocket(inode) {
			return nil
		}
	}
	return h.controlLink
}

// socketLookups is how often the table of sockets is read for one that must be there: a table that changes meanwhile may lack it.
const socketLookups = 3

// socketInode returns the inode of the local socket with the given addresses, or "" if there is none. The table also holds thousands of
// sockets that were closed within the last minute, so that its lines are not taken apart one by one.
func socketInode(local, remote netip.AddrPort) string {
	const inodeField = 8 // from the local address on
	addresses := []byte(" " + tableAddress(local) + " " + tableAddress(remote) + " ")
	for range socketLookups {
		table, _ := os.ReadFile("/proc/net/tcp") // empty on errors
		if i := bytes.Index(table, addresses); i >= 0 {
			line, _, _ := bytes.Cut(table[i:], []byte("\n"))
			if fields := bytes.Fields(line); len(fields) > inodeField {
				return string(fields[inodeField])
			}
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}

// tableAddress returns an IPv4 address and port as /proc/net/tcp shows them on little-endian machines.
func tableAddress(a netip.AddrPort) string {
	b := a.Addr().Unmap().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", b[3], b[2], b[1], b[0], a.Port())
}

// ownsSocket reports whether the process of the VM has a socket open.
func (v *vm) ownsSocket(inode string) bool {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	if p == nil {
		return false
	}
	folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	files, _ := os.ReadDir(folder) // empty once the process has ended
	for _, f := range files {
		if target, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
