// Package standin holds stand-ins of targets for tests, measurements and demonstrations.
package standin

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Defaults of ExecutorOptions.
const (
	DefaultSlots        = 8
	DefaultConnections  = 64
	DefaultDrainTimeout = 30 * time.Second
)

// ExecutorOptions describes an executor. Zero values select the defaults.
type ExecutorOptions struct {
	ID, Domain, Rack, Service string
	// Listen is the IP:port for requests. Empty: 127.0.0.1 and any free port.
	Listen string
	// EntryVMs are the HTTP addresses of the entry VMs of the domain, IP:port or http://IP:port.
	EntryVMs []string
	// Token authenticates the announcements.
	Token              string
	Slots, Connections uint32
	// Work is the time that one request takes.
	Work time.Duration
	// Handler answers requests instead of the built-in work. Its requests are counted all the same.
	Handler http.Handler
	// DrainTimeout bounds the wait for requests in flight at the end.
	DrainTimeout time.Duration
	// Client sends the announcements. Nil: one with a timeout of 1 s.
	Client *http.Client
	Logger zerolog.Logger
}

// Executor is a stand-in of an executor: it announces itself, works for a configurable time, and
// records violations of its limits.
type Executor struct {
	options  ExecutorOptions
	instance string
	listener net.Listener
	server   *http.Server
	work     atomic.Int64
	mode     atomic.Int32
	draining atomic.Bool
	stopped  chan struct{}

	mu         sync.Mutex
	holder     string
	active     map[*activeRequest]struct{}
	conns      map[net.Conn]http.ConnState
	executions map[string]int
	stats      Stats
}

type activeRequest struct{ ctx context.Context }

// Stats counts what an executor has seen.
type Stats struct {
	Requests, Abandoned            int
	MaxConcurrent, MaxConnections  int
	SlotViolations, ConnViolations int
	Moves                          int
	// AfterDrain counts requests that began more than the allowed time after draining was announced.
	AfterDrain int
	DrainBegan time.Time
}

// NewExecutor returns an executor. Listen or Run starts it.
func NewExecutor(o ExecutorOptions) *Executor {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.DrainTimeout == 0 {
		o.DrainTimeout = DefaultDrainTimeout
	}
	if o.Client == nil {
		o.Client = &http.Client{Timeout: announceTimeout}
	}
	e := &Executor{options: o, instance: rand.Text(), stopped: make(chan struct{})}
	e.active = make(map[*activeRequest]struct{})
	e.conns = make(map[net.Conn]http.ConnState)
	e.executions = make(map[string]int)
	e.work.Store(int64(o.Work))
	return e
}

// Listen opens the port and begins to serve requests. Run calls it unless it was called before.
func (e *Executor) Listen() error {
	listener, err := net.Listen("tcp", e.options.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", e.options.Listen, err)
	}
	e.Serve(listener)
	return nil
}

// Serve serves requests on a listener that the caller has opened.
func (e *Executor) Serve(listener net.Listener) {
	e.listener = listener
	e.server = &http.Server{Handler: e, ConnState: e.connState, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
}

// Address returns http://IP:port once the executor listens.
func (e *Executor) Address() string { return "http://" + e.listener.Addr().String() }

// Close ends the executor at once, as a crash would.
func (e *Executor) Close() error {
	e.mu.Lock()
	select {
	case <-e.stopped:
	default:
		close(e.stopped)
	}
	e.mu.Unlock()
	if e.server == nil {
		return nil
	}
	// Not under mu: the server waits for Serve, which may be about to call connState.
	return e.server.Close()
}

// SetWork changes the time that one request takes.
func (e *Executor) SetWork(d time.Duration) { e.work.Store(int64(d)) }

// SetMode selects a failure mode.
func (e *Executor) SetMode(m Mode) { e.mode.Store(int32(m)) }

// Stats returns what the executor has seen so far.
func (e *Executor) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Executions returns how often a request with the idempotency key was run.
func (e *Executor) Executions(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[key]
}

// InFlight returns the number of requests being worked on.
func (e *Executor) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active)
}

func (e *Executor) connState(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, conn)
		return
	}
	e.conns[conn] = state
	if state != http.StateNew {
		return
	}
	e.stats.MaxConnections = max(e.stats.MaxConnections, len(e.conns))
	if len(e.conns) > int(e.options.Connections) {
		e.stats.ConnViolations++
	}
}

// closeIdle closes the idle connections of a former holder, so that they do not count against the
// connections of the next one.
func (e *Executor) closeIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn, state := range e.conns {
		if state == http.StateIdle {
			_ = conn.Close()
		}
	}
}
