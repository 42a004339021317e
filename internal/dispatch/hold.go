package dispatch

import (
	"context"
	"errors"
	"time"
)

const (
	// holdWait is how long a worker waits for an attempt to end before it answers a hold. The platform allows at most 2 s.
	holdWait = 1500 * time.Millisecond
	// fastHoldWait replaces holdWait on workers where filling tasks run next to services, whose latency has to be checked often.
	fastHoldWait = 600 * time.Millisecond
	// holdSlack is the time allowed for a hold in addition to the wait on the worker.
	holdSlack = 800 * time.Millisecond
	// relayMargin is the part of a hold's time that another VM which makes the hold may keep to send its answer.
	relayMargin = 100 * time.Millisecond
	// reconnectInterval is the interval between two holds while a worker with a lease does not answer.
	reconnectInterval = 400 * time.Millisecond
	// recordWait replaces holdWait until it is committed that a silent worker answers again.
	recordWait = 50 * time.Millisecond
	// holdRetryMin and holdRetryMax bound the backoff after a failed hold to a worker without a lease.
	holdRetryMin = 100 * time.Millisecond
	holdRetryMax = 400 * time.Millisecond
	// usableWindow is how long after its last answered hold a worker still gets new tasks.
	usableWindow = holdWait + 2*holdSlack
)

// holdResult is the result of a hold.
type holdResult struct {
	sent, ended time.Duration
	answer      HoldAnswer
	err         error
	// leased is true if the call renews the lease.
	leased bool
	// timedOut is true if the call was given up. Otherwise the worker answered, or its connection broke when the call ended.
	timedOut bool
	// delay is for how long the answer was on its way at least.
	delay time.Duration
}

// holdLoop polls a worker until ctx ends, which renews its lease and collects the ends of attempts. The event loop handles
// each answer before the next call is made, since a call may acknowledge only ends that are committed.
func (l *Leader) holdLoop(ctx context.Context, s *session) {
	pause := holdRetryMin
	for ctx.Err() == nil {
		lease := s.leaseSnapshot()
		reconnecting := lease.identityUncertain && lease.confirmed && !lease.expired
		result := holdResult{}
		if reconnecting {
			result = l.reconnect(ctx, s)
		} else {
			result = l.identifiedHold(ctx, s)
		}
		s.setIdentity(result.err == nil && !s.answeredByOther(result.answer), l.cfg.Clock()-result.delay)
		handled := make(chan struct{})
		l.post(func() { l.onHold(s, result, func() { close(handled) }) })
		select {
		case <-handled:
		case <-ctx.Done():
			return
		}
		if result.err == nil || reconnecting {
			pause = holdRetryMin
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = min(2*pause, holdRetryMax)
	}
}

// identifiedHold makes the next hold of a session. If the worker may have restarted since its last answer, a hold that neither
// renews the lease nor acknowledges ends goes first.
func (l *Leader) identifiedHold(ctx context.Context, s *session) holdResult {
	if s.leaseSnapshot().mayHaveRestarted(l.cfg.Clock()) {
		check := l.hold(ctx, s, HoldCall{Target: s.target()})
		if check.err != nil || s.answeredByOther(check.answer) {
			return check
		}
	}
	return l.hold(ctx, s, l.nextHold(s))
}

// nextHold returns the next hold of a session. It renews the lease unless another incarnation may receive the call.
func (l *Leader) nextHold(s *session) HoldCall {
	lease := s.leaseSnapshot()
	c := HoldCall{Target: s.target(), SeenEnd: lease.acknowledgedEnd()}
	if !lease.identityUncertain {
		c.LeaseUntilMs = s.grantLease(l.lease, l.cfg.Clock())
	}
	switch {
	case lease.mayLackEnds: // the next ones are needed at once
	case lease.silent && lease.confirmed && !lease.identityUncertain:
		c.WaitMs = recordWait.Milliseconds()
	case c.LeaseUntilMs == 0:
		// Do not wait: without a lease, for example at first contact or after a partition, the state is needed at once.
	case lease.fastPolling:
		c.WaitMs = fastHoldWait.Milliseconds()
	default:
		c.WaitMs = holdWait.Milliseconds()
	}
	return c
}

// hold makes a hold and records the reading of the worker's clock in its answer.
func (l *Leader) hold(ctx context.Context, s *session, c HoldCall) holdResult {
	sent, began := l.cfg.Clock(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitMs)*time.Millisecond+holdSlack)
	defer cancel()
	answer, err := l.cfg.Caller.Hold(ctx, c)
	deadline, _ := ctx.Deadline()
	timedOut := ctx.Err() != nil || time.Until(deadline) < relayMargin
	holdSeconds.UpdateDuration(began)
	delay := time.Duration(0)
	if err == nil && !s.answeredByOther(answer) {
		s.mu.Lock()
		delay = s.delayOf(answer.ClockMs, l.cfg.Clock())
		s.recordClock(answer.ClockMs, l.cfg.Clock())
		s.acknowledged = max(s.acknowledged, c.SeenEnd)
		s.mu.Unlock()
	}
	return holdResult{sent: sent, ended: l.cfg.Clock(), answer: answer, err: err, leased: c.LeaseUntilMs > 0, timedOut: timedOut, delay: delay}
}

