package relay

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against an error that changes its kind on the way from an agent to the leader, now or by chance.
func TestOutcomesKeepTheirKind(t *testing.T) {
	is := is.New(t)
	for _, sent := range outcomeErrors {
		for range 20 { // the order of a map differs from call to call
			received := errorFromAnswer(answerForError(fmt.Errorf("call: %w", sent)))
			for _, known := range outcomeErrors {
				is.Equal(errors.Is(received, known), errors.Is(sent, known))
			}
		}
	}
}

// Guards against an outcome or a call of a newer version that counts as done, or that ends a process.
func TestMessagesOfNewerVersionsAreNoFault(t *testing.T) {
	is := is.New(t)
	err := errorFromAnswer(&pb.RelayAnswer{Outcome: 99})
	is.True(errors.Is(err, dispatch.ErrNoAnswer)) // it may have been carried out
	n, leader, leaderCaller, _ := newLeaderAndAgent(t)
	defer n.close()
	answer := leader.execute(t.Context(), &pb.RelayCall{})
	is.True(errors.Is(errorFromAnswer(answer), dispatch.ErrMalformed))
	for _, payload := range []string{"", "\x00", "\xff\xff\xff", "\xfa\x3e\x03new"} { // the last one has an unknown field
		leader.Handle("agent", []byte(payload))
	}
	is.Equal(len(leaderCaller.recorded()), 0)
}

// Guards against an incomplete list of a worker that counts as complete because another VM made the hold.
func TestRelayedAnswerTellsThatItIsIncomplete(t *testing.T) {
	is := is.New(t)
	for _, answer := range []dispatch.HoldAnswer{{}, {MayLackEnds: true}, {HasUnreadable: true}} {
		is.Equal(decodeHoldAnswer(encodeHoldAnswer(answer, nil)), answer)
	}
}
