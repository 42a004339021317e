package routing

import "time"

// waiter is one request in the queue.
type waiter struct {
	request Request
	result  chan granted
	queued  time.Time
	owner   *line
}

type granted struct {
	grant    *Grant
	err      error
	decision decision
}

// line holds the waiting requests of one member in one class, first come first served.
type line struct {
	member  string
	weight  uint32
	waiting []*waiter
	// virtual is the member's start tag: the line with the lowest tag is served next.
	virtual float64
}

// fairQueue serves lines in proportion to their weights (start-time fair queueing). A line that has
// run empty keeps its tag until the queue's virtual time has reached it; otherwise a member whose
// requests wait one at a time would be served before all others.
type fairQueue struct {
	lines   map[string]*line
	size    int
	virtual float64
}

func (q *fairQueue) push(w *waiter) {
	if q.lines == nil || q.size == 0 {
		q.lines = make(map[string]*line)
		q.virtual = 0
	}
	l := q.lines[w.request.Member]
	if l == nil {
		l = &line{member: w.request.Member, virtual: q.virtual}
		q.lines[w.request.Member] = l
	}
	l.weight = max(w.request.Weight, 1)
	l.waiting = append(l.waiting, w)
	w.owner = l
	q.size++
}

// next returns the line to serve next, or nil.
func (q *fairQueue) next() *line {
	var best *line
	for member, l := range q.lines {
		if len(l.waiting) == 0 {
			if l.virtual <= q.virtual {
				delete(q.lines, member)
			}
			continue
		}
		if best == nil || l.virtual < best.virtual || l.virtual == best.virtual && l.member < best.member {
			best = l
		}
	}
	return best
}

func (q *fairQueue) pop() *waiter {
	l := q.next()
	if l == nil {
		return nil
	}
	q.virtual = l.virtual
	l.virtual += 1 / float64(l.weight)
	return q.removeAt(l, 0)
}

func (q *fairQueue) removeAt(l *line, i int) *waiter {
	w := l.waiting[i]
	w.owner = nil
	copy(l.waiting[i:], l.waiting[i+1:])
	l.waiting[len(l.waiting)-1] = nil
	l.waiting = l.waiting[:len(l.waiting)-1]
	q.size--
	return w
}

// remove takes w out of the queue; false if it is not queued any more.
func (q *fairQueue) remove(w *waiter) bool {
	l := w.owner
	if l == nil {
		return false
	}
	for i, other := range l.waiting {
		if other == w {
			q.removeAt(l, i)
			return true
		}
	}
	return false
}

// ahead estimates how many requests are served before a new one of the member.
func (q *fairQueue) ahead(member string, weight uint32) float64 {
	total := float64(max(weight, 1))
	own := 0
	for _, l := range q.lines {
		if l.member == member {
			own = len(l.waiting)
		} else if len(l.waiting) > 0 {
			total += float64(l.weight)
		}
	}
	fair := float64(own) * total / float64(max(weight, 1))
	return min(fair, float64(q.size))
}

// longest returns the line that is longest relative to its weight, or nil.
func (q *fairQueue) longest() *line {
	var worst *line
	for _, l := range q.lines {
		if len(l.waiting) == 0 {
			continue
		}
		if worst == nil || l.share() > worst.share() || l.share() == worst.share() && l.member < worst.member {
			worst = l
		}
	}
	return worst
}

func (l *line) share() float64 { return float64(len(l.waiting)) / float64(l.weight) }
