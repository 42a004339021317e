package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// This file checks what callers and the operator observe.

// behaviour describes how the tasks of a submission behave.
type behaviour struct {
	// failingAttempts is the number of attempts of each task that fail.
	failingAttempts uint32
	// crashesWorkers is true if the first task crashes each worker that starts it.
	crashesWorkers bool
	// lasts is true if the tasks are endless and nobody cancels them.
	lasts bool
}

// SubmitSent records that a caller is about to send a submission.
func (c *Checker) SubmitSent(q *pb.Queue, spec *pb.SubmissionSpec, b behaviour) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[spec.GetId()]
	if r == nil {
		r = &submissionRecord{spec: spec, queue: q, behaviour: b, submittedAt: time.Now()}
		c.records[spec.GetId()] = r
		c.stats.Submitted++
	}
	r.pendingAttempts++
}

// Outcome is the outcome of an attempt to submit.
type Outcome int

// The outcomes of an attempt to submit. OutcomeNotRun means that the attempt was refused.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAccepted
	OutcomeNotRun
)

// SubmitAnswered records the outcome of an attempt to submit.
func (c *Checker) SubmitAnswered(id string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	r.pendingAttempts--
	switch o {
	case OutcomeAccepted:
		if r.acceptedAt.IsZero() {
			r.acceptedAt = time.Now()
			c.stats.Accepted++
			c.addSample(&c.series.Accept, r.acceptedAt.Sub(r.submittedAt))
		}
	case OutcomeNotRun:
		r.refusals++
		c.stats.Refused++
	default:
		r.outcomeUnknown = true
	}
	c.checkRefusedNotStarted(id, r)
}

// checkRefusedNotStarted reports a violation if every attempt to submit was refused but a task has started.
func (c *Checker) checkRefusedNotStarted(id string, r *submissionRecord) {
	if r.refusals == 0 || r.outcomeUnknown || r.pendingAttempts > 0 || !r.acceptedAt.IsZero() {
		return
	}
	for task, t := range c.tasks {
		if task.Submission == id && t.starts > 0 {
			c.addViolation(PromiseRefused, "every attempt to submit %s was refused, but %v was started", id, task)
			return
		}
	}
}

// CancelSent records that a caller is about to send a cancel.
func (c *Checker) CancelSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.records[id]; r.cancelSentAt.IsZero() {
		r.cancelSentAt = time.Now()
	}
}

// CancelAcked records the acknowledgement of a cancel.
func (c *Checker) CancelAcked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.records[id]; r.cancelAckedAt.IsZero() {
		r.cancelAckedAt = time.Now()
		c.stats.Cancelled++
	}
}

// StateReturned checks a state that was returned to a caller.
func (c *Checker) StateReturned(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Answered++
	r := c.records[id]
	if r.lastState == "done" && state != "done" || r.lastState == "failed" && state != "failed" {
		c.addViolation(PromiseState, "%s was returned as %s and then as %s", id, r.lastState, state)
	}
	switch state {
	case "done":
		if unfinished := c.unfinishedTasks(r); len(unfinished) > 0 {
			c.addViolation(PromiseState, "%s was returned as done, but %v has not finished", id, unfinished[0])
		}
		if r.lastState != "done" {
			c.stats.Done++
			c.addSample(&c.series.Done, time.Since(r.submittedAt))
		}
	case "failed":
		if !c.failureIsAllowed(r) {
			c.addViolation(PromiseState, "%s was returned as failed, but no task has failed %d times or crashed %d workers", id, r.queue.GetAttempts(), crashesToFail)
		}
	case "cancelled":
		if r.cancelSentAt.IsZero() {
			c.addViolation(PromiseState, "%s was returned as cancelled, but no caller cancelled it", id)
		}
	}
	r.lastState = state
}

// NotFoundReturned checks the answer that a submission does not exist. askedAt is when the caller sent its query.
func (c *Checker) NotFoundReturned(id string, askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[id]
	if !r.acceptedAt.IsZero() && askedAt.Sub(r.acceptedAt) > visibilityBound && r.cancelSentAt.IsZero() && c.noFaultSince(askedAt) {
		c.addViolation(PromiseKept, "%s was accepted, but was not found %v later", id, askedAt.Sub(r.acceptedAt))
	}
}

