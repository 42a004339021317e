package netfault

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerTimeout limits the wait for an expected answer. noAnswerWait is the time after which an answer that must not come
// counts as dropped.
const (
	answerTimeout = 5 * time.Second
	noAnswerWait  = 100 * time.Millisecond
)

// startEchoServer starts a server that sends each line of a connection back, and returns its address.
func startEchoServer(t *testing.T) string {
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

// roundTrip sends a line and returns an error if none comes back in time.
func roundTrip(c net.Conn, within time.Duration) error {
	if _, err := fmt.Fprintln(c, "line"); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

// Guards against faults without effect, which would let a soak test pass without them, and against faults that continue
// after their end.
func TestProxy(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy("127.0.0.1:0", startEchoServer(t))
	is.NoErr(err)
	defer p.Close()
	started := time.Now()
	c, err := net.Dial("tcp", p.Addr())
	is.NoErr(err)
	is.NoErr(roundTrip(c, answerTimeout))
	is.True(!p.FaultySince(started))
	for _, s := range []State{{CutTo: true, CutFrom: true}, {CutTo: true}, {CutFrom: true}, {Delay: answerTimeout}} {
		p.Set(s)
		d, err := net.Dial("tcp", p.Addr())
		is.NoErr(err)
		is.True(roundTrip(d, noAnswerWait) != nil)
		p.Set(State{})
		is.True(p.FaultySince(started))
	}
	is.NoErr(roundTrip(c, answerTimeout))
	p.Reset()
	is.True(roundTrip(c, answerTimeout) != nil)
	c, err = net.Dial("tcp", p.Addr())
	is.NoErr(err)
	is.NoErr(roundTrip(c, answerTimeout))
}

// Guards against refusals without effect, which would let a soak test pass without them.
func TestProxyRefusesConnections(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy("127.0.0.1:0", startEchoServer(t))
	is.NoErr(err)
	defer p.Close()
	c, err := net.Dial("tcp", p.Addr())
	is.NoErr(err)
	is.NoErr(roundTrip(c, answerTimeout))
	p.Refuse()
	is.True(p.FaultySince(time.Now()))
	is.True(errors.Is(roundTrip(c, answerTimeout), syscall.ECONNRESET))
	_, err = net.Dial("tcp", p.Addr())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(p.Accept())
	is.NoErr(p.Accept())
	c, err = net.Dial("tcp", p.Addr())
	is.NoErr(err)
	is.NoErr(roundTrip(c, answerTimeout))
}

// Guards against a restart that fails because a child process that is being started still holds the previous listener.
func TestListenAgainWaitsForPreviousListener(t *testing.T) {
	is := is.New(t)
	previous, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	time.AfterFunc(200*time.Millisecond, func() { _ = previous.Close() })
	again, err := ListenAgain(previous.Addr().String())
	is.NoErr(err)
	is.NoErr(again.Close())
}

// Guards against a cut that affects the connections of another client.
func TestClientProxy(t *testing.T) {
	is := is.New(t)
	links := map[netip.Addr]*Link{netip.MustParseAddr("127.0.0.2"): NewLink()}
	p, err := NewClientProxy("127.0.0.1:0", startEchoServer(t), func(client netip.AddrPort) *Link { return links[client.Addr()] })
	is.NoErr(err)
	defer p.Close()
	dial := func(from string) net.Conn {
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}).Dial("tcp", p.Addr())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	open, unaffected := dial("127.0.0.2"), dial("127.0.0.3")
	is.NoErr(roundTrip(open, answerTimeout))
	links[netip.MustParseAddr("127.0.0.2")].Set(State{CutFrom: true})
	is.True(roundTrip(open, noAnswerWait) != nil)
	is.True(roundTrip(dial("127.0.0.2"), noAnswerWait) != nil)
	is.NoErr(roundTrip(unaffected, answerTimeout))
	links[netip.MustParseAddr("127.0.0.2")].Set(State{})
	is.NoErr(roundTrip(open, answerTimeout))
}

// Guards against a cut that affects the packets of another client or the other direction.
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
	deadline := func(expected bool) time.Time {
		if expected {
			return time.Now().Add(answerTimeout)
		}
		return time.Now().Add(noAnswerWait)
	}
	// exchange sends a packet and an answer to it and reports which of them arrived.
	exchange := func(c *net.UDPConn, expectRequest, expectAnswer bool) (requestArrived, answerArrived bool) {
		_, _ = c.Write([]byte("there")) // a lost packet makes the read below time out
		_ = server.SetReadDeadline(deadline(expectRequest))
		_, from, err := server.ReadFrom(buffer)
		if err != nil {
			return false, false
		}
		_, _ = server.WriteTo([]byte("back"), from)
		_ = c.SetReadDeadline(deadline(expectAnswer))
		_, err = c.Read(buffer)
		return true, err == nil
	}
	faulty, unaffected := dial("127.0.0.2"), dial("127.0.0.3")
	for _, c := range []struct {
		state                         State
		requestArrived, answerArrived bool
	}{{State{}, true, true}, {State{CutTo: true}, false, false}, {State{CutFrom: true}, true, false}, {State{}, true, true}} {
		links[netip.MustParseAddr("127.0.0.2")].Set(c.state)
		requestArrived, answerArrived := exchange(faulty, c.requestArrived, c.answerArrived)
		is.Equal(requestArrived, c.requestArrived)
		is.Equal(answerArrived, c.answerArrived)
		requestArrived, answerArrived = exchange(unaffected, true, true)
		is.True(requestArrived && answerArrived)
	}
}
