package emulator

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/netfault"
)

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
	case FaultLeaveRefused:
		return d.injectLeaveRefused(ctx, f)
	case FaultCutIntake:
		return d.injectIntakeCut(ctx, f)
	case FaultResetFront, FaultSilentFront, FaultSlowFront:
		d.injectProxyFault(ctx, f, d.vms[f.Subject].clientProxy)
		return nil
	}
	return d.injectVMFault(ctx, f, d.vms[f.Subject])
}

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
