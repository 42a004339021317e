package standin

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/rs/zerolog"
)

// WorkerOptions configure a simulated worker.
type WorkerOptions struct {
	ID            string
	FailureDomain string
	Rack          string
	Capacity      *pb.Resources
	// Guards make the worker refuse starts above its capacity.
	Guards bool
	// Instance identifies the process; random when empty.
	Instance string
	// EntryVMs lists base URLs such as http://127.0.0.1:8080.
	EntryVMs []string
	// Token is the bearer token of the role worker.
	Token string
	// Transport replaces HTTP, for tests.
	Transport WorkerTransport
	// RequestTimeout is how long an answer may take beyond the long poll. Default 1 s.
	RequestTimeout time.Duration
	// Poll is the longest time that a heartbeat asks to be held back. Default 1 s.
	Poll time.Duration
	// CheckpointTime is how long a checkpoint takes. Default 100 ms.
	CheckpointTime time.Duration
	// UsageInterval is the interval of usage samples and UsageLag how late they are sent. Default 1 s and 2 s.
	UsageInterval, UsageLag time.Duration
	// Speed returns the speed of a kind of work, 0 to 1, beside other kinds on the worker. Default 1.
	Speed func(kind string, others []string) float64
	// IgnoreLease makes the worker break its contract: it runs on without renewal. For tests of checkers.
	IgnoreLease bool
	// Observe is called for each action and report, for tests.
	Observe func(event any)
	Logger  zerolog.Logger
}

// Defaults of WorkerOptions.
const (
	defaultRequestTimeout = time.Second
	defaultPoll           = time.Second
	defaultCheckpointTime = 100 * time.Millisecond
	defaultUsageInterval  = time.Second
	defaultUsageLag       = 2 * time.Second
	// pauseAfterFailure keeps a worker from flooding entry VMs that refuse at once.
	pauseAfterFailure = 200 * time.Millisecond
	// minHeartbeatGap bounds the rate of heartbeats when answers come at once.
	minHeartbeatGap = 100 * time.Millisecond
)

// Worker is a simulated worker that follows the worker contract of the design page.
type Worker struct {
	options WorkerOptions
	fence   *Fence
	runs    map[AttemptID]*running
	reports chan *pb.AttemptReport
	answers chan answered
	// entryVMs are those of the last registration; address is the one in use.
	entryVMs []string
	address  string
	// polling and reporting tell that a heartbeat of that sort waits for its answer.
	polling, reporting   bool
	nextPoll, nextReport time.Time
	usage                usageQueue
}

type running struct {
	run  *run
	spec *pb.TaskSpec
}

type answered struct {
	sent   Sent
	poll   bool
	vm     string
	answer *pb.WorkerHeartbeatAnswer
	err    error
}

// NewWorker returns a worker that does nothing until Run.
func NewWorker(o WorkerOptions) *Worker {
	setDefault(&o.RequestTimeout, defaultRequestTimeout)
	setDefault(&o.Poll, defaultPoll)
	setDefault(&o.CheckpointTime, defaultCheckpointTime)
	setDefault(&o.UsageInterval, defaultUsageInterval)
	setDefault(&o.UsageLag, defaultUsageLag)
	if o.Instance == "" {
		o.Instance = rand.Text()
	}
	if o.Speed == nil {
		o.Speed = func(string, []string) float64 { return 1 }
	}
	if o.Observe == nil {
		o.Observe = func(any) {}
	}
	if o.Transport == nil {
		o.Transport = NewHTTPTransport(o.Token, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}})
	}
	return &Worker{options: o, fence: NewFence(time.Now, o.Capacity, o.Guards), runs: map[AttemptID]*running{},
		reports: make(chan *pb.AttemptReport, 64), answers: make(chan answered, 2), usage: usageQueue{lag: o.UsageLag}}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

var errNoEntryVM = errors.New("worker has no entry VMs")

// Run works until ctx ends, which stands for the death of the process: nothing is reported at the end.
func (w *Worker) Run(ctx context.Context) error {
	if len(w.options.EntryVMs) == 0 {
		return errNoEntryVM
	}
	w.learn(w.options.EntryVMs)
	sampling := time.NewTicker(w.options.UsageInterval)
	defer sampling.Stop()
	for ctx.Err() == nil {
		if w.fence.Epoch() == 0 {
			w.register(ctx)
			continue
		}
		w.send(ctx)
		w.waitOnce(ctx, sampling.C)
	}
	return ctx.Err()
}

// waitOnce handles the next answer, report, usage sample or end of a lease.
func (w *Worker) waitOnce(ctx context.Context, sampling <-chan time.Time) {
	timer := time.NewTimer(w.untilNext())
	defer timer.Stop()
	select {
	case a := <-w.answers:
		w.handle(ctx, a)
	case r := <-w.reports:
		w.report(r)
	case now := <-sampling:
		w.sample(now)
	case <-timer.C:
	case <-ctx.Done():
	}
	w.act(ctx, w.due())
}

func (w *Worker) due() []Action {
	if w.options.IgnoreLease {
		return nil
	}
	return w.fence.Due()
}

// untilNext returns the time until a lease needs care or a heartbeat is to be sent.
func (w *Worker) untilNext() time.Duration {
	wait := w.options.Poll
	if due, ok := w.fence.NextDue(); ok && !w.options.IgnoreLease {
		wait = min(wait, time.Until(due))
	}
	if !w.polling {
		wait = min(wait, time.Until(w.nextPoll))
	}
	if !w.reporting && w.fence.Pending() > 0 {
		wait = min(wait, time.Until(w.nextReport))
	}
	return max(wait, 0)
}

