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

// execution is one execution of an attempt as observed on the worker. The end of an unfinished execution is zero.
type execution struct {
	worker     string
	process    string
	id         standin.AttemptID
	size       *pb.Resources
	resume     *pb.Checkpoint
	start, end time.Time
}

// history records the executions on workers and the committed entries. The checkers use nothing else.
type history struct {
	mu         sync.Mutex
	executions []*execution
	open       map[string]map[standin.AttemptID]*execution // by worker process
	entries    []simEntry
}

func newHistory() *history { return &history{open: map[string]map[standin.AttemptID]*execution{}} }

// observer returns the callback that records the events of one worker process.
func (h *history) observer(worker, process string) func(any) {
	return func(event any) {
		h.mu.Lock()
		defer h.mu.Unlock()
		switch e := event.(type) {
		case standin.Action:
			if e.Op == pb.WorkerOp_WORKER_OP_START {
				h.started(&execution{worker: worker, process: process, id: e.ID, size: e.Spec.GetResources(), resume: e.Resume, start: time.Now()}, process)
			}
		case *pb.AttemptReport:
			if r := h.open[process][standin.AttemptID{Task: e.GetTask(), Attempt: e.GetAttempt()}]; r != nil && domain.EndsAttempt(e.GetEvent()) {
				r.end = time.Now()
			}
		}
	}
}

// started records the start of an execution. The caller holds h.mu.
func (h *history) started(r *execution, process string) {
	if h.open[process] == nil {
		h.open[process] = map[standin.AttemptID]*execution{}
	}
	h.open[process][r.id] = r
	h.executions = append(h.executions, r)
}

// processExited records the end of every execution of a worker process.
func (h *history) processExited(process string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.open[process] {
		if r.end.IsZero() {
			r.end = time.Now()
		}
	}
}

// String includes the process and the times, so that a failure can be compared with the injected faults.
func (r *execution) String() string {
	return fmt.Sprintf("%s from %s to %s", r.process, r.start.Format(time.TimeOnly+".000"), r.end.Format(time.TimeOnly+".000"))
}

func (r *execution) overlaps(o *execution) bool {
	return (o.end.IsZero() || r.start.Before(o.end)) && (r.end.IsZero() || o.start.Before(r.end))
}

// checkCapacity checks property P1: a worker never executes more than its capacity.
func checkCapacity(h *history, capacity *pb.Resources) error {
	for _, r := range h.executions {
		sum := &pb.Resources{}
		for _, o := range h.executions {
			if o.worker == r.worker && !o.start.After(r.start) && (o.end.IsZero() || o.end.After(r.start)) {
				addResources(sum, o.size, 1)
			}
		}
		if !fits(sum, capacity) {
			return fmt.Errorf("P1: worker %s executes %d millicores of %d", r.worker, sum.GetMillicores(), capacity.GetMillicores())
		}
	}
	return nil
}

// checkNoDoubleExecution checks property P2: no task has two executions at the same time, and no attempt is executed
// twice.
func checkNoDoubleExecution(h *history) error {
	byTask := map[string][]*execution{}
	for _, r := range h.executions {
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

// checkResume checks property P3: each execution resumes from the newest checkpoint that was committed before its
// placement, and every task reaches a final state other than failed. The newest checkpoint is derived from the log
// entries alone.
func checkResume(h *history) error {
	atPlacement, final := committedCheckpoints(h.entries)
	for _, r := range h.executions {
		want := atPlacement[r.id]
		if !proto.Equal(want, r.resume) {
			return fmt.Errorf("P3: attempt %d of task %s resumes from checkpoint %v, the newest committed one is %v", r.id.Attempt, r.id.Task, r.resume, want)
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

// committedCheckpoints replays the log. It returns the newest checkpoint at the placement of each attempt, and the
// final state of the tasks.
func committedCheckpoints(entries []simEntry) (map[standin.AttemptID]*pb.Checkpoint, []*pb.Task) {
	state := domain.New("d1", domain.Limits{})
	atPlacement := map[standin.AttemptID]*pb.Checkpoint{}
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
					atPlacement[standin.AttemptID{Task: t.GetId(), Attempt: t.GetAttempt()}] = newest[t.GetId()]
				}
			}
			if result.Batch[n].Err == nil {
				updateNewest(newest, placed, c.GetReportAttempts().GetReports())
			}
		}
	}
	return atPlacement, state.View().Tasks(domain.Filter{})
}

// updateNewest applies the rule for checkpoints: only those of the latest attempt are accepted, and a higher sequence
// number replaces a lower one.
func updateNewest(newest map[string]*pb.Checkpoint, placed map[string]uint32, reports []*pb.AttemptReport) {
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

// checkReplicatedState checks property P1 in the replicated state. After each entry, the state's resource count of each
// worker must equal the sum over its tasks and held attempts. That sum must fit the worker's capacity unless attempts
// are held, because a worker may still run held attempts beyond its assigned ones.
func checkReplicatedState(h *history) error {
	state := domain.New("d1", domain.Limits{})
	for i, e := range h.entries {
		state.Apply(uint64(i+1), e.term, e.entry)
		view := state.View()
		for _, w := range view.Workers() {
			sum := &pb.Resources{}
			for _, t := range view.Tasks(domain.Filter{Worker: w.GetId()}) {
				addResources(sum, t.GetSpec().GetResources(), 1)
			}
			for _, held := range view.Held(w.GetId()) {
				addResources(sum, held.GetResources(), 1)
			}
			if !proto.Equal(sum, view.Used(w.GetId())) {
				return fmt.Errorf("entry %d: allocations of worker %s sum up to %v, the state counts %v", i+1, w.GetId(), sum, view.Used(w.GetId()))
			}
			if len(view.Held(w.GetId())) == 0 && !fits(sum, w.GetCapacity()) {
				return fmt.Errorf("P1: entry %d: worker %s is assigned %v, its capacity is %v", i+1, w.GetId(), sum, w.GetCapacity())
			}
		}
	}
	return nil
}
