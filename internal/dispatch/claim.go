package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// A report may come from another writer. One that says that a worker with a session has ended, since its id or its address now belongs to
// another incarnation, would end all attempts on that worker. It is believed only if the incarnation in the report answers at its
// address, or the worker is shown to have ended.

// claimProbeTimeout bounds each call that verifies a claim. Two calls leave time to acknowledge the report within a second.
const claimProbeTimeout = 250 * time.Millisecond

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
	claimOpen    claimVerdict = iota // neither the claimed incarnation nor all the others have answered
	claimTrue                        // the claimed incarnation answers, or all the others have ended
	claimRefuted                     // one of the others answers
)

// verify finds out whether a record that contradicts the given sessions is true. It calls then on the event loop, with errResigned if the
// term has ended.
func (l *Leader) verify(w *pb.PoolWorker, sessions []*session, then func(claimVerdict, error)) {
	ctx, began := l.ctx, l.cfg.Clock()
	claimed := Target{Incarnation: submission.Incarnation{ID: w.GetId(), BornUnixMs: w.GetBornUnixMs()}, Address: w.GetAddress(),
		FailureDomain: w.GetFailureDomain(), Fence: l.fenceFor(w.GetId())}
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
				l.expectSuccessor(w.GetId())
			}
			then(verdict, nil)
		})
	})
}

// judgeClaim asks the claimed incarnation, and if it does not answer those that it would replace.
func (l *Leader) judgeClaim(ctx context.Context, claimed Target, others []Target) claimVerdict {
	if answer, err := l.probeTarget(ctx, claimed); err == nil && answer.BornUnixMs == claimed.Incarnation.BornUnixMs {
		return claimTrue
	}
	ended := 0
	for _, t := range others {
		answer, err := l.probeTarget(ctx, t)
		switch {
		case err == nil && answer.BornUnixMs == t.Incarnation.BornUnixMs:
			return claimRefuted
		case err == nil, errors.Is(err, ErrNotListening), errors.Is(err, ErrOtherIncarnation):
			ended++
		}
	}
	if ended == len(others) {
		return claimTrue
	}
	return claimOpen
}

func (l *Leader) probeTarget(ctx context.Context, t Target) (HoldAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimProbeTimeout)
	defer cancel()
	return l.cfg.Caller.Hold(ctx, HoldCall{Target: t})
}

// expectSuccessor notes that a later incarnation of a worker may exist, though neither it nor the known one answers. It may carry out
// starts that were meant for the known one.
func (l *Leader) expectSuccessor(id string) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	l.recordReplacement(s)
	for _, u := range l.uncertainStarts {
		if u.previous == s.incarnation {
			u.successorUnseen = true
		}
	}
}
