package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Sabotage names a way in which the emulator breaks a promise itself, to show that the checker notices.
type Sabotage string

// The ways of sabotage. Most bear the name of the promise that they break.
const (
	SabotageNone      Sabotage = ""
	SabotageOnce      Sabotage = "once"      // workers report a run as lost and go on with it
	SabotageOrder     Sabotage = "order"     // workers report a run as finished when it starts
	SabotageState     Sabotage = "state"     // the same; the submission is then shown as done too early
	SabotageBudget    Sabotage = "budget"    // workers report failed runs as lost
	SabotageAsked     Sabotage = "asked"     // workers see a payload that nobody sent
	SabotagePlace     Sabotage = "place"     // workers have less room than they report
	SabotageRefused   Sabotage = "refused"   // callers take accepted submissions as refused
	SabotageCancelled Sabotage = "cancelled" // workers do not stop what they are told to stop
	SabotageKept      Sabotage = "kept"      // all control VMs lose their disks
	SabotageConfig    Sabotage = "config"    // configurations are read one version too old
	SabotageAnswered  Sabotage = "answered"  // connections to intake VMs break without a fault
	SabotageRuns      Sabotage = "runs"      // a process is killed without a fault
	SabotageReady     Sabotage = "ready"     // an intake VM stays away after the last fault
)

const (
	// startTimeout bounds the time until a new deployment has a configuration.
	startTimeout = 20 * time.Second
	// readyBound is the time after the last fault within which the system serves again.
	readyBound = 12 * time.Second
	// finishBound is the time after the last fault within which all submissions end.
	finishBound = 30 * time.Second
)

// Run is one run with faults.
type Run struct {
	Options
	Seed   uint64
	Length time.Duration
	// Faults replaces the plan that the seed gives, unless it is nil.
	Faults []Fault
	// FinishBound replaces finishBound if it is not 0.
	FinishBound time.Duration
	Log         zerolog.Logger
}

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Faults     []Fault
	Violations []Violation
	Stats      Stats
	// Ready and Finished are the times from the last fault until the system served and until all submissions had ended.
	Ready, Finished time.Duration
	Series          *Series
}

// Do plays the run.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	checker := NewChecker()
	d, err := Start(r.Options, checker)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err := d.Close(); err != nil {
			r.Log.Error().Err(err).Msg("close")
		}
	}()
	if r.FinishBound == 0 {
		r.FinishBound = finishBound
	}
	l := newLoad(d, r.Seed)
	if err := l.begin(ctx); err != nil {
		return nil, err
	}
	if r.Faults == nil {
		r.Faults = Plan(r.Seed, r.Size, r.Length)
	}
	playing, end := context.WithTimeout(ctx, r.Length)
	defer end()
	var parts sync.WaitGroup
	for _, part := range []func(){
		func() { l.submissions(playing, r.Rate) },
		func() { l.operate(playing, rand.New(rand.NewPCG(r.Seed, 4))) },
		func() { l.operate(playing, rand.New(rand.NewPCG(r.Seed, 5))) },
		func() { d.inject(playing, r.Faults, r.Log) },
		func() { d.sabotage(playing) },
	} {
		parts.Add(1)
		go func() { defer parts.Done(); part() }()
	}
	parts.Wait()
	result := &Result{Seed: r.Seed, Faults: r.Faults}
	if err := d.heal(); err != nil {
		checker.Break(PromiseRuns, "after the last fault: %v", err)
	}
	if r.Sabotage == SabotageReady {
		d.intakes()[0].kill()
	}
	healed := time.Now()
	checker.FaultBegins() // the pause in which the system settles
	checker.FaultEnds()
	result.Ready = l.awaitReady(ctx, healed)
	l.work.Wait()
	result.Finished = l.awaitFinished(ctx, healed, r.FinishBound)
	result.Violations, result.Stats, result.Series = checker.Violations(), checker.Stats(), checker.Series(r.Faults)
	return result, ctx.Err()
}

// begin sends the first configuration until it is acknowledged and waits until the intake VMs are ready.
func (l *load) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	l.version = 1
	l.put(ctx, l.version)
	for l.notReady(ctx) != nil {
		if ctx.Err() != nil {
			return fmt.Errorf("the deployment does not start within %v: %w; see the logs in %s", startTimeout, l.notReady(context.Background()), l.d.options.Folder)
		}
		sleep(ctx, retryPause)
	}
	return nil
}

// notReady returns why an intake VM does not serve yet.
func (l *load) notReady(ctx context.Context) error {
	for _, v := range l.d.intakes() {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := l.peer.Ready(callCtx, v.ready)
		cancel()
		if err != nil {
			return fmt.Errorf("%s: %w", v.id, err)
		}
	}
	return nil
}

// awaitReady waits until all intake VMs are ready and the configuration is read back from every control VM.
func (l *load) awaitReady(ctx context.Context, healed time.Time) time.Duration {
	for ctx.Err() == nil {
		problem := l.notReady(ctx)
		for i := range l.d.controls() {
			if problem == nil && l.read(i) == 0 {
				problem = fmt.Errorf("%s does not give the configuration", l.d.controls()[i].id)
			}
		}
		took := time.Since(healed)
		if problem == nil {
			return took
		}
		if took > readyBound {
			l.checker.Break(PromiseReady, "%v after the last fault: %v", took, problem)
			return took
		}
		sleep(ctx, retryPause)
	}
	return time.Since(healed)
}

// awaitFinished asks for submissions until all have ended.
func (l *load) awaitFinished(ctx context.Context, healed time.Time, bound time.Duration) time.Duration {
	for ctx.Err() == nil {
		unsettled := l.checker.Unsettled()
		took := time.Since(healed)
		if len(unsettled) == 0 {
			return took
		}
		var ids []string
		for _, u := range unsettled {
			if ids = append(ids, u.id); took > bound {
				l.checker.Break(u.promise, "%v after the last fault %s %s", took.Truncate(time.Millisecond), u.id, u.problem)
			}
		}
		if took > bound {
			return took
		}
		l.settleAll(ids)
		sleep(ctx, retryPause)
	}
	return time.Since(healed)
}

// sabotage carries out what the options ask for, half-way through the run.
func (d *Deployment) sabotage(ctx context.Context) {
	const until = 3 * time.Second
	sleep(ctx, until)
	switch d.options.Sabotage {
	case SabotageKept:
		for _, v := range d.controls() {
			v.kill()
			if err := v.wipe(); err != nil {
				d.checker.Break(PromiseReady, "%v", err)
			}
			v.firstStart = true
			if err := v.writeSettings(d.seeds(-1)); err != nil {
				d.checker.Break(PromiseReady, "%v", err)
			}
		}
		for _, v := range d.controls() {
			if err := v.start(); err != nil {
				d.checker.Break(PromiseReady, "%v", err)
			}
		}
	case SabotageAnswered:
		d.intakes()[0].front.AbortAnswers(2 * lossSlack)
		sleep(ctx, 5*lossSlack)
		d.intakes()[0].front.AbortAnswers(0)
	case SabotageRuns:
		d.vms[0].mu.Lock()
		if p := d.vms[0].process; p != nil {
			_ = p.cmd.Process.Kill() // one that has ended shows as well
		}
		d.vms[0].mu.Unlock()
	}
}
