package placement

import (
	"fmt"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// health tracks failed starts on one worker.
type health struct {
	// probing limits the worker to one task until a start succeeds.
	probing bool
	// failures lists the distinct tasks that failed at start since the last success.
	failures []startFailure
	// until is when a quarantined worker is probed. Unix ms.
	until int64
	// delay is the length of the last quarantine in ms.
	delay int64
	// releasedAt is when the last probe succeeded. Unix ms.
	releasedAt int64
}

type startFailure struct {
	task string
	kind kindID
	at   int64 // Unix ms
}

const (
	// Distinct tasks that must fail before a worker is suspected.
	quarantineTasks = 3
	// quarantineEvidence is compared with the sum over those tasks of the share of starts of their kind that succeed.
	// A kind that fails everywhere adds little, so it does not take workers out of use.
	quarantineEvidence   = 1.8
	maxTrackedFailures   = 8
	failureWindowMs      = 10 * 60 * 1000
	firstQuarantineMs    = 10 * 1000
	maxQuarantineMs      = 30 * 60 * 1000
	quarantineMemoryMs   = 10 * 60 * 1000
	startCountDecay      = 0.98
	firstRetryDelayMs    = 200
	maxRetryDelayMs      = 30 * 1000
	maxDistinctFailures  = 4
	maxStartFailures     = 8
	reasonProbe          = "probe with one task after quarantine"
	reasonFailsElsewhere = "fails at start on %d workers while other tasks start there (%s)"
)

// noteOutcome learns from a change of state that is about to be cached.
func (c *cache) noteOutcome(t *task, m *pb.Task, now int64) {
	if t.state == pb.TaskState_TASK_STATE_STARTING && t.attempt == m.GetAttempt() &&
		m.GetState() == pb.TaskState_TASK_STATE_RUNNING && t.stay != nil {
		c.startSucceeded(t, now)
	}
	if m.GetFailures() > t.failures || len(m.GetFailedOn()) > len(t.failedOn) {
		c.startFailed(t, m, now)
	}
	if t.state == pb.TaskState_TASK_STATE_STARTING && m.GetState() == pb.TaskState_TASK_STATE_QUEUED {
		t.notBefore = max(t.notBefore, now+firstRetryDelayMs) // a refused start would be refused again at once
	}
	if t.state == pb.TaskState_TASK_STATE_RUNNING && m.GetState() == pb.TaskState_TASK_STATE_FINISHED && t.stay != nil {
		c.noteRunTime(t, now)
	}
}

func (c *cache) noteRunTime(t *task, now int64) {
	if t.running > 0 && t.progress == 0 && t.expected > 0 {
		c.kindInfo[t.kind].sizes.runTime.add(now-t.running, t.expected)
	}
}

func (c *cache) startSucceeded(t *task, now int64) {
	info := c.kindInfo[t.kind]
	info.startsOK = info.startsOK*startCountDecay + 1
	info.startsFailed *= startCountDecay
	h := &t.worker.health
	h.failures = h.failures[:0]
	if h.probing {
		h.probing, h.releasedAt = false, now
		c.refresh(t.worker)
	}
}

// startFailed counts a failed start against the worker named last. Failures after the start name no worker.
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

// takeSuspects returns the workers with failed starts since the last call, without duplicates.
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

func (c *cache) failedWorker(t *task, m *pb.Task) *worker {
	for _, id := range m.GetFailedOn() {
		if !slices.Contains(t.failedOn, id) {
			return c.workers[id]
		}
	}
	if t.stay != nil && t.state == pb.TaskState_TASK_STATE_STARTING {
		return t.worker
	}
	return nil
}

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

// startChance is the estimated share of starts of a kind that succeed, 1/2 without any start.
func (k *kindInfo) startChance() float64 {
	return (k.startsOK + 1) / (k.startsOK + k.startsFailed + 2)
}

// evidence weighs the failures on a worker by how unusual they are for their kinds.
func (c *cache) evidence(h *health, now int64) (tasks int, weight float64) {
	for _, f := range h.failures {
		if now-f.at > failureWindowMs {
			continue
		}
		tasks++
		weight += c.kindInfo[f.kind].startChance()
	}
	return tasks, weight
}

// suspect reports whether w should be quarantined.
func (c *cache) suspect(w *worker, now int64) bool {
	if !w.ready() {
		return false
	}
	tasks, weight := c.evidence(&w.health, now)
	if w.health.probing {
		return tasks > 0
	}
	return tasks >= quarantineTasks && weight >= quarantineEvidence
}

// healthStateChanged follows the committed state of a worker.
func (c *cache) healthStateChanged(w *worker, old pb.WorkerState, now int64) {
	h := &w.health
	switch {
	case w.state == pb.WorkerState_WORKER_STATE_SET_ASIDE:
		c.beginQuarantine(w, now)
	case old == pb.WorkerState_WORKER_STATE_SET_ASIDE:
		h.probing = w.ready()
		c.aside = slices.DeleteFunc(c.aside, func(o *worker) bool { return o == w })
	}
}

func (c *cache) beginQuarantine(w *worker, now int64) {
	h := &w.health
	recent := h.probing || h.releasedAt > 0 && now-h.releasedAt < quarantineMemoryMs
	if recent && h.delay > 0 {
		h.delay = min(2*h.delay, maxQuarantineMs)
	} else {
		h.delay = firstQuarantineMs
	}
	h.until = now + h.delay
	h.failures = h.failures[:0]
	c.aside = append(c.aside, w)
}

// workerStates proposes quarantines and releases.
func (s *planning) workerStates() {
	for _, w := range s.cache.takeSuspects() {
		if s.cache.suspect(w, s.nowMs) {
			tasks, _ := s.cache.evidence(&w.health, s.nowMs)
			s.setState(w, pb.WorkerState_WORKER_STATE_SET_ASIDE, fmt.Sprintf("%d distinct tasks failed at start", tasks))
			s.cache.suspects = append(s.cache.suspects, w)
		}
	}
	for _, w := range s.cache.aside {
		if w.known && s.nowMs >= w.health.until {
			s.setState(w, pb.WorkerState_WORKER_STATE_READY, reasonProbe)
		}
	}
}

func (s *planning) setState(w *worker, state pb.WorkerState, reason string) {
	s.plan.WorkerStates = append(s.plan.WorkerStates,
		&pb.SetWorkerState{Worker: w.id, Epoch: w.epoch, State: state, Reason: reason})
	s.decide("", w.id, reason, 0)
}

// startsNowhere returns why t is not tried again: it failed on several workers that start other tasks. It returns ""
// while t may be tried.
func (c *cache) startsNowhere(t *task) string {
	if len(t.failedOn) < maxDistinctFailures && t.failures < maxStartFailures {
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
	if healthy == 0 || healthy < maxDistinctFailures && t.failures < maxStartFailures {
		return ""
	}
	return fmt.Sprintf(reasonFailsElsewhere, healthy, last)
}
