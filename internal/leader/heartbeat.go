package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Register gives a worker a new session epoch. An answer with epoch 0 names the epoch to send as known_epoch.
func (l *Leader) Register(ctx context.Context, request *pb.RegisterWorkerRequest) (*pb.RegisterWorkerAnswer, error) {
	if !l.isLeading() {
		return nil, ErrNotLeading
	}
	if d := request.GetWorker().GetFailureDomain(); d != l.config.Domain {
		return nil, errs.ErrInvalid.With("worker %s is in failure domain %q, not %q", request.GetWorker().GetId(), d, l.config.Domain)
	}
	result, err := l.proposer.propose(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_RegisterWorker{RegisterWorker: &pb.RegisterWorker{
		Worker: request.GetWorker(), KnownEpoch: request.GetKnownEpoch(), Known: request.GetKnown()}}})
	if err != nil {
		return nil, err
	}
	answer := &pb.RegisterWorkerAnswer{LeaseMs: l.config.AttemptLease.Milliseconds(),
		HeartbeatIntervalMs: l.config.HeartbeatInterval.Milliseconds(), EntryVms: l.entryVMs()}
	if result.Err != nil {
		if !errors.Is(result.Err, domain.ErrStaleEpoch) {
			return nil, result.Err
		}
		answer.KnownEpoch = result.Worker.GetEpoch()
		return answer, nil
	}
	l.startSession(result.Worker)
	answer.Epoch = result.Worker.GetEpoch()
	return answer, nil
}

func (l *Leader) entryVMs() []string {
	if l.config.EntryVMs == nil {
		return nil
	}
	return l.config.EntryVMs()
}

// Heartbeat commits the reports of a worker and answers with commands. The answer renews leases, so it is given only
// after leadership was confirmed by a quorum round that began after the heartbeat arrived.
func (l *Leader) Heartbeat(ctx context.Context, heartbeat *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error) {
	if !l.isLeading() {
		return nil, ErrNotLeading
	}
	l.planned.observe(heartbeat)
	if err := l.barriers.wait(ctx); err != nil {
		return nil, err
	}
	if !l.sessionIsCurrent(heartbeat) {
		return &pb.WorkerHeartbeatAnswer{RegisterAgain: true}, nil
	}
	again, err := l.commitReports(ctx, heartbeat)
	if err != nil {
		return nil, err
	}
	if again {
		return &pb.WorkerHeartbeatAnswer{RegisterAgain: true}, nil
	}
	if err := l.poll(ctx, heartbeat); err != nil {
		return nil, err
	}
	return l.answer(heartbeat)
}

// sessionIsCurrent reports whether the worker is registered in the epoch of the heartbeat and is not being lost.
func (l *Leader) sessionIsCurrent(heartbeat *pb.WorkerHeartbeat) bool {
	w := l.view().Worker(heartbeat.GetWorker())
	if w == nil || w.GetEpoch() != heartbeat.GetEpoch() || w.GetState() == pb.WorkerState_WORKER_STATE_LOST {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessionOf(w)
	return s.epoch == heartbeat.GetEpoch() && !s.losing
}

// commitReports commits reports and attempts that the state takes to be gone, before they are acknowledged.
func (l *Leader) commitReports(ctx context.Context, heartbeat *pb.WorkerHeartbeat) (registerAgain bool, err error) {
	if len(heartbeat.GetReports()) > 0 {
		again, err := l.commitForWorker(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_ReportAttempts{ReportAttempts: &pb.ReportAttempts{
			Worker: heartbeat.GetWorker(), Epoch: heartbeat.GetEpoch(), Reports: heartbeat.GetReports()}}})
		if again || err != nil {
			return again, err
		}
	}
	unexpected := l.unexpected(heartbeat)
	if len(unexpected) == 0 {
		return false, nil
	}
	return l.commitForWorker(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_HoldAttempts{HoldAttempts: &pb.HoldAttempts{
		Worker: heartbeat.GetWorker(), Epoch: heartbeat.GetEpoch(), Attempts: unexpected}}})
}

