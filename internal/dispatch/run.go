package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// startRetryInterval is the time after which a start that was not acknowledged is sent again.
	startRetryInterval = 500 * time.Millisecond
	// startTimeout is how long a start is repeated before the task is placed on another worker.
	startTimeout = 2500 * time.Millisecond
	// stopRetryInterval is the time after which an unanswered stop is sent again.
	stopRetryInterval = 700 * time.Millisecond
	// startLease bounds the lease in a start call. It is short so that a worker refuses a start that arrives late.
	startLease = 2500 * time.Millisecond
)

// runPhase is the phase of an attempt as the leader knows it.
type runPhase int

const (
	// The placement is committed; the attempt may or may not run.
	phaseStarting runPhase = iota
	// The worker has acknowledged the start or listed the attempt as running.
	phaseRunning
	// The attempt is to be stopped.
	phaseStopping
)

// run tracks an attempt that the leader has placed, or that it has found on a worker or in the replicated state.
type run struct {
	on      submission.Incarnation
	attempt uint32
	phase   runPhase
	// calling is true while a start or stop call is in progress.
	calling bool
	// confirmed is true once this incarnation of the worker is known to have started the attempt: it has listed the attempt as running,
	// or its clock was in the answer to the start.
	confirmed bool
	// outcomeUnknown is true if the result of some start call is unknown, so that the worker may have carried it out or may still
	// do so.
	outcomeUnknown bool
	// startUntilMs is the latest end of a lease in a start call, on the worker's clock; 0 if this leader has sent none. The worker
	// refuses a start that arrives later.
	startUntilMs int64
	trackedSince time.Duration // when the leader began to track the attempt
	startedAt    time.Duration // when a start was first sent, 0 if this leader has sent none
	// unansweredAt is when this leader last sent a start that this incarnation is not known to have received, 0 if there is none.
	unansweredAt time.Duration
	// takenOver is true if a previous leader may have sent starts.
	takenOver  bool
	calledAt   time.Duration // time of the last start or stop call
	answeredAt time.Duration // when a start or stop was last acknowledged
	// endKind is the kind of end to commit if a stop is acknowledged and the worker lists the attempt neither as running nor as
	// ended.
	endKind pb.TaskEndKind
	// shouldMove is true while the task should move to another worker.
	shouldMove bool
	// stopReason is the reason for the stop, for the log.
	stopReason string
	progress   progress
	// clearing is true while it is being committed that the task is no longer suspect.
	clearing bool
	// givenUp is true once it has been proposed to commit the attempt as lost. It is not started any more: the task may start
	// elsewhere as soon as that is committed, also if the commit seems to have failed.
	givenUp bool
}

func (l *Leader) untrackRun(task submission.Ref, attempt uint32) {
	if r := l.runs[task]; r != nil && r.attempt == attempt {
		delete(l.runs, task)
	}
}

// startRun sends the start of a committed placement to the worker and tracks it.
func (l *Leader) startRun(task submission.Ref, attempt uint32, on submission.Incarnation) {
	r := l.runs[task]
	if r == nil || r.attempt != attempt || r.on != on {
		r = &run{on: on, attempt: attempt, trackedSince: l.cfg.Clock()}
		l.runs[task] = r
	}
	l.callStart(task, r)
}

func (l *Leader) callStart(task submission.Ref, r *run) {
	s := l.sessions[r.on.ID]
	if s == nil || s.incarnation != r.on || r.calling || r.givenUp || l.mayBeWithSuccessor(task, r) || !l.mayStillStart(task, r) {
		return
	}
	c := StartCall{Target: s.target(), Task: task, Attempt: r.attempt, LeaseUntilMs: s.grantLease(min(startLease, l.lease), l.cfg.Clock())}
	known := false
	l.cfg.State.View(func(state *submission.State) {
		sub, t := state.Submission(task.Submission), state.Task(task)
		if sub == nil || t == nil || !sub.Active() || t.Attempt != r.attempt || t.On != r.on {
			return
		}
		known = true
		c.Payload, c.Checkpoint = sub.Spec.GetPayload(), t.Checkpoint
	})
	c.Ticket = l.ticketFor(task, s.incarnation)
	if !known || c.LeaseUntilMs == 0 {
		return // retryCalls tries again until the start times out or the worker's lease expires
	}
	r.calling, r.calledAt, r.startUntilMs = true, l.cfg.Clock(), max(r.startUntilMs, c.LeaseUntilMs)
	unansweredBefore := r.unansweredAt
	r.unansweredAt = r.calledAt
	if r.startedAt == 0 {
		r.startedAt = r.calledAt
	}
	startsTotal.Inc()
	number := s.stray.sent(r.calledAt+lateCallTimeout, r.calledAt-l.longestLease())
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Start(ctx, c) }, func(err error, answered reading) {
		switch {
		case answered == readingSame, errors.Is(err, ErrConnectionRefused): // no later incarnation receives it
			s.stray.forget(number)
			r.unansweredAt = unansweredBefore
		case answered == readingOther:
			s.stray.arrived(number, l.cfg.Clock())
		case errors.Is(err, ErrNoAnswer):
			s.recordTimeout(r.calledAt, l.cfg.Clock())
		}
		l.onStart(s, task, r, err, answered)
	})
}

