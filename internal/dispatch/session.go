package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// holdWait is how long a worker waits for an attempt to end before it answers a hold. The platform allows at most 2 s.
	holdWait = 1500 * time.Millisecond
	// fastHoldWait replaces holdWait on workers where filling tasks run next to services, whose latency has to be checked often.
	fastHoldWait = 600 * time.Millisecond
	// holdSlack is the time allowed for a hold in addition to the wait on the worker.
	holdSlack = 800 * time.Millisecond
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

// session holds the leader's state for one incarnation of a worker.
type session struct {
	incarnation submission.Incarnation
	address     string
	domain      string // failure domain
	cancel      context.CancelFunc

	// Owned by the event loop.
	reportedAt time.Duration // when the worker last reported
	sequence   uint64        // sequence number of the last report
	// reportedCapacity is the capacity in the last report, nil if none has come since the session was opened.
	reportedCapacity *pb.Resources
	running          map[submission.Ref]Running       // running attempts in the last answer to a hold
	speedLimits      map[submission.Ref]int           // speed limits of filling tasks, in percent
	fill             steps.CPUShares                  // moving average of the processor time that filling tasks use, by image
	readAt           time.Duration                    // when fill was last updated
	overLimitSince   map[submission.Ref]time.Duration // since when services have exceeded their latency limits without a break
	throttledAt      time.Duration                    // when the speed of a filling task was last changed
	endingSilence    bool                             // the end of the silence is being committed
	aliveAt          time.Duration                    // when the worker was last known to be alive
	endKnown         bool                             // the worker ended between aliveAt and endedBy: its connection broke or was refused
	endedBy          time.Duration
	unanswered       bool // the last hold got no answer
	lossesPending    int  // number of attempts whose loss is being committed

	mu sync.Mutex // guards leaseState, which calls in progress use
	leaseState
}

// leaseState holds the state of a worker's clock and lease.
type leaseState struct {
	// confirmed is true once the worker has answered a hold in this term.
	confirmed bool
	// expired is true once the lease counts as expired. No lease is granted until the worker answers again.
	expired      bool
	answeredAt   time.Duration // when the last answered hold was sent
	clockMs      int64         // last reading of the worker's clock, 0 if none
	clockAt      time.Duration // when the clock was read
	grantedUntil int64         // latest end of a granted lease, on the worker's clock; 0 if none was granted in this term
	seenEnd      uint64        // number of the last committed end
	// identityUncertain is true after a hold has failed: the next one may be answered by another incarnation with the same id.
	identityUncertain bool
	// silent is true while the worker is or may be recorded as silent. No lease is granted then.
	silent bool
	// recordedLeaseOver is when the leases that previous leaders granted to a silent worker are over, 0 if they did not record it
	// as silent.
	recordedLeaseOver time.Duration
	// identifiedAt is when an answer of this incarnation last arrived.
	identifiedAt time.Duration
	// fastPolling is true while filling tasks run next to services, whose latency must be read more often then.
	fastPolling bool
}

func (s *session) setFastPolling(fast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fastPolling = fast
}

// target returns the target of calls to the worker in a term.
func (s *session) target(term uint64) Target {
	return Target{Incarnation: s.incarnation, Address: s.address, FailureDomain: s.domain, Fence: term}
}

// setIdentity records whether this incarnation has answered a hold.
func (s *session) setIdentity(answered bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identityUncertain = !answered
	if answered {
		s.identifiedAt = now
	}
}

// identityWindow is how long after an answer a hold is sure to reach the same incarnation. No worker restarts faster.
const identityWindow = 100 * time.Millisecond

// mayHaveRestarted reports whether the last answer came so long ago that the worker may have restarted since, for example
// because the ends in it took long to commit. No hold was waiting meanwhile that would have failed.
func (c leaseState) mayHaveRestarted(now time.Duration) bool {
	return c.confirmed && !c.identityUncertain && now-c.identifiedAt > identityWindow
}

// acknowledgedEnd returns the number up to which ends are acknowledged to the worker. Ends are numbered per incarnation, so it
// returns 0 while another incarnation may receive the call.
func (c leaseState) acknowledgedEnd() uint64 {
	if c.identityUncertain {
		return 0
	}
	return c.seenEnd
}

