package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// The leader records in the replicated state that a worker is silent before a change of the leader can make that forgotten. It
// grants no lease to a silent worker until the end of the silence is committed. So the next leader knows when the leases of a
// worker that it cannot reach are over, and need not wait for as long as if they had begun with its term.

// beginSilence records that a worker that may have a lease does not answer.
func (l *Leader) beginSilence(s *session) {
	s.mu.Lock()
	if s.silent || s.expired {
		s.mu.Unlock()
		return
	}
	s.silent = true // before the lease is read: no longer one may be granted
	rest := l.leaseExpiry(s.leaseState) - l.cfg.Clock()
	s.mu.Unlock()
	l.queueSilence(s, max(0, rest), true, func(error) {})
}

// endSilence records that a silent worker answers again, so that it has not crashed. Leases are granted once that is committed.
func (l *Leader) endSilence(s *session) {
	if !s.leaseSnapshot().silent && !s.mayHaveCrashed || s.endingSilence {
		return
	}
	s.endingSilence = true
	l.queueSilence(s, 0, false, func(err error) {
		s.endingSilence = false
		if err == nil {
			s.mu.Lock()
			s.silent = false
			s.mu.Unlock()
			s.mayHaveCrashed = false
			l.log.Info().Str("event", "worker-answers").Str("worker", s.incarnation.ID).Msg("a silent worker answers again and gets leases")
		}
	})
}

func (l *Leader) queueSilence(s *session, leaseRest time.Duration, silent bool, after func(error)) {
	change := &pb.WorkerSilence{Id: s.incarnation.ID, BornUnixMs: s.incarnation.BornUnixMs, Silent: silent,
		LeaseRestMs: leaseRest.Milliseconds() + 1} // rounded up
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_Silence{Silence: change}}, func(_ submission.Result, err error) {
		l.logCommitFailure("worker-silence", s.incarnation.ID, err)
		after(err)
	})
}
