package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// adviceWorkers bounds the workers named in one request; the platform allows 100. The service takes time for each worker,
	// so smaller requests keep other steps from waiting.
	adviceWorkers = 30
	// adviceTimeout bounds a request to the policy service.
	adviceTimeout = 3 * time.Second
	// adviceMargin is the part of a ticket's validity that is reserved for the start call to reach the worker.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a failed request.
	adviceRetry = 200 * time.Millisecond
)

// ticket is the policy service's permission to run a step on a worker.
type ticket struct {
	text  string
	until time.Duration // no new placement relies on the ticket after this
}

// stepAdvice holds the policy service's answers for a step.
type stepAdvice struct {
	requesting bool // a request is in progress
	retryAt    time.Duration
	// asked holds the workers that were named in a request. The service's decision about an incarnation of a worker does not
	// change, so only those whose ticket has expired are named again.
	asked   map[submission.Incarnation]bool
	tickets map[submission.Incarnation]ticket
}

// workersWithTicket returns the ids of the workers that have a valid ticket for a step. It asks the policy service for more
// tickets in the background if there are fewer than minTickets. Once there are as many, it asks only about workers with room:
// tickets for full workers do not let the step start.
func (l *Leader) workersWithTicket(step submission.Ref, withRoom, others []submission.Incarnation, now time.Duration) map[string]bool {
	key := stepKey{step.Submission, step.Occurrence, step.Step}
	a := l.advice[key]
	if a == nil {
		a = &stepAdvice{asked: map[submission.Incarnation]bool{}, tickets: map[submission.Incarnation]ticket{}}
		l.advice[key] = a
	}
	allowed, allowedWithRoom := map[string]bool{}, 0
	for _, worker := range withRoom {
		if a.tickets[worker].until > now {
			allowed[worker.ID] = true
			allowedWithRoom++
		}
	}
	for _, worker := range others {
		if a.tickets[worker].until > now {
			allowed[worker.ID] = true
		}
	}
	if allowedWithRoom >= minTickets || a.requesting || now < a.retryAt {
		return allowed
	}
	candidates := withRoom
	if len(allowed) < minTickets {
		candidates = slices.Concat(withRoom, others)
	}
	l.requestTickets(step, a, candidates, now)
	return allowed
}

// minTickets is the number of valid tickets for a step below which more are requested.
const minTickets = 8

// requestTickets requests tickets for candidates that were not named in a request before, or whose ticket has expired.
func (l *Leader) requestTickets(step submission.Ref, a *stepAdvice, candidates []submission.Incarnation, now time.Duration) {
	var named []submission.Incarnation
	var names []string
	for pass := range 2 { // workers that were not named before come first, then those whose ticket has expired
		for _, worker := range candidates {
			t, known := a.tickets[worker]
			again := pass == 1 && known && t.until <= now
			if len(names) < adviceWorkers && (pass == 0 && !a.asked[worker] || again) {
				named, names = append(named, worker), append(names, worker.ID)
			}
		}
	}
	if len(names) == 0 || l.cfg.Adviser == nil {
		return
	}
	a.requesting = true
	ctx := l.ctx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		tickets, valid, err := l.cfg.Adviser.Advise(callCtx, step, names)
		l.post(func() {
			if l.ctx != ctx {
				return
			}
			a.requesting = false
			l.log.Info().Str("decision", "advised").Str("request", step.Submission).Uint32("step", step.Step).Int("asked", len(names)).
				Int("admitted", len(tickets)).AnErr("error", err).Msg("")
			if err != nil {
				a.retryAt = l.cfg.Clock() + adviceRetry
				return
			}
			for _, worker := range named {
				a.asked[worker] = true
				delete(a.tickets, worker)
				if text, ok := tickets[worker.ID]; ok {
					a.tickets[worker] = ticket{text: text, until: now + valid - adviceMargin}
				}
			}
			l.dirty = true
		})
	}()
}

// ticketFor returns the ticket for a step on a worker, or "" if there is none. The ticket may have expired.
func (l *Leader) ticketFor(task submission.Ref, worker submission.Incarnation) string {
	if a := l.advice[stepKey{task.Submission, task.Occurrence, task.Step}]; a != nil {
		return a.tickets[worker].text
	}
	return ""
}

// cleanUpAdvice removes the tickets of submissions that have ended.
func (l *Leader) cleanUpAdvice() {
	l.cfg.State.View(func(state *submission.State) {
		for key := range l.advice {
			if sub := state.Submission(key.submission); sub == nil || sub.State != pb.SubmissionState_SUBMISSION_STATE_ACTIVE {
				delete(l.advice, key)
			}
		}
	})
}
