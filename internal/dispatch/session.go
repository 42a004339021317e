package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// holdWait is how long a worker waits for an end before it answers; the platform allows 2 s.
	holdWait = 1500 * time.Millisecond
	// watchWait is the same while filling tasks run beside endless ones.
	watchWait = 600 * time.Millisecond
	// holdSlack is added to holdWait for the answer to arrive.
	holdSlack = 800 * time.Millisecond
	// holdRetryMin and holdRetryMax bound the pause after a hold without an answer.
	holdRetryMin = 100 * time.Millisecond
	holdRetryMax = 400 * time.Millisecond
	// usableFor is how long after the last answer a worker gets new tasks.
	usableFor = holdWait + 2*holdSlack
)

// session is the leader's contact with one life of a worker.
type session struct {
	life    submission.Incarnation
	address string
	domain  string // failure domain
	cancel  context.CancelFunc

	// Owned by the loop.
	reportedAt time.Duration // when it last reported
	sequence   uint64        // of its last report
	figures    map[submission.Ref]Running
	shares     map[submission.Ref]int           // percent that a filling task may use
	fill       steps.CPUShares                  // shares that filling tasks used in the time that a reading covers
	readAt     time.Duration                    // time of the last reading
	over       map[submission.Ref]time.Duration // since when endless tasks are over their limits
	relievedAt time.Duration                    // when filling tasks were last slowed or sped up

	mu sync.Mutex // guards the fields below, which calls in progress use
	contact
}

// contact is what is known of a worker's clock and lease.
type contact struct {
	// confirmed is true once the list of running tasks was read in this term.
	confirmed bool
	// lost is true once the lease counts as over; none is granted until the worker answers again.
	lost       bool
	answeredAt time.Duration // when the call that was answered last was sent
	clockMs    int64         // last reading of the worker's clock, 0 if none
	clockAt    time.Duration
	granted    int64 // latest lease named in a call, on the worker's clock; 0 if none in this term
	seenEnd    uint64
	// doubtful is true while the last hold had no answer: another life under the same id may answer the next one.
	doubtful bool
	// watched is true while filling tasks run beside endless ones, whose readings must not be late.
	watched bool
}

func (s *session) setWatch(watched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched = watched
}

func (s *session) setDoubtful(doubtful bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubtful = doubtful
}

// seenBy returns the end up to which the worker may forget its ends. The numbers are those of one life, so none is named
// while another life may get the call.
func (c contact) seenBy() uint64 {
	if c.doubtful {
		return 0
	}
	return c.seenEnd
}

func (l *Leader) openSession(w *submission.Worker) *session {
	if old := l.sessions[w.GetId()]; old != nil {
		if old.life == w.Incarnation() {
			return old
		}
		l.noteUnsure(old.life)
		l.closeSession(old)
	}
	ctx, cancel := context.WithCancel(l.ctx)
	s := &session{life: w.Incarnation(), address: w.GetAddress(), domain: w.GetFailureDomain(), cancel: cancel, figures: map[submission.Ref]Running{},
		shares: map[submission.Ref]int{}, fill: steps.CPUShares{}}
	s.reportedAt = l.cfg.Clock()
	l.sessions[w.GetId()] = s
	l.log.Info().Str("event", "session-opened").Str("worker", s.life.ID).Int64("born", s.life.BornUnixMs).Str("address", s.address).Msg("")
	go l.holdLoop(ctx, s, l.term)
	return s
}

func (l *Leader) closeSession(s *session) {
	s.cancel()
	if l.sessions[s.life.ID] == s {
		delete(l.sessions, s.life.ID)
	}
	for ref, r := range l.runs {
		if r.on == s.life {
			delete(l.runs, ref)
		}
	}
}

// noteClock records a reading of the worker's clock that arrived now.
func (s *session) noteClock(clockMs int64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if clockMs > s.clockMs {
		s.clockMs, s.clockAt = clockMs, at
	}
}

// grantFor is the time since the last answer for which leases are granted. A worker that gets calls but whose answers
// are lost must not keep its tasks for ever.
const grantFor = 3 * time.Second

