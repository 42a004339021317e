package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Work describes a simulated task. Its JSON encoding is the payload of the task.
type Work struct {
	// RunMs is the run time at full speed.
	RunMs int64 `json:"run_ms"`
	// CheckpointEveryMs is the interval of checkpoints while running. 0 means only when told to stop.
	CheckpointEveryMs int64 `json:"checkpoint_every_ms,omitempty"`
	// FailStart makes the attempt fail before it starts.
	FailStart bool `json:"fail_start,omitempty"`
	// FailAtPercent makes the attempt fail once this percentage of its work is done. 0 means never.
	FailAtPercent int `json:"fail_at_percent,omitempty"`
	// UsedMillicores and UsedMemoryBytes are the reported usage. 0 means as declared.
	UsedMillicores  int64 `json:"used_millicores,omitempty"`
	UsedMemoryBytes int64 `json:"used_memory_bytes,omitempty"`
}

// Payload returns the payload of a task that performs w.
func (w Work) Payload() []byte {
	encoded, _ := json.Marshal(w) // numbers and booleans always encode
	return encoded
}

func parseWork(spec *pb.TaskSpec) (Work, error) {
	work := Work{RunMs: spec.GetExpectedRunMs()}
	if len(spec.GetPayload()) == 0 {
		return work, nil
	}
	if err := json.Unmarshal(spec.GetPayload(), &work); err != nil {
		return work, fmt.Errorf("payload of task %q is not simulated work: %w", spec.GetName(), err)
	}
	return work, nil
}

// progressInterval is the interval at which progress is updated.
const progressInterval = 50 * time.Millisecond

// simulatedRun executes one attempt of a simulated task. Its goroutine owns all fields except the atomics and the channel.
type simulatedRun struct {
	id       AttemptID
	work     Work
	progress float64
	sequence uint64
	// speed and share hold float64 bits. The worker also reads them, for usage samples.
	speed, share atomic.Uint64
	commands     chan Action
	report       func(*pb.AttemptReport)
	// checkpointTime is how long writing a checkpoint takes.
	checkpointTime time.Duration
}

func (r *simulatedRun) reportEvent(event pb.AttemptEvent, checkpoint *pb.Checkpoint, reason string) {
	r.report(&pb.AttemptReport{Task: r.id.Task, Attempt: r.id.Attempt, Event: event, Checkpoint: checkpoint, Reason: reason})
}

func (r *simulatedRun) newCheckpoint() *pb.Checkpoint {
	r.sequence++
	return &pb.Checkpoint{Attempt: r.id.Attempt, Sequence: r.sequence, Progress: r.progress}
}

// enqueue queues a command for the run. Throttles are dropped once the queue is half full, because the leader repeats them.
func (r *simulatedRun) enqueue(a Action) {
	if a.Op == pb.WorkerOp_WORKER_OP_THROTTLE && len(r.commands) >= cap(r.commands)/2 {
		return
	}
	r.commands <- a
}

// execute runs until the attempt or ctx ends. The end of ctx simulates a crash of the worker process.
func (r *simulatedRun) execute(ctx context.Context) {
	if r.work.FailStart {
		r.reportEvent(pb.AttemptEvent_ATTEMPT_EVENT_FAILED, nil, "simulated failure at start")
		return
	}
	r.reportEvent(pb.AttemptEvent_ATTEMPT_EVENT_STARTED, nil, "")
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	last, saved := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-r.commands:
			if command.Op == pb.WorkerOp_WORKER_OP_THROTTLE {
				r.share.Store(math.Float64bits(command.Share))
				continue
			}
			r.stop(ctx, command)
			return
		case now := <-ticker.C:
			r.addProgress(now.Sub(last))
			last = now
			if r.endIfDue() {
				return
			}
			if interval := time.Duration(r.work.CheckpointEveryMs) * time.Millisecond; interval > 0 && now.Sub(saved) >= interval {
				saved = now
				r.reportEvent(pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED, r.newCheckpoint(), "")
			}
		}
	}
}

func (r *simulatedRun) addProgress(elapsed time.Duration) {
	total := time.Duration(max(r.work.RunMs, 1)) * time.Millisecond
	r.progress = min(1, r.progress+loadFloat(&r.share)*loadFloat(&r.speed)*elapsed.Seconds()/total.Seconds())
}

func loadFloat(bits *atomic.Uint64) float64 { return math.Float64frombits(bits.Load()) }

func (r *simulatedRun) endIfDue() bool {
	if at := r.work.FailAtPercent; at > 0 && r.progress*100 >= float64(at) {
		r.reportEvent(pb.AttemptEvent_ATTEMPT_EVENT_FAILED, nil, "simulated failure while running")
		return true
	}
	if r.progress >= 1 {
		r.reportEvent(pb.AttemptEvent_ATTEMPT_EVENT_FINISHED, nil, "")
		return true
	}
	return false
}

// stop writes a checkpoint, unless a command to stop without one arrives first, and reports the end of the attempt.
func (r *simulatedRun) stop(ctx context.Context, command Action) {
	for command.Op == pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP {
		select {
		case <-time.After(r.checkpointTime):
			r.reportEvent(pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, r.newCheckpoint(), "checkpointed and stopped")
			return
		case command = <-r.commands:
			if command.Op == pb.WorkerOp_WORKER_OP_THROTTLE {
				command.Op = pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP
			}
		case <-ctx.Done():
			return
		}
	}
	r.reportEvent(pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, nil, "stopped")
}
