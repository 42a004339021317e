package httplimit

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// writeTime bounds the time in which a client must take a piece of an answer. After stallTime it is disconnected if others need room.
	writeTime  = 30 * time.Second
	stallTime  = time.Second
	writeBytes = 64 << 10
)

// Write writes in pieces, each of which a client must take in time.
func (c *connection) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePiece(p[written:min(len(p), written+writeBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *connection) writePiece(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(stallTime))
	n, err := c.Conn.Write(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTime - stallTime))
	n += c.writeAtOnce(p[n:])
	if n == len(p) {
		return n, nil
	}
	c.account.setStalled(true)
	defer c.account.setStalled(false)
	rest, err := c.Conn.Write(p[n:])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.account.budget.observer.disconnected(limitTime)
	}
	return n + rest, err
}

// writeAtOnce writes what the operating system takes without waiting. A deadline passes before the first attempt to write if this process has to
// wait for the processor; that tells nothing about the client.
func (c *connection) writeAtOnce(p []byte) int {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Write(func(fd uintptr) bool {
		n, _ = syscall.Write(int(fd), p)
		return true
	})
	return max(n, 0)
}
