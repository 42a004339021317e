package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// A worker that has been silent for so long that its session was closed is called again from time to time: it may be reached again while
// its reports do not arrive.

const (
	// formerInterval is the interval between two calls to a worker without a session.
	formerInterval = 5 * time.Second
	// formerTimeout is how long such a worker is called.
	formerTimeout = 10 * time.Minute
	// maxFormerCalls bounds the number of such calls at a time.
	maxFormerCalls = 32
)

// formerWorker is a worker whose session was closed because the worker was silent.
type formerWorker struct {
	id                 string
	closedAt, calledAt time.Duration
}

func (l *Leader) addFormer(id string, now time.Duration) {
	l.former[id] = &formerWorker{id: id, closedAt: now, calledAt: now}
}

// callFormerWorkers calls the workers without a session whose turn has come, those first that were called longest ago.
func (l *Leader) callFormerWorkers(now time.Duration) {
	maps.DeleteFunc(l.former, func(id string, f *formerWorker) bool { return l.sessions[id] != nil || now-f.closedAt > formerTimeout })
	due := slices.DeleteFunc(slices.Collect(maps.Values(l.former)), func(f *formerWorker) bool { return now-f.calledAt < formerInterval })
	slices.SortFunc(due, func(a, b *formerWorker) int {
		return cmp.Or(cmp.Compare(a.calledAt, b.calledAt), cmp.Compare(a.id, b.id))
	})
	for _, f := range due[:min(len(due), maxFormerCalls)] {
		f.calledAt = now
		l.callFormer(f.id)
	}
}

// callFormer opens a session with a worker, or with its next incarnation, if it answers.
func (l *Leader) callFormer(id string) {
	known, ctx := l.knownWorker(id), l.ctx
	if known == nil || known.GetGone() {
		delete(l.former, id)
		return
	}
	target := Target{Incarnation: submission.Incarnation{ID: id, BornUnixMs: known.GetBornUnixMs()}, Address: known.GetAddress(),
		FailureDomain: known.GetFailureDomain(), Fence: l.fenceFor(id)}
	l.pool.Submit(func() {
		answer, ok := l.askRepeatedly(ctx, target)
		l.post(func() {
			switch {
			case !ok || l.ctx != ctx || l.sessions[id] != nil:
			case answer.BornUnixMs == known.GetBornUnixMs():
				l.syncSession(id)
			default:
				l.registerSuccessorOf(known, answer.BornUnixMs)
			}
		})
	})
}
