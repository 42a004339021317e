// Package peer carries messages, calls and streams between entry VMs over QUIC with mutual TLS.
//
// Each VM keeps one connection to every other VM and sends on it; what the other sends arrives on the other's
// connection. A connection that goes silent is closed within Config.IdleTimeout and replaced from a new UDP port, since
// a network can lose the packets of one flow for good. Nothing is sent twice.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// Errors of Call and OpenStream, beside the *errs.Error that a handler returned.
var (
	// ErrNotSent means that nothing left this process, so the call did not run.
	ErrNotSent = errors.New("not sent")
	// ErrNoAnswer means that the call may have run.
	ErrNoAnswer = errors.New("no answer, outcome unknown")
)

const (
	// MaxMessageBytes bounds a message, and the request and the answer of a call. Larger contents need a stream.
	MaxMessageBytes = 16 << 20
	// maxStreams bounds the calls and streams that one VM has open at another.
	maxStreams = 2048
	// maxChannels bounds the message channels of one connection.
	maxChannels = 64
	// maxConnections bounds the connections from one VM; while one is being replaced there are two.
	maxConnections = 4
	// streamWindowBytes and connectionWindowBytes bound what is received but not yet read.
	streamWindowBytes     = 4 << 20
	connectionWindowBytes = 32 << 20

	defaultKeepAlive   = 250 * time.Millisecond
	defaultIdleTimeout = time.Second

	// lingerTime lets the last answers arrive before Close ends the connections; QUIC does not say when they have.
	lingerTime = 100 * time.Millisecond

	alpn = "lentilyard-peer/1"
)

// Codes with which connections and streams are closed.
const (
	codeShutdown quic.ApplicationErrorCode = 1
	codeSilent   quic.ApplicationErrorCode = 2
	codeReplaced quic.ApplicationErrorCode = 3

	// CodeCancelled resets a stream whose context ended.
	CodeCancelled = 1
	// CodeAbandoned resets a stream whose handler returned without CloseWrite.
	CodeAbandoned = 2
	// CodeRefused resets a stream that is malformed or of an unknown method, or that arrives during shutdown.
	// Its handler did not run.
	CodeRefused = 3
)

// Config configures a Transport.
type Config struct {
	// ID of this entry VM; its certificate must name it.
	ID string
	// Listen is the IP:port for incoming connections.
	Listen string
	// Peers maps the ids of the other entry VMs to their IP:port. An entry for ID is ignored.
	Peers map[string]string
	// Credentials are those of the deployment, or an ephemeral identity where it has none.
	Credentials Credentials
	// AllowUnknownPeers admits connections of VMs that are not among the peers.
	AllowUnknownPeers bool
	Logger            zerolog.Logger
	// KeepAlive is the interval of probes. Default 250 ms.
	KeepAlive time.Duration
	// IdleTimeout bounds the time until a silent connection is found and closed. Default 1 s.
	IdleTimeout time.Duration
}

// Credentials make the TLS configurations of both directions.
type Credentials interface {
	ServerTLS(protocol string, accept func(vm string) error, refused func(error)) *tls.Config
	ClientTLS(protocol, vm string) *tls.Config
}

// MessageHandler receives the messages of one channel. Those of one sender arrive one at a time, in order, for as long
// as the connection lasts.
type MessageHandler func(from string, payload []byte)

// CallHandler answers a call. An *errs.Error crosses the wire; any other error becomes errs.ErrInternal.
// The context ends when the caller gives up or the connection is lost.
type CallHandler func(ctx context.Context, from string, req []byte) (proto.Message, error)

// StreamHandler serves a stream. When it returns without CloseWrite, the other side sees a reset.
type StreamHandler func(ctx context.Context, from string, s Stream)

// Transport connects this entry VM with the others. All methods are safe for concurrent use.
type Transport struct {
	config   Config
	log      zerolog.Logger
	socket   net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener

	messageHandlers sync.Map // channel -> MessageHandler
	callHandlers    sync.Map // method -> CallHandler
	streamHandlers  sync.Map // method -> StreamHandler

	mu       sync.Mutex
	links    map[string]*link
	outboxes map[outboxKey]*outbox
	incoming map[string][]*quic.Conn
	closed   bool

	ctx        context.Context // ends when Close is called
	cancel     context.CancelFunc
	draining   atomic.Bool
	lastAnswer atomic.Int64 // Unix nanoseconds
	dropped    atomic.Uint64
	wait       sync.WaitGroup
}

type outboxKey struct{ peer, channel string }

