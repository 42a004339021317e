package httplimit

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"
)

const (
	// bodyTime bounds the time for a request body. Handlers may set another deadline.
	bodyTime = 30 * time.Second
	// admitTime is how long a new connection waits while all others have whole requests that are worked on.
	admitTime = time.Second
	// unreadBytes is how much of what a client sends the operating system keeps until it is read.
	unreadBytes = 64 << 10
)

// Limits are the limits for all clients of a server.
type Limits struct {
	// Bytes is the memory for unfinished requests and open connections.
	Bytes       int64
	Connections int
}

const (
	// smallShare and smallestBytes are what a server for few clients gets, such as one for readiness checks.
	smallShare          = 1.0 / 16
	smallestBytes       = 1 << 20
	smallestConnections = 8
)

// Small returns the limits of a server beside the main one that has few clients.
func (l Limits) Small() Limits {
	return Limits{max(int64(smallShare*float64(l.Bytes)), smallestBytes), max(int(smallShare*float64(l.Connections)), smallestConnections)}
}

// Protect makes a server keep to the limits and returns the listener that it must serve. It must be called once the server is
// configured otherwise. The server must not speak HTTP/2, which has several requests in one connection. name identifies the server
// in metrics and logs.
func Protect(server *http.Server, listener net.Listener, name string, l Limits, log zerolog.Logger) net.Listener {
	budget := newBudget(l.Bytes, l.Connections, newObserver(name, l.Bytes, l.Connections, log))
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Handler = budget.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, accountKey{}, accountOfConnection(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if a := accountOfConnection(c); a != nil && state == http.StateIdle {
			a.answered()
		}
	}
	return &protectedListener{listener, budget, server.TLSConfig != nil}
}

type accountKey struct{}

func accountOf(ctx context.Context) *Account {
	account, _ := ctx.Value(accountKey{}).(*Account)
	return account
}

func accountOfConnection(c net.Conn) *Account {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	if p, ok := c.(*connection); ok {
		return p.account
	}
	return nil
}

// handler returns a handler that notes when the header and the body of a request have arrived.
func (b *Budget) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := accountOf(r.Context())
		if account == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength == 0 {
			account.headerEnded(costOfHeader(r.Header), nil)
			if account.complete() != nil {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		account.headerEnded(costOfHeader(r.Header), cancel)
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(bodyTime))
		// A copy, since net/http looks at the type of the body in its own request.
		observed := r.WithContext(ctx)
		observed.Body = &requestBody{r.Body, account, control}
		next.ServeHTTP(w, observed)
	})
}

// requestBody notes the end of a body.
type requestBody struct {
	io.ReadCloser
	account *Account
	control *http.ResponseController
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.account.complete(); err != nil {
		return 0, err
	}
	_ = b.control.SetReadDeadline(time.Time{}) // the deadline was for the body
	return n, io.EOF
}

// protectedListener opens an account for each connection. It closes connections for which there is no place.
type protectedListener struct {
	net.Listener
	budget    *Budget
	encrypted bool
}

func (l *protectedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := inner.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(unreadBytes)
		}
		account, err := l.budget.open(func() { _ = inner.Close() }, admitTime)
		if err == nil {
			return &connection{inner, account, l.encrypted}, nil
		}
		_ = inner.Close()
	}
}

// connection notes what is read from a connection.
type connection struct {
	net.Conn
	account   *Account
	encrypted bool
}

func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.account.received() {
		if err := c.account.hold(costOfPart(p[:n], c.encrypted)); err != nil {
			// As an error of reading, so that net/http sends no answer that says that the request is malformed.
			return 0, &net.OpError{Op: "read", Net: c.RemoteAddr().Network(), Addr: c.RemoteAddr(), Err: err}
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.account.timedOut()
	}
	return n, err
}

func (c *connection) Close() error {
	defer c.account.end()
	return c.Conn.Close()
}

// CloseWrite lets net/http send the rest of an answer before it closes the connection.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}
