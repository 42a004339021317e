package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// isListed reports whether the worker's last answer to a hold lists the attempt as running.
func (l *Leader) isListed(task submission.Ref, r *run) bool {
	s := l.sessions[r.on.ID]
	return s != nil && s.incarnation == r.on && s.running[task].Attempt == r.attempt
}

// reconcile compares the attempts that a worker runs with those placed on it, and corrects the differences. sent is when the
// hold was sent: its answer may not reflect calls that were acknowledged after that time.
func (l *Leader) reconcile(s *session, sent time.Duration, answer HoldAnswer) {
	reported := make(map[submission.Ref]Running, len(answer.Running))
	ended := make(map[submission.Ref]bool, len(answer.Ended))
	for _, e := range answer.Ended {
		ended[e.Task] = true
	}
	var unexpected []Running
	var missing []submission.Ref
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[s.incarnation.ID]
		if w == nil || w.Incarnation() != s.incarnation {
			return
		}
		for _, running := range answer.Running {
			reported[running.Task] = running
			if !l.isExpected(state, s.incarnation, running) {
				unexpected = append(unexpected, running)
			}
		}
		for ref, attempt := range w.Attempts {
			if running, ok := reported[ref]; (!ok || running.Attempt != attempt) && !ended[ref] {
				missing = append(missing, ref)
				l.ensureTracked(ref, attempt, s.incarnation, false)
			} else if ok {
				l.ensureTracked(ref, attempt, s.incarnation, true)
			}
		}
	})
	s.running = reported
	l.recordListed(s, l.cfg.Clock())
	l.logReadings(s)
	l.adjustThrottling(s)
	l.restartStalled(s, l.cfg.Clock())
	l.clearSuspects(s, l.cfg.Clock())
	for _, running := range unexpected {
		l.stopUnexpected(s, running, sent)
	}
	if answer.isComplete() {
		for _, ref := range missing {
			l.handleMissing(s, ref, sent, answer.ClockMs)
		}
	}
	l.resolveUncertainStarts(s, sent, answer.isComplete())
}

// isExpected reports whether the state has placed a running attempt on this worker incarnation and its submission is active.
func (l *Leader) isExpected(state *submission.State, incarnation submission.Incarnation, running Running) bool {
	sub, t := state.Submission(running.Task.Submission), state.Task(running.Task)
	return sub != nil && sub.Active() && t != nil && t.On == incarnation && t.Attempt == running.Attempt
}

// ensureTracked ensures that the leader tracks an attempt that is placed on a worker, for example by a previous leader.
// running tells whether the worker lists the attempt as running.
func (l *Leader) ensureTracked(task submission.Ref, attempt uint32, on submission.Incarnation, running bool) {
	r := l.runs[task]
	if r == nil || r.attempt < attempt {
		if s := l.sessions[on.ID]; s != nil && s.incarnation == on {
			s.setSpeedLimit(task, attempt, assumedSpeedLimit)
		}
		r = &run{on: on, attempt: attempt, trackedSince: l.cfg.Clock(), outcomeUnknown: true, takenOver: true}
		l.runs[task] = r
	}
	if running && r.attempt == attempt {
		if !r.confirmed {
			l.begun.add(task.Submission)
		}
		r.confirmed = true
		if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
	}
}

// handleMissing handles a placed attempt that a worker lists neither as running nor as ended, in a complete answer. clockMs is the worker's clock at
// that time.
func (l *Leader) handleMissing(s *session, task submission.Ref, sent time.Duration, clockMs int64) {
	r := l.runs[task]
	if r == nil || r.on != s.incarnation {
		return
	}
	switch r.phase {
	case phaseStarting:
		// retryCalls sends the start again.
	case phaseRunning:
		if !r.calling && r.answeredAt < sent {
			l.stopRun(task, r, pb.TaskEndKind_TASK_END_KIND_LOST, "not-listed")
		}
	case phaseStopping:
		if r.hasStopped(sent) || r.isTooLate(clockMs) {
			kind := r.endKind
			if kind == pb.TaskEndKind_TASK_END_KIND_UNSPECIFIED {
				kind = pb.TaskEndKind_TASK_END_KIND_STOPPED
			}
			if kind == pb.TaskEndKind_TASK_END_KIND_REFUSED { // its start was refused seconds ago, and the worker looks empty
				l.avoidWorkerTogether(task, s.incarnation.ID)
			}
			l.commitEnd(s, task, r.attempt, kind, "", nil)
		}
	}
}

