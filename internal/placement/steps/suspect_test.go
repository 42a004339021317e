package steps

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against a task that may have crashed a worker and starts beside others, so that it is not known which one crashes the next.
func TestSuspectStartsAlone(t *testing.T) {
	is := is.New(t)
	busy, calm := newWorker("busy", 8), newWorker("calm", 8)
	young := resident("young", newStep(1, nil))
	young.Young = true
	busy.Residents = append(busy.Residents, young)
	calm.Residents = append(calm.Residents, resident("old", newStep(7, nil)))
	suspect := newRequest("suspect", 2, newStep(1, nil))
	for i := range suspect.Waiting {
		suspect.Waiting[i].Suspect, suspect.Waiting[i].Isolated = true, true
	}
	p := plan([]*Worker{busy, calm}, suspect)
	is.Equal(placesOf(p), map[string]int{"calm": 1})
}

// Guards against tasks that start beside one that may crash the worker before it has run for a while.
func TestNothingStartsBesideYoungSuspect(t *testing.T) {
	is := is.New(t)
	w := newWorker("w", 8)
	suspect := resident("suspect", newStep(1, nil))
	suspect.Young, suspect.Suspect = true, true
	w.Residents = append(w.Residents, suspect)
	other, filling := newRequest("other", 1, newStep(1, nil)), newRequest("filling", 1, newStep(1, func(s *pb.Step) { s.Fills = true }))
	is.Equal(placesOf(plan([]*Worker{w}, other, filling)), map[string]int{})
	w.Residents[0].Young = false
	is.Equal(placesOf(plan([]*Worker{w}, other, filling)), map[string]int{"w": 2})
}

// Guards against a gang that never starts again because it has more suspects than there are workers, or than have no young tasks.
func TestSuspectGangStarts(t *testing.T) {
	is := is.New(t)
	gang := newRequest("gang", 4, newStep(1, func(s *pb.Step) { s.Gang, s.Count = true, 4 }))
	for i := range gang.Waiting {
		gang.Waiting[i].Suspect, gang.Waiting[i].Isolated = i < 3, i < 3
	}
	p := plan([]*Worker{newWorker("a", 8), newWorker("b", 8)}, gang)
	is.Equal(len(p.Starts), 4)
}
