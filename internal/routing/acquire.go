package routing

import (
	"context"
	"net/http"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// Grant is the right to send one request to an executor; it occupies one slot. Release must be called
// exactly once. The table reuses the Grant afterwards, so the caller must not keep it.
type Grant struct {
	executor *executor
	table    *Table
	held     bool
}

// Target returns the id of the executor.
func (g *Grant) Target() string { return g.executor.id }

// Address returns http://IP:port of the executor.
func (g *Grant) Address() string { return g.executor.address }

// Transport returns the HTTP transport of the executor. It opens at most the announced number of
// connections.
func (g *Grant) Transport() http.RoundTripper { return g.executor.transport }

// Valid reports whether a request may still be sent to the executor: its lease has not expired and it
// is not draining.
func (g *Grant) Valid() bool {
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return g.executor.leased(t.config.Now()) && !g.executor.draining
}

// maxGracePeriod bounds the result of Grant.GracePeriod.
const maxGracePeriod = 100 * time.Millisecond

// GracePeriod returns how long an executor may go on with a request after its deadline has passed or
// its caller has disconnected: the usual service time of the pool, at most maxGracePeriod.
func (g *Grant) GracePeriod() time.Duration {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return min(g.executor.pool.serviceTime(), maxGracePeriod)
}

// TryAcquire returns a slot without waiting. It returns nil if no slot is free, if other requests are
// queued for the service, or if the table is draining.
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
		t.creditBudget(r)
	}
	return g
}

// Acquire waits for a slot. Urgent requests are served before all others; within each class, members
// share the slots in proportion to their weights. It returns ErrNoExecutor, ErrQueueFull, ErrDeadline,
// errs.ErrDraining, or the error of ctx.
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

// Admit returns the error with which Acquire would refuse the request at once, or nil. It neither
// queues the request nor takes a slot.
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

// refuses reports whether the request is refused because the table is draining. Requests that began
// before Drain are still served.
func (t *Table) refuses(r *Request) bool { return t.draining && !r.Begun }

// creditBudget adds to the retry budget unless the request is itself a retry.
func (t *Table) creditBudget(r *Request) {
	if len(r.Avoid) == 0 {
		t.budget.credit()
	}
}

// acquireOrQueue returns a slot, or a queued waiter if no slot is free, or the reason for refusing the
// request.
func (t *Table) acquireOrQueue(r *Request, now time.Time, d *decision) (*Grant, *waiter, error) {
	if t.refuses(r) {
		return nil, nil, errs.ErrDraining
	}
	p := t.pools[r.Service]
	if p == nil {
		return nil, nil, ErrNoExecutor
	}
	t.creditBudget(r)
	if p.queued() == 0 {
		if p.picker.Len() == 0 {
			t.reinstateSlow(p, now)
		}
		if g := t.choose(p, r, now, d); g != nil {
			return g, nil, nil
		}
	}
	if err := p.admit(r, now); err != nil {
		return nil, nil, err
	}
	if err := t.makeQueueSpace(p, r); err != nil {
		return nil, nil, err
	}
	w := &waiter{request: *r, result: make(chan acquireResult, 1), queued: now}
	p.queue(r.Urgent).push(w)
	t.waiting++
	return nil, w, nil
}

// makeQueueSpace returns ErrQueueFull if the queue is full, unless pool.victim names a flow whose newest
// request can be refused in place of r.
func (t *Table) makeQueueSpace(p *pool, r *Request) error {
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

// wait blocks until the waiter gets a slot, is refused, reaches its deadline, or ctx is done.
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
	t.cancelWait(w)
	t.logRefusal(&w.request, err)
	return nil, err
}

// cancelWait removes w from the queue. A slot that was granted in the meantime is released.
func (t *Table) cancelWait(w *waiter) {
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

// Release returns the slot to the table and records the outcome of the request. If the executor may
// still be working on the request, the slot stays reserved until an announcement of the executor shows
// that the request has ended.
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
	if !o.executorDone() {
		e.reserveSlots(1, now.Add(closeNoticeTime))
	}
	e.health.record(o, e.pool.latency)
	if o.Result == Success && o.Status < http.StatusInternalServerError {
		e.pool.recordLatency(o.Latency)
	}
	t.updateHealth(e, now)
	e.pool.updateAvailable(e, now)
	t.dispatch(e.pool, now)
	t.signalIdle()
}

// Begin registers a request with the table until End is called, so that Wait waits for it. It returns
// errs.ErrDraining after Drain.
func (t *Table) Begin() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return errs.ErrDraining
	}
	t.begun++
	return nil
}

// End ends a request registered with Begin.
func (t *Table) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun--
	t.signalIdle()
}

// Wait blocks until no request is registered with Begin, queued or in flight. It returns the error of
// ctx if ctx is done earlier.
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

// signalIdle wakes the callers of Wait if the table is idle.
func (t *Table) signalIdle() {
	if t.idle != nil && t.isIdle() {
		close(t.idle)
		t.idle = nil
	}
}