// openSession opens a session with a worker within a view of the state.
func (l *Leader) openSession(state *submission.State, w *submission.Worker) *session {
	if old := l.sessions[w.GetId()]; old != nil {
		if old.incarnation == w.Incarnation() {
			return old
		}
		l.recordUncertainStarts(state, old.incarnation)
		l.closeSession(old)
	}
	ctx, cancel := context.WithCancel(l.ctx)
	s := &session{incarnation: w.Incarnation(), address: w.GetAddress(), domain: w.GetFailureDomain(), cancel: cancel, running: map[submission.Ref]Running{},
		speedLimits: map[submission.Ref]int{}, fill: steps.CPUShares{}}
	s.reportedAt = l.cfg.Clock()
	if over, silent := w.LeaseOver(); silent {
		s.silent, s.recordedLeaseOver = true, over
	}
	l.sessions[w.GetId()] = s
	l.log.Info().Str("event", "session-opened").Str("worker", s.incarnation.ID).Int64("born", s.incarnation.BornUnixMs).Str("address", s.address).Msg("")
	go l.holdLoop(ctx, s, l.term)
	return s
}

func (l *Leader) closeSession(s *session) {
	s.cancel()
	if l.sessions[s.incarnation.ID] == s {
		delete(l.sessions, s.incarnation.ID)
	}
	for ref, r := range l.runs {
		if r.on == s.incarnation {
			delete(l.runs, ref)
		}
	}
}

// recordClock records a reading of the worker's clock that arrived at the given time. Readings that do not advance the clock
// are ignored.
func (s *session) recordClock(clockMs int64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if clockMs > s.clockMs {
		s.clockMs, s.clockAt = clockMs, at
	}
}

// grantWindow is how long after the last answered hold leases are still granted. Otherwise a worker that receives calls but
// whose answers are lost would keep its tasks forever.
const grantWindow = 3 * time.Second

// grantLease records a lease of the given length as granted and returns its end on the worker's clock. It returns 0 if no
// lease may be granted. The lease starts at the last reading of the worker's clock, so a delayed call does not extend it.
func (s *session) grantLease(lease, now time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockMs == 0 || !s.confirmed || s.expired || s.silent || now-s.answeredAt > grantWindow {
		return 0
	}
	until := s.clockMs + lease.Milliseconds()
	s.grantedUntil = max(s.grantedUntil, until)
	return until
}

// recordAnswer records the answer to a hold that was sent at the given time. It returns true if this is the first answer in
// this term or since the lease counted as expired.
func (s *session) recordAnswer(sent time.Duration, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := !s.confirmed || s.expired
	if !s.confirmed {
		// A previous leader may have granted a lease that started just now.
		s.grantedUntil = max(s.grantedUntil, s.clockMs+lease.Milliseconds())
	}
	s.confirmed, s.expired, s.answeredAt = true, false, sent
	return fresh
}

func (s *session) leaseSnapshot() leaseState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseState
}

// holdResult is the result of a hold.
type holdResult struct {
	sent, ended time.Duration
	answer      HoldAnswer
	err         error
	// timedOut is true if the call was given up. Otherwise the worker answered, or its connection broke when the call ended.
	timedOut bool
}

