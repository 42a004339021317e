package placement

// index finds workers by an amount of resources, such as their free capacity. It is a segment tree over worker slots in
// which each node holds the maximum of each resource below it, so that a search skips subtrees in which nothing can
// fit.
type index struct {
	leaves int // power of two
	nodes  []vector
	unused []int // slots removed and not yet reused
	slots  int   // number of slots ever used; all slots are below it
}

// visitLimit bounds the nodes that one search visits. Without it, a search for two resources that are free only on
// different workers would visit every worker.
const visitLimit = 512

// unavailable is the amount stored for slots that must not be found. It is negative so that not even a task of size
// zero fits.
var unavailable = vector{Cores: -1, Memory: -1, Accelerators: -1}

func newIndex() *index {
	return &index{leaves: 1, nodes: []vector{unavailable, unavailable}}
}

// add returns a slot that is not in use. Its amount is unavailable until it is set.
func (x *index) add() int {
	if n := len(x.unused); n > 0 {
		slot := x.unused[n-1]
		x.unused = x.unused[:n-1]
		return slot
	}
	if x.slots == x.leaves {
		x.grow()
	}
	x.slots++
	return x.slots - 1
}

// grow doubles the number of leaves.
func (x *index) grow() {
	old := x.nodes[x.leaves : 2*x.leaves]
	x.leaves *= 2
	nodes := make([]vector, 2*x.leaves)
	for i := range nodes {
		nodes[i] = unavailable
	}
	copy(nodes[x.leaves:], old)
	x.nodes = nodes
	for i := x.leaves - 1; i >= 1; i-- {
		x.nodes[i] = x.nodes[2*i].Max(x.nodes[2*i+1])
	}
}

// remove frees slot for reuse.
func (x *index) remove(slot int) {
	x.set(slot, unavailable)
	x.unused = append(x.unused, slot)
}

// set stores the amount of slot.
func (x *index) set(slot int, free vector) {
	i := x.leaves + slot
	if x.nodes[i] == free {
		return
	}
	x.nodes[i] = free
	for i /= 2; i >= 1; i /= 2 {
		m := x.nodes[2*i].Max(x.nodes[2*i+1])
		if x.nodes[i] == m {
			return
		}
		x.nodes[i] = m
	}
}

// mayFit reports whether size fits the maximum of each resource over all slots. If false, it fits no slot. If true, the
// maxima may still be on different slots.
func (x *index) mayFit(size vector) bool { return size.Fits(x.nodes[1]) }

// find returns the first slot at or after from, wrapping around, that size fits, or -1. It may miss a slot, since it
// visits at most visitLimit nodes.
func (x *index) find(size vector, from int) int {
	return x.search(size, from, visitLimit)
}

// largest returns the maximum of each resource over all slots.
func (x *index) largest() vector { return x.nodes[1] }

// anyFits reports whether size fits some slot. Unlike find, it may visit all nodes.
func (x *index) anyFits(size vector) bool {
	return x.search(size, 0, len(x.nodes)) >= 0
}

// search is find with the given limit of visited nodes.
func (x *index) search(size vector, from, visits int) int {
	if !x.mayFit(size) {
		return -1
	}
	if slot := x.descend(1, 0, x.leaves, from, size, &visits); slot >= 0 {
		return slot
	}
	return x.descend(1, 0, x.leaves, 0, size, &visits)
}

// descend returns the first slot at or after from that size fits in the subtree at node, or -1. The subtree covers
// width slots from low on. Each visited node reduces visits.
func (x *index) descend(node, low, width, from int, size vector, visits *int) int {
	if low+width <= from || *visits <= 0 || !size.Fits(x.nodes[node]) {
		return -1
	}
	*visits--
	if width == 1 {
		return low
	}
	half := width / 2
	if slot := x.descend(2*node, low, half, from, size, visits); slot >= 0 {
		return slot
	}
	return x.descend(2*node+1, low+half, half, from, size, visits)
}