// call makes a call in the pool. It passes the result to then on the event loop, unless the term or the session has ended
// by that time. The success of what may be a later incarnation counts as errNotIdentified. The time in the pool's queue counts towards
// callTimeout, and a call that has used it up there is not sent.
func (l *Leader) call(s *session, f func(context.Context) (int64, error), then func(error, reading)) {
	ctx := l.ctx
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	l.pool.Submit(func() {
		defer cancel()
		sent := l.cfg.Clock()
		clockMs, err := int64(0), errNotSentInTime
		if callCtx.Err() == nil {
			clockMs, err = f(callCtx)
		}
		ended := l.cfg.Clock()
		answered := s.readClock(clockMs, sent, ended)
		if answered == readingOther && err == nil {
			err = errNotIdentified
		}
		if ctx.Err() != nil {
			return
		}
		l.post(func() {
			if l.ctx != ctx || l.sessions[s.incarnation.ID] != s {
				return
			}
			if err == nil {
				s.recordAnswered(ended)
			}
			if answered == readingOther {
				l.onOtherClock(s, clockMs)
			}
			then(err, answered)
		})
	})
}

// errNotIdentified means that a later incarnation of the worker may have carried out a call.
var errNotIdentified = fmt.Errorf("%w: a later incarnation of the worker may have answered; ask which one it is", ErrNoAnswer)

// errNotSentInTime means that a call has waited for a place in the pool until its time was over.
var errNotSentInTime = fmt.Errorf("%w: it waited too long for its turn; send it again", ErrNoAnswer)

// onOtherClock handles an answer that may have come from a later incarnation of the worker of a session: a hold tells which one it is.
func (l *Leader) onOtherClock(s *session, clockMs int64) {
	otherClocksTotal.Inc()
	l.log.Warn().Str("event", "other-clock").Str("worker", s.incarnation.ID).Int64("born", s.incarnation.BornUnixMs).
		Int64("clock_ms", clockMs).Int64("last_clock_ms", s.leaseSnapshot().clockMs).
		Msg("a later incarnation of the worker may have answered a call, carried it out and taken the lease in it")
	l.pollNow(s)
}

func (l *Leader) onStart(s *session, task submission.Ref, r *run, err error, answered reading) {
	r.calling = false
	if l.runs[task] != r {
		return
	}
	event := l.log.Info()
	if err != nil {
		countCallError("start")
		event = l.log.Warn().AnErr("error", err)
	} else if away := l.recordStarted(task, r.attempt); away > 0 {
		event = event.Dur("away_ms", away)
	}
	event.Str("decision", "start-answered").Str("request", task.Submission).Uint32("step", task.Step).Uint32("task", task.Index).
		Uint32("attempt", r.attempt).Str("worker", s.incarnation.ID).Uint64("term", l.term).Msg("")
	// A worker that reports ErrUnavailable may have started the attempt all the same.
	r.outcomeUnknown = r.outcomeUnknown || errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrUnavailable)
	if r.phase == phaseStopping {
		if refused := err != nil && !errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrFenced); refused && !r.outcomeUnknown {
			l.commitEnd(s, task, r.attempt, pb.TaskEndKind_TASK_END_KIND_REFUSED, "", nil)
			return
		}
		l.callStop(task, r) // it could not be sent while the start was in progress
		return
	}
	switch {
	case err == nil:
		r.phase, r.answeredAt = phaseRunning, l.cfg.Clock()
		r.confirmed = r.confirmed || answered == readingSame
		l.begun.add(task.Submission)
		if l.fills(task) {
			l.throttleStarted(s)
		}
	case errors.Is(err, ErrFenced):
		l.endTerm()
	case errors.Is(err, ErrOtherIncarnation):
		l.onWorkerReplaced(s, "start")
	case errors.Is(err, ErrNoAnswer), errors.Is(err, ErrLeaseOver):
		// retryCalls sends the start again with a lease based on a newer reading of the worker's clock.
	default:
		l.recordRefusal(s.incarnation.ID, err)
		l.onStartRefused(s, task, r, err)
	}
}

