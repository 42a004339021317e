package steps

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// scarcePool returns four workers of 16 cores, of which 6 are free on one, and the demand of finite work for all of a quarter.
func scarcePool() *Snapshot {
	s := &Snapshot{MaxStarts: 1000, Pressure: NewPressure(), FiniteDemand: &FiniteDemand{}}
	for i := range 4 {
		w := newWorker(fmt.Sprint("w", i), 16)
		if i > 0 {
			w.Residents = []Resident{resident("watch", endlessStep(16))}
		} else {
			w.Residents = []Resident{resident("watch", endlessStep(6)), resident("check", newStep(4, nil))}
		}
		s.Workers = append(s.Workers, w)
	}
	s.FiniteDemand.Observe(0, []PoolUsage{{Pool: "pool", Finite: 16_000}})
	return s
}

func endlessStep(cores int64) *pb.Step {
	return newStep(cores, func(s *pb.Step) { s.Endless = true })
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
	late := newRequest("check", 1, newStep(5, nil)) // served after endless tasks
	late.ObjectiveUnixMs = 0
	s.Requests = []*Request{newRequest("watch", 1, endlessStep(5)), late}
	is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"check"})
}

// Guards against an endless task that does not start although it is overdue, or finite work no longer needs the room.
func TestEndlessTaskStartsInRoomThatIsNotLeftToFiniteWork(t *testing.T) {
	t.Run("overdue", func(t *testing.T) {
		s := scarcePool()
		s.Requests = []*Request{overdueRequest("watch", 10_000, 5, gigabyte), newRequest("check", 1, newStep(5, nil))}
		is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"watch"})
	})
	t.Run("demand of 24 s ago", func(t *testing.T) {
		s := scarcePool()
		s.FiniteDemand.Observe(12*demandTimeConstantMs, []PoolUsage{{Pool: "pool", Finite: 4000}})
		s.Requests = []*Request{newRequest("watch", 1, endlessStep(5))}
		is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"watch"})
	})
	t.Run("only for few workers", func(t *testing.T) {
		s := scarcePool()
		s.FiniteDemand = &FiniteDemand{}
		labelled := newRequest("labelled", 4, newStep(4, func(s *pb.Step) { s.Label = "gpu" }))
		s.Requests = []*Request{labelled}
		s.FiniteDemand.Observe(0, MakePlan(s).Usage)
		s.Requests = []*Request{labelled, newRequest("watch", 1, endlessStep(5))}
		is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"watch"})
	})
	t.Run("clock set back", func(t *testing.T) {
		s := scarcePool()
		s.FiniteDemand.Observe(-50_000, nil)
		for ms := range int64(13) {
			s.FiniteDemand.Observe(-50_000+ms*demandTimeConstantMs, []PoolUsage{{Pool: "pool", Finite: 4000}})
		}
		s.Requests = []*Request{newRequest("watch", 1, endlessStep(5))}
		is.New(t).Equal(submissionsStarted(MakePlan(s)), []string{"watch"})
	})
}

// Guards against overdue endless tasks that take the room which was made for finite work, with nothing made in its place.
func TestRoomIsMadeForOverdueEndlessTasksAndFiniteWork(t *testing.T) {
	s := scarcePool()
	for _, w := range s.Workers[1:] {
		w.Residents[0].MayStop = true
	}
	s.Requests = []*Request{overdueRequest("watch", 10_000, 12, gigabyte), newRequest("check", 2, newStep(8, nil))}
	stopped := 0
	for _, stop := range MakePlan(s).Stops {
		is.New(t).Equal(stop.For, "check")
		stopped++
	}
	is.New(t).Equal(stopped, 2) // of 16 cores each, of which 12 are owed to the endless task
}

// Guards against wide steps that never get all their tasks because narrow ones, which can still be on time, go first.
func TestBegunWorkIsFinishedFirst(t *testing.T) {
	is := is.New(t)
	wide, narrow := newRequest("wide", 2, newStep(4, nil)), newRequest("narrow", 1, newStep(4, nil))
	wide.Begun, wide.ObjectiveUnixMs = true, -1000 // late, but it still earns something
	is.Equal(submissionsStarted(plan([]*Worker{newWorker("w", 8)}, narrow, wide)), []string{"wide", "wide"})
	wide.WorthlessUnixMs = -1
	is.Equal(submissionsStarted(plan([]*Worker{newWorker("w", 8)}, narrow, wide)), []string{"narrow", "wide"})
}
