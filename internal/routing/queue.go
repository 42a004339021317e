package routing

import "time"

// waiter is a queued request.
type waiter struct {
	request Request
	// result receives exactly one value when the request leaves the queue, unless its caller cancels it.
	result chan acquireResult
	// queued is the time at which the request was queued.
	queued time.Time
	// flow is the flow that holds the waiter, or nil once it has left the queue.
	flow *flow
}

// acquireResult is a granted slot with the decision behind it, or the reason for refusing the request.
type acquireResult struct {
	grant    *Grant
	err      error
	decision decision
}

// flow holds the queued requests of one member in one class (urgent or normal), in order of arrival.
type flow struct {
	member  string
	weight  uint32
	waiting []*waiter
	// startTag is the virtual time at which the next request of the flow starts. The flow with the lowest
	// tag is served next.
	startTag float64
}

// fairQueue serves the flows of members in proportion to their weights (start-time fair queueing). A
// flow that runs empty keeps its start tag until the virtual time of the queue has reached it.
// Otherwise a member that queues its requests one at a time would always be served first. All tags are
// reset when the whole queue runs empty.
type fairQueue struct {
	// flows holds the flows by member.
	flows map[string]*flow
	// size is the number of queued requests.
	size int
	// virtualTime is the start tag of the request served last.
	virtualTime float64
}

// push appends w to the flow of its member.
func (q *fairQueue) push(w *waiter) {
	if q.flows == nil || q.size == 0 {
		q.flows = make(map[string]*flow)
		q.virtualTime = 0
	}
	f := q.flows[w.request.Member]
	if f == nil {
		f = &flow{member: w.request.Member, startTag: q.virtualTime}
		q.flows[w.request.Member] = f
	}
	f.weight = max(w.request.Weight, 1)
	f.waiting = append(f.waiting, w)
	w.flow = f
	q.size++
}

// next returns the flow to serve next, or nil if the queue is empty. It also deletes empty flows whose
// start tag the virtual time has reached.
func (q *fairQueue) next() *flow {
	var best *flow
	for member, f := range q.flows {
		if len(f.waiting) == 0 {
			if f.startTag <= q.virtualTime {
				delete(q.flows, member)
			}
			continue
		}
		if best == nil || f.startTag < best.startTag || f.startTag == best.startTag && f.member < best.member {
			best = f
		}
	}
	return best
}

// pop removes and returns the request to serve next, or nil if the queue is empty.
func (q *fairQueue) pop() *waiter {
	f := q.next()
	if f == nil {
		return nil
	}
	q.virtualTime = f.startTag
	f.startTag += 1 / float64(f.weight)
	return q.removeAt(f, 0)
}

// removeAt removes and returns the i-th request of the flow.
func (q *fairQueue) removeAt(f *flow, i int) *waiter {
	w := f.waiting[i]
	w.flow = nil
	copy(f.waiting[i:], f.waiting[i+1:])
	f.waiting[len(f.waiting)-1] = nil
	f.waiting = f.waiting[:len(f.waiting)-1]
	q.size--
	return w
}

// remove removes w from the queue. It returns false if w is no longer queued.
func (q *fairQueue) remove(w *waiter) bool {
	f := w.flow
	if f == nil {
		return false
	}
	for i, other := range f.waiting {
		if other == w {
			q.removeAt(f, i)
			return true
		}
	}
	return false
}

// ahead estimates how many queued requests would be served before a new request of the member.
func (q *fairQueue) ahead(member string, weight uint32) float64 {
	total := float64(max(weight, 1))
	own := 0
	for _, f := range q.flows {
		if f.member == member {
			own = len(f.waiting)
		} else if len(f.waiting) > 0 {
			total += float64(f.weight)
		}
	}
	fair := float64(own) * total / float64(max(weight, 1))
	return min(fair, float64(q.size))
}

// longest returns the flow with the most queued requests relative to its weight, or nil.
func (q *fairQueue) longest() *flow {
	var worst *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if worst == nil || f.relativeLength() > worst.relativeLength() || f.relativeLength() == worst.relativeLength() && f.member < worst.member {
			worst = f
		}
	}
	return worst
}

// relativeLength returns the number of queued requests divided by the weight.
func (f *flow) relativeLength() float64 { return float64(len(f.waiting)) / float64(f.weight) }
