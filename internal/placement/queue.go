package placement

import (
	"container/heap"
	"maps"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// queue holds the queued tasks. Tasks that are interchangeable for placement share a bucket, so that a failed placement
// of one rules out all of them. A flow holds the buckets of one member and class.
type queue struct {
	flows [numClasses]map[string]*flow
	size  int
}

const (
	numClasses = 3
	// chargeUnit is the unit of flow.charge.
	chargeUnit = 1e-9
)

// flow holds the queued tasks of one member and class. Among the flows of a class, the one with the smallest charge is
// served first.
type flow struct {
	member string
	// charge is the sum over the member's placed tasks of the class of their share of the domain's capacity, divided by
	// the weight of their contract, in units of chargeUnit. It is an integer so that undoing a plan restores it
	// exactly.
	charge  int64
	buckets bucketHeap
	byShape map[shape]*bucket
}

// shape identifies the tasks of a flow that are interchangeable for placement. Each gang has its own shape.
type shape struct {
	contract *contract
	kind     kindID
	size     vector
	gang     string
}

func shapeOf(t *task) shape {
	if t.gang != "" {
		return shape{contract: t.contract, gang: t.gang}
	}
	return shape{contract: t.contract, kind: t.kind, size: t.size}
}

// bucket is a list of queued tasks of one shape, oldest first.
type bucket struct {
	flow       *flow
	shape      shape
	head, tail *task
	count      int
	position   int // in flow.buckets
	// infeasible is the reason why its tasks can never run, or "" if they may.
	infeasible string
	// broken is set when a task of the gang ended before the gang started.
	broken bool
	// checkPending is set while the bucket is in feasibility.toCheck.
	checkPending bool
	// servedAt is when a placement of one of its tasks was last committed. Unix ms.
	servedAt int64
	// reservations counts the workers reserved for this bucket.
	reservations int
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.flows {
		q.flows[i] = map[string]*flow{}
	}
	return q
}

// classRank returns the index of a class in queue.flows: 0 for urgent, 1 for service, 2 for batch.
func classRank(c pb.TaskClass) int { return int(c) - 1 }

// flow returns the flow of t's member and class.
func (q *queue) flow(t *task) *flow {
	flows := q.flows[classRank(t.class)]
	f := flows[t.member]
	if f == nil {
		f = &flow{member: t.member, byShape: map[shape]*bucket{}}
		flows[t.member] = f
	}
	return f
}

// add queues t and reports whether its bucket is new.
func (q *queue) add(t *task) bool {
	f := q.flow(t)
	s := shapeOf(t)
	b := f.byShape[s]
	if b == nil {
		b = &bucket{flow: f, shape: s}
		f.byShape[s] = b
	}
	b.insert(t)
	q.size++
	if b.count == 1 {
		heap.Push(&f.buckets, b)
		return true
	}
	if b.head == t {
		heap.Fix(&f.buckets, b.position)
	}
	return false
}

// remove removes t from the queue, and its bucket if it becomes empty.
func (q *queue) remove(t *task) {
	b := t.bucket
	wasHead := b.head == t
	b.unlink(t)
	q.size--
	if b.count == 0 {
		heap.Remove(&b.flow.buckets, b.position)
		delete(b.flow.byShape, b.shape)
	} else if wasHead {
		heap.Fix(&b.flow.buckets, b.position)
	}
}

// eachBucket calls f for every bucket. The order does not depend on that of map iteration.
func (q *queue) eachBucket(f func(*bucket)) {
	for _, flows := range q.flows {
		for _, member := range slices.Sorted(maps.Keys(flows)) {
			for _, b := range flows[member].buckets {
				f(b)
			}
		}
	}
}

// insertSteps bounds the search for the position of a task that is inserted before the tail.
const insertSteps = 64

// insert adds t in order of submission, or after insertSteps older tasks if its position is further back. New tasks
// belong at the tail and evicted tasks near the head, so both are inserted quickly.
func (b *bucket) insert(t *task) {
	t.bucket = b
	b.count++
	if b.tail == nil || !t.before(b.tail) {
		b.link(t, b.tail, nil)
		return
	}
	next := b.head
	for i := 0; i < insertSteps && next.before(t); i++ {
		next = next.next
	}
	b.link(t, next.prev, next)
}

// link inserts t between prev and next, which are nil at the ends of the list.
func (b *bucket) link(t, prev, next *task) {
	t.prev, t.next = prev, next
	if prev == nil {
		b.head = t
	} else {
		prev.next = t
	}
	if next == nil {
		b.tail = t
	} else {
		next.prev = t
	}
}

// unlink removes t from the list.
func (b *bucket) unlink(t *task) {
	if t.prev == nil {
		b.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		b.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next, t.bucket = nil, nil, nil
	b.count--
}

// bucketHeap is a min-heap of buckets by submission of their oldest task.
type bucketHeap []*bucket

func (h bucketHeap) Len() int           { return len(h) }
func (h bucketHeap) Less(i, j int) bool { return h[i].head.before(h[j].head) }
func (h bucketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *bucketHeap) Push(x any) {
	b := x.(*bucket)
	b.position = len(*h)
	*h = append(*h, b)
}

// Pop implements heap.Interface.
func (h *bucketHeap) Pop() any {
	old := *h
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return b
}
