package gateway

import (
	"context"
	"errors"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/routing"
)

// maxHops bounds the forwarding of one request: to the owner domain and once for load.
const maxHops = 2

// serve carries out a call. An error after out has started means that the answer is cut.
func (g *Gateway) serve(ctx context.Context, c *call, out *answerer) error {
	if err := g.config.Table.Begin(); err != nil {
		return err
	}
	defer g.config.Table.End()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	body := newReplayBody(c.body, g.config.Limits.MaxBodyBytes)
	body.atEnd.Store(c.contentLength == 0)
	defer body.close(c.abortRead)
	out.body = body
	if c.idempotent || c.recorded {
		return g.run(ctx, c, body, out, nil)
	}
	return g.serveOnce(ctx, c, body, out)
}

// run makes attempts until one succeeds, or another one is not safe or not in the budget.
func (g *Gateway) run(ctx context.Context, c *call, body *replayBody, out *answerer, commit *commit) error {
	var avoid []string
	// first is the failure of an attempt that may have run; a later refusal must not hide it.
	var first error
	for {
		target, err := g.attempt(ctx, c, body, out, avoid, commit)
		if err != nil && first != nil && outcomeOf(err) == errs.OutcomeNotRun {
			return first
		}
		if err == nil || out.started || ctx.Err() != nil || !c.retryable(err) {
			return err
		}
		_, whole := body.view()
		if !whole || !g.config.Table.AllowRetry() {
			return err
		}
		if outcomeOf(err) != errs.OutcomeNotRun {
			first = err
		}
		if target != "" {
			avoid = append(avoid, target)
		}
		retriesTotal.Inc()
		g.config.Logger.Info().Str("decision", "retry").Str("request", c.id).Str("failed", target).Err(err).Msg("request retried")
	}
}

// retryable reports whether a failure may be cured by another executor. A non-idempotent call is
// tried again only if nothing of it was sent.
func (c *call) retryable(err error) bool {
	if errors.Is(err, ErrExecutorUnreachable) {
		return true
	}
	return c.idempotent && (errors.Is(err, ErrExecutorFailed) || errors.Is(err, errCut))
}

// attempt runs a call on an own executor, or forwards it to a peer with free capacity. It returns the
// executor that was tried.
func (g *Gateway) attempt(ctx context.Context, c *call, body *replayBody, out *answerer, avoid []string, commit *commit) (string, error) {
	r := c.routingRequest()
	r.Avoid = avoid
	if grant := g.config.Table.TryAcquire(&r); grant != nil {
		return grant.Target(), g.send(ctx, c, grant, body, out, commit)
	}
	if done, err := g.forwardForLoad(ctx, c, body, out, commit); done {
		return "", err
	}
	grant, err := g.config.Table.Acquire(ctx, r)
	if errors.Is(err, routing.ErrNoExecutor) {
		// The last own executor may have left while the call waited.
		if done, err := g.forwardForLoad(ctx, c, body, out, commit); done {
			return "", err
		}
	}
	if err != nil {
		return "", contextError(err, errs.OutcomeNotRun)
	}
	return grant.Target(), g.send(ctx, c, grant, body, out, commit)
}

// forwardForLoad sends the call to the peer with the most free capacity. done is false if the call
// was not run and may be tried here.
func (g *Gateway) forwardForLoad(ctx context.Context, c *call, body *replayBody, out *answerer, commit *commit) (done bool, err error) {
	if c.loadForwarded || c.hops >= maxHops || g.config.Forwarder == nil {
		return false, nil
	}
	vm, ok := g.config.Table.PickPeer(c.service)
	if !ok {
		return false, nil
	}
	head := c.forwardHead(g.config.Now())
	head.ForwardedForLoad = true
	head.Recorded = commit != nil
	err = g.forward(ctx, c, vm, head, body, out, commit)
	if err == nil || out.started || outcomeOf(err) != errs.OutcomeNotRun {
		return true, err
	}
	g.config.Logger.Info().Str("decision", "forward").Str("request", c.id).Str("vm", vm).Err(err).Msg("forwarded request not run")
	_, whole := body.view()
	return !whole, err
}

func (c *call) routingRequest() routing.Request {
	return routing.Request{Service: c.service, Member: c.member, Contract: c.contract, Weight: c.weight, Urgent: c.urgent,
		Deadline: c.deadline, Idempotent: c.idempotent, ID: c.id, Begun: true}
}

func outcomeOf(err error) errs.Outcome { return errs.From(err).Outcome }

func (c *call) answerHead(status int, target string, length int64) *pb.AnswerHead {
	return &pb.AnswerHead{Status: uint32(status), Target: target, ContentLength: length}
}