// New opens the listener and starts to connect to all peers.
func New(config Config) (*Transport, error) {
	if config.KeepAlive <= 0 {
		config.KeepAlive = defaultKeepAlive
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	socket, err := net.ListenPacket("udp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for entry VMs: %w", err)
	}
	t := &Transport{config: config, log: config.Logger.With().Str("component", "peer").Logger(), socket: socket,
		quic: &quic.Transport{Conn: socket}, links: map[string]*link{}, outboxes: map[outboxKey]*outbox{}, incoming: map[string][]*quic.Conn{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if err := t.start(); err != nil {
		t.cancel()
		return nil, errors.Join(err, t.quic.Close(), socket.Close())
	}
	return t, nil
}

func (t *Transport) start() error {
	for id, address := range t.config.Peers {
		if err := t.addLink(id, address); err != nil {
			return err
		}
	}
	tlsConfig := t.config.Credentials.ServerTLS(alpn, t.accepts, t.logRefused)
	listener, err := t.quic.Listen(tlsConfig, t.quicConfig())
	if err != nil {
		return fmt.Errorf("listen for entry VMs on %s: %w", t.config.Listen, err)
	}
	t.listener = listener
	t.spawn(t.acceptLoop)
	for _, l := range t.links {
		t.spawn(l.run)
	}
	return nil
}

// addLink records a peer. The caller holds mu or is the only user of t.
func (t *Transport) addLink(id, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address of entry VM %q: %w", id, err)
	}
	if id == t.config.ID {
		return nil
	}
	l := &link{t: t, id: id, address: net.UDPAddrFromAddrPort(parsed)}
	l.ctx, l.cancel = context.WithCancel(t.ctx)
	t.links[id] = l
	return nil
}

// AddPeer starts to connect to a VM that was not known before. A known one is left as it is.
func (t *Transport) AddPeer(id, address string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || id == t.config.ID || t.links[id] != nil {
		return nil
	}
	if err := t.addLink(id, address); err != nil {
		return err
	}
	t.spawn(t.links[id].run)
	return nil
}

// RemovePeer ends the connection to a VM and forgets it.
func (t *Transport) RemovePeer(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil {
		return
	}
	l.cancel()
	delete(t.links, id)
	for key := range t.outboxes {
		if key.peer == id {
			delete(t.outboxes, key)
		}
	}
}

// Peers returns the ids of the VMs that this one connects to.
func (t *Transport) Peers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.links))
}

// link returns the link to a VM, or nil.
func (t *Transport) link(id string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[id]
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       t.config.IdleTimeout,
		MaxIdleTimeout:             t.config.IdleTimeout,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      maxChannels,
		MaxStreamReceiveWindow:     streamWindowBytes,
		MaxConnectionReceiveWindow: connectionWindowBytes,
	}
}

func (t *Transport) spawn(f func()) {
	t.wait.Add(1)
	go func() {
		defer t.wait.Done()
		f()
	}()
}

// Addr returns the address of the listener.
func (t *Transport) Addr() net.Addr { return t.socket.LocalAddr() }

// Reachable reports whether there is a connection to the VM that answered a probe within IdleTimeout.
func (t *Transport) Reachable(id string) bool {
	if id == t.config.ID {
		return true
	}
	l := t.link(id)
	return l != nil && l.conn.Load() != nil
}

// WaitReachable returns when Reachable(id) holds, or with the error of the context.
func (t *Transport) WaitReachable(ctx context.Context, id string) error {
	const interval = 5 * time.Millisecond
	for !t.Reachable(id) {
		if !sleep(ctx, interval) {
			return fmt.Errorf("entry VM %q is not reachable: %w", id, ctx.Err())
		}
	}
	return nil
}

// Dropped returns the number of messages that were given to Send and not sent.
func (t *Transport) Dropped() uint64 { return t.dropped.Load() }

// Handle sets the handler of a channel. Messages of a channel without a handler are discarded.
func (t *Transport) Handle(channel string, f func(from string, payload []byte)) {
	t.messageHandlers.Store(channel, MessageHandler(f))
}

// HandleCall sets the handler of a method.
func (t *Transport) HandleCall(method string, f func(ctx context.Context, from string, req []byte) (proto.Message, error)) {
	t.callHandlers.Store(method, CallHandler(f))
}

// HandleStream sets the handler of a stream method.
func (t *Transport) HandleStream(method string, f func(ctx context.Context, from string, s Stream)) {
	t.streamHandlers.Store(method, StreamHandler(f))
}

func handlerOf[H any](handlers *sync.Map, name string) (H, bool) {
	f, ok := handlers.Load(name)
	if !ok {
		var none H
		return none, false
	}
	return f.(H), true
}

// Close refuses new calls, lets answers leave, and ends all connections. It does not wait for handlers, whose contexts
// it ends.
func (t *Transport) Close() error {
	t.mu.Lock()
	already := t.closed
	t.closed = true
	t.mu.Unlock()
	if already {
		return nil
	}
	t.draining.Store(true)
	t.linger()
	// Before cancel, which makes the accepting goroutines forget their connections.
	t.closeConnections()
	t.cancel()
	err := errors.Join(t.listener.Close(), t.quic.Close(), t.socket.Close())
	t.wait.Wait()
	return err
}

func (t *Transport) linger() {
	since := time.Since(time.Unix(0, t.lastAnswer.Load()))
	if rest := lingerTime - since; rest > 0 {
		time.Sleep(rest)
	}
}

func (t *Transport) closeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, list := range t.incoming {
		for _, conn := range list {
			_ = conn.CloseWithError(codeShutdown, "the entry VM shuts down")
		}
	}
}

// sleep returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

var (
	connectsTotal = metrics.NewCounter("lentilyard_peer_connects_total")
	silentTotal   = metrics.NewCounter("lentilyard_peer_silent_connections_total")
	refusedTotal  = metrics.NewCounter("lentilyard_peer_refused_connections_total")
)
