package steps

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// worthlessFactor is the multiple of its objective after which a submission earns nothing, from the platform's rules.
	worthlessFactor = 3
	// maxAllowedMs bounds the time allowed, about 35,000 years, so that no objective overflows.
	maxAllowedMs = 1 << 50
)

// Objective returns when a submission that is due at dueUnixMs should be done, and when it no longer earns anything. The
// time allowed is the length of its critical path times the stretch of the queue, plus a constant of the queue.
func Objective(criticalPathMs int64, queue *pb.Queue, dueUnixMs int64) (objective, worthless int64) {
	stretched := min(maxAllowedMs, queue.GetStretch()*float64(criticalPathMs))
	allowed := min(maxAllowedMs, int64(stretched)+min(maxAllowedMs, queue.GetObjectiveMs()))
	due := min(dueUnixMs, math.MaxInt64-worthlessFactor*maxAllowedMs)
	return due + allowed, due + worthlessFactor*allowed
}
