package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/netfault"
)

// FaultKind names a fault or a planned change.
type FaultKind string

// Kinds of faults. Those on VMs hit any VM of the system unless the name says otherwise.
const (
	FaultKill         FaultKind = "kill"          // the process is killed and started again later
	FaultKillControls FaultKind = "kill-controls" // all control VMs are killed at once
	FaultStop         FaultKind = "stop"          // the process is asked to end and started again later
	FaultPause        FaultKind = "pause"         // the process is suspended
	FaultReload       FaultKind = "reload"        // the settings change and the process is told so
	FaultWipe         FaultKind = "wipe"          // a control VM is killed and comes back with an empty disk
	FaultDiskFull     FaultKind = "disk-full"     // writes of a control VM fail
	FaultCutPair      FaultKind = "cut-pair"      // two VMs do not reach each other
	FaultCutOneWay    FaultKind = "cut-one-way"   // packets from one VM to another are lost
	FaultIsolate      FaultKind = "isolate"       // a control VM reaches no other VM
	FaultSlowPeers    FaultKind = "slow-peers"    // packets between two VMs are late
	FaultResetFront   FaultKind = "reset-front"   // open connections to a VM are reset
	FaultSilentFront  FaultKind = "silent-front"  // connections to a VM carry nothing
	FaultSlowFront    FaultKind = "slow-front"    // connections to a VM are slow
	FaultResetWorker  FaultKind = "reset-worker"  // open connections to a worker are reset
	FaultSilentWorker FaultKind = "silent-worker" // calls to a worker hang
	FaultMuteWorker   FaultKind = "mute-worker"   // answers of a worker are lost, calls arrive
	FaultSlowWorker   FaultKind = "slow-worker"   // calls to a worker are late
	FaultCrashWorker  FaultKind = "crash-worker"  // a worker ends without a word; another life comes later
	FaultReuseWorker  FaultKind = "reuse-worker"  // the same, and the next life has the same id
	FaultLeaveWorker  FaultKind = "leave-worker"  // a worker drains and leaves; another life comes later
	FaultUnwellWorker FaultKind = "unwell-worker" // a worker refuses all starts
)

// Fault is a fault of a plan. Subject and Other are numbers of VMs or workers.
type Fault struct {
	Kind           FaultKind
	At, For        time.Duration
	Subject, Other int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.2f s for %.2f s on %d (%d)", f.Kind, f.At.Seconds(), f.For.Seconds(), f.Subject, f.Other)
}

// kindWeights state how often a kind comes.
var kindWeights = []struct {
	kind   FaultKind
	weight int
}{
	{FaultKill, 4}, {FaultKillControls, 1}, {FaultStop, 4}, {FaultPause, 4}, {FaultReload, 3}, {FaultWipe, 1}, {FaultDiskFull, 1},
	{FaultCutPair, 3}, {FaultCutOneWay, 3}, {FaultIsolate, 3}, {FaultSlowPeers, 2}, {FaultResetFront, 3}, {FaultSilentFront, 2},
	{FaultSlowFront, 2}, {FaultResetWorker, 3}, {FaultSilentWorker, 3}, {FaultMuteWorker, 2}, {FaultSlowWorker, 2},
	{FaultCrashWorker, 3}, {FaultReuseWorker, 3}, {FaultLeaveWorker, 3}, {FaultUnwellWorker, 2},
}

const (
	// faultsPerSecond is the mean rate of faults.
	faultsPerSecond = 1.2
	// seriesShare is the share of faults that come as a series on the same subject.
	seriesShare = 0.2
	// longestFault bounds the length of a fault.
	longestFault = 8 * time.Second
)

