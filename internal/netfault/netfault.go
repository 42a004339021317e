// Package netfault injects network faults for tests. Its proxies forward TCP connections and UDP packets, and can drop
// one or both directions, delay data and reset connections. The processes at both ends see what they would see on a
// network with that fault.
package netfault

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// State is the fault that acts on a link. The zero value forwards everything without delay.
type State struct {
	// CutTo drops what goes to the target, CutFrom what comes from it. The sender gets no error.
	CutTo, CutFrom bool
	// Delay is added in each direction.
	Delay time.Duration
}

// Link holds the state that applies to all connections through a Proxy, or to all packets of one client of a Relay.
type Link struct {
	mu               sync.Mutex
	state            State
	lastFaultAt      time.Time     // end of the last fault, or time of the last Reset
	refusing         bool          // see Proxy.Refuse
	changed          chan struct{} // closed and replaced when state changes
	resetConnections func()
}

// NewLink returns a link without a fault.
func NewLink() *Link { return &Link{changed: make(chan struct{})} }

// Set replaces the state of the link.
func (l *Link) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != (State{}) {
		l.lastFaultAt = time.Now()
	}
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// current returns the state and a channel that is closed when it changes.
func (l *Link) current() (State, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// Reset resets all open connections of a Proxy. It must not be called on the link of a Relay.
func (l *Link) Reset() {
	l.mu.Lock()
	l.lastFaultAt = time.Now()
	resetConnections := l.resetConnections
	l.mu.Unlock()
	resetConnections()
}

// FaultySince reports whether a fault acts on the link now or acted on it after t.
func (l *Link) FaultySince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state != (State{}) || l.refusing || l.lastFaultAt.After(t)
}

// Forwards reports whether the link forwards data in the given direction.
func (l *Link) Forwards(toTarget bool) bool {
	state, _ := l.current()
	return !(toTarget && state.CutTo || !toTarget && state.CutFrom)
}

// applyFault waits for the delay of the link. It returns false if the link drops data in the given direction.
func (l *Link) applyFault(toTarget bool) bool {
	state, _ := l.current()
	time.Sleep(state.Delay)
	return l.Forwards(toTarget)
}

const (
	// listenTimeout bounds the time for which ListenAgain tries, at listenRetryInterval.
	listenTimeout       = 2 * time.Second
	listenRetryInterval = 5 * time.Millisecond
)

// ListenAgain listens on an address whose previous listener was closed a moment ago. A child process that this one is starting holds a copy of
// that listener until it executes its program.
func ListenAgain(address string) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(listenRetryInterval) {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > listenTimeout {
			return listener, err
		}
	}
}

// Proxy forwards TCP connections to a target. Data in a cut direction is kept until the cut ends, since TCP would
// retransmit it, or until the connection ends.
type Proxy struct {
	*Link
	address    string
	listener   net.Listener // guarded by Link.mu
	target     string
	linkOf     func(client netip.AddrPort) *Link // may be nil, see NewClientProxy
	abortPause atomic.Int64                      // nanoseconds, see AbortAnswers

	mu   sync.Mutex
	open map[net.Conn]struct{}
	done chan struct{}
}

// NewProxy starts a proxy that listens on an address and forwards connections to a target.
func NewProxy(listen, target string) (*Proxy, error) { return NewClientProxy(listen, target, nil) }

// NewClientProxy starts a proxy whose connections have a second link, which linkOf chooses by the address of the client. Data passes
// only if neither link drops it. linkOf may return nil.
func NewClientProxy(listen, target string, linkOf func(client netip.AddrPort) *Link) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{Link: NewLink(), address: listener.Addr().String(), listener: listener, target: target, linkOf: linkOf,
		open: map[net.Conn]struct{}{}, done: make(chan struct{})}
	p.resetConnections = p.resetAll
	go p.accept(listener)
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.address }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	close(p.done)
	p.Link.mu.Lock()
	_ = p.listener.Close()
	p.Link.mu.Unlock()
	p.resetAll()
}

// Refuse makes the proxy refuse connections and resets the open ones, as some partitions do, until Accept is called.
func (p *Proxy) Refuse() {
	p.Link.mu.Lock()
	p.refusing = true
	_ = p.listener.Close()
	p.Link.mu.Unlock()
	p.Reset()
}

// Accept ends Refuse. It returns an error if the proxy cannot listen on its address again.
func (p *Proxy) Accept() error {
	p.Link.mu.Lock()
	defer p.Link.mu.Unlock()
	if !p.refusing {
		return nil
	}
	listener, err := ListenAgain(p.address)
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	p.listener, p.refusing, p.lastFaultAt = listener, false, time.Now()
	go p.accept(listener)
	return nil
}

// AbortAnswers makes the proxy wait for the pause and then close the connection instead of forwarding an answer.
// FaultySince does not report this. A pause of 0 turns it off.
func (p *Proxy) AbortAnswers(pause time.Duration) { p.abortPause.Store(int64(pause)) }

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close then sends RST instead of FIN, also that by the goroutine which forwards to it
		}
	}
	for c := range p.open {
		_ = c.Close()
	}
}

