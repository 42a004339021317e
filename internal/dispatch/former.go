package dispatch

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// A worker that has been silent for so long that its session was closed is called again from time to time: it may be reached again while
// its reports do not arrive. One that has ended is called for a while, too: it may have restarted under its id.

const (
	// formerInterval is the interval between two calls to a silent worker without a session.
	formerInterval = 5 * time.Second
	// formerTimeout is how long such a worker is called.
	formerTimeout = 10 * time.Minute
	// endedPause is the time until the first call to a worker that has ended. It doubles with each call.
	endedPause = time.Second
	// endedTimeout is how long a worker that has ended is called.
	endedTimeout = time.Minute
	// maxFormerCalls bounds the number of such workers that are called at a time.
	maxFormerCalls = 32
)

// formerWorker is a worker without a session, which was silent or, if ended is true, has ended.
type formerWorker struct {
	id                 string
	ended              bool
	closedAt, calledAt time.Duration
	pause              time.Duration // from one call to the next
	calling            bool
}

// addFormer adds a worker whose session was closed because it was silent.
func (l *Leader) addFormer(id string, now time.Duration) {
	l.former[id] = &formerWorker{id: id, closedAt: now, calledAt: now, pause: formerInterval}
}

// addEnded adds a worker that has ended.
func (l *Leader) addEnded(id string, now time.Duration) {
	l.former[id] = &formerWorker{id: id, ended: true, closedAt: now, calledAt: now, pause: endedPause}
}

// takeOverEnded adds the workers that have ended and whose addresses no other one is known to have. The previous leader may not have found
// those that have restarted.
func (l *Leader) takeOverEnded(state *submission.State) {
	occupied := map[string]bool{}
	for _, w := range state.Workers() {
		occupied[w.GetAddress()] = occupied[w.GetAddress()] || !w.GetGone()
	}
	for id, w := range state.Workers() {
		if w.GetGone() && !occupied[w.GetAddress()] {
			l.addEnded(id, l.termStart)
		}
	}
}

// outdated reports whether a worker has been called for long enough.
func (f *formerWorker) outdated(now time.Duration) bool {
	if f.ended {
		return now-f.closedAt > endedTimeout
	}
	return now-f.closedAt > formerTimeout
}

// call records that a worker is called now.
func (f *formerWorker) call(now time.Duration) {
	if f.calledAt = now; f.ended {
		f.pause *= 2
	}
}

// callFormerWorkers calls the workers without a session whose turn has come, those first that were called longest ago.
func (l *Leader) callFormerWorkers(now time.Duration) {
	maps.DeleteFunc(l.former, func(id string, f *formerWorker) bool { return l.sessions[id] != nil || f.outdated(now) })
	due := slices.DeleteFunc(slices.Collect(maps.Values(l.former)), func(f *formerWorker) bool { return f.calling || now-f.calledAt < f.pause })
	slices.SortFunc(due, func(a, b *formerWorker) int {
		return cmp.Or(cmp.Compare(a.calledAt, b.calledAt), cmp.Compare(a.id, b.id))
	})
	for _, f := range due[:min(len(due), maxFormerCalls-l.formerCalls)] {
		f.call(now)
		l.callFormer(f)
	}
}

// callFormer opens a session with a worker, or with its next incarnation, if it answers. If another worker does, it is searched for.
func (l *Leader) callFormer(f *formerWorker) {
	id, ctx := f.id, l.ctx
	known := l.knownWorker(id)
	if known == nil || known.GetGone() && !f.ended {
		delete(l.former, id)
		return
	}
	target := Target{Incarnation: submission.Incarnation{ID: id, BornUnixMs: known.GetBornUnixMs()}, Address: known.GetAddress(),
		FailureDomain: known.GetFailureDomain(), Fence: l.fenceFor(id)}
	f.calling = true
	l.formerCalls++
	l.pool.Submit(func() {
		answer, err := l.askRepeatedly(ctx, target, holdSlack)
		l.post(func() {
			if l.ctx != ctx {
				return
			}
			f.calling = false
			l.formerCalls--
			switch {
			case l.sessions[id] != nil:
			case errors.Is(err, ErrOtherIncarnation):
				delete(l.former, id)
				l.addMissing(known)
			case err != nil:
			case answer.BornUnixMs == known.GetBornUnixMs():
				l.syncSession(id)
			default:
				l.registerSuccessorOf(known, answer.BornUnixMs)
			}
		})
	})
}