// Plan draws the faults of a run of the given length. The same seed gives the same plan.
func Plan(seed uint64, size Size, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	total := 0
	for _, k := range kindWeights {
		total += k.weight
	}
	var faults []Fault
	wiped := false
	for at := time.Second; at < length; at += time.Duration(r.ExpFloat64() / faultsPerSecond * float64(time.Second)) {
		draw, kind := r.IntN(total), FaultKind("")
		for _, k := range kindWeights {
			if draw < k.weight {
				kind = k.kind
				break
			}
			draw -= k.weight
		}
		f := Fault{Kind: kind, At: at, For: 200*time.Millisecond + time.Duration(r.Int64N(int64(longestFault))), Other: r.IntN(1 << 16)}
		switch kind {
		case FaultKillControls, FaultIsolate, FaultDiskFull:
			f.Subject = r.IntN(size.Controls)
		case FaultWipe:
			if wiped { // the settings allow the loss of one disk
				continue
			}
			wiped = true
			f.Subject = r.IntN(size.Controls)
		case FaultResetWorker, FaultSilentWorker, FaultMuteWorker, FaultSlowWorker, FaultCrashWorker, FaultReuseWorker, FaultLeaveWorker, FaultUnwellWorker:
			f.Subject = r.IntN(size.Workers)
		default:
			f.Subject = r.IntN(size.Controls + size.Intakes)
		}
		faults = append(faults, f)
		if r.Float64() < seriesShare && kind != FaultWipe {
			for i := range 1 + r.IntN(2) {
				again := f
				again.At += time.Duration(i+1) * (200*time.Millisecond + time.Duration(r.Int64N(int64(time.Second))))
				faults = append(faults, again)
			}
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// inject carries out the faults of a plan and returns once all of them are over.
func (d *Deployment) inject(ctx context.Context, plan []Fault, log zerolog.Logger) {
	var active sync.WaitGroup
	began := time.Now()
	for _, f := range plan {
		sleep(ctx, f.At-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		active.Add(1)
		go func() {
			defer active.Done()
			d.checker.FaultBegins()
			defer d.checker.FaultEnds()
			log.Info().Str("event", "fault").Str("kind", string(f.Kind)).Int("subject", f.Subject).Int("other", f.Other).Dur("for_ms", f.For).Msg("")
			if err := d.injectOne(ctx, f); err != nil {
				d.checker.Break(PromiseRuns, "%v: %v", f, err)
			}
			log.Info().Str("event", "fault-over").Str("kind", string(f.Kind)).Int("subject", f.Subject).Msg("")
		}()
	}
	active.Wait()
}

// delay is the delay on slow links.
func (f Fault) delay() time.Duration { return time.Duration(10+f.Other%300) * time.Millisecond }

func (d *Deployment) injectOne(ctx context.Context, f Fault) error {
	switch f.Kind {
	case FaultResetWorker, FaultSilentWorker, FaultMuteWorker, FaultSlowWorker, FaultCrashWorker, FaultReuseWorker, FaultLeaveWorker, FaultUnwellWorker:
		return d.injectWorker(ctx, f, d.hosts[f.Subject])
	case FaultCutPair, FaultCutOneWay, FaultSlowPeers, FaultIsolate:
		d.injectPeers(ctx, f)
		return nil
	case FaultResetFront, FaultSilentFront, FaultSlowFront:
		d.injectLink(ctx, f, d.vms[f.Subject].front)
		return nil
	}
	return d.injectVM(ctx, f, d.vms[f.Subject])
}

// planned reports whether a kind is planned work, which must break off no request.
func (k FaultKind) planned() bool { return k == FaultStop || k == FaultReload }

func (d *Deployment) injectVM(ctx context.Context, f Fault, v *vm) error {
	if !f.Kind.planned() {
		v.disturb(true)
		defer v.disturb(false)
	}
	switch f.Kind {
	case FaultKill:
		v.kill()
		sleep(ctx, f.For)
		return v.start()
	case FaultKillControls:
		for _, c := range d.controls() {
			c.signal(syscall.SIGKILL, true)
		}
		for _, c := range d.controls() {
			c.kill()
		}
		sleep(ctx, f.For/2)
		for _, c := range d.controls() {
			if err := c.start(); err != nil {
				return err
			}
		}
	case FaultStop:
		v.stop()
		sleep(ctx, f.For)
		return v.start()
	case FaultPause:
		v.signal(syscall.SIGSTOP, false)
		sleep(ctx, f.For)
		v.signal(syscall.SIGCONT, false)
	case FaultReload:
		if err := v.writeSettings(d.seeds(f.Other)); err != nil {
			return err
		}
		v.signal(syscall.SIGHUP, false)
	case FaultWipe:
		v.kill()
		if err := v.wipe(); err != nil {
			return err
		}
		sleep(ctx, f.For)
		return v.start()
	case FaultDiskFull:
		v.limitFiles(true)
		sleep(ctx, f.For)
		v.limitFiles(false)
	default:
		return fmt.Errorf("the kind %q is not known", f.Kind)
	}
	return nil
}

// seeds returns the addresses of some control VMs, never of none.
func (d *Deployment) seeds(choice int) []string {
	var list []string
	for i, v := range d.controls() {
		if choice&(1<<i) != 0 || i == choice%d.options.Size.Controls {
			list = append(list, fmt.Sprintf("%s:%d", v.id, controlPort))
		}
	}
	return list
}

func (d *Deployment) injectPeers(ctx context.Context, f Fault) {
	v := d.vms[f.Subject]
	others := []*vm{d.vms[f.Other%len(d.vms)]}
	if f.Kind == FaultIsolate {
		others = d.vms
	}
	set := func(cutTo, cutFrom bool, delay time.Duration) {
		for _, other := range others {
			if other != v {
				setPair(v, other, cutTo, cutFrom, delay)
			}
		}
	}
	switch f.Kind {
	case FaultCutOneWay:
		set(true, false, 0)
	case FaultSlowPeers:
		set(false, false, f.delay())
	default:
		set(true, true, 0)
	}
	sleep(ctx, f.For)
	set(false, false, 0)
}

// injectLink harms the connections through a proxy.
func (d *Deployment) injectLink(ctx context.Context, f Fault, p *netfault.Proxy) {
	switch f.Kind {
	case FaultResetFront, FaultResetWorker:
		p.Reset()
		return
	case FaultSilentFront, FaultSilentWorker:
		p.Set(netfault.State{CutTo: true, CutFrom: true})
	case FaultMuteWorker:
		p.Set(netfault.State{CutFrom: true})
	default:
		p.Set(netfault.State{Delay: f.delay()})
	}
	sleep(ctx, f.For)
	p.Set(netfault.State{})
}

func (d *Deployment) injectWorker(ctx context.Context, f Fault, h *host) error {
	switch f.Kind {
	case FaultCrashWorker:
		h.crash()
		sleep(ctx, f.For)
		return h.begin("")
	case FaultReuseWorker:
		id := h.crash()
		sleep(ctx, f.For/4)
		return h.begin(id)
	case FaultLeaveWorker:
		h.leave()
		sleep(ctx, f.For)
		return h.begin("")
	case FaultUnwellWorker:
		if l := h.present(); l != nil {
			l.set(func(l *life) { l.unwell = true })
			sleep(ctx, f.For)
			l.set(func(l *life) { l.unwell = false })
		}
		return nil
	}
	d.injectLink(ctx, f, h.proxy)
	return nil
}

// heal ends all faults: every process and worker runs, and every link is whole.
func (d *Deployment) heal() error {
	for _, v := range d.vms {
		v.signal(syscall.SIGCONT, false)
		v.front.Set(netfault.State{})
		for _, l := range v.links {
			l.Set(netfault.State{})
		}
		v.limitFiles(false)
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if h.proxy != nil {
			h.proxy.Set(netfault.State{})
		}
		if err := h.begin(""); err != nil {
			return err
		}
	}
	return nil
}
