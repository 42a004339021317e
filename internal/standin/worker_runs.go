package standin

import (
	"context"
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// act carries out what the fence decided.
func (w *Worker) act(ctx context.Context, actions []Action) {
	for _, a := range actions {
		w.options.Observe(a)
		if a.Op == pb.WorkerOp_WORKER_OP_START {
			w.start(ctx, a)
			continue
		}
		if r := w.runs[a.ID]; r != nil {
			r.run.order(a)
		}
	}
}

func (w *Worker) start(ctx context.Context, a Action) {
	work, err := parseWork(a.Spec)
	if err != nil {
		w.report(&pb.AttemptReport{Task: a.ID.Task, Attempt: a.ID.Attempt, Event: pb.AttemptEvent_ATTEMPT_EVENT_FAILED, Reason: err.Error()})
		return
	}
	r := &run{id: a.ID, work: work, progress: a.Resume.GetProgress(), orders: make(chan Action, 16), checkpointTime: w.options.CheckpointTime}
	r.share.Store(math.Float64bits(1))
	r.report = func(report *pb.AttemptReport) {
		select {
		case w.reports <- report:
		case <-ctx.Done():
		}
	}
	w.runs[a.ID] = &running{run: r, spec: a.Spec}
	w.setSpeeds()
	go r.execute(ctx)
}

// setSpeeds computes how much the attempts on the worker slow each other down.
func (w *Worker) setSpeeds() {
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

// usageQueue delays usage samples by the lag of the platform's measurements.
type usageQueue struct {
	lag     time.Duration
	samples []*pb.UsageSample
}

// maxQueuedUsage bounds the samples that wait for a heartbeat; the oldest are dropped.
const maxQueuedUsage = 4096

func (q *usageQueue) add(s *pb.UsageSample) {
	if len(q.samples) >= maxQueuedUsage {
		q.samples = q.samples[1:]
	}
	q.samples = append(q.samples, s)
}

// take returns the samples whose lag is over.
func (q *usageQueue) take(now time.Time) []*pb.UsageSample {
	before := now.Add(-q.lag).UnixMilli()
	ready := 0
	for ready < len(q.samples) && q.samples[ready].GetTakenUnixMs() <= before {
		ready++
	}
	taken := q.samples[:ready]
	q.samples = append([]*pb.UsageSample(nil), q.samples[ready:]...)
	return taken
}

// sample measures each attempt. A throttle lowers the used cores but not the speed, which tells only about neighbours.
func (w *Worker) sample(now time.Time) {
	for id, r := range w.runs {
		cores, memory := r.run.work.UsedMillicores, r.run.work.UsedMemoryBytes
		if cores == 0 {
			cores = r.spec.GetResources().GetMillicores()
		}
		if memory == 0 {
			memory = r.spec.GetResources().GetMemoryBytes()
		}
		w.usage.add(&pb.UsageSample{Task: id.Task, Attempt: id.Attempt, TakenUnixMs: now.UnixMilli(),
			Millicores: int64(load(&r.run.share) * float64(cores)), MemoryBytes: memory, Speed: load(&r.run.speed)})
	}
}
