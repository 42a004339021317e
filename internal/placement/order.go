package placement

// order walks the queued tasks of one class without changing the queue: members by charge or age, and within a member the
// buckets by age.
type order struct {
	walks []*walk
	// byAge orders members by their oldest task instead of by charge.
	byAge bool
}

// walk is the position in the queue of one member.
type walk struct {
	flow *flow
	// pending is a heap of the buckets to try next, by age of their next task.
	pending []cursor
	// current is the bucket that was taken last.
	current cursor
}

// cursor is the next task to try of a bucket. A fresh cursor has not yet added the bucket's successors in the flow's
// heap to the walk.
type cursor struct {
	bucket *bucket
	task   *task
	fresh  bool
}

func newOrder(classes ...map[string]*flow) *order {
	o := &order{}
	for _, flows := range classes {
		for _, f := range flows {
			if len(f.buckets) > 0 {
				o.walks = append(o.walks, newWalk(f))
			}
		}
	}
	return o
}

func newWalk(f *flow) *walk {
	w := &walk{flow: f}
	w.push(cursor{f.buckets[0], f.buckets[0].head, true})
	return w
}

// next returns the walk of the member with the smallest charge, or nil when all are done.
func (o *order) next() *walk {
	var best *walk
	for _, w := range o.walks {
		if len(w.pending) > 0 && (best == nil || o.before(w, best)) {
			best = w
		}
	}
	return best
}

func (o *order) before(a, b *walk) bool {
	if o.byAge {
		return a.peek().before(b.peek())
	}
	if a.flow.charge != b.flow.charge {
		return a.flow.charge < b.flow.charge
	}
	return a.flow.member < b.flow.member
}

// peek returns the oldest task to try.
func (w *walk) peek() *task { return w.pending[0].task }

// take removes and returns the oldest task to try. Call keep to go on with its bucket.
func (w *walk) take() *task {
	c := w.pop()
	if c.fresh {
		w.expand(c.bucket)
	}
	w.current = c
	return c.task
}

// keep continues with the task after the one taken last.
func (w *walk) keep() {
	if next := w.current.task.next; next != nil {
		w.push(cursor{w.current.bucket, next, false})
	}
}

// expand adds the children of b in the flow's heap. All older buckets have been added before, since a parent is
// never younger than its children.
func (w *walk) expand(b *bucket) {
	for i := 2*b.position + 1; i <= 2*b.position+2 && i < len(w.flow.buckets); i++ {
		child := w.flow.buckets[i]
		w.push(cursor{child, child.head, true})
	}
}

func (w *walk) push(c cursor) {
	w.pending = append(w.pending, c)
	i := len(w.pending) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !w.pending[i].task.before(w.pending[parent].task) {
			return
		}
		w.pending[i], w.pending[parent] = w.pending[parent], w.pending[i]
		i = parent
	}
}

func (w *walk) pop() cursor {
	h := w.pending
	top, last := h[0], len(h)-1
	h[0], h[last] = h[last], cursor{}
	w.pending = h[:last]
	w.sink(0)
	return top
}

func (w *walk) sink(i int) {
	h := w.pending
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].task.before(h[child].task) {
			child++
		}
		if !h[child].task.before(h[i].task) {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}
