package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// startRepeat is the pause before a start without an answer is sent again.
	startRepeat = 500 * time.Millisecond
	// startPatience is how long a start is repeated before the task is placed elsewhere.
	startPatience = 2500 * time.Millisecond
	// stopRepeat is the pause before a stop is sent again while the attempt still runs.
	stopRepeat = 700 * time.Millisecond
	// startLease is the lease named in a start: a start that is carried out late is then refused.
	startLease = 2500 * time.Millisecond
)

// runPhase is how far an attempt has come.
type runPhase int

const (
	// ordered attempts may or may not run.
	ordered runPhase = iota
	// confirmed attempts were seen running or their start was acknowledged.
	confirmedRun
	// stopping attempts have been told to stop.
	stopping
)

// run is what the leader knows of an attempt that it placed or found.
type run struct {
	on      submission.Incarnation
	attempt uint32
	phase   runPhase
	// calling is true while a start or stop is in progress.
	calling bool
	// listed is true once the worker has listed the attempt as running.
	listed bool
	// unanswered is true if a start had no answer to rely on, so that it may have been or may yet be carried out.
	unanswered bool
	orderedAt  time.Duration
	calledAt   time.Duration
	answeredAt time.Duration // of the start
	// then is the end to commit once a stop is acknowledged and the attempt does not run; unspecified if its end will be listed.
	then pb.TaskEndKind
	// leaves is true while the task should work on another worker.
	leaves bool
	// why the attempt is stopped, for the log.
	why      string
	progress progress
}

func (l *Leader) forgetRun(task submission.Ref, attempt uint32) {
	if r := l.runs[task]; r != nil && r.attempt == attempt {
		delete(l.runs, task)
	}
}

// startRun notes a committed placement and calls the worker.
func (l *Leader) startRun(task submission.Ref, attempt uint32, on submission.Incarnation) {
	r := &run{on: on, attempt: attempt, orderedAt: l.cfg.Clock()}
	l.runs[task] = r
	l.callStart(task, r)
}

func (l *Leader) callStart(task submission.Ref, r *run) {
	s := l.sessions[r.on.ID]
	if s == nil || s.life != r.on || r.calling {
		return
	}
	c := StartCall{Target: l.target(s), Task: task, Attempt: r.attempt, LeaseUntilMs: s.grant(min(startLease, l.lease), l.cfg.Clock())}
	known := false
	l.cfg.State.View(func(state *submission.State) {
		sub, t := state.Submission(task.Submission), state.Task(task)
		if sub == nil || t == nil || !sub.Active() || t.Attempt != r.attempt || t.On != r.on {
			return
		}
		known = true
		c.Payload, c.Checkpoint = sub.Spec.GetPayload(), t.Checkpoint
	})
	c.Ticket = l.ticketFor(task, s.life.ID)
	if !known || c.LeaseUntilMs == 0 {
		return // repeatCalls tries again, or the lease runs out
	}
	r.calling, r.calledAt = true, l.cfg.Clock()
	startsTotal.Inc()
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Start(ctx, c) },
		func(err error) { l.onStart(s, task, r, err) })
}

// call makes a call outside the loop and hands its outcome to the loop, if the term and the session last.
func (l *Leader) call(s *session, f func(context.Context) (int64, error), then func(error)) {
	ctx := l.ctx
	l.pool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		clockMs, err := f(callCtx)
		if clockMs > 0 {
			s.noteClock(clockMs, l.cfg.Clock())
		}
		if ctx.Err() != nil {
			return
		}
		l.post(func() {
			if l.ctx == ctx && l.sessions[s.life.ID] == s {
				then(err)
			}
		})
	})
}

func (l *Leader) target(s *session) Target {
	return Target{Incarnation: s.life, Address: s.address, FailureDomain: s.domain, Fence: l.term}
}

func (l *Leader) onStart(s *session, task submission.Ref, r *run, err error) {
	r.calling = false
	if l.runs[task] != r {
		return
	}
	event := l.log.Info()
	if err != nil {
		countCallError("start")
		event = l.log.Warn().AnErr("error", err)
	}
	event.Str("decision", "start-answered").Str("request", task.Submission).Uint32("step", task.Step).Uint32("task", task.Index).
		Uint32("attempt", r.attempt).Str("worker", s.life.ID).Uint64("term", l.term).Msg("")
	// A worker that is not well may have carried out what it refuses.
	r.unanswered = r.unanswered || errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrUnavailable)
	if r.phase == stopping {
		if refused := err != nil && !errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrFenced); refused && !r.unanswered {
			l.commitEnd(s, task, r.attempt, pb.TaskEndKind_TASK_END_KIND_REFUSED, "", nil)
			return
		}
		l.callStop(task, r) // the stop had to wait for the answer to the start
		return
	}
	switch {
	case err == nil:
		r.phase, r.answeredAt = confirmedRun, l.cfg.Clock()
	case errors.Is(err, ErrFenced):
		l.end()
	case errors.Is(err, ErrOtherIncarnation):
		l.otherLife(s, "start")
	case errors.Is(err, ErrNoAnswer), errors.Is(err, ErrLeaseOver):
		// Repeated with a fresh reading of the clock.
	default:
		l.noteRefusal(s.life.ID, err)
		l.refused(s, task, r, err)
	}
}

