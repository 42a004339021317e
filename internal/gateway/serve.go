package gateway

import (
	"context"
	"errors"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/routing"
)

// maxHops is how often a request may be forwarded: once to the failure domain that owns its key and once
// because of load.
const maxHops = 2

// serve executes a call and sends the response to out. An error after out has started means that the
// response is incomplete.
func (g *Gateway) serve(ctx context.Context, c *call, out *responder) error {
	if err := g.config.Table.Begin(); err != nil {
		return err
	}
	defer g.config.Table.End()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	body := newBufferedBody(c.body, g.config.Limits.MaxBodyBytes)
	body.atEnd.Store(c.contentLength == 0)
	defer body.close(c.abortRead)
	out.body = body
	if c.idempotent || c.intentRecorded {
		return g.runWithRetries(ctx, c, body, out, nil)
	}
	return g.serveAtMostOnce(ctx, c, body, out)
}

// runWithRetries makes attempts until one succeeds, or a further one is not safe or exceeds the retry
// budget.
func (g *Gateway) runWithRetries(ctx context.Context, c *call, body *bufferedBody, out *responder, recorder *outcomeRecorder) error {
	var avoid []string
	// uncertain is the error of the last attempt that may have run. It is returned in place of a later
	// error that says that the request was not run.
	var uncertain error
	for {
		target, err := g.attempt(ctx, c, body, out, avoid, recorder)
		if err != nil && uncertain != nil && outcomeOf(err) == errs.OutcomeNotRun {
			return uncertain
		}
		if err == nil || out.started || ctx.Err() != nil || !c.retryable(err) {
			return err
		}
		_, rewindable := body.newReader()
		if !rewindable || !g.config.Table.AllowRetry() {
			return err
		}
		if outcomeOf(err) != errs.OutcomeNotRun {
			uncertain = err
		}
		if target != "" {
			avoid = append(avoid, target)
		}
		retriesTotal.Inc()
		g.config.Logger.Info().Str("decision", "retry").Str("request", c.id).Str("failed", target).Err(err).Msg("retrying request")
	}
}

// retryable reports whether another attempt is safe and may succeed on another executor. A non-idempotent
// call is retried only if no part of it was sent.
func (c *call) retryable(err error) bool {
	if errors.Is(err, ErrExecutorUnreachable) {
		return true
	}
	return c.idempotent && (errors.Is(err, ErrExecutorFailed) || errors.Is(err, errTruncated))
}

// attempt runs a call on an executor of this entry VM that has a free slot, forwards it to an entry VM
// with free capacity, or waits for a slot, in this order of preference. It returns the id of the executor
// that was tried, or "".
func (g *Gateway) attempt(ctx context.Context, c *call, body *bufferedBody, out *responder, avoid []string, recorder *outcomeRecorder) (string, error) {
	r := c.routingRequest()
	r.Avoid = avoid
	if grant := g.config.Table.TryAcquire(&r); grant != nil {
		return grant.Target(), g.send(ctx, c, grant, body, out, recorder)
	}
	if done, err := g.forwardForLoad(ctx, c, body, out, recorder); done {
		return "", err
	}
	grant, err := g.config.Table.Acquire(ctx, r)
	if errors.Is(err, routing.ErrNoExecutor) {
		// The last executor of this entry VM may have left while the call was queued.
		if done, err := g.forwardForLoad(ctx, c, body, out, recorder); done {
			return "", err
		}
	}
	if err != nil {
		return "", contextError(err, errs.OutcomeNotRun)
	}
	return grant.Target(), g.send(ctx, c, grant, body, out, recorder)
}

// forwardForLoad forwards the call to the entry VM with the most free capacity. done is false if the call
// was not run and may be run by this entry VM.
func (g *Gateway) forwardForLoad(ctx context.Context, c *call, body *bufferedBody, out *responder, recorder *outcomeRecorder) (done bool, err error) {
	if c.loadForwarded || c.hops >= maxHops || g.config.Forwarder == nil {
		return false, nil
	}
	vm, ok := g.config.Table.PickPeer(c.service)
	if !ok {
		return false, nil
	}
	head := c.forwardHead(g.config.Now())
	head.ForwardedForLoad = true
	head.Recorded = recorder != nil
	err = g.forward(ctx, c, vm, head, body, out, recorder)
	if err == nil || out.started || outcomeOf(err) != errs.OutcomeNotRun {
		return true, err
	}
	g.config.Logger.Info().Str("decision", "forward").Str("request", c.id).Str("vm", vm).Err(err).Msg("forwarded request was not run")
	_, rewindable := body.newReader()
	return !rewindable, err
}

func (c *call) routingRequest() routing.Request {
	return routing.Request{Service: c.service, Member: c.member, Contract: c.contract, Weight: c.weight, Urgent: c.urgent,
		Deadline: c.deadline, Idempotent: c.idempotent, ID: c.id, Begun: true}
}

func outcomeOf(err error) errs.Outcome { return errs.From(err).Outcome }
