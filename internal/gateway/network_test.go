package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// wireDelay is the duration of each write on the in-memory network.
const wireDelay = time.Millisecond

var errRefused = errors.New("connection refused")

// network is an in-memory network for tests with a fake clock. A link can be made silent: data written to
// its open connections is lost without an error, and new connections time out.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	silent    map[link]bool
	conns     []*endpoint
}

// link is one direction between two addresses.
type link struct{ from, to string }

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener), silent: make(map[link]bool)}
}

func (n *network) setSilent(from, to string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[link{from, to}] = silent
}

func (n *network) isSilent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[link{from, to}]
}

func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *network) dialFrom(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		if n.isSilent(from, to) || n.isSilent(to, from) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return n.connect(ctx, from, to)
	}
}

func (n *network) connect(ctx context.Context, from, to string) (net.Conn, error) {
	client, server := net.Pipe()
	a := &endpoint{Conn: client, network: n, link: link{from, to}}
	b := &endpoint{Conn: server, network: n, link: link{to, from}}
	n.mu.Lock()
	l := n.listeners[to]
	n.conns = append(n.conns, a, b)
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	select {
	case l.accepted <- b:
		return a, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// closeAll closes all connections and listeners.
func (n *network) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, c := range n.conns {
		_ = c.Conn.Close()
	}
}

// closeConns closes all connections of an address, as the end of its process does.
func (n *network) closeConns(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.link.from == address {
			_ = c.Conn.Close()
		}
	}
}

type listener struct {
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp", l.address)
	return address
}

// endpoint is one end of a connection.
type endpoint struct {
	net.Conn
	network *network
	link    link
	// dataLost is set once a write was lost. TCP delivers no data that follows lost bytes.
	dataLost atomic.Bool
}

func (w *endpoint) Write(p []byte) (int, error) {
	time.Sleep(wireDelay)
	if w.dataLost.Load() || w.network.isSilent(w.link.from, w.link.to) {
		w.dataLost.Store(true)
		return len(p), nil
	}
	return w.Conn.Write(p)
}

func (w *endpoint) Close() error {
	if w.dataLost.Load() || w.network.isSilent(w.link.from, w.link.to) {
		// The other end must not notice the close. closeAll closes the connection.
		return w.Conn.SetDeadline(time.Now())
	}
	return w.Conn.Close()
}
