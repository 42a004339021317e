package emulator

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against a caller that starts as the run ends and cancels a submission that it has never sent: the checker does not
// know the submission (a nil pointer panic ended the whole test binary).
func TestCallerThatStartsAfterTheEndOfTheRunSendsNothing(t *testing.T) {
	is := is.New(t)
	l := newLoadGenerator(&Deployment{checker: NewChecker()}, 1)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c := &caller{generator: l, queue: queues()[0], spec: &pb.SubmissionSpec{Id: "late"}, willCancel: true}
	c.run(ended)
	is.Equal(l.checker.Stats(), Stats{})
	is.Equal(len(l.polls), 0) // no poll may ask for it later either
}
