package leader

import (
	"fmt"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/standin"
	"google.golang.org/protobuf/proto"
)

// run is one execution of an attempt as seen on the worker. An execution that did not end has no end.
type run struct {
	worker     string
	process    string
	id         standin.AttemptID
	size       *pb.Resources
	resume     *pb.Checkpoint
	start, end time.Time
}

// history records what workers did and which entries were committed. The checkers read only this.
type history struct {
	mu      sync.Mutex
	runs    []*run
	open    map[string]map[standin.AttemptID]*run // by worker process
	entries []simEntry
}

func newHistory() *history { return &history{open: map[string]map[standin.AttemptID]*run{}} }

// observe returns the hook of one worker process.
func (h *history) observe(worker, process string) func(any) {
	return func(event any) {
		h.mu.Lock()
		defer h.mu.Unlock()
		switch e := event.(type) {
		case standin.Action:
			if e.Op == pb.WorkerOp_WORKER_OP_START {
				h.started(&run{worker: worker, process: process, id: e.ID, size: e.Spec.GetResources(), resume: e.Resume, start: time.Now()}, process)
			}
		case *pb.AttemptReport:
			if r := h.open[process][standin.AttemptID{Task: e.GetTask(), Attempt: e.GetAttempt()}]; r != nil && domain.Gone(e.GetEvent()) {
				r.end = time.Now()
			}
		}
	}
}

func (h *history) started(r *run, process string) {
	if h.open[process] == nil {
		h.open[process] = map[standin.AttemptID]*run{}
	}
	h.open[process][r.id] = r
	h.runs = append(h.runs, r)
}

// died ends everything that a worker process ran.
func (h *history) died(process string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.open[process] {
		if r.end.IsZero() {
			r.end = time.Now()
		}
	}
}

// String names the process and the times of a run, so that a failure can be compared with the faults drawn.
func (r *run) String() string {
	return fmt.Sprintf("%s from %s to %s", r.process, r.start.Format(time.TimeOnly+".000"), r.end.Format(time.TimeOnly+".000"))
}

func (r *run) overlaps(o *run) bool {
	return (o.end.IsZero() || r.start.Before(o.end)) && (r.end.IsZero() || o.start.Before(r.end))
}

// checkCapacity is P1: no worker executes more than its capacity at any time.
func checkCapacity(h *history, capacity *pb.Resources) error {
	for _, r := range h.runs {
		sum := &pb.Resources{}
		for _, o := range h.runs {
			if o.worker == r.worker && !o.start.After(r.start) && (o.end.IsZero() || o.end.After(r.start)) {
				add(sum, o.size, 1)
			}
		}
		if !fits(sum, capacity) {
			return fmt.Errorf("P1: worker %s executes %d millicores of %d", r.worker, sum.GetMillicores(), capacity.GetMillicores())
		}
	}
	return nil
}

// checkOnce is P2: no task executes in two places at once, and no attempt is executed twice.
func checkOnce(h *history) error {
	byTask := map[string][]*run{}
	for _, r := range h.runs {
		for _, o := range byTask[r.id.Task] {
			if r.overlaps(o) {
				return fmt.Errorf("P2: attempt %d on %s and attempt %d on %s of task %s overlap: %s and %s", o.id.Attempt, o.worker, r.id.Attempt, r.worker, r.id.Task, o, r)
			}
			if r.id == o.id {
				return fmt.Errorf("P2: attempt %d of task %s is executed twice: %s and %s", r.id.Attempt, r.id.Task, o, r)
			}
		}
		byTask[r.id.Task] = append(byTask[r.id.Task], r)
	}
	return nil
}

// checkResume is P3: each execution starts from the newest checkpoint that was committed before its placement, and
// every task reaches a final state. The newest checkpoint is derived from the log entries alone.
func checkResume(h *history) error {
	at, final := committedCheckpoints(h.entries)
	for _, r := range h.runs {
		want := at[r.id]
		if !proto.Equal(want, r.resume) {
			return fmt.Errorf("P3: attempt %d of task %s resumes from %v, committed was %v", r.id.Attempt, r.id.Task, r.resume, want)
		}
	}
	for _, t := range final {
		if !domain.Ended(t.GetState()) {
			return fmt.Errorf("P3: task %s is %s at the end: %s", t.GetId(), t.GetState(), t.GetReason())
		}
		if t.GetState() == pb.TaskState_TASK_STATE_FAILED {
			return fmt.Errorf("P3: task %s failed: %s", t.GetId(), t.GetReason())
		}
	}
	return nil
}

// committedCheckpoints replays the log. It returns the newest checkpoint at each placement and the tasks at the end.
func committedCheckpoints(entries []simEntry) (map[standin.AttemptID]*pb.Checkpoint, []*pb.Task) {
	state := domain.New("d1", domain.Limits{})
	at := map[standin.AttemptID]*pb.Checkpoint{}
	newest := map[string]*pb.Checkpoint{}
	placed := map[string]uint32{}
	for i, e := range entries {
		command := &pb.DomainCommand{}
		_ = proto.Unmarshal(e.entry, command)
		result := state.Apply(uint64(i+1), e.term, e.entry).(domain.Result)
		for n, c := range command.GetBatch().GetCommands() {
			for m := range c.GetPlaceTasks().GetPlacements() {
				if t := result.Batch[n].Batch[m].Task; t != nil {
					placed[t.GetId()] = t.GetAttempt()
					at[standin.AttemptID{Task: t.GetId(), Attempt: t.GetAttempt()}] = newest[t.GetId()]
				}
			}
			if result.Batch[n].Err == nil {
				takeNewest(newest, placed, c.GetReportAttempts().GetReports())
			}
		}
	}
	return at, state.View().Tasks(domain.Filter{})
}

// takeNewest applies the rule for checkpoints: those of the last attempt count, in the order of their sequence.
func takeNewest(newest map[string]*pb.Checkpoint, placed map[string]uint32, reports []*pb.AttemptReport) {
	for _, r := range reports {
		c, old := r.GetCheckpoint(), newest[r.GetTask()]
		if c == nil || r.GetAttempt() != placed[r.GetTask()] {
			continue
		}
		if c.GetAttempt() > old.GetAttempt() || c.GetAttempt() == old.GetAttempt() && c.GetSequence() > old.GetSequence() {
			newest[r.GetTask()] = c
		}
	}
}

// checkState is P1 in the replicated state: after each entry, everything that occupies a worker fits its capacity,
// and the state's own sum agrees with one made from the tasks.
func checkState(h *history) error {
	state := domain.New("d1", domain.Limits{})
	for i, e := range h.entries {
		state.Apply(uint64(i+1), e.term, e.entry)
		view := state.View()
		for _, w := range view.Workers() {
			sum := &pb.Resources{}
			for _, t := range view.Tasks(domain.Filter{Worker: w.GetId()}) {
				add(sum, t.GetSpec().GetResources(), 1)
			}
			for _, held := range view.Held(w.GetId()) {
				add(sum, held.GetResources(), 1)
			}
			if !proto.Equal(sum, view.Used(w.GetId())) {
				return fmt.Errorf("entry %d: worker %s uses %v, the state says %v", i+1, w.GetId(), sum, view.Used(w.GetId()))
			}
			if len(view.Held(w.GetId())) == 0 && !fits(sum, w.GetCapacity()) {
				return fmt.Errorf("P1: entry %d: worker %s is given %v of %v", i+1, w.GetId(), sum, w.GetCapacity())
			}
		}
	}
	return nil
}
