package steps

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against a submission of large filling tasks that never starts, although half of the pool is free, because smaller filling tasks use
// up all processor time that becomes free.
func TestLargeFillingSubmissionStartsInLongBacklog(t *testing.T) {
	fill := func(s *pb.Step) { s.Fills = true }
	for name, c := range map[string]struct {
		waitedMs, reserved int64
		tailRatio          float64
		begun              bool
		starts             int
	}{
		"starved":                {waitedMs: 9000, reserved: 3, tailRatio: 0.5, starts: 1},
		"waits for a short time": {waitedMs: 5000, reserved: 3, tailRatio: 0.5},
		"busy pool":              {waitedMs: 9000, reserved: 6, tailRatio: 0.5},
		"service over its limit": {waitedMs: 9000, reserved: 3, tailRatio: 1.2},
		"runs":                   {waitedMs: 9000, reserved: 3, tailRatio: 0.5, begun: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorker("w", 8)
			service := newStep(c.reserved, func(s *pb.Step) { s.Endless, s.Image, s.TailLimitMs = true, "service", 10 })
			w.Residents = append(w.Residents, Resident{Task: submission.Ref{Submission: "service"}, Attempt: 1, Step: service, TailRatio: c.tailRatio})
			for i := range uint32(4) {
				w.Residents = append(w.Residents, Resident{Task: submission.Ref{Submission: "small", Index: i}, Attempt: 1, Step: newStep(2, fill), TailRatio: noReading})
			}
			r := newRequest("large", 3, newStep(5, fill))
			r.ReadyUnixMs, r.Idle = -c.waitedMs, !c.begun
			p := plan([]*Worker{w}, r, newRequest("another", 1, newStep(1, fill)))
			is.New(t).Equal(len(p.Starts), c.starts)
		})
	}
}
