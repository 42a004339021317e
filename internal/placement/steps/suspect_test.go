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
	suspect.Waiting[0].Suspect, suspect.Waiting[1].Suspect = true, true
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
