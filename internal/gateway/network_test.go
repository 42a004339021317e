package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// wireDelay is the time that each write takes on the in-memory network.
const wireDelay = time.Millisecond

var errRefused = errors.New("connection refused")

// network is an in-memory network under a fake clock. Links can become silent: what is written on an
// open connection is lost, and new connections do not open.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	silent    map[link]bool
	conns     []*wire
}

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
	a := &wire{Conn: client, network: n, link: link{from, to}}
	b := &wire{Conn: server, network: n, link: link{to, from}}
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

// closeAll ends every connection and listener.
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

// cut ends every connection of an address, as the death of its process does.
func (n *network) cut(address string) {
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

// wire is one end of a connection.
type wire struct {
	net.Conn
	network *network
	link    link
	// dead is set once a write was lost: TCP never delivers what comes after lost bytes.
	dead atomic.Bool
}

func (w *wire) Write(p []byte) (int, error) {
	time.Sleep(wireDelay)
	if w.dead.Load() || w.network.isSilent(w.link.from, w.link.to) {
		w.dead.Store(true)
		return len(p), nil
	}
	return w.Conn.Write(p)
}

func (w *wire) Close() error {
	if w.dead.Load() || w.network.isSilent(w.link.from, w.link.to) {
		// The other end does not learn of it. closeAll ends the connection.
		return w.Conn.SetDeadline(time.Now())
	}
	return w.Conn.Close()
}
