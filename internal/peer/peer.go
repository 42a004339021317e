// Package peer transports messages, calls and streams between entry VMs over QUIC with mutual TLS.
//
// Each VM dials one connection to every other VM and uses it for the messages that it sends and for the calls and
// streams that it opens. Two VMs therefore have two connections between them, one dialled by each. A connection that
// stops answering probes is closed within Config.IdleTimeout and replaced by one from a new UDP port, because a network
// can drop all further packets of one flow while others work. The package never sends a message or call again on its
// own.
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

// Errors of Call and OpenStream. Call also returns the *errs.Error of the handler.
var (
	// ErrNotSent means that the request was not sent, so its handler did not run.
	ErrNotSent = errors.New("not sent")
	// ErrNoAnswer means that the request was sent and no answer arrived, so its handler may have run.
	ErrNoAnswer = errors.New("no answer, outcome unknown")
)

const (
	// MaxMessageBytes limits the size of a message, and of the request and the answer of a call. Larger data needs a
	// stream.
	MaxMessageBytes = 16 << 20
	// maxStreams limits the calls and streams that are open on one connection.
	maxStreams = 2048
	// maxChannels limits the message channels of one connection.
	maxChannels = 64
	// maxConnections limits the connections accepted from one VM. There are two while one replaces another.
	maxConnections = 4
	// streamWindowBytes and connectionWindowBytes are the flow-control windows: they limit the data that is received
	// but not yet read.
	streamWindowBytes     = 4 << 20
	connectionWindowBytes = 32 << 20

	defaultKeepAlive   = 250 * time.Millisecond
	defaultIdleTimeout = time.Second

	// lingerTime is the time between the last answer and the end of the connections in Close. QUIC does not report when
	// the other side has received the data of a stream.
	lingerTime = 100 * time.Millisecond
	// handlerTime limits the time that Close waits for the handlers of calls to answer. The others end only with their
	// contexts.
	handlerTime = time.Second

	alpn = "lentilyard-peer/1"
)

// Error codes for closing connections and resetting streams.
const (
	codeShutdown quic.ApplicationErrorCode = 1
	codeSilent   quic.ApplicationErrorCode = 2
	codeReplaced quic.ApplicationErrorCode = 3

	// CodeCancelled resets a stream whose context ended on the side that resets it.
	CodeCancelled = 1
	// CodeAbandoned resets a stream whose handler returned without CloseWrite.
	CodeAbandoned = 2
	// CodeRefused resets a stream that is malformed, names an unknown stream method or arrives during shutdown. No
	// handler ran for it.
	CodeRefused = 3
)

// Config configures a Transport.
type Config struct {
	// ID is the id of this entry VM. It must be the id in its certificate.
	ID string
	// Listen is the IP:port for incoming connections.
	Listen string
	// Peers maps the ids of the other entry VMs to their IP:port. An entry for ID is ignored.
	Peers map[string]string
	// Credentials authenticate this VM and its peers: a credentials.Store, or a credentials.Ephemeral in a deployment
	// without keys.
	Credentials Credentials
	// AllowUnknownPeers accepts connections from VMs that are not among the peers.
	AllowUnknownPeers bool
	Logger            zerolog.Logger
	// KeepAlive is the interval between probes. The default is 250 ms.
	KeepAlive time.Duration
	// IdleTimeout limits the time until a connection without traffic is detected and closed. The default is 1 s.
	IdleTimeout time.Duration
}

// Credentials provides the TLS configurations for incoming and outgoing connections. ServerTLS calls authorize with
// the VM id in the client's certificate, and onRefused with the error of each refused connection.
type Credentials interface {
	ServerTLS(protocol string, authorize func(vm string) error, onRefused func(error)) *tls.Config
	ClientTLS(protocol, vm string) *tls.Config
}

// MessageHandler handles the messages of one channel. On one connection it is called for one message at a time, in the
// order in which they were sent. Order across a reconnect is not guaranteed.
type MessageHandler func(from string, payload []byte)

// CallHandler answers a call. The caller receives an *errs.Error as it is and any other error as errs.ErrInternal.
// The context ends when the caller cancels, the time limit ends, the connection is lost or the transport is closed.
type CallHandler func(ctx context.Context, from string, req []byte) (proto.Message, error)

// StreamHandler serves a stream. If it returns without having called CloseWrite, the stream is reset with CodeAbandoned.
type StreamHandler func(ctx context.Context, from string, s Stream)

// Transport connects this entry VM with its peers. All methods are safe for concurrent use.
type Transport struct {
	config   Config
	log      zerolog.Logger
	socket   net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener

	messageHandlers sync.Map // channel -> MessageHandler
	callHandlers    sync.Map // method -> CallHandler
	streamHandlers  sync.Map // method -> StreamHandler

	mu         sync.Mutex
	links      map[string]*link
	sendQueues map[sendQueueKey]*sendQueue
	incoming   map[string][]*quic.Conn
	closed     bool

	ctx          context.Context // ends when Close is called
	cancel       context.CancelFunc
	draining     atomic.Bool
	callsServed  atomic.Int64 // calls that are received or handled, but not answered
	lastAnswerAt atomic.Int64 // Unix nanoseconds
	dropped      atomic.Uint64
	wg           sync.WaitGroup
}

