package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// planInterval is the minimum time between two plans. Changes that arrive in between are planned together.
	planInterval = 4 * time.Millisecond
	// planPauseFactor is the minimum pause after a plan as a multiple of the time that it took. It leaves the event loop time for
	// calls when the backlog is long.
	planPauseFactor = 3
	// maxStarts bounds the starts of one plan, and thereby the size of the log entry.
	maxStarts = 256
)

const (
	// evictionCooldown is how long after an eviction endless tasks are not started, to leave free resources to urgent work.
	evictionCooldown = 4 * time.Second
	// maxEndlessWait bounds how long an endless task waits for that reason.
	maxEndlessWait = 3500 * time.Millisecond
	// minEndlessRun is how long an attempt of an endless task runs before it may be evicted.
	minEndlessRun = 4 * time.Second
)

// plan makes a plan if one is due. It queues the starts for the next entry and stops the attempts that are to be evicted or
// moved.
func (l *Leader) plan() {
	now := l.cfg.Clock()
	if !l.dirty || now < l.nextPlan {
		return
	}
	l.dirty = false
	began := time.Now()
	snapshot := l.snapshot(now)
	plan := steps.MakePlan(snapshot)
	l.finiteDemand.Observe(snapshot.NowUnixMs, plan.Usage)
	planSeconds.UpdateDuration(began)
	l.nextPlan = now + max(planInterval, planPauseFactor*time.Since(began))
	for _, start := range plan.Starts {
		l.queueStart(start)
	}
	l.logWaits(plan.Waiting, now)
	l.logUsage(plan.Usage, now)
	if len(plan.Stops) > 0 {
		l.lastEviction = now
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

// moveRun stops a task so that it can restart on another worker, which has room for it.
func (l *Leader) moveRun(move steps.Move) {
	r := l.runs[move.Task]
	if r == nil || r.on != move.On || r.attempt != move.Attempt {
		return
	}
	movesTotal.Inc()
	l.log.Info().Str("decision", "move").Str("request", move.Task.Submission).Uint32("step", move.Task.Step).Uint32("task", move.Task.Index).
		Uint32("attempt", move.Attempt).Str("worker", move.On.ID).Msg("")
	l.avoidWorker(move.Task, move.On.ID)
	reason := "worker-drains"
	if r.shouldMove {
		reason = "presses-on-service"
	}
	l.stopRun(move.Task, r, pb.TaskEndKind_TASK_END_KIND_STOPPED, reason)
}

func (l *Leader) queueStart(start steps.Start) {
	change := &pb.TaskStart{Task: start.Task.Proto(), Attempt: start.Attempt, Worker: start.On.ID, WorkerBornUnixMs: start.On.BornUnixMs}
	l.queueChange(&pb.SubmissionChange{Change: &pb.SubmissionChange_Start{Start: change}}, func(result submission.Result, err error) {
		l.logCommitFailure("task-start", start.Task.Submission, err)
		if err != nil || !result.Applied {
			return
		}
		l.log.Info().Str("decision", "placed").Str("request", start.Task.Submission).Uint32("step", start.Task.Step).Uint32("task", start.Task.Index).
			Uint32("attempt", start.Attempt).Str("worker", start.On.ID).Int("considered", start.Considered).Uint64("term", l.term).Msg("")
		l.startRun(start.Task, start.Attempt, start.On)
	})
}

// snapshot returns the input of the planner: the requests with waiting tasks and the views of the workers. It leaves out the
// workers if there is nothing to place or move.
func (l *Leader) snapshot(now time.Duration) *steps.Snapshot {
	snap := &steps.Snapshot{NowUnixMs: time.Now().UnixMilli(), MaxStarts: maxStarts, Pressure: l.pressure, FiniteDemand: l.finiteDemand}
	l.cfg.State.View(func(state *submission.State) {
		sharing := recurringSubmissions(state)
		for _, sub := range state.Active() {
			snap.Requests = append(snap.Requests, l.requests(state, sub, sharing, snap.NowUnixMs, now)...)
		}
		if len(snap.Requests) == 0 && !l.anyShouldMove() && !l.anyEndsSoon(state) {
			return
		}
		snap.Expected = l.expectedRequests(state, snap.NowUnixMs, now)
		spare := map[stepKey]int{}
		mayStop := func(key stepKey) bool {
			left, ok := spare[key]
			if !ok {
				left = l.spareTasks(state, key, submission.Incarnation{})
			}
			spare[key] = left - 1
			return left > 0
		}
		for _, draining := range []bool{true, false} { // mayStop allows those first that end in any case
			for _, w := range state.Workers() {
				if !w.GetGone() && w.GetDraining() == draining {
					snap.Workers = append(snap.Workers, l.workerView(state, w, now, mayStop))
				}
			}
		}
	})
	slices.SortFunc(snap.Workers, func(a, b *steps.Worker) int { return strings.Compare(a.Incarnation.ID, b.Incarnation.ID) })
	l.addAdvice(snap, now)
	return snap
}

// workerView returns the planner's view of a worker. The view is valid until the next plan, which reuses its memory, because
// allocating views of thousands of workers several times a second would keep the garbage collector busy.
// mayStop reports whether the plan may stop one more endless task of a step.
func (l *Leader) workerView(state *submission.State, w *submission.Worker, now time.Duration, mayStop func(stepKey) bool) *steps.Worker {
	view := l.views[w.GetId()]
	if view == nil {
		view = &steps.Worker{}
		l.views[w.GetId()] = view
	}
	view.Incarnation, view.Pool, view.Rack, view.Labels = w.Incarnation(), w.GetPool(), w.GetRack(), w.GetLabels()
	view.Capacity, view.Penalty, view.Residents = l.capacityOf(w), l.penalty(w.GetId(), now), view.Residents[:0]
	s := l.sessions[w.GetId()]
	view.Usable = w.Usable() && s != nil && s.incarnation == w.Incarnation() && l.usable(s, now) && !l.quarantined(w.GetId(), now) && !l.mayRunUncertainStarts(s) &&
		l.knowsCapacity(state, w, s)
	for ref, attempt := range w.Attempts {
		sub := state.Submission(ref.Submission)
		if sub == nil {
			continue
		}
		resident := steps.Resident{Task: ref, Attempt: attempt, Step: sub.Spec.GetSteps()[ref.Step], Priority: state.QueueOf(sub).GetPriority(), TailRatio: -1}
		if s != nil && resident.Step.GetFills() {
			resident.ThrottledBy = 1 - float64(s.speedLimit(ref, attempt))/fullSpeed
		}
		if s != nil {
			if reported, ok := s.running[ref]; ok && reported.Attempt == attempt {
				if limit := resident.Step.GetTailLimitMs(); limit > 0 {
					resident.TailRatio = reported.Figure / float64(limit)
				}
			}
		}
		if t := state.Task(ref); t != nil {
			resident.Suspect = t.Suspect()
		}
		if r := l.runs[ref]; r != nil && r.attempt == attempt {
			resident.Young = r.phase == phaseStarting || r.isYoung(now)
			resident.Stopping = r.phase == phaseStopping
			leaves := s.endsSoon(w) && movesFromDraining(resident.Step)
			resident.ShouldMove = (r.shouldMove || leaves) && r.phase == phaseRunning
			resident.MayStop = r.phase == phaseRunning && (!resident.Step.GetEndless() ||
				(leaves || now-r.trackedSince >= minEndlessRun) && mayStop(stepKey{ref.Submission, ref.Occurrence, ref.Step}))
		}
		view.Residents = append(view.Residents, resident)
	}
	l.addStrays(state, w, view)
	return view
}

// anyShouldMove reports whether any filling task should move to another worker.
func (l *Leader) anyShouldMove() bool {
	for _, r := range l.runs {
		if r.shouldMove {
			return true
		}
	}
	return false
}

// requests returns one request for each step of a submission that has waiting tasks, is due and has no unfinished
// prerequisites. sharing is the number of submissions that share the plan.
func (l *Leader) requests(state *submission.State, sub *submission.Submission, sharing int, unixMs int64, now time.Duration) []*steps.Request {
	var list []*steps.Request
	queue := state.QueueOf(sub)
	if queue == nil {
		return nil
	}
	for _, number := range l.dueOccurrences(sub, sharing, unixMs) {
		o := sub.Occurrence(number)
		runs := slices.ContainsFunc(o.Steps, func(step submission.Step) bool { return step.Placed > 0 })
		begun := runs || slices.ContainsFunc(o.Steps, func(step submission.Step) bool { return step.Done > 0 })
		for i := range o.Steps {
			if o.Steps[i].Waiting() == 0 || !sub.Ready(o, i) {
				continue
			}
			r := &steps.Request{Submission: sub.Spec.GetId(), Occurrence: number, Step: uint32(i), Spec: sub.Spec.GetSteps()[i],
				Pool: queue.GetPool(), Priority: queue.GetPriority(), Advice: queue.GetAdvice(), AcceptedUnixMs: sub.AcceptedUnixMs}
			r.ObjectiveUnixMs, r.WorthlessUnixMs = steps.Objective(sub.Graph.LongestPathMs(), queue, sub.DueUnixMs(number))
			r.CriticalPathMs = sub.Graph.CriticalPathMs(i)
			if l.collectWaiting(state, r, &o.Steps[i], now); len(r.Waiting) == 0 {
				continue
			}
			r.Idle, r.Begun = !runs, begun
			waited := l.waited(r, now)
			isolate(r, waited)
			waited = max(waited, l.longestOutage(r, now))
			r.Deferred = r.Spec.GetEndless() && now-l.lastEviction < evictionCooldown && waited < maxEndlessWait
			r.WorkMs = float64(len(r.Waiting)) * float64(r.Spec.GetEstimateMs()) * float64(r.Spec.GetSize().GetMillicores()) / 1000
			r.ReadyUnixMs = unixMs - waited.Milliseconds()
			list = append(list, r)
		}
	}
	return list
}

// stepKey identifies a step of one occurrence of a submission.
type stepKey struct {
	submission       string
	occurrence, step uint32
}

// waitRecord holds since when a step has had waiting tasks, when a plan last found it waiting, and when the wait was last
// logged.
type waitRecord struct {
	since, seen, logged time.Duration
}

// waitRecordTTL is how long the record of a step is kept after a plan last found the step waiting.
const waitRecordTTL = 2 * time.Second

// waitLogInterval is the minimum time between two log lines about the same waiting step. It bounds the number of lines.
const waitLogInterval = 2 * time.Second

// waited returns how long a step has been waiting and records that it still waits.
func (l *Leader) waited(r *steps.Request, now time.Duration) time.Duration {
	key := stepKey{r.Submission, r.Occurrence, r.Step}
	record := l.waits[key]
	if record == nil || now-record.seen > waitRecordTTL {
		record = &waitRecord{since: now, logged: now}
		l.waits[key] = record
	}
	record.seen = now
	return now - record.since
}

// logWaits logs why steps have found no worker for a long time, and removes the records of steps that no longer wait.
func (l *Leader) logWaits(waits []steps.Wait, now time.Duration) {
	for _, w := range waits {
		record := l.waits[stepKey{w.Task.Submission, w.Task.Occurrence, w.Task.Step}]
		if record == nil || now-record.logged < waitLogInterval {
			continue
		}
		record.logged = now
		l.log.Info().Str("decision", "waits").Str("request", w.Task.Submission).Uint32("step", w.Task.Step).Int32("priority", w.Priority).
			Int("tasks", w.Tasks).Dur("waited_ms", now-record.since).Str("workers", w.Obstacles).Msg("")
	}
	for key, record := range l.waits {
		if now-record.seen > waitRecordTTL {
			delete(l.waits, key)
		}
	}
}

// collectWaiting sets r.Waiting to the tasks that may start now. It stays empty for a gang if one of its waiting members may not.
func (l *Leader) collectWaiting(state *submission.State, r *steps.Request, step *submission.Step, now time.Duration) {
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
		only, ok := l.mayPlace(state, ref, t, now)
		if !ok {
			if r.Spec.GetGang() { // the members of a gang start together or not at all
				r.Waiting = nil
				return
			}
			continue
		}
		r.Waiting = append(r.Waiting, steps.WaitingTask{Index: uint32(i), Attempt: max(attempt, t.Attempt+1), AvoidWorkers: l.avoided(ref, now), OnlyWorker: only,
			Suspect: t.Suspect()})
	}
}

// mayPlace reports whether a waiting task may be placed now. only is the id of the only worker on which it may start, "" if it may on any.
// A suspect may not start on one worker only, which may be the one that crashes.
func (l *Leader) mayPlace(state *submission.State, ref submission.Ref, t *submission.Task, now time.Duration) (only string, ok bool) {
	if only, ok = l.mayStart(ref, now); !ok || only != "" && t.Suspect() {
		return "", false
	}
	return only, !l.awaitsProof(state, ref, t) && !l.awaitsCalm(ref, t, stepOf(state, ref).GetEndless(), now)
}
