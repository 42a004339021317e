package routing

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// idleTimeout is below the idle timeout that servers commonly use, so that idle connections are
	// closed by the entry VM and not by the executor.
	idleTimeout = 20 * time.Second
)

// CountingConn counts the bytes written to a connection, so that the gateway knows whether any byte of a
// failed request was sent.
type CountingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	// sealed makes all later writes fail.
	sealed bool
}

// Write implements net.Conn.
func (c *CountingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	// The bytes are counted before the write because a write that fails may still have sent some of them.
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Written returns the number of bytes passed to Write.
func (c *CountingConn) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// SealIfUnsent reports whether nothing was written since Written returned offset. If so, it makes all
// later writes fail, because net/http may still be about to write when it reports an error.
func (c *CountingConn) SealIfUnsent(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.written == offset
	return c.written == offset
}

// DialFunc opens a connection to an executor.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns the HTTP transport of one executor. It uses no proxy and no compression, and never
// opens more connections than the executor allows.
func newTransport(slots, connections uint32, dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &CountingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     int(openConnections(slots, connections)),
		MaxIdleConnsPerHost: int(connections),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// openConnections returns the limit of open connections to an executor. If the executor allows more than
// twice as many connections as slots, the limit leaves as many as there are slots unused: the executor
// still counts a connection closed here until it notices.
func openConnections(slots, connections uint32) uint32 {
	if connections > 2*slots {
		return connections - slots
	}
	return connections
}
