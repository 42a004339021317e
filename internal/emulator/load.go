package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/platform"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 2 * time.Second
	// retryPause is the time until a caller or the operator tries again at another VM.
	retryPause = 150 * time.Millisecond
	// pollInterval is the time between two questions for the state of a submission.
	pollInterval = 250 * time.Millisecond
	// keepConnections is the number of open connections that callers keep to each intake VM.
	keepConnections = 64
	// lossSlack is the time for which a request may be lost that meets a connection about to close.
	lossSlack = 200 * time.Millisecond
)

// load plays callers and the operator.
type load struct {
	d       *Deployment
	checker *Checker
	peer    *platform.APIClient
	random  *rand.Rand // owned by the goroutine that calls submissions
	work    sync.WaitGroup

	mu        sync.Mutex
	version   uint64
	unsettled map[string]func() // how to ask for or cancel a submission once more
}

func newLoad(d *Deployment, seed uint64) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: keepConnections, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	return &load{d: d, checker: d.checker, peer: &platform.APIClient{Client: &http.Client{Transport: transport}}, random: rand.New(rand.NewPCG(seed, 1)),
		unsettled: map[string]func(){}}
}

// queues are those of the configuration; the first is always there.
func queues() []*pb.Queue {
	return []*pb.Queue{
		{Name: "urgent", Host: "a.example", Prefix: "/urgent/", Pool: poolGuarded, Priority: 0, Attempts: 3, Stretch: 1.5, ObjectiveMs: 500, TimeoutMs: 3000},
		{Name: "batch", Host: "a.example", Prefix: "/batch/", Pool: poolGuarded, Priority: 2, Attempts: 3, Stretch: 3, ObjectiveMs: 3000, TimeoutMs: 3000},
		{Name: "other", Host: "b.example", Prefix: "/other/", Pool: poolTrusting, Priority: 1, Attempts: 2, Stretch: 3, ObjectiveMs: 3000, TimeoutMs: 3000},
	}
}

// config returns a configuration. Versions differ in a queue that nobody uses.
func config(version uint64) *pb.ServiceConfig {
	extra := &pb.Queue{Name: "extra", Host: "c.example", Prefix: fmt.Sprintf("/v%d/", version), Pool: poolGuarded, Attempts: 1, Stretch: 1, TimeoutMs: 1000}
	return &pb.ServiceConfig{Version: version, Queues: append(queues(), extra),
		Pools:  []*pb.Pool{{Name: poolGuarded, Guards: true}, {Name: poolTrusting}},
		Limits: &pb.IntakeLimits{HeaderBytes: 16384, BodyBytes: 262144, HeaderMs: 3000, IdleMs: 15000}}
}

// submissions hands in submissions at the rate until ctx ends.
func (l *load) submissions(ctx context.Context, rate float64) {
	for {
		pause := time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		q, spec, failures := l.draw()
		c := &caller{load: l, queue: q, spec: spec, failures: failures, cancels: l.random.Float64() < cancelShare || spec.GetSteps()[0].GetEndless(),
			patience: time.Duration(1+l.random.IntN(4000)) * time.Millisecond, random: rand.New(rand.NewPCG(l.random.Uint64(), 2))}
		l.work.Add(1)
		go func() { defer l.work.Done(); c.run(ctx) }()
	}
}

// cancelShare is the share of submissions that their callers cancel.
const cancelShare = 0.1

// draw returns the next submission and the number of attempts of each of its tasks that fail.
func (l *load) draw() (*pb.Queue, *pb.SubmissionSpec, uint32) {
	r := l.random
	q := queues()[r.IntN(3)]
	id := fmt.Sprintf("%016x", r.Uint64())
	spec := &pb.SubmissionSpec{Id: id, Payload: "work of " + id}
	step := func(count uint32, after ...uint32) *pb.Step {
		return &pb.Step{Count: count * uint32(max(l.d.options.Size.Width, 1)), EstimateMs: 50 + r.Int64N(450), After: after, Checkpoints: r.IntN(3) == 0,
			Size: &pb.Resources{Millicores: 250 + 250*r.Int64N(4), MemoryBytes: 100_000_000}}
	}
	switch kind := r.IntN(10); {
	case kind < 5:
		spec.Steps = []*pb.Step{step(1 + r.Uint32N(3))}
	case kind < 8:
		spec.Steps = []*pb.Step{step(1 + r.Uint32N(2)), step(1+r.Uint32N(3), 0), step(1, 0, 1)}
	case kind < 9:
		spec.Steps = []*pb.Step{step(1)}
		spec.Occurrences, spec.FirstDueUnixMs, spec.IntervalMs = 3, time.Now().Add(time.Second).UnixMilli(), 700
	default:
		lasting := step(1 + r.Uint32N(2))
		lasting.Endless = true
		spec.Steps = []*pb.Step{lasting}
	}
	failures := uint32(0)
	switch r.IntN(20) {
	case 0:
		failures = q.GetAttempts() + 1
	case 1, 2:
		failures = 1
	}
	return q, spec, failures
}

// caller hands in one submission and follows it.
type caller struct {
	load     *load
	queue    *pb.Queue
	spec     *pb.SubmissionSpec
	failures uint32
	cancels  bool
	patience time.Duration
	random   *rand.Rand
}

// run hands the submission in, cancels it or asks for its state until it has ended or ctx ends.
func (c *caller) run(ctx context.Context) {
	accepted := false
	for try := 0; !accepted && try < 40 && ctx.Err() == nil; try++ {
		if accepted = c.submit(ctx) == OutcomeAccepted; !accepted {
			sleep(ctx, retryPause)
		}
	}
	c.load.remember(c.spec.GetId(), c.settle)
	if c.cancels {
		sleep(ctx, c.patience)
		for !c.cancel() && ctx.Err() == nil {
			sleep(ctx, retryPause)
		}
	}
	for accepted && ctx.Err() == nil {
		sleep(ctx, pollInterval)
		if state := c.ask(); state == "done" || state == "failed" || state == "cancelled" {
			return
		}
	}
}

