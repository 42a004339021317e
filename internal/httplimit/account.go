package httplimit

import "container/list"

// Account is what one connection holds. Its methods may be called on a nil account, which has no limits.
type Account struct {
	budget     *Budget
	disconnect func()

	// The fields below are guarded by budget.mu.
	held     int64
	list     *list.List    // idle, unfinished or stalled of the budget; nil while a whole request is worked on
	element  *list.Element // in list
	waiting  *list.Element // in the queue of the budget
	expelled bool          // disconnected by the budget
	ended    bool
	// header is set while the header of a request, and not its body, is read.
	header bool
	// cancel cancels the context of the unfinished request.
	cancel func()
}

// hold adds bytes to what the account holds. It may disconnect others and then waits until they have ended. Its error is
// ErrExhausted, or ErrDisconnected if this account is or gets disconnected.
func (a *Account) hold(bytes int64) error {
	if a == nil || bytes <= 0 {
		return nil
	}
	w, err := a.request(bytes)
	if err != nil || w == nil {
		return err
	}
	return <-w.done
}

// request takes memory for an account. It returns a wait if disconnected clients have to end first.
func (a *Account) request(bytes int64) (*wait, error) {
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	switch {
	case a.expelled || a.ended:
		return nil, ErrDisconnected
	case b.makeRoom(bytes, 0, a) != "":
		b.observer.refused(limitMemory)
		return nil, ErrExhausted
	case b.queue.Len() == 0 && b.used+bytes <= b.maxBytes:
		b.change(a, bytes)
		return nil, nil
	}
	w := &wait{account: a, bytes: bytes, done: make(chan error, 1)}
	a.waiting = b.queue.PushBack(w)
	b.queued += bytes
	return w, nil
}

// release gives memory back.
func (a *Account) release(bytes int64) {
	if a == nil || bytes <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.unlock()
	if !a.ended {
		a.budget.change(a, -bytes)
	}
}

// received notes that bytes of the connection were read and reports whether they belong to the header of a request.
func (a *Account) received() bool {
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	if a.list == &b.idle {
		b.move(a, &b.unfinished)
	}
	return a.header && a.list == &b.unfinished
}

// headerEnded notes that the header of a request was parsed and what it holds from now on. cancel cancels the request; it is called
// if the client is disconnected.
func (a *Account) headerEnded(bytes int64, cancel func()) {
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	a.header = false
	if a.list == &b.idle { // the whole header was in the buffer
		b.move(a, &b.unfinished)
	}
	if !a.ended {
		b.change(a, connectionBytes+bytes-a.held)
	}
	a.cancel = cancel
}

// complete notes that the request has arrived in full. It returns ErrDisconnected if the client was disconnected before.
func (a *Account) complete() error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	if a.expelled || a.ended {
		return ErrDisconnected
	}
	b.move(a, nil)
	return nil
}

// answered notes that the connection waits for the next request.
func (a *Account) answered() {
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	if a.expelled || a.ended {
		return
	}
	a.header, a.cancel = true, nil
	b.move(a, &b.idle)
	b.change(a, connectionBytes-a.held)
}

// end gives back what the account holds. Further calls have no effect.
func (a *Account) end() {
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	if a.ended {
		return
	}
	a.ended = true
	b.move(a, nil)
	if a.waiting != nil {
		b.finish(a.waiting, ErrDisconnected)
	}
	held := a.held
	if a.expelled {
		b.disconnecting--
	} else {
		b.connections--
	}
	b.change(a, -held)
	b.changed.Broadcast()
}

// setStalled notes that the client of a whole request does not take its answer, or does so again.
func (a *Account) setStalled(stalled bool) {
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	switch {
	case a.expelled || a.ended:
	case stalled && a.list == nil:
		b.move(a, &b.stalled)
	case !stalled && a.list == &b.stalled:
		b.move(a, nil)
	}
}

// timedOut notes that no more of an unfinished request arrived in time.
func (a *Account) timedOut() {
	b := a.budget
	b.mu.Lock()
	defer b.unlock()
	if a.list == &b.unfinished {
		b.observer.disconnected(limitTime)
	}
}
