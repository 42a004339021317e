package dispatch

import (
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

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
	grantedAt    time.Duration // when a call with a lease was last sent, 0 if none was in this session
	seenEnd      uint64        // number of the last committed end
	// mayLackEnds is true if the last answer to a hold of the session may have lacked ends.
	mayLackEnds bool
	// acknowledged is the highest number up to which this incarnation has taken an acknowledgement of ends.
	acknowledged uint64
	// identityUncertain is true after a hold has failed: the next one may be answered by another incarnation with the same id.
	identityUncertain bool
	// silent is true while the worker is or may be recorded as silent. No lease is granted then.
	silent bool
	// recordedLeaseOver is when the leases that previous leaders granted to a silent worker are over, 0 if they did not record it
	// as silent.
	recordedLeaseOver time.Duration
	// inheritedOver is when all leases are over that calls for a former incarnation may have granted to this one; 0 if there was none, or
	// once this one has answered.
	inheritedOver time.Duration
	// lateOver is when all leases are over that calls for a former incarnation, holds as well, may have granted to this one however late they
	// were carried out; 0 if there was none. Finite tasks wait for it.
	lateOver time.Duration
	// identifiedAt is when this incarnation last answered a hold.
	identifiedAt time.Duration
	// fastPolling is true while filling tasks run next to services, whose latency must be read more often then.
	fastPolling bool
}

func (s *session) setFastPolling(fast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fastPolling = fast
}

// setIdentity records whether this incarnation has answered a hold, and if so when.
func (s *session) setIdentity(answered bool, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identityUncertain = !answered
	if answered {
		s.identifiedAt = at
	}
}

// identityWindow is how long after an answer a hold is sure to reach the same incarnation. No worker restarts faster.
const identityWindow = 100 * time.Millisecond

// mayHaveRestarted reports whether the last answer came so long ago that the worker may have restarted since, for example
// because the ends in it took long to commit. No hold was waiting meanwhile that would have failed.
func (c leaseState) mayHaveRestarted(now time.Duration) bool {
	return c.confirmed && !c.identityUncertain && now-c.identifiedAt > identityWindow
}

// acknowledgedEnd returns the number up to which ends are to be acknowledged to the worker, 0 for none. Ends are numbered per incarnation,
// so it returns 0 while another incarnation may receive the call, and once the worker has taken the acknowledgement: each hold may be
// carried out late, by a later incarnation.
func (c leaseState) acknowledgedEnd() uint64 {
	if c.identityUncertain || c.seenEnd <= c.acknowledged {
		return 0
	}
	return c.seenEnd
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
	s.grantedUntil, s.grantedAt = max(s.grantedUntil, until), now
	return until
}

// recordAnswer records the answer to a hold of the session. It returns true if this is the first answer in this session or since the lease
// counted as expired.
func (l *Leader) recordAnswer(s *session, result holdResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := !s.confirmed || s.expired
	if !s.confirmed {
		// A previous leader, or a call for a former incarnation, may have granted a lease that started just now. Later such calls are refused.
		granted := l.lease
		if s.inheritedOver > result.ended {
			granted = l.cfg.Bounds.LeaseMax
		}
		s.grantedUntil = max(s.grantedUntil, s.clockMs+granted.Milliseconds())
		s.lateOver = min(s.lateOver, result.ended+l.longestLease())
	}
	s.confirmed, s.expired, s.answeredAt, s.inheritedOver, s.mayLackEnds = true, false, result.sent, 0, result.answer.MayLackEnds
	return fresh
}

// slowest returns how long a time on a worker's clock may last.
func slowest(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - clockDrift)) }

// longestLease returns how long a lease may last that a worker takes from a call for a former incarnation. The call states its end on
// the clock of that incarnation, and the worker shortens it to the longest lease.
func (l *Leader) longestLease() time.Duration { return slowest(l.cfg.Bounds.LeaseMax) + leaseMargin }

func (s *session) leaseSnapshot() leaseState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseState
}

// leaseExpiry returns the time from which the lease has certainly expired on the worker's clock.
func (l *Leader) leaseExpiry(c leaseState) time.Duration {
	if !c.confirmed && c.recordedLeaseOver > 0 {
		return c.recordedLeaseOver
	}
	if !c.confirmed {
		// A previous leader may have granted leases until it noticed the end of its term.
		return max(c.inheritedOver, l.termStart+previousLeaderTimeout+slowest(l.lease)+leaseMargin)
	}
	rest := time.Duration(max(0, c.grantedUntil-c.clockMs)) * time.Millisecond
	return c.clockAt + slowest(rest) + leaseMargin
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
	lost, attempts = l.withoutHeld(s, lost, attempts)
	if over {
		leasesOverTotal.Inc()
	}
	if over || len(lost) > 0 {
		l.log.Warn().Str("event", "lease-over").Str("worker", s.incarnation.ID).Int("tasks", len(lost)).
			Dur("silent_ms", now-answeredAt).Msg("the worker's lease expired before the worker was reached; its tasks are placed on other workers")
	}
	s.lossesPending = len(lost)
	suspects := l.crashSuspects(s)
	for _, suspect := range suspects {
		suspect.Unproven = true // the worker may only be cut off
		s.mayHaveCrashed = true
	}
	for _, ref := range lost {
		if r := l.runs[ref]; r.on == s.incarnation {
			r.givenUp = true
		}
	}
	for i, ref := range lost {
		end := endOf(s, ref, attempts[i], pb.TaskEndKind_TASK_END_KIND_LOST, "")
		if running := s.running[ref]; running.Attempt == attempts[i] {
			end.Checkpoint = running.Checkpoint
		}
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

// usable reports whether the worker of a session is reachable, has a lease, is not about to leave and may get new tasks.
func (l *Leader) usable(s *session, now time.Duration) bool {
	c := s.leaseSnapshot()
	return !s.mayLeave() && c.confirmed && !c.expired && !c.silent && c.grantedUntil > c.clockMs && now-c.answeredAt < usableWindow
}
