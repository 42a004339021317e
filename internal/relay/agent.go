package relay

import (
	"context"
	"time"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// defaultTimeout bounds a call that states no timeout.
const defaultTimeout = time.Second

// handleCall makes a call to a worker for another VM and sends the answer back. A call whose timeout has expired, for
// instance because this VM was suspended, is dropped: it could undo a later call, or start a task at the next incarnation of its worker.
func (r *Relay) handleCall(from string, c *pb.RelayCall, receivedAt time.Duration) {
	timeout := defaultTimeout
	if c.GetTimeoutMs() > 0 {
		timeout = time.Duration(c.GetTimeoutMs()) * time.Millisecond
	}
	remaining := receivedAt + timeout - r.cfg.Clock()
	if remaining <= 0 || c.GetUntilMs() > 0 && r.ClockMs() > c.GetUntilMs() {
		expiredTotal.Inc()
		return
	}
	executedTotal.Inc()
	ctx, cancel := context.WithTimeout(r.ctx, max(remaining-answerMargin, remaining/2))
	defer cancel()
	answer := r.execute(ctx, c)
	answer.Id, answer.Process = c.GetId(), c.GetProcess()
	r.enqueue(from, nil, answer)
}

// execute makes the call to the worker with the local caller.
func (r *Relay) execute(ctx context.Context, c *pb.RelayCall) *pb.RelayAnswer {
	target := dispatch.Target{Incarnation: submission.Incarnation{ID: c.GetWorker(), BornUnixMs: c.GetWorkerBornUnixMs()}, Address: c.GetAddress(), Fence: c.GetFence()}
	var clock int64
	var err error
	switch call := c.GetCall().(type) {
	case *pb.RelayCall_Start:
		s := call.Start
		clock, err = r.cfg.Local.Start(ctx, dispatch.StartCall{Target: target, Task: submission.RefOf(s.GetTask()), Attempt: s.GetAttempt(),
			Payload: s.GetPayload(), Checkpoint: s.GetCheckpoint(), LeaseUntilMs: s.GetLeaseUntilMs(), Ticket: s.GetTicket()})
	case *pb.RelayCall_Stop:
		clock, err = r.cfg.Local.Stop(ctx, dispatch.StopCall{Target: target, Task: submission.RefOf(call.Stop.GetTask()), Attempt: call.Stop.GetAttempt()})
	case *pb.RelayCall_Throttle:
		t := call.Throttle
		clock, err = r.cfg.Local.Throttle(ctx, dispatch.ThrottleCall{Target: target, Task: submission.RefOf(t.GetTask()), Attempt: t.GetAttempt(), Percent: int(t.GetPercent())})
	case *pb.RelayCall_Hold:
		h := call.Hold
		answer, err := r.cfg.Local.Hold(ctx, dispatch.HoldCall{Target: target, LeaseUntilMs: h.GetLeaseUntilMs(), SeenEnd: h.GetSeenEnd(), WaitMs: int64(h.GetWaitMs())})
		return encodeHoldAnswer(answer, err)
	default:
		err = dispatch.ErrMalformed
	}
	answer := answerForError(err)
	answer.ClockMs = clock
	return answer
}
