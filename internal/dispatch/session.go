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
	// holdRetryMin and holdRetryMax bound the backoff after a failed hold.
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

// doubtIdentity makes the identity uncertain if the last answer came so long ago that the worker may have restarted since, for
// example because the ends in it took long to commit. No hold was waiting meanwhile that would have failed.
func (s *session) doubtIdentity(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identityUncertain = s.identityUncertain || s.confirmed && now-s.identifiedAt > identityWindow
}

// acknowledgedEnd returns the number up to which ends are acknowledged to the worker. Ends are numbered per incarnation, so it
// returns 0 while another incarnation may receive the call.
func (c leaseState) acknowledgedEnd() uint64 {
	if c.identityUncertain {
		return 0
	}
	return c.seenEnd
}

func (l *Leader) openSession(w *submission.Worker) *session {
	if old := l.sessions[w.GetId()]; old != nil {
		if old.incarnation == w.Incarnation() {
			return old
		}
		l.recordUncertainStarts(old.incarnation)
		l.closeSession(old)
	}
	ctx, cancel := context.WithCancel(l.ctx)
	s := &session{incarnation: w.Incarnation(), address: w.GetAddress(), domain: w.GetFailureDomain(), cancel: cancel, running: map[submission.Ref]Running{},
		speedLimits: map[submission.Ref]int{}, fill: steps.CPUShares{}}
	s.reportedAt = l.cfg.Clock()
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
	if s.clockMs == 0 || !s.confirmed || s.expired || now-s.answeredAt > grantWindow {
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

// holdLoop polls a worker until ctx ends, which renews its lease and collects the ends of attempts. The event loop handles
// each answer before the next call is made, since a call may acknowledge only ends that are committed.
func (l *Leader) holdLoop(ctx context.Context, s *session, term uint64) {
	pause := holdRetryMin
	for ctx.Err() == nil {
		sent := l.cfg.Clock()
		s.doubtIdentity(sent)
		lease := s.leaseSnapshot()
		c := HoldCall{Target: Target{Incarnation: s.incarnation, Address: s.address, FailureDomain: s.domain, Fence: term}, SeenEnd: lease.acknowledgedEnd()}
		if !lease.identityUncertain {
			c.LeaseUntilMs = s.grantLease(l.lease, sent)
		}
		switch {
		case c.LeaseUntilMs == 0:
			// Do not wait: without a lease, for example at first contact or after a partition, the state is needed at once.
		case lease.fastPolling:
			c.WaitMs = fastHoldWait.Milliseconds()
		default:
			c.WaitMs = holdWait.Milliseconds()
		}
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitMs)*time.Millisecond+holdSlack)
		answer, err := l.cfg.Caller.Hold(callCtx, c)
		cancel()
		holdSeconds.UpdateDuration(began)
		s.setIdentity(err == nil && !s.answeredByOther(answer), l.cfg.Clock())
		if err == nil {
			s.recordClock(answer.ClockMs, l.cfg.Clock())
		}
		handled := make(chan struct{})
		l.post(func() { l.onHold(s, sent, answer, err, func() { close(handled) }) })
		select {
		case <-handled:
		case <-ctx.Done():
			return
		}
		if err == nil {
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

// answeredByOther reports whether another incarnation than that of the session has answered a hold.
func (s *session) answeredByOther(answer HoldAnswer) bool {
	return answer.BornUnixMs != 0 && answer.BornUnixMs != s.incarnation.BornUnixMs
}

// onHold handles the result of a hold. It calls done once the next hold may be sent.
func (l *Leader) onHold(s *session, sent time.Duration, answer HoldAnswer, err error, done func()) {
	if l.sessions[s.incarnation.ID] != s {
		done()
		return
	}
	if err != nil {
		l.holdFailed(s, err)
		done()
		return
	}
	if s.answeredByOther(answer) {
		l.recordUncertainStarts(s.incarnation)
		l.onWorkerReplaced(s, "hold")
		done()
		return
	}
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
		countCallError("hold")
		l.log.Warn().Str("event", "hold-failed").Str("worker", s.incarnation.ID).Err(err).Msg("")
	}
}

// onWorkerReplaced commits that the worker incarnation of a session is gone and closes the session.
func (l *Leader) onWorkerReplaced(s *session, source string) {
	l.log.Info().Str("event", "worker-replaced").Str("worker", s.incarnation.ID).Str("source", source).Msg("another worker or another incarnation answers at the worker's address")
	l.commitWorkerGone(s.incarnation)
	l.closeSession(s)
}

func (l *Leader) commitWorkerGone(incarnation submission.Incarnation) {
	change := &pb.SubmissionChange{Change: &pb.SubmissionChange_Gone{Gone: &pb.WorkerGone{Id: incarnation.ID, BornUnixMs: incarnation.BornUnixMs}}}
	l.queueChange(change, func(_ submission.Result, err error) { l.logCommitFailure("worker-gone", incarnation.ID, err) })
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
	end := &pb.TaskEnd{Task: task.Proto(), Attempt: attempt, Worker: s.incarnation.ID, WorkerBornUnixMs: s.incarnation.BornUnixMs, Kind: kind, Checkpoint: checkpoint}
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_End{End: end}}, func(_ submission.Result, err error) {
		if err == nil {
			l.untrackRun(task, attempt)
		}
		l.logCommitFailure("task-end", task.Submission, err)
		if after != nil {
			after(err)
		}
	})
}

// leaseExpiry returns the time from which the lease has certainly expired on the worker's clock.
func (l *Leader) leaseExpiry(c leaseState) time.Duration {
	slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - clockDrift)) }
	if !c.confirmed {
		// A previous leader may have granted leases until it noticed the end of its term.
		return l.termStart + previousLeaderTimeout + slow(l.lease) + leaseMargin
	}
	rest := time.Duration(max(0, c.grantedUntil-c.clockMs)) * time.Millisecond
	return c.clockAt + slow(rest) + leaseMargin
}

// previousLeaderTimeout is how long a leader may continue after it has lost its quorum: twice the election timeout.
const previousLeaderTimeout = 1200 * time.Millisecond

// checkLease commits the attempts on a worker as lost once its lease has expired, so that the tasks restart elsewhere.
func (l *Leader) checkLease(s *session, now time.Duration) {
	s.mu.Lock()
	over := !s.expired && now >= l.leaseExpiry(s.leaseState)
	s.expired = s.expired || over
	answeredAt := s.answeredAt
	s.mu.Unlock()
	if !over {
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
	leasesOverTotal.Inc()
	l.log.Warn().Str("event", "lease-over").Str("worker", s.incarnation.ID).Int("tasks", len(lost)).
		Dur("silent_ms", now-answeredAt).Msg("the worker's lease expired before the worker was reached; its tasks are placed on other workers")
	for i, ref := range lost {
		l.commitEnd(s, ref, attempts[i], pb.TaskEndKind_TASK_END_KIND_LOST, s.running[ref].Checkpoint, nil)
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
	return c.confirmed && !c.expired && now-c.answeredAt < usableWindow
}
