package routing

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// Grant is one slot of an executor. Release must be called exactly once; the table uses the Grant
// again afterwards.
type Grant struct {
	executor *executor
	table    *Table
}

// Target returns the id of the executor.
func (g *Grant) Target() string { return g.executor.id }

// Address returns http://IP:port of the executor.
func (g *Grant) Address() string { return g.executor.address }

// Transport returns the transport of the executor. It keeps to the announced number of connections.
func (g *Grant) Transport() http.RoundTripper { return g.executor.transport }

// TryAcquire returns a slot if one is free and nobody waits for one, or nil.
func (t *Table) TryAcquire(r *Request) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[r.Service]
	if p == nil || t.draining || p.queued() > 0 {
		return nil
	}
	now := t.config.Now()
	t.budget.request()
	return t.choose(p, r, now)
}

// Acquire waits for a slot. Urgent requests come first; members share the rest by weight. Errors:
// ErrNoExecutor, ErrQueueFull, ErrDeadline, errs.ErrDraining, or the error of ctx.
func (t *Table) Acquire(ctx context.Context, r Request) (*Grant, error) {
	t.mu.Lock()
	now := t.config.Now()
	g, w, err := t.acquireOrQueue(&r, now)
	t.mu.Unlock()
	if w == nil {
		return g, err
	}
	return t.wait(ctx, w, now)
}

// Admit reports whether Acquire would refuse the request at once. It changes nothing.
func (t *Table) Admit(r *Request) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return errs.ErrDraining
	}
	p := t.pools[r.Service]
	if p == nil {
		return ErrNoExecutor
	}
	if p.queued() == 0 && p.picker.Len() > 0 {
		return nil
	}
	return t.admit(p, r, t.config.Now())
}

func (t *Table) acquireOrQueue(r *Request, now time.Time) (*Grant, *waiter, error) {
	if t.draining {
		return nil, nil, errs.ErrDraining
	}
	p := t.pools[r.Service]
	if p == nil {
		return nil, nil, ErrNoExecutor
	}
	t.budget.request()
	if p.queued() == 0 {
		if g := t.choose(p, r, now); g != nil {
			return g, nil, nil
		}
	}
	if err := t.admit(p, r, now); err != nil {
		t.logRefusal(p, r, err)
		return nil, nil, err
	}
	w := &waiter{request: *r, result: make(chan granted, 1), queued: now}
	p.queue(r.Urgent).push(w)
	t.waiting++
	return nil, w, nil
}

func (p *pool) queue(urgent bool) *fairQueue {
	if urgent {
		return &p.urgent
	}
	return &p.normal
}

// admit refuses a request whose deadline cannot be met, or that has no place in the queue.
func (t *Table) admit(p *pool, r *Request, now time.Time) error {
	slots, executors := p.slots(now)
	if executors == 0 {
		return ErrNoExecutor
	}
	if !r.Deadline.IsZero() {
		need := p.expectedWait(r, slots) + p.serviceTime()
		if left := r.Deadline.Sub(now); left < need {
			return ErrDeadline.With("%v left, %v needed given %d queued requests", left, need, p.queued())
		}
	}
	if t.waiting < t.config.MaxQueue {
		return nil
	}
	return t.makeRoom(p, r)
}

// expectedWait estimates the time until a new request gets a slot.
func (p *pool) expectedWait(r *Request, slots uint32) time.Duration {
	ahead := p.queue(r.Urgent).ahead(r.Member, r.Weight)
	if !r.Urgent {
		ahead += float64(p.urgent.size)
	}
	seconds := (ahead + 1) * p.latency / float64(max(slots, 1))
	return time.Duration(seconds * float64(time.Second))
}

func (p *pool) serviceTime() time.Duration {
	return time.Duration(p.latency * float64(time.Second))
}

// makeRoom evicts the newest waiting request of the member with the most waiting ones for its
// weight, if the new request is urgent or its member has fewer.
func (t *Table) makeRoom(p *pool, r *Request) error {
	victim := p.normal.longest()
	if victim == nil {
		return ErrQueueFull
	}
	own := 0.0
	if l := p.normal.lines[r.Member]; l != nil {
		own = l.share()
	}
	if !r.Urgent && own+1/float64(max(r.Weight, 1)) >= victim.share() {
		return ErrQueueFull
	}
	w := victim.waiting[len(victim.waiting)-1]
	p.normal.removeAt(victim, len(victim.waiting)-1)
	t.refuse(p, w, ErrQueueFull)
	return nil
}

