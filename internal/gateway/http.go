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
	"github.com/lentilyard/lentilyard/internal/pb"
)

// outcomeExecuted is the value of Lentilyard-Outcome of an answer from an executor.
const outcomeExecuted = "executed"

// bodyGrace is added to the deadline of a request for the arrival of its body, so that the deadline itself is reported first.
const bodyGrace = time.Second

// answerer receives the answer to a call. start is called at most once.
type answerer struct {
	begin   func(*pb.AnswerHead) (io.Writer, error)
	started bool
	// body of the request, once it is served.
	body *replayBody
	// duplex is set if the answer began before the body was read.
	duplex bool
}

func (a *answerer) start(head *pb.AnswerHead) (io.Writer, error) {
	a.started = true
	return a.begin(head)
}

// ServeHTTP serves /v1/services/{service}/{path...}. The context must hold the Identity of the caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	out := &answerer{}
	out.begin = func(head *pb.AnswerHead) (io.Writer, error) { return startHTTP(w, r, control, head, out) }
	err := g.serveCaller(r, control, out)
	countOutcome(err)
	out.endDuplex(r, control)
	if err == nil {
		return
	}
	if out.started {
		// Ends the connection so that the caller does not take a cut answer for a whole one.
		panic(http.ErrAbortHandler)
	}
	WriteError(w, err)
}

// beginDuplex lets an executor go on reading a body after its answer has begun. Without it net/http
// would discard a part of the body that the executor still expects.
func (a *answerer) beginDuplex(r *http.Request, control *http.ResponseController) {
	if r.ProtoMajor != 1 || a.body == nil || a.body.finished() {
		return
	}
	a.duplex = control.EnableFullDuplex() == nil
}

// endDuplex reads what is left of the body in the server's buffer. In full duplex net/http must not
// find the end of the body itself after the handler has returned: it would then read the connection
// twice at once and panic. A body that is not read to its end closes the connection.
func (a *answerer) endDuplex(r *http.Request, control *http.ResponseController) {
	if !a.duplex || a.body.finished() {
		return
	}
	_ = control.SetReadDeadline(time.Now())
	_, _ = io.Copy(io.Discard, r.Body)
}

func (g *Gateway) serveCaller(r *http.Request, control *http.ResponseController, out *answerer) error {
	if !r.ProtoAtLeast(1, 1) {
		// The end of an answer of unknown length could not be told from a broken connection.
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
	return c.attemptError(g.serveCall(r, c, control, out))
}

// serveCall checks the contract of a parsed request and serves it.
func (g *Gateway) serveCall(r *http.Request, c *call, control *http.ResponseController, out *answerer) error {
	c.abortRead = func() { _ = control.SetReadDeadline(time.Now()) }
	contract, err := g.config.Contracts.Lookup(c.member, c.contract, c.service)
	if err != nil {
		return err
	}
	now := g.config.Now()
	c.applyContract(contract, now)
	if r.ContentLength != 0 {
		// A caller that stops in the middle of its body must not hold the connection.
		_ = control.SetReadDeadline(c.deadline.Add(bodyGrace))
	}
	if !g.rates.allow(contract, g.config.RateShare(contract), now) {
		return ErrRateLimit
	}
	return g.serve(r.Context(), c, out)
}

// WriteError writes a refusal as JSON.
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
	// The caller may be gone; nothing is left to be done then.
	_, _ = w.Write(body)
}

func startHTTP(w http.ResponseWriter, r *http.Request, control *http.ResponseController, head *pb.AnswerHead, out *answerer) (io.Writer, error) {
	out.beginDuplex(r, control)
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

// flushWriter passes each piece of an answer of unknown length on at once.
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

// contextError turns the end of a context into a refusal with the given outcome.
func contextError(err error, ran errs.Outcome) error {
	var typed *errs.Error
	if errors.As(err, &typed) {
		return typed
	}
	refusal := ErrCallerGone.With("the caller closed the connection")
	if errors.Is(err, context.DeadlineExceeded) {
		refusal = ErrDeadlineExceeded.With("the deadline passed")
	}
	refusal.Outcome = ran
	return refusal
}
