package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/httplimit"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// outcomeExecuted is the value of the Lentilyard-Outcome header of responses from executors.
const outcomeExecuted = "executed"

// bodyGracePeriod is added to the deadline of a request to get the read deadline of its body, so that the
// request ends with a deadline error rather than a read error.
const bodyGracePeriod = time.Second

// responder sends the response to a call. start must be called at most once.
type responder struct {
	// begin sends the head and returns the writer for the body.
	begin   func(*pb.AnswerHead) (io.Writer, error)
	started bool
	// body is the request body; nil until the request is served.
	body *bufferedBody
	// fullDuplex is set if the response began before the request body was read completely.
	fullDuplex bool
}

// start sends the head of the response and returns the writer for its body.
func (o *responder) start(head *pb.AnswerHead) (io.Writer, error) {
	o.started = true
	return o.begin(head)
}

// ServeHTTP serves /v1/services/{service}/{path...}. The context must hold the Identity of the caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	out := &responder{}
	out.begin = func(head *pb.AnswerHead) (io.Writer, error) { return startHTTP(w, r, control, head, out) }
	err := g.serveCaller(r, control, out)
	countOutcome(err)
	out.endFullDuplex(r, control)
	if err == nil {
		return
	}
	if out.started {
		// Close the connection so that the caller does not take a truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
	WriteError(w, err)
}

// enableFullDuplex lets the executor go on reading the request body after its response has begun.
// Otherwise net/http would discard a part of the body that the executor still expects.
func (o *responder) enableFullDuplex(r *http.Request, control *http.ResponseController) {
	if r.ProtoMajor != 1 || o.body == nil || o.body.finished() {
		return
	}
	o.fullDuplex = control.EnableFullDuplex() == nil
}

// endFullDuplex reads what is left of the request body in the server's buffer. In full-duplex mode
// net/http must not reach the end of the body itself after the handler has returned: it would then read
// the connection concurrently and panic. If the body is not read to its end, net/http closes the
// connection.
func (o *responder) endFullDuplex(r *http.Request, control *http.ResponseController) {
	if !o.fullDuplex || o.body.finished() {
		return
	}
	_ = control.SetReadDeadline(time.Now())
	_, _ = io.Copy(io.Discard, r.Body)
}

// serveCaller authorizes and parses a request, and serves it.
func (g *Gateway) serveCaller(r *http.Request, control *http.ResponseController, out *responder) error {
	if !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0 the end of a response of unknown length looks like a broken connection.
		return errs.ErrInvalid.With("HTTP/1.1 or later is required, got %s", r.Proto)
	}
	id, ok := IdentityFrom(r.Context())
	if !ok {
		return errs.ErrUnauthenticated
	}
	if id.Role != RoleCaller {
		return errs.ErrForbidden.With("role %q may not send requests", id.Role)
	}
	c, err := g.parse(r, id.Member)
	if err != nil {
		return err
	}
	return c.qualifyNotRun(g.serveCall(r, c, control, out))
}

// serveCall applies the contract and its rate limit to a parsed request and serves it.
func (g *Gateway) serveCall(r *http.Request, c *call, control *http.ResponseController, out *responder) error {
	c.abortRead = func() { _ = control.SetReadDeadline(time.Now()) }
	contract, err := g.config.Contracts.Lookup(c.member, c.contract, c.service)
	if err != nil {
		return err
	}
	now := g.config.Now()
	c.applyContract(contract, now)
	if r.ContentLength != 0 {
		if err := httplimit.Hold(r, requestBodyBytes); err != nil {
			return errs.ErrBusy.With("%w", err)
		}
		// A caller that stops sending in the middle of its body must not occupy the connection.
		_ = control.SetReadDeadline(c.deadline.Add(bodyGracePeriod))
	}
	if !g.rates.allow(contract, g.config.RateShare(contract), now) {
		return ErrRateLimit
	}
	return g.serve(r.Context(), c, out)
}

// WriteError writes err as a JSON error response.
func WriteError(w http.ResponseWriter, err error) {
	typed := errs.From(err)
	body, _ := json.Marshal(typed.Proto())
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if typed.Outcome != errs.OutcomeNone {
		h.Set(headerOutcome, string(typed.Outcome))
	}
	if typed.Status == http.StatusTooManyRequests || typed.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(typed.Status)
	// A write error means that the caller has disconnected; nothing can be done about it.
	_, _ = w.Write(body)
}

// startHTTP writes the status and headers of a response and returns the writer for its body.
func startHTTP(w http.ResponseWriter, r *http.Request, control *http.ResponseController, head *pb.AnswerHead, out *responder) (io.Writer, error) {
	out.enableFullDuplex(r, control)
	h := w.Header()
	for _, header := range head.Headers {
		h.Add(header.Name, header.Value)
	}
	if head.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.ContentLength, 10))
	}
	h.Set(headerTarget, head.Target)
	h.Set(headerOutcome, outcomeExecuted)
	w.WriteHeader(int(head.Status))
	if r.Method == http.MethodHead || head.ContentLength >= 0 {
		return w, nil
	}
	return &flushWriter{w: w, control: control}, nil
}

// flushWriter flushes after each write, so that a response of unknown length is streamed.
type flushWriter struct {
	w       io.Writer
	control *http.ResponseController
}

func (f *flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.control.Flush()
}

// contextError converts the error of a context into an error for the caller with the given outcome. An
// errs.Error is returned as it is.
func contextError(err error, outcome errs.Outcome) error {
	var typed *errs.Error
	if errors.As(err, &typed) {
		return typed
	}
	refusal := ErrCallerGone.With("the caller closed the connection")
	if errors.Is(err, context.DeadlineExceeded) {
		refusal = ErrDeadlineExceeded.With("the deadline passed")
	}
	refusal.Outcome = outcome
	return refusal
}
