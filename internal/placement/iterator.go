package placement

// queueIterator visits queued tasks without changing the queue. It selects the next flow by charge or by age, and
// within a flow the task that was submitted first.
type queueIterator struct {
	flows []*flowIterator
	// byAge selects the flow with the oldest task instead of the one with the smallest charge.
	byAge bool
}

// flowIterator visits the tasks of one flow, oldest first.
type flowIterator struct {
	flow *flow
	// pending is a min-heap of positions in buckets, by submission of the task. Buckets that follow in the flow's own
	// heap are added only when needed, so that a pass that visits few tasks does not copy the heap.
	pending []cursor
	// current is the cursor taken last.
	current cursor
}

// cursor is a position in a bucket. Taking the first cursor of a bucket, with fresh set, adds the children of the
// bucket in the flow's heap to the iterator.
type cursor struct {
	bucket *bucket
	task   *task
	fresh  bool
}

// newQueueIterator returns an iterator over the flows of all given classes, by charge.
func newQueueIterator(classes ...map[string]*flow) *queueIterator {
	it := &queueIterator{}
	for _, flows := range classes {
		for _, f := range flows {
			if len(f.buckets) > 0 {
				it.flows = append(it.flows, newFlowIterator(f))
			}
		}
	}
	return it
}

func newFlowIterator(f *flow) *flowIterator {
	fi := &flowIterator{flow: f}
	fi.push(cursor{f.buckets[0], f.buckets[0].head, true})
	return fi
}

// next returns the first flow in iteration order that has tasks left, or nil if none has. Charges may change between
// calls.
func (it *queueIterator) next() *flowIterator {
	var best *flowIterator
	for _, fi := range it.flows {
		if len(fi.pending) > 0 && (best == nil || it.before(fi, best)) {
			best = fi
		}
	}
	return best
}

// before reports whether a comes before b. Equal charges are ordered by member, for the sake of determinism.
func (it *queueIterator) before(a, b *flowIterator) bool {
	if it.byAge {
		return a.peek().before(b.peek())
	}
	if a.flow.charge != b.flow.charge {
		return a.flow.charge < b.flow.charge
	}
	return a.flow.member < b.flow.member
}

// peek returns the oldest task left. There must be one.
func (fi *flowIterator) peek() *task { return fi.pending[0].task }

// take removes and returns the oldest task left. The rest of its bucket is skipped unless keepBucket is called next.
func (fi *flowIterator) take() *task {
	c := fi.pop()
	if c.fresh {
		fi.expand(c.bucket)
	}
	fi.current = c
	return c.task
}

// keepBucket continues the iteration with the task that follows the one taken last in its bucket.
func (fi *flowIterator) keepBucket() {
	if next := fi.current.task.next; next != nil {
		fi.push(cursor{fi.current.bucket, next, false})
	}
}

// expand adds the children of b in the flow's heap to the iterator. Since a parent in that heap is never younger than
// its children, a bucket is always added before its turn.
func (fi *flowIterator) expand(b *bucket) {
	for i := 2*b.position + 1; i <= 2*b.position+2 && i < len(fi.flow.buckets); i++ {
		child := fi.flow.buckets[i]
		fi.push(cursor{child, child.head, true})
	}
}

func (fi *flowIterator) push(c cursor) {
	fi.pending = append(fi.pending, c)
	i := len(fi.pending) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !fi.pending[i].task.before(fi.pending[parent].task) {
			return
		}
		fi.pending[i], fi.pending[parent] = fi.pending[parent], fi.pending[i]
		i = parent
	}
}

func (fi *flowIterator) pop() cursor {
	h := fi.pending
	top, last := h[0], len(h)-1
	h[0], h[last] = h[last], cursor{}
	fi.pending = h[:last]
	fi.siftDown(0)
	return top
}

func (fi *flowIterator) siftDown(i int) {
	h := fi.pending
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
