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
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	body := newReplayBody(c.body, g.config.Limits.MaxBodyBytes)
	switch {
	case c.idempotent:
		return g.serveIdempotent(ctx, c, body, out)
	case c.recorded:
		return g.runOnce(ctx, c, body, out, nil)
	}
	return g.serveOnce(ctx, c, body, out)
}

// serveIdempotent runs a call, and again on another executor if that is safe and the budget allows.
func (g *Gateway) serveIdempotent(ctx context.Context, c *call, body *replayBody, out *answerer) error {
	var avoid []string
	for {
		target, err := g.attempt(ctx, c, body, out, avoid, nil)
		if err == nil || out.started || ctx.Err() != nil || !retryable(err) {
			return err
		}
		_, whole := body.view()
		if !whole || !g.config.Table.AllowRetry() {
			return err
		}
		if target != "" {
			avoid = append(avoid, target)
		}
		g.config.Logger.Info().Str("decision", "retry").Str("request", c.id).Str("failed", target).Err(err).Msg("request retried")
	}
}

// retryable reports whether a failure may be cured by another executor.
func retryable(err error) bool {
	return errors.Is(err, ErrExecutorFailed) || errors.Is(err, ErrExecutorUnreachable) || errors.Is(err, errCut)
}

// attempt runs a call on an own executor, or forwards it to a peer with free capacity. It returns the
// executor that was tried.
func (g *Gateway) attempt(ctx context.Context, c *call, body *replayBody, out *answerer, avoid []string, commit *commit) (string, error) {
	r := routing.Request{Service: c.service, Member: c.member, Contract: c.contract, Weight: c.weight, Urgent: c.urgent,
		Deadline: c.deadline, Avoid: avoid, Idempotent: c.idempotent, ID: c.id}
	if grant := g.config.Table.TryAcquire(&r); grant != nil {
		return grant.Target(), g.send(ctx, c, grant, body, out, commit)
	}
	if done, err := g.forwardForLoad(ctx, c, body, out, commit); done {
		return "", err
	}
	grant, err := g.config.Table.Acquire(ctx, r)
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
	_, whole := body.view()
	return !whole, err
}

func outcomeOf(err error) errs.Outcome { return errs.From(err).Outcome }

func (c *call) answerHead(status int, target string, length int64) *pb.AnswerHead {
	return &pb.AnswerHead{Status: uint32(status), Target: target, ContentLength: length}
}
