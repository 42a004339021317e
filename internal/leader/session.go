package leader

import (
	"context"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// session is the leader's in-memory state of one worker in one epoch. It is not replicated.
type session struct {
	epoch     uint64
	renewedAt time.Time // start of the lease timer: the last renewal, registration or change of leadership
	// expired is set before the worker is proposed as lost. From then on no lease is renewed in this epoch.
	expired bool
	// sent holds the commands of the last answer by task id, so that a long poll ends early only for new commands.
	sent      map[string]commandFingerprint
	throttles map[string]Throttle // by task id
}

// commandFingerprint identifies a command for a task, to tell a new command from a repeated one.
type commandFingerprint struct {
	op          pb.WorkerOp
	attempt     uint32
	term, index uint64
	share       float64
}

// sessionOf returns the session of a worker. If there is none in the worker's epoch, it creates one, whose lease timer
// counts from the last change of leadership. The caller holds l.mu.
func (l *Leader) sessionOf(w *pb.Worker) *session {
	s := l.sessions[w.GetId()]
	if s == nil || s.epoch < w.GetEpoch() {
		s = &session{epoch: w.GetEpoch(), renewedAt: l.roleChangedAt, sent: map[string]commandFingerprint{}, throttles: map[string]Throttle{}}
		l.sessions[w.GetId()] = s
	}
	return s
}

func (l *Leader) runLeaseChecks(ctx context.Context) {
	l.everyInterval(ctx, leaseCheckInterval, func() { l.expireSilentWorkers(ctx) })
}

// expireSilentWorkers proposes every worker that has been silent for longer than leaseWait as lost.
func (l *Leader) expireSilentWorkers(ctx context.Context) {
	var proposals sync.WaitGroup
	workers, term := l.takeSilentWorkers(time.Now())
	for _, w := range workers {
		proposals.Go(func() { l.proposeLost(ctx, w, term) })
	}
	proposals.Wait()
}

// proposeLost proposes that a worker is marked as lost. The command is valid only in the term in which the lease timer
// ran out: the proposal may be delayed until this VM leads again, and another leader may have renewed the leases
// meanwhile.
func (l *Leader) proposeLost(ctx context.Context, w *pb.Worker, term uint64) {
	l.config.Logger.Warn().Str("domain", l.config.Domain).Str("worker", w.GetId()).Uint64("epoch", w.GetEpoch()).Msg("lease of worker expired, proposing worker as lost")
	_, err := l.proposer.propose(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_WorkerLost{
		WorkerLost: &pb.WorkerLost{Worker: w.GetId(), Epoch: w.GetEpoch(), Term: term}}})
	l.logFailure("lose worker", err)
}

// takeSilentWorkers returns the workers whose lease timer has run out, and the current term. It marks their sessions as
// expired, so that their leases are no longer renewed.
func (l *Leader) takeSilentWorkers(now time.Time) ([]*pb.Worker, uint64) {
	workers := l.view().Workers()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return nil, 0
	}
	var silent []*pb.Worker
	for _, w := range workers {
		if w.GetState() == pb.WorkerState_WORKER_STATE_LOST {
			continue
		}
		s := l.sessionOf(w)
		if s.epoch == w.GetEpoch() && now.Sub(s.renewedAt) > l.leaseWait {
			s.expired = true
			silent = append(silent, w)
		}
	}
	return silent, l.term
}

// startSession starts the lease timer of a worker that has just registered.
func (l *Leader) startSession(w *pb.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessionOf(w)
	if s.epoch == w.GetEpoch() {
		s.renewedAt = time.Now()
	}
}
