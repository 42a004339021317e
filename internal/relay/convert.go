package relay

import (
	"errors"
	"fmt"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// outcomes are the errors of a Caller.
var outcomes = map[pb.RelayOutcome]error{
	pb.RelayOutcome_RELAY_OUTCOME_NO_ANSWER:   dispatch.ErrNoAnswer,
	pb.RelayOutcome_RELAY_OUTCOME_FENCED:      dispatch.ErrFenced,
	pb.RelayOutcome_RELAY_OUTCOME_OLD_ATTEMPT: dispatch.ErrOldAttempt,
	pb.RelayOutcome_RELAY_OUTCOME_LEASE_OVER:  dispatch.ErrLeaseOver,
	pb.RelayOutcome_RELAY_OUTCOME_NO_ROOM:     dispatch.ErrNoRoom,
	pb.RelayOutcome_RELAY_OUTCOME_NO_TICKET:   dispatch.ErrNoTicket,
	pb.RelayOutcome_RELAY_OUTCOME_UNWELL:      dispatch.ErrUnavailable,
	pb.RelayOutcome_RELAY_OUTCOME_OTHER_LIFE:  dispatch.ErrOtherIncarnation,
	pb.RelayOutcome_RELAY_OUTCOME_MALFORMED:   dispatch.ErrMalformed,
}

// answerOf returns an answer with the outcome that an error stands for. An unknown error means that the call may have
// been carried out.
func answerOf(err error) *pb.RelayAnswer {
	if err == nil {
		return &pb.RelayAnswer{}
	}
	a := &pb.RelayAnswer{Outcome: pb.RelayOutcome_RELAY_OUTCOME_NO_ANSWER, Message: err.Error()}
	for outcome, known := range outcomes {
		if errors.Is(err, known) {
			a.Outcome = outcome
		}
	}
	return a
}

func errorOf(a *pb.RelayAnswer) error {
	if a.GetOutcome() == pb.RelayOutcome_RELAY_OUTCOME_OK {
		return nil
	}
	known, ok := outcomes[a.GetOutcome()]
	if !ok {
		known = dispatch.ErrNoAnswer // of a later version
	}
	return fmt.Errorf("%w (%s)", known, a.GetMessage())
}

func answerToHold(answer dispatch.HoldAnswer, err error) *pb.RelayAnswer {
	a := answerOf(err)
	a.ClockMs, a.WorkerBornUnixMs = answer.ClockMs, answer.BornUnixMs
	for _, running := range answer.Running {
		a.Running = append(a.Running, &pb.RelayRunning{Task: running.Task.Proto(), Attempt: running.Attempt, Checkpoint: running.Checkpoint,
			Percent: running.Percent, Figure: running.Figure})
	}
	for _, e := range answer.Ended {
		a.Ended = append(a.Ended, &pb.RelayEnded{Number: e.Number, Task: e.Task.Proto(), Attempt: e.Attempt, Kind: e.Kind, Checkpoint: e.Checkpoint})
	}
	return a
}

func holdAnswerOf(a *pb.RelayAnswer) dispatch.HoldAnswer {
	answer := dispatch.HoldAnswer{ClockMs: a.GetClockMs(), BornUnixMs: a.GetWorkerBornUnixMs()}
	for _, running := range a.GetRunning() {
		answer.Running = append(answer.Running, dispatch.Running{Task: submission.RefOf(running.GetTask()), Attempt: running.GetAttempt(),
			Checkpoint: running.GetCheckpoint(), Percent: running.GetPercent(), Figure: running.GetFigure()})
	}
	for _, e := range a.GetEnded() {
		answer.Ended = append(answer.Ended, dispatch.Ended{Number: e.GetNumber(), Task: submission.RefOf(e.GetTask()), Attempt: e.GetAttempt(),
			Kind: e.GetKind(), Checkpoint: e.GetCheckpoint()})
	}
	return answer
}
