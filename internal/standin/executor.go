// Package standin implements stand-ins for targets, that is executors and workers, for tests, demonstrations and
// benchmarks.
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

// ExecutorOptions configures an executor. Zero values select the defaults.
type ExecutorOptions struct {
	ID, Domain, Rack, Service string
	// Listen is the IP:port for requests. Default: any free port of 127.0.0.1.
	Listen string
	// EntryVMs are the HTTP addresses of the entry VMs of the domain, IP:port or http://IP:port.
	EntryVMs []string
	// Token authenticates the announcements.
	Token              string
	Slots, Connections uint32
	// Work is the time that a request takes.
	Work time.Duration
	// Handler replaces the simulated work. Its requests are counted as well.
	Handler http.Handler
	// DrainTimeout bounds the drain, including the wait for requests in flight.
	DrainTimeout time.Duration
	// Client sends the announcements. Default: a client with a timeout of 1 s.
	Client *http.Client
	Logger zerolog.Logger
}

// Executor is a stand-in for an executor. It announces itself, simulates work of a configurable duration, and
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

// activeRequest is a request in progress. Its context ends when the connection is closed.
type activeRequest struct{ ctx context.Context }

// Stats counts the requests, connections and limit violations of an executor.
type Stats struct {
	Requests, Abandoned            int
	MaxConcurrent, MaxConnections  int
	SlotViolations, ConnViolations int
	Moves                          int
	// AfterDrain counts requests that began more than the allowed time after the drain began.
	AfterDrain int
	DrainBegan time.Time
}

// NewExecutor returns an executor that is started by Listen, Serve or Run.
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

// Listen opens the port and starts to serve requests. Run calls it unless the executor already listens.
func (e *Executor) Listen() error {
	listener, err := net.Listen("tcp", e.options.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", e.options.Listen, err)
	}
	e.Serve(listener)
	return nil
}

// Serve starts to serve requests on the given listener.
func (e *Executor) Serve(listener net.Listener) {
	e.listener = listener
	e.server = &http.Server{Handler: e, ConnState: e.connState, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
}

// Address returns the URL http://IP:port. The executor must be listening.
func (e *Executor) Address() string { return "http://" + e.listener.Addr().String() }

// Close stops the executor immediately, as a crash would.
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
	// Called without mu, because the server waits for Serve, which may be about to call connState.
	return e.server.Close()
}

// SetWork sets the time that a request takes.
func (e *Executor) SetWork(d time.Duration) { e.work.Store(int64(d)) }

// SetMode sets the failure mode.
func (e *Executor) SetMode(m Mode) { e.mode.Store(int32(m)) }

// Stats returns the counts so far.
func (e *Executor) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Executions returns how many requests with the idempotency key were started.
func (e *Executor) Executions(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[key]
}

// InFlight returns the number of requests in progress.
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

// closeIdleConns closes the idle connections of the former lease holder, so that they do not count against the
// connection limit of the next one.
func (e *Executor) closeIdleConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn, state := range e.conns {
		if state == http.StateIdle {
			_ = conn.Close()
		}
	}
}
