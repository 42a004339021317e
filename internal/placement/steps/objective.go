package steps

import (
	"github.com/lentilyard/lentilyard/internal/pb"
)

// worthlessFactor is the multiple of its objective after which a submission earns nothing, from the platform's rules.
const worthlessFactor = 3

// Objective returns when a submission that is due at dueUnixMs should be done, and when it no longer earns anything. The
// time allowed is the length of its critical path times the stretch of the queue, plus a constant of the queue.
func Objective(spec *pb.SubmissionSpec, queue *pb.Queue, dueUnixMs int64) (objective, worthless int64) {
	allowed := int64(queue.GetStretch()*float64(criticalPathMs(spec))) + queue.GetObjectiveMs()
	return dueUnixMs + allowed, dueUnixMs + worthlessFactor*allowed
}

// CriticalPathFrom returns the length in milliseconds of the critical path that starts with the step of the given number:
// the expected time of the step plus that of the longest chain of steps that depend on it.
func CriticalPathFrom(spec *pb.SubmissionSpec, number int) int64 {
	longest := int64(0)
	for i := number + 1; i < len(spec.GetSteps()); i++ {
		for _, before := range spec.GetSteps()[i].GetAfter() {
			if int(before) == number {
				longest = max(longest, CriticalPathFrom(spec, i))
			}
		}
	}
	return spec.GetSteps()[number].GetEstimateMs() + longest
}

func criticalPathMs(spec *pb.SubmissionSpec) int64 {
	longest := int64(0)
	for i := range spec.GetSteps() {
		longest = max(longest, CriticalPathFrom(spec, i))
	}
	return longest
}
