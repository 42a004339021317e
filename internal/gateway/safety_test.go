package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/routing"
	"github.com/lentilyard/lentilyard/internal/standin"
)

// breakingExecutor answers the first request on each connection and closes the connection after reading
// the second one, like an executor that closes an idle connection just when a request arrives.
type breakingExecutor struct {
	listener net.Listener
	requests atomic.Int32
}

func (b *breakingExecutor) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(conn)
	}
}

func (b *breakingExecutor) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b.requests.Add(1)
		_, _ = io.Copy(io.Discard, req.Body)
		if n > 0 {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// leaseTo gives the table the lease of an executor that does not send announcements.
func leaseTo(t *testing.T, table *routing.Table, address string) {
	a := &pb.Announcement{Id: "breaking", Instance: "i", Service: "orders", Address: address, Slots: 8, Connections: 64}
	for range 2 {
		answer, err := table.Announce(a)
		if err != nil {
			t.Fatal(err)
		}
		a.Nonce = answer.Nonce
	}
}

// Guards against net/http resending a request on its own when a reused connection breaks. It does so for
// requests without a body that are idempotent or have an Idempotency-Key header.
func TestNetHTTPNeverResends(t *testing.T) {
	for _, c := range []struct{ name, method, body string }{
		{"POST without a body", "POST", ""}, {"POST with a body", "POST", "b"}, {"GET", "GET", ""}, {"PUT with a body", "PUT", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			executor := &breakingExecutor{listener: listener}
			go executor.serve()
			v := newEntryVM(t, nil)
			leaseTo(t, v.table, "http://"+listener.Addr().String())
			send := func(n int) *http.Response {
				resp, _, err := do(t, v, c.method, "/v1/services/orders/x", c.body, "Idempotency-Key", newKey(time.Now(), n))
				is.NoErr(err)
				return resp
			}
			is.Equal(send(1).StatusCode, http.StatusOK)
			second := send(2)
			is.Equal(second.StatusCode, http.StatusBadGateway)
			is.Equal(second.Header.Get("Lentilyard-Outcome"), "unknown")
			is.Equal(executor.requests.Load(), int32(2)) // one for each attempt of the gateway
		})
	}
}

// Guards against a truncated response that the caller takes for a complete one.
func TestTruncatedResponseBreaksConnection(t *testing.T) {
	is := is.New(t)
	v := newEntryVM(t, nil)
	e := startExecutor(t, v, standin.ExecutorOptions{ID: "e1"})
	e.SetMode(standin.ModeCut)
	_, body, err := do(t, v, "GET", "/v1/services/orders/x", "")
	is.True(err != nil)
	is.True(len(body) < 1000)
	e.SetMode(standin.ModeNormal)
	_, _, err = do(t, v, "GET", "/v1/services/orders/x", "")
	is.NoErr(err)
}

// Guards against callers' tokens reaching executors, forged Lentilyard headers, and forwarded hop-by-hop
// headers.
func TestHeadersTowardsExecutor(t *testing.T) {
	is := is.New(t)
	v := newEntryVM(t, nil)
	seen := make(chan http.Header, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set("Lentilyard-Target", "forged")
		w.Header().Set("X-Kept", "yes")
	})
	startExecutor(t, v, standin.ExecutorOptions{ID: "e1", Handler: handler})
	resp, _, err := do(t, v, "GET", "/v1/services/orders/x", "", "Authorization", "Bearer secret", "Lentilyard-Member", "other",
		"lentilyard-anything", "x", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "1")
	is.NoErr(err)
	is.Equal(resp.Header.Values("Lentilyard-Target"), []string{"e1"})
	is.Equal(resp.Header.Get("X-Kept"), "yes")
	h := <-seen
	is.Equal(h.Get("Authorization"), "")
	is.Equal(h.Values("Lentilyard-Member"), []string{"hanbit"})
	is.Equal(h.Get("Lentilyard-Anything"), "")
	is.Equal(h.Get("X-Hop"), "")
	is.Equal(h.Get("X-Kept"), "1")
	is.True(h.Get("Lentilyard-Request-Id") != "")
}

// Guards against a large body that is accepted without a digest or with a wrong one.
func TestLargeBodyNeedsDigest(t *testing.T) {
	is := is.New(t)
	v := newEntryVM(t, nil)
	startExecutor(t, v, standin.ExecutorOptions{ID: "e1"})
	body := strings.Repeat("x", 3*maxBufferedBytes)
	key := newKey(time.Now(), 5)
	resp, _, err := do(t, v, "POST", "/v1/services/orders/x", body, "Idempotency-Key", key)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusLengthRequired)
	wrong := "sha-256=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:"
	resp, _, err = do(t, v, "POST", "/v1/services/orders/x", body, "Idempotency-Key", key, "Content-Digest", wrong)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	is.Equal(resp.Header.Get("Lentilyard-Outcome"), "unknown")
}

