package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement/steps"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// adviceWorkers is the number of workers named in one request unless a step needs more. The service takes time for each worker,
	// so smaller requests keep other steps from waiting.
	adviceWorkers = 30
	// maxAdviceWorkers is the number of workers that the platform allows in one request.
	maxAdviceWorkers = 100
	// adviceSlack bounds a request to the policy service in addition to the time that the queue states for it.
	adviceSlack = 3 * time.Second
	// adviceMargin is the part of a ticket's validity that is reserved for the start call to reach the worker.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a failed request.
	adviceRetry = 200 * time.Millisecond
	// minTickets is the number of workers with room and a valid ticket that a step should be able to choose from.
	minTickets = 8
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

// adviceCandidate is a worker on which the tasks of a step may run by all rules but the policy.
type adviceCandidate struct {
	worker submission.Incarnation
	// slots is the number of its waiting tasks for which the worker has room now.
	slots int
}

// allowed returns the ids of the candidates with a valid ticket.
func (a *stepAdvice) allowed(candidates []adviceCandidate, now time.Duration) map[string]bool {
	ids := map[string]bool{}
	for _, c := range candidates {
		if a.tickets[c.worker].until > now {
			ids[c.worker.ID] = true
		}
	}
	return ids
}

// workersToAsk returns the workers to name in the next request for a step of which the given number of tasks waits: enough to start all of
// them together with the tickets that are valid, as a gang has to, and to leave a choice. It returns none if there are enough
// tickets. Workers without room are asked about only if no other has a ticket and there are few tickets.
func (a *stepAdvice) workersToAsk(candidates []adviceCandidate, waiting int, now time.Duration) []submission.Incarnation {
	workers, slots, tickets := 0, 0, 0
	for _, c := range candidates {
		if a.tickets[c.worker].until > now {
			tickets++
			if slots += c.slots; c.slots > 0 {
				workers++
			}
		}
	}
	if workers >= minTickets && slots >= waiting {
		return nil
	}
	var chosen []submission.Incarnation
	for _, c := range a.untried(candidates, now) {
		enough := len(chosen) >= adviceWorkers && slots >= waiting
		if enough || len(chosen) == maxAdviceWorkers || c.slots == 0 && tickets >= minTickets {
			break
		}
		chosen = append(chosen, c.worker)
		slots += c.slots
	}
	return chosen
}

// untried returns the candidates that may get a ticket: those with room first, then those that were not asked about before, then those
// whose ticket expired first.
func (a *stepAdvice) untried(candidates []adviceCandidate, now time.Duration) []adviceCandidate {
	list := slices.DeleteFunc(slices.Clone(candidates), func(c adviceCandidate) bool {
		t, admitted := a.tickets[c.worker]
		return a.asked[c.worker] && !admitted || t.until > now
	})
	slices.SortStableFunc(list, func(x, y adviceCandidate) int {
		return cmp.Or(-cmp.Compare(min(x.slots, 1), min(y.slots, 1)), cmp.Compare(a.tickets[x.worker].until, a.tickets[y.worker].until))
	})
	return list
}

// record notes the answer to a request that was sent at the given time. The service may have issued the tickets at any time until it
// answered; if it took longer than they are valid, it issued them late.
func (a *stepAdvice) record(named []submission.Incarnation, tickets map[string]string, valid, sent, answered time.Duration) {
	until := max(sent+valid-adviceMargin, answered+valid/2)
	for _, worker := range named {
		a.asked[worker] = true
		delete(a.tickets, worker)
		if text, ok := tickets[worker.ID]; ok {
			a.tickets[worker] = ticket{text: text, until: until}
		}
	}
}

func (l *Leader) adviceOf(key stepKey) *stepAdvice {
	a := l.advice[key]
	if a == nil {
		a = &stepAdvice{asked: map[submission.Incarnation]bool{}, tickets: map[submission.Incarnation]ticket{}}
		l.advice[key] = a
	}
	return a
}

// addAdvice limits the requests of queues that have a policy to the workers that the policy service allows, and asks it for more tickets
// in the background where there are too few.
func (l *Leader) addAdvice(snap *steps.Snapshot, now time.Duration) {
	var room *steps.Room
	for _, r := range snap.Requests {
		if r.Advice == nil {
			continue
		}
		if room == nil {
			room = steps.NewRoom(snap.Workers)
		}
		candidates := adviceCandidates(snap, r, room)
		step := submission.Ref{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step}
		a := l.adviceOf(stepKey{r.Submission, r.Occurrence, r.Step})
		r.Allowed = a.allowed(candidates, now)
		if l.cfg.Adviser == nil || a.requesting || now < a.retryAt {
			continue
		}
		if named := a.workersToAsk(candidates, len(r.Waiting), now); len(named) > 0 {
			l.requestTickets(step, a, r.Advice, named, now)
		}
	}
}

func adviceCandidates(snap *steps.Snapshot, r *steps.Request, room *steps.Room) []adviceCandidate {
	var list []adviceCandidate
	for i, w := range snap.Workers {
		if w.MayRun(r) {
			list = append(list, adviceCandidate{w.Incarnation, room.Slots(i, r)})
		}
	}
	return list
}

// requestTickets asks the policy service about workers in the background.
func (l *Leader) requestTickets(step submission.Ref, a *stepAdvice, policy *pb.Advice, named []submission.Incarnation, sent time.Duration) {
	names := make([]string, len(named))
	for i, worker := range named {
		names[i] = worker.ID
	}
	a.requesting = true
	ctx := l.ctx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout(policy, len(names)))
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
			a.record(named, tickets, valid, sent, l.cfg.Clock())
			l.dirty = true
		})
	}()
}

// adviceTimeout returns the time after which a request about the given number of workers counts as failed.
func adviceTimeout(policy *pb.Advice, workers int) time.Duration {
	return adviceSlack + time.Duration(policy.GetDecideMs()+int64(workers)*policy.GetEachMs())*time.Millisecond
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
