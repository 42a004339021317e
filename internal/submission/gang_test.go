package submission

import (
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// gangModel plays attempts of a gang whose members end in random order and ways. Values are the numbers of checkpoints.
type gangModel struct {
	*driver
	size    int
	attempt uint32
	reached int // checkpoint that the gang had reached when its last attempt broke
}

func (g *gangModel) ref(i int) Ref { return Ref{Submission: "a", Index: uint32(i)} }

// born returns the birth time of the workers of the present attempt.
func (g *gangModel) born() int64 { return 10 * int64(g.attempt) }

func (g *gangModel) worker(i int) string { return fmt.Sprint("w", i) }

// restore replaces the state by its snapshot, as a new leader on another VM has it.
func (g *gangModel) restore(t *rapid.T) {
	snapshot, err := g.state.Snapshot()
	if err == nil {
		err = g.state.Restore(snapshot)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// startAll places all members, each on its worker, and returns the checkpoint from which they start.
func (g *gangModel) startAll(t *rapid.T) int {
	g.attempt++
	values := map[string]bool{}
	for _, i := range rapid.Permutation(seq(g.size)).Draw(t, "starts") {
		g.apply(worker(g.worker(i), g.born()))
		if !g.apply(start(g.ref(i), g.attempt, g.worker(i), g.born()))[0].Applied {
			t.Fatalf("member %d is not placed", i)
		}
		values[g.state.Task(g.ref(i)).Checkpoint] = true
		if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
			g.restore(t)
		}
	}
	if len(values) != 1 {
		t.Fatalf("the members of attempt %d start from %v", g.attempt, values)
	}
	for value := range values {
		from, _ := strconv.Atoi(value)
		return from
	}
	return 0
}

func seq(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// end ends one member, which has saved the checkpoint reached. If it was lost, what was last known of it may be older.
func (g *gangModel) end(t *rapid.T, i, from, reached int) (reported bool) {
	born, name := g.born(), g.worker(i)
	value := ""
	if reached > 0 {
		value = strconv.Itoa(reached)
	}
	old := ""
	if stale := max(from, reached-rapid.IntRange(0, 3).Draw(t, "stale")); stale > 0 {
		old = strconv.Itoa(stale)
	}
	switch rapid.IntRange(0, 4).Draw(t, "end") {
	case 0: // its worker is replaced, and nothing is known
		g.apply(worker(name, born+5))
		g.apply(worker(name, born)) // a late report
		return false
	case 1: // its worker is replaced
		g.apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Gone{Gone: &pb.WorkerGone{Id: name, BornUnixMs: born,
			Saved: []*pb.SavedProgress{{Task: g.ref(i).Proto(), Attempt: g.attempt, Checkpoint: old}}}}})
		return false
	case 2: // its lease is over; the end is committed twice
		for range 2 {
			g.applyEnd(i, lost, old)
		}
		return false
	case 3:
		g.applyEnd(i, pb.TaskEndKind_TASK_END_KIND_BROKEN, "") // it has ended alone
		return false
	}
	g.applyEnd(i, pb.TaskEndKind_TASK_END_KIND_BROKEN, value)
	g.applyEnd(i, lost, old) // a late one
	return true
}

func (g *gangModel) applyEnd(i int, kind pb.TaskEndKind, checkpoint string) {
	c := end(g.ref(i), g.attempt, g.worker(i), g.born(), kind)
	c.GetEnd().Checkpoint = checkpoint
	g.apply(c)
}

// Guards against members of a gang that start from different checkpoints, so that they never work together, and against a gang that goes
// back by more than one checkpoint though a member has listed a later one.
func TestGangStartsFromOneValue(t *testing.T) {
	for _, size := range []int{2, 8, 36} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				g := &gangModel{driver: newDriver(), size: size}
				g.apply(queueConfig(2), accept("a", &pb.Step{Count: uint32(size), Gang: true, Checkpoints: true}))
				lowest := 0 // from which the next attempt must start at least
				for range rapid.IntRange(1, 6).Draw(t, "attempts") {
					from := g.startAll(t)
					if from < lowest || from > g.reached {
						t.Fatalf("attempt %d starts from %d; it had reached %d, of which %d must be kept", g.attempt, from, g.reached, lowest)
					}
					reached, reported := from+rapid.IntRange(0, 5).Draw(t, "work"), false
					for _, i := range rapid.Permutation(seq(size)).Draw(t, "ends") {
						late := rapid.IntRange(0, 1).Draw(t, "checkpoint behind")
						reported = g.end(t, i, from, max(from, reached-late)) || reported
					}
					g.reached = max(g.reached, reached)
					if lowest = from; reported {
						lowest = max(from, reached-1)
					}
				}
			})
		})
	}
}