// hasStopped reports whether the last stop was acknowledged before a hold was sent that does not list the attempt.
func (r *run) hasStopped(sent time.Duration) bool {
	return !r.calling && r.answeredAt > 0 && r.answeredAt < sent && r.calledAt <= r.answeredAt
}

// isTooLate reports whether an attempt that a worker does not list at a time of its clock cannot start there any more. A call in
// progress changes nothing about that, and on a sick worker one may always be. If this leader has sent no start, only an earlier one
// may have, whose calls the worker has refused since it received a hold of this term.
func (r *run) isTooLate(clockMs int64) bool { return r.startUntilMs == 0 || clockMs > r.startUntilMs }

// stopUnexpected stops a running attempt that is not placed on the worker, for example because a delayed start was carried out.
func (l *Leader) stopUnexpected(s *session, running Running, sent time.Duration) {
	r := l.runs[running.Task]
	if r == nil || r.on != s.incarnation || r.attempt != running.Attempt {
		if r != nil && r.on != s.incarnation && r.phase != phaseStopping {
			l.stopOnce(s, running)
			return
		}
		r = &run{on: s.incarnation, attempt: running.Attempt, phase: phaseRunning}
		l.runs[running.Task] = r
	}
	if r.calling || r.phase == phaseStopping && l.cfg.Clock()-r.calledAt < stopRetryInterval+l.cfg.Bounds.Stop || r.calledAt > sent {
		return
	}
	l.stopRun(running.Task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "not-wanted")
}

// stopOnce stops an attempt of a task that is tracked on another worker. It does not retry: the answer to the next hold
// triggers another stop if the attempt still runs.
func (l *Leader) stopOnce(s *session, running Running) {
	c := StopCall{Target: s.target(), Task: running.Task, Attempt: running.Attempt}
	l.log.Warn().Str("decision", "stop-stray").Str("request", running.Task.Submission).Uint32("attempt", running.Attempt).Str("worker", s.incarnation.ID).Msg("")
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Stop(ctx, c) }, func(error, reading) {})
}

// stopEnded stops the remaining attempts of submissions that have ended.
func (l *Leader) stopEnded() {
	l.endedMu.Lock()
	ids := l.ended
	l.ended = nil
	l.endedMu.Unlock()
	for _, id := range ids {
		l.logEnded(id)
		for _, placed := range l.placedOf(id) {
			l.ensureTracked(placed.task, placed.attempt, placed.on, false)
			if r := l.runs[placed.task]; r.on == placed.on && r.attempt == placed.attempt {
				l.stopRun(placed.task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "submission-ended")
			}
		}
	}
}

type placedTask struct {
	task    submission.Ref
	attempt uint32
	on      submission.Incarnation
}

// placedOf returns the placed tasks of a submission that has ended.
func (l *Leader) placedOf(id string) []placedTask {
	var list []placedTask
	l.cfg.State.View(func(state *submission.State) {
		sub := state.Submission(id)
		if sub == nil || sub.Active() {
			return
		}
		for number, o := range sub.Occurrences {
			for i := range o.Steps {
				for j := range o.Steps[i].Tasks {
					if t := &o.Steps[i].Tasks[j]; t.Placed() {
						ref := submission.Ref{Submission: id, Occurrence: number, Step: uint32(i), Index: uint32(j)}
						list = append(list, placedTask{ref, t.Attempt, t.On})
					}
				}
			}
		}
	})
	return list
}

// logReadings logs the measurements that a worker reports for its tasks, at debug level.
func (l *Leader) logReadings(s *session) {
	if l.log.GetLevel() > zerolog.DebugLevel {
		return
	}
	l.cfg.State.View(func(state *submission.State) {
		capacity := int64(0)
		if w := state.Workers()[s.incarnation.ID]; w != nil {
			capacity = w.GetCapacity().GetMillicores()
		}
		for ref, f := range s.running {
			if step := stepOf(state, ref); step != nil {
				l.log.Debug().Str("event", "figure").Str("worker", s.incarnation.ID).Str("request", ref.Submission).Uint32("task", ref.Index).Str("image", step.GetImage()).
					Bool("endless", step.GetEndless()).Bool("fills", step.GetFills()).Int64("millicores", step.GetSize().GetMillicores()).Int64("tail_limit", step.GetTailLimitMs()).
					Int64("capacity", capacity).Float64("percent", f.Percent).Float64("figure", f.Figure).Msg("")
			}
		}
	})
}
