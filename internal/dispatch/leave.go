package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// The report with which a worker leaves names the worker by its id. A partition may hold it up until a later incarnation runs under
// that id, so it proves nothing about the incarnation that is known. The leader records it, asks the worker, and gives up the
// attempts on it only once its process is known to have ended. A worker that gets no confirmation works on for a while, and may be cut off
// meanwhile: calls that get no answer prove nothing, and neither do refused or reset connections, which a partition can bring about at all VMs
// at once. What it cannot do is to close a connection in an orderly way. So a worker has ended if its report is certain, it has closed the
// connection of the hold that it was to answer, and answers nothing after that. Otherwise its lease decides.

const (
	// leaveProbeTimeout bounds a call that asks a worker which has reported its leave whether it still runs.
	leaveProbeTimeout = 200 * time.Millisecond
	// leaveProbeInterval is the time between two such calls. The first one is made as long after the report, since the long poll of the
	// session notices sooner if the process ends.
	leaveProbeInterval = 100 * time.Millisecond
	// leaveGrace is how long after its report a worker may still answer before it is taken to stay for now.
	leaveGrace = time.Second
	// leaveMisses is the number of unanswered calls in a row after which a worker has ended that has certainly reported its leave and closed a
	// connection.
	leaveMisses = 2
	// leaveClosedBefore is how long before its report arrives a worker that ends may have closed its connections.
	leaveClosedBefore = time.Second
)

// leaveWatch is what a leader knows about a worker that has reported its leave. The event loop owns it.
type leaveWatch struct {
	since time.Duration // when the leader learnt of the report
	// certain is true if no other incarnation can have sent the report.
	certain  bool
	probing  bool // a probe is in progress
	probedAt time.Duration
	misses   int // calls in a row that got no answer
	// closed is true if the worker closed the connection of a hold at about the time of the report, or later, and has answered none since.
	closed bool
	// stays is true once the worker has answered a probe sent leaveGrace after the report. It gets new tasks again.
	stays bool
}

type leaveVerdict int

const (
	leaveOpen     leaveVerdict = iota // it is not known yet whether the worker has ended
	leaveEnded                        // the incarnation has ended
	leaveReplaced                     // another worker or incarnation answers at the address
)

// judge records the result of a call to the worker and returns what it proves.
func (w *leaveWatch) judge(sent time.Duration, err error) leaveVerdict {
	switch {
	case errors.Is(err, ErrOtherIncarnation):
		return leaveReplaced
	case errors.Is(err, ErrAgentSilent): // the worker was not asked
	case errors.Is(err, ErrNoAnswer):
		if w.misses++; w.certain && w.closed && w.misses >= leaveMisses {
			return leaveEnded
		}
	default: // the worker runs, whatever it answers
		w.misses, w.closed = 0, false
		w.stays = w.stays || sent-w.since >= leaveGrace
	}
	return leaveOpen
}

// onLeaving commits that a worker has reported its leave, and begins to ask it. Only then is the report confirmed: the worker ends
// once it has the confirmation.
func (l *Leader) onLeaving(incarnation submission.Incarnation, known *pb.PoolWorker, done func(error)) {
	if known == nil || known.GetGone() || incarnation.BornUnixMs != 0 && incarnation.BornUnixMs != known.GetBornUnixMs() {
		done(nil)
		return
	}
	leave := &pb.WorkerLeave{Id: incarnation.ID, BornUnixMs: known.GetBornUnixMs(), Certain: incarnation.BornUnixMs != 0,
		Closed: l.sessions[incarnation.ID].hasClosed(l.cfg.Clock())}
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_Leave{Leave: leave}}, func(_ submission.Result, err error) {
		l.logCommitFailure("worker-leaving", leave.GetId(), err)
		if err == nil {
			l.syncSession(leave.GetId())
			l.watchLeave(leave.GetId())
		}
		done(err)
	})
}

