package routing

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// decision is what a routing decision considered. It is logged after the table is unlocked.
type decision struct {
	free      int
	won, over candidate
}

type candidate struct {
	executor *executor
	inFlight uint32
	latency  float64
}

func (e *executor) candidate() candidate {
	return candidate{executor: e, inFlight: e.inFlight, latency: e.health.latency}
}

// choose takes a slot of an executor with a free one, or returns nil.
func (t *Table) choose(p *pool, r *Request, now time.Time, d *decision) *Grant {
	for p.picker.Len() > 0 {
		i := p.pick(r, t.config.Policy)
		if i < 0 {
			return nil
		}
		e := p.picker.available[i]
		if !e.usable(now) {
			p.unlist(e)
			continue
		}
		p.describe(e, d)
		return t.take(e, now)
	}
	return nil
}

// describe records what was considered. The loser is unknown if the policy sampled no second one.
func (p *pool) describe(won *executor, d *decision) {
	d.free = p.picker.Len()
	d.won = won.candidate()
	if p.picker.sampled != 2 {
		return
	}
	if loser := p.picker.other(won); loser != won {
		d.over = loser.candidate()
	}
}

// other returns the sampled candidate that lost.
func (p *Picker) other(won *executor) *executor {
	if first := p.available[p.considered[0]]; first != won {
		return first
	}
	return p.available[p.considered[1]]
}

// pick applies the policy. If it returns an executor that the request should avoid, the next
// acceptable one is taken. -1 means that only executors that failed the request before are free.
func (p *pool) pick(r *Request, policy Policy) int {
	p.picker.sampled = 0
	first := policy.Pick(&p.picker)
	if p.acceptable(first, r, false) {
		return first
	}
	p.picker.sampled = 0
	for _, probes := range []bool{false, true} {
		for step := range p.picker.Len() {
			i := (first + step) % p.picker.Len()
			if p.acceptable(i, r, probes) {
				return i
			}
		}
	}
	return -1
}

// acceptable reports whether the request may go to the i-th executor. Only idempotent requests probe
// an executor that was set aside, as long as there is another one.
func (p *pool) acceptable(i int, r *Request, probes bool) bool {
	e := p.picker.available[i]
	if e.health.probing && !r.Idempotent && !probes {
		return false
	}
	return len(r.Avoid) == 0 || !slices.Contains(r.Avoid, e.id)
}

func (t *Table) take(e *executor, now time.Time) *Grant {
	last := len(e.grants) - 1
	g := e.grants[last]
	e.grants = e.grants[:last]
	g.table = t
	g.held = true
	e.inFlight++
	t.inFlight++
	e.pool.list(e, now)
	return g
}

// dispatch gives free slots to waiting requests.
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
		result := granted{}
		result.grant = t.choose(p, &w.request, now, &result.decision)
		if result.grant == nil {
			t.refuse(w, ErrNoExecutor.With("only executors that failed this request before are free"))
			continue
		}
		t.waiting--
		w.result <- result
	}
}

// refuseStranded ends all waiters of a pool whose last executor has left, so that they can be
// forwarded or tried elsewhere in time.
func (t *Table) refuseStranded(p *pool, now time.Time) {
	if p.queued() == 0 {
		return
	}
	if _, executors := p.slots(now); executors > 0 {
		return
	}
	for _, queue := range []*fairQueue{&p.urgent, &p.normal} {
		for w := queue.pop(); w != nil; w = queue.pop() {
			t.refuse(w, ErrNoExecutor)
		}
	}
}

// refuse ends a waiter that was taken out of its queue.
func (t *Table) refuse(w *waiter, err error) {
	t.waiting--
	w.result <- granted{err: err}
}

// decisionLine starts a decision line. The key "decision" lets a slow log sink drop such lines first.
func (t *Table) decisionLine(kind string) *zerolog.Event {
	if t.config.QuietDecisions {
		return nil
	}
	return t.config.Logger.Info().Str("decision", kind)
}

// logChoice writes the decision line: what was considered and what won.
func (t *Table) logChoice(r *Request, d *decision) {
	line := t.decisionLine("route")
	if line == nil {
		return
	}
	won := d.won
	line = line.Str("request", r.ID).Str("service", r.Service).Str("member", r.Member).Str("policy", t.config.Policy.Name()).
		Int("free", d.free).Str("target", won.executor.id).Uint32("in_flight", won.inFlight).Int64("latency_us", int64(won.latency*1e6))
	if over := d.over; over.executor != nil {
		line = line.Str("over", over.executor.id).Uint32("over_in_flight", over.inFlight).Int64("over_latency_us", int64(over.latency*1e6))
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
