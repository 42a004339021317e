package replica

import "sync"

// mailbox is the queue of work for the control goroutine. It has no bound of
// its own: messages are bounded by their receiver, calls by their callers, and
// sync reports by one write in progress for each group.
type mailbox struct {
	wake   chan struct{}
	mu     sync.Mutex
	queue  []func()
	closed bool
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// put adds work. It returns false after close.
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

// take removes and returns all work.
func (b *mailbox) take() []func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := b.queue
	b.queue = nil
	return queue
}

func (b *mailbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.queue = nil
}