// hasClosed reports whether the worker of a session, if there is one, closed the connection of a hold at about the time of its leave, which
// is now if none was reported before, and has answered none since.
func (s *session) hasClosed(now time.Duration) bool {
	return s != nil && (s.leave != nil && s.leave.closed || s.closedAt > 0 && now-s.closedAt < leaveClosedBefore)
}

// forgetClosed records that the worker of a session answers.
func (s *session) forgetClosed() {
	s.closedAt = 0
	if s.leave != nil {
		s.leave.closed = false
	}
}

// watchLeave begins to watch a worker for which a leave is recorded.
func (l *Leader) watchLeave(id string) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	l.cfg.State.View(func(state *submission.State) {
		if w := state.Workers()[id]; w != nil && w.Incarnation() == s.incarnation && w.Leave != nil {
			now := l.cfg.Clock()
			closed := s.hasClosed(now)
			s.leave = newLeaveWatch(w, now)
			s.leave.closed = closed
			l.log.Info().Str("event", "leave-reported").Str("worker", id).Bool("certain", s.leave.certain).Bool("closed", closed).Msg("")
		}
	})
}

// newLeaveWatch returns a watch that begins now, or nil if no leave of the worker is recorded.
func newLeaveWatch(w *submission.Worker, now time.Duration) *leaveWatch {
	if w.Leave == nil {
		return nil
	}
	return &leaveWatch{since: now, probedAt: now, certain: w.Leave.GetCertain(), closed: w.Leave.GetClosed()}
}

// mayLeave reports whether the worker of a session has reported its leave and has not shown since that it stays for now.
func (s *session) mayLeave() bool { return s != nil && s.leave != nil && !s.leave.stays }

// probeLeaving asks a worker that may leave whether it still runs, if it has not just been asked. One that has become silent is left to
// the holds of its session.
func (l *Leader) probeLeaving(s *session, now time.Duration) {
	if s.mayLeave() && !s.leave.probing && s.leave.misses < leaveMisses && now-s.leave.probedAt >= leaveProbeInterval {
		l.probe(s)
	}
}

func (l *Leader) probe(s *session) {
	now := l.cfg.Clock()
	watch, ctx, target := s.leave, l.ctx, s.target()
	watch.probing, watch.probedAt = true, now
	l.pool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, leaveProbeTimeout)
		defer cancel()
		answer, err := l.cfg.Caller.Hold(callCtx, HoldCall{Target: target})
		l.post(func() {
			watch.probing = false
			switch {
			case l.ctx != ctx || l.sessions[s.incarnation.ID] != s || s.leave != watch:
			case err == nil && s.answeredByOther(answer):
				l.onSuccessorAnswer(s, answer)
			default:
				l.onLeaveEvidence(s, now, err)
			}
		})
	})
}

// onLeaveEvidence handles the result of a call to a worker that has reported its leave. It returns true if the incarnation has ended.
func (l *Leader) onLeaveEvidence(s *session, sent time.Duration, err error) bool {
	if !errors.Is(err, ErrNoAnswer) {
		s.forgetClosed()
	}
	switch s.leave.judge(sent, err) {
	case leaveEnded:
		l.log.Info().Str("event", "worker-left").Str("worker", s.incarnation.ID).Dur("after_ms", l.cfg.Clock()-s.leave.since).AnErr("evidence", err).Msg("")
		l.recordReplacement(s)
		l.commitWorkerGone(&pb.WorkerGone{Id: s.incarnation.ID, BornUnixMs: s.incarnation.BornUnixMs, Saved: s.savedProgress()})
		l.closeSession(s)
		l.addEnded(s.incarnation.ID, l.cfg.Clock())
		return true
	case leaveReplaced:
		l.recordReplacement(s)
		l.onWorkerReplaced(s, "leave")
		return true
	}
	if s.leave.misses == 1 && !s.leave.probing {
		l.probe(s)
	}
	return false
}

// recordReplacement records the attempts whose start a later incarnation of the worker may still carry out.
func (l *Leader) recordReplacement(s *session) {
	l.cfg.State.View(func(state *submission.State) { l.recordUncertainStarts(state, s.incarnation) })
}
