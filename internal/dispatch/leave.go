package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// The report with which a worker leaves names the worker by its id. A partition may hold it up until a later incarnation runs under
// that id, so it proves nothing about the incarnation that is known. A worker that gets no confirmation works on for a while, and may be cut off
// meanwhile: no answer, a refused connection or one that ends may all be the work of a partition, at all VMs at once. So the leader records the
// report and places no tasks there, but the attempts on the worker are given up only at the end of its lease, or once another incarnation
// answers at its address.

// leaveGrace is how long after its report a worker may still answer before it is taken to stay for now.
const leaveGrace = time.Second

// leaveWatch is what a leader knows about a worker that has reported its leave. The event loop owns it.
type leaveWatch struct {
	since time.Duration // when the leader learnt of the report
	// certain is true if no other incarnation can have sent the report.
	certain bool
	askedAt time.Duration // when the worker was asked last whether it stays
	// stays is true once the worker has answered a hold sent leaveGrace after the report. It gets new tasks again.
	stays bool
}

// answered records that the worker has answered a hold that was sent at the given time. w may be nil.
func (w *leaveWatch) answered(sent time.Duration) {
	if w != nil {
		w.stays = w.stays || sent-w.since >= leaveGrace
	}
}

// onLeaving commits that a worker has reported its leave. Only then is the report confirmed: the worker ends once it has the confirmation.
func (l *Leader) onLeaving(incarnation submission.Incarnation, known *pb.PoolWorker, done func(error)) {
	if known == nil || known.GetGone() || incarnation.BornUnixMs != 0 && incarnation.BornUnixMs != known.GetBornUnixMs() {
		done(nil)
		return
	}
	leave := &pb.WorkerLeave{Id: incarnation.ID, BornUnixMs: known.GetBornUnixMs(), Certain: incarnation.BornUnixMs != 0}
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_Leave{Leave: leave}}, func(_ submission.Result, err error) {
		l.logCommitFailure("worker-leaving", leave.GetId(), err)
		if err == nil {
			l.syncSession(leave.GetId())
			l.watchLeave(leave.GetId())
		}
		done(err)
	})
}

// watchLeave begins to watch a worker for which a leave is recorded.
func (l *Leader) watchLeave(id string) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	l.cfg.State.View(func(state *submission.State) {
		if w := state.Workers()[id]; w != nil && w.Incarnation() == s.incarnation && w.Leave != nil {
			s.leave = newLeaveWatch(w, l.cfg.Clock())
			l.log.Info().Str("event", "leave-reported").Str("worker", id).Bool("certain", s.leave.certain).Int("tasks", len(w.Attempts)).Msg("")
		}
	})
}

// newLeaveWatch returns a watch that begins now, or nil if no leave of the worker is recorded.
func newLeaveWatch(w *submission.Worker, now time.Duration) *leaveWatch {
	if w.Leave == nil {
		return nil
	}
	return &leaveWatch{since: now, certain: w.Leave.GetCertain(), askedAt: now}
}

// askLeaving asks a worker that answers though it has reported its leave whether it stays. The hold in progress may take longer.
func (l *Leader) askLeaving(s *session, now time.Duration) {
	if s.mayLeave() && !s.unanswered && now-s.leave.askedAt >= leaveGrace {
		s.leave.askedAt = now
		l.pollNow(s)
	}
}

// mayLeave reports whether the worker of a session has reported its leave and has not shown since that it stays for now.
func (s *session) mayLeave() bool { return s != nil && s.leave != nil && !s.leave.stays }

// endLeave commits that a worker is gone that has certainly reported its leave, once its lease is over and no attempt is placed there any more.
func (l *Leader) endLeave(s *session, now time.Duration) {
	if !s.mayLeave() || !s.leave.certain || !s.leaseSnapshot().expired || s.lossesPending > 0 {
		return
	}
	empty := false
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[s.incarnation.ID]
		empty = w != nil && w.Incarnation() == s.incarnation && len(w.Attempts) == 0
	})
	if !empty {
		return
	}
	l.log.Info().Str("event", "worker-left").Str("worker", s.incarnation.ID).Dur("after_ms", now-s.leave.since).Msg("")
	l.recordReplacement(s)
	l.commitWorkerGone(&pb.WorkerGone{Id: s.incarnation.ID, BornUnixMs: s.incarnation.BornUnixMs})
	l.closeSession(s)
	l.addEnded(s.incarnation.ID, now)
}

// recordReplacement records the attempts whose start a later incarnation of the worker may still carry out.
func (l *Leader) recordReplacement(s *session) {
	l.cfg.State.View(func(state *submission.State) { l.recordUncertainStarts(state, s.incarnation) })
}
