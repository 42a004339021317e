package dispatch

import (
	"sync"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// begunSubmissions holds the submissions of which a worker has confirmed a start in this term. A placement alone proves none: the call may
// hang, and the worker may refuse it.
type begunSubmissions struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (b *begunSubmissions) add(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids[id] = true
}

func (b *begunSubmissions) has(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ids[id]
}

func (b *begunSubmissions) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids = map[string]bool{}
}

// keep removes the submissions for which alive returns false.
func (b *begunSubmissions) keep(alive func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.ids {
		if !alive(id) {
			delete(b.ids, id)
		}
	}
}

// Pending returns the number of active submissions of a queue of which no task is known to have started. It may be called from any
// goroutine. After a change of the leader it counts those that have begun, too, until their workers have answered.
func (l *Leader) Pending(queue string) int {
	n := 0
	l.cfg.State.View(func(state *submission.State) { n = state.Pending(queue, l.begun.has) })
	return n
}
