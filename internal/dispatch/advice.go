package dispatch

import (
	"context"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// adviceWorkers is the number of workers named in one question; the platform allows 100. The service needs time for
	// each, and few questions at once keep the next steps from waiting.
	adviceWorkers = 30
	// adviceTimeout bounds a question.
	adviceTimeout = 3 * time.Second
	// adviceMargin is the part of a ticket's life that is left for the start to arrive.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 200 * time.Millisecond
)

// ticket lets a worker run a step.
type ticket struct {
	text  string
	until time.Duration
}

// advised is what is known of the workers that may run a step.
type advised struct {
	asking  bool
	retryAt time.Duration
	// asked holds the workers that were named in a question; what the service says of them does not change.
	asked   map[string]bool
	tickets map[string]ticket
}

// allowedOn returns the workers that may run a step now, asking the policy service if none is known.
func (l *Leader) allowedOn(step submission.Ref, candidates []string, now time.Duration) map[string]bool {
	key := stepOf{step.Submission, step.Occurrence, step.Step}
	a := l.advice[key]
	if a == nil {
		a = &advised{asked: map[string]bool{}, tickets: map[string]ticket{}}
		l.advice[key] = a
	}
	allowed := map[string]bool{}
	for worker, t := range a.tickets {
		if t.until > now {
			allowed[worker] = true
		}
	}
	if len(allowed) < wantedTickets && !a.asking && now >= a.retryAt {
		l.ask(step, a, candidates, now)
	}
	return allowed
}

// wantedTickets is the number of workers with a valid ticket below which more are asked for.
const wantedTickets = 8

func (l *Leader) ask(step submission.Ref, a *advised, candidates []string, now time.Duration) {
	var names []string
	for pass := range 2 { // workers that were not named before come first, then those whose ticket has run out
		for _, worker := range candidates {
			t, known := a.tickets[worker]
			again := pass == 1 && known && t.until <= now
			if len(names) < adviceWorkers && (pass == 0 && !a.asked[worker] || again) {
				names = append(names, worker)
			}
		}
	}
	if len(names) == 0 || l.cfg.Adviser == nil {
		return
	}
	a.asking = true
	ctx := l.ctx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		tickets, valid, err := l.cfg.Adviser.Advise(callCtx, step, names)
		l.post(func() {
			if l.ctx != ctx {
				return
			}
			a.asking = false
			l.log.Info().Str("decision", "advised").Str("request", step.Submission).Uint32("step", step.Step).Int("asked", len(names)).
				Int("admitted", len(tickets)).AnErr("error", err).Msg("")
			if err != nil {
				a.retryAt = l.cfg.Clock() + adviceRetry
				return
			}
			for _, worker := range names {
				a.asked[worker] = true
				delete(a.tickets, worker)
			}
			for worker, text := range tickets {
				a.tickets[worker] = ticket{text: text, until: now + valid - adviceMargin}
			}
			l.dirty = true
		})
	}()
}

// ticketFor returns the ticket with which a step may start on a worker, or "".
func (l *Leader) ticketFor(task submission.Ref, worker string) string {
	if a := l.advice[stepOf{task.Submission, task.Occurrence, task.Step}]; a != nil {
		return a.tickets[worker].text
	}
	return ""
}

// forgetAdvice drops what is known for submissions that have ended.
func (l *Leader) forgetAdvice() {
	l.cfg.State.View(func(state *submission.State) {
		for key := range l.advice {
			if sub := state.Submission(key.submission); sub == nil || sub.State != pb.SubmissionState_SUBMISSION_STATE_ACTIVE {
				delete(l.advice, key)
			}
		}
	})
}
