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

// FaultKind names a kind of fault or of planned operation.
type FaultKind string

// Kinds of faults. Faults of VMs affect control and intake VMs alike unless stated otherwise.
const (
	FaultKill              FaultKind = "kill"          // the process is killed and started again later
	FaultKillControls      FaultKind = "kill-controls" // all control VMs are killed at once
	FaultStop              FaultKind = "stop"          // the process is terminated gracefully and started again later
	FaultPause             FaultKind = "pause"         // the process is suspended
	FaultReload            FaultKind = "reload"        // the settings change and the process is told to reload them
	FaultWipe              FaultKind = "wipe"          // a control VM is killed and comes back with an empty disk
	FaultDiskFull          FaultKind = "disk-full"     // writes of a control VM fail
	FaultCutPair           FaultKind = "cut-pair"      // no packets pass between two VMs
	FaultCutOneWay         FaultKind = "cut-one-way"   // packets from one VM to another are lost
	FaultIsolate           FaultKind = "isolate"       // no packets pass between a control VM and any other VM
	FaultSlowPeers         FaultKind = "slow-peers"    // packets between two VMs are delayed
	FaultResetFront        FaultKind = "reset-front"   // open connections to a VM are reset
	FaultSilentFront       FaultKind = "silent-front"  // connections to a VM transfer no data
	FaultSlowFront         FaultKind = "slow-front"    // connections to a VM are delayed
	FaultResetWorker       FaultKind = "reset-worker"  // open connections to a worker are reset
	FaultSilentWorker      FaultKind = "silent-worker" // calls to a worker hang
	FaultMuteWorker        FaultKind = "mute-worker"   // calls reach a worker, but its answers are lost
	FaultSlowWorker        FaultKind = "slow-worker"   // calls to a worker and its answers are delayed
	FaultCrashWorker       FaultKind = "crash-worker"  // a worker crashes; an incarnation with a new id starts later
	FaultReuseWorker       FaultKind = "reuse-worker"  // a worker crashes; an incarnation with the same id starts later
	FaultLeaveWorker       FaultKind = "leave-worker"  // a worker drains and leaves; an incarnation with a new id starts later
	FaultUnavailableWorker FaultKind = "unwell-worker" // a worker refuses all starts
	FaultShrinkWorker      FaultKind = "shrink-worker" // the capacity of a worker shrinks and grows again later
)

// Fault is a fault of a plan. Subject is the index of the VM or worker that it affects. Other is a random number that
// determines, for example, the second VM of a pair or the delay.
type Fault struct {
	Kind           FaultKind
	At, Duration   time.Duration
	Subject, Other int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.2f s for %.2f s on %d (%d)", f.Kind, f.At.Seconds(), f.Duration.Seconds(), f.Subject, f.Other)
}

// faultWeights lists the relative frequency of each kind of fault, except those of rareFaults.
var faultWeights = []struct {
	kind   FaultKind
	weight int
}{
	{FaultKill, 4}, {FaultKillControls, 1}, {FaultStop, 4}, {FaultPause, 4}, {FaultReload, 3}, {FaultWipe, 1}, {FaultDiskFull, 1},
	{FaultCutPair, 3}, {FaultCutOneWay, 3}, {FaultIsolate, 3}, {FaultSlowPeers, 2}, {FaultResetFront, 3}, {FaultSilentFront, 2},
	{FaultSlowFront, 2}, {FaultResetWorker, 3}, {FaultSilentWorker, 3}, {FaultMuteWorker, 2}, {FaultSlowWorker, 2},
	{FaultCrashWorker, 3}, {FaultReuseWorker, 3}, {FaultLeaveWorker, 3}, {FaultUnavailableWorker, 2},
}

const (
	// faultsPerSecond is the mean rate of faults.
	faultsPerSecond = 1.2
	// repeatProbability is the probability that a fault is repeated once or twice on the same subject.
	repeatProbability = 0.2
	// maxRandomDuration bounds the random part of the duration of a fault.
	maxRandomDuration = 8 * time.Second
)

