package relay

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
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
