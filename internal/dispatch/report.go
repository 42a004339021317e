package dispatch

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Report handles a report of a worker about itself. It returns once what the report changes is committed. A report of a
// life that is over, or one that was overtaken by a later report, is acknowledged and changes nothing.
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
	life := submission.Incarnation{ID: r.GetWorker().GetId(), BornUnixMs: r.GetWorker().GetBornUnixMs()}
	known := l.known(life.ID)
	if r.GetLeaving() {
		l.onLeaving(life, known, done)
		return
	}
	if known != nil && (life.BornUnixMs < known.GetBornUnixMs() || life.BornUnixMs == known.GetBornUnixMs() && known.GetGone()) {
		l.log.Info().Str("event", "late-report").Str("worker", life.ID).Int64("born", life.BornUnixMs).Int64("known", known.GetBornUnixMs()).Msg("")
		done(nil)
		return
	}
	s := l.sessions[life.ID]
	if s != nil && s.life == life {
		if r.GetSequence() <= s.sequence {
			done(nil)
			return
		}
		s.sequence, s.reportedAt = r.GetSequence(), l.cfg.Clock()
		if r.GetClockMs() > 0 {
			s.noteClock(r.GetClockMs(), l.cfg.Clock())
		}
	}
	if known != nil && !Changes(known, r.GetWorker()) {
		if s == nil {
			l.syncSession(life.ID)
		}
		done(nil)
		return
	}
	l.register(r.GetWorker(), done)
}

// known returns the newest known life of a worker, or nil.
func (l *Leader) known(id string) *pb.PoolWorker {
	var found *pb.PoolWorker
	l.cfg.State.View(func(state *submission.State) {
		if w := state.Workers()[id]; w != nil {
			found = proto.CloneOf(w.PoolWorker)
		}
	})
	return found
}

// Changes reports whether a report says something new about a worker.
func Changes(known, now *pb.PoolWorker) bool {
	stated := proto.CloneOf(now)
	stated.Draining = stated.GetDraining() || known.GetDraining() && known.GetBornUnixMs() == now.GetBornUnixMs()
	return !proto.Equal(known, stated)
}

// register commits a life of a worker and opens a session with it.
func (l *Leader) register(w *pb.PoolWorker, done func(error)) {
	change := &pb.SubmissionChange{Change: &pb.SubmissionChange_Worker{Worker: w}}
	l.change(change, func(_ submission.Result, err error) {
		l.logFailed("worker", w.GetId(), err)
		if err == nil {
			l.log.Info().Str("event", "worker-registered").Str("worker", w.GetId()).Int64("born", w.GetBornUnixMs()).Bool("draining", w.GetDraining()).
				Str("pool", w.GetPool()).Str("failure_domain", w.GetFailureDomain()).Msg("")
			l.syncSession(w.GetId())
		}
		done(err)
	})
}

// syncSession opens or closes the session with a worker so that it matches the state.
func (l *Leader) syncSession(id string) {
	l.cfg.State.View(func(state *submission.State) {
		if w := state.Workers()[id]; w != nil && !w.GetGone() {
			l.openSession(w)
		}
	})
	l.closeStale(id)
}

// closeStale closes the session with a worker if the life that it is with is over.
func (l *Leader) closeStale(id string) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	stale := false
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[id]
		stale = w == nil || w.GetGone() || w.Incarnation() != s.life
	})
	if stale {
		l.closeSession(s)
	}
}

func (l *Leader) onLeaving(life submission.Incarnation, known *pb.PoolWorker, done func(error)) {
	if known == nil || known.GetGone() || life.BornUnixMs != 0 && life.BornUnixMs != known.GetBornUnixMs() {
		done(nil)
		return
	}
	life.BornUnixMs = known.GetBornUnixMs()
	change := &pb.SubmissionChange{Change: &pb.SubmissionChange_Gone{Gone: &pb.WorkerGone{Id: life.ID, BornUnixMs: life.BornUnixMs}}}
	l.change(change, func(_ submission.Result, err error) {
		l.logFailed("worker-leaving", life.ID, err)
		if s := l.sessions[life.ID]; err == nil && s != nil && s.life == life {
			l.log.Info().Str("event", "worker-left").Str("worker", life.ID).Msg("")
			l.closeSession(s)
		}
		done(err)
	})
}