func (l *Leader) commitForWorker(ctx context.Context, command *pb.DomainCommand) (registerAgain bool, err error) {
	result, err := l.proposer.propose(ctx, command)
	if err != nil {
		return false, err
	}
	if result.Err == nil {
		return false, nil
	}
	if errors.Is(result.Err, domain.ErrStaleEpoch) || errors.Is(result.Err, errs.ErrNotFound) {
		return true, nil
	}
	return false, result.Err
}

// unexpected returns the attempts that a worker runs although they are closed and not yet held.
func (l *Leader) unexpected(heartbeat *pb.WorkerHeartbeat) []*pb.AttemptRef {
	ended := map[string]uint32{}
	for _, r := range heartbeat.GetReports() {
		if domain.Gone(r.GetEvent()) {
			ended[r.GetTask()] = r.GetAttempt()
		}
	}
	var refs []*pb.AttemptRef
	for _, ref := range heartbeat.GetRunning() {
		if ended[ref.GetTask()] != ref.GetAttempt() && !l.expected(heartbeat.GetWorker(), ref) {
			refs = append(refs, ref)
		}
	}
	return refs
}

func (l *Leader) expected(workerID string, ref *pb.AttemptRef) bool {
	if assignedTo(l.view().Task(ref.GetTask()), workerID, ref.GetAttempt()) {
		return true
	}
	return slices.ContainsFunc(l.view().Held(workerID), func(held *pb.AttemptRef) bool {
		return held.GetTask() == ref.GetTask() && held.GetAttempt() == ref.GetAttempt()
	})
}

// poll holds the answer back until there is a new command, the asked time is over or leadership ends.
func (l *Leader) poll(ctx context.Context, heartbeat *pb.WorkerHeartbeat) error {
	wait := min(time.Duration(heartbeat.GetWaitMs())*time.Millisecond, maxPoll)
	if wait <= 0 || len(heartbeat.GetReports()) > 0 {
		return nil // reports are acknowledged at once
	}
	wake := l.addPoller(heartbeat.GetWorker())
	defer l.removePoller(heartbeat.GetWorker(), wake)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for l.isLeading() && !l.hasNewCommand(heartbeat) {
		select {
		case <-wake:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (l *Leader) addPoller(workerID string) chan struct{} {
	wake := make(chan struct{}, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if former := l.pollers[workerID]; former != nil {
		signal(former)
	}
	l.pollers[workerID] = wake
	return wake
}

func (l *Leader) removePoller(workerID string, wake chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pollers[workerID] == wake {
		delete(l.pollers, workerID)
	}
}

func (l *Leader) hasNewCommand(heartbeat *pb.WorkerHeartbeat) bool {
	commands := l.commands(heartbeat)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[heartbeat.GetWorker()]
	if s == nil || s.epoch != heartbeat.GetEpoch() {
		return true // the answer asks for a registration
	}
	for _, c := range commands {
		if s.sent[c.GetTask()] != fenceOf(c) {
			return true
		}
	}
	return false
}

func fenceOf(c *pb.WorkerCommand) fence {
	return fence{c.GetOp(), c.GetAttempt(), c.GetTerm(), c.GetIndex(), c.GetShare()}
}

// answer starts the lease clock anew and renews the leases, unless the loss of the worker is already under way.
func (l *Leader) answer(heartbeat *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error) {
	commands := l.commands(heartbeat)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return nil, ErrNotLeading
	}
	s := l.sessions[heartbeat.GetWorker()]
	if s == nil || s.epoch != heartbeat.GetEpoch() || s.losing {
		return &pb.WorkerHeartbeatAnswer{RegisterAgain: true}, nil
	}
	s.answered = time.Now()
	s.sent = make(map[string]fence, len(commands))
	for _, c := range commands {
		s.sent[c.GetTask()] = fenceOf(c)
	}
	term, index := l.view().Applied()
	return &pb.WorkerHeartbeatAnswer{LeaseMs: l.config.AttemptLease.Milliseconds(), Commands: commands,
		ReportsCommitted: len(heartbeat.GetReports()) > 0, Term: term, Index: index}, nil
}
