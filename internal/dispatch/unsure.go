package dispatch

import (
	"context"
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// A call names the worker that it is meant for by its id only. When a worker starts again under its id, a start meant for its
// former life may be carried out by the new one, at once or when a delayed call arrives. Until that is ruled out for a
// task, it must not be started elsewhere.

// unsureFor bounds the wait for the first report of the new life; delayed calls are carried out within seconds.
const unsureFor = 4 * time.Second

// unsureRun is an attempt that the former life of a worker was told to start and never listed.
type unsureRun struct {
	former  submission.Incarnation
	attempt uint32
	since   time.Duration
	// calling is true while the new life is being told not to start the attempt; barredAt is when it acknowledged that.
	calling  bool
	barredAt time.Duration
}

// noteUnsure notes the attempts that a life which was replaced under the same id may have handed on to its successor.
func (l *Leader) noteUnsure(former submission.Incarnation) {
	now := l.cfg.Clock()
	for ref, r := range l.runs {
		if r.on == former && !r.listed {
			l.unsure[ref] = &unsureRun{former: former, attempt: r.attempt, since: now}
			l.log.Info().Str("decision", "unsure").Str("request", ref.Submission).Uint32("step", ref.Step).Uint32("task", ref.Index).
				Uint32("attempt", r.attempt).Str("worker", former.ID).Msg("the next life of the worker may have started it")
		}
	}
}

// mayStart reports whether no life of a worker can still start an earlier attempt of the task.
func (l *Leader) mayStart(task submission.Ref, now time.Duration) bool {
	u := l.unsure[task]
	if u != nil && l.outOfDate(u, now) {
		delete(l.unsure, task)
		return true
	}
	return u == nil
}

// outOfDate reports whether no new life has come in time.
func (l *Leader) outOfDate(u *unsureRun, now time.Duration) bool {
	s := l.sessions[u.former.ID]
	return (s == nil || s.life == u.former) && now-u.since > unsureFor
}

// forgetUnsure drops what is out of date, also for tasks that wait no more.
func (l *Leader) forgetUnsure(now time.Duration) {
	for ref, u := range l.unsure {
		if l.outOfDate(u, now) {
			delete(l.unsure, ref)
		}
	}
}

// takesOver reports whether the life of a session may run attempts of its former life, which would take its room.
func (l *Leader) takesOver(s *session) bool {
	for _, u := range l.unsure {
		if u.former.ID == s.life.ID && u.former != s.life {
			return true
		}
	}
	return false
}

// settleUnsure follows up the attempts that the life of a session may have taken over: it is told not to start them, and
// what it does not run after that never runs there.
func (l *Leader) settleUnsure(s *session, sent time.Duration) {
	for ref, u := range l.unsure {
		if u.former.ID != s.life.ID || u.former == s.life {
			continue
		}
		switch {
		case u.barredAt == 0 && !u.calling:
			l.bar(s, ref, u)
		case u.barredAt > 0 && u.barredAt <= sent && s.figures[ref].Attempt != u.attempt:
			delete(l.unsure, ref)
			l.dirty = true
		}
	}
}

// bar tells a life never to start an attempt, and to stop it if it runs.
func (l *Leader) bar(s *session, task submission.Ref, u *unsureRun) {
	c := StopCall{Target: l.target(s), Task: task, Attempt: u.attempt}
	u.calling = true
	stopsTotal.Inc()
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Stop(ctx, c) }, func(err error) {
		u.calling = false
		if err == nil {
			u.barredAt = l.cfg.Clock()
			l.look(s)
		}
	})
}