// wait blocks until the waiter gets a slot, a refusal, or gives up.
func (t *Table) wait(ctx context.Context, w *waiter, now time.Time) (*Grant, error) {
	var expired <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(w.request.Deadline.Sub(now))
		defer timer.Stop()
		expired = timer.C
	}
	var err error
	select {
	case result := <-w.result:
		return result.grant, result.err
	case <-expired:
		err = ErrDeadline.With("no slot became free before the deadline")
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, t.giveUp(w, err)
}

// giveUp takes w out of the queue. A slot granted in the meantime is returned.
func (t *Table) giveUp(w *waiter, err error) error {
	t.mu.Lock()
	p := t.pools[w.request.Service]
	if p.queue(w.request.Urgent).remove(w) {
		t.waiting--
		t.mu.Unlock()
		return err
	}
	t.mu.Unlock()
	if result := <-w.result; result.grant != nil {
		result.grant.Release(Outcome{Result: NotSent})
	}
	return err
}

// choose takes a slot of an executor with a free one, or returns nil.
func (t *Table) choose(p *pool, r *Request, now time.Time) *Grant {
	for p.picker.Len() > 0 {
		i := p.pick(r.Avoid, t.config.Policy)
		if i < 0 {
			return nil
		}
		e := p.picker.available[i]
		if !e.usable(now) {
			p.unlist(e)
			continue
		}
		t.logChoice(p, r, e)
		return t.take(e, now)
	}
	return nil
}

// pick applies the policy. If it returns an executor to avoid, any other one is taken.
func (p *pool) pick(avoid []string, policy Policy) int {
	p.picker.sampled = 0
	i := policy.Pick(&p.picker)
	if len(avoid) == 0 || !slices.Contains(avoid, p.picker.available[i].id) {
		return i
	}
	n := p.picker.Len()
	for step := 1; step < n; step++ {
		j := (i + step) % n
		if !slices.Contains(avoid, p.picker.available[j].id) {
			return j
		}
	}
	return -1
}

func (t *Table) take(e *executor, now time.Time) *Grant {
	last := len(e.grants) - 1
	g := e.grants[last]
	e.grants = e.grants[:last]
	g.table = t
	e.inFlight++
	t.inFlight++
	e.pool.list(e, now)
	return g
}

// Release gives the slot back. A slot whose request the executor may still work on stays reserved
// until the executor reports otherwise.
func (g *Grant) Release(o Outcome) {
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	e := g.executor
	e.grants = append(e.grants, g)
	e.inFlight--
	t.inFlight--
	if !o.settled() {
		e.leaveUnsettled(1, now)
	}
	e.health.record(o)
	if o.Result == Success {
		e.pool.latency = average(e.pool.latency, o.Latency.Seconds())
	}
	t.review(e, now)
	e.pool.list(e, now)
	t.dispatch(e.pool, now)
	t.signalIdle()
}

// dispatch gives free slots to waiting requests.
func (t *Table) dispatch(p *pool, now time.Time) {
	for p.queued() > 0 && p.picker.Len() > 0 {
		queue := &p.urgent
		if queue.size == 0 {
			queue = &p.normal
		}
		w := queue.pop()
		if !w.request.Deadline.IsZero() && w.request.Deadline.Sub(now) < p.serviceTime() {
			t.refuse(p, w, ErrDeadline.With("%v left after waiting %v", w.request.Deadline.Sub(now), now.Sub(w.queued)))
			continue
		}
		g := t.choose(p, &w.request, now)
		if g == nil {
			t.refuse(p, w, ErrNoExecutor.With("only executors that failed this request before are free"))
			continue
		}
		t.waiting--
		w.result <- granted{grant: g}
	}
}

// refuse ends a waiter that was taken out of its queue.
func (t *Table) refuse(p *pool, w *waiter, err error) {
	t.waiting--
	t.logRefusal(p, &w.request, err)
	w.result <- granted{err: err}
}

func (t *Table) refuseAll(p *pool, err error) {
	for _, queue := range []*fairQueue{&p.urgent, &p.normal} {
		for w := queue.pop(); w != nil; w = queue.pop() {
			t.refuse(p, w, err)
		}
	}
}

// Wait blocks until no request is in flight or waiting. It returns the error of ctx.
func (t *Table) Wait(ctx context.Context) error {
	for {
		t.mu.Lock()
		if t.inFlight == 0 && t.waiting == 0 {
			t.mu.Unlock()
			return nil
		}
		if t.idle == nil {
			t.idle = make(chan struct{})
		}
		idle := t.idle
		t.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *Table) signalIdle() {
	if t.idle != nil && t.inFlight == 0 && t.waiting == 0 {
		close(t.idle)
		t.idle = nil
	}
}