// send keeps one long poll open and sends reports beside it.
func (w *Worker) send(ctx context.Context) {
	now := time.Now()
	if !w.reporting && w.fence.Pending() > 0 && !now.Before(w.nextReport) {
		w.reporting = true
		w.heartbeat(ctx, false)
	}
	if !w.polling && !now.Before(w.nextPoll) {
		w.polling = true
		w.nextPoll = now.Add(minHeartbeatGap)
		w.heartbeat(ctx, true)
	}
}

func (w *Worker) heartbeat(ctx context.Context, poll bool) {
	message, sent := w.fence.Heartbeat(w.options.ID)
	wait := time.Duration(0)
	if poll {
		wait = w.options.Poll
		message.Reports = nil // a heartbeat with reports is answered at once
		message.Usage = w.usage.take(time.Now())
	}
	message.WaitMs = wait.Milliseconds()
	vm := w.address
	go func() {
		ctx, cancel := context.WithTimeout(ctx, wait+w.options.RequestTimeout)
		defer cancel()
		answer, err := w.options.Transport.Heartbeat(ctx, vm, message)
		w.answers <- answered{sent, poll, vm, answer, err}
	}()
}

func (w *Worker) handle(ctx context.Context, a answered) {
	if a.poll {
		w.polling = false
	} else {
		w.reporting = false
	}
	if a.err != nil {
		w.moveOn(a.vm, a.err)
		w.nextPoll = time.Now().Add(pauseAfterFailure)
		w.nextReport = w.nextPoll
		return
	}
	if a.poll {
		a.answer.ReportsCommitted = false // it carried none
	}
	w.act(ctx, w.fence.Answer(a.sent, a.answer))
}

// moveOn chooses the next entry VM after a failure at one, unless an earlier failure already did.
func (w *Worker) moveOn(failed string, err error) {
	w.options.Logger.Info().Str("worker", w.options.ID).Str("entry_vm", failed).Err(err).Msg("no answer")
	if failed == w.address {
		w.address = w.entryVMs[(slices.Index(w.entryVMs, failed)+1)%len(w.entryVMs)]
	}
}

// learn takes the entry VMs that a registration named. A worker that registered through an entry VM of another failure
// domain goes on with one of its own.
func (w *Worker) learn(entryVMs []string) {
	if len(entryVMs) == 0 {
		return
	}
	current := strings.TrimPrefix(w.address, "http://")
	same := slices.IndexFunc(entryVMs, func(vm string) bool { return strings.TrimPrefix(vm, "http://") == current })
	w.entryVMs = entryVMs
	w.address = entryVMs[max(same, 0)]
}

// register opens a session. Attempts that still run keep their leases and are due as before.
func (w *Worker) register(ctx context.Context) {
	answers := make(chan error, 1)
	var answer *pb.RegisterWorkerAnswer
	request := w.registration()
	vm := w.address
	go func() {
		err := error(nil)
		answer, err = w.tryRegister(ctx, vm, request)
		answers <- err
	}()
	err := w.attend(ctx, answers)
	if err != nil {
		w.moveOn(vm, err)
		_ = w.attend(ctx, after(ctx, pauseAfterFailure))
		return
	}
	w.fence.Registered(answer)
	if answer.GetEpoch() != 0 {
		w.learn(answer.GetEntryVms())
	}
	w.nextPoll, w.nextReport = time.Time{}, time.Time{}
}

func (w *Worker) registration() *pb.RegisterWorkerRequest {
	o := w.options
	return &pb.RegisterWorkerRequest{Known: w.fence.Known(), Worker: &pb.Worker{Id: o.ID, FailureDomain: o.FailureDomain, Rack: o.Rack,
		Capacity: o.Capacity, Guards: o.Guards, Instance: o.Instance}}
}

// tryRegister sends the registration, and once more when the answer names a former session.
func (w *Worker) tryRegister(ctx context.Context, address string, request *pb.RegisterWorkerRequest) (*pb.RegisterWorkerAnswer, error) {
	for range 2 {
		tryCtx, cancel := context.WithTimeout(ctx, w.options.RequestTimeout)
		answer, err := w.options.Transport.Register(tryCtx, address, request)
		cancel()
		if err != nil {
			return nil, err
		}
		if answer.GetEpoch() != 0 {
			return answer, nil
		}
		request.KnownEpoch = answer.GetKnownEpoch()
	}
	return nil, fmt.Errorf("registration at %s met another registration of worker %s", address, w.options.ID)
}

// attend keeps leases and reports going until done yields.
func (w *Worker) attend(ctx context.Context, done <-chan error) error {
	for {
		wait := w.options.Poll
		if due, ok := w.fence.NextDue(); ok && !w.options.IgnoreLease {
			wait = max(0, min(wait, time.Until(due)))
		}
		select {
		case err := <-done:
			return err
		case r := <-w.reports:
			w.report(r)
		case a := <-w.answers:
			w.handle(ctx, a)
		case <-time.After(wait):
		}
		w.act(ctx, w.due())
	}
}

func after(ctx context.Context, d time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		done <- ctx.Err()
	}()
	return done
}

func (w *Worker) report(r *pb.AttemptReport) {
	w.options.Observe(r)
	w.fence.Report(r)
	id := AttemptID{r.GetTask(), r.GetAttempt()}
	if r.GetEvent() != pb.AttemptEvent_ATTEMPT_EVENT_STARTED && r.GetEvent() != pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED {
		delete(w.runs, id)
		w.setSpeeds()
	}
}
