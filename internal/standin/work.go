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

// Work is the payload of a simulated task, as JSON.
type Work struct {
	// RunMs is the run time at full speed.
	RunMs int64 `json:"run_ms"`
	// CheckpointEveryMs is the interval of checkpoints while running; 0: only when told to stop.
	CheckpointEveryMs int64 `json:"checkpoint_every_ms,omitempty"`
	// FailStart makes the attempt fail before it starts.
	FailStart bool `json:"fail_start,omitempty"`
	// FailAtPercent makes the attempt fail at this share of its work; 0: never.
	FailAtPercent int `json:"fail_at_percent,omitempty"`
	// UsedMillicores and UsedMemoryBytes are the actual usage; 0: as declared.
	UsedMillicores  int64 `json:"used_millicores,omitempty"`
	UsedMemoryBytes int64 `json:"used_memory_bytes,omitempty"`
}

// Payload returns the encoded payload of a task that does w.
func (w Work) Payload() []byte {
	encoded, _ := json.Marshal(w) // plain numbers and booleans
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

// workStep is the interval at which progress is counted.
const workStep = 50 * time.Millisecond

// run is one simulated attempt. Its goroutine owns everything but the channels.
type run struct {
	id       AttemptID
	work     Work
	progress float64
	sequence uint64
	// speed and share are float64 bits, which the worker also reads for usage samples.
	speed, share atomic.Uint64
	orders       chan Action
	report       func(*pb.AttemptReport)
	// checkpointTime is how long writing a checkpoint takes.
	checkpointTime time.Duration
}

func (r *run) event(event pb.AttemptEvent, checkpoint *pb.Checkpoint, reason string) {
	r.report(&pb.AttemptReport{Task: r.id.Task, Attempt: r.id.Attempt, Event: event, Checkpoint: checkpoint, Reason: reason})
}

func (r *run) checkpoint() *pb.Checkpoint {
	r.sequence++
	return &pb.Checkpoint{Attempt: r.id.Attempt, Sequence: r.sequence, Progress: r.progress}
}

// order passes an action on. Throttles are dropped rather than fill the queue: the leader repeats them.
func (r *run) order(a Action) {
	if a.Op == pb.WorkerOp_WORKER_OP_THROTTLE && len(r.orders) >= cap(r.orders)/2 {
		return
	}
	r.orders <- a
}

// execute works until the attempt ends or ctx does; the end of ctx stands for the death of the process.
func (r *run) execute(ctx context.Context) {
	if r.work.FailStart {
		r.event(pb.AttemptEvent_ATTEMPT_EVENT_FAILED, nil, "simulated failure at start")
		return
	}
	r.event(pb.AttemptEvent_ATTEMPT_EVENT_STARTED, nil, "")
	ticker := time.NewTicker(workStep)
	defer ticker.Stop()
	last, saved := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-r.orders:
			if order.Op == pb.WorkerOp_WORKER_OP_THROTTLE {
				r.share.Store(math.Float64bits(order.Share))
				continue
			}
			r.end(ctx, order)
			return
		case now := <-ticker.C:
			r.advance(now.Sub(last))
			last = now
			if r.ended() {
				return
			}
			if every := time.Duration(r.work.CheckpointEveryMs) * time.Millisecond; every > 0 && now.Sub(saved) >= every {
				saved = now
				r.event(pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED, r.checkpoint(), "")
			}
		}
	}
}

func (r *run) advance(elapsed time.Duration) {
	total := time.Duration(max(r.work.RunMs, 1)) * time.Millisecond
	r.progress = min(1, r.progress+load(&r.share)*load(&r.speed)*elapsed.Seconds()/total.Seconds())
}

func load(bits *atomic.Uint64) float64 { return math.Float64frombits(bits.Load()) }

func (r *run) ended() bool {
	if at := r.work.FailAtPercent; at > 0 && r.progress*100 >= float64(at) {
		r.event(pb.AttemptEvent_ATTEMPT_EVENT_FAILED, nil, "simulated failure while running")
		return true
	}
	if r.progress >= 1 {
		r.event(pb.AttemptEvent_ATTEMPT_EVENT_FINISHED, nil, "")
		return true
	}
	return false
}

// end writes a checkpoint unless a kill comes first.
func (r *run) end(ctx context.Context, order Action) {
	for order.Op == pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP {
		select {
		case <-time.After(r.checkpointTime):
			r.event(pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, r.checkpoint(), "checkpointed and stopped")
			return
		case order = <-r.orders:
			if order.Op == pb.WorkerOp_WORKER_OP_THROTTLE {
				order.Op = pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP
			}
		case <-ctx.Done():
			return
		}
	}
	r.event(pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, nil, "stopped")
}
