package dispatch

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Report handles a worker's report about itself and returns once the resulting change is committed. A report of an
// incarnation that is gone, or one that arrives after a later report, also to an earlier leader, is acknowledged without effect.
func (l *Leader) Report(ctx context.Context, r *pb.PoolReport) error {
	done := make(chan error, 1)
	l.post(func() { l.onReport(r, func(err error) { done <- err }) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("report of worker %s: %w", r.GetWorker().GetId(), ctx.Err())
	case <-l.done:
		return errResigned
	}
}

func (l *Leader) onReport(r *pb.PoolReport, done func(error)) {
	if !l.leads() {
		done(errResigned)
		return
	}
	incarnation := submission.Incarnation{ID: r.GetWorker().GetId(), BornUnixMs: r.GetWorker().GetBornUnixMs()}
	known := l.knownWorker(incarnation.ID)
	if r.GetLeaving() {
		l.onLeaving(incarnation, known, done)
		return
	}
	if known != nil && l.mayBeRefuted(known, r.GetWorker()) {
		l.verifyReport(r, known, done)
		return
	}
	if known != nil && isLate(known, r) {
		l.log.Info().Str("event", "late-report").Str("worker", incarnation.ID).Int64("born", incarnation.BornUnixMs).Int64("known", known.GetBornUnixMs()).Msg("")
		done(nil)
		return
	}
	isKnown := known != nil && known.GetBornUnixMs() == incarnation.BornUnixMs && !isInferred(known)
	switch {
	case isKnown && known.GetPool() != r.GetWorker().GetPool():
		l.ignoreReport(r, "pool-changed", done)
		return
	case !isKnown && !l.namesPool(r.GetWorker()):
		l.ignoreReport(r, "unknown-pool", done)
		return
	}
	if isKnown && known.GetAddress() == r.GetWorker().GetAddress() {
		l.acceptReport(r, known, done)
		return
	}
	if l.isClaim(r.GetWorker(), known) {
		l.verifyReport(r, known, done)
		return
	}
	l.acceptReport(r, known, done)
}

// verifyReport accepts a report once the incarnation in it has answered. known is the present record of the worker, or nil.
func (l *Leader) verifyReport(r *pb.PoolReport, known *pb.PoolWorker, done func(error)) {
	l.verify(r.GetWorker(), func(verdict claimVerdict, err error) {
		switch {
		case err != nil:
			done(err)
		case verdict == claimTrue:
			l.acceptAnswered(r, known, done)
		default:
			if verdict == claimOpen {
				l.pursueClaim(r, known)
			}
			l.ignoreReport(r, "not-verified", done)
		}
	})
}

// ignoreReport acknowledges a report without effect.
func (l *Leader) ignoreReport(r *pb.PoolReport, reason string, done func(error)) {
	unbelievedReports(reason).Inc()
	if now := l.cfg.Clock(); now-l.ignoredLogged >= ignoredLogInterval {
		l.ignoredLogged = now
		l.log.Warn().Str("event", "report-ignored").Str("reason", reason).Str("worker", r.GetWorker().GetId()).Int64("born", r.GetWorker().GetBornUnixMs()).
			Str("address", r.GetWorker().GetAddress()).Str("pool", r.GetWorker().GetPool()).Msg("a report that cannot be believed has no effect")
	}
	done(nil)
}

// ignoredLogInterval is the minimum time between two log lines about ignored reports.
const ignoredLogInterval = 10 * time.Second

// acceptReport records a report that is believed. known is the present record of the worker, or nil.
func (l *Leader) acceptReport(r *pb.PoolReport, known *pb.PoolWorker, done func(error)) {
	incarnation := submission.Incarnation{ID: r.GetWorker().GetId(), BornUnixMs: r.GetWorker().GetBornUnixMs()}
	s := l.sessions[incarnation.ID]
	if s != nil && s.incarnation == incarnation {
		if r.GetSequence() < s.sequence {
			done(nil)
			return
		}
		l.recordReport(s, r)
	}
	if known != nil && !Changes(known, r.GetWorker()) {
		if s == nil {
			l.syncSession(incarnation.ID)
			l.recordReport(l.sessions[incarnation.ID], r)
		}
		done(nil)
		return
	}
	w := proto.CloneOf(r.GetWorker())
	w.Sequence = r.GetSequence()
	l.register(w, func(err error) {
		l.recordReport(l.sessions[incarnation.ID], r)
		done(err)
	})
}

// recordReport notes in a session what the leader keeps of a report in memory, unless a later one has come or the session is with
// another incarnation.
func (l *Leader) recordReport(s *session, r *pb.PoolReport) {
	if s == nil || s.incarnation.BornUnixMs != r.GetWorker().GetBornUnixMs() || r.GetSequence() < s.sequence {
		return
	}
	s.sequence, s.reportedAt, s.reportedCapacity = r.GetSequence(), l.cfg.Clock(), r.GetWorker().GetCapacity()
	if remaining := time.Duration(r.GetRemainingMs()) * time.Millisecond; r.GetWorker().GetDraining() && remaining > 0 {
		s.drain.leavesAt = s.reportedAt + remaining
	}
}

// isLate reports whether a report is of an incarnation that has been replaced or is gone, or was sent before the report that
// the known record was taken from.
func isLate(known *pb.PoolWorker, r *pb.PoolReport) bool {
	born := r.GetWorker().GetBornUnixMs()
	return born < known.GetBornUnixMs() || born == known.GetBornUnixMs() && (known.GetGone() || r.GetSequence() < known.GetSequence())
}

// knownWorker returns a copy of the record of a worker's latest incarnation, or nil.
func (l *Leader) knownWorker(id string) *pb.PoolWorker {
	var found *pb.PoolWorker
	l.cfg.State.View(func(state *submission.State) {
		if w := state.Workers()[id]; w != nil {
			found = proto.CloneOf(w.PoolWorker)
		}
	})
	return found
}

// Changes reports whether the record of a worker in a report differs from the known one. A drain that is known already for
// the same incarnation is kept, even if the report does not mention it.
func Changes(known, now *pb.PoolWorker) bool {
	stated := proto.CloneOf(now)
	stated.Sequence = known.GetSequence()
	stated.Draining = stated.GetDraining() || known.GetDraining() && known.GetBornUnixMs() == now.GetBornUnixMs()
	return !proto.Equal(known, stated)
}

// register commits the record of a worker incarnation and opens a session with the worker.
func (l *Leader) register(w *pb.PoolWorker, done func(error)) {
	for _, s := range l.sessions {
		if replaces(w, s) {
			if s.incarnation.ID == w.GetId() {
				l.recordReplacement(s) // the end may be committed before the successor
			}
			l.commitWorkerCrashed(s, w.GetId())
		}
	}
	change := &pb.SubmissionChange{Change: &pb.SubmissionChange_Worker{Worker: w}}
	l.queueChange(change, func(_ submission.Result, err error) {
		l.logCommitFailure("worker", w.GetId(), err)
		if err == nil {
			l.log.Info().Str("event", "worker-registered").Str("worker", w.GetId()).Int64("born", w.GetBornUnixMs()).Bool("draining", w.GetDraining()).
				Str("pool", w.GetPool()).Str("failure_domain", w.GetFailureDomain()).Msg("")
			l.syncSession(w.GetId())
		}
		done(err)
	})
}

// replaces reports whether a worker that registers shows that the incarnation of a session has ended: it has the same id or the
// same address and was started later.
func replaces(w *pb.PoolWorker, s *session) bool {
	if s.incarnation.ID == w.GetId() {
		return s.incarnation.BornUnixMs < w.GetBornUnixMs()
	}
	return s.address == w.GetAddress() && s.incarnation.BornUnixMs <= w.GetBornUnixMs()
}

// syncSession opens or closes the session with a worker to match the replicated state.
func (l *Leader) syncSession(id string) {
	l.cfg.State.View(func(state *submission.State) {
		if w := state.Workers()[id]; w != nil && !w.GetGone() {
			l.openSession(state, w)
		}
	})
	l.closeStale(id)
}

// closeStale closes the session with a worker if its incarnation is gone or has been replaced.
func (l *Leader) closeStale(id string) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	stale := false
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[id]
		stale = w == nil || w.GetGone() || w.Incarnation() != s.incarnation
	})
	if stale {
		l.closeSession(s)
	}
}