// holdLoop polls a worker until ctx ends, which renews its lease and collects the ends of attempts. The event loop handles
// each answer before the next call is made, since a call may acknowledge only ends that are committed.
func (l *Leader) holdLoop(ctx context.Context, s *session, term uint64) {
	pause := holdRetryMin
	for ctx.Err() == nil {
		lease := s.leaseSnapshot()
		reconnecting := lease.identityUncertain && lease.confirmed && !lease.expired
		result := holdResult{}
		if reconnecting {
			result = l.reconnect(ctx, s, term)
		} else {
			result = l.identifiedHold(ctx, s, term)
		}
		s.setIdentity(result.err == nil && !s.answeredByOther(result.answer), l.cfg.Clock())
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
func (l *Leader) identifiedHold(ctx context.Context, s *session, term uint64) holdResult {
	if s.leaseSnapshot().mayHaveRestarted(l.cfg.Clock()) {
		check := l.hold(ctx, s, HoldCall{Target: s.target(term)})
		if check.err != nil || s.answeredByOther(check.answer) {
			return check
		}
	}
	return l.hold(ctx, s, l.nextHold(s, term))
}

// nextHold returns the next hold of a session. It renews the lease unless another incarnation may receive the call.
func (l *Leader) nextHold(s *session, term uint64) HoldCall {
	lease := s.leaseSnapshot()
	c := HoldCall{Target: s.target(term), SeenEnd: lease.acknowledgedEnd()}
	if !lease.identityUncertain {
		c.LeaseUntilMs = s.grantLease(l.lease, l.cfg.Clock())
	}
	switch {
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
	timedOut := ctx.Err() != nil
	holdSeconds.UpdateDuration(began)
	if err == nil && !s.answeredByOther(answer) {
		s.recordClock(answer.ClockMs, l.cfg.Clock())
	}
	return holdResult{sent, l.cfg.Clock(), answer, err, timedOut}
}

// reconnect repeats the hold after a failed one at reconnectInterval, without waiting for the calls before it, until a call
// succeeds or fails. A partition leaves calls hanging that were made before its end, and the lease may be over before they
// time out.
func (l *Leader) reconnect(ctx context.Context, s *session, term uint64) holdResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	results := make(chan holdResult, 1+holdSlack/reconnectInterval)
	for {
		go func() {
			result := l.hold(ctx, s, l.nextHold(s, term))
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
		l.cfg.State.View(func(state *submission.State) { l.recordUncertainStarts(state, s.incarnation) })
		l.onWorkerReplaced(s, "hold")
		done()
		return
	}
	l.endSilence(s)
	if s.recordAnswer(sent, l.lease) {
		l.log.Info().Str("event", "worker-confirmed").Str("worker", s.incarnation.ID).Int("running", len(answer.Running)).Int("ended", len(answer.Ended)).Msg("")
	}
	l.commitEnds(s, answer, done)
	l.reconcile(s, sent, answer)
	l.dirty = true
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
	l.commitWorkerCrashed(s, s.incarnation.ID)
	l.closeSession(s)
}

// commitWorkerGone commits that a worker incarnation is gone. If the commit fails, the next tick repeats it: nothing else
// would end the attempts on a worker without a session.
func (l *Leader) commitWorkerGone(gone *pb.WorkerGone) {
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_Gone{Gone: gone}}, func(result submission.Result, err error) {
		l.logCommitFailure("worker-gone", gone.GetId(), err)
		if err != nil {
			l.uncommittedGone = append(l.uncommittedGone, gone)
		} else if result.Applied {
			l.logSuspects(gone.GetId(), gone.GetSuspects())
		}
	})
}

func (l *Leader) logCommitFailure(what, id string, err error) {
	if err != nil && l.leads() {
		l.log.Warn().Str("event", "commit-failed").Str("change", what).Str("id", id).Err(err).Msg("")
	}
}

// commitEnds commits the ends that a worker lists, unless they are committed already. If all commits succeed, the next hold acknowledges the ends. done is called
// once all results are known.
func (l *Leader) commitEnds(s *session, answer HoldAnswer, done func()) {
	seen := s.leaseSnapshot().seenEnd
	ended := slices.DeleteFunc(slices.Clone(answer.Ended), func(e Ended) bool { return e.Number <= seen })
	if len(ended) == 0 {
		done()
		return
	}
	left := len(ended)
	highest, failed := uint64(0), false
	for _, e := range ended {
		highest = max(highest, e.Number)
		l.log.Info().Str("decision", "task-ended").Str("request", e.Task.Submission).Uint32("step", e.Task.Step).Uint32("task", e.Task.Index).
			Uint32("attempt", e.Attempt).Str("worker", s.incarnation.ID).Str("how", e.Kind.String()).Uint64("number", e.Number).Msg("")
		countEnd(e.Kind)
		l.recordEnd(s.incarnation.ID, e)
		l.commitEnd(s, e.Task, e.Attempt, e.Kind, e.Checkpoint, func(err error) {
			failed = failed || err != nil
			if left--; left > 0 {
				return
			}
			if !failed {
				s.mu.Lock()
				s.seenEnd = max(s.seenEnd, highest)
				s.mu.Unlock()
			}
			done()
		})
	}
}

// commitEnd commits the end of an attempt on the worker of a session.
func (l *Leader) commitEnd(s *session, task submission.Ref, attempt uint32, kind pb.TaskEndKind, checkpoint string, after func(error)) {
	l.queueEnd(endOf(s, task, attempt, kind, checkpoint), after)
}

func endOf(s *session, task submission.Ref, attempt uint32, kind pb.TaskEndKind, checkpoint string) *pb.TaskEnd {
	return &pb.TaskEnd{Task: task.Proto(), Attempt: attempt, Worker: s.incarnation.ID, WorkerBornUnixMs: s.incarnation.BornUnixMs, Kind: kind, Checkpoint: checkpoint}
}

func (l *Leader) queueEnd(end *pb.TaskEnd, after func(error)) {
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_End{End: end}}, func(_ submission.Result, err error) {
		if err == nil {
			l.untrackRun(submission.RefOf(end.GetTask()), end.GetAttempt())
		}
		l.logCommitFailure("task-end", end.GetTask().GetSubmission(), err)
		if after != nil {
			after(err)
		}
	})
}