// Plan generates the faults of a run of the given length. The same seed gives the same plan.
func Plan(seed uint64, size Size, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	var faults []Fault
	wiped := false
	for at := time.Second; at < length; at += time.Duration(r.ExpFloat64() / faultsPerSecond * float64(time.Second)) {
		f := Fault{Kind: randomKind(r), At: at, Duration: randomDuration(r), Other: r.IntN(1 << 16)}
		if f.Kind == FaultWipe && wiped { // toleratedLosses in the settings allows for one lost disk
			continue
		}
		wiped = wiped || f.Kind == FaultWipe
		f.Subject = r.IntN(f.Kind.subjects(size))
		faults = append(faults, f)
		if r.Float64() < repeatProbability && f.Kind != FaultWipe {
			for i := range 1 + r.IntN(2) {
				repeat := f
				repeat.At += time.Duration(i+1) * (200*time.Millisecond + time.Duration(r.Int64N(int64(time.Second))))
				faults = append(faults, repeat)
			}
		}
	}
	for _, k := range rareFaults {
		faults = append(faults, planWorkerFaults(k.kind, k.perSecond, seed, k.stream, size, length)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// randomKind returns a kind of fault with the probability that faultWeights gives it.
func randomKind(r *rand.Rand) FaultKind {
	total := 0
	for _, k := range faultWeights {
		total += k.weight
	}
	draw := r.IntN(total)
	for _, k := range faultWeights {
		if draw < k.weight {
			return k.kind
		}
		draw -= k.weight
	}
	return "" // not reached: draw is less than the sum of the weights
}

// randomDuration returns the duration of a fault.
func randomDuration(r *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(r.Int64N(int64(maxRandomDuration)))
}

// affectsWorker reports whether a fault of this kind affects one worker, the one whose index is Fault.Subject.
func (k FaultKind) affectsWorker() bool {
	switch k {
	case FaultResetWorker, FaultSilentWorker, FaultMuteWorker, FaultSlowWorker, FaultCrashWorker, FaultReuseWorker, FaultLeaveWorker, FaultUnavailableWorker,
		FaultShrinkWorker, FaultOddReports:
		return true
	}
	return false
}

// subjects returns the number of VMs or workers among which Plan chooses the subject of a fault of this kind.
func (k FaultKind) subjects(size Size) int {
	switch {
	case k == FaultKillControls, k == FaultIsolate, k == FaultDiskFull, k == FaultWipe:
		return size.Controls
	case k.affectsWorker():
		return size.Workers
	}
	return size.Controls + size.Intakes
}

// shrinksPerSecond is the mean rate of workers that shrink.
const shrinksPerSecond = 0.4

// rareFaults lists the kinds of faults that planWorkerFaults adds, with their mean rates and the numbers of their random streams.
var rareFaults = []struct {
	kind      FaultKind
	perSecond float64
	stream    uint64
}{
	{FaultShrinkWorker, shrinksPerSecond, 6}, {FaultOddReports, oddReportsPerSecond, 9}, {FaultCutWorkers, cutsPerSecond, 10},
	{FaultRestartCut, restartCutsPerSecond, 11}, {FaultLeaveCut, leaveCutsPerSecond, 12}, {FaultCutIntake, intakeCutsPerSecond, 13},
}

// planWorkerFaults generates faults of one kind on workers, perSecond on average. They come from a random stream of their own, so that
// the other faults of a seed stay what they were before there was this kind.
func planWorkerFaults(kind FaultKind, perSecond float64, seed, stream uint64, size Size, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, stream))
	var faults []Fault
	for at := time.Second; at < length; at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)) {
		faults = append(faults, Fault{Kind: kind, At: at, Duration: randomDuration(r), Subject: r.IntN(size.Workers), Other: r.IntN(1 << 16)})
	}
	return faults
}

// injectPlan injects the faults of a plan and returns once all of them are over.
func (d *Deployment) injectPlan(ctx context.Context, plan []Fault, log zerolog.Logger) {
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
			if f.Kind != FaultShrinkWorker { // disturbs no process and no link
				d.checker.FaultStarted(f.Kind)
				defer d.checker.FaultEnded(f.Kind)
			}
			log.Info().Str("event", "fault").Str("kind", string(f.Kind)).Int("subject", f.Subject).Int("other", f.Other).Dur("for_ms", f.Duration).Msg("")
			if err := d.injectFault(ctx, f); err != nil {
				d.checker.ReportViolation(PromiseRuns, "%v: %v", f, err)
			}
			log.Info().Str("event", "fault-over").Str("kind", string(f.Kind)).Int("subject", f.Subject).Msg("")
		}()
	}
	active.Wait()
}

// linkDelay returns the delay of slow links and connections.
func (f Fault) linkDelay() time.Duration { return time.Duration(10+f.Other%300) * time.Millisecond }

// injectFault injects a fault and returns once it is over.
func (d *Deployment) injectFault(ctx context.Context, f Fault) error {
	if f.Kind.affectsWorker() {
		return d.injectWorkerFault(ctx, f, d.hosts[f.Subject])
	}
	switch f.Kind {
	case FaultCutPair, FaultCutOneWay, FaultSlowPeers, FaultIsolate:
		d.injectPeerFault(ctx, f)
		return nil
	case FaultCutWorkers:
		d.injectCut(ctx, f)
		return nil
	case FaultRestartCut:
		return d.injectRestartCut(ctx, f)
	case FaultLeaveCut:
		return d.injectLeaveCut(ctx, f)
	case FaultCutIntake:
		return d.injectIntakeCut(ctx, f)
	case FaultResetFront, FaultSilentFront, FaultSlowFront:
		d.injectProxyFault(ctx, f, d.vms[f.Subject].clientProxy)
		return nil
	}
	return d.injectVMFault(ctx, f, d.vms[f.Subject])
}

// isPlanned reports whether a kind is a planned operation, which must interrupt no request.
func (k FaultKind) isPlanned() bool { return k == FaultStop || k == FaultReload }

