package httplimit

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// pipeListener is a listener for connections in memory.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { close(l.conns); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
func (l pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

var plenty = Limits{Bytes: 10 << 20, Connections: 100}

func echo(limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, limit)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_, _ = w.Write(body)
	})
}

// Guards against connections that are kept forever by a body that never ends, also where the handler does not read it.
func TestBodyThatNeverEndsIsDropped(t *testing.T) {
	ignore := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for name, handler := range map[string]http.Handler{"read": echo(1000), "not read": ignore} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				listener := pipeListener{make(chan net.Conn)}
				server := &http.Server{Handler: handler}
				go func() { _ = server.Serve(Protect(server, listener, "test", plenty, zerolog.Nop())) }()
				conn := listener.dial()
				_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nfirst part")
				is.NoErr(err)
				began := time.Now()
				_, err = io.Copy(io.Discard, conn)
				is.NoErr(err) // the server closed the connection
				is.True(time.Since(began) <= bodyTime+time.Second)
				is.NoErr(server.Close())
			})
		})
	}
}

// Guards against a request that is broken off while it is worked on because its body had a time limit.
func TestWholeRequestMayTakeLongerThanItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := pipeListener{make(chan net.Conn)}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := ReadBody(r, 100); err != nil {
				t.Error(err)
			}
			select {
			case <-r.Context().Done():
				t.Error("the request was cancelled")
			case <-time.After(2 * bodyTime):
			}
		})}
		go func() { _ = server.Serve(Protect(server, listener, "test", plenty, zerolog.Nop())) }()
		conn := listener.dial()
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.NoErr(conn.Close())
		is.NoErr(server.Close())
	})
}

// Guards against an answer that is cut because its client pauses, and against a connection that is kept for a client that takes none of it.
func TestAnswerWaitsForSlowClient(t *testing.T) {
	for pause, whole := range map[time.Duration]bool{10 * time.Second: true, writeTime + time.Second: false} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const size = 3 * writeBytes
				listener := pipeListener{make(chan net.Conn)}
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write(make([]byte, size))
				})}
				go func() { _ = server.Serve(Protect(server, listener, "test", plenty, zerolog.Nop())) }()
				conn := listener.dial()
				_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
				is.NoErr(err)
				time.Sleep(pause)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.Equal(err == nil, whole)
				if whole {
					n, err := io.Copy(io.Discard, resp.Body)
					is.NoErr(err)
					is.Equal(n, int64(size))
				}
				is.NoErr(conn.Close())
				is.NoErr(server.Close())
			})
		})
	}
}

// Guards against bodies that are cut, joined in the wrong order or let through above the limit.
func TestBodiesOfAllSizes(t *testing.T) {
	const limit = 3 * stepBytes
	text := strings.Repeat("0123456789", limit/10+2)
	server := httptest.NewUnstartedServer(echo(limit))
	server.Listener = Protect(server.Config, server.Listener, "test", plenty, zerolog.Nop())
	server.Start()
	defer server.Close()
	for _, size := range []int{0, 1, stepBytes - 1, stepBytes, stepBytes + 1, 2 * stepBytes, limit - 1, limit, limit + 1} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				is := is.New(t)
				var body io.Reader = strings.NewReader(text[:size])
				if chunked {
					body = struct{ io.Reader }{body}
				}
				resp, err := http.Post(server.URL, "text/plain", body)
				is.NoErr(err)
				defer resp.Body.Close()
				got, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(resp.StatusCode == http.StatusOK, size <= limit)
				is.True(size > limit || string(got) == text[:size])
			})
		}
	}
}

// Guards against a server with TLS that does not account for its connections or does not answer.
func TestEncryptedConnectionsHaveAccounts(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if accountOf(r.Context()) == nil || r.TLS == nil || r.ProtoMajor != 1 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	server.TLS = &tls.Config{MinVersion: tls.VersionTLS13}
	server.Config.TLSConfig = server.TLS
	server.Listener = Protect(server.Config, server.Listener, "test", plenty, zerolog.Nop())
	server.StartTLS()
	defer server.Close()
	req, err := http.NewRequest(http.MethodGet, server.URL, nil)
	is.NoErr(err)
	req.Header.Set("Long", strings.Repeat("x", 15<<10))
	for range 3 {
		resp, err := server.Client().Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

// Guards against connections whose odd ends do not give back what they held, until ordinary clients are shut out for good.
func TestOddEndsGiveBackWhatWasHeld(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: x\r\n"
	large := strings.Repeat("x", 20<<10)
	sends := map[string]string{
		"nothing": "", "part of a line": "POST", "part of a header": head + "a:\n", "header too large": head + "a: " + large + large + "\r\n\r\n",
		"no request": "\x16\x03\x01\r\n\r\n", "two lengths": head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", "continuation": head + " a\r\n\r\n",
		"no name": head + ": a\r\n\r\n", "waits for 100": head + "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n", "odd expectation": head + "Expect: x\r\n\r\n",
		"part of a body": head + "Content-Length: 30000\r\n\r\n" + large, "body too large": head + "Content-Length: 300000\r\n\r\n" + large,
		"bad chunk": head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", "long extension": head + "Transfer-Encoding: chunked\r\n\r\n1;" + large,
		"endless chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 500), "panic": "GET /panic HTTP/1.1\r\nHost: x\r\n\r\n",
		"trailers": head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\na: b\r\n\r\n", "HTTP/1.0": "POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nx",
		"many": strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 100) + "GET", "upgrade": "GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
	}
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("wanted")
		}
		echo(100_000).ServeHTTP(w, r)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protected := Protect(server, listener, "odd", plenty, zerolog.Nop())
	budget := protected.(*protectedListener).budget
	var accepted atomic.Int64
	go func() { _ = server.Serve(countingListener{protected, &accepted}) }()
	defer server.Close()
	opened := int64(0)
	for name, sent := range sends {
		for _, end := range []string{"closes", "resets", "half closes"} {
			opened++
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, sent)
			switch tcp := conn.(*net.TCPConn); end {
			case "resets":
				_ = tcp.SetLinger(0)
			case "half closes":
				_ = tcp.CloseWrite()
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				_, _ = io.Copy(io.Discard, conn)
			}
			conn.Close()
			held := func() (bytes int64, open int, known int64) {
				budget.mu.Lock()
				defer budget.mu.Unlock()
				return budget.used, budget.connections + budget.disconnecting, accepted.Load()
			}
			bytes, open, known := held()
			for began := time.Now(); (bytes != 0 || open != 0 || known != opened) && time.Since(began) < 10*time.Second; bytes, open, known = held() {
				time.Sleep(time.Millisecond)
			}
			if bytes != 0 || open != 0 || known != opened {
				t.Fatalf("a client that sends %q and %s leaves %d bytes and %d connections; %d of %d connections were accepted", name, end, bytes, open, known, opened)
			}
		}
	}
}

// countingListener counts the connections that it has accepted.
type countingListener struct {
	net.Listener
	accepted *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}
