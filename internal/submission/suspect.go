package submission

import "github.com/lentilyard/lentilyard/internal/pb"

// A task may crash each worker that starts it. A worker that falls silent may have crashed or may only be cut off, so an attempt that
// was lost with its lease is an unproven suspect: it counts once the worker is known to have ended, and is forgotten if the same
// incarnation answers again.

const (
	// maxCrashes is the number of workers that a task may crash before its submission fails. Workers also crash by themselves, so
	// that two are no proof.
	maxCrashes = 3
	// maxSuspicions is the same for a task that was never the only suspect. The platform allows two starts after the third crash;
	// the crash of a worker may stay unnoticed around a change of the leader.
	maxSuspicions = 4
)

// Suspect reports whether the task may have crashed a worker, so that it should start where nothing else starts.
func (t *Task) Suspect() bool { return t.Suspicions > 0 || t.Unproven > 0 }

// CrashedTooMany reports whether the task has crashed so many workers that its submission fails.
func (t *Task) CrashedTooMany() bool { return t.Crashes >= maxCrashes || t.Suspicions >= maxSuspicions }

// MayReachLimit reports whether the submission would fail if the given number of unproven suspicions proved true.
func (t *Task) MayReachLimit(unproven int) bool { return int(t.Suspicions)+unproven >= maxSuspicions }

// forgetSuspicions clears all that speaks against a task.
func (s *State) forgetSuspicions(ref Ref, t *Task) {
	if t.Unproven > 0 {
		for _, w := range s.workers {
			delete(w.Unproven, ref)
		}
	}
	t.Suspicions, t.Crashes, t.Unproven = 0, 0, 0
}

// suspect records that a worker crashed when an attempt of a task had only just started there, and whether it was the only one.
// The submission fails once the task has crashed too many workers.
func (s *State) suspect(a *pb.SuspectAttempt) {
	ref := RefOf(a.GetTask())
	sub, t := s.submissions[ref.Submission], s.Task(ref)
	if t == nil || t.Done || t.Attempt < a.GetAttempt() || !sub.Active() {
		return
	}
	t.Suspicions++
	if a.GetOnly() {
		t.Crashes++
	}
	if t.CrashedTooMany() {
		s.finish(sub, pb.SubmissionState_SUBMISSION_STATE_FAILED)
	}
}

// suspectLost records that an attempt was lost with its lease when it had only just started.
func (s *State) suspectLost(on Incarnation, a *pb.SuspectAttempt) {
	if a.GetUnproven() {
		s.suspectUnproven(on, a)
	} else {
		s.suspect(a)
	}
}

// suspectUnproven records an attempt that may have crashed its worker, unless the worker is only cut off.
func (s *State) suspectUnproven(on Incarnation, a *pb.SuspectAttempt) {
	ref := RefOf(a.GetTask())
	w, t := s.workers[on.ID], s.Task(ref)
	if w == nil || w.Incarnation() != on || t == nil || w.Unproven[ref] != nil {
		return
	}
	if w.Unproven == nil {
		w.Unproven = map[Ref]*pb.SuspectAttempt{}
	}
	w.Unproven[ref] = a
	t.Unproven++
}

// takeUnproven removes the unproven suspects of a worker and returns them in the order of their tasks.
func (s *State) takeUnproven(w *Worker) []*pb.SuspectAttempt {
	list := w.unprovenList()
	for _, a := range list {
		if t := s.Task(RefOf(a.GetTask())); t != nil {
			t.Unproven--
		}
	}
	w.Unproven = nil
	return list
}

// proveCrash counts the unproven suspects of a worker that has ended, unless it was about to end as planned.
func (s *State) proveCrash(w *Worker) {
	for _, a := range s.takeUnproven(w) {
		if !w.GetDraining() && !w.Leave.GetCertain() {
			s.suspect(a)
		}
	}
}

// clearSuspicion forgets the crashes of a task of which an attempt has run for a while.
func (s *State) clearSuspicion(c *pb.TaskCleared) bool {
	ref := RefOf(c.GetTask())
	t := s.Task(ref)
	if t == nil || !t.Placed() || t.Attempt != c.GetAttempt() {
		return false
	}
	s.forgetSuspicions(ref, t)
	return true
}
