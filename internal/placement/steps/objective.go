package steps

import (
	"github.com/lentilyard/lentilyard/internal/pb"
)

// lateFactor is the multiple of its objective after which a submission earns nothing, from the platform's rules.
const lateFactor = 3

// Objective returns when a submission that is due at dueUnixMs should be done, and when it earns nothing any more.
func Objective(spec *pb.SubmissionSpec, queue *pb.Queue, dueUnixMs int64) (objective, worthless int64) {
	allowed := int64(queue.GetStretch()*float64(longestChain(spec))) + queue.GetObjectiveMs()
	return dueUnixMs + allowed, dueUnixMs + lateFactor*allowed
}

// CriticalPathFrom returns the expected time of step number and of the longest chain of steps behind it.
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

func longestChain(spec *pb.SubmissionSpec) int64 {
	longest := int64(0)
	for i := range spec.GetSteps() {
		longest = max(longest, CriticalPathFrom(spec, i))
	}
	return longest
}
