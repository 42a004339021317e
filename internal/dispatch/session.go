package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// session holds the leader's state for one incarnation of a worker.
type session struct {
	incarnation submission.Incarnation
	address     string
	domain      string // failure domain
	vm          string
	fence       uint64 // fencing token of all calls in the session
	cancel      context.CancelFunc

	// Owned by the event loop.
	reportedAt time.Duration // when the worker last reported
	sequence   uint64        // sequence number of the last report
	// reportedCapacity is the capacity in the last report, nil if none has come since the session was opened.
	reportedCapacity *pb.Resources
	running          map[submission.Ref]Running       // running attempts in the last answer to a hold
	speedLimits      map[submission.Ref]speedLimit    // speed limits of filling tasks
	fill             steps.CPUShares                  // moving average of the processor time that filling tasks use, by image
	readAt           time.Duration                    // when fill was last updated
	overLimitSince   map[submission.Ref]time.Duration // since when services have exceeded their latency limits without a break
	throttledAt      time.Duration                    // when the speed of a filling task was last changed
	endingSilence    bool                             // the end of the silence is being committed
	aliveAt          time.Duration                    // when the worker was last known to be alive
	endKnown         bool                             // the worker ended between aliveAt and endedBy: its connection broke or was refused
	endedBy          time.Duration
	unanswered       bool          // the last hold got no answer
	lossesPending    int           // number of attempts whose loss is being committed
	startTimedOutAt  time.Duration // when a start got no answer though the worker answered a hold meanwhile; 0 once noted
	// mayHaveCrashed is true while attempts on the worker are recorded as unproven suspects.
	mayHaveCrashed bool
	leave          *leaveWatch // nil unless the worker has reported its leave
	drain          drainState
	stray          strayCalls

	mu sync.Mutex // guards leaseState, which calls in progress use
	leaseState
}

// target returns the target of calls to the worker.
func (s *session) target() Target {
	return Target{Incarnation: s.incarnation, Address: s.address, FailureDomain: s.domain, Fence: s.fence}
}

// openSession opens a session with a worker within a view of the state.
func (l *Leader) openSession(state *submission.State, w *submission.Worker) *session {
	if old := l.sessions[w.GetId()]; old != nil {
		if old.incarnation == w.Incarnation() {
			return old
		}
		l.recordUncertainStarts(state, old.incarnation)
		l.closeSession(old)
	}
	ctx, cancel := context.WithCancel(l.ctx)
	s := &session{incarnation: w.Incarnation(), address: w.GetAddress(), domain: w.GetFailureDomain(), vm: w.GetVm(), fence: l.nextFence(),
		cancel: cancel, running: map[submission.Ref]Running{}, speedLimits: map[submission.Ref]speedLimit{}, fill: steps.CPUShares{}}
	s.reportedAt = l.cfg.Clock()
	if over, silent := w.LeaseOver(); silent {
		s.silent, s.recordedLeaseOver = true, over
	}
	if learnt, ok := w.SucceededAt(); ok {
		s.inheritedOver = l.inheritedLease(w.GetId(), learnt)
		s.lateOver = learnt + l.late.delay(l.cfg.Clock()) + l.longestLease()
	}
	s.leave, s.mayHaveCrashed = newLeaveWatch(w, l.cfg.Clock()), len(w.Unproven) > 0
	l.sessions[w.GetId()] = s
	l.dropReplaced(state, s)
	l.log.Info().Str("event", "session-opened").Str("worker", s.incarnation.ID).Int64("born", s.incarnation.BornUnixMs).Str("address", s.address).Msg("")
	go l.holdLoop(ctx, s)
	return s
}

func (l *Leader) closeSession(s *session) {
	s.cancel()
	if arrival := s.stray.latest(); arrival > 0 {
		l.strayArrivals[s.incarnation.ID] = max(l.strayArrivals[s.incarnation.ID], arrival)
	}
	if l.sessions[s.incarnation.ID] == s {
		delete(l.sessions, s.incarnation.ID)
	}
	for ref, r := range l.runs {
		if r.on == s.incarnation {
			delete(l.runs, ref)
		}
	}
}