// onStartRefused handles the refusal of a start, so that the task can be placed on another worker. If the worker may have carried
// out an earlier copy of the start, or may still do so, the attempt is stopped first.
func (l *Leader) onStartRefused(s *session, task submission.Ref, r *run, err error) {
	l.avoidWorkerTogether(task, s.incarnation.ID)
	l.stopGang(task, r.attempt)
	if r.outcomeUnknown || errors.Is(err, ErrOldAttempt) {
		l.stopRun(task, r, pb.TaskEndKind_TASK_END_KIND_REFUSED, "start-refused")
		return
	}
	// Until the end is committed the attempt must not be started again; the worker is told to stop it if that takes long.
	r.phase, r.endKind, r.stopReason, r.calledAt = phaseStopping, pb.TaskEndKind_TASK_END_KIND_REFUSED, "start-refused", l.cfg.Clock()
	l.commitEnd(s, task, r.attempt, pb.TaskEndKind_TASK_END_KIND_REFUSED, "", nil)
}

// mayStillStart reports whether the worker of a placed attempt, which may drain or have shrunk since it was planned, still takes its start.
func (l *Leader) mayStillStart(task submission.Ref, r *run) bool {
	usable := true
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[r.on.ID]
		usable = w == nil || w.Incarnation() != r.on || w.Usable()
	})
	return usable && l.hasRoom(task, r)
}

// dropStart gives up a start that the worker no longer takes.
func (l *Leader) dropStart(task submission.Ref, r *run) {
	s := l.sessions[r.on.ID]
	if s == nil || s.incarnation != r.on {
		return
	}
	l.log.Info().Str("decision", "start-dropped").Str("request", task.Submission).Uint32("step", task.Step).Uint32("task", task.Index).
		Uint32("attempt", r.attempt).Str("worker", s.incarnation.ID).Bool("unsure", r.outcomeUnknown).Msg("the worker drains or has shrunk since the start was planned")
	l.onStartRefused(s, task, r, ErrNoRoom)
}

// startTimeoutOf returns how long the start of a task is repeated. It is shorter for a gang, because the members that start first
// give up if the others do not start within Bounds.Gang.
func (l *Leader) startTimeoutOf(task submission.Ref) time.Duration {
	if l.isGang(task) {
		return min(startTimeout, l.cfg.Bounds.Gang/2)
	}
	return startTimeout
}

// startingSince returns when the start of an attempt was first due. A leader that has taken the attempt over repeats the start for no longer
// than the one that has placed it, so that the next one knows for how long.
func (l *Leader) startingSince(task submission.Ref, r *run) time.Duration {
	since := r.trackedSince
	l.cfg.State.View(func(state *submission.State) {
		if t := state.Task(task); t != nil && t.Attempt == r.attempt && t.On == r.on {
			since = min(since, t.PlacedAt())
		}
	})
	return since
}

func (l *Leader) isGang(task submission.Ref) bool {
	gang := false
	l.cfg.State.View(func(state *submission.State) { gang = stepOf(state, task).GetGang() })
	return gang
}

func (l *Leader) isEndless(task submission.Ref) bool {
	endless := false
	l.cfg.State.View(func(state *submission.State) { endless = stepOf(state, task).GetEndless() })
	return endless
}

func (l *Leader) fills(task submission.Ref) bool {
	fills := false
	l.cfg.State.View(func(state *submission.State) { fills = stepOf(state, task).GetFills() })
	return fills
}

