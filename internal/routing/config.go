// Package routing holds the executor table of one entry VM: leases, choice of an executor,
// the bounded queue, retry budget and detection of outliers.
package routing

import (
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// Defaults of Config.
const (
	DefaultLease              = 2 * time.Second
	DefaultInterval           = 500 * time.Millisecond
	DefaultMaxQueue           = 1024
	DefaultRetryBudgetPercent = 10
	DefaultMaxReserved        = 5 * time.Second
)

// Config describes the table of one entry VM. Zero values select the defaults.
type Config struct {
	// VM and Domain are the id and failure domain of the entry VM.
	VM, Domain string
	// Lease is how long an announcement grants the slots of an executor.
	Lease time.Duration
	// Interval is the time between announcements.
	Interval time.Duration
	// MaxQueue bounds the requests that wait for a slot, over all services.
	MaxQueue int
	// RetryBudgetPercent bounds retries as a share of requests. Negative: none.
	RetryBudgetPercent int
	// MaxReserved is the time after which a slot that is still reserved for a former holder or an
	// abandoned request makes the executor pause for one or two intervals. Its report is unambiguous
	// then: it counts no other requests.
	MaxReserved time.Duration
	// Now returns the time with a monotonic reading.
	Now func() time.Time
	// Logger receives one line for each decision unless QuietDecisions is set.
	Logger         zerolog.Logger
	QuietDecisions bool
	// Siblings returns the HTTP addresses of the entry VMs of the domain.
	Siblings func() []string
	// SiblingAddress returns the HTTP address of an entry VM, or "". Nil: executors are never moved.
	SiblingAddress func(vm string) string
	// Drained reports whether an operator has asked the target to drain.
	Drained func(id string) bool
	// Policy chooses among executors with a free slot. Nil: LatencyChoices.
	Policy Policy
	// Dial opens connections to executors. Nil: TCP.
	Dial DialFunc
	// Seed of the random choices.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Lease <= 0 {
		c.Lease = DefaultLease
	}
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.RetryBudgetPercent == 0 {
		c.RetryBudgetPercent = DefaultRetryBudgetPercent
	}
	if c.MaxReserved <= 0 {
		c.MaxReserved = DefaultMaxReserved
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Siblings == nil {
		c.Siblings = func() []string { return nil }
	}
	if c.Drained == nil {
		c.Drained = func(string) bool { return false }
	}
	if c.Policy == nil {
		c.Policy = LatencyChoices{}
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}).DialContext
	}
	if c.Seed == 0 {
		c.Seed = uint64(c.Now().UnixNano())
	}
	return c
}

// Request asks for one slot.
type Request struct {
	Service, Member, Contract string
	// Weight is the member's share when members compete. 0 counts as 1.
	Weight uint32
	// Urgent requests are served before all others.
	Urgent bool
	// Deadline by which the answer is due. Zero: none.
	Deadline time.Time
	// Avoid lists executors that failed this request before.
	Avoid []string
	// Idempotent requests may be retried.
	Idempotent bool
	// Begun requests began before Drain and are still served after it.
	Begun bool
	// ID appears in the decision line.
	ID string
}

// Result says how a request to an executor ended.
type Result uint8

// Results of a request.
const (
	// Success: the whole answer was read.
	Success Result = iota
	// Unused: the slot was not used, for a reason that is not the executor's.
	Unused
	// NotSent: the executor could not be reached; no byte of the request was written.
	NotSent
	// FailedBeforeFirstByte: the request may have been sent, no byte of an answer arrived.
	FailedBeforeFirstByte
	// FailedAfterFirstByte: the answer was cut.
	FailedAfterFirstByte
	// TimedOut: the deadline passed while the executor worked.
	TimedOut
	// Abandoned: the caller went away while the executor worked.
	Abandoned
)

// Outcome is what the table learns from one request.
type Outcome struct {
	Result Result
	// Latency from sending the request to the end of the answer.
	Latency time.Duration
	// Status of the answer; 0 if there was none. 500 and above counts as a failure of the executor.
	Status int
}

// settled reports whether the executor has ended its work on the request.
func (o Outcome) settled() bool {
	return o.Result == Success || o.Result == NotSent || o.Result == Unused
}

// failed reports whether the executor is to blame. A deadline that left less time than a slow
// executor would need says nothing about the executor.
func (o Outcome) failed(poolLatency float64) bool {
	switch o.Result {
	case Success:
		return o.Status >= http.StatusInternalServerError
	case Abandoned, Unused:
		return false
	case TimedOut:
		return o.Latency.Seconds() > slowFactor*poolLatency
	}
	return true
}

// Refusals of the table.
var (
	ErrNoExecutor = &errs.Error{Code: "no-executor", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "no executor of the service holds a lease on this entry VM", Remedy: "retry later; see 'lentilyard targets' for the executors"}
	ErrQueueFull = &errs.Error{Code: "queue-full", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "too many requests wait for a slot", Remedy: "retry later with backoff"}
	ErrDeadline = &errs.Error{Code: "deadline-unreachable", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "the deadline cannot be met given the queue", Remedy: "retry later with backoff or allow more time"}
	ErrAnnouncement = &errs.Error{Code: "invalid-announcement", Status: http.StatusBadRequest, Outcome: errs.OutcomeNone,
		Message: "the announcement is malformed", Remedy: "correct the fields named in the message"}
)
