package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against one accepted submission that stops the control plane: each of its steps waits for all earlier ones, or it has
// billions of occurrences that are due at once.
func TestOneSubmissionDoesNotStopOthers(t *testing.T) {
	task := func() *pb.Step {
		return &pb.Step{Count: 1, Size: &pb.Resources{Millicores: 1, MemoryBytes: 1}, EstimateMs: 100}
	}
	graph := &pb.SubmissionSpec{Id: "graph", Payload: "payload"}
	for i := range uint32(256) {
		step := task()
		for before := range i {
			step.After = append(step.After, before)
		}
		graph.Steps = append(graph.Steps, step)
	}
	for _, spec := range []*pb.SubmissionSpec{graph, {Id: "often", Payload: "payload", Steps: []*pb.Step{task()}, Occurrences: math.MaxUint32}} {
		t.Run(spec.GetId(), func(t *testing.T) {
			withHarness(t, 100*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
				r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{Queue: "h /", Spec: spec}}})
				time.Sleep(time.Second)
				is.Equal(r.describe(spec.GetId()), "running")
				r.submit("usual", 1, nil)
				time.Sleep(time.Second)
				is.Equal(r.describe("usual"), "done")
			})
		})
	}
}

// Guards against an occurrence that never starts because earlier ones are not done, or because the leader has changed.
func TestOpenOccurrencesAreAllThatAreDueAndNotDone(t *testing.T) {
	withHarness(t, 100*time.Millisecond, []string{"a"}, func(is *is.I, r *harness) {
		spec := &pb.SubmissionSpec{Id: "s", Payload: "payload", Occurrences: 200, IntervalMs: 50, FirstDueUnixMs: time.Now().UnixMilli(),
			Steps: []*pb.Step{{Count: 1, Size: &pb.Resources{Millicores: 1, MemoryBytes: 1}, EstimateMs: 100}}}
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{Queue: "h /", Spec: spec}}})
		time.Sleep(5 * time.Second)
		r.replaceLeader(6)
		time.Sleep(8 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a plan that considers thousands of occurrences of each of many submissions, and against one that considers none of some.
func TestSubmissionsShareThePlan(t *testing.T) {
	is := is.New(t)
	spec := &pb.SubmissionSpec{Steps: []*pb.Step{{Count: 2}}, Occurrences: math.MaxUint32}
	for _, submissions := range []int{1, 16, 100, 1600, 1_000_000} {
		sub, o := &submission.Submission{Spec: spec, Occurrences: map[uint32]*submission.Occurrence{}}, &openOccurrences{}
		got := o.update(sub, 0, submissions)
		is.Equal(len(got), max(1, min(maxOpenTasks, maxPlannedTasks/submissions)/2))
		is.Equal(got, o.update(sub, 0, submissions)) // as nothing has started
		sub.Occurrences[got[0]] = &submission.Occurrence{Steps: []submission.Step{{Tasks: make([]submission.Task, 2), Placed: 2}}}
		is.True(!slices.Contains(o.update(sub, 0, submissions), got[0])) // all its tasks are placed
		is.True(len(o.update(sub, 0, submissions)) > 0 || submissions == 1)
		is.Equal(len(o.update(sub, 0, 1_000_000)), 1) // of those that were open before
	}
}
