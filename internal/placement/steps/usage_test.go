package steps

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Guards against a pool whose log does not tell which kind of work holds the cores that another kind lacks.
func TestUsageTellsWhoHoldsTheCores(t *testing.T) {
	is := is.New(t)
	w, down := newWorker("w", 16), newWorker("down", 8)
	down.Usable = false
	w.Residents = append(w.Residents, resident("watch", newStep(6, func(s *pb.Step) { s.Endless = true })), resident("check", newStep(2, nil)))
	late := newRequest("late", 1, newStep(9, nil))
	late.ObjectiveUnixMs = 1
	p := plan([]*Worker{w, down}, newRequest("quick", 3, newStep(4, nil)), late, newRequest("filling", 1, newStep(90, func(s *pb.Step) { s.Fills = true })))
	is.Equal(len(p.Usage), 1)
	u := p.Usage[0]
	is.Equal([]int64{int64(u.Workers), int64(u.Usable), u.Capacity, u.Endless, u.Finite}, []int64{2, 1, 16_000, 6_000, 10_000})
	is.Equal(u.Waiting, [NumTiers]int64{tierOnTime: 4_000, tierLate: 9_000})
	is.Equal(u.WaitingTasks, [NumTiers]int{tierOnTime: 1, tierLate: 1})
}
