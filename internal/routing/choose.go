package routing

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// decision records the candidates of a routing decision. It is logged after the table is unlocked.
type decision struct {
	// free is the number of executors with a free slot.
	free int
	// runnerUp is the candidate that the chosen executor was preferred to; its executor is nil if the policy
	// compared no two.
	chosen, runnerUp candidate
}

// candidate is an executor with its load at the time of the decision.
type candidate struct {
	executor *executor
	inFlight uint32
	latency  float64
}

func (e *executor) candidate() candidate {
	return candidate{executor: e, inFlight: e.inFlight, latency: e.health.latency}
}

// choose takes a slot of an executor selected by the policy. It returns nil if no executor that the
// request may use has a free slot.
func (t *Table) choose(p *pool, r *Request, now time.Time, d *decision) *Grant {
	for p.picker.Len() > 0 {
		i := p.pick(r, t.config.Policy)
		if i < 0 {
			return nil
		}
		e := p.picker.available[i]
		if !e.usable(now) {
			p.removeAvailable(e)
			continue
		}
		p.recordDecision(e, d)
		return t.take(e, now)
	}
	return nil
}

// recordDecision fills d with the chosen executor and, if the policy compared two candidates, the
// other one.
func (p *pool) recordDecision(chosen *executor, d *decision) {
	d.free = p.picker.Len()
	d.chosen = chosen.candidate()
	if p.picker.sampled != 2 {
		return
	}
	if other := p.picker.runnerUp(chosen); other != chosen {
		d.runnerUp = other.candidate()
	}
}

// runnerUp returns the one of the two considered candidates that was not chosen.
func (p *Picker) runnerUp(chosen *executor) *executor {
	if first := p.available[p.considered[0]]; first != chosen {
		return first
	}
	return p.available[p.considered[1]]
}

// pick returns the index in picker.available of the executor to use. If the policy picks an executor
// that the request must not use, pick takes the next acceptable one. It returns -1 if only executors
// that the request must avoid are free.
func (p *pool) pick(r *Request, policy Policy) int {
	p.picker.sampled = 0
	first := policy.Pick(&p.picker)
	if p.acceptable(first, r, false) {
		return first
	}
	p.picker.sampled = 0
	for _, allowProbe := range []bool{false, true} {
		for step := range p.picker.Len() {
			i := (first + step) % p.picker.Len()
			if p.acceptable(i, r, allowProbe) {
				return i
			}
		}
	}
	return -1
}

// acceptable reports whether the request may go to the i-th available executor. A non-idempotent
// request goes to an executor that is being probed only if allowProbe is set.
func (p *pool) acceptable(i int, r *Request, allowProbe bool) bool {
	e := p.picker.available[i]
	if e.health.probing && !r.Idempotent && !allowProbe {
		return false
	}
	return len(r.Avoid) == 0 || !slices.Contains(r.Avoid, e.id)
}

// take occupies a slot of e, which must have a free one.
func (t *Table) take(e *executor, now time.Time) *Grant {
	last := len(e.grants) - 1
	g := e.grants[last]
	e.grants = e.grants[:last]
	g.table = t
	g.held = true
	e.inFlight++
	t.inFlight++
	e.pool.updateAvailable(e, now)
	return g
}

// dispatch gives free slots to queued requests and refuses those that can no longer meet their deadline.
func (t *Table) dispatch(p *pool, now time.Time) {
	for p.queued() > 0 && p.picker.Len() > 0 {
		queue := &p.urgent
		if queue.size == 0 {
			queue = &p.normal
		}
		w := queue.pop()
		if left := w.request.Deadline.Sub(now); !w.request.Deadline.IsZero() && left < p.serviceTime() {
			t.refuse(w, ErrDeadline.With("%v left after waiting %v", left, now.Sub(w.queued)))
			continue
		}
		result := acquireResult{}
		result.grant = t.choose(p, &w.request, now, &result.decision)
		if result.grant == nil {
			t.refuse(w, ErrNoExecutor.With("only executors that failed this request before are free"))
			continue
		}
		t.waiting--
		w.result <- result
	}
}

// refuseWithoutExecutors refuses all queued requests of a pool without usable executors, so that callers still
// have time to forward them to another entry VM.
func (t *Table) refuseWithoutExecutors(p *pool, now time.Time) {
	if p.queued() == 0 {
		return
	}
	if _, executors := p.usableSlots(now); executors > 0 {
		return
	}
	for _, queue := range []*fairQueue{&p.urgent, &p.normal} {
		for w := queue.pop(); w != nil; w = queue.pop() {
			t.refuse(w, ErrNoExecutor)
		}
	}
}

// refuse delivers err to a waiter that was already removed from its queue.
func (t *Table) refuse(w *waiter, err error) {
	t.waiting--
	w.result <- acquireResult{err: err}
}

// decisionLine starts the log line of a routing decision, or returns nil if such lines are turned off.
// A log sink that falls behind recognizes them by the key "decision" and drops them first.
func (t *Table) decisionLine(kind string) *zerolog.Event {
	if t.config.QuietDecisions {
		return nil
	}
	return t.config.Logger.Info().Str("decision", kind)
}

// logChoice logs the chosen executor and the candidate that it was preferred to.
func (t *Table) logChoice(r *Request, d *decision) {
	line := t.decisionLine("route")
	if line == nil {
		return
	}
	chosen := d.chosen
	line = line.Str("request", r.ID).Str("service", r.Service).Str("member", r.Member).Str("policy", t.config.Policy.Name()).
		Int("free", d.free).Str("target", chosen.executor.id).Uint32("in_flight", chosen.inFlight).Int64("latency_us", int64(chosen.latency*1e6))
	if runnerUp := d.runnerUp; runnerUp.executor != nil {
		line = line.Str("over", runnerUp.executor.id).Uint32("over_in_flight", runnerUp.inFlight).Int64("over_latency_us", int64(runnerUp.latency*1e6))
	}
	line.Msg("request routed")
}

func (t *Table) logRefusal(r *Request, err error) {
	line := t.decisionLine("refuse")
	if line == nil {
		return
	}
	line.Str("request", r.ID).Str("service", r.Service).Str("member", r.Member).Err(err).Msg("request refused")
}
