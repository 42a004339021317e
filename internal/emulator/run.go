// Package emulator runs a whole deployment on one machine: the real programs as processes, and emulated workers, callers
// and an operator that connect to them. It injects faults and checks the guarantees of the system.
package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Sabotage names a way in which the emulator deliberately breaks a guarantee, to show that the checker detects it.
type Sabotage string

// The kinds of sabotage. Each but SabotageNone and SabotageShrink is named after the guarantee that it breaks.
const (
	SabotageNone      Sabotage = ""
	SabotageOnce      Sabotage = "once"      // workers report a run as lost and continue it
	SabotageOrder     Sabotage = "order"     // workers report a run as finished when it starts
	SabotageState     Sabotage = "state"     // the same; the state of the submission is then returned as done too early
	SabotageBudget    Sabotage = "budget"    // workers report failed runs as lost
	SabotageCrashes   Sabotage = "crashes"   // workers that a task crashes report its run as lost instead, and go on
	SabotageAsked     Sabotage = "asked"     // workers receive a modified payload
	SabotagePlace     Sabotage = "place"     // workers have less capacity than they report
	SabotageShrink    Sabotage = "shrink"    // workers shrink and do not report it
	SabotageRefused   Sabotage = "refused"   // callers record accepted submissions as refused
	SabotageCancelled Sabotage = "cancelled" // workers do not stop what they are told to stop
	SabotageKept      Sabotage = "kept"      // all control VMs lose their disks
	SabotageConfig    Sabotage = "config"    // reads report a version one lower than the one read
	SabotageAnswered  Sabotage = "answered"  // connections to intake VMs break without a fault
	SabotageHeld      Sabotage = "held"      // workers end their leases without notice
	SabotageRuns      Sabotage = "runs"      // a process is killed without a fault
	SabotageReady     Sabotage = "ready"     // an intake VM is killed after the last fault
)

const (
	// startTimeout bounds the time until a new deployment has a configuration.
	startTimeout = 20 * time.Second
	// readyBound is the time after the last fault within which the system must be ready again.
	readyBound = 12 * time.Second
	// finishBound is the time after the last fault within which all submissions must end.
	finishBound = 30 * time.Second
)

// Run describes a run of a deployment under load and faults.
type Run struct {
	Options
	Seed   uint64
	Length time.Duration
	// Faults replaces the plan generated from the seed, unless it is nil.
	Faults []Fault
	// FinishBound replaces finishBound if it is not 0.
	FinishBound time.Duration
	Log         zerolog.Logger
}

// Result holds the outcome of a run.
type Result struct {
	Seed       uint64
	Faults     []Fault
	Violations []Violation
	Stats      Stats
	// Ready and Finished are the times from the last fault until the system was ready and until all submissions had ended.
	Ready, Finished time.Duration
	Series          *Series
}

// Execute starts a deployment, runs load and faults against it, and waits for it to recover.
func (r *Run) Execute(ctx context.Context) (*Result, error) {
	checker := NewChecker()
	d, err := Start(r.Options, checker)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err := d.Close(); err != nil {
			r.Log.Error().Err(err).Msg("closing the deployment failed")
		}
	}()
	if r.FinishBound == 0 {
		r.FinishBound = finishBound
	}
	l := newLoadGenerator(d, r.Seed)
	if err := l.awaitStart(ctx); err != nil {
		return nil, err
	}
	if err := d.endFirstStart(); err != nil {
		return nil, err
	}
	if r.Faults == nil {
		r.Faults = Plan(r.Seed, r.Size, r.Length)
	}
	r.applyLoadAndFaults(ctx, d, l)
	return r.awaitRecovery(ctx, d, l), ctx.Err()
}

// applyLoadAndFaults runs the callers, the operators, the faults and the sabotage for the length of the run.
func (r *Run) applyLoadAndFaults(ctx context.Context, d *Deployment, l *loadGenerator) {
	ctx, cancel := context.WithTimeout(ctx, r.Length)
	defer cancel()
	var activities sync.WaitGroup
	for _, activity := range []func(){
		func() { l.startLasting(ctx) },
		func() { l.runCallers(ctx, r.Rate) },
		func() { l.runOperator(ctx, rand.New(rand.NewPCG(r.Seed, 4))) },
		func() { l.runOperator(ctx, rand.New(rand.NewPCG(r.Seed, 5))) },
		func() { d.injectPlan(ctx, r.Faults, r.Log) },
		func() { d.applySabotage(ctx) },
	} {
		activities.Go(activity)
	}
	activities.Wait()
}

