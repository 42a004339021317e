package leader

import (
	"context"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// session is what the leader keeps of one worker in memory.
type session struct {
	epoch    uint64
	answered time.Time // when the last heartbeat was answered
	// losing is set before the loss of the worker is proposed. From then on no lease is renewed in this epoch.
	losing bool
	// sent holds the fences of commands that were answered, so that a long poll ends early only for new ones.
	sent      map[string]fence
	throttles map[string]Throttle
}

type fence struct {
	op          pb.WorkerOp
	attempt     uint32
	term, index uint64
	share       float64
}

// sessionOf returns the session of a worker in its current epoch, with the lease clock started at the election.
// The caller holds l.mu.
func (l *Leader) sessionOf(w *pb.Worker) *session {
	s := l.sessions[w.GetId()]
	if s == nil || s.epoch < w.GetEpoch() {
		s = &session{epoch: w.GetEpoch(), answered: l.electedAt, sent: map[string]fence{}, throttles: map[string]Throttle{}}
		l.sessions[w.GetId()] = s
	}
	return s
}

func (l *Leader) runClocks(ctx context.Context) {
	l.every(ctx, clockInterval, func() { l.loseSilent(ctx) })
}

// loseSilent proposes the loss of every worker that has been silent for longer than leaseWait.
func (l *Leader) loseSilent(ctx context.Context) {
	var waiting sync.WaitGroup
	workers, term := l.silent(time.Now())
	for _, w := range workers {
		waiting.Go(func() { l.lose(ctx, w, term) })
	}
	waiting.Wait()
}

// lose proposes the loss of a worker, valid in the term in which its lease clock ran out: the proposal may be held up
// until this VM leads again, after another leader has renewed the leases.
func (l *Leader) lose(ctx context.Context, w *pb.Worker, term uint64) {
	l.config.Logger.Warn().Str("domain", l.config.Domain).Str("worker", w.GetId()).Uint64("epoch", w.GetEpoch()).Msg("worker lost")
	_, err := l.proposer.propose(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_WorkerLost{
		WorkerLost: &pb.WorkerLost{Worker: w.GetId(), Epoch: w.GetEpoch(), Term: term}}})
	l.logFailure("lose worker", err)
}

// silent returns the workers whose lease clock has run out, and the term, and stops renewing their leases.
func (l *Leader) silent(now time.Time) ([]*pb.Worker, uint64) {
	workers := l.view().Workers()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return nil, 0
	}
	var lost []*pb.Worker
	for _, w := range workers {
		if w.GetState() == pb.WorkerState_WORKER_STATE_LOST {
			continue
		}
		s := l.sessionOf(w)
		if s.epoch == w.GetEpoch() && now.Sub(s.answered) > l.leaseWait {
			s.losing = true
			lost = append(lost, w)
		}
	}
	return lost, l.term
}

// startSession starts the lease clock of a worker that has just registered.
func (l *Leader) startSession(w *pb.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessionOf(w)
	if s.epoch == w.GetEpoch() {
		s.answered = time.Now()
	}
}