// track adds a connection to the open ones, or removes it.
func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[c] = struct{}{}
	} else {
		delete(p.open, c)
	}
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // for example out of file descriptors; the client waits in the backlog
			continue
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	p.track(client, true)
	defer p.track(client, false)
	links := p.linksOf(client)
	if !p.waitUntilForwarded(links, true) {
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // the target refused the connection, so reset that of the client
		return
	}
	defer upstream.Close()
	p.track(upstream, true)
	defer p.track(upstream, false)
	directionDone := make(chan struct{}, 2)
	go func() { p.copyData(upstream, client, links, true); directionDone <- struct{}{} }()
	go func() { p.copyData(client, upstream, links, false); directionDone <- struct{}{} }()
	<-directionDone
	<-directionDone
}

// linksOf returns the links that a connection of a client passes.
func (p *Proxy) linksOf(client net.Conn) []*Link {
	links := []*Link{p.Link}
	if tcp, ok := client.RemoteAddr().(*net.TCPAddr); ok && p.linkOf != nil {
		if l := p.linkOf(tcp.AddrPort()); l != nil {
			links = append(links, l)
		}
	}
	return links
}

// waitUntilForwarded waits until all links forward data in the given direction. It returns false if the proxy is closed first.
func (p *Proxy) waitUntilForwarded(links []*Link, toTarget bool) bool {
	for i := 0; i < len(links); {
		_, changed := links[i].current()
		if links[i].applyFault(toTarget) {
			i++
			continue
		}
		select {
		case <-changed:
			i = 0 // an earlier link may drop data by now
		case <-p.done:
			return false
		}
	}
	return true
}

// copyData forwards one direction of a connection. The end of the data and errors are passed on to the receiving side.
func (p *Proxy) copyData(to, from net.Conn, links []*Link, toTarget bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if pause := p.abortPause.Load(); !toTarget && pause > 0 {
			time.Sleep(time.Duration(pause))
			_ = to.Close()
			return
		}
		if n > 0 && p.waitUntilForwarded(links, toTarget) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) && p.waitUntilForwarded(links, toTarget) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Relay forwards UDP packets to a target. A cut link drops packets.
type Relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	linkOf   func(from netip.Addr) *Link

	mu     sync.Mutex
	flows  map[netip.AddrPort]*net.UDPConn
	closed bool
}

// NewRelay starts a relay that listens on an address and forwards packets to a target. linkOf returns the link of a
// client, or nil if its packets are always forwarded.
func NewRelay(listen, target string, linkOf func(from netip.Addr) *Link) (*Relay, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	listenAddr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	listener, err := net.ListenUDP("udp", listenAddr)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: listener, target: targetAddr, linkOf: linkOf, flows: map[netip.AddrPort]*net.UDPConn{}}
	go r.forwardPackets()
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.LocalAddr().String() }

// Close stops the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for _, upstream := range r.flows {
		_ = upstream.Close()
	}
}

// maxPacket is an upper limit for the size of a UDP packet.
const maxPacket = 65536

// forwardPackets forwards the packets of the clients to the target.
func (r *Relay) forwardPackets() {
	buffer := make([]byte, maxPacket)
	for {
		n, source, err := r.listener.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l := r.linkOf(source.Addr().Unmap())
		if upstream := r.flow(source, l); upstream != nil {
			send(l, true, buffer[:n], func(packet []byte) { _, _ = upstream.Write(packet) })
		}
	}
}

// send forwards a packet according to the state of its link: at once, after the delay, or not at all.
func send(l *Link, toTarget bool, packet []byte, write func([]byte)) {
	if l == nil {
		write(packet)
		return
	}
	state, _ := l.current()
	switch {
	case toTarget && state.CutTo || !toTarget && state.CutFrom:
	case state.Delay > 0:
		delayed := append([]byte(nil), packet...)
		time.AfterFunc(state.Delay, func() { write(delayed) })
	default:
		write(packet)
	}
}

// flow returns the socket that forwards the packets of a client, and opens it for the first packet. It returns nil if the
// relay is closed or the socket cannot be opened.
func (r *Relay) flow(source netip.AddrPort, l *Link) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if upstream := r.flows[source]; upstream != nil {
		return upstream
	}
	if r.closed {
		return nil
	}
	upstream, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.flows[source] = upstream
	go r.forwardReplies(upstream, source, l)
	return upstream
}

// forwardReplies forwards the packets of the target to one client.
func (r *Relay) forwardReplies(upstream *net.UDPConn, source netip.AddrPort, l *Link) {
	buffer := make([]byte, maxPacket)
	for {
		n, err := upstream.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil { // an error means that the target process is not listening
			send(l, false, buffer[:n], func(packet []byte) { _, _ = r.listener.WriteToUDPAddrPort(packet, source) })
		}
	}
}