// awaitRecovery ends the faults, waits until the system is ready and all submissions have ended, and returns the outcome of the run.
func (r *Run) awaitRecovery(ctx context.Context, d *Deployment, l *loadGenerator) *Result {
	checker, result := d.checker, &Result{Seed: r.Seed, Faults: r.Faults}
	if err := d.clearFaults(); err != nil {
		checker.ReportViolation(PromiseRuns, "after the last fault: %v", err)
	}
	if r.Sabotage == SabotageReady {
		d.intakes()[0].kill()
	}
	faultsCleared := time.Now()
	checker.FaultStarted(FaultCutWorkers) // restarts the settle time
	checker.FaultEnded(FaultCutWorkers)
	result.Ready = l.awaitReady(ctx, faultsCleared)
	l.callers.Wait()
	result.Finished = l.awaitFinished(ctx, faultsCleared, r.FinishBound)
	result.Violations, result.Stats, result.Series = checker.Violations(), checker.Stats(), checker.Series(r.Faults)
	return result
}

// awaitStart sends the first configuration until it is acknowledged and waits until the intake VMs are ready.
func (l *loadGenerator) awaitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	l.lastVersion = 1
	l.putConfig(ctx, l.lastVersion)
	for l.checkReady(ctx) != nil {
		if ctx.Err() != nil {
			return fmt.Errorf("deployment not ready within %v: %w; see the logs in %s", startTimeout, l.checkReady(context.Background()), l.deployment.options.Folder)
		}
		sleep(ctx, retryDelay)
	}
	return nil
}

// checkReady returns an error if an intake VM is not ready.
func (l *loadGenerator) checkReady(ctx context.Context) error {
	for _, v := range l.deployment.intakes() {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := l.client.Ready(callCtx, v.readyAddress)
		cancel()
		if err != nil {
			return fmt.Errorf("%s: %w", v.id, err)
		}
	}
	return nil
}

// awaitReady waits until all intake VMs are ready and the configuration is read back from every control VM.
func (l *loadGenerator) awaitReady(ctx context.Context, faultsCleared time.Time) time.Duration {
	for ctx.Err() == nil {
		problem := l.checkReady(ctx)
		for i := range l.deployment.controls() {
			if problem == nil && l.readConfig(i) == 0 {
				problem = fmt.Errorf("%s does not return the configuration", l.deployment.controls()[i].id)
			}
		}
		took := time.Since(faultsCleared)
		if problem == nil {
			return took
		}
		if took > readyBound {
			l.checker.ReportViolation(PromiseReady, "%v after the last fault: %v", took, problem)
			return took
		}
		sleep(ctx, retryDelay)
	}
	return time.Since(faultsCleared)
}

// awaitFinished polls the unfinished submissions until all have ended or the bound has passed. It returns the time since
// the faults were cleared.
func (l *loadGenerator) awaitFinished(ctx context.Context, faultsCleared time.Time, bound time.Duration) time.Duration {
	for ctx.Err() == nil {
		unfinished := l.checker.Unfinished()
		took := time.Since(faultsCleared)
		if len(unfinished) == 0 {
			return took
		}
		var ids []string
		for _, u := range unfinished {
			if ids = append(ids, u.id); took > bound {
				l.checker.ReportViolation(u.promise, "%v after the last fault %s %s", took.Truncate(time.Millisecond), u.id, u.problem)
			}
		}
		if took > bound {
			return took
		}
		l.pollAll(ids)
		sleep(ctx, retryDelay)
	}
	return time.Since(faultsCleared)
}

// applySabotage carries out the sabotage of the options that acts on VMs, 3 s into the run.
func (d *Deployment) applySabotage(ctx context.Context) {
	const delay = 3 * time.Second
	sleep(ctx, delay)
	switch d.options.Sabotage {
	case SabotageKept:
		for _, v := range d.controls() {
			v.kill()
			if err := v.wipe(); err != nil {
				d.checker.ReportViolation(PromiseReady, "%v", err)
			}
			v.firstStart = true
			if err := v.writeSettings(d.seeds(-1)); err != nil {
				d.checker.ReportViolation(PromiseReady, "%v", err)
			}
		}
		for _, v := range d.controls() {
			if err := v.start(); err != nil {
				d.checker.ReportViolation(PromiseReady, "%v", err)
			}
		}
	case SabotageAnswered:
		d.intakes()[0].clientProxy.AbortAnswers(2 * resetTolerance)
		sleep(ctx, 5*resetTolerance)
		d.intakes()[0].clientProxy.AbortAnswers(0)
	case SabotageHeld:
		for _, h := range d.hosts {
			h.currentIncarnation().update((*incarnation).endLease)
		}
	case SabotageRuns:
		d.vms[0].mu.Lock()
		if p := d.vms[0].process; p != nil {
			_ = p.cmd.Process.Kill() // an error means that it has exited already, which is detected as well
		}
		d.vms[0].mu.Unlock()
	}
}
