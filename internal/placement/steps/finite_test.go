package steps

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// scarcePool returns four workers of 16 cores, of which 6 are free on one, and the demand of finite work for all of a quarter.
func scarcePool() *Snapshot {
	endless := func(s *pb.Step) { s.Endless = true }
	s := &Snapshot{MaxStarts: 1000, Pressure: NewPressure(), FiniteDemand: &FiniteDemand{}}
	for i := range 4 {
		w := newWorker(fmt.Sprint("w", i), 16)
		if i > 0 {
			w.Residents = []Resident{resident("watch", newStep(16, endless))}
		} else {
			w.Residents = []Resident{resident("watch", newStep(6, endless)), resident("check", newStep(4, nil))}
		}
		s.Workers = append(s.Workers, w)
	}
	s.FiniteDemand.Observe(0, []PoolUsage{{Pool: "pool", Finite: 16_000}})
	return s
}

func submissionsStarted(p Plan) []string {
	var ids []string
	for i := range p.Starts {
		ids = append(ids, p.Starts[i].Task.Submission)
	}
	return ids
}

// Guards against finite work that is not tried because an endless task, which leaves room for it, found none in the same plan.
func TestRoomLeftByEndlessTaskIsTriedForFiniteWork(t *testing.T) {
	s := scarcePool()
	s.Requests = []*Request{overdueRequest("watch", 10_000, 5, gigabyte), newRequest("check", 1, newStep(5, nil))}
	is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"check"})
}

// Guards against an endless task that is away although there is ample room for it, or room that finite work no longer uses.
func TestEndlessTaskStartsInRoomThatFiniteWorkDoesNotNeed(t *testing.T) {
	t.Run("ample room", func(t *testing.T) {
		s := scarcePool()
		s.Requests = []*Request{overdueRequest("watch", 10_000, 3, gigabyte)}
		is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"watch"})
	})
	t.Run("demand of 2 s ago", func(t *testing.T) {
		s := scarcePool()
		for ms := range int64(2) {
			s.FiniteDemand.Observe((ms+1)*demandWindowMs, []PoolUsage{{Pool: "pool", Finite: 4000}})
		}
		s.Requests = []*Request{overdueRequest("watch", 10_000, 5, gigabyte)}
		is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"watch"})
	})
	t.Run("only for few workers", func(t *testing.T) {
		s := scarcePool()
		s.FiniteDemand = &FiniteDemand{}
		labelled := newRequest("labelled", 4, newStep(4, func(s *pb.Step) { s.Label = "gpu" }))
		s.Requests = []*Request{labelled}
		s.FiniteDemand.Observe(0, MakePlan(s).Usage)
		s.Requests = []*Request{labelled, overdueRequest("watch", 10_000, 5, gigabyte)}
		is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"watch"})
	})
	t.Run("clock set back", func(t *testing.T) {
		s := scarcePool()
		for range 2 {
			s.FiniteDemand.Observe(-5000, nil)
			s.FiniteDemand.Observe(-5000+demandWindowMs, []PoolUsage{{Pool: "pool", Finite: 4000}})
			s.FiniteDemand.Observe(-5000+2*demandWindowMs, []PoolUsage{{Pool: "pool", Finite: 4000}})
		}
		s.Requests = []*Request{overdueRequest("watch", 10_000, 5, gigabyte)}
		is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"watch"})
	})
}