func (d *Deployment) injectVMFault(ctx context.Context, f Fault, v *vm) error {
	if !f.Kind.isPlanned() {
		v.recordFault(true)
		defer v.recordFault(false)
	}
	switch f.Kind {
	case FaultKill:
		v.kill()
		sleep(ctx, f.Duration)
		return v.start()
	case FaultKillControls:
		return d.restartControls(ctx, f.Duration/2)
	case FaultStop:
		v.stop()
		sleep(ctx, f.Duration)
		return v.start()
	case FaultPause:
		v.signal(syscall.SIGSTOP, false)
		sleep(ctx, f.Duration)
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
		sleep(ctx, f.Duration)
		return v.start()
	case FaultDiskFull:
		v.limitFileSize(true)
		sleep(ctx, f.Duration)
		v.limitFileSize(false)
	default:
		return fmt.Errorf("unknown kind of fault %q", f.Kind)
	}
	return nil
}

// restartControls kills all control VMs at once and starts them again after a downtime.
func (d *Deployment) restartControls(ctx context.Context, downtime time.Duration) error {
	for _, v := range d.controls() {
		v.signal(syscall.SIGKILL, true)
	}
	for _, v := range d.controls() {
		v.kill()
	}
	sleep(ctx, downtime)
	for _, v := range d.controls() {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the addresses of the control VMs whose bits are set in choice, and of at least one.
func (d *Deployment) seeds(choice int) []string {
	var list []string
	for i, v := range d.controls() {
		if choice&(1<<i) != 0 || i == choice%d.options.Size.Controls {
			list = append(list, fmt.Sprintf("%s:%d", v.id, controlPort))
		}
	}
	return list
}

func (d *Deployment) injectPeerFault(ctx context.Context, f Fault) {
	v := d.vms[f.Subject]
	others := []*vm{d.vms[f.Other%len(d.vms)]}
	if f.Kind == FaultIsolate {
		others = d.vms
	}
	set := func(cutTo, cutFrom bool, delay time.Duration) {
		for _, other := range others {
			if other != v {
				setLinkPair(v, other, cutTo, cutFrom, delay)
			}
		}
	}
	switch f.Kind {
	case FaultCutOneWay:
		set(true, false, 0)
	case FaultSlowPeers:
		set(false, false, f.linkDelay())
	default:
		set(true, true, 0)
	}
	sleep(ctx, f.Duration)
	set(false, false, 0)
}

// injectProxyFault resets, silences or delays the connections through a proxy.
func (d *Deployment) injectProxyFault(ctx context.Context, f Fault, p *netfault.Proxy) {
	switch f.Kind {
	case FaultResetFront, FaultResetWorker:
		p.Reset()
		return
	case FaultSilentFront, FaultSilentWorker:
		p.Set(netfault.State{CutTo: true, CutFrom: true})
	case FaultMuteWorker:
		p.Set(netfault.State{CutFrom: true})
	default:
		p.Set(netfault.State{Delay: f.linkDelay()})
	}
	sleep(ctx, f.Duration)
	p.Set(netfault.State{})
}

func (d *Deployment) injectWorkerFault(ctx context.Context, f Fault, h *host) error {
	switch f.Kind {
	case FaultCrashWorker:
		h.crash()
		sleep(ctx, f.Duration)
		return h.start("")
	case FaultReuseWorker:
		id := h.crash()
		sleep(d.ctx, f.Duration/4)
		return h.start(id)
	case FaultLeaveWorker:
		h.drainAndStop()
		sleep(ctx, f.Duration)
		return h.start("")
	case FaultUnavailableWorker:
		if w := h.currentIncarnation(); w != nil {
			w.update(func(w *incarnation) { w.refusesStarts = true })
			sleep(ctx, f.Duration)
			w.update(func(w *incarnation) { w.refusesStarts = false })
		}
		return nil
	case FaultOddReports:
		h.sendOddReports(ctx, f)
		return nil
	case FaultShrinkWorker:
		if w := h.currentIncarnation(); w != nil {
			h.resize(w, workerSize(1+f.Other%(fullSize-1)))
			sleep(ctx, f.Duration)
			h.resize(w, workerSize(fullSize))
		}
		return nil
	}
	d.injectProxyFault(ctx, f, h.proxy)
	return nil
}

// clearFaults ends all faults but cuts until the end: it starts the processes and workers that are down and restores all links.
func (d *Deployment) clearFaults() error {
	for _, v := range d.vms {
		v.signal(syscall.SIGCONT, false)
		v.clientProxy.Set(netfault.State{})
		for _, l := range v.links {
			l.Set(netfault.State{})
		}
		v.limitFileSize(false)
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if h.proxy != nil {
			h.proxy.Set(netfault.State{})
		}
		h.cutOff(netfault.State{}, false)
		if err := h.start(""); err != nil {
			return err
		}
		h.endUnknownCut()
	}
	return nil
}
