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
	// maxStoredBodyBytes is the maximum size of a response body that is stored with the outcome.
	maxStoredBodyBytes = 16 << 10
	// commitTimeout limits the commit of an outcome. It does not depend on the caller's deadline, which may
	// have passed by then.
	commitTimeout = 5 * time.Second
)

// outcomeRecorder commits the outcome of one non-idempotent request.
type outcomeRecorder struct {
	gateway *Gateway
	call    *call
	// intentIndex is the log index of the entry that committed the intent.
	intentIndex uint64
	// done is set once the commit of an outcome was tried.
	done bool
}

// serveAtMostOnce executes a non-idempotent call at most once: the failure domain that owns its key
// commits an intent before the first byte is sent to an executor.
func (g *Gateway) serveAtMostOnce(ctx context.Context, c *call, body *bufferedBody, out *responder) error {
	key, err := idempotency.Parse(c.key)
	if err != nil {
		return ErrKeyRequired
	}
	if err := key.CheckAge(g.config.Now().UnixMilli()); err != nil {
		// Every entry VM refuses a key from the future, so no earlier attempt can have run.
		c.notRunCertain = errors.Is(err, idempotency.ErrAhead)
		return err
	}
	// Owner and record are found by the text of the key, so it must be in canonical form.
	c.key = key.String()
	issued := key.Issued()
	if owner := OwnerDomain(g.config.Domains, c.member, c.key); owner != g.config.Domain {
		return g.forwardToOwner(ctx, c, owner, body, out)
	}
	digest, err := requestDigest(c, body)
	if err != nil {
		return err
	}
	if err := g.checkAdmission(c); err != nil {
		return err
	}
	if !g.active.add(c.member, c.key) {
		return ErrInProgress
	}
	defer g.active.remove(c.member, c.key)
	return g.runRecorded(ctx, c, body, out, digest, issued)
}

// runRecorded commits the intent, runs the call and commits its outcome. If there is a record of the key
// already, it responds from that record instead.
func (g *Gateway) runRecorded(ctx context.Context, c *call, body *bufferedBody, out *responder, digest []byte, issued time.Time) error {
	record := &pb.RequestRecord{Member: c.member, Key: c.key, Digest: digest, KeyUnixMs: issued.UnixMilli()}
	record.Stage = pb.RequestRecord_STAGE_INTENT
	record.Sender = g.config.VM
	record.SenderInstance = g.config.Instance
	existing, created, err := g.config.Records.Begin(ctx, record)
	if err != nil {
		return beginError(err)
	}
	c.notRunCertain = true
	if !created {
		return g.replay(existing, digest, out)
	}
	recorder := &outcomeRecorder{gateway: g, call: c, intentIndex: existing.GetIntentIndex()}
	err = g.runWithRetries(ctx, c, body, out, recorder)
	if !recorder.done {
		recorder.recordFailure(ctx, err)
	}
	return err
}

// activeKeys is the set of keys of the non-idempotent calls in progress in this process.
type activeKeys struct {
	mu   sync.Mutex
	keys map[memberKey]struct{}
}

type memberKey struct{ member, key string }

// add adds the key. It returns false if the key is already in the set.
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

// beginError converts an error of Records.Begin into one for the caller. An errs.Error is returned as it
// is. Otherwise the outcome of this attempt is not-run, even if the intent may have been committed,
// because the request was not sent.
func beginError(err error) error {
	var typed *errs.Error
	if errors.As(err, &typed) {
		return typed
	}
	return contextError(err, errs.OutcomeNotRun)
}

// recordExecuted commits that the request was executed, together with the response. dropped means that
// the response body is too large to be stored.
func (r *outcomeRecorder) recordExecuted(ctx context.Context, head *pb.AnswerHead, body []byte, dropped bool) error {
	r.done = true
	stored := &pb.StoredAnswer{Status: head.Status, Headers: head.Headers, Target: head.Target, BodyDropped: dropped}
	stored.Body = bytes.Clone(body)
	if err := r.finish(ctx, pb.CommitOutcome_RESULT_EXECUTED, stored); err != nil {
		return errs.ErrOutcomeUnknown.With("the request was executed, but its outcome could not be committed: %w", err)
	}
	return nil
}

// recordFailure commits that the request did not run, or that its outcome is unknown, depending on cause.
func (r *outcomeRecorder) recordFailure(ctx context.Context, cause error) {
	r.done = true
	result := pb.CommitOutcome_RESULT_UNKNOWN
	if outcomeOf(cause) == errs.OutcomeNotRun {
		result = pb.CommitOutcome_RESULT_NOT_RUN
	}
	if err := r.finish(ctx, result, nil); err != nil {
		r.gateway.config.Logger.Warn().Str("request", r.call.id).Str("result", result.String()).Err(err).Msg("failed to commit the outcome of a request")
	}
}

// finish commits the outcome even if ctx has ended.
func (r *outcomeRecorder) finish(ctx context.Context, result pb.CommitOutcome_Result, answer *pb.StoredAnswer) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	config := &r.gateway.config
	return config.Records.Finish(ctx, &pb.CommitOutcome{Member: r.call.member, Key: r.call.key, Sender: config.VM,
		SenderInstance: config.Instance, Result: result, Answer: answer, IntentIndex: r.intentIndex})
}

// replay responds from the record of an earlier request with the same key. It sends nothing to an
// executor.
func (g *Gateway) replay(r *pb.RequestRecord, digest []byte, out *responder) error {
	if !bytes.Equal(r.Digest, digest) {
		return ErrKeyReused
	}
	switch r.Stage {
	case pb.RequestRecord_STAGE_EXECUTED:
		return replayAnswer(r.Answer, out)
	case pb.RequestRecord_STAGE_INTENT:
		// Since activeKeys admits one call per key, an intent of this process belongs to a call that has
		// ended without committing its outcome.
		own := r.Sender == g.config.VM && r.SenderInstance == g.config.Instance
		if !own && !g.config.SenderGone(r.Sender, r.SenderInstance) {
			return ErrInProgress
		}
	}
	return errs.ErrOutcomeUnknown.With("an earlier request with this key may have run, but its outcome was lost")
}

// replayAnswer sends a stored response, marked as replayed.
func replayAnswer(stored *pb.StoredAnswer, out *responder) error {
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

// checkAdmission returns an error if the table would refuse the call at once, so that no intent is
// committed for it. The lack of an executor is no error, because another entry VM may have one.
func (g *Gateway) checkAdmission(c *call) error {
	r := c.routingRequest()
	err := g.config.Table.Admit(&r)
	if errors.Is(err, routing.ErrNoExecutor) {
		return nil
	}
	return err
}

// qualifyNotRun changes the outcome of an error from not-run to unknown if only this attempt was certainly
// not run. An earlier attempt with the same key may have been executed, unless the owner has looked up
// its record of the key or the caller states that this is the first attempt.
func (c *call) qualifyNotRun(err error) error {
	if err == nil || c.idempotent || c.intentRecorded || c.notRunCertain || c.firstAttempt || outcomeOf(err) != errs.OutcomeNotRun {
		return err
	}
	if _, invalid := idempotency.Parse(c.key); invalid != nil {
		return err
	}
	refusal := errs.From(err).WithUnknownOutcome()
	refusal.Message += "; this attempt was not run, an earlier one with the same key may have been"
	refusal.Remedy = "ask again with the same idempotency key; " + headerAttempt + ": 1 on a first attempt makes its refusal definite"
	return refusal
}
