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

// sentTracker finds out whether any byte of a request was written to the connection to the executor.
type sentTracker struct {
	// valid reports whether the request may still be sent. Opening a connection takes up to a second,
	// in which the lease may expire or the executor may start to drain.
	valid func() bool
	// cancel cancels the request when net/http is about to send it a second time on its own, as it does
	// when a reused connection breaks during a request without a body.
	cancel func()

	mu sync.Mutex
	// conn is the connection of the request, and startOffset the number of bytes written to it before.
	conn        *routing.CountingConn
	startOffset int64
	// sent is set once the request counts as sent: a second connection was assigned after bytes had been
	// written to the first one, or the connection does not count bytes.
	sent bool
}

// gotConn is called by net/http when it has assigned a connection to the request.
func (s *sentTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok := info.Conn.(*routing.CountingConn)
	if !ok {
		s.sent = true
		return
	}
	if s.conn != nil && !s.conn.SealIfUnsent(s.startOffset) {
		s.sent = true
		conn.SealIfUnsent(conn.Written())
		s.cancel()
		return
	}
	s.conn = conn
	s.startOffset = conn.Written()
	if !s.valid() {
		conn.SealIfUnsent(s.startOffset)
	}
}

// sealIfUnsent reports whether nothing was written. If so, nothing can be written afterwards.
func (s *sentTracker) sealIfUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.sent && (s.conn == nil || s.conn.SealIfUnsent(s.startOffset))
}

// send sends the call to the executor of the grant, relays the response and releases the grant. When ctx
// ends, the executor gets a grace period to finish: the slot of a finished request is free at once,
// whereas that of a cancelled request stays reserved until the executor has reported its end.
func (g *Gateway) send(ctx context.Context, c *call, grant *routing.Grant, body *bufferedBody, out *responder, recorder *outcomeRecorder) error {
	outcome := routing.Outcome{Result: routing.Unused}
	defer func() { grant.Release(outcome) }()
	reader, rewindable := body.newReader()
	if !rewindable {
		return ErrExecutorUnreachable.With("the body was used up by an earlier attempt")
	}
	sendContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(grant.GracePeriod(), cancel) })()
	tracker := &sentTracker{valid: func() bool { return ctx.Err() == nil && grant.Valid() }, cancel: cancel}
	req, err := g.executorRequest(sendContext, c, grant, reader, tracker)
	if err != nil {
		return err
	}
	started := g.config.Now()
	resp, err := grant.Transport().RoundTrip(req)
	if err != nil {
		outcome.Latency = g.config.Now().Sub(started)
		outcome.Result, err = classifySendError(ctx, err, tracker)
		return err
	}
	defer resp.Body.Close()
	outcome.Status = resp.StatusCode
	outcome.Latency = g.config.Now().Sub(started)
	outcome.Result = routing.FailedAfterFirstByte
	if !framed(resp) {
		return errTruncated.With("the answer of %s has neither a length nor chunks, or status %d", grant.Target(), resp.StatusCode)
	}
	source := &timedReader{source: resp.Body, now: g.config.Now}
	err = relay(ctx, newAnswerHead(resp, grant.Target()), source, out, recorder)
	outcome.Latency += source.waited
	outcome.Result = relayResult(ctx, source, err)
	return err
}

// executorRequest builds the HTTP request to the executor.
func (g *Gateway) executorRequest(ctx context.Context, c *call, grant *routing.Grant, reader *bodyReader, tracker *sentTracker) (*http.Request, error) {
	u, err := url.Parse(grant.Address() + c.path)
	if err != nil {
		return nil, errs.ErrInvalid.With("the path is malformed: %w", err)
	}
	header := maps.Clone(c.header)
	// When a reused connection breaks, net/http resends a request that has an Idempotency-Key header in
	// canonical spelling. The lower-case spelling prevents this and means the same to the executor.
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
		// net/http never sends a body twice if GetBody is nil.
		req.Body = reader
	}
	return req, nil
}

// classifySendError classifies an error that occurred before the first byte of the response. It returns the
// result for the routing table and the error for the caller.
func classifySendError(ctx context.Context, err error, tracker *sentTracker) (routing.Result, error) {
	unsent := tracker.sealIfUnsent()
	var typed *errs.Error
	switch {
	case errors.As(err, &typed):
		// Reading the caller's body failed, for example because it is too large or its digest is wrong.
		if unsent {
			return routing.Unused, typed
		}
		return routing.Abandoned, typed.WithUnknownOutcome()
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

// framed reports whether the end of the response can be distinguished from a broken connection.
func framed(resp *http.Response) bool {
	if resp.StatusCode < http.StatusOK {
		return false
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// newAnswerHead returns the head of the response of an executor, with end-to-end headers only.
func newAnswerHead(resp *http.Response, target string) *pb.AnswerHead {
	head := &pb.AnswerHead{Status: uint32(resp.StatusCode), Target: target, ContentLength: resp.ContentLength}
	for name, values := range endToEndHeaders(resp.Header) {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			head.Headers = append(head.Headers, &pb.Header{Name: name, Value: value})
		}
	}
	return head
}

// relayResult returns the result of the request after its response was relayed with err. It attributes an
// incomplete response to the executor, the deadline, or the caller.
func relayResult(ctx context.Context, source *timedReader, err error) routing.Result {
	switch {
	case source.reachedEOF:
		return routing.Success
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return routing.TimedOut
	case ctx.Err() != nil || source.err == nil && err != nil:
		return routing.Abandoned
	}
	return routing.FailedAfterFirstByte
}

// timedReader measures the time spent in reads of a response. This is the time of the executor, without
// the time that the caller takes to receive the response.
type timedReader struct {
	source io.Reader
	now    func() time.Time
	waited time.Duration
	// reachedEOF is set once source has returned io.EOF.
	reachedEOF bool
	// err is the last error of source other than io.EOF.
	err error
}

func (t *timedReader) Read(p []byte) (int, error) {
	before := t.now()
	n, err := t.source.Read(p)
	t.waited += t.now().Sub(before)
	t.reachedEOF = err == io.EOF
	if err != nil && err != io.EOF {
		t.err = err
	}
	return n, err
}
