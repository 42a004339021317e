package dispatch

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// A task may crash each worker that starts it. The tasks beside it are lost as well, so that a lost attempt proves nothing. Suspect are the
// attempts that had only just started when the worker crashed. A task that was suspect starts where nothing else has only just
// started, and nothing else starts there until it has run for a while. If the worker crashes again, the task is the only suspect.
// Tasks of the same submission are excepted: it fails as a whole, and the members of a gang have to start together.

// youngAttempt is how long an attempt may crash its worker after the start was sent. An attempt that has run for longer is not
// suspect.
const youngAttempt = 150 * time.Millisecond

// maxIsolationWait is how long a suspect task waits for a worker where no other task has only just started.
const maxIsolationWait = 2 * time.Second

// isolate isolates the suspect tasks of a request, unless they have waited for too long in a busy pool. Then they may start beside others,
// but not beside other suspects.
func isolate(r *steps.Request, waited time.Duration) {
	for i := range r.Waiting {
		r.Waiting[i].Isolated = r.Waiting[i].Suspect && waited < maxIsolationWait
	}
}

// refusalTime is how long a hold takes at most that breaks though it reaches a worker which has ended before.
const refusalTime = 50 * time.Millisecond

// recordHold records from the result of a hold when the worker ended, if it has ended and is not only cut off: a connection that breaks does so
// at that time. If the hold is refused, or breaks at once, the worker ended at any time since it was last known to be alive, however long the
// refusal was on its way. Refused holds after that, and answers of the next incarnation, tell nothing more.
func (s *session) recordHold(result holdResult) {
	if s.answeredByOther(result.answer) {
		return
	}
	if errors.Is(result.err, ErrUnavailable) || errors.Is(result.err, ErrMalformed) {
		result.err = nil // the worker lives and refuses the call
	}
	if result.err == nil {
		s.aliveAt, s.endKnown = result.ended, false
	} else if !s.unanswered {
		s.endKnown, s.endedBy = !result.timedOut, result.ended
		if s.endKnown && !errors.Is(result.err, ErrConnectionRefused) && result.ended-result.sent > refusalTime {
			s.aliveAt = result.ended
		}
	}
	s.unanswered = result.err != nil
}

// recordAnswered records that the worker has answered a call. After a hold without an answer it may have been the next incarnation.
func (s *session) recordAnswered(now time.Duration) {
	if !s.unanswered {
		s.aliveAt = max(s.aliveAt, now)
	}
}

// isYoung reports whether an attempt had only just started when its worker was last known to be alive.
func (r *run) isYoung(aliveAt time.Duration) bool {
	return r.startedAt > 0 && r.startedAt <= aliveAt && aliveAt-r.startedAt < youngAttempt
}

// mayHaveCrashed reports whether an attempt had only just started when its worker ended.
func (r *run) mayHaveCrashed(s *session) bool {
	if !s.endKnown {
		return r.isYoung(s.aliveAt)
	}
	return r.startedAt > 0 && r.startedAt <= s.endedBy && s.aliveAt-r.startedAt < youngAttempt
}

// commitWorkerCrashed commits that the worker incarnation of a session is gone, with the attempts that may have crashed it.
// Their tasks avoid its successor for a while if there are other workers, so that a worker that crashes whatever starts there
// does not get a task blamed.
func (l *Leader) commitWorkerCrashed(s *session, successor string) {
	suspects := l.crashSuspects(s)
	if l.hasOtherWorkers(s) {
		for _, suspect := range suspects {
			l.avoidWorker(submission.RefOf(suspect.GetTask()), successor)
		}
	}
	l.commitWorkerGone(&pb.WorkerGone{Id: s.incarnation.ID, BornUnixMs: s.incarnation.BornUnixMs, Suspects: suspects, Saved: s.savedProgress()})
}

// hasOtherWorkers reports whether another worker in the pool of a session's worker is usable.
func (l *Leader) hasOtherWorkers(s *session) bool {
	found, now := false, l.cfg.Clock()
	l.cfg.State.View(func(state *submission.State) {
		known := state.Workers()[s.incarnation.ID]
		if known == nil {
			return
		}
		for id, other := range l.sessions {
			w := state.Workers()[id]
			found = found || other != s && w != nil && w.Incarnation() == other.incarnation && w.GetPool() == known.GetPool() && w.Usable() && l.usable(other, now)
		}
	})
	return found
}

