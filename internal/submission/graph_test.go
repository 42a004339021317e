package submission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// graphSteps draws steps with prerequisites, some of them named twice, and estimates up to the largest number.
func graphSteps(t *rapid.T) []*pb.Step {
	list := make([]*pb.Step, rapid.IntRange(1, 9).Draw(t, "steps"))
	for i := range list {
		list[i] = &pb.Step{Count: 1, EstimateMs: rapid.OneOf(rapid.Int64Range(0, 9), rapid.Just(int64(math.MaxInt64))).Draw(t, "estimate")}
		if i > 0 {
			list[i].After = rapid.SliceOfN(rapid.Uint32Range(0, uint32(i-1)), 0, 2*i).Draw(t, "after")
		}
	}
	return list
}

// pathFrom walks all paths, which takes exponential time.
func pathFrom(list []*pb.Step, number int) int64 {
	longest := int64(0)
	for i, step := range list {
		for _, prerequisite := range step.GetAfter() {
			if int(prerequisite) == number {
				longest = max(longest, pathFrom(list, i))
			}
		}
	}
	return min(maxPathMs, longest+min(maxPathMs, list[number].GetEstimateMs()))
}

// Guards against a critical path or an order of steps that differs from what the prerequisites say.
func TestGraphAgreesWithPrerequisites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := graphSteps(t)
		sub := &Submission{Spec: &pb.SubmissionSpec{Steps: list}, Graph: newGraph(list)}
		o := newOccurrence(sub.Spec)
		for i, step := range list {
			if got, want := sub.Graph.CriticalPathMs(i), pathFrom(list, i); got != want {
				t.Fatalf("critical path from step %d is %d, not %d", i, got, want)
			}
			ready := true
			for _, prerequisite := range step.GetAfter() {
				ready = ready && o.Steps[prerequisite].Finished()
			}
			if got := sub.Ready(o, i); got != ready {
				t.Fatalf("step %d ready: %t, not %t", i, got, ready)
			}
			if ready && rapid.Bool().Draw(t, "finish") {
				o.Steps[i].Done = len(o.Steps[i].Tasks)
			}
		}
	})
}

// Guards against a submission that stops the control plane because each of its steps names all earlier ones, many times over.
func TestGraphOfLargestSubmissionTakesMilliseconds(t *testing.T) {
	is := is.New(t)
	list := make([]*pb.Step, maxSteps)
	for i := range list {
		list[i] = &pb.Step{Count: 1, EstimateMs: 100}
		for n := range min(3*i, 400) { // a body of the largest size has about 100,000
			list[i].After = append(list[i].After, uint32(n%i))
		}
	}
	began := time.Now()
	g := newGraph(list)
	is.True(time.Since(began) < time.Second)
	is.Equal(g.LongestPathMs(), int64(100*maxSteps))
	for i := 1; i < maxSteps; i++ {
		is.True(len(g.direct[i]) <= 2) // the rest is implied
	}
}

// Guards against an occurrence that starts before its time because the time does not fit into 64 bits.
func TestFarOccurrencesAreNotDue(t *testing.T) {
	is := is.New(t)
	sub := &Submission{Spec: &pb.SubmissionSpec{Occurrences: 10, FirstDueUnixMs: 1000, IntervalMs: math.MaxInt64 / 2}}
	is.Equal(sub.DueUnixMs(0), int64(1000))
	is.Equal(sub.DueUnixMs(1), 1000+int64(math.MaxInt64/2))
	is.Equal(sub.DueUnixMs(3), int64(math.MaxInt64))
}
