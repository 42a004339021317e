// Package routing decides which executor serves a request. The Table of an entry VM holds the leases of
// executors, selects executors, queues requests while no slot is free, limits retries and stops using
// executors that fail or are slow (outlier detection).
package routing

import (
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// Default values of the fields of Config.
const (
	DefaultLease              = 2 * time.Second
	DefaultInterval           = 500 * time.Millisecond
	DefaultMaxQueue           = 1024
	DefaultRetryBudgetPercent = 10
	DefaultMaxReserved        = 5 * time.Second
)

// Config configures a Table. Zero values select the defaults.
type Config struct {
	// VM and Domain are the id and failure domain of the entry VM.
	VM, Domain string
	// Lease is how long this entry VM may use an executor, from the issue of the echoed nonce.
	Lease time.Duration
	// Interval is the time between two announcements of an executor.
	Interval time.Duration
	// MaxQueue is the maximum number of requests that wait for a slot, over all services.
	MaxQueue int
	// RetryBudgetPercent limits retries to a percentage of requests. A negative value disables retries.
	RetryBudgetPercent int
	// MaxReserved is how long a slot may stay reserved for a request of a former lease holder or an
	// abandoned request. After that the executor gets no new requests for one or two intervals, so that
	// its report counts only such requests and shows whether they have ended.
	MaxReserved time.Duration
	// Now returns the current time with a monotonic clock reading. Nil: time.Now.
	Now func() time.Time
	// Logger receives one line for each routing decision unless QuietDecisions is set.
	Logger         zerolog.Logger
	QuietDecisions bool
	// Siblings returns the HTTP addresses of the entry VMs of this failure domain. Nil: none.
	Siblings func() []string
	// SiblingAddress returns the HTTP address of an entry VM, or "" if it is unknown. Nil: executors are
	// never moved to other entry VMs.
	SiblingAddress func(vm string) string
	// Drained reports whether an operator has asked the target to drain. Nil: never.
	Drained func(id string) bool
	// Policy chooses among executors with a free slot. Nil: LatencyChoices.
	Policy Policy
	// Dial opens connections to executors. Nil: TCP.
	Dial DialFunc
	// Seed of the random number generators of the policies. 0: taken from the clock.
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

// Request describes a request that needs a slot of an executor.
type Request struct {
	Service, Member, Contract string
	// Weight determines the member's share of the slots while requests are queued. 0 counts as 1.
	Weight uint32
	// Urgent requests are served before all others.
	Urgent bool
	// Deadline by which the response must be complete. Zero: none.
	Deadline time.Time
	// Avoid lists the ids of executors on which earlier attempts failed. It is not empty for retries.
	Avoid []string
	// Idempotent requests may be executed more than once. They are preferred for probing executors.
	Idempotent bool
	// Begun is set for requests registered with Table.Begin. They are still served after Drain.
	Begun bool
	// ID of the request in log lines.
	ID string
}

// Result is how the use of a slot ended.
type Result uint8

// Results of the use of a slot.
const (
	// Success: the complete response was read.
	Success Result = iota
	// Unused: nothing was sent, for a reason that is not the executor's fault.
	Unused
	// NotSent: the executor could not be reached; no byte of the request was written.
	NotSent
	// FailedBeforeFirstByte: the request may have been sent, but no byte of a response arrived.
	FailedBeforeFirstByte
	// FailedAfterFirstByte: the response was incomplete or malformed.
	FailedAfterFirstByte
	// TimedOut: the deadline passed before the response was complete.
	TimedOut
	// Abandoned: the gateway stopped waiting for another reason, for example because the caller
	// disconnected or its body was rejected.
	Abandoned
)

// Outcome is what Grant.Release reports about a request to an executor.
type Outcome struct {
	Result Result
	// Latency is the time that the executor took, from sending the request to the end of the response.
	Latency time.Duration
	// Status is the HTTP status of the response, or 0 if there was none. A status of 500 or above counts
	// as a failure of the executor.
	Status int
}

// executorDone reports whether the executor has certainly no more work on the request.
func (o Outcome) executorDone() bool {
	return o.Result == Success || o.Result == NotSent || o.Result == Unused
}

// failed reports whether the outcome counts as a failure of the executor. A timeout counts only if the
// executor had more than slowFactor times the pool's latency; a shorter deadline may be missed by a
// healthy executor too.
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

// Errors with which the table refuses requests and announcements.
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