// savedProgress returns what the attempts on a worker had saved when it last listed them.
func (s *session) savedProgress() []*pb.SavedProgress {
	var list []*pb.SavedProgress
	for ref, running := range s.running {
		if running.Checkpoint != "" {
			list = append(list, &pb.SavedProgress{Task: ref.Proto(), Attempt: running.Attempt, Checkpoint: running.Checkpoint})
		}
	}
	return list
}

// commitWorkerGone commits that a worker incarnation is gone. If the commit fails, the next tick repeats it: nothing else
// would end the attempts on a worker without a session.
func (l *Leader) commitWorkerGone(gone *pb.WorkerGone) {
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_Gone{Gone: gone}}, func(result submission.Result, err error) {
		l.logCommitFailure("worker-gone", gone.GetId(), err)
		if err != nil {
			l.uncommittedGone = append(l.uncommittedGone, gone)
		} else if result.Applied {
			l.logSuspects(gone.GetId(), gone.GetSuspects())
		}
	})
}

func (l *Leader) logCommitFailure(what, id string, err error) {
	if err != nil && l.leads() {
		l.log.Warn().Str("event", "commit-failed").Str("change", what).Str("id", id).Err(err).Msg("")
	}
}

// commitEnds commits the ends that a worker lists, unless they are committed already. If all commits succeed, the next hold acknowledges the ends. done is called
// once all results are known.
func (l *Leader) commitEnds(s *session, answer HoldAnswer, done func()) {
	seen := s.leaseSnapshot().seenEnd
	ended := slices.DeleteFunc(slices.Clone(answer.Ended), func(e Ended) bool { return e.Number <= seen })
	if len(ended) == 0 {
		done()
		return
	}
	left := len(ended)
	highest, failed := uint64(0), false
	for _, e := range ended {
		highest = max(highest, e.Number)
		l.log.Info().Str("decision", "task-ended").Str("request", e.Task.Submission).Uint32("step", e.Task.Step).Uint32("task", e.Task.Index).
			Uint32("attempt", e.Attempt).Str("worker", s.incarnation.ID).Str("how", e.Kind.String()).Uint64("number", e.Number).Msg("")
		countEnd(e.Kind)
		l.recordEnd(s.incarnation.ID, e)
		l.commitEnd(s, e.Task, e.Attempt, e.Kind, e.Checkpoint, func(err error) {
			failed = failed || err != nil
			if left--; left > 0 {
				return
			}
			if !failed {
				s.mu.Lock()
				s.seenEnd = max(s.seenEnd, highest)
				s.mu.Unlock()
			}
			done()
		})
	}
}

// commitEnd commits the end of an attempt on the worker of a session.
func (l *Leader) commitEnd(s *session, task submission.Ref, attempt uint32, kind pb.TaskEndKind, checkpoint string, after func(error)) {
	l.queueEnd(endOf(s, task, attempt, kind, checkpoint), after)
}

func endOf(s *session, task submission.Ref, attempt uint32, kind pb.TaskEndKind, checkpoint string) *pb.TaskEnd {
	return &pb.TaskEnd{Task: task.Proto(), Attempt: attempt, Worker: s.incarnation.ID, WorkerBornUnixMs: s.incarnation.BornUnixMs, Kind: kind, Checkpoint: checkpoint}
}

func (l *Leader) queueEnd(end *pb.TaskEnd, after func(error)) {
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_End{End: end}}, func(_ submission.Result, err error) {
		if err == nil {
			l.untrackRun(submission.RefOf(end.GetTask()), end.GetAttempt())
		}
		l.logCommitFailure("task-end", end.GetTask().GetSubmission(), err)
		if after != nil {
			after(err)
		}
	})
}

// silenceTimeout is how long a worker may neither report nor answer a hold before its session is closed.
const silenceTimeout = time.Minute

// closeIfSilent closes the session with a worker that neither reports nor answers. By then its lease has long expired. If
// the same incarnation reports later, a new session is opened.
func (l *Leader) closeIfSilent(s *session, now time.Duration) {
	if now-max(s.reportedAt, s.leaseSnapshot().answeredAt) > silenceTimeout {
		l.log.Warn().Str("event", "worker-silent").Str("worker", s.incarnation.ID).Msg("the worker neither reports nor answers; it is called rarely until it does")
		l.closeSession(s)
		l.addFormer(s.incarnation.ID, now)
	}
}
