package emulator

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

// linkState is what a fault does to a link. The zero value passes everything at once.
type linkState struct {
	// cutTo and cutFrom drop what goes to and comes from the listener; the other side notices nothing.
	cutTo, cutFrom bool
	delay          time.Duration
}

// link holds the state that all connections through a proxy share.
type link struct {
	mu        sync.Mutex
	state     linkState
	harmedAt  time.Time // end of the last harm
	changed   chan struct{}
	closeOpen func()
}

func newLink() *link { return &link{changed: make(chan struct{})} }

func (l *link) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != (linkState{}) {
		l.harmedAt = time.Now()
	}
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) now() (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// reset breaks all open connections.
func (l *link) reset() {
	l.mu.Lock()
	l.harmedAt = time.Now()
	closeOpen := l.closeOpen
	l.mu.Unlock()
	closeOpen()
}

// harmedSince reports whether a fault acts on the link, or did after t.
func (l *link) harmedSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state != (linkState{}) || l.harmedAt.After(t)
}

// pass waits until data may go on in the given direction. It returns false when the link drops it.
func (l *link) pass(to bool) bool {
	state, _ := l.now()
	time.Sleep(state.delay)
	return !(to && state.cutTo || !to && state.cutFrom)
}

// tcpProxy passes connections to a target. What a cut link would drop waits until the link is whole, as a sender repeats
// it, or until the connection ends.
type tcpProxy struct {
	*link
	listener net.Listener
	target   string
	breakOff atomic.Bool // close connections in place of passing answers, for sabotage

	mu   sync.Mutex
	open map[net.Conn]struct{}
	done chan struct{}
}

func newTCPProxy(listen, target string) (*tcpProxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &tcpProxy{link: newLink(), listener: listener, target: target, open: map[net.Conn]struct{}{}, done: make(chan struct{})}
	p.closeOpen = p.resetAll
	go p.accept()
	return p, nil
}

func (p *tcpProxy) close() {
	close(p.done)
	_ = p.listener.Close()
	p.resetAll()
}

func (p *tcpProxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an orderly end
		}
		_ = c.Close()
	}
}

func (p *tcpProxy) keep(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[c] = struct{}{}
	} else {
		delete(p.open, c)
	}
}

func (p *tcpProxy) accept() {
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

func (p *tcpProxy) serve(front net.Conn) {
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
func (p *tcpProxy) wait(to bool) bool {
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

func (p *tcpProxy) copy(to, from net.Conn, forward bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !forward && p.breakOff.Load() {
			time.Sleep(2 * lossSlack)
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

// udpRelay stands at the address of a VM and passes the packets of the other VMs, with one link for each of them. A cut
// link drops packets.
type udpRelay struct {
	front  *net.UDPConn
	target *net.UDPAddr
	links  map[netip.Addr]*link // by the address from which the other VM sends

	mu    sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn
	ended bool
}

func newUDPRelay(listen, target string, links map[netip.Addr]*link) (*udpRelay, error) {
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
	r := &udpRelay{front: front, target: to, links: links, flows: map[netip.AddrPort]*net.UDPConn{}}
	go r.forward()
	return r, nil
}

func (r *udpRelay) close() {
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

func (r *udpRelay) forward() {
	buffer := make([]byte, maxPacket)
	for {
		n, source, err := r.front.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l := r.links[source.Addr().Unmap()]
		if back := r.flow(source, l); back != nil {
			send(l, true, buffer[:n], func(packet []byte) { _, _ = back.Write(packet) })
		}
	}
}

// send passes a packet on, later on a slow link, and drops it on a cut one.
func send(l *link, to bool, packet []byte, write func([]byte)) {
	if l == nil {
		write(packet)
		return
	}
	state, _ := l.now()
	switch {
	case to && state.cutTo || !to && state.cutFrom:
	case state.delay > 0:
		kept := append([]byte(nil), packet...)
		time.AfterFunc(state.delay, func() { write(kept) })
	default:
		write(packet)
	}
}

func (r *udpRelay) flow(source netip.AddrPort, l *link) *net.UDPConn {
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

func (r *udpRelay) backward(back *net.UDPConn, source netip.AddrPort, l *link) {
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
