package dispatch

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/resources"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// planInterval is the least time between two plans; what arrives meanwhile is planned together.
	planInterval = 4 * time.Millisecond
	// planRest is the least time between two plans as a multiple of what the last one took, so that planning leaves time
	// for calls when the backlog is long.
	planRest = 3
	// maxStarts bounds the starts of one plan, and with it the log entry.
	maxStarts = 256
	// avoidFor is how long a worker that refused a task is not offered that task again.
	avoidFor = 3 * time.Second
)

const (
	// crowdedFor is how long after an eviction endless tasks leave free room to urgent work.
	crowdedFor = 4 * time.Second
	// heldFor bounds the wait of an endless task for that reason.
	heldFor = 2 * time.Second
)

// avoidance lists the workers that a task is kept away from.
type avoidance struct {
	workers map[string]time.Duration
}

func (l *Leader) avoidWorker(task submission.Ref, worker string) {
	a := l.avoid[task]
	if a == nil {
		a = &avoidance{workers: map[string]time.Duration{}}
		l.avoid[task] = a
	}
	a.workers[worker] = l.cfg.Clock()
}

func (l *Leader) avoided(task submission.Ref, now time.Duration) []string {
	a := l.avoid[task]
	if a == nil {
		return nil
	}
	var list []string
	for worker, at := range a.workers {
		if now-at < avoidFor {
			list = append(list, worker)
			continue
		}
		delete(a.workers, worker)
	}
	if len(list) == 0 {
		delete(l.avoid, task)
	}
	return list
}

// plan proposes starts and stops for the present state and queues what is to be committed.
func (l *Leader) plan() {
	now := l.cfg.Clock()
	if !l.dirty || now < l.planAt {
		return
	}
	l.dirty = false
	began := time.Now()
	plan := steps.MakePlan(l.snapshot(now))
	planSeconds.UpdateDuration(began)
	l.planAt = now + max(planInterval, planRest*time.Since(began))
	for _, start := range plan.Starts {
		l.queueStart(start)
	}
	l.logWaits(plan.Waiting, now)
	if len(plan.Stops) > 0 {
		l.crowdedAt = now
	}
	for _, move := range plan.Moves {
		l.moveRun(move)
	}
	for _, stop := range plan.Stops {
		if r := l.runs[stop.Task]; r != nil && r.on == stop.On && r.attempt == stop.Attempt {
			evictionsTotal.Inc()
			l.log.Info().Str("decision", "evict").Str("request", stop.Task.Submission).Uint32("step", stop.Task.Step).Uint32("task", stop.Task.Index).
				Uint32("attempt", stop.Attempt).Str("worker", stop.On.ID).Str("for", stop.For).Msg("")
			l.stopRun(stop.Task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "evicted")
		}
	}
}

// moveRun stops a filling task for which another worker has a place.
func (l *Leader) moveRun(move steps.Move) {
	r := l.runs[move.Task]
	if r == nil || r.on != move.On || r.attempt != move.Attempt {
		return
	}
	movesTotal.Inc()
	l.log.Info().Str("decision", "move").Str("request", move.Task.Submission).Uint32("step", move.Task.Step).Uint32("task", move.Task.Index).
		Uint32("attempt", move.Attempt).Str("worker", move.On.ID).Msg("")
	l.avoidWorker(move.Task, move.On.ID)
	l.stopRun(move.Task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, "presses-on-service")
}

func (l *Leader) queueStart(start steps.Start) {
	change := &pb.TaskStart{Task: start.Task.Proto(), Attempt: start.Attempt, Worker: start.On.ID, WorkerBornUnixMs: start.On.BornUnixMs}
	l.change(&pb.SubmissionChange{Change: &pb.SubmissionChange_Start{Start: change}}, func(result submission.Result, err error) {
		l.logFailed("task-start", start.Task.Submission, err)
		if err != nil || !result.Applied {
			return
		}
		l.log.Info().Str("decision", "placed").Str("request", start.Task.Submission).Uint32("step", start.Task.Step).Uint32("task", start.Task.Index).
			Uint32("attempt", start.Attempt).Str("worker", start.On.ID).Int("considered", start.Considered).Uint64("term", l.term).Msg("")
		l.startRun(start.Task, start.Attempt, start.On)
	})
}

// snapshot collects what the planner needs.
func (l *Leader) snapshot(now time.Duration) *steps.Snapshot {
	snap := &steps.Snapshot{NowUnixMs: time.Now().UnixMilli(), MaxStarts: maxStarts, Pressure: l.pressure}
	l.cfg.State.View(func(state *submission.State) {
		for _, sub := range state.Active() {
			snap.Requests = append(snap.Requests, l.requests(state, sub, snap.NowUnixMs, now)...)
		}
		if len(snap.Requests) == 0 && !l.someLeave() {
			return
		}
		for _, w := range state.Workers() {
			if !w.GetGone() {
				snap.Workers = append(snap.Workers, l.viewWorker(state, w, now))
			}
		}
	})
	l.addAdvice(snap, now)
	slices.SortFunc(snap.Workers, func(a, b *steps.Worker) int { return strings.Compare(a.Life.ID, b.Life.ID) })
	return snap
}

