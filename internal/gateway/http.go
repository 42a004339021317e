package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// outcomeExecuted is the value of Lentilyard-Outcome of an answer from an executor.
const outcomeExecuted = "executed"

// answerer receives the answer to a call. start is called at most once.
type answerer struct {
	begin   func(*pb.AnswerHead) (io.Writer, error)
	started bool
}

func (a *answerer) start(head *pb.AnswerHead) (io.Writer, error) {
	a.started = true
	return a.begin(head)
}

// ServeHTTP serves /v1/services/{service}/{path...}. The context must hold the Identity of the caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := &answerer{begin: func(head *pb.AnswerHead) (io.Writer, error) { return startHTTP(w, r, head) }}
	body := &callerBody{control: http.NewResponseController(w), source: r.Body}
	if r.ContentLength != 0 && r.ProtoMajor == 1 {
		// An executor may answer before it has read the whole body. Not supported by test recorders.
		_ = body.control.EnableFullDuplex()
		r.Body = io.NopCloser(body)
	} else {
		body.ended.Store(true)
	}
	err := g.serveCaller(r, body, out)
	countOutcome(err)
	switch {
	case err == nil:
		endAnswer(body)
	case out.started:
		// Ends the connection so that the caller does not take a cut answer for a whole one.
		body.finish()
		panic(http.ErrAbortHandler)
	default:
		if !body.finish() {
			w.Header().Set("Connection", "close")
		}
		WriteError(w, err)
	}
}

// endAnswer delivers a complete answer and ends the connection if the caller still sends its body.
func endAnswer(body *callerBody) {
	if body.ended.Load() {
		body.finish()
		return
	}
	_ = body.control.Flush()
	if !body.finish() {
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) serveCaller(r *http.Request, body *callerBody, out *answerer) error {
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
	contract, err := g.config.Contracts.Lookup(c.member, c.contract, c.service)
	if err != nil {
		return err
	}
	now := g.config.Now()
	c.applyContract(contract, now)
	body.expectBy(c.deadline)
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

func startHTTP(w http.ResponseWriter, r *http.Request, head *pb.AnswerHead) (io.Writer, error) {
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
	return &flushWriter{w: w, control: http.NewResponseController(w)}, nil
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
