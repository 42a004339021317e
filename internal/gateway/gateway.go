// Package gateway serves the requests of callers. It streams them to executors, enforces deadlines,
// forwards requests to other entry VMs, and executes non-idempotent requests at most once.
package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/routing"
)

// Errors of a Forwarder.
var (
	// ErrNotSent means that no part of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoAnswer means that the request may have been sent and its outcome is unknown.
	ErrNoAnswer = errors.New("no answer arrived")
)

// Forwarder sends requests to other entry VMs.
type Forwarder interface {
	// Forward sends the request and returns the head and body of the response. The body ends with io.EOF
	// only if the response arrived completely. Errors are ErrNotSent, ErrNoAnswer, or an error of reading
	// the request body.
	Forward(ctx context.Context, vm string, head *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error)
}

// Records stores the idempotency records of this failure domain.
type Records interface {
	// Begin commits the intent to execute a request unless there is a record of its key already. It returns
	// the record of the key, and true if this call created it.
	Begin(ctx context.Context, r *pb.RequestRecord) (*pb.RequestRecord, bool, error)
	// Finish commits the outcome of a request.
	Finish(ctx context.Context, o *pb.CommitOutcome) error
}

// Contracts looks up the contracts of members.
type Contracts interface {
	// Lookup returns the contract of a request. An empty contract selects the member's only one for the
	// service.
	Lookup(member, contract, service string) (*pb.ResolvedContract, error)
}

// Identity is the authenticated caller.
type Identity struct{ Name, Member, Role string }

// RoleCaller is the role that may send requests.
const RoleCaller = "caller"

type identityKey struct{}

// WithIdentity returns a copy of ctx that carries the authenticated caller.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, id)
}

// IdentityFrom returns the authenticated caller of the context.
func IdentityFrom(ctx context.Context) (Identity, bool) {
	id, ok := ctx.Value(identityKey{}).(Identity)
	return id, ok
}

// Default values of the fields of Limits.
const (
	DefaultMaxBodyBytes = 1 << 30
	DefaultDeadline     = 30 * time.Second
)

// Limits holds limits for all requests. Zero values select the defaults.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// Deadline is the maximum time for a request, and the time for a request that states none.
	Deadline time.Duration
}

// Config configures the Gateway of an entry VM.
type Config struct {
	// VM is the id of the entry VM, Instance a value unique to this process, and Domain the failure domain
	// of the entry VM.
	VM, Instance, Domain string
	// Domains lists all failure domains. It must be the same on every entry VM.
	Domains []string
	Table   *routing.Table
	// Forwarder may be nil; requests are then never forwarded.
	Forwarder Forwarder
	Records   Records
	Contracts Contracts
	// PeersOf returns the ids of the entry VMs of a failure domain, without this one, in the order in which
	// to try them. Nil: none.
	PeersOf func(domain string) []string
	// SenderGone reports whether the process that wrote an intent is known to have ended. Nil: never.
	SenderGone func(vm, instance string) bool
	// RateShare returns the share of a contract's request rate, from 0 to 1, that this entry VM may admit.
	// Nil: 1.
	RateShare func(c *pb.ResolvedContract) float64
	Limits    Limits
	Logger    zerolog.Logger
	Now       func() time.Time
}

// Gateway serves the requests of callers and those forwarded by other entry VMs. It is safe for
// concurrent use.
type Gateway struct {
	config Config
	rates  rateLimiter
	active activeKeys
}

// New returns a gateway with the given configuration and defaults for what it leaves out.
func New(c Config) *Gateway {
	if c.Limits.MaxBodyBytes <= 0 {
		c.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.Limits.Deadline <= 0 {
		c.Limits.Deadline = DefaultDeadline
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.PeersOf == nil {
		c.PeersOf = func(string) []string { return nil }
	}
	if c.RateShare == nil {
		c.RateShare = func(*pb.ResolvedContract) float64 { return 1 }
	}
	if c.SenderGone == nil {
		c.SenderGone = func(string, string) bool { return false }
	}
	g := &Gateway{config: c}
	g.rates.buckets = make(map[string]*bucket)
	g.active.keys = make(map[memberKey]struct{})
	return g
}
