package relay

import (
	"errors"
	"fmt"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// outcomeErrors maps the outcomes in relayed answers to the errors of a dispatch.Caller.
var outcomeErrors = map[pb.RelayOutcome]error{
	pb.RelayOutcome_RELAY_OUTCOME_NO_ANSWER:          dispatch.ErrNoAnswer,
	pb.RelayOutcome_RELAY_OUTCOME_FENCED:             dispatch.ErrFenced,
	pb.RelayOutcome_RELAY_OUTCOME_OLD_ATTEMPT:        dispatch.ErrOldAttempt,
	pb.RelayOutcome_RELAY_OUTCOME_LEASE_OVER:         dispatch.ErrLeaseOver,
	pb.RelayOutcome_RELAY_OUTCOME_NO_ROOM:            dispatch.ErrNoRoom,
	pb.RelayOutcome_RELAY_OUTCOME_NO_TICKET:          dispatch.ErrNoTicket,
	pb.RelayOutcome_RELAY_OUTCOME_UNWELL:             dispatch.ErrUnavailable,
	pb.RelayOutcome_RELAY_OUTCOME_OTHER_LIFE:         dispatch.ErrOtherIncarnation,
	pb.RelayOutcome_RELAY_OUTCOME_MALFORMED:          dispatch.ErrMalformed,
	pb.RelayOutcome_RELAY_OUTCOME_CONNECTION_REFUSED: dispatch.ErrConnectionRefused,
	pb.RelayOutcome_RELAY_OUTCOME_CONNECTION_BROKEN:  dispatch.ErrConnectionBroken,
}

// answerForError returns an answer with the outcome for an error of a dispatch.Caller. Any other error becomes
// RELAY_OUTCOME_NO_ANSWER: the call may have been executed.
func answerForError(err error) *pb.RelayAnswer {
	if err == nil {
		return &pb.RelayAnswer{}
	}
	a := &pb.RelayAnswer{Outcome: pb.RelayOutcome_RELAY_OUTCOME_NO_ANSWER, Message: err.Error()}
	for outcome, known := range outcomeErrors {
		if errors.Is(err, known) && !errors.Is(outcomeErrors[a.Outcome], known) { // some wrap others
			a.Outcome = outcome
		}
	}
	return a
}

// errorFromAnswer returns the error for the outcome of an answer. It is the inverse of answerForError.
func errorFromAnswer(a *pb.RelayAnswer) error {
	if a.GetOutcome() == pb.RelayOutcome_RELAY_OUTCOME_OK {
		return nil
	}
	known, ok := outcomeErrors[a.GetOutcome()]
	if !ok {
		known = dispatch.ErrNoAnswer // an outcome of a newer version
	}
	return fmt.Errorf("%w (%s)", known, a.GetMessage())
}

func encodeHoldAnswer(answer dispatch.HoldAnswer, err error) *pb.RelayAnswer {
	a := answerForError(err)
	a.ClockMs, a.WorkerBornUnixMs, a.MayLackEnds, a.HasUnreadable = answer.ClockMs, answer.BornUnixMs, answer.MayLackEnds, answer.HasUnreadable
	for _, running := range answer.Running {
		a.Running = append(a.Running, &pb.RelayRunning{Task: running.Task.Proto(), Attempt: running.Attempt, Checkpoint: running.Checkpoint,
			Percent: running.Percent, Figure: running.Figure})
	}
	for _, e := range answer.Ended {
		a.Ended = append(a.Ended, &pb.RelayEnded{Number: e.Number, Task: e.Task.Proto(), Attempt: e.Attempt, Kind: e.Kind, Checkpoint: e.Checkpoint})
	}
	return a
}

func decodeHoldAnswer(a *pb.RelayAnswer) dispatch.HoldAnswer {
	answer := dispatch.HoldAnswer{ClockMs: a.GetClockMs(), BornUnixMs: a.GetWorkerBornUnixMs(), MayLackEnds: a.GetMayLackEnds(), HasUnreadable: a.GetHasUnreadable()}
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
