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
	// retryDelay is the time between attempts of a caller, the operator or a readiness check.
	retryDelay = 150 * time.Millisecond
	// pollInterval is the time between two queries for the state of a submission.
	pollInterval = 250 * time.Millisecond
	// maxIdleCallerConns is the number of idle connections to each VM that all callers share.
	maxIdleCallerConns = 64
	// resetTolerance is the time after sending within which a failed request is no violation: it may have used a connection
	// that the VM was closing.
	resetTolerance = 200 * time.Millisecond
)

// loadGenerator acts as the callers and the operator.
type loadGenerator struct {
	deployment *Deployment
	checker    *Checker
	client     *platform.APIClient
	random     *rand.Rand // owned by the goroutine that calls runCallers
	// crashRandom chooses the submissions that crash workers. It is separate, so that they leave the load of a seed as it is.
	crashRandom *rand.Rand
	// lastingRandom draws the ids of the submissions that last.
	lastingRandom *rand.Rand
	callers       sync.WaitGroup

	mu          sync.Mutex
	lastVersion uint64
	polls       map[string]func() // by submission: queries its state once, after a repeated cancel if it is to be cancelled
}

func newLoadGenerator(d *Deployment, seed uint64) *loadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleCallerConns, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	return &loadGenerator{deployment: d, checker: d.checker, client: &platform.APIClient{Client: &http.Client{Transport: transport}}, random: rand.New(rand.NewPCG(seed, 1)),
		crashRandom: rand.New(rand.NewPCG(seed, 6)), lastingRandom: rand.New(rand.NewPCG(seed, 11)),
		polls: map[string]func(){}}
}

// queues returns the queues that every valid configuration contains.
func queues() []*pb.Queue {
	return []*pb.Queue{
		{Name: "urgent", Host: "a.example", Prefix: "/urgent/", Pool: poolGuarded, Priority: 0, Attempts: 3, Stretch: 1.5, ObjectiveMs: 500, TimeoutMs: 3000},
		{Name: "batch", Host: "a.example", Prefix: "/batch/", Pool: poolGuarded, Priority: 2, Attempts: 3, Stretch: 3, ObjectiveMs: 3000, TimeoutMs: 3000},
		{Name: "other", Host: "b.example", Prefix: "/other/", Pool: poolTrusting, Priority: 1, Attempts: 2, Stretch: 3, ObjectiveMs: 3000, TimeoutMs: 3000},
	}
}

// newConfig returns a valid configuration. Versions differ only in a queue that no caller uses.
func newConfig(version uint64) *pb.ServiceConfig {
	extra := &pb.Queue{Name: "extra", Host: "c.example", Prefix: fmt.Sprintf("/v%d/", version), Pool: poolGuarded, Attempts: 1, Stretch: 1, TimeoutMs: 1000}
	return &pb.ServiceConfig{Version: version, Queues: append(queues(), extra),
		Pools:  []*pb.Pool{{Name: poolGuarded, Guards: true}, {Name: poolTrusting}},
		Limits: &pb.IntakeLimits{HeaderBytes: 16384, BodyBytes: 262144, HeaderMs: 3000, IdleMs: 15000}}
}

// runCallers starts callers at the given rate per second until ctx ends.
func (l *loadGenerator) runCallers(ctx context.Context, rate float64) {
	for {
		delay := time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		q, spec, failures := l.randomSubmission()
		c := &caller{generator: l, queue: q, spec: spec, behaviour: behaviour{failingAttempts: failures}, willCancel: l.random.Float64() < cancelProbability || spec.GetSteps()[0].GetEndless(),
			cancelAfter: time.Duration(1+l.random.IntN(4000)) * time.Millisecond, random: rand.New(rand.NewPCG(l.random.Uint64(), 2))}
		c.crashesWorkers = l.crashRandom.Float64() < l.deployment.options.CrashingShare && !spec.GetSteps()[0].GetEndless() && spec.GetOccurrences() == 0
		l.callers.Add(1)
		go func() { defer l.callers.Done(); c.run(ctx) }()
	}
}

