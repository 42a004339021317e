package httplimit

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// delayedConn is a connection of a process that has to wait for the processor: its first deadline has passed before it writes, and
// each later call takes a while.
type delayedConn struct {
	*net.TCPConn
	delayed bool
}

func (c *delayedConn) SetWriteDeadline(t time.Time) error {
	err := c.TCPConn.SetWriteDeadline(t)
	if !c.delayed {
		c.delayed = true
		time.Sleep(time.Until(t) + 20*time.Millisecond)
	}
	return err
}

func (c *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return c.TCPConn.Write(p)
}

// Guards against an ordinary client that is disconnected before its answer is sent, as one that does not take it, because the process was slow.
func TestDelayedAnswerIsNotTakenForStalledClient(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer client.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	b := newBudget(10<<20, 1, newObserver("test", 10<<20, 1, zerolog.Nop()))
	account, err := b.open(func() { _ = accepted.Close() }, 0)
	is.NoErr(err)
	is.True(account.received())
	is.NoErr(account.complete())
	newcomer := make(chan error, 1)
	go func() { // needs the only connection
		_, err := b.open(func() {}, 3*time.Second)
		newcomer <- err
	}()
	c := &connection{&delayedConn{TCPConn: accepted.(*net.TCPConn)}, account, false}
	_, err = c.Write([]byte("answer"))
	is.NoErr(err)
	is.NoErr(c.Close())
	is.NoErr(<-newcomer)
	got, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(string(got), "answer")
}
