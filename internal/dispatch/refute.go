package dispatch

import (
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// The replicated state may hold a record that no worker has sent, with the id or the address of one, for instance if another writer reported
// a later incarnation before the worker reported itself. The answer of an incarnation at its address refutes a record that it has ended.

// turnsAway reports whether a known record turns the reports of a worker away, since it says that the worker has ended.
func turnsAway(known, w *pb.PoolWorker) bool {
	born := known.GetBornUnixMs()
	return w.GetBornUnixMs() < born || w.GetBornUnixMs() == born && known.GetGone()
}

// mayBeRefuted reports whether a known record that turns the reports of a worker away is false if the worker answers: no answer of a later
// incarnation has shown in this term that it is true.
func (l *Leader) mayBeRefuted(known, w *pb.PoolWorker) bool {
	s := l.sessions[known.GetId()]
	confirmed := s != nil && s.incarnation.BornUnixMs == known.GetBornUnixMs() && s.leaseSnapshot().confirmed
	return turnsAway(known, w) && !confirmed
}

// acceptAnswered accepts the report of an incarnation that has answered at its address. asked is the record that was held when it was asked,
// or nil. The answer refutes that record if it says that the incarnation has ended, but none that was made since.
func (l *Leader) acceptAnswered(r *pb.PoolReport, asked *pb.PoolWorker, done func(error)) {
	w, now := r.GetWorker(), l.knownWorker(r.GetWorker().GetId())
	refutes := now != nil && turnsAway(now, w)
	if refutes && (!l.mayBeRefuted(now, w) || asked.GetBornUnixMs() != now.GetBornUnixMs() || asked.GetGone() != now.GetGone()) {
		done(nil)
		return
	}
	for _, other := range l.othersAt(w) {
		if other.BornUnixMs > w.GetBornUnixMs() {
			l.endRefuted(other)
		}
	}
	if refutes {
		l.correct(r, now, done)
		return
	}
	l.acceptReport(r, now, done)
}

// endRefuted commits that a worker is gone because another one answers at its address.
func (l *Leader) endRefuted(other submission.Incarnation) {
	if s := l.sessions[other.ID]; s != nil && s.incarnation == other {
		l.recordReplacement(s)
		l.onWorkerReplaced(s, "answer")
		return
	}
	l.commitWorkerGone(&pb.WorkerGone{Id: other.ID, BornUnixMs: other.BornUnixMs})
}

// correct commits the record of a worker that has answered in place of a false one.
func (l *Leader) correct(r *pb.PoolReport, refuted *pb.PoolWorker, done func(error)) {
	w := proto.CloneOf(r.GetWorker())
	w.Sequence = r.GetSequence()
	l.log.Warn().Str("event", "record-refuted").Str("worker", w.GetId()).Int64("born", w.GetBornUnixMs()).Int64("refuted", refuted.GetBornUnixMs()).
		Str("address", refuted.GetAddress()).Msg("a worker answers that was recorded as ended; its record is corrected")
	change := &pb.WorkerCorrection{Worker: w, RefutedBornUnixMs: refuted.GetBornUnixMs()}
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_Correction{Correction: change}}, func(_ submission.Result, err error) {
		l.logCommitFailure("worker-correction", w.GetId(), err)
		l.syncSession(w.GetId())
		l.recordReport(l.sessions[w.GetId()], r)
		done(err)
	})
}