type sendQueueKey struct{ peer, channel string }

// New starts a transport: it opens the listener and connects to all peers in the background.
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
		quic: &quic.Transport{Conn: socket}, links: map[string]*link{}, sendQueues: map[sendQueueKey]*sendQueue{}, incoming: map[string][]*quic.Conn{}}
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
	tlsConfig := t.config.Credentials.ServerTLS(alpn, t.authorizePeer, t.logRefusedConnection)
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

// addLink adds the link to a peer without starting it. The caller must hold mu unless no other goroutine uses t yet.
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

// AddPeer adds a peer and connects to it in the background. It does nothing if the peer exists, even at another address.
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

// RemovePeer closes the connection to a peer, removes the peer and discards its queued messages.
func (t *Transport) RemovePeer(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil {
		return
	}
	l.cancel()
	delete(t.links, id)
	for key := range t.sendQueues {
		if key.peer == id {
			delete(t.sendQueues, key)
		}
	}
}

// Peers returns the ids of the peers in no particular order.
func (t *Transport) Peers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.links))
}

// link returns the link to a peer, or nil if there is no such peer.
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

// spawn runs f in a goroutine that Close waits for.
func (t *Transport) spawn(f func()) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f()
	}()
}

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() net.Addr { return t.socket.LocalAddr() }

// Reachable reports whether there is a connection to the VM on which probes are answered. It is always true for this VM.
func (t *Transport) Reachable(id string) bool {
	if id == t.config.ID {
		return true
	}
	l := t.link(id)
	return l != nil && l.conn.Load() != nil
}

// WaitReachable waits until Reachable(id) is true. It returns an error if ctx ends first.
func (t *Transport) WaitReachable(ctx context.Context, id string) error {
	const interval = 5 * time.Millisecond
	for !t.Reachable(id) {
		if !sleep(ctx, interval) {
			return fmt.Errorf("entry VM %q is not reachable: %w", id, ctx.Err())
		}
	}
	return nil
}

// Dropped returns the number of messages passed to Send that were dropped.
func (t *Transport) Dropped() uint64 { return t.dropped.Load() }

// Handle sets the handler of a channel. Messages of a channel without a handler are discarded.
func (t *Transport) Handle(channel string, handler func(from string, payload []byte)) {
	t.messageHandlers.Store(channel, MessageHandler(handler))
}

// HandleCall sets the handler of a call method.
func (t *Transport) HandleCall(method string, handler func(ctx context.Context, from string, req []byte) (proto.Message, error)) {
	t.callHandlers.Store(method, CallHandler(handler))
}

// HandleStream sets the handler of a stream method.
func (t *Transport) HandleStream(method string, handler func(ctx context.Context, from string, s Stream)) {
	t.streamHandlers.Store(method, StreamHandler(handler))
}

func lookupHandler[H any](handlers *sync.Map, name string) (H, bool) {
	handler, ok := handlers.Load(name)
	if !ok {
		var none H
		return none, false
	}
	return handler.(H), true
}

// Close refuses new calls and streams, gives the handlers of calls time to answer and the answers time to arrive, closes all
// connections and cancels the contexts of the handlers that still run. It does not wait for these to return.
func (t *Transport) Close() error {
	t.mu.Lock()
	alreadyClosed := t.closed
	t.closed = true
	t.mu.Unlock()
	if alreadyClosed {
		return nil
	}
	t.draining.Store(true)
	t.awaitAnswers()
	t.linger()
	// The connections must be closed before cancel, which makes serveConnection remove them from t.incoming.
	t.closeConnections()
	t.cancel()
	err := errors.Join(t.listener.Close(), t.quic.Close(), t.socket.Close())
	t.wg.Wait()
	return err
}

// awaitAnswers waits until every call that has arrived is answered, for at most handlerTime.
func (t *Transport) awaitAnswers() {
	const interval = time.Millisecond
	for limit := time.Now().Add(handlerTime); t.callsServed.Load() > 0 && time.Now().Before(limit); {
		time.Sleep(interval)
	}
}

// linger waits until lingerTime has passed since the last answer.
func (t *Transport) linger() {
	since := time.Since(time.Unix(0, t.lastAnswerAt.Load()))
	if remaining := lingerTime - since; remaining > 0 {
		time.Sleep(remaining)
	}
}

// closeConnections closes the accepted connections. Each link closes its own.
func (t *Transport) closeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conns := range t.incoming {
		for _, conn := range conns {
			_ = conn.CloseWithError(codeShutdown, "the entry VM shuts down")
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
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
	connectsTotal           = metrics.NewCounter("lentilyard_peer_connects_total")
	silentConnectionsTotal  = metrics.NewCounter("lentilyard_peer_silent_connections_total")
	refusedConnectionsTotal = metrics.NewCounter("lentilyard_peer_refused_connections_total")
)