// grant returns the end of a lease of the given length on the worker's clock and records it as granted, or 0 if none
// may be granted. It counts from the last reading of the clock, so that a call which is held up extends nothing.
func (s *session) grant(lease, now time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockMs == 0 || !s.confirmed || s.lost || now-s.answeredAt > grantFor {
		return 0
	}
	until := s.clockMs + lease.Milliseconds()
	s.granted = max(s.granted, until)
	return until
}

// answered records the answer to a hold that was sent at the given time. It returns true if the worker was out of touch.
func (s *session) answered(sent time.Duration, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := !s.confirmed || s.lost
	if !s.confirmed {
		// A former leader may have granted a lease up to now.
		s.granted = max(s.granted, s.clockMs+lease.Milliseconds())
	}
	s.confirmed, s.lost, s.answeredAt = true, false, sent
	return fresh
}

func (s *session) contactNow() contact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contact
}

// holdLoop renews the lease and collects ends until ctx ends. Each answer is handled by the loop before the next call,
// since only committed ends may be forgotten by the worker.
func (l *Leader) holdLoop(ctx context.Context, s *session, term uint64) {
	pause := holdRetryMin
	for ctx.Err() == nil {
		sent := l.cfg.Clock()
		contact := s.contactNow()
		c := HoldCall{Target: Target{Incarnation: s.life, Address: s.address, FailureDomain: s.domain, Fence: term}, SeenEnd: contact.seenBy()}
		if !contact.doubtful {
			c.LeaseUntilMs = s.grant(l.lease, sent)
		}
		switch {
		case c.LeaseUntilMs == 0:
			// The first answer, and the first one after a partition, must come at once.
		case contact.watched:
			c.WaitMs = watchWait.Milliseconds()
		default:
			c.WaitMs = holdWait.Milliseconds()
		}
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitMs)*time.Millisecond+holdSlack)
		answer, err := l.cfg.Caller.Hold(callCtx, c)
		cancel()
		holdSeconds.UpdateDuration(began)
		s.setDoubtful(err != nil)
		if err == nil {
			s.noteClock(answer.ClockMs, l.cfg.Clock())
		}
		handled := make(chan struct{})
		l.post(func() { l.onHold(s, sent, answer, err, func() { close(handled) }) })
		select {
		case <-handled:
		case <-ctx.Done():
			return
		}
		if err == nil {
			pause = holdRetryMin
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = min(2*pause, holdRetryMax)
	}
}

// onHold handles the outcome of a hold. done is called once the next one may be sent.
func (l *Leader) onHold(s *session, sent time.Duration, answer HoldAnswer, err error, done func()) {
	if l.sessions[s.life.ID] != s {
		done()
		return
	}
	if err != nil {
		l.holdFailed(s, err)
		done()
		return
	}
	if answer.BornUnixMs != 0 && answer.BornUnixMs != s.life.BornUnixMs {
		l.noteUnsure(s.life)
		l.otherLife(s, "hold")
		done()
		return
	}
	if s.answered(sent, l.lease) {
		l.log.Info().Str("event", "worker-confirmed").Str("worker", s.life.ID).Int("running", len(answer.Running)).Int("ended", len(answer.Ended)).Msg("")
	}
	l.noteEnds(s, answer, done)
	l.reconcile(s, sent, answer)
	l.dirty = true
}

func (l *Leader) holdFailed(s *session, err error) {
	switch {
	case errors.Is(err, ErrFenced):
		l.log.Warn().Str("event", "fenced").Str("worker", s.life.ID).Uint64("term", l.term).Msg("a newer leader has called the worker")
		l.end()
	case errors.Is(err, ErrOtherIncarnation):
		l.otherLife(s, "hold")
	case l.ctx.Err() == nil:
		countCallError("hold")
		l.log.Warn().Str("event", "hold-failed").Str("worker", s.life.ID).Err(err).Msg("")
	}
}

// otherLife notes that the life of a session is over.
func (l *Leader) otherLife(s *session, source string) {
	l.log.Info().Str("event", "worker-replaced").Str("worker", s.life.ID).Str("source", source).Msg("the life of the worker is over")
	l.workerGone(s.life)
	l.closeSession(s)
}

func (l *Leader) workerGone(life submission.Incarnation) {
	change := &pb.SubmissionChange{Change: &pb.SubmissionChange_Gone{Gone: &pb.WorkerGone{Id: life.ID, BornUnixMs: life.BornUnixMs}}}
	l.change(change, func(_ submission.Result, err error) { l.logFailed("worker-gone", life.ID, err) })
}