// unfinishedTasks returns the tasks of a submission that have not finished successfully, or that do not run if it lasts.
func (c *Checker) unfinishedTasks(r *submissionRecord) []submission.Ref {
	var list []submission.Ref
	for occurrence := range max(r.spec.GetOccurrences(), 1) {
		for number, step := range r.spec.GetSteps() {
			for i := range step.GetCount() {
				ref := submission.Ref{Submission: r.spec.GetId(), Occurrence: occurrence, Step: uint32(number), Index: i}
				if t := c.tasks[ref]; t == nil || t.doneAt.IsZero() && !(r.lasts && len(t.running) > 0) {
					list = append(list, ref)
				}
			}
		}
	}
	return list
}

// failureIsAllowed reports whether some unfinished task has used up the attempts of its queue or has crashed several workers, so
// that the submission may be in the state failed.
func (c *Checker) failureIsAllowed(r *submissionRecord) bool {
	for _, ref := range c.unfinishedTasks(r) {
		if t := c.tasks[ref]; t != nil && (t.observedFailures >= r.queue.GetAttempts() || t.crashesCaused >= crashesToFail) {
			return true
		}
	}
	return false
}

// ConfigSent records that a configuration is about to be sent.
func (c *Checker) ConfigSent(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentConfigs[version] = true
}

// ConfigAcked records the acknowledgement of a configuration and reports a violation if the configuration is invalid.
func (c *Checker) ConfigAcked(version uint64, valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Configs++
	c.ackedConfig = max(c.ackedConfig, version)
	if !valid {
		c.addViolation(PromiseConfig, "the invalid configuration %d was acknowledged", version)
	}
}

// LatestAckedConfig returns the newest acknowledged version.
func (c *Checker) LatestAckedConfig() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ackedConfig
}

// ConfigRead checks the version of a configuration that was read. ackedBefore is the newest version that was
// acknowledged before the read was sent.
func (c *Checker) ConfigRead(version, ackedBefore uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < ackedBefore || !c.sentConfigs[version] && version != 0 {
		c.addViolation(PromiseConfig, "configuration %d was read, but %d had been acknowledged", version, ackedBefore)
	}
}

// unfinishedSubmission describes why a submission counts as unfinished.
type unfinishedSubmission struct {
	id      string
	promise Promise
	problem string
}

// Unfinished returns the accepted submissions without a final state, and the cancelled ones whose cancel is not
// acknowledged or whose tasks still run.
func (c *Checker) Unfinished() []unfinishedSubmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string]submission.Ref{}
	for ref, t := range c.tasks {
		if len(t.running) > 0 {
			runs[ref.Submission] = ref
		}
	}
	var list []unfinishedSubmission
	for id, r := range c.records {
		ref, running := runs[id]
		switch {
		case !r.cancelSentAt.IsZero() && r.cancelAckedAt.IsZero():
			list = append(list, unfinishedSubmission{id, PromiseCancelled, "was cancelled, but no cancel was acknowledged"})
		case !r.cancelSentAt.IsZero() && running:
			list = append(list, unfinishedSubmission{id, PromiseCancelled, fmt.Sprintf("was cancelled, but %v still runs", ref)})
		case r.crashesWorkers: // it cannot be done, and need not be given up
		case r.cancelSentAt.IsZero() && !r.acceptedAt.IsZero() && r.lastState != "done" && r.lastState != "failed":
			tasks := c.unfinishedTasks(r)
			if r.lasts && len(tasks) == 0 {
				continue
			}
			list = append(list, unfinishedSubmission{id, PromiseKept, fmt.Sprintf("was accepted, is in state %q and waits for %v", r.lastState, tasks[:min(len(tasks), 3)])})
		}
	}
	slices.SortFunc(list, func(a, b unfinishedSubmission) int { return strings.Compare(a.id, b.id) })
	return list
}