// unexplainedWindow is how long after a crash without a suspect no task is taken for the only possible culprit of another:
// workers crash by themselves.
const unexplainedWindow = 10 * time.Second

// crashSuspects returns the attempts that may have crashed the worker of a session, which has ended or cannot be reached.
func (l *Leader) crashSuspects(s *session) []*pb.SuspectAttempt {
	if l.endsAsPlanned(s.incarnation) {
		return nil
	}
	now, suspects := l.cfg.Clock(), l.suspects(s)
	if len(suspects) == 0 && s.endKnown && s.leaseSnapshot().confirmed { // else a previous leader may have started the culprit
		l.unexplainedUntil, l.unexplainedAt = now+unexplainedWindow, max(l.unexplainedAt, s.endedBy)
	}
	if now < l.unexplainedUntil {
		for _, suspect := range suspects {
			suspect.Only = false
		}
	}
	return suspects
}

// endsAsPlanned reports whether a worker incarnation was about to end: it drains, has reported its leave, or this leader has ordered the
// maintenance of its VM. On a worker whose maintenance a previous leader has ordered, this one has started nothing.
func (l *Leader) endsAsPlanned(incarnation submission.Incarnation) bool {
	planned := false
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[incarnation.ID]
		if w == nil || w.Incarnation() != incarnation {
			return
		}
		planned = w.GetDraining() || w.Leave.GetCertain() || l.sessions[incarnation.ID].mayLeave() || l.endsByUpkeep(w.GetVm(), incarnation)
	})
	return planned
}

// suspects returns the attempts that had only just started on a worker when it was last known to be alive. Attempts of one submission
// are no alternative to each other, since it fails as a whole; a task that was suspect before is likelier than those that were
// not. If it is not known when the worker ended, it may have lived on, and there is no proof against an only one.
func (l *Leader) suspects(s *session) []*pb.SuspectAttempt {
	var list []*pb.SuspectAttempt
	for ref, r := range l.runs {
		if r.on == s.incarnation && r.mayHaveCrashed(s) {
			list = append(list, &pb.SuspectAttempt{Task: ref.Proto(), Attempt: r.attempt})
		}
	}
	if len(list) == 0 && !s.leaseSnapshot().confirmed {
		return l.suspectsOfPredecessor(s)
	}
	if only, ok := l.onlySubmission(list); ok && s.endKnown {
		for _, suspect := range list {
			suspect.Only = suspect.GetTask().GetSubmission() == only
		}
	}
	sortSuspects(list)
	return list
}

func sortSuspects(list []*pb.SuspectAttempt) {
	slices.SortFunc(list, func(a, b *pb.SuspectAttempt) int {
		return cmp.Or(submission.RefOf(a.GetTask()).Compare(submission.RefOf(b.GetTask())), cmp.Compare(a.GetAttempt(), b.GetAttempt()))
	})
}

// unnoticedCrash is how long before a worker was recorded as silent, or before the change of the leader, it may have crashed: the
// previous leader had to wait for a hold to fail.
const unnoticedCrash = holdWait + holdSlack + youngAttempt

// suspectsOfPredecessor returns the attempts that may have crashed a worker which this leader has never reached. It does not know when
// the worker ended, nor when the previous leader sent the starts, but when they were committed. None is taken for the only suspect.
func (l *Leader) suspectsOfPredecessor(s *session) []*pb.SuspectAttempt {
	var list []*pb.SuspectAttempt
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[s.incarnation.ID]
		if w == nil || w.Incarnation() != s.incarnation {
			return
		}
		noticed := l.termStart
		if since, silent := w.SilentSince(); silent {
			noticed = min(noticed, since)
		}
		for ref, attempt := range w.Attempts {
			if t := state.Task(ref); t != nil && t.Attempt == attempt && noticed-t.PlacedAt() < unnoticedCrash {
				list = append(list, &pb.SuspectAttempt{Task: ref.Proto(), Attempt: attempt})
			}
		}
	})
	sortSuspects(list)
	return list
}

