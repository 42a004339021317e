package netfault

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patience is how long an answer may take that is to come; silence is how long one is waited for that must not.
const (
	patience = 5 * time.Second
	silence  = 100 * time.Millisecond
)

// echo answers each line of a connection with itself.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// ask sends a line and reports whether it comes back in time.
func ask(c net.Conn, within time.Duration) error {
	if _, err := fmt.Fprintln(c, "line"); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

// Guards against faults that do nothing, so that a soak would pass without them, and against ones that outlast their end.
func TestProxy(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy("127.0.0.1:0", echo(t))
	is.NoErr(err)
	defer p.Close()
	began := time.Now()
	c, err := net.Dial("tcp", p.Addr())
	is.NoErr(err)
	is.NoErr(ask(c, patience))
	is.True(!p.FaultySince(began))
	for _, s := range []State{{CutTo: true, CutFrom: true}, {CutTo: true}, {CutFrom: true}, {Delay: patience}} {
		p.Set(s)
		d, err := net.Dial("tcp", p.Addr())
		is.NoErr(err)
		is.True(ask(d, silence) != nil)
		p.Set(State{})
		is.True(p.FaultySince(began))
	}
	is.NoErr(ask(c, patience))
	p.Reset()
	is.True(ask(c, patience) != nil)
	c, err = net.Dial("tcp", p.Addr())
	is.NoErr(err)
	is.NoErr(ask(c, patience))
}

// Guards against a cut that hits another pair than the one meant, or the other direction.
func TestRelay(t *testing.T) {
	is := is.New(t)
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer server.Close()
	links := map[netip.Addr]*Link{netip.MustParseAddr("127.0.0.2"): NewLink()}
	r, err := NewRelay("127.0.0.1:0", server.LocalAddr().String(), func(from netip.Addr) *Link { return links[from] })
	is.NoErr(err)
	defer r.Close()
	dial := func(from string) *net.UDPConn {
		to, err := net.ResolveUDPAddr("udp", r.Addr())
		is.NoErr(err)
		c, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(from)}, to)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	buffer := make([]byte, 16)
	wait := func(expected bool) time.Time {
		if expected {
			return time.Now().Add(patience)
		}
		return time.Now().Add(silence)
	}
	// exchange reports whether a packet arrives, and whether its answer does.
	exchange := func(c *net.UDPConn, expectThere, expectBack bool) (there, back bool) {
		_, _ = c.Write([]byte("there")) // a loss shows below
		_ = server.SetReadDeadline(wait(expectThere))
		_, from, err := server.ReadFrom(buffer)
		if err != nil {
			return false, false
		}
		_, _ = server.WriteTo([]byte("back"), from)
		_ = c.SetReadDeadline(wait(expectBack))
		_, err = c.Read(buffer)
		return true, err == nil
	}
	linked, other := dial("127.0.0.2"), dial("127.0.0.3")
	for _, c := range []struct {
		state       State
		there, back bool
	}{{State{}, true, true}, {State{CutTo: true}, false, false}, {State{CutFrom: true}, true, false}, {State{}, true, true}} {
		links[netip.MustParseAddr("127.0.0.2")].Set(c.state)
		there, back := exchange(linked, c.there, c.back)
		is.Equal(there, c.there)
		is.Equal(back, c.back)
		there, back = exchange(other, true, true)
		is.True(there && back)
	}
}