// refused gives a task back that a worker does not start. If an earlier copy of the start may still be on its way, the
// attempt is stopped first.
func (l *Leader) refused(s *session, task submission.Ref, r *run, err error) {
	l.avoidWorker(task, s.life.ID)
	l.takeBackGang(task, r.attempt, s.life.ID)
	if r.unanswered || errors.Is(err, ErrOldAttempt) {
		l.stopRun(task, r, pb.TaskEndKind_TASK_END_KIND_REFUSED, "start-refused")
		return
	}
	l.commitEnd(s, task, r.attempt, pb.TaskEndKind_TASK_END_KIND_REFUSED, "", nil)
}

// patience is how long a start is repeated; members of a gang must all have started before the first ones give up.
func (l *Leader) patience(task submission.Ref) time.Duration {
	if l.isGang(task) {
		return min(startPatience, l.cfg.Bounds.Gang/2)
	}
	return startPatience
}

func (l *Leader) isGang(task submission.Ref) bool {
	gang := false
	l.cfg.State.View(func(state *submission.State) {
		if sub := state.Submission(task.Submission); sub != nil && int(task.Step) < len(sub.Spec.GetSteps()) {
			gang = sub.Spec.GetSteps()[task.Step].GetGang()
		}
	})
	return gang
}

// takeBackGang stops the other members of a gang of which one does not start on a worker, so that none waits alone, and
// keeps all of them from that worker for a while.
func (l *Leader) takeBackGang(task submission.Ref, attempt uint32, worker string) {
	if !l.isGang(task) {
		return
	}
	for ref, r := range l.runs {
		same := ref.Submission == task.Submission && ref.Occurrence == task.Occurrence && ref.Step == task.Step && ref.Index != task.Index
		if same {
			l.avoidWorker(ref, worker)
		}
		if same && r.attempt == attempt && r.phase != stopping {
			l.stopRun(ref, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "gang-incomplete")
		}
	}
}

// stopRun tells a worker to stop an attempt. then is the end to commit if the attempt turns out not to run.
func (l *Leader) stopRun(task submission.Ref, r *run, then pb.TaskEndKind, why string) {
	if r.phase != stopping {
		r.phase, r.then, r.why, r.calledAt = stopping, then, why, 0
	}
	l.callStop(task, r)
}

func (l *Leader) callStop(task submission.Ref, r *run) {
	s := l.sessions[r.on.ID]
	if s == nil || s.life != r.on || r.calling {
		return
	}
	c := StopCall{Target: l.target(s), Task: task, Attempt: r.attempt}
	r.calling, r.calledAt = true, l.cfg.Clock()
	stopsTotal.Inc()
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Stop(ctx, c) },
		func(err error) { l.onStop(s, task, r, err) })
}

func (l *Leader) onStop(s *session, task submission.Ref, r *run, err error) {
	r.calling = false
	l.log.Info().Str("decision", "stop-answered").Str("request", task.Submission).Uint32("step", task.Step).Uint32("task", task.Index).
		Uint32("attempt", r.attempt).Str("worker", s.life.ID).Str("why", r.why).AnErr("error", err).Msg("")
	switch {
	case l.runs[task] != r:
	case errors.Is(err, ErrFenced):
		l.end()
	case errors.Is(err, ErrOtherIncarnation):
		l.otherLife(s, "stop")
	case err == nil:
		r.answeredAt = l.cfg.Clock()
		if s.figures[task].Attempt != r.attempt {
			l.look(s) // it may not run at all, so that no end of it will be listed
		}
	}
}

// look reads at once what a worker runs, beside the hold that waits there.
func (l *Leader) look(s *session) {
	ctx := l.ctx
	c := HoldCall{Target: l.target(s), SeenEnd: s.contactNow().seenBy()}
	sent := l.cfg.Clock()
	l.pool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, holdSlack)
		defer cancel()
		answer, err := l.cfg.Caller.Hold(callCtx, c)
		if err != nil {
			return // the hold that waits reports the state of the worker
		}
		l.post(func() {
			if l.ctx == ctx && l.sessions[s.life.ID] == s && (answer.BornUnixMs == 0 || answer.BornUnixMs == s.life.BornUnixMs) {
				l.noteEnds(s, answer, func() {})
				l.reconcile(s, sent, answer)
			}
		})
	})
}

// repeatCalls sends starts and stops again that had no effect so far.
func (l *Leader) repeatCalls(task submission.Ref, r *run, now time.Duration) {
	switch {
	case r.calling:
	case r.phase == ordered && now-r.orderedAt > l.patience(task):
		l.avoidWorker(task, r.on.ID)
		l.takeBackGang(task, r.attempt, r.on.ID)
		l.stopRun(task, r, pb.TaskEndKind_TASK_END_KIND_REFUSED, "start-not-acknowledged")
	case r.phase == ordered && now-r.calledAt > startRepeat:
		l.callStart(task, r)
	case r.phase == stopping && (r.calledAt == 0 || r.answeredAt < r.calledAt && now-r.calledAt > stopRepeat),
		r.phase == stopping && now-r.calledAt > 2*stopRepeat+l.cfg.Bounds.Stop && l.listed(task, r):
		l.callStop(task, r)
	}
}
