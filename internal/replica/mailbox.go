package replica

import "sync"

// mailbox is the queue of functions that the control goroutine runs. It is
// unbounded; those who add to it bound their part: Group.receive limits the bytes
// of messages, calls are limited by their callers, and each group reports at most
// one write at a time.
type mailbox struct {
	wake   chan struct{} // capacity 1; receives a value when work is added
	mu     sync.Mutex
	queue  []func()
	closed bool
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// put adds f to the queue. It returns false after close.
func (b *mailbox) put(f func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.queue = append(b.queue, f)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns all queued functions.
func (b *mailbox) take() []func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := b.queue
	b.queue = nil
	return queue
}

// close drops all queued functions and makes put refuse further ones.
func (b *mailbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.queue = nil
}