// addAdvice limits requests of queues with a policy to the workers that it allows.
func (l *Leader) addAdvice(snap *steps.Snapshot, now time.Duration) {
	for _, r := range snap.Requests {
		if !r.Advised {
			continue
		}
		var candidates []string
		for _, w := range snap.Workers {
			if w.Usable && w.Pool == r.Pool {
				candidates = append(candidates, w.Life.ID)
			}
		}
		slices.Sort(candidates)
		r.Allowed = l.allowedOn(submission.Ref{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step}, candidates, now)
	}
}

// viewWorker returns the planner's view of a worker. It lasts until the next plan, which takes its memory: views of
// thousands of workers several times a second would keep the garbage collector busy.
func (l *Leader) viewWorker(state *submission.State, w *submission.Worker, now time.Duration) *steps.Worker {
	view := l.views[w.GetId()]
	if view == nil {
		view = &steps.Worker{}
		l.views[w.GetId()] = view
	}
	view.Life, view.Pool, view.Rack, view.Labels = w.Incarnation(), w.GetPool(), w.GetRack(), w.GetLabels()
	view.Capacity, view.Penalty, view.Residents = resources.FromProto(w.GetCapacity()), l.penalty(w.GetId(), now), view.Residents[:0]
	s := l.sessions[w.GetId()]
	view.Usable = w.Usable() && s != nil && s.life == w.Incarnation() && l.usable(s, now) && !l.quarantined(w.GetId(), now) && !l.takesOver(s)
	for ref, attempt := range w.Attempts {
		sub := state.Submission(ref.Submission)
		if sub == nil {
			continue
		}
		resident := steps.Resident{Task: ref, Attempt: attempt, Step: sub.Spec.GetSteps()[ref.Step], Priority: state.QueueOf(sub).GetPriority(), TailRatio: -1}
		if s != nil && resident.Step.GetFills() {
			resident.ThrottledBy = 1 - float64(s.shareOf(ref))/fullSpeed
		}
		if s != nil {
			if figure, ok := s.figures[ref]; ok && figure.Attempt == attempt {
				if limit := resident.Step.GetTailLimitMs(); limit > 0 {
					resident.TailRatio = figure.Figure / float64(limit)
				}
			}
		}
		if r := l.runs[ref]; r != nil && r.attempt == attempt {
			resident.Stopping = r.phase == stopping
			resident.ShouldMove = r.leaves && r.phase == confirmedRun
			resident.MayStop = r.phase == confirmedRun && (!resident.Step.GetEndless() || l.canLose(state, stepOf{ref.Submission, ref.Occurrence, ref.Step}, 1))
		}
		view.Residents = append(view.Residents, resident)
	}
	return view
}

// someLeave reports whether a filling task should work elsewhere.
func (l *Leader) someLeave() bool {
	for _, r := range l.runs {
		if r.leaves {
			return true
		}
	}
	return false
}

// requests returns the steps of a submission that have waiting tasks whose turn has come.
func (l *Leader) requests(state *submission.State, sub *submission.Submission, unixMs int64, now time.Duration) []*steps.Request {
	var list []*steps.Request
	queue := state.QueueOf(sub)
	if queue == nil {
		return nil
	}
	for number := range sub.Runs() {
		if sub.DueUnixMs(number) > unixMs {
			break
		}
		o := sub.Occurrence(number)
		if o.Done {
			continue
		}
		runs := slices.ContainsFunc(o.Steps, func(step submission.Step) bool { return step.Placed > 0 })
		for i := range o.Steps {
			if o.Steps[i].Waiting() == 0 || !o.Ready(sub.Spec, i) {
				continue
			}
			r := &steps.Request{Submission: sub.Spec.GetId(), Occurrence: number, Step: uint32(i), Spec: sub.Spec.GetSteps()[i],
				Pool: queue.GetPool(), Priority: queue.GetPriority(), Advised: queue.GetAdvice() != nil, AcceptedUnixMs: sub.AcceptedUnixMs}
			r.ObjectiveUnixMs, r.WorthlessUnixMs = steps.Objective(sub.Spec, queue, sub.DueUnixMs(number))
			r.CriticalPathMs = steps.CriticalPathFrom(sub.Spec, i)
			if l.waiting(r, &o.Steps[i], now); len(r.Waiting) == 0 {
				continue
			}
			r.Idle = !runs
			r.Deferred = r.Spec.GetEndless() && now-l.crowdedAt < crowdedFor && l.waited(r, now) < heldFor
			r.WorkMs = float64(len(r.Waiting)) * float64(r.Spec.GetEstimateMs()) * float64(r.Spec.GetSize().GetMillicores()) / 1000
			r.ReadyUnixMs = unixMs - l.waited(r, now).Milliseconds()
			list = append(list, r)
		}
	}
	return list
}

// stepOf names a step of a submission.
type stepOf struct {
	submission       string
	occurrence, step uint32
}

// waitRecord is how long a step has had waiting tasks without a start, and when that was last logged.
type waitRecord struct {
	since, seen, logged time.Duration
}