// reconnect repeats the hold after a failed one at reconnectInterval, without waiting for the calls before it, until a call
// succeeds or fails. A partition leaves calls hanging that were made before its end, and the lease may be over before they
// time out.
func (l *Leader) reconnect(ctx context.Context, s *session) holdResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	results := make(chan holdResult, 1+holdSlack/reconnectInterval)
	for {
		go func() {
			result := l.hold(ctx, s, l.nextHold(s))
			select {
			case results <- result:
			case <-ctx.Done():
			}
		}()
		if result, ok := firstResult(ctx, results, ticker.C); ok {
			return result
		}
	}
}

// firstResult returns the first result before the next tick, but a success rather than a failure. A failure that ends the session
// or the term is returned at once, others at the tick. It returns false if all calls are still in progress by then.
func firstResult(ctx context.Context, results <-chan holdResult, tick <-chan time.Time) (holdResult, bool) {
	failed, ok := holdResult{}, false
	for {
		select {
		case result := <-results:
			if result.err == nil || errors.Is(result.err, ErrFenced) || errors.Is(result.err, ErrOtherIncarnation) {
				return result, true
			}
			failed, ok = result, true
		case <-tick:
			return failed, ok
		case <-ctx.Done():
			return holdResult{err: ErrNoAnswer}, true
		}
	}
}

// answeredByOther reports whether another incarnation than that of the session has answered a hold.
func (s *session) answeredByOther(answer HoldAnswer) bool {
	return answer.BornUnixMs != 0 && answer.BornUnixMs != s.incarnation.BornUnixMs
}

// onHold handles the result of a hold. It calls done once the next hold may be sent.
func (l *Leader) onHold(s *session, result holdResult, done func()) {
	if l.sessions[s.incarnation.ID] != s {
		done()
		return
	}
	s.recordHold(result)
	if result.err != nil {
		l.holdFailed(s, result.err)
		done()
		return
	}
	sent, answer := result.sent, result.answer
	if s.answeredByOther(answer) {
		if result.leased {
			s.stray.sent(result.ended, result.ended-l.longestLease())
		}
		l.onSuccessorAnswer(s, answer)
		done()
		return
	}
	s.leave.answered(sent)
	l.noteLateCalls(s, sent)
	l.endSilence(s)
	if l.recordAnswer(s, result) {
		l.log.Info().Str("event", "worker-confirmed").Str("worker", s.incarnation.ID).Int("running", len(answer.Running)).Int("ended", len(answer.Ended)).Msg("")
	}
	l.commitEnds(s, answer, done)
	l.reconcile(s, sent, answer)
	l.dirty = true
}

// onSuccessorAnswer handles the answer of a later incarnation of the worker of a session to a hold.
func (l *Leader) onSuccessorAnswer(s *session, answer HoldAnswer) {
	l.recordReplacement(s)
	l.onWorkerReplaced(s, "hold")
	l.registerSuccessor(s, answer.BornUnixMs)
}

func (l *Leader) holdFailed(s *session, err error) {
	switch {
	case errors.Is(err, ErrFenced):
		l.log.Warn().Str("event", "fenced").Str("worker", s.incarnation.ID).Uint64("term", l.term).Msg("a newer leader has called the worker; this VM stops leading")
		l.endTerm()
	case errors.Is(err, ErrOtherIncarnation):
		l.onWorkerReplaced(s, "hold")
	case l.ctx.Err() == nil:
		l.beginSilence(s)
		countCallError("hold")
		l.log.Warn().Str("event", "hold-failed").Str("worker", s.incarnation.ID).Err(err).Msg("")
	}
}

// onWorkerReplaced commits that the worker incarnation of a session is gone and closes the session.
func (l *Leader) onWorkerReplaced(s *session, source string) {
	l.log.Info().Str("event", "worker-replaced").Str("worker", s.incarnation.ID).Str("source", source).Msg("another worker or another incarnation answers at the worker's address")
	l.expectOtherWorker(s)
	l.commitWorkerCrashed(s, s.incarnation.ID)
	l.closeSession(s)
}
