package submission

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against an entry of a newer version that ends a process or is taken for something else: a change and a kind of end that this one
// does not know, and changes without contents.
func TestEntriesOfNewerVersionsAreNoFault(t *testing.T) {
	is := is.New(t)
	s := New(0, nil)
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), []byte("new"))
	newer := &pb.SubmissionChange{}
	is.NoErr(proto.Unmarshal(unknown, newer))
	changes := []*pb.SubmissionChange{newer,
		{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{}}}, {Change: &pb.SubmissionChange_Cancel{Cancel: &pb.CancelSubmission{}}},
		{Change: &pb.SubmissionChange_Start{Start: &pb.TaskStart{}}}, {Change: &pb.SubmissionChange_End{End: &pb.TaskEnd{Kind: 99}}},
		{Change: &pb.SubmissionChange_Gone{Gone: &pb.WorkerGone{}}}, {Change: &pb.SubmissionChange_Wave{Wave: &pb.Wave{}}},
		{Change: &pb.SubmissionChange_WaveProgress{WaveProgress: &pb.WaveProgress{}}}, {Change: &pb.SubmissionChange_Leave{Leave: &pb.WorkerLeave{}}},
		{Change: &pb.SubmissionChange_Silence{Silence: &pb.WorkerSilence{}}},
		{Change: &pb.SubmissionChange_Correction{Correction: &pb.WorkerCorrection{}}}}
	entry, err := proto.Marshal(&pb.SubmissionEntry{Changes: changes})
	is.NoErr(err)
	results := s.Apply(1, 1, entry).([]Result)
	is.Equal(len(results), len(changes))
	is.Equal(results[0], Result{})
	s.View(func(s *State) { is.Equal(len(s.Active()), 0) })
}
