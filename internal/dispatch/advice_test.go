package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// timedAdviser admits every worker, answers one request at a time, and issues tickets that run out.
type timedAdviser struct {
	mu                  sync.Mutex
	decide, each, valid time.Duration
	asked               int // workers named in all requests

	issuedMu sync.Mutex
	issued   map[string]time.Time // end of each ticket
}

func (f *timedAdviser) Advise(ctx context.Context, step submission.Ref, workers []string) (map[string]string, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(workers) > maxAdviceWorkers {
		return nil, 0, ErrMalformed
	}
	select {
	case <-time.After(f.decide + time.Duration(len(workers))*f.each):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	f.issuedMu.Lock()
	defer f.issuedMu.Unlock()
	tickets := map[string]string{}
	for _, w := range workers {
		f.asked++
		tickets[w] = fmt.Sprint(w, " ", f.asked)
		f.issued[tickets[w]] = time.Now().Add(f.valid)
	}
	return tickets, f.valid, nil
}

func (f *timedAdviser) isValid(ticket string) bool {
	f.issuedMu.Lock()
	defer f.issuedMu.Unlock()
	return time.Now().Before(f.issued[ticket])
}

// withAdviser runs f with a pool of n workers and a queue with the policy of the adviser.
func withAdviser(t *testing.T, work time.Duration, n int, adviser *timedAdviser, f func(*is.I, *harness)) {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("w%03d", i))
	}
	adviser.issued = map[string]time.Time{}
	withHarness(t, work, ids, func(is *is.I, r *harness) {
		r.leader.Close()
		r.adviser = adviser
		r.workers.update(func() { r.workers.ticketValid = adviser.isValid })
		r.newLeader()
		r.lead(6)
		r.commit(&pb.SubmissionChange{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 2,
			Queues: []*pb.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "pool", Attempts: 3, TimeoutMs: 1,
				Advice: &pb.Advice{DecideMs: adviser.decide.Milliseconds(), EachMs: adviser.each.Milliseconds(), ValidMs: adviser.valid.Milliseconds()}}},
			Pools: []*pb.Pool{{Name: "pool", Guards: true}}}}})
		time.Sleep(100 * time.Millisecond)
		f(is, r)
	})
}

// Guards against a gang that never starts because it needs more workers at once than have valid tickets at the same time.
func TestWideGangGetsTickets(t *testing.T) {
	for name, c := range map[string]struct {
		workers int
		gang    uint32
		adviser *timedAdviser
	}{
		"more than one usual request": {66, 32, &timedAdviser{decide: 50 * time.Millisecond, each: 2 * time.Millisecond, valid: 3 * time.Second}},
		"more than one full request":  {150, 130, &timedAdviser{decide: 50 * time.Millisecond, each: 2 * time.Millisecond, valid: 3 * time.Second}},
		"short tickets":               {66, 32, &timedAdviser{decide: 50 * time.Millisecond, each: 2 * time.Millisecond, valid: time.Second}},
		"slow service":                {66, 32, &timedAdviser{decide: 50 * time.Millisecond, each: 100 * time.Millisecond, valid: 3 * time.Second}},
		"all workers":                 {66, 66, &timedAdviser{decide: 50 * time.Millisecond, each: 2 * time.Millisecond, valid: 3 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			withAdviser(t, time.Second, c.workers, c.adviser, func(is *is.I, r *harness) {
				r.submit("s", c.gang, func(s *pb.Step) { s.Gang, s.MaxPerWorker = true, 1 })
				time.Sleep(8 * time.Second)
				is.Equal(r.describe("s"), "done")
			})
		})
	}
}

// Guards against tasks that wait until tickets run out, since only workers that may run no more of them have tickets.
func TestTasksBeyondLimitOfWorkerGetTickets(t *testing.T) {
	adviser := &timedAdviser{decide: 50 * time.Millisecond, each: 2 * time.Millisecond, valid: 3 * time.Second}
	withAdviser(t, time.Minute, 66, adviser, func(is *is.I, r *harness) {
		r.submit("s", 60, func(s *pb.Step) { s.Endless, s.MaxPerWorker = true, 1 })
		time.Sleep(time.Second)
		running := 0
		r.workers.update(func() {
			for _, f := range r.workers.byID {
				running += len(f.running)
			}
		})
		is.Equal(running, 60)
	})
}

// Guards against an endless task that never starts again since the policy service takes longer than its tickets are valid.
func TestServiceSlowerThanItsTickets(t *testing.T) {
	adviser := &timedAdviser{decide: 4 * time.Second, each: 2 * time.Millisecond, valid: 3 * time.Second}
	withAdviser(t, time.Second, 10, adviser, func(is *is.I, r *harness) {
		r.submit("s", 1, nil)
		time.Sleep(8 * time.Second)
		is.Equal(r.describe("s"), "done")
	})
}

// Guards against a step that is not asked for enough, or asked for without end: with answers that come at once, the requests end when all
// waiting tasks have a ticket or nothing is left to ask about.
func TestRequestsForTicketsEndWithEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waiting := rapid.IntRange(1, 300).Draw(t, "waiting")
		candidates := make([]adviceCandidate, rapid.IntRange(0, 250).Draw(t, "workers"))
		admitted, possible := map[string]string{}, 0
		for i := range candidates {
			id := fmt.Sprint(i)
			candidates[i] = adviceCandidate{submission.Incarnation{ID: id}, rapid.IntRange(0, 3).Draw(t, "slots")}
			if rapid.IntRange(0, 3).Draw(t, "admitted") > 0 {
				admitted[id] = "ticket"
				possible += candidates[i].slots
			}
		}
		a := (&Leader{advice: map[stepKey]*stepAdvice{}}).adviceOf(stepKey{})
		for requests := 0; ; requests++ {
			named := a.workersToAsk(candidates, waiting, time.Second)
			if len(named) == 0 {
				break
			}
			if len(named) > maxAdviceWorkers || requests > len(candidates) {
				t.Fatalf("request %d names %d workers", requests, len(named))
			}
			tickets := map[string]string{}
			for _, worker := range named {
				if text, ok := admitted[worker.ID]; ok {
					tickets[worker.ID] = text
				}
			}
			a.record(named, tickets, time.Minute, time.Second, time.Second)
		}
		got := 0
		for _, c := range candidates {
			if a.allowed(candidates, time.Second)[c.worker.ID] {
				got += c.slots
			}
		}
		if got < min(waiting, possible) {
			t.Fatalf("tickets for %d of %d tasks, %d were possible", got, waiting, possible)
		}
	})
}
