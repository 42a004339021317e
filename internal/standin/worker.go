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

// WorkerOptions configures a simulated worker.
type WorkerOptions struct {
	ID            string
	FailureDomain string
	Rack          string
	Capacity      *pb.Resources
	// Guards makes the worker refuse starts that exceed its capacity.
	Guards bool
	// Instance identifies the worker process. Default: random.
	Instance string
	// EntryVMs lists base URLs such as http://127.0.0.1:8080.
	EntryVMs []string
	// Token is the bearer token of the role worker.
	Token string
	// Transport replaces HTTP, for tests.
	Transport WorkerTransport
	// RequestTimeout is how long an answer may take beyond the time of the long poll. Default 1 s.
	RequestTimeout time.Duration
	// Poll is the time for which a long-polling heartbeat asks the entry VM to wait for commands. Default 1 s.
	Poll time.Duration
	// CheckpointTime is how long a checkpoint takes. Default 100 ms.
	CheckpointTime time.Duration
	// UsageInterval is the interval of usage samples and UsageLag the delay before they are sent. Default 1 s and 2 s.
	UsageInterval, UsageLag time.Duration
	// Speed returns the relative speed, 0 to 1, of a kind of work that shares the worker with the other kinds.
	// Default 1.
	Speed func(kind string, others []string) float64
	// IgnoreLease makes the worker violate the protocol: attempts continue after their lease has expired. For tests of
	// checkers.
	IgnoreLease bool
	// Observe is called for each action and report. For tests.
	Observe func(event any)
	Logger  zerolog.Logger
}

// Defaults of WorkerOptions.
const (
	defaultRequestTimeout = time.Second
	defaultPollTime       = time.Second
	defaultCheckpointTime = 100 * time.Millisecond
	defaultUsageInterval  = time.Second
	defaultUsageLag       = 2 * time.Second
	// failureDelay limits the request rate of a worker to entry VMs that fail immediately.
	failureDelay = 200 * time.Millisecond
	// minPollInterval limits the rate of long polls that are answered immediately.
	minPollInterval = 100 * time.Millisecond
)

// Worker is a simulated worker that implements the worker side of the protocol. The goroutine of Run owns its
// mutable state.
type Worker struct {
	options WorkerOptions
	fence   *Fence
	runs    map[AttemptID]*activeRun
	reports chan *pb.AttemptReport
	answers chan heartbeatResult
	// entryVMs lists the entry VMs of the last registration; address is the one in use.
	entryVMs []string
	address  string
	// polling and reporting are true while a long poll or a heartbeat with reports awaits its answer.
	polling, reporting   bool
	nextPoll, nextReport time.Time
	usage                usageQueue
}

// activeRun is the run of an attempt, with the spec of its task.
type activeRun struct {
	run  *simulatedRun
	spec *pb.TaskSpec
}

// heartbeatResult is the outcome of a heartbeat: an answer or an error.
type heartbeatResult struct {
	sent    Sent
	poll    bool
	entryVM string
	answer  *pb.WorkerHeartbeatAnswer
	err     error
}

