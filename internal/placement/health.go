package placement

import (
	"fmt"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// health tracks the failed starts and quarantines of one worker.
type health struct {
	// probing is set after a quarantine: the worker takes a single batch task until a start succeeds.
	probing bool
	// failures lists the last failure of each task that failed to start since the last success.
	failures []startFailure
	// quarantinedUntil is when the quarantine ends and the worker is probed. Unix ms.
	quarantinedUntil int64
	// quarantineMs is the length of the last quarantine in ms.
	quarantineMs int64
	// releasedAt is when the last probe succeeded. Unix ms.
	releasedAt int64
}

// startFailure is a failed start of a task on a worker.
type startFailure struct {
	task string
	kind kindID
	at   int64 // Unix ms
}

const (
	// quarantineTasks is the number of distinct tasks that must fail to start before a worker is quarantined.
	quarantineTasks = 3
	// quarantineEvidence is the sum over those tasks of the success rate of their kind (see startSuccessRate) that is
	// required as well. A kind that fails on every worker adds little to it, so such a kind does not put workers into
	// quarantine.
	quarantineEvidence = 1.8
	// maxTrackedFailures bounds health.failures; failureWindowMs is the age above which a failure no longer counts.
	maxTrackedFailures = 8
	failureWindowMs    = 10 * 60 * 1000
	// The length of a quarantine doubles from the first to the maximum if the worker is quarantined again while probed
	// or within repeatedQuarantineMs of a successful probe.
	firstQuarantineMs    = 10 * 1000
	maxQuarantineMs      = 30 * 60 * 1000
	repeatedQuarantineMs = 10 * 60 * 1000
	startCountDecay      = 0.98
	// The delay before a task is placed again doubles with each of its failures, up to the maximum.
	firstRetryDelayMs = 200
	maxRetryDelayMs   = 30 * 1000
	// A task is reported as unschedulable after failures on maxFailedWorkers workers or maxStartFailures failures in
	// all; see repeatedFailureReason.
	maxFailedWorkers     = 4
	maxStartFailures     = 8
	reasonProbe          = "probe with one task after quarantine"
	reasonFailsElsewhere = "fails at start on %d workers while other tasks start there (%s)"
)

// recordOutcome updates the statistics of starts and run times from the change of t to the state m. It must be called
// before the change is applied to t.
func (c *cache) recordOutcome(t *task, m *pb.Task, now int64) {
	if t.state == pb.TaskState_TASK_STATE_STARTING && t.attempt == m.GetAttempt() &&
		m.GetState() == pb.TaskState_TASK_STATE_RUNNING && t.allocation != nil {
		c.startSucceeded(t, now)
	}
	if m.GetFailures() > t.failures || len(m.GetFailedOn()) > len(t.failedOn) {
		c.startFailed(t, m, now)
	}
	if t.state == pb.TaskState_TASK_STATE_STARTING && m.GetState() == pb.TaskState_TASK_STATE_QUEUED {
		// A refused start is likely to be refused again right away.
		t.notBefore = max(t.notBefore, now+firstRetryDelayMs)
	}
	if t.state == pb.TaskState_TASK_STATE_RUNNING && m.GetState() == pb.TaskState_TASK_STATE_FINISHED && t.allocation != nil {
		c.recordRunTime(t, now)
	}
}

// recordRunTime adds the run time of a finished task to the history of its kind. A task with a checkpoint
// does not count, since its last attempt may have done only a part of the work.
func (c *cache) recordRunTime(t *task, now int64) {
	if t.runningSince > 0 && t.progress == 0 && t.declaredRunMs > 0 {
		c.kindInfo[t.kind].usage.runTime.add(now-t.runningSince, t.declaredRunMs)
	}
}

// startSucceeded records that t started on its worker. A successful probe returns the worker to normal use.
func (c *cache) startSucceeded(t *task, now int64) {
	info := c.kindInfo[t.kind]
	info.startsOK = info.startsOK*startCountDecay + 1
	info.startsFailed *= startCountDecay
	h := &t.worker.health
	h.failures = h.failures[:0]
	if h.probing {
		h.probing, h.releasedAt = false, now
		c.updateIndexes(t.worker)
	}
}

// startFailed delays the next placement of t and counts the failure against the worker on which the start failed. A
// task that failed while running has no such worker.
func (c *cache) startFailed(t *task, m *pb.Task, now int64) {
	delay := min(int64(maxRetryDelayMs), int64(firstRetryDelayMs)<<min(m.GetFailures(), 16))
	t.notBefore = now + delay
	w := c.failedWorker(t, m)
	if w == nil {
		return
	}
	info := c.kindInfo[t.kind]
	info.startsFailed = info.startsFailed*startCountDecay + 1
	info.startsOK *= startCountDecay
	w.health.add(startFailure{t.id, t.kind, now})
	c.suspects = append(c.suspects, w)
}

// takeSuspects returns the workers in c.suspects without duplicates and clears the list.
func (c *cache) takeSuspects() []*worker {
	var list []*worker
	for _, w := range c.suspects {
		if !slices.Contains(list, w) {
			list = append(list, w)
		}
	}
	c.suspects = nil
	return list
}

// failedWorker returns the worker on which the start of t failed according to its new state m, or nil.
func (c *cache) failedWorker(t *task, m *pb.Task) *worker {
	for _, id := range m.GetFailedOn() {
		if !slices.Contains(t.failedOn, id) {
			return c.workers[id]
		}
	}
	if t.allocation != nil && t.state == pb.TaskState_TASK_STATE_STARTING {
		return t.worker
	}
	return nil
}

// add records f. It replaces an earlier failure of the same task, or the oldest one if the list is full.
func (h *health) add(f startFailure) {
	for i := range h.failures {
		if h.failures[i].task == f.task {
			h.failures[i] = f
			return
		}
	}
	if len(h.failures) == maxTrackedFailures {
		h.failures = append(h.failures[:0], h.failures[1:]...)
	}
	h.failures = append(h.failures, f)
}

// startSuccessRate returns the estimated probability that a start of the kind succeeds, 1/2 before the first start.
func (k *kindInfo) startSuccessRate() float64 {
	return (k.startsOK + 1) / (k.startsOK + k.startsFailed + 2)
}

// evidence returns the number of tasks that failed to start on a worker recently, and the sum of the success rates of
// their kinds. The sum is low if such failures are usual for these kinds.
func (c *cache) evidence(h *health, now int64) (tasks int, weight float64) {
	for _, f := range h.failures {
		if now-f.at > failureWindowMs {
			continue
		}
		tasks++
		weight += c.kindInfo[f.kind].startSuccessRate()
	}
	return tasks, weight
}

// shouldQuarantine reports whether w should be quarantined. During a probe, a single failure is enough.
func (c *cache) shouldQuarantine(w *worker, now int64) bool {
	if !w.ready() {
		return false
	}
	tasks, weight := c.evidence(&w.health, now)
	if w.health.probing {
		return tasks > 0
	}
	return tasks >= quarantineTasks && weight >= quarantineEvidence
}

// healthStateChanged begins or ends the quarantine of w after a change of its state from old.
func (c *cache) healthStateChanged(w *worker, old pb.WorkerState, now int64) {
	h := &w.health
	switch {
	case w.state == pb.WorkerState_WORKER_STATE_SET_ASIDE:
		c.beginQuarantine(w, now)
	case old == pb.WorkerState_WORKER_STATE_SET_ASIDE:
		h.probing = w.ready()
		c.quarantined = slices.DeleteFunc(c.quarantined, func(o *worker) bool { return o == w })
	}
}

// beginQuarantine sets the length of the quarantine that begins now.
func (c *cache) beginQuarantine(w *worker, now int64) {
	h := &w.health
	recent := h.probing || h.releasedAt > 0 && now-h.releasedAt < repeatedQuarantineMs
	if recent && h.quarantineMs > 0 {
		h.quarantineMs = min(2*h.quarantineMs, maxQuarantineMs)
	} else {
		h.quarantineMs = firstQuarantineMs
	}
	h.quarantinedUntil = now + h.quarantineMs
	h.failures = h.failures[:0]
	c.quarantined = append(c.quarantined, w)
}

// proposeWorkerStates proposes to quarantine suspects, and to probe workers at the end of their quarantine. A worker
// to be quarantined stays a suspect, so that the proposal is repeated until its state has changed.
func (s *planning) proposeWorkerStates() {
	for _, w := range s.cache.takeSuspects() {
		if s.cache.shouldQuarantine(w, s.nowMs) {
			tasks, _ := s.cache.evidence(&w.health, s.nowMs)
			s.setState(w, pb.WorkerState_WORKER_STATE_SET_ASIDE, fmt.Sprintf("%d distinct tasks failed at start", tasks))
			s.cache.suspects = append(s.cache.suspects, w)
		}
	}
	for _, w := range s.cache.quarantined {
		if w.known && s.nowMs >= w.health.quarantinedUntil {
			s.setState(w, pb.WorkerState_WORKER_STATE_READY, reasonProbe)
		}
	}
}

// setState proposes a state for w.
func (s *planning) setState(w *worker, state pb.WorkerState, reason string) {
	s.plan.WorkerStates = append(s.plan.WorkerStates,
		&pb.SetWorkerState{Worker: w.id, Epoch: w.epoch, State: state, Reason: reason})
	s.addDecision("", w.id, reason, 0)
}

// repeatedFailureReason returns why t is reported as unschedulable after failed starts, or "" if it may be tried again.
// Only failures on workers that are ready and not being probed are counted as failures of the task rather than of the
// worker.
func (c *cache) repeatedFailureReason(t *task) string {
	if len(t.failedOn) < maxFailedWorkers && t.failures < maxStartFailures {
		return ""
	}
	healthy := 0
	last := ""
	for _, id := range t.failedOn {
		if w := c.workers[id]; w != nil && w.ready() && !w.health.probing {
			healthy++
			last = id
		}
	}
	if healthy == 0 || healthy < maxFailedWorkers && t.failures < maxStartFailures {
		return ""
	}
	return fmt.Sprintf(reasonFailsElsewhere, healthy, last)
}
