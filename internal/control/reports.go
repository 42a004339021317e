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
	// forwardInterval is how often an unchanged report is forwarded to the leader. It may be long because the leader polls
	// the workers itself and gives one up only after a minute without an answer.
	forwardInterval = 5 * time.Second
	// maxForwarded bounds the number of workers in forwardedReports; when it is reached, all entries are dropped.
	maxForwarded = 50_000
)

// forwardedReports records when reports of workers were forwarded to the leader, to decide which reports this VM answers
// itself.
type forwardedReports struct {
	mu          sync.Mutex
	forwardedAt map[string]time.Duration // time of the last forwarded report, by worker id
}

// Report handles a worker's report and returns the VM to which the worker sends its next one. A report without changes is
// answered from the replicated state: with thousands of workers the leader cannot handle all reports in time, and a worker
// that gets no answer within a second resends its report to each control VM in turn.
func (c *Control) Report(ctx context.Context, r *pb.PoolReport) (string, error) {
	now := boottime.Now()
	if c.group.Status().Leader != "" && !c.Leading() && c.forwarded.recent(r.GetWorker().GetId(), now) && c.stateMatches(r) {
		return c.settings.GetId(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	if err := c.callLeader(ctx, fleet.MethodReport, r, answer); err != nil {
		return "", err
	}
	c.forwarded.record(r, now)
	return answer.GetLeader(), nil
}

// stateMatches reports whether the replicated state already holds everything that a report says.
func (c *Control) stateMatches(r *pb.PoolReport) bool {
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

// recent reports whether a report of the worker was forwarded within forwardInterval.
func (f *forwardedReports) recent(worker string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.forwardedAt[worker]
	return ok && now-at < forwardInterval
}

// record stores the time at which the leader accepted a report.
func (f *forwardedReports) record(r *pb.PoolReport, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forwardedAt == nil || len(f.forwardedAt) >= maxForwarded {
		f.forwardedAt = map[string]time.Duration{}
	}
	f.forwardedAt[r.GetWorker().GetId()] = now
}