// leaseExpiry returns the time from which the lease has certainly expired on the worker's clock.
func (l *Leader) leaseExpiry(c leaseState) time.Duration {
	slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - clockDrift)) }
	if !c.confirmed && c.recordedLeaseOver > 0 {
		return c.recordedLeaseOver
	}
	if !c.confirmed {
		// A previous leader may have granted leases until it noticed the end of its term.
		return l.termStart + previousLeaderTimeout + slow(l.lease) + leaseMargin
	}
	rest := time.Duration(max(0, c.grantedUntil-c.clockMs)) * time.Millisecond
	return c.clockAt + slow(rest) + leaseMargin
}

// previousLeaderTimeout is how long a leader may continue after it has lost its quorum: twice the election timeout.
const previousLeaderTimeout = 1200 * time.Millisecond

// checkLease commits the attempts on a worker as lost while its lease counts as expired, so that the tasks restart elsewhere.
// It commits again if a commit fails, and attempts whose placement is committed only after the lease has expired.
func (l *Leader) checkLease(s *session, now time.Duration) {
	s.mu.Lock()
	over := !s.expired && now >= l.leaseExpiry(s.leaseState)
	s.expired = s.expired || over
	expired, answeredAt := s.expired, s.answeredAt
	s.mu.Unlock()
	if !expired || s.lossesPending > 0 {
		return
	}
	var lost []submission.Ref
	var attempts []uint32
	l.cfg.State.View(func(state *submission.State) {
		if w := state.Workers()[s.incarnation.ID]; w != nil && w.Incarnation() == s.incarnation {
			for ref, attempt := range w.Attempts {
				lost, attempts = append(lost, ref), append(attempts, attempt)
			}
		}
	})
	if over {
		leasesOverTotal.Inc()
	}
	if over || len(lost) > 0 {
		l.log.Warn().Str("event", "lease-over").Str("worker", s.incarnation.ID).Int("tasks", len(lost)).
			Dur("silent_ms", now-answeredAt).Msg("the worker's lease expired before the worker was reached; its tasks are placed on other workers")
	}
	s.lossesPending = len(lost)
	suspects := l.crashSuspects(s)
	for i, ref := range lost {
		end := endOf(s, ref, attempts[i], pb.TaskEndKind_TASK_END_KIND_LOST, s.running[ref].Checkpoint)
		if n := slices.IndexFunc(suspects, func(a *pb.SuspectAttempt) bool {
			return submission.RefOf(a.GetTask()) == ref && a.GetAttempt() == attempts[i]
		}); n >= 0 {
			end.Suspect = suspects[n]
		}
		l.queueEnd(end, func(err error) {
			s.lossesPending--
			if err == nil && end.GetSuspect() != nil {
				l.logSuspects(s.incarnation.ID, []*pb.SuspectAttempt{end.GetSuspect()})
			}
		})
	}
}

// silenceTimeout is how long a worker may neither report nor answer a hold before its session is closed.
const silenceTimeout = time.Minute

// closeIfSilent closes the session with a worker that neither reports nor answers. By then its lease has long expired. If
// the same incarnation reports later, a new session is opened.
func (l *Leader) closeIfSilent(s *session, now time.Duration) {
	if now-max(s.reportedAt, s.leaseSnapshot().answeredAt) > silenceTimeout {
		l.log.Warn().Str("event", "worker-silent").Str("worker", s.incarnation.ID).Msg("the worker neither reports nor answers; it is not called again until it reports")
		l.closeSession(s)
	}
}

// usable reports whether the worker of a session is reachable and may get new tasks.
func (l *Leader) usable(s *session, now time.Duration) bool {
	c := s.leaseSnapshot()
	return c.confirmed && !c.expired && !c.silent && now-c.answeredAt < usableWindow
}
