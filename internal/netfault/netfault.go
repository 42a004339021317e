// Package netfault passes TCP connections and UDP packets on and harms them: it cuts them one way or both, delays and
// resets them. The processes at both ends notice what they would notice of such a network.
package netfault

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// State is what a fault does to a link. The zero value passes everything at once.
type State struct {
	// CutTo and CutFrom drop what goes to and comes from the listener; the other side notices nothing.
	CutTo, CutFrom bool
	Delay          time.Duration
}

// Link holds the state that all connections through a proxy, or all packets from one sender, share.
type Link struct {
	mu        sync.Mutex
	state     State
	harmedAt  time.Time // end of the last harm
	changed   chan struct{}
	closeOpen func()
}

// NewLink returns a link that passes everything.
func NewLink() *Link { return &Link{changed: make(chan struct{})} }

// Set changes what happens to the link from now on.
func (l *Link) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != (State{}) {
		l.harmedAt = time.Now()
	}
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) now() (State, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// Reset breaks all open connections of a proxy.
func (l *Link) Reset() {
	l.mu.Lock()
	l.harmedAt = time.Now()
	closeOpen := l.closeOpen
	l.mu.Unlock()
	closeOpen()
}

// FaultySince reports whether a fault acts on the link, or did after t.
func (l *Link) FaultySince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state != (State{}) || l.harmedAt.After(t)
}

// pass waits until data may go on in the given direction. It returns false when the link drops it.
func (l *Link) pass(to bool) bool {
	state, _ := l.now()
	time.Sleep(state.Delay)
	return !(to && state.CutTo || !to && state.CutFrom)
}

// Proxy passes TCP connections to a target. What a cut link would drop waits until the link is whole, as a sender repeats
// it, or until the connection ends.
type Proxy struct {
	*Link
	listener net.Listener
	target   string
	breakOff atomic.Int64 // see BreakOff

	mu   sync.Mutex
	open map[net.Conn]struct{}
	done chan struct{}
}

// NewProxy listens on an address and passes connections to a target.
func NewProxy(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{Link: NewLink(), listener: listener, target: target, open: map[net.Conn]struct{}{}, done: make(chan struct{})}
	p.closeOpen = p.resetAll
	go p.accept()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	close(p.done)
	_ = p.listener.Close()
	p.resetAll()
}

// AbortAnswers makes the proxy close connections after a pause in place of passing an answer, and does not count that as harm;
// 0 ends it.
func (p *Proxy) AbortAnswers(pause time.Duration) { p.breakOff.Store(int64(pause)) }

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an orderly end
		}
		_ = c.Close()
	}
}

func (p *Proxy) keep(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[c] = struct{}{}
	} else {
		delete(p.open, c)
	}
}

func (p *Proxy) accept() {
	for {
		front, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // out of descriptors; the caller waits
			continue
		}
		go p.serve(front)
	}
}

func (p *Proxy) serve(front net.Conn) {
	defer front.Close()
	p.keep(front, true)
	defer p.keep(front, false)
	if !p.wait(true) {
		return
	}
	back, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = front.(*net.TCPConn).SetLinger(0) // refused there, so reset here
		return
	}
	defer back.Close()
	p.keep(back, true)
	defer p.keep(back, false)
	ended := make(chan struct{}, 2)
	go func() { p.copy(back, front, true); ended <- struct{}{} }()
	go func() { p.copy(front, back, false); ended <- struct{}{} }()
	<-ended
	<-ended
}

// wait returns once the link passes data in the direction, or false when the proxy ends.
func (p *Proxy) wait(to bool) bool {
	for {
		_, changed := p.now()
		if p.pass(to) {
			return true
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}

func (p *Proxy) copy(to, from net.Conn, forward bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if pause := p.breakOff.Load(); !forward && pause > 0 {
			time.Sleep(time.Duration(pause))
			_ = to.Close()
			return
		}
		if n > 0 && p.wait(forward) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) && p.wait(forward) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Relay passes UDP packets to a target. A cut link drops packets.
type Relay struct {
	front  *net.UDPConn
	target *net.UDPAddr
	link   func(from netip.Addr) *Link

	mu    sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn
	ended bool
}

// NewRelay listens on an address and passes packets to a target. link returns the link of a sender, or nil if nothing
// harms its packets.
func NewRelay(listen, target string, link func(from netip.Addr) *Link) (*Relay, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	front, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{front: front, target: to, link: link, flows: map[netip.AddrPort]*net.UDPConn{}}
	go r.forward()
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.front.LocalAddr().String() }

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = r.front.Close()
	for _, back := range r.flows {
		_ = back.Close()
	}
}

// maxPacket is the longest UDP packet.
const maxPacket = 65536

func (r *Relay) forward() {
	buffer := make([]byte, maxPacket)
	for {
		n, source, err := r.front.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l := r.link(source.Addr().Unmap())
		if back := r.flow(source, l); back != nil {
			send(l, true, buffer[:n], func(packet []byte) { _, _ = back.Write(packet) })
		}
	}
}

// send passes a packet on, later on a slow link, and drops it on a cut one.
func send(l *Link, to bool, packet []byte, write func([]byte)) {
	if l == nil {
		write(packet)
		return
	}
	state, _ := l.now()
	switch {
	case to && state.CutTo || !to && state.CutFrom:
	case state.Delay > 0:
		kept := append([]byte(nil), packet...)
		time.AfterFunc(state.Delay, func() { write(kept) })
	default:
		write(packet)
	}
}

func (r *Relay) flow(source netip.AddrPort, l *Link) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if back := r.flows[source]; back != nil {
		return back
	}
	if r.ended {
		return nil
	}
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.flows[source] = back
	go r.backward(back, source, l)
	return back
}

func (r *Relay) backward(back *net.UDPConn, source netip.AddrPort, l *Link) {
	buffer := make([]byte, maxPacket)
	for {
		n, err := back.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil { // an error tells that the process does not listen now
			send(l, false, buffer[:n], func(packet []byte) { _, _ = r.front.WriteToUDPAddrPort(packet, source) })
		}
	}
}
