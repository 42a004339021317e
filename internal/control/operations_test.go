package control

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// applyTo applies a change to a state like a committed entry.
func applyTo(t *testing.T, state *submission.State, change *pb.SubmissionChange) {
	t.Helper()
	entry, err := proto.Marshal(&pb.SubmissionEntry{Changes: []*pb.SubmissionChange{change}})
	if err != nil {
		t.Fatal(err)
	}
	state.Apply(1, 1, entry)
}

// Guards against a cancellation that times out on slow disks though its submission has ended, and against one that is acknowledged without effect.
func TestOnlyCancellationsOfEndedSubmissionsNeedNoLogEntry(t *testing.T) {
	is := is.New(t)
	c := &Control{state: submission.New(1000, nil)}
	apply := func(change *pb.SubmissionChange) { applyTo(t, c.state, change) }
	apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 1,
		Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool", Attempts: 1, Stretch: 1, TimeoutMs: 1}}, Pools: []*pb.Pool{{Name: "pool"}}}}})
	is.True(!c.hasEnded("s")) // unknown
	apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{Queue: "h /",
		Spec: &pb.SubmissionSpec{Id: "s", Steps: []*pb.Step{{Count: 1, Size: &pb.Resources{Millicores: 1, MemoryBytes: 1}, EstimateMs: 1}}}}}})
	is.True(!c.hasEnded("s")) // its task has to be stopped
	apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Cancel{Cancel: &pb.CancelSubmission{Id: "s"}}})
	is.True(c.hasEnded("s"))
}