// onlySubmission returns the submission of all suspects, or that of all those that were suspect before.
func (l *Leader) onlySubmission(list []*pb.SuspectAttempt) (string, bool) {
	all, before := map[string]bool{}, map[string]bool{}
	l.cfg.State.View(func(state *submission.State) {
		for _, suspect := range list {
			ref := submission.RefOf(suspect.GetTask())
			all[ref.Submission] = true
			if t := state.Task(ref); t != nil && t.Suspicions > 0 {
				before[ref.Submission] = true
			}
		}
	})
	for _, candidates := range []map[string]bool{all, before} {
		if len(candidates) == 1 {
			for id := range candidates {
				return id, true
			}
		}
	}
	return "", false
}

// clearedAfter is how long an attempt of a suspect task runs until the crashes before it are forgotten. Endless tasks have no end that
// would do so.
const clearedAfter = 2 * time.Second

// clearSuspects commits which suspect tasks that a worker has just listed have run for long enough.
func (l *Leader) clearSuspects(s *session, now time.Duration) {
	var cleared []submission.Ref
	l.cfg.State.View(func(state *submission.State) {
		for ref, running := range s.running {
			t, r := state.Task(ref), l.runs[ref]
			if t != nil && t.Suspect() && r != nil && r.on == s.incarnation && r.attempt == running.Attempt && r.phase == phaseRunning &&
				!r.clearing && now-max(r.trackedSince, r.startedAt) > clearedAfter {
				cleared = append(cleared, ref)
			}
		}
	})
	for _, ref := range cleared {
		r := l.runs[ref]
		r.clearing = true
		change := &pb.TaskCleared{Task: ref.Proto(), Attempt: r.attempt}
		l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_Cleared{Cleared: change}}, func(_ submission.Result, err error) {
			l.logCommitFailure("task-cleared", ref.Submission, err)
			r.clearing = false
		})
	}
}

// logSuspects logs which attempts may have crashed a worker, and which submissions fail for that.
func (l *Leader) logSuspects(worker string, suspects []*pb.SuspectAttempt) {
	l.cfg.State.View(func(state *submission.State) {
		for _, suspect := range suspects {
			suspectsTotal.Inc()
			ref := submission.RefOf(suspect.GetTask())
			event := l.log.Warn().Str("decision", "suspect").Str("request", ref.Submission).Uint32("step", ref.Step).Uint32("task", ref.Index).
				Uint32("attempt", suspect.GetAttempt()).Str("worker", worker).Int("suspects", len(suspects))
			t := state.Task(ref)
			if t != nil {
				event = event.Uint32("suspicions", t.Suspicions).Uint32("crashes", t.Crashes).Uint32("unproven", t.Unproven)
			}
			event.Msg("the worker crashed, or fell silent if that is unproven, when the attempt had only just started there")
			if sub := state.Submission(ref.Submission); t != nil && t.CrashedTooMany() && sub.State == pb.SubmissionState_SUBMISSION_STATE_FAILED {
				givenUpTotal.Inc()
				l.log.Warn().Str("decision", "given-up").Str("request", ref.Submission).Uint32("step", ref.Step).Uint32("task", ref.Index).
					Msg("the task crashes the workers that start it; its submission fails")
			}
		}
	})
}

// awaitsProof reports whether a task waits until it is known whether it crashed its workers: with those that are silent, it would have
// reached the limit. A worker that is silent for silenceTimeout is waited for no longer. An endless task does not wait: it has to run again
// in time however its attempts ended.
func (l *Leader) awaitsProof(state *submission.State, task submission.Ref, t *submission.Task) bool {
	if !t.MayReachLimit(int(t.Unproven)) || stepOf(state, task).GetEndless() {
		return false
	}
	open := 0
	for id, s := range l.sessions {
		if w := state.Workers()[id]; w != nil && w.Incarnation() == s.incarnation && w.Unproven[task] != nil {
			open++
		}
	}
	return open > 0 && t.MayReachLimit(open)
}
