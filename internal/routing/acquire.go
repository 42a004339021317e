package routing

import (
	"context"
	"net/http"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// Grant is one slot of an executor. Release must be called exactly once; the table uses the Grant
// again afterwards.
type Grant struct {
	executor *executor
	table    *Table
	held     bool
}

// Target returns the id of the executor.
func (g *Grant) Target() string { return g.executor.id }

// Address returns http://IP:port of the executor.
func (g *Grant) Address() string { return g.executor.address }

// Transport returns the transport of the executor. It keeps to the announced number of connections.
func (g *Grant) Transport() http.RoundTripper { return g.executor.transport }

// Valid reports whether a request may still be sent on the slot.
func (g *Grant) Valid() bool {
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return g.executor.leased(t.config.Now()) && !g.executor.draining
}

// maxLinger bounds the time that a request is given after its deadline.
const maxLinger = 100 * time.Millisecond

// Linger returns the time that an executor is given to finish a request whose deadline has passed or
// whose caller has gone: the typical time of a request.
func (g *Grant) Linger() time.Duration {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return min(g.executor.pool.serviceTime(), maxLinger)
}

// TryAcquire returns a slot if one is free and nobody waits for one, or nil.
func (t *Table) TryAcquire(r *Request) *Grant {
	var d decision
	g := t.tryAcquire(r, &d)
	if g != nil {
		t.logChoice(r, &d)
	}
	return g
}

func (t *Table) tryAcquire(r *Request, d *decision) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[r.Service]
	if p == nil || t.refuses(r) || p.queued() > 0 {
		return nil
	}
	g := t.choose(p, r, t.config.Now(), d)
	if g != nil {
		t.credit(r)
	}
	return g
}

// Acquire waits for a slot. Urgent requests come first; members share the rest by weight. Errors:
// ErrNoExecutor, ErrQueueFull, ErrDeadline, errs.ErrDraining, or the error of ctx.
func (t *Table) Acquire(ctx context.Context, r Request) (*Grant, error) {
	var d decision
	t.mu.Lock()
	now := t.config.Now()
	g, w, err := t.acquireOrQueue(&r, now, &d)
	t.mu.Unlock()
	switch {
	case w != nil:
		return t.wait(ctx, w, now)
	case err != nil:
		t.logRefusal(&r, err)
		return nil, err
	}
	t.logChoice(&r, &d)
	return g, nil
}

// Admit reports whether Acquire would refuse the request at once. It changes nothing.
func (t *Table) Admit(r *Request) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refuses(r) {
		return errs.ErrDraining
	}
	p := t.pools[r.Service]
	if p == nil {
		return ErrNoExecutor
	}
	if p.queued() == 0 && p.picker.Len() > 0 {
		return nil
	}
	if err := p.admit(r, t.config.Now()); err != nil {
		return err
	}
	if t.waiting >= t.config.MaxQueue && p.victim(r) == nil {
		return ErrQueueFull
	}
	return nil
}

// refuses reports whether the table takes no new work. Requests that began before Drain go on.
func (t *Table) refuses(r *Request) bool { return t.draining && !r.Begun }

// credit adds to the retry budget for a request that is not itself a retry.
func (t *Table) credit(r *Request) {
	if len(r.Avoid) == 0 {
		t.budget.request()
	}
}

func (t *Table) acquireOrQueue(r *Request, now time.Time, d *decision) (*Grant, *waiter, error) {
	if t.refuses(r) {
		return nil, nil, errs.ErrDraining
	}
	p := t.pools[r.Service]
	if p == nil {
		return nil, nil, ErrNoExecutor
	}
	t.credit(r)
	if p.queued() == 0 {
		if p.picker.Len() == 0 {
			t.recallSlow(p, now)
		}
		if g := t.choose(p, r, now, d); g != nil {
			return g, nil, nil
		}
	}
	if err := p.admit(r, now); err != nil {
		return nil, nil, err
	}
	if err := t.makeRoom(p, r); err != nil {
		return nil, nil, err
	}
	w := &waiter{request: *r, result: make(chan granted, 1), queued: now}
	p.queue(r.Urgent).push(w)
	t.waiting++
	return nil, w, nil
}

// makeRoom refuses the request, or a less entitled waiting one, if the queue is full.
func (t *Table) makeRoom(p *pool, r *Request) error {
	if t.waiting < t.config.MaxQueue {
		return nil
	}
	victim := p.victim(r)
	if victim == nil {
		return ErrQueueFull
	}
	w := p.normal.removeAt(victim, len(victim.waiting)-1)
	t.refuse(w, ErrQueueFull)
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
		if result.err != nil {
			t.logRefusal(&w.request, result.err)
			return nil, result.err
		}
		t.logChoice(&w.request, &result.decision)
		return result.grant, nil
	case <-expired:
		err = ErrDeadline.With("no slot became free before the deadline")
	case <-ctx.Done():
		err = ctx.Err()
	}
	t.giveUp(w)
	t.logRefusal(&w.request, err)
	return nil, err
}

// giveUp takes w out of the queue. A slot granted in the meantime is returned.
func (t *Table) giveUp(w *waiter) {
	t.mu.Lock()
	p := t.pools[w.request.Service]
	queued := p.queue(w.request.Urgent).remove(w)
	if queued {
		t.waiting--
		t.signalIdle()
	}
	t.mu.Unlock()
	if queued {
		return
	}
	if result := <-w.result; result.grant != nil {
		result.grant.Release(Outcome{Result: Unused})
	}
}

// Release gives the slot back. A slot whose request the executor may still work on stays reserved
// until the executor reports otherwise.
func (g *Grant) Release(o Outcome) {
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !g.held {
		panic("routing: slot released twice")
	}
	g.held = false
	now := t.config.Now()
	e := g.executor
	e.grants = append(e.grants, g)
	e.inFlight--
	t.inFlight--
	if !o.settled() {
		e.leaveUnsettled(1, now.Add(closeNoticeTime))
	}
	e.health.record(o, e.pool.latency)
	if o.Result == Success && o.Status < http.StatusInternalServerError {
		e.pool.recordLatency(o.Latency)
	}
	t.review(e, now)
	e.pool.list(e, now)
	t.dispatch(e.pool, now)
	t.signalIdle()
}

// Begin counts a request that has begun, until End. It returns errs.ErrDraining after Drain.
func (t *Table) Begin() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return errs.ErrDraining
	}
	t.begun++
	return nil
}

// End ends what Begin began.
func (t *Table) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun--
	t.signalIdle()
}

// Wait blocks until no request is begun, waiting or in flight. It returns the error of ctx.
func (t *Table) Wait(ctx context.Context) error {
	for {
		t.mu.Lock()
		if t.isIdle() {
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

func (t *Table) isIdle() bool { return t.inFlight == 0 && t.waiting == 0 && t.begun == 0 }

func (t *Table) signalIdle() {
	if t.idle != nil && t.isIdle() {
		close(t.idle)
		t.idle = nil
	}
}