// settle asks for the state of the submission once, after it has been cancelled if it lasts.
func (c *caller) settle() {
	if c.cancels {
		c.cancel()
	}
	c.ask()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// pick returns an intake VM.
func (c *caller) pick() *vm {
	intakes := c.load.d.intakes()
	return intakes[c.random.IntN(len(intakes))]
}

// call makes a call through an intake VM and checks that a stop or reload of the VM does not break it off.
func (c *caller) call(what string, f func(ctx context.Context, address string) error) error {
	v := c.pick()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent := time.Now()
	harmless := v.undisturbed(sent)
	err := f(ctx, v.front.Addr())
	var status *platform.StatusError
	if err != nil && !errors.As(err, &status) && ctx.Err() == nil && time.Since(sent) > lossSlack && harmless && v.undisturbed(sent) {
		c.load.checker.Break(PromiseAnswered, "%s of %s at %s was broken off after %v: %v", what, c.spec.GetId(), v.id, time.Since(sent), err)
	}
	return err
}

func (c *caller) submit(ctx context.Context) Outcome {
	l, id := c.load, c.spec.GetId()
	l.checker.Submitting(c.queue, c.spec, c.failures)
	err := c.call("submission", func(ctx context.Context, address string) error { return l.peer.Submit(ctx, address, c.queue, c.spec) })
	var status *platform.StatusError
	outcome := OutcomeUnknown
	switch {
	case err == nil:
		outcome = OutcomeAccepted
	case errors.As(err, &status) && status.NotRun():
		outcome = OutcomeNotRun
	}
	if l.d.options.Sabotage == SabotageRefused && outcome == OutcomeAccepted {
		l.checker.Submitted(id, OutcomeNotRun)
		return OutcomeAccepted
	}
	l.checker.Submitted(id, outcome)
	return outcome
}

func (c *caller) ask() string {
	l, id, asked := c.load, c.spec.GetId(), time.Now()
	var state string
	err := c.call("question", func(ctx context.Context, address string) (err error) {
		state, err = l.peer.State(ctx, address, c.queue, id)
		return err
	})
	var status *platform.StatusError
	switch {
	case err == nil:
		l.checker.Shown(id, state, asked)
	case errors.As(err, &status) && status.Absent():
		l.checker.Absent(id, asked)
	}
	return state
}

func (c *caller) cancel() bool {
	l, id := c.load, c.spec.GetId()
	l.checker.CancelSent(id)
	err := c.call("cancel", func(ctx context.Context, address string) error { return l.peer.Cancel(ctx, address, c.queue, id) })
	var status *platform.StatusError
	if err == nil || errors.As(err, &status) && status.Absent() {
		l.checker.CancelAcked(id)
		return true
	}
	return false
}

func (l *load) remember(id string, settle func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsettled[id] = settle
}

// settleAll asks once more for submissions that have not ended, a few at a time.
func (l *load) settleAll(ids []string) {
	const atOnce = 16
	for chunk := range slices.Chunk(ids, atOnce) {
		var asked sync.WaitGroup
		for _, id := range chunk {
			l.mu.Lock()
			settle := l.unsettled[id]
			l.mu.Unlock()
			if settle != nil {
				asked.Add(1)
				go func() { defer asked.Done(); settle() }()
			}
		}
		asked.Wait()
	}
}

// operate sends configurations, at times two at once, an invalid one and an old one, and reads them back, until ctx ends.
func (l *load) operate(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		l.mu.Lock()
		l.version += 1 + random.Uint64N(3)
		version := l.version
		l.mu.Unlock()
		switch random.IntN(6) {
		case 0:
			l.putInvalid(version)
		case 1:
			l.put(ctx, max(version, 4)-3) // an older change arrives again
		default:
			l.put(ctx, version)
		}
		l.read(random.IntN(len(l.d.controls())))
		sleep(ctx, time.Duration(random.IntN(800))*time.Millisecond)
	}
}

// put sends a configuration to one control VM after the other until it is acknowledged.
func (l *load) put(ctx context.Context, version uint64) {
	l.checker.ConfigSending(version)
	for try := 0; ctx.Err() == nil; try++ {
		callCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		v := l.d.controls()[(int(version)+try)%len(l.d.controls())]
		err := l.peer.PutConfig(callCtx, v.front.Addr(), config(version))
		cancel()
		var status *platform.StatusError
		switch {
		case err == nil:
			l.checker.ConfigAcked(version, true)
			return
		case errors.As(err, &status) && status.Invalid():
			l.checker.Break(PromiseConfig, "the valid configuration %d was refused: %v", version, err)
			return
		}
		sleep(ctx, retryPause)
	}
}

// putInvalid sends a configuration with a queue of an unknown pool.
func (l *load) putInvalid(version uint64) {
	invalid := config(version)
	invalid.Queues[0].Pool = "unknown"
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.peer.PutConfig(ctx, l.d.controls()[int(version)%len(l.d.controls())].front.Addr(), invalid); err == nil {
		l.checker.ConfigAcked(version, false)
	}
}

// read reads the configuration from a control VM and returns its version, or 0 if there was no answer.
func (l *load) read(control int) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	acked := l.checker.ConfigAckedNow()
	c, err := l.peer.GetConfig(ctx, l.d.controls()[control].front.Addr())
	if err != nil {
		return 0
	}
	version := c.GetVersion()
	if l.d.options.Sabotage == SabotageConfig && version > 0 {
		version--
	}
	l.checker.ConfigRead(version, acked)
	return version
}
