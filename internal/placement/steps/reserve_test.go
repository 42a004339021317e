package steps

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

func resident(id string, step *pb.Step) Resident {
	return Resident{Task: submission.Ref{Submission: id}, Attempt: 1, Step: step, TailRatio: noReading}
}

// overdueRequest returns a request for an endless task that has been away for the given time.
func overdueRequest(id string, awayMs int64, cores, memory int64) *Request {
	r := newRequest(id, 1, newStep(cores, func(s *pb.Step) { s.Endless, s.Size.MemoryBytes = true, memory }))
	r.ReadyUnixMs = -awayMs
	return r
}

// Guards against room that stays free on a worker reserved for a large endless task while a small one is away for too long.
func TestReservedWorkerTakesOtherOverdueTask(t *testing.T) {
	is := is.New(t)
	w := newWorker("w", 8)
	w.Residents = append(w.Residents, resident("short", newStep(4, nil)))
	large, small := overdueRequest("large", 9000, 6, gigabyte), overdueRequest("small", 8000, 2, gigabyte)
	is.Equal(plan([]*Worker{w}, large, small).Starts[0].Task.Submission, "small")
}

// Guards against reservations of workers that are full of endless tasks, where no room comes free.
func TestReservedWorkerWillHaveRoom(t *testing.T) {
	is := is.New(t)
	full, short := newWorker("full", 8), newWorker("short", 8)
	full.Residents = append(full.Residents, resident("endless", newStep(4, func(s *pb.Step) { s.Endless = true })))
	short.Residents = append(short.Residents, resident("finite", newStep(7, nil)))
	plan([]*Worker{full, short}, overdueRequest("watch", 9000, 6, gigabyte))
	is.Equal(full.reservedFor, "")
	is.Equal(short.reservedFor, "watch")
}

// Guards against an overdue endless task that lacks memory and gets a worker reserved that has free cores but no memory, while on
// another one almost enough memory is free.
func TestReservedWorkerIsChosenByWhatLacks(t *testing.T) {
	is := is.New(t)
	cores, memory := newWorker("cores", 8), newWorker("memory", 8)
	cores.Residents = append(cores.Residents, resident("r", newStep(1, func(s *pb.Step) { s.Endless, s.Size.MemoryBytes = true, 120*gigabyte })))
	memory.Residents = append(memory.Residents, resident("q", newStep(4, func(s *pb.Step) { s.Size.MemoryBytes = 70 * gigabyte })))
	plan([]*Worker{cores, memory}, overdueRequest("watch", 9000, 1, 64*gigabyte))
	is.Equal(memory.reservedFor, "watch")
}

// Guards against room that is reserved for the tasks of a silent worker while others that are away already could use it.
func TestExpectedTaskLeavesRoomToOverdueTask(t *testing.T) {
	is := is.New(t)
	snapshot := &Snapshot{Workers: []*Worker{newWorker("w", 8)}, Requests: []*Request{overdueRequest("away", 5000, 6, gigabyte)},
		Expected: []*Request{overdueRequest("silent", 7000, 6, gigabyte)}, MaxStarts: 1000, Pressure: NewPressure()}
	is.Equal(MakePlan(snapshot).Starts[0].Task.Submission, "away")
}

// Guards against an overdue endless task that lacks memory and never gets it, because filling tasks take each gigabyte that
// becomes free on the worker that is reserved for it.
func TestFillingTasksLeaveMemoryOfReservedWorker(t *testing.T) {
	is := is.New(t)
	w := newWorker("w", 8)
	w.Residents = append(w.Residents, resident("r", newStep(1, func(s *pb.Step) { s.Size.MemoryBytes = 100 * gigabyte })))
	filling := newRequest("filling", 1, newStep(1, func(s *pb.Step) { s.Fills, s.Image, s.Size.MemoryBytes = true, "fill", 20*gigabyte }))
	is.Equal(placesOf(plan([]*Worker{w}, overdueRequest("watch", 10_000, 1, 64*gigabyte), filling)), map[string]int{})
}

// Guards against endless tasks that are evicted, and then away for too long, while overdue ones find no room already.
func TestEndlessTaskIsNotEvictedWhileOthersAreOverdue(t *testing.T) {
	is := is.New(t)
	fullWorker := func() *Worker {
		w := newWorker("w", 8)
		serving := resident("serving", newStep(8, func(s *pb.Step) { s.Endless = true }))
		serving.MayStop = true
		w.Residents = append(w.Residents, serving)
		return w
	}
	urgent := func() *Request { return newRequest("urgent", 1, newStep(4, nil)) }
	is.Equal(len(plan([]*Worker{fullWorker()}, urgent()).Stops), 1)
	is.Equal(len(plan([]*Worker{fullWorker()}, urgent(), overdueRequest("away", 5000, 6, gigabyte)).Stops), 0)
}