// Guards against wrong status codes and outcomes for expired, future and invalid keys and malformed
// headers, and against a rate limiter that allows more or less than the contract's rate.
func TestRefusals(t *testing.T) {
	v := newEntryVM(t, nil)
	startExecutor(t, v, standin.ExecutorOptions{ID: "e1"})
	for _, c := range []struct {
		method, header, value, outcome string
		status                         int
	}{
		{"POST", "Idempotency-Key", newKey(time.Now().Add(-25*time.Hour), 1), "unknown", http.StatusConflict},
		{"POST", "Idempotency-Key", newKey(time.Now().Add(time.Hour), 1), "not-run", http.StatusBadRequest},
		{"POST", "Idempotency-Key", "6f1f2d62-9d3c-4c1c-8a51-1f8b1f0a7c11", "not-run", http.StatusBadRequest},
		{"GET", "Lentilyard-Deadline-Ms", "soon", "not-run", http.StatusBadRequest},
		{"GET", "Lentilyard-Idempotent", "maybe", "not-run", http.StatusBadRequest},
		{"GET", "Lentilyard-Idempotent", "false", "not-run", http.StatusBadRequest},
	} {
		is := is.New(t)
		resp, _, err := do(t, v, c.method, "/v1/services/orders/x", "", c.header, c.value)
		is.NoErr(err)
		is.Equal(resp.StatusCode, c.status)
		is.Equal(resp.Header.Get("Lentilyard-Outcome"), c.outcome)
	}
	is := is.New(t)
	limiter := rateLimiter{buckets: make(map[string]*bucket)}
	contract := &pb.ResolvedContract{Written: &pb.Contract{Name: "c"}, Resolved: &pb.ResolvedLimits{RequestRate: 10000}}
	now, allowed := time.Now(), 0
	for i := range 2000 {
		if limiter.allow(contract, 0.5, now.Add(time.Duration(i)*time.Millisecond)) {
			allowed++
		}
	}
	is.Equal(allowed, 14) // 5 at once, then 5 a second for 2 s; the last one is due at 2 s
}

// Guards against header values that make the parser panic or result in a deadline out of range.
func FuzzHeaders(f *testing.F) {
	f.Add("5000", "true", newKey(time.UnixMilli(1), 1), "sha-256=:AAAA:", "close, X-A", "/v1/services/a/b?c=d")
	f.Add("-1", "", "", "", "", "/v1/services/%2F/")
	g := New(Config{})
	f.Fuzz(func(t *testing.T, deadline, idempotent, key, digest, connection, path string) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.URL.Path = path
		for name, value := range map[string]string{headerDeadline: deadline, headerIdempotent: idempotent, headerKey: key, "Connection": connection} {
			req.Header[name] = []string{value}
		}
		_, _ = idempotency.Parse(key)
		_ = parseContentDigest(digest)
		before := time.Now()
		c, err := g.parse(req, "m")
		if err != nil {
			return
		}
		if left := c.deadline.Sub(before); left <= 0 || left > 2*DefaultDeadline {
			t.Fatalf("deadline %q leaves %v", deadline, left)
		}
		if c.service == "" || !strings.HasPrefix(c.path, "/") {
			t.Fatalf("path %q gives service %q and path %q", path, c.service, c.path)
		}
	})
}

// Guards against a repeated request that is refused as not run although the first attempt, whose response
// was lost, was executed (P5).
func TestRefusedRepeatHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	v := newEntryVM(t, func(c *Config) { c.Domains = []string{"d1", "d2"} })
	startExecutor(t, v, standin.ExecutorOptions{ID: "e1"})
	key := ""
	for n := 0; key == "" || OwnerDomain([]string{"d1", "d2"}, "hanbit", key) != "d2"; n++ {
		key = newKey(time.Now(), n)
	}
	for _, c := range []struct{ attempt, outcome string }{{"1", "not-run"}, {"2", "unknown"}, {"", "unknown"}} {
		resp, _, err := do(t, v, "POST", "/v1/services/orders/x", "", "Idempotency-Key", key, "Lentilyard-Attempt", c.attempt)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // the owner cannot be reached
		is.Equal(resp.Header.Get("Lentilyard-Outcome"), c.outcome)
	}
}
