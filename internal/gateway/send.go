package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/routing"
)

// sentTracker learns from the connection whether any byte of a request was written.
type sentTracker struct {
	// valid reports whether the request may still be sent. Opening a connection takes up to a second,
	// in which the executor may have left.
	valid func() bool
	// cancel ends the request when net/http is about to send it a second time on its own, as it does
	// when a reused connection breaks under a request without a body.
	cancel func()
	mu     sync.Mutex
	conn   *routing.CountingConn
	mark   int64
	sent   bool
}

func (s *sentTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok := info.Conn.(*routing.CountingConn)
	if !ok {
		s.sent = true
		return
	}
	if s.conn != nil && !s.conn.SealIfUnsent(s.mark) {
		s.sent = true
		conn.SealIfUnsent(conn.Written())
		s.cancel()
		return
	}
	s.conn = conn
	s.mark = conn.Written()
	if !s.valid() {
		conn.SealIfUnsent(s.mark)
	}
}

// unsent reports whether nothing was written, and makes sure that nothing will be.
func (s *sentTracker) unsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.sent && (s.conn == nil || s.conn.SealIfUnsent(s.mark))
}

// send carries out the call on the executor of the grant and releases the grant. When ctx ends, the
// executor is given a little time to finish: its slot can then be used again at once, whereas the slot
// of a request that is broken off stays reserved until the executor has reported its end.
func (g *Gateway) send(ctx context.Context, c *call, grant *routing.Grant, body *replayBody, out *answerer, commit *commit) error {
	outcome := routing.Outcome{Result: routing.Unused}
	defer func() { grant.Release(outcome) }()
	view, whole := body.view()
	if !whole {
		return ErrExecutorUnreachable.With("the body was used up by an earlier attempt")
	}
	sendContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(grant.GracePeriod(), cancel) })()
	tracker := &sentTracker{valid: func() bool { return ctx.Err() == nil && grant.Valid() }, cancel: cancel}
	req, err := g.executorRequest(sendContext, c, grant, view, tracker)
	if err != nil {
		return err
	}
	started := g.config.Now()
	resp, err := grant.Transport().RoundTrip(req)
	if err != nil {
		outcome.Latency = g.config.Now().Sub(started)
		outcome.Result, err = g.sendFailure(ctx, err, tracker)
		return err
	}
	defer resp.Body.Close()
	outcome.Status = resp.StatusCode
	outcome.Latency = g.config.Now().Sub(started)
	outcome.Result = routing.FailedAfterFirstByte
	if !framed(resp) {
		return errCut.With("the answer of %s has neither a length nor chunks, or status %d", grant.Target(), resp.StatusCode)
	}
	source := &timedReader{source: resp.Body, now: g.config.Now}
	err = relay(ctx, answerOf(c, resp, grant.Target()), source, out, commit)
	outcome.Latency += source.spent
	outcome.Result = relayResult(ctx, source, err)
	return err
}

func (g *Gateway) executorRequest(ctx context.Context, c *call, grant *routing.Grant, view *bodyView, tracker *sentTracker) (*http.Request, error) {
	u, err := url.Parse(grant.Address() + c.path)
	if err != nil {
		return nil, errs.ErrInvalid.With("the path is malformed: %w", err)
	}
	header := maps.Clone(c.header)
	// net/http resends a request with a canonical Idempotency-Key on its own when a reused connection
	// breaks. The lower-case name is equivalent on the wire and keeps it from doing so.
	for _, name := range []string{headerKey, "X-" + headerKey} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
	header.Set(headerRequestID, c.id)
	header.Set(headerMember, c.member)
	header.Set(headerHolder, g.config.VM)
	left := c.deadline.Sub(g.config.Now())
	header.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	req := &http.Request{Method: c.method, URL: u, Host: u.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.ContentLength = c.contentLength
	if c.contentLength != 0 {
		// Without GetBody net/http never sends a body twice.
		req.Body = view
	}
	return req, nil
}

// sendFailure classifies a failure before the first byte of the answer.
func (g *Gateway) sendFailure(ctx context.Context, err error, tracker *sentTracker) (routing.Result, error) {
	unsent := tracker.unsent()
	var typed *errs.Error
	switch {
	case errors.As(err, &typed):
		// The caller's body failed: too large, or not what its digest states.
		if unsent {
			return routing.Unused, typed
		}
		copied := *typed
		copied.Outcome = errs.OutcomeUnknown
		return routing.Abandoned, &copied
	case ctx.Err() != nil && unsent:
		return routing.Unused, contextError(ctx.Err(), errs.OutcomeNotRun)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return routing.TimedOut, contextError(ctx.Err(), errs.OutcomeUnknown)
	case ctx.Err() != nil:
		return routing.Abandoned, contextError(ctx.Err(), errs.OutcomeUnknown)
	case unsent:
		return routing.NotSent, ErrExecutorUnreachable.With("the executor could not be reached: %w", err)
	}
	return routing.FailedBeforeFirstByte, ErrExecutorFailed.With("the executor gave no answer: %w", err)
}

// framed reports whether the end of the answer can be told from a broken connection.
func framed(resp *http.Response) bool {
	if resp.StatusCode < http.StatusOK {
		return false
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

func answerOf(c *call, resp *http.Response, target string) *pb.AnswerHead {
	head := c.answerHead(resp.StatusCode, target, resp.ContentLength)
	for name, values := range withoutHopByHop(resp.Header) {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			head.Headers = append(head.Headers, &pb.Header{Name: name, Value: value})
		}
	}
	return head
}

// relayResult tells a fault of the executor from one of the caller.
func relayResult(ctx context.Context, source *timedReader, err error) routing.Result {
	switch {
	case source.ended:
		return routing.Success
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return routing.TimedOut
	case ctx.Err() != nil || source.err == nil && err != nil:
		return routing.Abandoned
	}
	return routing.FailedAfterFirstByte
}

// timedReader measures the time spent waiting for the executor, without the time that the caller
// takes to read.
type timedReader struct {
	source io.Reader
	now    func() time.Time
	spent  time.Duration
	ended  bool
	err    error
}

func (t *timedReader) Read(p []byte) (int, error) {
	before := t.now()
	n, err := t.source.Read(p)
	t.spent += t.now().Sub(before)
	t.ended = err == io.EOF
	if err != nil && err != io.EOF {
		t.err = err
	}
	return n, err
}
