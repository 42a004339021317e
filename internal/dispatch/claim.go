package dispatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// A report may come from another writer. One that says that a known worker has ended or moved, since its id or its address now belongs to
// another incarnation, would end all attempts on that worker and turn its own later reports away. It is believed only if the incarnation in
// the report answers at its address. That the known worker has ended does not make it true.

const (
	// claimProbeTimeout bounds each call that verifies a claim. Two calls leave time to acknowledge the report within a second.
	claimProbeTimeout = 250 * time.Millisecond
	// claimAttempts is the number of further calls, of holdSlack at most, to a claimed incarnation that may only be slow.
	claimAttempts = 5
	// maxOpenClaims bounds the number of claims that are verified by further calls at a time.
	maxOpenClaims = 32
)

// claim identifies a claimed incarnation and its address.
type claim struct {
	submission.Incarnation
	address string
}

// isClaim reports whether a record of a worker has to be verified, because it contradicts sessions or the replicated state. known is the
// present record of the worker, or nil.
func (l *Leader) isClaim(w, known *pb.PoolWorker) bool {
	return known != nil && (known.GetBornUnixMs() != w.GetBornUnixMs() || known.GetAddress() != w.GetAddress()) ||
		len(l.contradicted(w)) > 0 || len(l.othersAt(w)) > 0
}

// othersAt returns the other workers that are recorded at the address of a worker and not as gone.
func (l *Leader) othersAt(w *pb.PoolWorker) []submission.Incarnation {
	var list []submission.Incarnation
	l.cfg.State.View(func(state *submission.State) {
		for id, other := range state.Workers() {
			if id != w.GetId() && !other.GetGone() && other.GetAddress() == w.GetAddress() {
				list = append(list, other.Incarnation())
			}
		}
	})
	return list
}

// unbelievedReports counts the reports that were acknowledged without effect, by reason.
func unbelievedReports(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`lentilyard_unbelieved_reports_total{reason="` + reason + `"}`)
}

// namesPool reports whether the configuration names the pool of a worker. Before the first configuration every pool counts as named.
func (l *Leader) namesPool(w *pb.PoolWorker) bool {
	named := true
	l.cfg.State.View(func(state *submission.State) { named = state.Config() == nil || state.Pool(w.GetPool()) != nil })
	return named
}

// contradicted returns the sessions with workers of which a record says that they have ended, or have another address. A VM runs one
// worker at a time.
func (l *Leader) contradicted(w *pb.PoolWorker) []*session {
	var list []*session
	for _, s := range l.sessions {
		sameID, sameAddress, sameVM := s.incarnation.ID == w.GetId(), s.address == w.GetAddress(), w.GetVm() != "" && s.vm == w.GetVm()
		sameIncarnation := sameID && s.incarnation.BornUnixMs == w.GetBornUnixMs()
		if (sameID || sameAddress || sameVM) && !(sameIncarnation && sameAddress) {
			list = append(list, s)
		}
	}
	return list
}

// claimVerdict is what is known about a claim.
type claimVerdict int

const (
	claimOpen    claimVerdict = iota // nobody has answered
	claimTrue                        // the claimed incarnation answers
	claimRefuted                     // a worker answers that it would replace
)

// verify finds out whether a record is true that contradicts what is known. It calls then on the event loop, with errResigned if the term
// has ended.
func (l *Leader) verify(w *pb.PoolWorker, then func(claimVerdict, error)) {
	sessions := l.contradicted(w)
	ctx, began := l.ctx, l.cfg.Clock()
	claimed := l.claimedTarget(w)
	targets := make([]Target, len(sessions))
	for i, s := range sessions {
		targets[i] = s.target()
	}
	l.pool.Submit(func() {
		verdict := l.judgeClaim(ctx, claimed, targets)
		l.post(func() {
			if l.ctx != ctx {
				then(claimOpen, errResigned)
				return
			}
			l.log.Info().Str("event", "claim-checked").Str("worker", w.GetId()).Int64("born", w.GetBornUnixMs()).Int("verdict", int(verdict)).
				Dur("after_ms", l.cfg.Clock()-began).Msg("")
			if verdict == claimOpen {
				l.expectSuccessor(claimed.Incarnation)
			}
			then(verdict, nil)
		})
	})
}

// claimedTarget returns the target of calls that ask the incarnation in a report.
func (l *Leader) claimedTarget(w *pb.PoolWorker) Target {
	return Target{Incarnation: submission.Incarnation{ID: w.GetId(), BornUnixMs: w.GetBornUnixMs()}, Address: w.GetAddress(),
		FailureDomain: w.GetFailureDomain(), Fence: l.fenceFor(w.GetId())}
}

// judgeClaim asks the claimed incarnation, and if it does not answer those that it would replace. That connections to it are refused does not
// refute the claim: a partition may refuse them, and let its reports pass.
func (l *Leader) judgeClaim(ctx context.Context, claimed Target, others []Target) claimVerdict {
	if answer, err := l.probeTarget(ctx, claimed); err == nil && answer.BornUnixMs == claimed.Incarnation.BornUnixMs {
		return claimTrue
	}
	for _, t := range others {
		if answer, err := l.probeTarget(ctx, t); err == nil && answer.BornUnixMs == t.Incarnation.BornUnixMs {
			return claimRefuted
		}
	}
	return claimOpen
}

// pursueClaim goes on to ask the incarnation in a report that nobody has confirmed or refuted, and accepts the report if it answers. known is
// the present record of the worker, or nil.
func (l *Leader) pursueClaim(r *pb.PoolReport, known *pb.PoolWorker) {
	ctx, target := l.ctx, l.claimedTarget(r.GetWorker())
	c := claim{target.Incarnation, target.Address}
	if l.openClaims[c] || len(l.openClaims) >= maxOpenClaims {
		return
	}
	l.openClaims[c] = true
	l.pool.Submit(func() {
		answers := l.answersSlowly(ctx, target)
		l.post(func() {
			if l.ctx != ctx {
				return
			}
			delete(l.openClaims, c)
			if answers {
				l.acceptAnswered(r, known, func(error) {})
			}
		})
	})
}

// answersSlowly reports whether a worker incarnation answers one of claimAttempts calls.
func (l *Leader) answersSlowly(ctx context.Context, t Target) bool {
	for range claimAttempts {
		if answer, err := l.probeWithin(ctx, t, holdSlack); err == nil {
			return answer.BornUnixMs == t.Incarnation.BornUnixMs
		}
	}
	return false
}

func (l *Leader) probeTarget(ctx context.Context, t Target) (HoldAnswer, error) {
	return l.probeWithin(ctx, t, claimProbeTimeout)
}

// probeWithin makes a hold that grants nothing and acknowledges nothing.
func (l *Leader) probeWithin(ctx context.Context, t Target, timeout time.Duration) (HoldAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.cfg.Caller.Hold(ctx, HoldCall{Target: t})
}

// expectSuccessor notes that a later incarnation of a worker may exist, though neither it nor the known one answers. It may carry out
// starts that were meant for the known one.
func (l *Leader) expectSuccessor(claimed submission.Incarnation) {
	s := l.sessions[claimed.ID]
	if s == nil || s.incarnation.BornUnixMs >= claimed.BornUnixMs {
		return
	}
	l.recordReplacement(s)
	for _, u := range l.uncertainStarts {
		if u.previous == s.incarnation {
			u.successorUnseen = true
		}
	}
}
