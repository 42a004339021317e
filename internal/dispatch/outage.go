package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// reserveAhead is how long before the lease of a silent worker is over room is reserved for its endless tasks. The short tasks
// of other submissions have ended by then.
const reserveAhead = 1500 * time.Millisecond

// recordListed records that the endless tasks that a worker has just listed as running do run.
func (l *Leader) recordListed(s *session, now time.Duration) {
	l.cfg.State.View(func(state *submission.State) {
		for ref := range s.running {
			if stepOf(state, ref).GetEndless() {
				l.lastRuns[ref] = now
			}
		}
	})
}

// recordStarted records that a worker has acknowledged the start of a task. For an endless task that ran before, it returns for how
// long the task was away.
func (l *Leader) recordStarted(task submission.Ref, attempt uint32) time.Duration {
	now, away := l.cfg.Clock(), time.Duration(0)
	l.cfg.State.View(func(state *submission.State) {
		if !stepOf(state, task).GetEndless() {
			return
		}
		if attempt > 1 {
			away = l.outage(task, now)
			outageSeconds.Update(away.Seconds())
		}
		l.lastRuns[task] = now
	})
	return away
}

// outage returns the time since an endless task was last known to run. If this leader has not seen it running, it ran before the term.
func (l *Leader) outage(task submission.Ref, now time.Duration) time.Duration {
	if last, ok := l.lastRuns[task]; ok {
		return now - last
	}
	return now - l.termStart
}

// longestOutage returns the longest outage of the waiting tasks of an endless step that ran before, or 0 if there is none.
func (l *Leader) longestOutage(r *steps.Request, now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range r.Waiting {
		if r.Spec.GetEndless() && t.Attempt > 1 {
			longest = max(longest, l.outage(submission.Ref{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step, Index: t.Index}, now))
		}
	}
	return longest
}

// expectedRequests returns a request for each endless step with a task on a silent worker whose lease will soon be over.
func (l *Leader) expectedRequests(state *submission.State, unixMs int64, now time.Duration) []*steps.Request {
	expected := map[stepKey]*steps.Request{}
	for id, s := range l.sessions {
		w := state.Workers()[id]
		if w == nil || w.Incarnation() != s.incarnation || l.usable(s, now) || l.leaseExpiry(s.leaseSnapshot())-now > reserveAhead {
			continue
		}
		for ref := range w.Attempts {
			sub, step := state.Submission(ref.Submission), stepOf(state, ref)
			if sub != nil && sub.Active() && step.GetEndless() {
				expected[stepKey{ref.Submission, ref.Occurrence, ref.Step}] = &steps.Request{Submission: ref.Submission, Occurrence: ref.Occurrence,
					Step: ref.Step, Spec: step, Pool: state.QueueOf(sub).GetPool(), AcceptedUnixMs: sub.AcceptedUnixMs,
					ReadyUnixMs: unixMs - l.outage(ref, now).Milliseconds()}
			}
		}
	}
	list := slices.Collect(maps.Values(expected))
	slices.SortFunc(list, func(a, b *steps.Request) int {
		return cmp.Or(cmp.Compare(a.AcceptedUnixMs, b.AcceptedUnixMs), cmp.Compare(a.Submission, b.Submission))
	})
	return list
}