// NewWorker returns a worker that is started by Run.
func NewWorker(o WorkerOptions) *Worker {
	setDefaultDuration(&o.RequestTimeout, defaultRequestTimeout)
	setDefaultDuration(&o.Poll, defaultPollTime)
	setDefaultDuration(&o.CheckpointTime, defaultCheckpointTime)
	setDefaultDuration(&o.UsageInterval, defaultUsageInterval)
	setDefaultDuration(&o.UsageLag, defaultUsageLag)
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
	return &Worker{options: o, fence: NewFence(time.Now, o.Capacity, o.Guards), runs: map[AttemptID]*activeRun{},
		reports: make(chan *pb.AttemptReport, 64), answers: make(chan heartbeatResult, 2), usage: usageQueue{lag: o.UsageLag}}
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

var errNoEntryVM = errors.New("worker has no entry VMs")

// Run runs the worker until ctx ends. That simulates a crash of the process: no end is reported.
func (w *Worker) Run(ctx context.Context) error {
	if len(w.options.EntryVMs) == 0 {
		return errNoEntryVM
	}
	w.setEntryVMs(w.options.EntryVMs)
	sampling := time.NewTicker(w.options.UsageInterval)
	defer sampling.Stop()
	for ctx.Err() == nil {
		if w.fence.Epoch() == 0 {
			w.register(ctx)
			continue
		}
		w.sendDueHeartbeats(ctx)
		w.handleNextEvent(ctx, sampling.C)
	}
	return ctx.Err()
}

// handleNextEvent waits for the next answer, report, usage sample or lease deadline and handles it.
func (w *Worker) handleNextEvent(ctx context.Context, sampling <-chan time.Time) {
	timer := time.NewTimer(w.timeUntilNextAction())
	defer timer.Stop()
	select {
	case a := <-w.answers:
		w.handleResult(ctx, a)
	case r := <-w.reports:
		w.handleReport(r)
	case now := <-sampling:
		w.sampleUsage(now)
	case <-timer.C:
	case <-ctx.Done():
	}
	w.apply(ctx, w.dueActions())
}

func (w *Worker) dueActions() []Action {
	if w.options.IgnoreLease {
		return nil
	}
	return w.fence.DueActions()
}

// timeUntilNextAction returns the time until the next lease deadline or heartbeat.
func (w *Worker) timeUntilNextAction() time.Duration {
	wait := w.options.Poll
	if due, ok := w.fence.NextDue(); ok && !w.options.IgnoreLease {
		wait = min(wait, time.Until(due))
	}
	if !w.polling {
		wait = min(wait, time.Until(w.nextPoll))
	}
	if !w.reporting && w.fence.PendingReports() > 0 {
		wait = min(wait, time.Until(w.nextReport))
	}
	return max(wait, 0)
}

// sendDueHeartbeats keeps one long poll open and sends pending reports in a separate heartbeat.
func (w *Worker) sendDueHeartbeats(ctx context.Context) {
	now := time.Now()
	if !w.reporting && w.fence.PendingReports() > 0 && !now.Before(w.nextReport) {
		w.reporting = true
		w.sendHeartbeat(ctx, false)
	}
	if !w.polling && !now.Before(w.nextPoll) {
		w.polling = true
		w.nextPoll = now.Add(minPollInterval)
		w.sendHeartbeat(ctx, true)
	}
}

func (w *Worker) sendHeartbeat(ctx context.Context, poll bool) {
	message, sent := w.fence.Heartbeat(w.options.ID)
	wait := time.Duration(0)
	if poll {
		wait = w.options.Poll
		message.Reports = nil // a heartbeat with reports is answered immediately
		message.Usage = w.usage.takeReady(time.Now())
	}
	message.WaitMs = wait.Milliseconds()
	vm := w.address
	go func() {
		ctx, cancel := context.WithTimeout(ctx, wait+w.options.RequestTimeout)
		defer cancel()
		answer, err := w.options.Transport.Heartbeat(ctx, vm, message)
		w.answers <- heartbeatResult{sent, poll, vm, answer, err}
	}()
}

func (w *Worker) handleResult(ctx context.Context, a heartbeatResult) {
	if a.poll {
		w.polling = false
	} else {
		w.reporting = false
	}
	if a.err != nil {
		w.switchEntryVM(a.entryVM, a.err)
		w.nextPoll = time.Now().Add(failureDelay)
		w.nextReport = w.nextPoll
		return
	}
	if a.poll {
		a.answer.ReportsCommitted = false // a long poll carries no reports
	}
	w.apply(ctx, w.fence.HandleAnswer(a.sent, a.answer))
}

// switchEntryVM selects the next entry VM after a failure, unless an earlier failure has already switched away from it.
func (w *Worker) switchEntryVM(failed string, err error) {
	w.options.Logger.Info().Str("worker", w.options.ID).Str("entry_vm", failed).Err(err).Msg("request to the entry VM failed")
	if failed == w.address {
		w.address = w.entryVMs[(slices.Index(w.entryVMs, failed)+1)%len(w.entryVMs)]
	}
}

// setEntryVMs replaces the list of entry VMs by the one from a registration. It keeps the current entry VM if the list
// contains it and otherwise, as after a registration through another failure domain, selects the first.
func (w *Worker) setEntryVMs(entryVMs []string) {
	if len(entryVMs) == 0 {
		return
	}
	current := strings.TrimPrefix(w.address, "http://")
	index := slices.IndexFunc(entryVMs, func(vm string) bool { return strings.TrimPrefix(vm, "http://") == current })
	w.entryVMs = entryVMs
	w.address = entryVMs[max(index, 0)]
}

// register opens a session. Running attempts keep their leases and lease deadlines.
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
	err := w.handleEventsUntil(ctx, answers)
	if err != nil {
		w.switchEntryVM(vm, err)
		_ = w.handleEventsUntil(ctx, doneAfter(ctx, failureDelay))
		return
	}
	w.fence.StartSession(answer)
	if answer.GetEpoch() != 0 {
		w.setEntryVMs(answer.GetEntryVms())
	}
	w.nextPoll, w.nextReport = time.Time{}, time.Time{}
}

func (w *Worker) registration() *pb.RegisterWorkerRequest {
	o := w.options
	return &pb.RegisterWorkerRequest{Known: w.fence.KnownAttempts(), Worker: &pb.Worker{Id: o.ID, FailureDomain: o.FailureDomain, Rack: o.Rack,
		Capacity: o.Capacity, Guards: o.Guards, Instance: o.Instance}}
}

// tryRegister sends the registration, and repeats it once with the epoch of the former session if the answer names one.
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
	return nil, fmt.Errorf("registration at %s conflicts with another registration of worker %s", address, w.options.ID)
}

// handleEventsUntil handles lease deadlines, reports and answers until done yields a result, which it returns.
func (w *Worker) handleEventsUntil(ctx context.Context, done <-chan error) error {
	for {
		wait := w.options.Poll
		if due, ok := w.fence.NextDue(); ok && !w.options.IgnoreLease {
			wait = max(0, min(wait, time.Until(due)))
		}
		select {
		case err := <-done:
			return err
		case r := <-w.reports:
			w.handleReport(r)
		case a := <-w.answers:
			w.handleResult(ctx, a)
		case <-time.After(wait):
		}
		w.apply(ctx, w.dueActions())
	}
}

func doneAfter(ctx context.Context, d time.Duration) <-chan error {
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

func (w *Worker) handleReport(r *pb.AttemptReport) {
	w.options.Observe(r)
	w.fence.QueueReport(r)
	id := AttemptID{r.GetTask(), r.GetAttempt()}
	if r.GetEvent() != pb.AttemptEvent_ATTEMPT_EVENT_STARTED && r.GetEvent() != pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED {
		delete(w.runs, id)
		w.updateSpeeds()
	}
}
