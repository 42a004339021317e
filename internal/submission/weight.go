package submission

import (
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// recordBytes is what a submission or wave takes whatever its size, stepBytes what each of its steps takes beside its text, and taskBytes
	// what each task of an occurrence that has begun takes.
	recordBytes = 640
	stepBytes   = 384
	taskBytes   = 160
	// textBytes is what a text in a list takes beside its bytes.
	textBytes = 16
	// textFactor is what each encoded byte takes: one in the state, one in the log, one in a snapshot.
	textFactor = 3
	// roomFactor is the number of submissions of the same size for which there must be room before one is accepted. Small ones are
	// still accepted when large ones are not.
	roomFactor = 4
)

// Weight returns an estimate of the memory in bytes that an active submission takes on a control VM.
func Weight(spec *pb.SubmissionSpec) int64 {
	tasks := int64(0)
	for _, step := range spec.GetSteps() {
		tasks += int64(step.GetCount())
	}
	return endedWeight(spec) + taskBytes*tasks
}

// endedWeight returns an estimate of the memory in bytes that a submission takes without the state of its tasks.
func endedWeight(spec *pb.SubmissionSpec) int64 {
	return recordBytes + stepBytes*int64(len(spec.GetSteps())) + textFactor*int64(proto.Size(spec))
}

// WaveWeight returns an estimate of the memory in bytes that a wave takes, with each VM listed as one of it and as one that has begun.
func WaveWeight(wave *pb.Wave) int64 {
	weight := int64(recordBytes)
	for _, vm := range wave.GetVms() {
		weight += 2 * textFactor * int64(textBytes+len(vm))
	}
	return weight
}

// Fits reports whether a submission or wave may be accepted if what was accepted weighs as much as used and may weigh as much as limit, in bytes.
func Fits(weight, used, limit int64) bool { return weight <= (limit-used)/roomFactor }

// weigh updates the weight of a submission and the sum. A submission that was done or never begun
// keeps no state of its tasks.
func (s *State) weigh(sub *Submission) {
	s.weight -= sub.weight
	if sub.State == pb.SubmissionState_SUBMISSION_STATE_DONE || !sub.Active() && !sub.Started {
		sub.weight = endedWeight(sub.Spec)
	} else {
		sub.weight = Weight(sub.Spec)
	}
	s.weight += sub.weight
}

// Weight returns an estimate of the memory in bytes that all submissions and waves take. It may only be called within View.
func (s *State) Weight() int64 { return s.weight }
