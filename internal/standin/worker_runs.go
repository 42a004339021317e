package standin

import (
	"context"
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// apply carries out the actions that the fence has returned.
func (w *Worker) apply(ctx context.Context, actions []Action) {
	for _, a := range actions {
		w.options.Observe(a)
		if a.Op == pb.WorkerOp_WORKER_OP_START {
			w.startAttempt(ctx, a)
			continue
		}
		if r := w.runs[a.ID]; r != nil {
			r.run.enqueue(a)
		}
	}
}

func (w *Worker) startAttempt(ctx context.Context, a Action) {
	work, err := parseWork(a.Spec)
	if err != nil {
		w.handleReport(&pb.AttemptReport{Task: a.ID.Task, Attempt: a.ID.Attempt, Event: pb.AttemptEvent_ATTEMPT_EVENT_FAILED, Reason: err.Error()})
		return
	}
	r := &simulatedRun{id: a.ID, work: work, progress: a.Resume.GetProgress(), commands: make(chan Action, 16), checkpointTime: w.options.CheckpointTime}
	r.share.Store(math.Float64bits(1))
	r.report = func(report *pb.AttemptReport) {
		select {
		case w.reports <- report:
		case <-ctx.Done():
		}
	}
	w.runs[a.ID] = &activeRun{run: r, spec: a.Spec}
	w.updateSpeeds()
	go r.execute(ctx)
}

// updateSpeeds recomputes the speed of each attempt from the kinds of the other attempts on the worker.
func (w *Worker) updateSpeeds() {
	for id, r := range w.runs {
		var others []string
		for otherID, other := range w.runs {
			if otherID != id {
				others = append(others, other.spec.GetKind())
			}
		}
		r.run.speed.Store(math.Float64bits(w.options.Speed(r.spec.GetKind(), others)))
	}
}

// usageQueue delays usage samples, to simulate the lag of a platform's measurements.
type usageQueue struct {
	lag     time.Duration
	samples []*pb.UsageSample
}

// maxQueuedUsage bounds the queued samples. The oldest are dropped.
const maxQueuedUsage = 4096

func (q *usageQueue) add(s *pb.UsageSample) {
	if len(q.samples) >= maxQueuedUsage {
		q.samples = q.samples[1:]
	}
	q.samples = append(q.samples, s)
}

// takeReady removes and returns the samples that are at least as old as the lag.
func (q *usageQueue) takeReady(now time.Time) []*pb.UsageSample {
	before := now.Add(-q.lag).UnixMilli()
	ready := 0
	for ready < len(q.samples) && q.samples[ready].GetTakenUnixMs() <= before {
		ready++
	}
	taken := q.samples[:ready]
	q.samples = append([]*pb.UsageSample(nil), q.samples[ready:]...)
	return taken
}

// sampleUsage queues a usage sample of each attempt. A throttle lowers the used cores but not the speed, which reflects only
// interference by other attempts.
func (w *Worker) sampleUsage(now time.Time) {
	for id, r := range w.runs {
		cores, memory := r.run.work.UsedMillicores, r.run.work.UsedMemoryBytes
		if cores == 0 {
			cores = r.spec.GetResources().GetMillicores()
		}
		if memory == 0 {
			memory = r.spec.GetResources().GetMemoryBytes()
		}
		w.usage.add(&pb.UsageSample{Task: id.Task, Attempt: id.Attempt, TakenUnixMs: now.UnixMilli(),
			Millicores: int64(loadFloat(&r.run.share) * float64(cores)), MemoryBytes: memory, Speed: loadFloat(&r.run.speed)})
	}
}
