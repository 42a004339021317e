package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// udpProxy forwards the UDP packets of each client to a server from a port of its own. It can drop the packets of the
// existing flows while new ones work, as a router does that lost its connection table.
type udpProxy struct {
	socket *net.UDPConn
	server *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*udpFlow
	bytes  int64 // forwarded, UDP payload
}

type udpFlow struct {
	upstream                     *net.UDPConn
	dropUpstream, dropDownstream bool
}

func newUDPProxy(t testing.TB, server string) *udpProxy {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	p := &udpProxy{socket: socket, server: address, flows: map[string]*udpFlow{}}
	go p.forwardUpstream()
	t.Cleanup(p.close)
	return p
}

func (p *udpProxy) close() {
	p.socket.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		f.upstream.Close()
	}
}

func (p *udpProxy) forwardUpstream() {
	buffer := make([]byte, 64<<10)
	for {
		n, client, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		f := p.flows[client.String()]
		if f == nil {
			upstream, err := net.DialUDP("udp", nil, p.server)
			if err != nil {
				p.mu.Unlock()
				return
			}
			f = &udpFlow{upstream: upstream}
			p.flows[client.String()] = f
			go p.forwardDownstream(f, client)
		}
		drop := f.dropUpstream
		p.bytes += int64(n)
		p.mu.Unlock()
		if !drop {
			_, _ = f.upstream.Write(buffer[:n])
		}
	}
}

func (p *udpProxy) forwardDownstream(f *udpFlow, client *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := f.upstream.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p.mu.Lock()
		drop := f.dropDownstream
		p.bytes += int64(n)
		p.mu.Unlock()
		if err == nil && !drop {
			_, _ = p.socket.WriteToUDP(buffer[:n], client)
		}
	}
}

// dropExistingFlows sets which directions of the existing flows are dropped from now on.
func (p *udpProxy) dropExistingFlows(up, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		f.dropUpstream, f.dropDownstream = up, down
	}
}

// startThrough starts the transport of VM a, which reaches VM b through a proxy and no other VM. The caller closes it.
func (d *deployment) startThrough(p *udpProxy) *Transport {
	d.t.Helper()
	a, err := New(Config{ID: "a", Listen: d.addrs["a"], Peers: map[string]string{"b": p.socket.LocalAddr().String()}, Credentials: d.store("a"), Logger: zerolog.Nop()})
	if err != nil {
		d.t.Fatal(err)
	}
	return a
}

// TestSilentConnection guards against calls that hang and messages that are lost for good on a connection whose packets
// are dropped, in both directions or in one, while a new connection would work. Each case loses two connections in a row.
func TestSilentConnection(t *testing.T) {
	for _, c := range []struct {
		name     string
		up, down bool
	}{{"both directions", true, true}, {"requests lost", true, false}, {"answers lost", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, "a", "b")
			b := d.start("b")
			p := newUDPProxy(t, d.addrs["b"])
			a := d.startThrough(p)
			defer a.Close()
			b.HandleCall("echo", echo)
			got := make(chan []byte, 1)
			b.Handle("m", func(_ string, payload []byte) {
				select {
				case got <- payload:
				default:
				}
			})
			for range 2 {
				waitReachable(t, a, "b")
				old := a.links["b"].conn.Load()
				p.dropExistingFlows(c.up, c.down)
				started := time.Now()
				err := a.Call(timeoutContext(t, 10*time.Second), "b", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{})
				detected := time.Since(started)
				is.True(errors.Is(err, ErrNoAnswer))
				for old == a.links["b"].conn.Load() || !a.Reachable("b") {
					time.Sleep(time.Millisecond)
				}
				t.Logf("detected after %v, replaced after %v", detected, time.Since(started))
				is.True(detected < time.Second)
				is.NoErr(a.Call(timeoutContext(t, 10*time.Second), "b", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{}))
				for received := false; !received; {
					a.Send("b", "m", []byte("x"))
					select {
					case <-got:
						received = true
					case <-time.After(10 * time.Millisecond):
					}
				}
			}
		})
	}
}

func TestSilentStream(t *testing.T) {
	// Guards against a stream that seems to end regularly when the packets of its connection are dropped.
	is := is.New(t)
	d := newDeployment(t, "a", "b")
	b := d.start("b")
	p := newUDPProxy(t, d.addrs["b"])
	a := d.startThrough(p)
	defer a.Close()
	handlerErr := make(chan error, 1)
	b.HandleStream("hold", func(_ context.Context, _ string, s Stream) {
		_, _ = s.Write([]byte("first"))
		_, err := io.ReadAll(s)
		handlerErr <- err
	})
	waitReachable(t, a, "b")
	s, err := a.OpenStream(timeoutContext(t, 10*time.Second), "b", "hold")
	is.NoErr(err)
	first := make([]byte, 5)
	_, err = io.ReadFull(s, first)
	is.NoErr(err)
	p.dropExistingFlows(true, true)
	started := time.Now()
	_, err = s.Read(first)
	is.True(errors.Is(err, ErrNoAnswer))
	is.True(time.Since(started) < time.Second)
	is.True(errors.Is(<-handlerErr, ErrNoAnswer))
}

func TestReconnect(t *testing.T) {
	// Guards against a peer that stays unreachable after its process was restarted.
	is := is.New(t)
	d := newDeployment(t, "a", "b")
	a, b := d.start("a"), d.start("b")
	for range 2 {
		waitReachable(t, a, "b")
		is.NoErr(b.Close())
		for a.Reachable("b") {
			time.Sleep(time.Millisecond)
		}
		err := a.Call(timeoutContext(t, time.Second), "b", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{})
		is.True(errors.Is(err, ErrNotSent))
		a.Send("b", "c", nil)
		b = d.start("b")
		b.HandleCall("echo", echo)
	}
	waitReachable(t, a, "b")
	is.NoErr(a.Call(timeoutContext(t, 5*time.Second), "b", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{}))
}
