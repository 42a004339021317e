package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/resources"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// capacityOf returns the capacity of a worker that starts have to keep to: the committed one, and no more than the worker last
// reported to this leader, whose commit may take long or fail.
func (l *Leader) capacityOf(w *submission.Worker) resources.Vector {
	capacity := resources.FromProto(w.GetCapacity())
	if s := l.sessions[w.GetId()]; s != nil && s.incarnation == w.Incarnation() && s.reportedCapacity != nil {
		return capacity.Min(resources.FromProto(s.reportedCapacity))
	}
	return capacity
}

// reportWait is how long the leader waits for the first report of a worker in its term: the platform's stable window of 3 s and a heartbeat.
const reportWait = 4500 * time.Millisecond

// knowsCapacity reports whether the leader may rely on the capacity of a worker. One that does not guard its capacity may have shrunk
// while there was no leader to hear of it. If it answers holds and does not report within reportWait, it is cut off from the control VMs
// and what it reported before counts, as in the term in which that happens.
func (l *Leader) knowsCapacity(state *submission.State, w *submission.Worker, s *session) bool {
	hasReported := w.GetSequence() > 0
	return s.reportedCapacity != nil || state.Pool(w.GetPool()).GetGuards() || hasReported && l.cfg.Clock()-s.reportedAt >= reportWait
}

// strays returns the attempts that the worker listed last and that are not placed on it. They are being stopped and occupy the
// worker until it no longer lists them.
func (l *Leader) strays(w *submission.Worker) []Running {
	s := l.sessions[w.GetId()]
	if s == nil || s.incarnation != w.Incarnation() {
		return nil
	}
	var list []Running
	for ref, running := range s.running {
		if attempt, ok := w.Attempts[ref]; !ok || attempt != running.Attempt {
			list = append(list, running)
		}
	}
	return list
}

// addStrays adds the attempts to the view of a worker that run there without being placed there. A worker that runs an attempt of
// unknown size gets no new tasks.
func (l *Leader) addStrays(state *submission.State, w *submission.Worker, view *steps.Worker) {
	for _, stray := range l.strays(w) {
		step := stepOf(state, stray.Task)
		if step == nil {
			view.Usable = false
			continue
		}
		view.Residents = append(view.Residents, steps.Resident{Task: stray.Task, Attempt: stray.Attempt, Step: step, Stopping: true, TailRatio: -1})
	}
}

// hasRoom reports whether the worker has room for an attempt placed on it that is not known to run yet. The worker may have
// shrunk since the attempt was planned. Attempts whose start has not been sent leave their room to those that are sent before.
func (l *Leader) hasRoom(task submission.Ref, r *run) bool {
	fits := true
	l.cfg.State.View(func(state *submission.State) {
		w := state.Workers()[r.on.ID]
		step := stepOf(state, task)
		if w == nil || step == nil {
			return // the start is no longer valid, which is for the caller to check
		}
		used := steps.ReservedSize(step)
		for ref, attempt := range w.Attempts {
			if other := stepOf(state, ref); other != nil && ref != task && !l.isUnsent(ref, attempt, r.on) {
				used = used.Plus(steps.ReservedSize(other))
			}
		}
		for _, stray := range l.strays(w) {
			if other := stepOf(state, stray.Task); other != nil && stray.Task != task {
				used = used.Plus(steps.ReservedSize(other))
			}
		}
		fits = used.Fits(l.capacityOf(w))
	})
	return fits
}

// isUnsent reports whether this leader knows that no start of an attempt has been sent.
func (l *Leader) isUnsent(task submission.Ref, attempt uint32, on submission.Incarnation) bool {
	r := l.runs[task]
	return r != nil && r.attempt == attempt && r.on == on && r.phase == phaseStarting && r.calledAt == 0 && !r.outcomeUnknown
}
