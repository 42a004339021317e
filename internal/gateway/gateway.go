// Package gateway serves requests of callers: it streams them to executors, keeps deadlines, forwards
// to other entry VMs, and runs non-idempotent requests at most once.
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
	// ErrNotSent means that nothing left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoAnswer means that the request may have been sent and its outcome is unknown.
	ErrNoAnswer = errors.New("no answer arrived")
)

// Forwarder sends a request to another entry VM. Errors: ErrNotSent, ErrNoAnswer. The returned body
// ends with io.EOF only if the whole answer arrived.
type Forwarder interface {
	Forward(ctx context.Context, vm string, head *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error)
}

// Records stores the idempotency records of the own domain.
type Records interface {
	// Begin commits the intent. It returns the existing record, or true if this call created it.
	Begin(ctx context.Context, r *pb.RequestRecord) (*pb.RequestRecord, bool, error)
	// Finish commits the outcome.
	Finish(ctx context.Context, o *pb.CommitOutcome) error
}

// Contracts resolves the contract of a request. An empty contract selects the member's only one for
// the service.
type Contracts interface {
	Lookup(member, contract, service string) (*pb.ResolvedContract, error)
}

// Identity is the authenticated caller.
type Identity struct{ Name, Member, Role string }

// RoleCaller is the role that may send requests.
const RoleCaller = "caller"

type identityKey struct{}

// WithIdentity puts the authenticated caller into the context.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, id)
}

// IdentityFrom returns the authenticated caller of the context.
func IdentityFrom(ctx context.Context) (Identity, bool) {
	id, ok := ctx.Value(identityKey{}).(Identity)
	return id, ok
}

// Defaults of Limits.
const (
	DefaultMaxBodyBytes = 1 << 30
	DefaultDeadline     = 30 * time.Second
)

// Limits of requests. Zero values select the defaults.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// Deadline of a request that states none, and the longest one allowed.
	Deadline time.Duration
}

// Config describes the gateway of one entry VM.
type Config struct {
	// VM is the id of the entry VM, Instance a value unique to this process, Domain its failure domain.
	VM, Instance, Domain string
	// Domains lists all failure domains. It must be the same on every entry VM.
	Domains   []string
	Table     *routing.Table
	Forwarder Forwarder
	Records   Records
	Contracts Contracts
	// PeersOf returns the entry VMs of a domain, this one excluded, best first.
	PeersOf func(domain string) []string
	// SenderGone reports whether the process that wrote an intent is gone. Nil: never known.
	SenderGone func(vm, instance string) bool
	// RateShare returns the share of a contract's request rate that this entry VM may admit. Nil: 1.
	RateShare func(c *pb.ResolvedContract) float64
	Limits    Limits
	Logger    zerolog.Logger
	Now       func() time.Time
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	config Config
	rates  rateLimiter
	active activeKeys
}

// New returns a gateway.
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