// stopGang stops the other members of a gang if one member did not start, because they cannot work without it.
func (l *Leader) stopGang(task submission.Ref, attempt uint32) {
	if !l.isGang(task) {
		return
	}
	for ref, r := range l.runs {
		same := ref.Submission == task.Submission && ref.Occurrence == task.Occurrence && ref.Step == task.Step && ref.Index != task.Index
		if same && r.attempt == attempt && r.phase != phaseStopping {
			l.stopRun(ref, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "gang-incomplete")
		}
	}
}

// stopRun tells a worker to stop an attempt. endKind is the kind of end to commit if the attempt turns out not to be running.
func (l *Leader) stopRun(task submission.Ref, r *run, endKind pb.TaskEndKind, reason string) {
	if r.phase != phaseStopping {
		r.phase, r.endKind, r.stopReason, r.calledAt = phaseStopping, endKind, reason, 0
	}
	l.callStop(task, r)
}

func (l *Leader) callStop(task submission.Ref, r *run) {
	s := l.sessions[r.on.ID]
	if s == nil || s.incarnation != r.on || r.calling {
		return
	}
	c := StopCall{Target: s.target(), Task: task, Attempt: r.attempt}
	r.calling, r.calledAt = true, l.cfg.Clock()
	stopsTotal.Inc()
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Stop(ctx, c) },
		func(err error, _ reading) { l.onStop(s, task, r, err) })
}

func (l *Leader) onStop(s *session, task submission.Ref, r *run, err error) {
	r.calling = false
	l.log.Info().Str("decision", "stop-answered").Str("request", task.Submission).Uint32("step", task.Step).Uint32("task", task.Index).
		Uint32("attempt", r.attempt).Str("worker", s.incarnation.ID).Str("why", r.stopReason).AnErr("error", err).Msg("")
	switch {
	case l.runs[task] != r:
	case errors.Is(err, ErrFenced):
		l.endTerm()
	case errors.Is(err, ErrOtherIncarnation):
		l.onWorkerReplaced(s, "stop")
	case err == nil:
		r.answeredAt = l.cfg.Clock()
		if s.running[task].Attempt != r.attempt {
			l.pollNow(s) // the attempt may never have run, and then the worker will not list its end
		}
	}
}

// pollNow asks a worker at once what it runs, in parallel to the long poll of the session. It acknowledges no ends: the worker may
// have restarted since its last answer, and ends are numbered per incarnation.
func (l *Leader) pollNow(s *session) {
	ctx := l.ctx
	c := HoldCall{Target: s.target()}
	sent := l.cfg.Clock()
	l.pool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, holdSlack)
		defer cancel()
		answer, err := l.cfg.Caller.Hold(callCtx, c)
		if err != nil {
			return // the long poll of the session handles errors
		}
		l.post(func() {
			switch {
			case l.ctx != ctx || l.sessions[s.incarnation.ID] != s:
			case s.answeredByOther(answer):
				l.onSuccessorAnswer(s, answer)
			default:
				s.leave.answered(sent)
				l.commitEnds(s, answer, func() {})
				l.reconcile(s, sent, answer)
			}
		})
	})
}

// retryCalls repeats a start or a stop that has had no effect yet. It stops an attempt whose start was not acknowledged in
// time.
func (l *Leader) retryCalls(task submission.Ref, r *run, now time.Duration) {
	switch {
	case r.calling:
	case r.phase == phaseStarting && now-l.startingSince(task, r) > l.startTimeoutOf(task):
		l.avoidWorkerTogether(task, r.on.ID)
		l.stopGang(task, r.attempt)
		l.stopRun(task, r, pb.TaskEndKind_TASK_END_KIND_REFUSED, "start-not-acknowledged")
	case r.phase == phaseStarting && now-r.calledAt > startRetryInterval && !l.mayStillStart(task, r):
		l.dropStart(task, r)
	case r.phase == phaseStarting && now-r.calledAt > startRetryInterval:
		l.callStart(task, r)
	case r.phase == phaseStopping && (r.calledAt == 0 || r.answeredAt < r.calledAt && now-r.calledAt > stopRetryInterval),
		r.phase == phaseStopping && now-r.calledAt > 2*stopRetryInterval+l.cfg.Bounds.Stop && l.isListed(task, r):
		l.callStop(task, r)
	}
}