// startLasting hands in the endless tasks that must run until the end.
func (l *loadGenerator) startLasting(ctx context.Context) {
	for i, q := range queues() {
		if l.deployment.options.LastingTasks == 0 {
			return
		}
		id := fmt.Sprintf("%016x", l.lastingRandom.Uint64())
		spec := &pb.SubmissionSpec{Id: id, Payload: "work of " + id, Steps: []*pb.Step{{Count: l.deployment.options.LastingTasks, Endless: true, EstimateMs: 100,
			Size: &pb.Resources{Millicores: 250, MemoryBytes: 100_000_000}}}}
		c := &caller{generator: l, queue: q, spec: spec, behaviour: behaviour{lasts: true}, random: rand.New(rand.NewPCG(uint64(i), 2))}
		l.callers.Add(1)
		go func() { defer l.callers.Done(); c.run(ctx) }()
	}
}

// cancelProbability is the probability that a caller cancels a submission that would end by itself.
const cancelProbability = 0.1

// randomSubmission returns a submission with its queue, and the number of failing attempts of each of its tasks.
func (l *loadGenerator) randomSubmission() (*pb.Queue, *pb.SubmissionSpec, uint32) {
	r := l.random
	q := queues()[r.IntN(3)]
	id := fmt.Sprintf("%016x", r.Uint64())
	spec := &pb.SubmissionSpec{Id: id, Payload: "work of " + id}
	step := func(count uint32, after ...uint32) *pb.Step {
		return &pb.Step{Count: count * uint32(max(l.deployment.options.Size.Width, 1)), EstimateMs: 50 + r.Int64N(450), After: after, Checkpoints: r.IntN(3) == 0,
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
		endless := step(1 + r.Uint32N(2))
		endless.Endless = true
		spec.Steps = []*pb.Step{endless}
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

// caller sends one submission and follows it until it ends.
type caller struct {
	behaviour
	generator   *loadGenerator
	queue       *pb.Queue
	spec        *pb.SubmissionSpec
	willCancel  bool
	cancelAfter time.Duration
	random      *rand.Rand
}

// run sends the submission, cancels it if planned, and polls its state until it has ended or ctx ends. If ctx has already
// ended, it sends nothing.
func (c *caller) run(ctx context.Context) {
	sent, accepted := false, false
	for try := 0; !accepted && try < 40 && ctx.Err() == nil; try++ {
		sent = true
		if accepted = c.submit(ctx) == OutcomeAccepted; !accepted {
			sleep(ctx, retryDelay)
		}
	}
	if !sent {
		return
	}
	c.generator.addPoll(c.spec.GetId(), c.pollOnce)
	if c.willCancel {
		sleep(ctx, c.cancelAfter)
		for !c.cancel() && ctx.Err() == nil {
			sleep(ctx, retryDelay)
		}
	}
	for accepted && ctx.Err() == nil {
		sleep(ctx, pollInterval)
		if state := c.queryState(); state == "done" || state == "failed" || state == "cancelled" {
			return
		}
	}
}

// pollOnce queries the state of the submission once. It repeats the cancel first if the submission is to be cancelled.
func (c *caller) pollOnce() {
	if c.willCancel {
		c.cancel()
	}
	c.queryState()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// randomIntake returns a random intake VM.
func (c *caller) randomIntake() *vm {
	intakes := c.generator.deployment.intakes()
	return intakes[c.random.IntN(len(intakes))]
}

// call makes a call through an intake VM and checks that a planned stop or reload of the VM does not interrupt it.
func (c *caller) call(what string, f func(ctx context.Context, address string) error) error {
	v := c.randomIntake()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sent := time.Now()
	undisturbed := v.noFaultSince(sent)
	err := f(ctx, v.clientProxy.Addr())
	var status *platform.StatusError
	if err != nil && !errors.As(err, &status) && ctx.Err() == nil && time.Since(sent) > resetTolerance && undisturbed && v.noFaultSince(sent) {
		c.generator.checker.ReportViolation(PromiseAnswered, "%s of %s at %s was interrupted after %v: %v", what, c.spec.GetId(), v.id, time.Since(sent), err)
	}
	return err
}

func (c *caller) submit(ctx context.Context) Outcome {
	l, id := c.generator, c.spec.GetId()
	l.checker.SubmitSent(c.queue, c.spec, c.behaviour)
	err := c.call("submission", func(ctx context.Context, address string) error { return l.client.Submit(ctx, address, c.queue, c.spec) })
	var status *platform.StatusError
	outcome := OutcomeUnknown
	switch {
	case err == nil:
		outcome = OutcomeAccepted
	case errors.As(err, &status) && status.NotRun():
		outcome = OutcomeNotRun
	}
	if l.deployment.options.Sabotage == SabotageRefused && outcome == OutcomeAccepted {
		l.checker.SubmitAnswered(id, OutcomeNotRun)
		return OutcomeAccepted
	}
	l.checker.SubmitAnswered(id, outcome)
	return outcome
}

func (c *caller) queryState() string {
	l, id, askedAt := c.generator, c.spec.GetId(), time.Now()
	var state string
	err := c.call("state query", func(ctx context.Context, address string) (err error) {
		state, err = l.client.State(ctx, address, c.queue, id)
		return err
	})
	var status *platform.StatusError
	switch {
	case err == nil:
		l.checker.StateReturned(id, state)
	case errors.As(err, &status) && status.Absent():
		l.checker.NotFoundReturned(id, askedAt)
	}
	return state
}

func (c *caller) cancel() bool {
	l, id := c.generator, c.spec.GetId()
	l.checker.CancelSent(id)
	err := c.call("cancel", func(ctx context.Context, address string) error { return l.client.Cancel(ctx, address, c.queue, id) })
	var status *platform.StatusError
	if err == nil || errors.As(err, &status) && status.Absent() {
		l.checker.CancelAcked(id)
		return true
	}
	return false
}

func (l *loadGenerator) addPoll(id string, poll func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls[id] = poll
}

// pollAll polls the given submissions once each, a few at a time.
func (l *loadGenerator) pollAll(ids []string) {
	const atOnce = 16
	for chunk := range slices.Chunk(ids, atOnce) {
		var wg sync.WaitGroup
		for _, id := range chunk {
			l.mu.Lock()
			poll := l.polls[id]
			l.mu.Unlock()
			if poll != nil {
				wg.Add(1)
				go func() { defer wg.Done(); poll() }()
			}
		}
		wg.Wait()
	}
}

// runOperator sends configurations, some of them invalid or with an older version, and reads them back until ctx ends. Two
// operators may run concurrently.
func (l *loadGenerator) runOperator(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		l.mu.Lock()
		l.lastVersion += 1 + random.Uint64N(3)
		version := l.lastVersion
		l.mu.Unlock()
		switch random.IntN(6) {
		case 0:
			l.putInvalidConfig(version)
		case 1:
			l.putConfig(ctx, max(version, 4)-3) // an older version, as from a delayed change
		default:
			l.putConfig(ctx, version)
		}
		l.readConfig(random.IntN(len(l.deployment.controls())))
		sleep(ctx, time.Duration(random.IntN(800))*time.Millisecond)
	}
}

// putConfig sends a valid configuration to one control VM after the other until it is acknowledged.
func (l *loadGenerator) putConfig(ctx context.Context, version uint64) {
	l.checker.ConfigSent(version)
	for try := 0; ctx.Err() == nil; try++ {
		callCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		v := l.deployment.controls()[(int(version)+try)%len(l.deployment.controls())]
		err := l.client.PutConfig(callCtx, v.clientProxy.Addr(), newConfig(version))
		cancel()
		var status *platform.StatusError
		switch {
		case err == nil:
			l.checker.ConfigAcked(version, true)
			return
		case errors.As(err, &status) && status.Invalid():
			l.checker.ReportViolation(PromiseConfig, "the valid configuration %d was refused: %v", version, err)
			return
		}
		sleep(ctx, retryDelay)
	}
}

// putInvalidConfig sends a configuration in which a queue names an unknown pool.
func (l *loadGenerator) putInvalidConfig(version uint64) {
	invalid := newConfig(version)
	invalid.Queues[0].Pool = "unknown"
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.client.PutConfig(ctx, l.deployment.controls()[int(version)%len(l.deployment.controls())].clientProxy.Addr(), invalid); err == nil {
		l.checker.ConfigAcked(version, false)
	}
}

// readConfig reads the configuration from a control VM, checks it and returns its version, or 0 if the read failed.
func (l *loadGenerator) readConfig(control int) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	acked := l.checker.LatestAckedConfig()
	c, err := l.client.GetConfig(ctx, l.deployment.controls()[control].clientProxy.Addr())
	if err != nil {
		return 0
	}
	version := c.GetVersion()
	if l.deployment.options.Sabotage == SabotageConfig && version > 0 {
		version--
	}
	l.checker.ConfigRead(version, acked)
	return version
}
