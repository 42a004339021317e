package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// maxOutage is the longest time that the platform allows between two runs of an endless task for which there is room.
const maxOutage = 9 * time.Second

// withService runs f with an endless task on worker a and without a task on worker b. Other tasks take a second.
func withService(t *testing.T, f func(*is.I, *harness)) {
	withHarness(t, time.Second, []string{"a"}, func(is *is.I, r *harness) {
		r.workers.update(func() { r.workers.byID["a"].serving = "s" })
		r.submit("s", 1, func(step *pb.Step) { step.Endless, step.Size.Millicores = true, 2000 })
		time.Sleep(4 * time.Second)
		is.Equal(r.running("a"), 1)
		r.workers.update(func() {
			r.workers.byID["b"] = newFakeWorker("b", 2)
			r.workers.byID["b"].serving = "s"
		})
		r.report("b", 1)
		time.Sleep(time.Second)
		f(is, r)
	})
}

// awaitService returns how long it takes until the endless task runs on worker b, up to a minute.
func (r *harness) awaitService() time.Duration {
	began := time.Now()
	for !r.serves("b") && time.Since(began) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func (r *harness) serves(worker string) bool {
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	return r.workers.byID[worker].running[submission.Ref{Submission: "s"}] != nil
}

func (r *harness) lose(worker string) {
	r.workers.update(func() { r.workers.byID[worker].unreachable = true })
}

// holdPhases are moments within the interval between two holds.
var holdPhases = []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond}

// Guards against an endless task that stays away for longer than its callers are promised after its worker was lost for good.
func TestEndlessTaskOfLostWorkerRunsAgainInTime(t *testing.T) {
	for _, phase := range holdPhases {
		withService(t, func(is *is.I, r *harness) {
			time.Sleep(phase)
			r.lose("a")
			is.True(r.awaitService() < maxOutage)
		})
	}
}

// Guards against the same while the pool is full of short tasks: the search for room must not start only after the lease.
func TestEndlessTaskOfLostWorkerFindsRoomInBusyPool(t *testing.T) {
	for _, phase := range holdPhases {
		withService(t, func(is *is.I, r *harness) {
			stop := make(chan struct{})
			defer close(stop)
			time.Sleep(phase)
			r.lose("a")
			time.Sleep(usableWindow)
			go r.submitShortTasks(stop)
			is.True(usableWindow+r.awaitService() < maxOutage)
		})
	}
}

// Guards against the same if the next leader does not lead for long either.
func TestThirdLeaderDoesNotExtendOutageOfLostWorker(t *testing.T) {
	withService(t, func(is *is.I, r *harness) {
		const between = 2 * time.Second
		time.Sleep(between)
		r.lose("a")
		r.lead(6) // the worker was not recorded as silent yet
		time.Sleep(between)
		r.lead(7)
		leaseOfSecondTerm := previousLeaderTimeout + maxOutage
		is.True(between+r.awaitService() < leaseOfSecondTerm)
	})
}

// Guards against a task that runs twice because a new leader relies on a silence that has ended: its worker has got leases since.
func TestEndedSilenceDoesNotShortenLease(t *testing.T) {
	withService(t, func(is *is.I, r *harness) {
		r.lose("a")
		time.Sleep(3 * time.Second)
		r.workers.update(func() { r.workers.byID["a"].unreachable = false })
		time.Sleep(3 * time.Second)
		r.lose("a")
		r.lead(6)
		time.Sleep(5 * time.Second)
		is.True(r.serves("a")) // its lease is not over, and the harness reports a second run
		r.awaitService()
	})
}

// Guards against an endless task that is evicted as soon as it runs again, and so does not serve after a long outage.
func TestEndlessTaskServesAfterOutage(t *testing.T) {
	withService(t, func(is *is.I, r *harness) {
		r.lose("a")
		r.awaitService()
		for n := range 4 {
			r.submit(fmt.Sprint("short-", n), 4, nil)
			time.Sleep(500 * time.Millisecond)
			is.True(r.serves("b"))
		}
	})
}

// submitShortTasks keeps the workers busy with short tasks that are on time, until stop is closed.
func (r *harness) submitShortTasks(stop chan struct{}) {
	const interval = 800 * time.Millisecond
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			r.submit(fmt.Sprint("short-", n), 4, nil)
		}
	}
}

// Guards against a new leader that lets a lease begin anew although the previous one knew that the worker was silent.
func TestNewLeaderDoesNotExtendOutageOfLostWorker(t *testing.T) {
	for _, before := range []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second} {
		withService(t, func(is *is.I, r *harness) {
			r.lose("a")
			time.Sleep(before)
			r.lead(6)
			is.True(before+r.awaitService() < maxOutage)
		})
	}
}