// waitForgotten is how long after a step last waited its record is dropped.
const waitForgotten = 2 * time.Second

// waitLogEvery is the least time between two lines about a step that finds no place, which bounds their number.
const waitLogEvery = 2 * time.Second

// waited returns how long a step has been waiting.
func (l *Leader) waited(r *steps.Request, now time.Duration) time.Duration {
	key := stepOf{r.Submission, r.Occurrence, r.Step}
	record := l.waits[key]
	if record == nil || now-record.seen > waitForgotten {
		record = &waitRecord{since: now, logged: now}
		l.waits[key] = record
	}
	record.seen = now
	return now - record.since
}

// logWaits says of steps that wait for long what keeps them.
func (l *Leader) logWaits(waits []steps.Wait, now time.Duration) {
	for _, w := range waits {
		record := l.waits[stepOf{w.Task.Submission, w.Task.Occurrence, w.Task.Step}]
		if record == nil || now-record.logged < waitLogEvery {
			continue
		}
		record.logged = now
		l.log.Info().Str("decision", "waits").Str("request", w.Task.Submission).Uint32("step", w.Task.Step).Int32("priority", w.Priority).
			Int("tasks", w.Tasks).Dur("waited_ms", now-record.since).Str("workers", w.Obstacles).Msg("")
	}
	for key, record := range l.waits {
		if now-record.seen > waitForgotten {
			delete(l.waits, key)
		}
	}
}

// waiting sets the tasks of a request that may be started now.
func (l *Leader) waiting(r *steps.Request, step *submission.Step, now time.Duration) {
	attempt := uint32(0)
	if r.Spec.GetGang() {
		for i := range step.Tasks {
			attempt = max(attempt, step.Tasks[i].Attempt+1)
		}
	}
	for i := range step.Tasks {
		t := &step.Tasks[i]
		if t.Done || t.Placed() {
			continue
		}
		ref := submission.Ref{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step, Index: uint32(i)}
		if !l.mayStart(ref, now) {
			if r.Spec.GetGang() { // its members start together
				r.Waiting = nil
				return
			}
			continue
		}
		r.Waiting = append(r.Waiting, steps.WaitingTask{Index: uint32(i), Attempt: max(attempt, t.Attempt+1), AvoidWorkers: l.avoided(ref, now)})
	}
}

// quality is how a worker has treated recent tasks.
type quality struct {
	// failures are the times at which tasks of distinct submissions failed there.
	failures   map[string]time.Duration
	quarantine time.Duration // until when it gets no tasks
}

const (
	// qualityWindow is the time for which a failure counts against a worker.
	qualityWindow = 6 * time.Second
	// quarantineAfter is the number of distinct submissions whose tasks failed in a row before a worker is set aside.
	quarantineAfter = 3
	// quarantineFor is how long a worker is set aside; then one failure suffices to set it aside again.
	quarantineFor = 4 * time.Second
	// unwellFor is how long a worker that refused work as not well is set aside.
	unwellFor = time.Second
)

func (l *Leader) qualityOf(worker string) *quality {
	q := l.quality[worker]
	if q == nil {
		q = &quality{failures: map[string]time.Duration{}}
		l.quality[worker] = q
	}
	return q
}

// noteQuality records the end of a task. Failures in a row of several submissions speak against the worker, those of
// one submission against the submission.
func (l *Leader) noteQuality(worker string, e Ended) {
	q, now := l.qualityOf(worker), l.cfg.Clock()
	switch e.Kind {
	case pb.TaskEndKind_TASK_END_KIND_DONE:
		clear(q.failures)
	case pb.TaskEndKind_TASK_END_KIND_FAILED:
		l.avoidWorker(e.Task, worker)
		q.failures[e.Task.Submission] = now
		for id, at := range q.failures {
			if now-at > qualityWindow {
				delete(q.failures, id)
			}
		}
		if len(q.failures) >= quarantineAfter && q.quarantine <= now {
			q.quarantine = now + quarantineFor
			l.log.Warn().Str("decision", "quarantine").Str("worker", worker).Int("failures", len(q.failures)).Msg("tasks of several submissions failed there")
		}
	}
}

func (l *Leader) noteRefusal(worker string, err error) {
	q, now := l.qualityOf(worker), l.cfg.Clock()
	if errors.Is(err, ErrUnavailable) {
		q.quarantine = max(q.quarantine, now+unwellFor)
	}
}

func (l *Leader) quarantined(worker string, now time.Duration) bool {
	q := l.quality[worker]
	return q != nil && q.quarantine > now
}

// penalty is above 0 for a worker on which tasks have failed lately.
func (l *Leader) penalty(worker string, now time.Duration) float64 {
	q := l.quality[worker]
	if q == nil {
		return 0
	}
	recent := 0
	for _, at := range q.failures {
		if now-at < qualityWindow {
			recent++
		}
	}
	return float64(recent) * failurePenalty
}

// failurePenalty is the penalty for each recent failure, in shares of a worker's processor time.
const failurePenalty = 0.1
