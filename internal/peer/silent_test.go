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

// relay forwards UDP packets of each client from a port of its own. It can stop forwarding for the flows that exist,
// while new ones work, as a router does that lost its connection table.
type relay struct {
	socket *net.UDPConn
	server *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*flow
	bytes  int64 // forwarded, UDP payload
}

type flow struct {
	upstream             *net.UDPConn
	dropUp, dropDownward bool
}

func newRelay(t testing.TB, server string) *relay {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{socket: socket, server: address, flows: map[string]*flow{}}
	go r.forward()
	t.Cleanup(r.close)
	return r
}

func (r *relay) close() {
	r.socket.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.upstream.Close()
	}
}

func (r *relay) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, client, err := r.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		f := r.flows[client.String()]
		if f == nil {
			upstream, err := net.DialUDP("udp", nil, r.server)
			if err != nil {
				r.mu.Unlock()
				return
			}
			f = &flow{upstream: upstream}
			r.flows[client.String()] = f
			go r.back(f, client)
		}
		drop := f.dropUp
		r.bytes += int64(n)
		r.mu.Unlock()
		if !drop {
			_, _ = f.upstream.Write(buffer[:n])
		}
	}
}

func (r *relay) back(f *flow, client *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := f.upstream.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		r.mu.Lock()
		drop := f.dropDownward
		r.bytes += int64(n)
		r.mu.Unlock()
		if err == nil && !drop {
			_, _ = r.socket.WriteToUDP(buffer[:n], client)
		}
	}
}

// silence drops the packets of all existing flows from now on.
func (r *relay) silence(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.dropUp, f.dropDownward = up, down
	}
}

// TestSilentConnection guards against calls that hang, and messages that vanish, on a connection that became silent
// while new connections work; in both directions and in each of them. It does so twice in a row.
func TestSilentConnection(t *testing.T) {
	for _, c := range []struct {
		name     string
		up, down bool
	}{{"both directions", true, true}, {"requests lost", true, false}, {"answers lost", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, "a", "b")
			b := d.start("b")
			r := newRelay(t, d.addrs["b"])
			a, err := New(Config{ID: "a", Listen: d.addrs["a"], Peers: map[string]string{"b": r.socket.LocalAddr().String()}, Credentials: d.store("a"), Logger: zerolog.Nop()})
			is.NoErr(err)
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
				reach(t, a, "b")
				old := a.links["b"].conn.Load()
				r.silence(c.up, c.down)
				started := time.Now()
				err := a.Call(within(t, 10*time.Second), "b", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{})
				detected := time.Since(started)
				is.True(errors.Is(err, ErrNoAnswer))
				for old == a.links["b"].conn.Load() || !a.Reachable("b") {
					time.Sleep(time.Millisecond)
				}
				t.Logf("detected after %v, replaced after %v", detected, time.Since(started))
				is.True(detected < time.Second)
				is.NoErr(a.Call(within(t, 10*time.Second), "b", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{}))
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
	// Guards against a body that ends early without an error when the connection becomes silent.
	is := is.New(t)
	d := newDeployment(t, "a", "b")
	b := d.start("b")
	r := newRelay(t, d.addrs["b"])
	a, err := New(Config{ID: "a", Listen: d.addrs["a"], Peers: map[string]string{"b": r.socket.LocalAddr().String()}, Credentials: d.store("a"), Logger: zerolog.Nop()})
	is.NoErr(err)
	defer a.Close()
	handlerSaw := make(chan error, 1)
	b.HandleStream("hold", func(_ context.Context, _ string, s Stream) {
		_, _ = s.Write([]byte("first"))
		_, err := io.ReadAll(s)
		handlerSaw <- err
	})
	reach(t, a, "b")
	s, err := a.OpenStream(within(t, 10*time.Second), "b", "hold")
	is.NoErr(err)
	first := make([]byte, 5)
	_, err = io.ReadFull(s, first)
	is.NoErr(err)
	r.silence(true, true)
	started := time.Now()
	_, err = s.Read(first)
	is.True(errors.Is(err, ErrNoAnswer))
	is.True(time.Since(started) < time.Second)
	is.True(errors.Is(<-handlerSaw, ErrNoAnswer))
}

func TestReconnect(t *testing.T) {
	// Guards against a peer that stays unreachable after its process was replaced.
	is := is.New(t)
	d := newDeployment(t, "a", "b")
	a, b := d.start("a"), d.start("b")
	for range 2 {
		reach(t, a, "b")
		is.NoErr(b.Close())
		for a.Reachable("b") {
			time.Sleep(time.Millisecond)
		}
		err := a.Call(within(t, time.Second), "b", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{})
		is.True(errors.Is(err, ErrNotSent))
		a.Send("b", "c", nil)
		b = d.start("b")
		b.HandleCall("echo", echo)
	}
	reach(t, a, "b")
	is.NoErr(a.Call(within(t, 5*time.Second), "b", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{}))
}
