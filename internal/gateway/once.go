package gateway

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/routing"
)

const (
	// maxStoredBytes of an answer are kept with its outcome.
	maxStoredBytes = 16 << 10
	// commitTimeout bounds the commit of an outcome after the caller's deadline.
	commitTimeout = 5 * time.Second
)

// commit records the outcome of one non-idempotent request.
type commit struct {
	gateway *Gateway
	call    *call
	// intent is the index of the entry that committed the intent.
	intent uint64
	done   bool
}

// serveOnce runs a non-idempotent call at most once: the owner domain of its key commits an intent
// before the first byte is sent.
func (g *Gateway) serveOnce(ctx context.Context, c *call, body *replayBody, out *answerer) error {
	key, err := idempotency.Parse(c.key)
	if err != nil {
		return ErrKeyRequired
	}
	if err := key.CheckAge(g.config.Now().UnixMilli()); err != nil {
		// A key from the future has been refused by every entry VM so far.
		c.settled = errors.Is(err, idempotency.ErrAhead)
		return err
	}
	// Owner and record depend on the text, so one form is used everywhere.
	c.key = key.String()
	issued := key.Issued()
	if owner := OwnerDomain(g.config.Domains, c.member, c.key); owner != g.config.Domain {
		return g.forwardToOwner(ctx, c, owner, body, out)
	}
	digest, err := requestDigest(c, body)
	if err != nil {
		return err
	}
	if err := g.admit(c); err != nil {
		return err
	}
	if !g.active.add(c.member, c.key) {
		return ErrInProgress
	}
	defer g.active.remove(c.member, c.key)
	return g.record(ctx, c, body, out, digest, issued)
}

// record commits the intent and runs the call, or answers from the record that exists.
func (g *Gateway) record(ctx context.Context, c *call, body *replayBody, out *answerer, digest []byte, issued time.Time) error {
	record := &pb.RequestRecord{Member: c.member, Key: c.key, Digest: digest, KeyUnixMs: issued.UnixMilli()}
	record.Stage = pb.RequestRecord_STAGE_INTENT
	record.Sender = g.config.VM
	record.SenderInstance = g.config.Instance
	existing, created, err := g.config.Records.Begin(ctx, record)
	if err != nil {
		return beginError(err)
	}
	c.settled = true
	if !created {
		return g.replay(existing, digest, out)
	}
	commit := &commit{gateway: g, call: c, intent: existing.GetIntentIndex()}
	err = g.run(ctx, c, body, out, commit)
	if !commit.done {
		commit.failed(ctx, err)
	}
	return err
}

// activeKeys holds the keys of the non-idempotent calls in progress in this process.
type activeKeys struct {
	mu   sync.Mutex
	keys map[memberKey]struct{}
}

type memberKey struct{ member, key string }

// add returns false if the key is in progress.
func (a *activeKeys) add(member, key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := memberKey{member, key}
	if _, ok := a.keys[k]; ok {
		return false
	}
	a.keys[k] = struct{}{}
	return true
}

func (a *activeKeys) remove(member, key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.keys, memberKey{member, key})
}

// beginError keeps a typed refusal. Since the request was not sent, an intent whose commit is in
// doubt does not make this attempt run.
func beginError(err error) error {
	var typed *errs.Error
	if errors.As(err, &typed) {
		return typed
	}
	return contextError(err, errs.OutcomeNotRun)
}

// executed commits the outcome with the answer.
func (m *commit) executed(ctx context.Context, head *pb.AnswerHead, body []byte, dropped bool) error {
	m.done = true
	stored := &pb.StoredAnswer{Status: head.Status, Headers: head.Headers, Target: head.Target, BodyDropped: dropped}
	stored.Body = bytes.Clone(body)
	if err := m.finish(ctx, pb.CommitOutcome_RESULT_EXECUTED, stored); err != nil {
		return errs.ErrOutcomeUnknown.With("the request was executed, but its outcome could not be committed: %w", err)
	}
	return nil
}

// failed commits that the request did not run, or that nobody knows.
func (m *commit) failed(ctx context.Context, cause error) {
	m.done = true
	result := pb.CommitOutcome_RESULT_UNKNOWN
	if outcomeOf(cause) == errs.OutcomeNotRun {
		result = pb.CommitOutcome_RESULT_NOT_RUN
	}
	if err := m.finish(ctx, result, nil); err != nil {
		m.gateway.config.Logger.Warn().Str("request", m.call.id).Str("result", result.String()).Err(err).Msg("outcome not committed")
	}
}

func (m *commit) finish(ctx context.Context, result pb.CommitOutcome_Result, answer *pb.StoredAnswer) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	config := &m.gateway.config
	return config.Records.Finish(ctx, &pb.CommitOutcome{Member: m.call.member, Key: m.call.key, Sender: config.VM,
		SenderInstance: config.Instance, Result: result, Answer: answer, IntentIndex: m.intent})
}

// replay answers from the record of an earlier request with the same key. It never sends.
func (g *Gateway) replay(r *pb.RequestRecord, digest []byte, out *answerer) error {
	if !bytes.Equal(r.Digest, digest) {
		return ErrKeyReused
	}
	switch r.Stage {
	case pb.RequestRecord_STAGE_EXECUTED:
		return replayAnswer(r.Answer, out)
	case pb.RequestRecord_STAGE_INTENT:
		// This process has no other call with the key, so an intent of its own is one whose outcome could
		// not be committed.
		own := r.Sender == g.config.VM && r.SenderInstance == g.config.Instance
		if !own && !g.config.SenderGone(r.Sender, r.SenderInstance) {
			return ErrInProgress
		}
	}
	return errs.ErrOutcomeUnknown.With("an earlier request with this key may have run, but its outcome was lost")
}

func replayAnswer(stored *pb.StoredAnswer, out *answerer) error {
	if stored.GetBodyDropped() {
		return ErrAnswerNotKept
	}
	head := &pb.AnswerHead{Status: stored.GetStatus(), Target: stored.GetTarget(), ContentLength: int64(len(stored.GetBody()))}
	head.Headers = append(head.Headers, stored.GetHeaders()...)
	head.Headers = append(head.Headers, &pb.Header{Name: headerReplayed, Value: "true"})
	w, err := out.start(head)
	if err != nil {
		return err
	}
	return writeAll(w, stored.GetBody())
}

// admit refuses a call that the queue would refuse, before an intent is committed for it. Without an
// own executor a peer may still take it.
func (g *Gateway) admit(c *call) error {
	r := c.routingRequest()
	err := g.config.Table.Admit(&r)
	if errors.Is(err, routing.ErrNoExecutor) {
		return nil
	}
	return err
}

// attemptError keeps a refusal from saying that a request was not run when only this attempt was not: an earlier
// attempt with the same key may have run, unless the owner's record was asked or the caller states that there was none.
func (c *call) attemptError(err error) error {
	if err == nil || c.idempotent || c.recorded || c.settled || c.firstAttempt || outcomeOf(err) != errs.OutcomeNotRun {
		return err
	}
	if _, invalid := idempotency.Parse(c.key); invalid != nil {
		return err
	}
	refusal := *errs.From(err)
	refusal.Outcome = errs.OutcomeUnknown
	refusal.Message += "; this attempt was not run, an earlier one with the same key may have been"
	refusal.Remedy = "ask again with the same idempotency key; " + headerAttempt + ": 1 on a first attempt makes its refusal definite"
	return &refusal
}
