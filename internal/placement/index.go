package placement

// index finds workers by free capacity. It is a segment tree over worker slots in which each node holds the largest
// free amount of each resource below it, so a search skips subtrees in which nothing can fit.
type index struct {
	leaves int // power of two
	nodes  []vector
	free   []int // unused slots
	used   int   // slots handed out so far, the highest used slot plus one
}

// visitLimit bounds the nodes that one search visits. Without it, a search for two resources that are free only on
// different workers would visit every worker.
const visitLimit = 512

var nothing = vector{Cores: -1, Memory: -1, Accelerators: -1}

func newIndex() *index {
	return &index{leaves: 1, nodes: []vector{nothing, nothing}}
}

// add returns a new slot with nothing free.
func (x *index) add() int {
	if n := len(x.free); n > 0 {
		slot := x.free[n-1]
		x.free = x.free[:n-1]
		return slot
	}
	if x.used == x.leaves {
		x.grow()
	}
	x.used++
	return x.used - 1
}

func (x *index) grow() {
	old := x.nodes[x.leaves : 2*x.leaves]
	x.leaves *= 2
	nodes := make([]vector, 2*x.leaves)
	for i := range nodes {
		nodes[i] = nothing
	}
	copy(nodes[x.leaves:], old)
	x.nodes = nodes
	for i := x.leaves - 1; i >= 1; i-- {
		x.nodes[i] = x.nodes[2*i].Max(x.nodes[2*i+1])
	}
}

// remove returns slot to the unused slots.
func (x *index) remove(slot int) {
	x.set(slot, nothing)
	x.free = append(x.free, slot)
}

// set records the free capacity of slot.
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

// holds reports whether some slot probably has room for size. It is exact if the resources are free on the same slot.
func (x *index) holds(size vector) bool { return size.Fits(x.nodes[1]) }

// find returns the first slot at or after from, wrapping around, with room for size, or -1.
func (x *index) find(size vector, from int) int {
	return x.search(size, from, visitLimit)
}

// largest returns the largest amount of each resource over all slots.
func (x *index) largest() vector { return x.nodes[1] }

// any reports whether some slot has room for size. Unlike find it visits as many nodes as it takes.
func (x *index) any(size vector) bool {
	return x.search(size, 0, len(x.nodes)) >= 0
}

func (x *index) search(size vector, from, visits int) int {
	if !x.holds(size) {
		return -1
	}
	if slot := x.descend(1, 0, x.leaves, from, size, &visits); slot >= 0 {
		return slot
	}
	return x.descend(1, 0, x.leaves, 0, size, &visits)
}

// descend searches the subtree at node, which covers width slots from low, for the first slot at or after from.
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
