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
	// idleTimeout is below the idle timeout that servers commonly use, so that the entry VM and not
	// the executor ends an idle connection.
	idleTimeout = 20 * time.Second
)

// CountingConn counts the bytes written, so that a failed request can be told from one never sent.
type CountingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *CountingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	// Counted before the write: a write that fails may still have delivered a part.
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

// Unsent reports whether nothing was written since Written returned mark. If so, no later write
// succeeds: net/http may still be about to write when it reports an error.
func (c *CountingConn) Unsent(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.written == mark
	return c.written == mark
}

// DialFunc opens a connection to an executor.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns the transport of one executor. It follows no proxy, compresses nothing and
// never opens more connections than the executor allows.
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

// openConnections leaves room for as many connections as there are slots, if it can: a connection
// closed here counts at the executor until it notices.
func openConnections(slots, connections uint32) uint32 {
	if connections > 2*slots {
		return connections - slots
	}
	return connections
}
