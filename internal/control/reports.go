package control

import (
	"context"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/boottime"
	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// passEvery is how often a report without news goes to the leader. The leader asks workers itself all the time and
	// gives one up that it has not heard for a minute.
	passEvery = 5 * time.Second
	// maxPassed bounds the workers of which it is remembered when a report was passed on; beyond it all are forgotten.
	maxPassed = 50_000
)

// reports decides which reports of workers this VM answers by itself.
type reports struct {
	mu     sync.Mutex
	passed map[string]time.Duration // when the leader last took a report, by worker
}

// Report takes a report of a worker and returns the VM for its later ones. A report that says nothing new is answered
// from the replicated state: with thousands of workers the leader has no time for them, and reports that are not answered
// within a second are sent again to all control VMs in turn.
func (c *Control) Report(ctx context.Context, r *pb.PoolReport) (string, error) {
	now := boottime.Now()
	if c.group.Status().Leader != "" && !c.Leading() && c.reports.recent(r.GetWorker().GetId(), now) && c.knows(r) {
		return c.settings.GetId(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	if err := c.onLeader(ctx, fleet.MethodReport, r, answer); err != nil {
		return "", err
	}
	c.reports.note(r, now)
	return answer.GetLeader(), nil
}

// knows reports whether the state holds what a report says.
func (c *Control) knows(r *pb.PoolReport) bool {
	if r.GetLeaving() {
		return false
	}
	known := false
	c.state.View(func(state *submission.State) {
		w := state.Workers()[r.GetWorker().GetId()]
		known = w != nil && !dispatch.Changes(w.PoolWorker, r.GetWorker())
	})
	return known
}

// recent reports whether the leader has taken a report of the worker lately.
func (p *reports) recent(worker string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.passed[worker]
	return ok && now-at < passEvery
}

// note notes a report that the leader has taken.
func (p *reports) note(r *pb.PoolReport, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passed == nil || len(p.passed) >= maxPassed {
		p.passed = map[string]time.Duration{}
	}
	p.passed[r.GetWorker().GetId()] = now
}
