package steps

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against a task of a step that keeps the others of the step waiting, although there is room for them, because it avoids
// all workers with room.
func TestAvoidingTaskDoesNotHoldUpItsStep(t *testing.T) {
	is := is.New(t)
	r := newRequest("s", 3, newStep(1, func(s *pb.Step) { s.Endless = true }))
	r.Waiting[0].AvoidWorkers = []string{"w"}
	p := plan([]*Worker{newWorker("w", 8)}, r)
	is.Equal(len(p.Starts), 2)
	is.Equal(p.Starts[0].Task.Index, uint32(1))
	is.Equal(len(p.Waiting), 1)
	is.Equal(p.Waiting[0].Task.Index, uint32(0))
}

// Guards against a task that starts on another worker than the only one on which it may, and against others that wait because that one is
// full.
func TestTaskWithOneWorkerDoesNotHoldUpOthers(t *testing.T) {
	is := is.New(t)
	tied := newRequest("a", 1, newStep(2, nil))
	tied.Waiting[0].OnlyWorker = "full"
	p := plan([]*Worker{newWorker("full", 1), newWorker("free", 8)}, tied, newRequest("b", 1, newStep(2, nil)))
	is.Equal(len(p.Starts), 1)
	is.Equal(p.Starts[0].Task.Submission, "b")
	tied.Waiting[0].OnlyWorker = "free"
	is.Equal(placesOf(plan([]*Worker{newWorker("full", 8), newWorker("free", 8)}, tied)), map[string]int{"free": 1})
}

// Guards against a task that is not tried, although a worker has room for it, because a smaller one of another kind found none in
// the same plan: a filling task needs processor time but reserves none, and a worker may be reserved for one submission only.
func TestUnplacedSizeRulesOutOnlyItsKind(t *testing.T) {
	busy := func(reserved int64) *Worker {
		w := newWorker("w", 8)
		for _, step := range []*pb.Step{newStep(reserved, nil), newStep(8, func(s *pb.Step) { s.Fills = true })} {
			w.Residents = append(w.Residents, Resident{Task: submission.Ref{Submission: "r"}, Attempt: 1, Step: step, TailRatio: noReading})
		}
		return w
	}
	fill := func(s *pb.Step) { s.Fills = true }
	endless := func(s *pb.Step) { s.Endless = true }
	t.Run("endless after filling", func(t *testing.T) {
		p := plan([]*Worker{busy(1)}, newRequest("filling", 1, newStep(2, fill)), newRequest("watch", 1, newStep(2, endless)))
		is.New(t).Equal(placesOf(p), map[string]int{"w": 1})
	})
	t.Run("filling after finite", func(t *testing.T) {
		w := newWorker("w", 8)
		w.Residents = append(w.Residents, Resident{Task: submission.Ref{Submission: "r"}, Attempt: 1, Step: newStep(7, func(s *pb.Step) { s.Endless = true }), TailRatio: noReading})
		p := plan([]*Worker{w}, newRequest("a", 1, newStep(2, nil)), newRequest("filling", 1, newStep(2, fill)))
		is.New(t).Equal(placesOf(p), map[string]int{"w": 1})
	})
	t.Run("reserved for the submission", func(t *testing.T) {
		w := newWorker("w", 8)
		w.Residents = append(w.Residents, Resident{Task: submission.Ref{Submission: "r"}, Attempt: 1, Step: newStep(4, nil), TailRatio: noReading})
		large, small := newRequest("watch", 1, newStep(6, endless)), newRequest("watch", 1, newStep(3, endless))
		large.ReadyUnixMs, small.Step = -10_000, 1
		p := plan([]*Worker{w}, large, newRequest("finite", 1, newStep(2, nil)), small)
		is.New(t).Equal(placesOf(p), map[string]int{"w": 1})
	})
}
