package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// listed reports whether the last reading of the worker shows the attempt.
func (l *Leader) listed(task submission.Ref, r *run) bool {
	s := l.sessions[r.on.ID]
	return s != nil && s.life == r.on && s.figures[task].Attempt == r.attempt
}

// reconcile compares what a worker runs with what was placed there. Calls that were answered after the hold was sent
// may be missing in its answer.
func (l *Leader) reconcile(s *session, sent time.Duration, answer HoldAnswer) {
	figures := make(map[submission.Ref]Running, len(answer.Running))
	ended := make(map[submission.Ref]bool, len(answer.Ended))
	for _, e := range answer.Ended {
		ended[e.Task] = true
	}
	var strays []Running
	var missing []submission.Ref
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[s.life.ID]
		if w == nil || w.Incarnation() != s.life {
			return
		}
		for _, running := range answer.Running {
			figures[running.Task] = running
			if !l.expected(state, s.life, running) {
				strays = append(strays, running)
			}
		}
		for ref, attempt := range w.Attempts {
			if running, ok := figures[ref]; (!ok || running.Attempt != attempt) && !ended[ref] {
				missing = append(missing, ref)
				l.adopt(ref, attempt, s.life, false)
			} else if ok {
				l.adopt(ref, attempt, s.life, true)
			}
		}
	})
	s.figures = figures
	l.logFigures(s)
	l.relieve(s)
	l.watchProgress(s, l.cfg.Clock())
	for _, running := range strays {
		l.stopStray(s, running, sent)
	}
	for _, ref := range missing {
		l.missingRun(s, ref, sent)
	}
	l.settleUnsure(s, sent)
}

// expected reports whether an attempt that runs is the one that was placed there.
func (l *Leader) expected(state *submission.State, life submission.Incarnation, running Running) bool {
	sub, t := state.Submission(running.Task.Submission), state.Task(running.Task)
	return sub != nil && sub.Active() && t != nil && t.On == life && t.Attempt == running.Attempt
}

// adopt makes sure that there is a run for an attempt that is placed on a worker, for instance by a former leader.
func (l *Leader) adopt(task submission.Ref, attempt uint32, on submission.Incarnation, running bool) {
	r := l.runs[task]
	if r == nil || r.attempt < attempt {
		if s := l.sessions[on.ID]; s != nil && s.life == on {
			s.shares[task] = unknownShare
		}
		r = &run{on: on, attempt: attempt, orderedAt: l.cfg.Clock(), unanswered: true}
		l.runs[task] = r
	}
	if running && r.attempt == attempt {
		r.listed = true
		if r.phase == ordered {
			r.phase = confirmedRun
		}
	}
}

// missingRun deals with an attempt that a worker neither runs nor lists as ended.
func (l *Leader) missingRun(s *session, task submission.Ref, sent time.Duration) {
	r := l.runs[task]
	if r == nil || r.on != s.life || r.calling {
		return
	}
	switch r.phase {
	case ordered:
		// repeatCalls sends the start again.
	case confirmedRun:
		if r.answeredAt < sent {
			l.stopRun(task, r, pb.TaskEndKind_TASK_END_KIND_LOST, "not-listed")
		}
	case stopping:
		if r.answeredAt > 0 && r.answeredAt < sent && r.calledAt <= r.answeredAt {
			kind := r.then
			if kind == pb.TaskEndKind_TASK_END_KIND_UNSPECIFIED {
				kind = pb.TaskEndKind_TASK_END_KIND_STOPPED
			}
			l.commitEnd(s, task, r.attempt, kind, "", nil)
		}
	}
}

// stopStray stops an attempt that runs although the state does not want it, for instance one that was started late.
func (l *Leader) stopStray(s *session, running Running, sent time.Duration) {
	r := l.runs[running.Task]
	if r == nil || r.on != s.life || r.attempt != running.Attempt {
		if r != nil && r.on != s.life && r.phase != stopping {
			l.stopOnce(s, running)
			return
		}
		r = &run{on: s.life, attempt: running.Attempt, phase: confirmedRun}
		l.runs[running.Task] = r
	}
	if r.calling || r.phase == stopping && l.cfg.Clock()-r.calledAt < stopRepeat+l.cfg.Bounds.Stop || r.calledAt > sent {
		return
	}
	l.stopRun(running.Task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "not-wanted")
}

// stopOnce stops an attempt of a task whose newer attempt runs elsewhere. It is sent again with the next hold.
func (l *Leader) stopOnce(s *session, running Running) {
	c := StopCall{Target: l.target(s), Task: running.Task, Attempt: running.Attempt}
	l.log.Warn().Str("decision", "stop-stray").Str("request", running.Task.Submission).Uint32("attempt", running.Attempt).Str("worker", s.life.ID).Msg("")
	l.call(s, func(ctx context.Context) (int64, error) { return l.cfg.Caller.Stop(ctx, c) }, func(error) {})
}

// stopEnded stops what still runs of submissions that have ended.
func (l *Leader) stopEnded() {
	l.endedMu.Lock()
	ids := l.ended
	l.ended = nil
	l.endedMu.Unlock()
	for _, id := range ids {
		for _, placed := range l.placedOf(id) {
			l.adopt(placed.task, placed.attempt, placed.on, false)
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

// placedOf returns the placed tasks of a submission.
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

// logFigures writes what a worker reports of its tasks, at debug level.
func (l *Leader) logFigures(s *session) {
	if l.log.GetLevel() > zerolog.DebugLevel {
		return
	}
	l.cfg.State.View(func(state *submission.State) {
		capacity := int64(0)
		if w := state.Workers()[s.life.ID]; w != nil {
			capacity = w.GetCapacity().GetMillicores()
		}
		for ref, f := range s.figures {
			if sub := state.Submission(ref.Submission); sub != nil {
				step := sub.Spec.GetSteps()[ref.Step]
				l.log.Debug().Str("event", "figure").Str("worker", s.life.ID).Str("request", ref.Submission).Uint32("task", ref.Index).Str("image", step.GetImage()).
					Bool("endless", step.GetEndless()).Bool("fills", step.GetFills()).Int64("millicores", step.GetSize().GetMillicores()).Int64("tail_limit", step.GetTailLimitMs()).
					Int64("capacity", capacity).Float64("percent", f.Percent).Float64("figure", f.Figure).Msg("")
			}
		}
	})
}
