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
	mu   sync.Mutex
	last map[string]forwardedReport // by worker id
}

// forwardedReport is the last report of a worker that was forwarded to the leader.
type forwardedReport struct {
	at   time.Duration
	term uint64
}

// anyTerm stands for a report that need not have been forwarded in the present term.
const anyTerm = 0

// Report handles a worker's report and returns the VM to which the worker sends its next one. A report without changes is
// answered from the replicated state: with thousands of workers the leader cannot handle all reports in time, and a worker
// that gets no answer within a second resends its report to each control VM in turn.
func (c *Control) Report(ctx context.Context, r *pb.PoolReport) (string, error) {
	now := boottime.Now()
	status := c.group.Status()
	if status.Leader != "" && !c.Leading() && c.forwarded.recent(r.GetWorker().GetId(), c.forwardTerm(r, status.Term), now) && c.stateMatches(r) {
		return c.settings.GetId(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	if err := c.callLeader(ctx, fleet.MethodReport, r, answer); err != nil {
		return "", err
	}
	c.forwarded.record(r, status.Term, now)
	return answer.GetLeader(), nil
}

// forwardTerm returns the term in which a worker's report must have been forwarded before this VM answers one itself. Workers that do
// not guard their capacity get no tasks from a new leader until it has heard from them.
func (c *Control) forwardTerm(r *pb.PoolReport, term uint64) uint64 {
	guards := false
	c.state.View(func(state *submission.State) { guards = state.Pool(r.GetWorker().GetPool()).GetGuards() })
	if guards {
		return anyTerm
	}
	return term
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

// recent reports whether a report of the worker was forwarded within forwardInterval, and in the given term unless it is anyTerm.
func (f *forwardedReports) recent(worker string, term uint64, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, ok := f.last[worker]
	return ok && now-last.at < forwardInterval && (term == anyTerm || last.term == term)
}

// record stores the time and the term in which the leader accepted a report.
func (f *forwardedReports) record(r *pb.PoolReport, term uint64, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last == nil || len(f.last) >= maxForwarded {
		f.last = map[string]forwardedReport{}
	}
	f.last[r.GetWorker().GetId()] = forwardedReport{now, term}
}