func (l *Leader) logFailed(what, id string, err error) {
	if err != nil && l.leads() {
		l.log.Warn().Str("event", "commit-failed").Str("change", what).Str("id", id).Err(err).Msg("")
	}
}

// noteEnds commits the ends that a worker lists, and lets it forget them afterwards.
func (l *Leader) noteEnds(s *session, answer HoldAnswer, done func()) {
	if len(answer.Ended) == 0 {
		done()
		return
	}
	left := len(answer.Ended)
	highest, failed := uint64(0), false
	for _, e := range answer.Ended {
		highest = max(highest, e.Number)
		l.log.Info().Str("decision", "task-ended").Str("request", e.Task.Submission).Uint32("step", e.Task.Step).Uint32("task", e.Task.Index).
			Uint32("attempt", e.Attempt).Str("worker", s.life.ID).Str("how", e.Kind.String()).Uint64("number", e.Number).Msg("")
		countEnd(e.Kind)
		l.noteQuality(s.life.ID, e)
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
	end := &pb.TaskEnd{Task: task.Proto(), Attempt: attempt, Worker: s.life.ID, WorkerBornUnixMs: s.life.BornUnixMs, Kind: kind, Checkpoint: checkpoint}
	l.change(&pb.SubmissionChange{Change: &pb.SubmissionChange_End{End: end}}, func(_ submission.Result, err error) {
		if err == nil {
			l.forgetRun(task, attempt)
		}
		l.logFailed("task-end", task.Submission, err)
		if after != nil {
			after(err)
		}
	})
}

// leaseOver returns when the lease of everything on the worker is certainly over.
func (l *Leader) leaseOver(c contact) time.Duration {
	slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - clockDrift)) }
	if !c.confirmed {
		// A former leader granted leases no later than it noticed the end of its term.
		return l.since + formerLeader + slow(l.lease) + leaseMargin
	}
	rest := time.Duration(max(0, c.granted-c.clockMs)) * time.Millisecond
	return c.clockAt + slow(rest) + leaseMargin
}

// formerLeader is the time for which a leader that lost its quorum may go on: its election timeout, twice.
const formerLeader = 1200 * time.Millisecond

// checkLease takes back the tasks of a worker whose lease is over, and forgets one that has been silent for long.
func (l *Leader) checkLease(s *session, now time.Duration) {
	s.mu.Lock()
	over := !s.lost && now >= l.leaseOver(s.contact)
	s.lost = s.lost || over
	answeredAt := s.answeredAt
	s.mu.Unlock()
	if !over {
		return
	}
	var lost []submission.Ref
	var attempts []uint32
	l.cfg.State.View(func(state *submission.State) {
		if w := state.Workers()[s.life.ID]; w != nil && w.Incarnation() == s.life {
			for ref, attempt := range w.Attempts {
				lost, attempts = append(lost, ref), append(attempts, attempt)
			}
		}
	})
	leasesOverTotal.Inc()
	l.log.Warn().Str("event", "lease-over").Str("worker", s.life.ID).Int("tasks", len(lost)).
		Dur("silent_ms", now-answeredAt).Msg("the worker was not reached until its lease was over; its tasks are placed elsewhere")
	for i, ref := range lost {
		l.commitEnd(s, ref, attempts[i], pb.TaskEndKind_TASK_END_KIND_LOST, s.figures[ref].Checkpoint, nil)
	}
}

// silentFor is how long after its last sign of life a worker is called no more.
const silentFor = time.Minute

// checkSilence ends the session with a worker that neither reports nor answers. Its lease has been over for long; a later
// report of the same life opens a new session.
func (l *Leader) checkSilence(s *session, now time.Duration) {
	if now-max(s.reportedAt, s.contactNow().answeredAt) > silentFor {
		l.log.Warn().Str("event", "worker-silent").Str("worker", s.life.ID).Msg("the worker is called no more until it reports again")
		l.closeSession(s)
	}
}

// usable reports whether the worker of a session may get new tasks.
func (l *Leader) usable(s *session, now time.Duration) bool {
	c := s.contactNow()
	return c.confirmed && !c.lost && now-c.answeredAt < usableFor
}
