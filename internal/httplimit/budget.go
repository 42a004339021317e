// Package httplimit bounds the memory and the connections that the clients of an HTTP server may hold. Each connection has an
// account: what it holds while it waits for a request, while it sends one, and until the request is answered. When the memory or
// the connections are used up, a client that does not take its answer or whose request has been unfinished for longest is
// disconnected, so that newcomers and ordinary clients go on. A request that has arrived in full is worked on and answered.
package httplimit

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

const (
	// connectionBytes is what a connection holds without a request: its goroutine and its buffers.
	connectionBytes = 24 << 10
	// maxDisconnecting is the number of disconnected clients whose memory may be in use still when another client connects.
	maxDisconnecting = 64
)

var (
	// ErrExhausted means that there is no memory for a request. It has not run.
	ErrExhausted = errors.New("this VM has no memory left for the request; the request was not run; repeat it later")
	// ErrDisconnected means that the client was disconnected, since others need what its unfinished request holds.
	ErrDisconnected = errors.New("the client was disconnected, as its request was unfinished for long and memory or connections are short")
)

// Budget is the memory and the connections for all clients of a server. It is safe for concurrent use.
type Budget struct {
	maxBytes       int64
	maxConnections int
	observer       *observer

	mu      sync.Mutex
	changed sync.Cond // signals that an account has ended or may be disconnected from now on
	// used is what all accounts hold. leaving is the part of it that belongs to disconnected clients that have not ended.
	used, leaving int64
	connections   int // without disconnected clients
	disconnecting int // disconnected clients that have not ended
	// idle holds the accounts without a request, unfinished those whose requests have arrived in part, and stalled those whose clients
	// do not take their answers, the oldest first.
	idle, unfinished, stalled list.List
	// queue holds the requests for memory (*wait) that wait until disconnected clients have ended, and queued is their sum.
	queue  list.List
	queued int64
	// victims disconnect clients and are called once mu is unlocked.
	victims []func()
}

// wait is a request for memory that waits until disconnected clients have ended.
type wait struct {
	account *Account
	bytes   int64
	done    chan error
}

// newBudget returns a budget of memory in bytes and of connections.
func newBudget(maxBytes int64, maxConnections int, o *observer) *Budget {
	b := &Budget{maxBytes: maxBytes, maxConnections: maxConnections, observer: o}
	b.changed.L = &b.mu
	return b
}

// open returns the account of a new connection, which disconnect closes. If there is no place for it, open waits until a request has
// been answered or has ended, at most for the given time, and then returns ErrExhausted.
func (b *Budget) open(disconnect func(), patience time.Duration) (*Account, error) {
	b.mu.Lock()
	defer b.unlock()
	expired := patience == 0
	var timer *time.Timer
	for {
		limit := ""
		if b.disconnecting < maxDisconnecting {
			if limit = b.makeRoom(connectionBytes, 1, nil); limit == "" {
				break
			}
		}
		if limit != "" && expired {
			b.observer.refused(limit)
			return nil, ErrExhausted
		}
		if len(b.victims) > 0 {
			b.disconnectVictims() // unlocks, so that the state may have changed
			continue
		}
		if timer == nil {
			timer = time.AfterFunc(patience, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				expired = true
				b.changed.Broadcast()
			})
			defer timer.Stop()
		}
		b.changed.Wait()
	}
	a := &Account{budget: b, disconnect: disconnect, header: true}
	b.connections++
	b.change(a, connectionBytes)
	b.move(a, &b.idle)
	return a, nil
}

// makeRoom disconnects clients until there is memory and a connection for one more, not counting what disconnected clients hold
// still. It returns the limit that is reached if there is not and the remaining clients have whole requests, or unfinished ones not older than self's.
func (b *Budget) makeRoom(bytes int64, connections int, self *Account) (limit string) {
	for b.connections+connections > b.maxConnections {
		if !b.evict(self, limitConnections, &b.stalled, &b.idle, &b.unfinished) {
			return limitConnections
		}
	}
	for b.used-b.leaving+b.queued+bytes > b.maxBytes {
		if !b.evict(self, limitMemory, &b.stalled, &b.unfinished, &b.idle) {
			return limitMemory
		}
	}
	return ""
}

// evict disconnects the oldest client of the first list that is not empty. It returns false if that is self or there is none.
func (b *Budget) evict(self *Account, limit string, lists ...*list.List) bool {
	for _, l := range lists {
		front := l.Front()
		if front == nil {
			continue
		}
		victim := front.Value.(*Account)
		if victim == self {
			return false
		}
		b.observer.disconnected(limit)
		b.expel(victim)
		return true
	}
	return false
}

// expel marks an account as disconnected and wakes it if it waits for memory.
func (b *Budget) expel(a *Account) {
	b.move(a, nil)
	a.expelled = true
	b.connections--
	b.disconnecting++
	b.leaving += a.held
	if a.waiting != nil {
		b.finish(a.waiting, ErrDisconnected)
	}
	b.victims = append(b.victims, a.disconnect)
	if a.cancel != nil {
		b.victims = append(b.victims, a.cancel)
	}
}

// unlock unlocks mu after it has disconnected the victims.
func (b *Budget) unlock() {
	b.disconnectVictims()
	b.observer.observe(b.used, b.connections)
	b.mu.Unlock()
}

// disconnectVictims unlocks mu while it disconnects the victims.
func (b *Budget) disconnectVictims() {
	if len(b.victims) == 0 {
		return
	}
	victims := b.victims
	b.victims = nil
	b.mu.Unlock()
	for _, disconnect := range victims {
		disconnect()
	}
	b.mu.Lock()
}

// change adds bytes, which may be negative, to what an account holds.
func (b *Budget) change(a *Account, bytes int64) {
	a.held += bytes
	b.used += bytes
	if a.expelled {
		b.leaving += bytes
	}
	if bytes < 0 {
		b.grant()
	}
}

// grant gives memory to those that wait for it, in their order.
func (b *Budget) grant() {
	for front := b.queue.Front(); front != nil; front = b.queue.Front() {
		w := front.Value.(*wait)
		if b.used+w.bytes > b.maxBytes {
			return
		}
		b.change(w.account, w.bytes)
		b.finish(front, nil)
	}
}

// finish removes a wait from the queue and gives it its result.
func (b *Budget) finish(e *list.Element, err error) {
	w := b.queue.Remove(e).(*wait)
	b.queued -= w.bytes
	w.account.waiting = nil
	w.done <- err
}

// move moves an account to the end of a list, or out of its list if l is nil.
func (b *Budget) move(a *Account, l *list.List) {
	if a.element != nil {
		a.list.Remove(a.element)
	}
	a.list, a.element = l, nil
	if l != nil {
		a.element = l.PushBack(a)
		b.changed.Broadcast()
	}
}
