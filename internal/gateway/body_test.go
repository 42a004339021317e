package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// earlyResponder is a Forwarder that responds while it is still reading the request body.
type earlyResponder struct{ reading chan struct{} }

func (e earlyResponder) Forward(_ context.Context, _ string, _ *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error) {
	go func() {
		close(e.reading)
		_, _ = io.Copy(io.Discard, body)
	}()
	<-e.reading
	time.Sleep(20 * time.Millisecond) // until the copy blocks in Read
	return &pb.AnswerHead{Status: 200, ContentLength: 2, Target: "x"}, io.NopCloser(strings.NewReader("ok")), nil
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against reads of a request body after the handler has returned: net/http then panics with
// "invalid concurrent Body.Read call" and the caller's connection breaks.
func TestBodyIsNotReadAfterResponse(t *testing.T) {
	is := is.New(t)
	v := newEntryVM(t, func(c *Config) { c.Forwarder = earlyResponder{reading: make(chan struct{})} })
	v.table.ObservePeer(&pb.LoadReport{Vm: "vm2", FailureDomain: "d1", Sequence: 1,
		Services: []*pb.ServiceLoad{{Service: "orders", Executors: 1, Slots: 8}}})
	var log lockedBuffer
	server := httptest.NewUnstartedServer(v)
	server.Config.ErrorLog = stdlog.New(&log, "", 0)
	server.Start()
	defer server.Close()

	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprintf(conn, "PUT /v1/services/orders/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nbegin")
	answer := make([]byte, 4096)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	n, err := conn.Read(answer)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200 OK"))
	_, _ = conn.Write([]byte("rest of the body"))
	time.Sleep(100 * time.Millisecond)
	is.Equal(log.String(), "") // net/http reported nothing
}

// Guards against an error response that leaves the request body unread on a connection that is used
// again: net/http then panics with "invalid concurrent Body.Read call" when it reads the next request.
func TestRefusalsWithBodyKeepTheConnectionUsable(t *testing.T) {
	is := is.New(t)
	v := newEntryVM(t, nil)
	var log lockedBuffer
	server := httptest.NewUnstartedServer(v)
	server.Config.ErrorLog = stdlog.New(&log, "", 0)
	server.Start()
	defer server.Close()
	for range 200 {
		resp, err := server.Client().Post(server.URL+"/v1/services/orders/x", "text/plain", strings.NewReader("felt"))
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		is.Equal(resp.StatusCode, 400) // no idempotency key
	}
	is.Equal(log.String(), "") // net/http reported nothing
}
