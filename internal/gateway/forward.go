package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// forwardMargin is subtracted from the time left for a forwarded request, but at most a tenth of that
// time. A refusal by the other entry VM at its deadline then arrives before the deadline of this one;
// otherwise the outcome would be reported as unknown.
const forwardMargin = 20 * time.Millisecond

// maxStatus is the highest status code that net/http can write.
const maxStatus = 999

func (c *call) forwardHead(now time.Time) *pb.ForwardHead {
	head := &pb.ForwardHead{Method: c.method, Service: c.service, Path: c.path, Member: c.member, Contract: c.contract}
	head.Idempotent = c.idempotent
	head.IdempotencyKey = c.key
	left := c.deadline.Sub(now)
	left -= min(forwardMargin, left/10)
	head.DeadlineMs = max(left.Milliseconds(), 1)
	head.RequestId = c.id
	head.Hops = c.hops + 1
	head.ContentLength = c.contentLength
	head.Weight = c.weight
	head.Urgent = c.urgent
	head.FirstAttempt = c.firstAttempt
	head.ForwardedForLoad = c.loadForwarded
	for name, values := range c.header {
		for _, value := range values {
			head.Headers = append(head.Headers, &pb.Header{Name: name, Value: value})
		}
	}
	return head
}

// forward sends the call to another entry VM and relays its response.
func (g *Gateway) forward(ctx context.Context, c *call, vm string, head *pb.ForwardHead, body *bufferedBody, out *responder, recorder *outcomeRecorder) error {
	reader, rewindable := body.newReader()
	if !rewindable {
		return ErrExecutorUnreachable.With("the body was used up by an earlier attempt")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, answerBody, err := g.config.Forwarder.Forward(ctx, vm, head, reader)
	if err != nil {
		return forwardError(ctx, vm, err)
	}
	defer answerBody.Close()
	if answer.Status < http.StatusOK || answer.Status > maxStatus {
		return ErrExecutorFailed.With("entry VM %s answered with status %d", vm, answer.Status)
	}
	if answer.Error != nil {
		return errs.FromProto(int(answer.Status), answer.Error)
	}
	forwardsTotal.Inc()
	g.config.Logger.Info().Str("decision", "forward").Str("request", c.id).Str("vm", vm).Str("target", answer.Target).Msg("request forwarded")
	return relay(ctx, answer, answerBody, out, recorder)
}

// forwardError converts an error of the Forwarder into one for the caller.
func forwardError(ctx context.Context, vm string, err error) error {
	var typed *errs.Error
	switch {
	case errors.As(err, &typed):
		// Reading the caller's body failed. A part of the request may have been sent before.
		return typed.WithUnknownOutcome()
	case errors.Is(err, ErrNotSent):
		return ErrExecutorUnreachable.With("entry VM %s could not be reached: %w", vm, err)
	case ctx.Err() != nil:
		return contextError(ctx.Err(), errs.OutcomeUnknown)
	}
	return ErrExecutorFailed.With("entry VM %s gave no answer: %w", vm, err)
}

// forwardToOwner sends the call to an entry VM of the failure domain that owns its key. It tries the
// next one only if the request was not sent or the entry VM is draining.
func (g *Gateway) forwardToOwner(ctx context.Context, c *call, owner string, body *bufferedBody, out *responder) error {
	if c.hops >= maxHops {
		return ErrTooManyHops
	}
	if g.config.Forwarder == nil {
		return ErrOwnerUnreachable
	}
	for _, vm := range g.config.PeersOf(owner) {
		err := g.forward(ctx, c, vm, c.forwardHead(g.config.Now()), body, out, nil)
		if !errors.Is(err, ErrNotSent) && !errors.Is(err, errs.ErrDraining) {
			// The error, if any, already takes the owner's record of the key into account.
			c.notRunCertain = true
			return err
		}
		if _, rewindable := body.newReader(); !rewindable {
			break
		}
	}
	return ErrOwnerUnreachable.With("not run by this attempt: failure domain %s, which owns the key, cannot be reached", owner)
}

// ServeForwarded serves a request that was forwarded by the entry VM from. A refusal is sent as an
// AnswerHead with an Error. If ServeForwarded returns an error, the response is incomplete and the
// stream must be reset.
func (g *Gateway) ServeForwarded(ctx context.Context, from string, head *pb.ForwardHead, body io.Reader, answer func(*pb.AnswerHead) (io.Writer, error)) error {
	out := &responder{begin: answer}
	c, err := g.forwardedCall(head, body)
	if err == nil {
		err = c.qualifyNotRun(g.serve(ctx, c, out))
	}
	if err == nil || out.started {
		return err
	}
	typed := errs.From(err)
	g.config.Logger.Debug().Str("request", head.RequestId).Str("from", from).Err(typed).Msg("forwarded request refused")
	_, err = out.start(&pb.AnswerHead{Status: uint32(typed.Status), Error: typed.Proto(), ContentLength: 0})
	return err
}

// forwardedCall builds the call of a forwarded request. It checks the number of hops and limits the
// deadline; the entry VM that accepted the request has validated the rest.
func (g *Gateway) forwardedCall(head *pb.ForwardHead, body io.Reader) (*call, error) {
	if head.Hops > maxHops {
		return nil, ErrTooManyHops
	}
	c := &call{id: head.RequestId, member: head.Member, contract: head.Contract, service: head.Service}
	c.method = head.Method
	c.path = head.Path
	c.idempotent = head.Idempotent
	c.key = head.IdempotencyKey
	c.weight = max(head.Weight, 1)
	c.urgent = head.Urgent
	c.hops = head.Hops
	c.loadForwarded = head.ForwardedForLoad
	c.intentRecorded = head.Recorded
	c.firstAttempt = head.FirstAttempt
	c.contentLength = head.ContentLength
	c.body = body
	left := min(time.Duration(head.DeadlineMs)*time.Millisecond, g.config.Limits.Deadline)
	c.deadline = g.config.Now().Add(left)
	c.header = make(http.Header, len(head.Headers))
	for _, h := range head.Headers {
		c.header.Add(h.Name, h.Value)
	}
	return c, nil
}
