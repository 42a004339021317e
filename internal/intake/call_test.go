package intake

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// noAnswer stands for an attempt that fakeLeader executes without answering.
const noAnswer = pb.IntakeResult(-1)

// fakeLeader answers the attempts of all methods for callers with the queued results.
type fakeLeader struct {
	*fleet.Transport
	results chan pb.IntakeResult
}

func newFakeLeader(t *testing.T, port int) *fakeLeader {
	transport, err := fleet.OpenTransport(settingsOf(followerIP, port), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = transport.Close() })
	f := &fakeLeader{transport, make(chan pb.IntakeResult, 3)}
	f.HandleCall(fleet.MethodMembers, func(context.Context, string, []byte) (proto.Message, error) {
		return &pb.MembersAnswer{Members: []string{followerIP}, Leader: followerIP}, nil
	})
	for _, method := range []string{fleet.MethodSubmit, fleet.MethodState, fleet.MethodCancel} {
		f.HandleCall(method, func(ctx context.Context, _ string, _ []byte) (proto.Message, error) {
			result := <-f.results
			if result == noAnswer {
				<-ctx.Done()
				return nil, errs.ErrOutcomeUnknown
			}
			return &pb.IntakeAnswer{Result: result}, nil
		})
	}
	return f
}

// newReadyIntake returns an intake VM that reaches a new fake leader.
func newReadyIntake(t *testing.T) (*Intake, *fakeLeader) {
	port := freePort(t)
	leader := newFakeLeader(t, port)
	i, err := New(settingsOf(intakeIP, port), nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = i.Close() })
	eventually(t, i.Ready)
	return i, leader
}

// Guards against a submission or cancellation that is reported as refused, as with 404 after its queue was removed, although an attempt without
// an answer was executed by an earlier leader.
func TestRequestIsNotRefusedAfterAnAttemptThatMayHaveBeenExecuted(t *testing.T) {
	i, leader := newReadyIntake(t)
	submit := func() (*pb.IntakeAnswer, error) { return i.Submit(t.Context(), &pb.IntakeSubmit{}) }
	cancel := func() (*pb.IntakeAnswer, error) { return i.Cancel(t.Context(), &pb.IntakeLookup{}) }
	refusals := []pb.IntakeResult{pb.IntakeResult_INTAKE_RESULT_NO_QUEUE, pb.IntakeResult_INTAKE_RESULT_NO_CONFIG,
		pb.IntakeResult_INTAKE_RESULT_INVALID, pb.IntakeResult_INTAKE_RESULT_OVERLOADED}
	for name, call := range map[string]func() (*pb.IntakeAnswer, error){"submit": submit, "cancel": cancel} {
		for _, refusal := range refusals {
			for outcome, first := range map[string]pb.IntakeResult{"unknown": pb.IntakeResult_INTAKE_RESULT_UNKNOWN, "no_answer": noAnswer} {
				t.Run(name+"/"+refusal.String()+"/"+outcome, func(t *testing.T) {
					is := is.New(t)
					leader.results <- refusal
					answer, err := call()
					is.NoErr(err)
					is.Equal(answer.GetResult(), refusal)
					leader.results <- first
					leader.results <- refusal
					_, err = call()
					is.True(errors.Is(err, ErrOutcomeUnknown))
				})
			}
		}
	}
}

// Guards against answers that are withheld though they hold whatever became of an earlier attempt: those to reads, and that a submission to be
// cancelled does not exist.
func TestAnswerThatHoldsAfterAnAttemptWithoutAnswerIsReturned(t *testing.T) {
	i, leader := newReadyIntake(t)
	lookup := func() (*pb.IntakeAnswer, error) { return i.Lookup(t.Context(), &pb.IntakeLookup{}) }
	cancel := func() (*pb.IntakeAnswer, error) { return i.Cancel(t.Context(), &pb.IntakeLookup{}) }
	for _, c := range []struct {
		call   func() (*pb.IntakeAnswer, error)
		result pb.IntakeResult
	}{
		{lookup, pb.IntakeResult_INTAKE_RESULT_NO_QUEUE},
		{lookup, pb.IntakeResult_INTAKE_RESULT_NO_SUBMISSION},
		{cancel, pb.IntakeResult_INTAKE_RESULT_NO_SUBMISSION},
	} {
		is := is.New(t)
		leader.results <- pb.IntakeResult_INTAKE_RESULT_UNKNOWN
		leader.results <- c.result
		answer, err := c.call()
		is.NoErr(err)
		is.Equal(answer.GetResult(), c.result)
	}
}
