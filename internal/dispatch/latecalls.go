package dispatch

import (
	"slices"
	"time"
)

// Workers may leave calls unanswered and carry them out seconds later. To wait for the longest delay after each unanswered start would leave
// tasks standing still wherever a worker is lost, so that it is waited for only once starts have been left unanswered by workers that were in
// reach all the time.

const (
	// maxCallDelay is how long after the leader has made it a call counts as one that may still be carried out, for finite tasks. The platform
	// may take 12 s, but a submission may not stand still for that and the longest lease.
	maxCallDelay = 2*time.Second + callTimeout
	// longestCallDelay takes its place while calls are known to be late.
	longestCallDelay = 12*time.Second + callTimeout
	// lateCallTimeout takes its place for endless tasks where the next incarnation is known.
	lateCallTimeout = 4 * time.Second
	// lateCallsCount is the number of unanswered starts within lateCallsWindow that show that calls are late.
	lateCallsCount  = 3
	lateCallsWindow = 10 * time.Second
	// timedOutAfter is how long a start is on its way at least that got no answer in time. One that another VM makes has less than callTimeout.
	timedOutAfter = callTimeout * 3 / 4
	// lateCallsMemory is how long after the last such start calls count as late.
	lateCallsMemory = 30 * time.Second
)

// lateCalls tells whether calls are known to be late. The event loop owns it.
type lateCalls struct {
	seen  []time.Duration // when unanswered starts were noted last, at most lateCallsCount
	until time.Duration   // calls count as late until then, 0 if they never did
}

// note records that a worker which was in reach has left a start unanswered.
func (c *lateCalls) note(now time.Duration) {
	c.seen = append(slices.DeleteFunc(c.seen, func(at time.Duration) bool { return now-at > lateCallsWindow }), now)
	if len(c.seen) >= lateCallsCount {
		c.until, c.seen = now+lateCallsMemory, c.seen[1:]
	}
}

// delay returns how long after it was made a call counts as one that may still be carried out, for finite tasks.
func (c *lateCalls) delay(now time.Duration) time.Duration {
	if now < c.until {
		return longestCallDelay
	}
	return maxCallDelay
}

// recordTimeout records that a start got no answer in time, if the worker has answered a hold meanwhile. Whether it was in reach all the time
// is known once it answers a later one.
func (s *session) recordTimeout(sent, now time.Duration) {
	if s.leaseSnapshot().identifiedAt >= sent && now-sent >= timedOutAfter {
		s.startTimedOutAt = now
	}
}

// noteLateCalls takes note of a start that timed out, once the worker has answered a hold that was sent after it.
func (l *Leader) noteLateCalls(s *session, sent time.Duration) {
	if s.startTimedOutAt == 0 || sent <= s.startTimedOutAt {
		return
	}
	s.startTimedOutAt = 0
	now := l.cfg.Clock()
	before := l.late.delay(now)
	if l.late.note(now); l.late.delay(now) != before {
		l.log.Warn().Str("event", "calls-late").Str("worker", s.incarnation.ID).
			Msg("workers leave starts unanswered and may carry them out late; tasks whose worker is lost meanwhile wait for that")
	}
}
