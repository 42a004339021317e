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

// Register starts a new session of a worker and returns its epoch. If the request's known_epoch is out of date, the
// answer has epoch 0 and carries the known_epoch to send with the next attempt.
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

// Heartbeat commits the reports of a worker and answers with commands. The answer renews the worker's leases, so it is
// sent only after a quorum round that began after the heartbeat arrived has confirmed leadership.
func (l *Leader) Heartbeat(ctx context.Context, heartbeat *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error) {
	if !l.isLeading() {
		return nil, ErrNotLeading
	}
	l.plannerInbox.addUsage(heartbeat)
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
	if err := l.longPoll(ctx, heartbeat); err != nil {
		return nil, err
	}
	return l.renewLeases(heartbeat)
}

// sessionIsCurrent reports whether the epoch of the heartbeat is the worker's current one and the worker is neither
// lost nor about to be declared lost.
func (l *Leader) sessionIsCurrent(heartbeat *pb.WorkerHeartbeat) bool {
	w := l.view().Worker(heartbeat.GetWorker())
	if w == nil || w.GetEpoch() != heartbeat.GetEpoch() || w.GetState() == pb.WorkerState_WORKER_STATE_LOST {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessionOf(w)
	return s.epoch == heartbeat.GetEpoch() && !s.expired
}

// commitReports commits the reports of a heartbeat before they are acknowledged. It also commits a hold for each
// attempt that the worker still runs although the replicated state has freed its capacity.
func (l *Leader) commitReports(ctx context.Context, heartbeat *pb.WorkerHeartbeat) (registerAgain bool, err error) {
	if len(heartbeat.GetReports()) > 0 {
		again, err := l.commitForWorker(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_ReportAttempts{ReportAttempts: &pb.ReportAttempts{
			Worker: heartbeat.GetWorker(), Epoch: heartbeat.GetEpoch(), Reports: heartbeat.GetReports()}}})
		if again || err != nil {
			return again, err
		}
	}
	unexpected := l.unexpectedAttempts(heartbeat)
	if len(unexpected) == 0 {
		return false, nil
	}
	return l.commitForWorker(ctx, &pb.DomainCommand{Command: &pb.DomainCommand_HoldAttempts{HoldAttempts: &pb.HoldAttempts{
		Worker: heartbeat.GetWorker(), Epoch: heartbeat.GetEpoch(), Attempts: unexpected}}})
}

// commitForWorker commits a command of a worker's session. registerAgain is set if the session is no longer valid.
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

// unexpectedAttempts returns the attempts that a worker runs although the replicated state has closed them and holds no
// capacity for them.
func (l *Leader) unexpectedAttempts(heartbeat *pb.WorkerHeartbeat) []*pb.AttemptRef {
	ended := map[string]uint32{}
	for _, r := range heartbeat.GetReports() {
		if domain.EndsAttempt(r.GetEvent()) {
			ended[r.GetTask()] = r.GetAttempt()
		}
	}
	var refs []*pb.AttemptRef
	for _, ref := range heartbeat.GetRunning() {
		if ended[ref.GetTask()] != ref.GetAttempt() && !l.isExpected(heartbeat.GetWorker(), ref) {
			refs = append(refs, ref)
		}
	}
	return refs
}

// isExpected reports whether the attempt is assigned to the worker or holds capacity there.
func (l *Leader) isExpected(workerID string, ref *pb.AttemptRef) bool {
	if assignedTo(l.view().Task(ref.GetTask()), workerID, ref.GetAttempt()) {
		return true
	}
	return slices.ContainsFunc(l.view().Held(workerID), func(held *pb.AttemptRef) bool {
		return held.GetTask() == ref.GetTask() && held.GetAttempt() == ref.GetAttempt()
	})
}

// longPoll blocks until there is a new command for the worker, the requested wait is over or leadership ends.
func (l *Leader) longPoll(ctx context.Context, heartbeat *pb.WorkerHeartbeat) error {
	wait := min(time.Duration(heartbeat.GetWaitMs())*time.Millisecond, maxLongPoll)
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

// addPoller registers a long poll of a worker and wakes the worker's previous one, if any.
func (l *Leader) addPoller(workerID string) chan struct{} {
	wake := make(chan struct{}, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if previous := l.pollers[workerID]; previous != nil {
		signal(previous)
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

// hasNewCommand reports whether there is a command that the last answer did not contain.
func (l *Leader) hasNewCommand(heartbeat *pb.WorkerHeartbeat) bool {
	commands := l.commandsFor(heartbeat)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[heartbeat.GetWorker()]
	if s == nil || s.epoch != heartbeat.GetEpoch() {
		return true // the answer tells the worker to register again
	}
	for _, c := range commands {
		if s.sent[c.GetTask()] != fingerprintOf(c) {
			return true
		}
	}
	return false
}

func fingerprintOf(c *pb.WorkerCommand) commandFingerprint {
	return commandFingerprint{c.GetOp(), c.GetAttempt(), c.GetTerm(), c.GetIndex(), c.GetShare()}
}

// renewLeases restarts the worker's lease timer and returns the answer that renews its leases. It tells the worker to
// register again if the session has changed or the worker is about to be declared lost.
func (l *Leader) renewLeases(heartbeat *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error) {
	commands := l.commandsFor(heartbeat)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return nil, ErrNotLeading
	}
	s := l.sessions[heartbeat.GetWorker()]
	if s == nil || s.epoch != heartbeat.GetEpoch() || s.expired {
		return &pb.WorkerHeartbeatAnswer{RegisterAgain: true}, nil
	}
	s.renewedAt = time.Now()
	s.sent = make(map[string]commandFingerprint, len(commands))
	for _, c := range commands {
		s.sent[c.GetTask()] = fingerprintOf(c)
	}
	term, index := l.view().Applied()
	return &pb.WorkerHeartbeatAnswer{LeaseMs: l.config.AttemptLease.Milliseconds(), Commands: commands,
		ReportsCommitted: len(heartbeat.GetReports()) > 0, Term: term, Index: index}, nil
}
