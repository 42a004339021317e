package control

import (
	"context"
	"fmt"
	"sync"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// refusedRetryMs is the Retry-After of a submission for which there is no memory.
const refusedRetryMs = 1000

// admission bounds the memory of the submissions and waves that the leader accepts. It holds the weights of those that are being committed.
type admission struct {
	// limit is in bytes, in the sense of submission.Weight.
	limit int64

	mu       sync.Mutex
	weights  map[string]int64 // by id
	reserved int64
}

// reserve reserves memory for a submission or wave that is about to be committed, beside those that weigh used. It returns false if there is
// none. One with the same id that is being committed needs no memory of its own. release gives the memory back.
func (a *admission) reserve(id string, weight, used int64) (release func(), ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, repeated := a.weights[id]; repeated {
		return func() {}, true
	}
	if !submission.Fits(weight, used+a.reserved, a.limit) {
		return nil, false
	}
	if a.weights == nil {
		a.weights = map[string]int64{}
	}
	a.weights[id] = weight
	a.reserved += weight
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.weights, id)
		a.reserved -= weight
	}, true
}

// admit reserves memory for a submission or wave that isKnown finds once it is committed. If it returns an answer instead, it must not be
// committed. What is known, or what an entry before the answer may have made known, is never refused for want of memory.
func (c *Control) admit(ctx context.Context, id string, weight int64, isKnown func(*submission.State) bool) (release func(), answer *pb.IntakeAnswer) {
	known, used := false, int64(0)
	look := func(s *submission.State) { known, used = isKnown(s), s.Weight() }
	if c.state.View(look); known {
		return func() {}, nil
	}
	if release, ok := c.admission.reserve(id, weight, used); ok {
		return release, nil
	}
	// All entries that were proposed before are applied once this one is.
	if _, err := dispatch.Commit(ctx, c.group); err != nil {
		return nil, c.answerForError(err)
	}
	if c.state.View(look); known {
		return func() {}, nil
	}
	c.log.Warn().Str("decision", "not-admitted").Str("request", id).Int64("weight", weight).Int64("used", used).Int64("limit", c.admission.limit).
		Msg("refused, as there is no memory for its state")
	return nil, &pb.IntakeAnswer{Result: pb.IntakeResult_INTAKE_RESULT_OVERLOADED, RetryAfterMs: refusedRetryMs,
		Message: "there is no memory left for a request of this size; it was not accepted; repeat it later"}
}

// admitSubmission admits a submission.
func (c *Control) admitSubmission(ctx context.Context, spec *pb.SubmissionSpec) (release func(), answer *pb.IntakeAnswer) {
	return c.admit(ctx, spec.GetId(), submission.Weight(spec), func(s *submission.State) bool { return s.Submission(spec.GetId()) != nil })
}

// admitWave admits a wave.
func (c *Control) admitWave(ctx context.Context, wave *pb.Wave) (release func(), answer *pb.IntakeAnswer) {
	number := wave.GetNumber()
	return c.admit(ctx, fmt.Sprint("wave ", number), submission.WaveWeight(wave), func(s *submission.State) bool { return s.Waves()[number] != nil })
}
