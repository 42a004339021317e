package domain

import (
	"math/bits"
	"slices"
)

// trie is a persistent hash array mapped trie. A copy of the struct is an immutable snapshot, so readers need no lock
// and publishing is free. Nodes of the current generation have not been published and are modified in place, which
// keeps a batch of changes cheap. The shape depends only on the keys, so all replicas iterate in the same order.
type trie[K comparable, V any] struct {
	root *node[K, V]
	size int
	hash func(K) uint64
}

type node[K comparable, V any] struct {
	generation uint64
	// values and children are bitmaps of the slots that hold an entry or a child node. The entries and nodes slices
	// contain only the slots in use.
	values, children uint32
	entries          []trieEntry[K, V]
	nodes            []*node[K, V]
}

type trieEntry[K comparable, V any] struct {
	key   K
	value V
}

const (
	slotBits = 5
	slotMask = 1<<slotBits - 1
	// hashBits is the length of a hash. Below that depth, a node holds a plain list of keys with equal hashes.
	hashBits = 64
)

// bitFor returns the bitmap bit of the slot that a hash selects at a depth of shift bits.
func bitFor(hash uint64, shift int) uint32 { return 1 << (hash >> shift & slotMask) }

// packedIndex returns the index of a slot in the slice that contains only the slots in the bitmap.
func packedIndex(bitmap, bit uint32) int { return bits.OnesCount32(bitmap & (bit - 1)) }

// get returns the value of a key and whether the key exists.
func (t *trie[K, V]) get(key K) (value V, ok bool) {
	hash := t.hash(key)
	n := t.root
	for shift := 0; n != nil; shift += slotBits {
		if shift >= hashBits {
			return n.findColliding(key)
		}
		bit := bitFor(hash, shift)
		if n.values&bit != 0 {
			if e := &n.entries[packedIndex(n.values, bit)]; e.key == key {
				return e.value, true
			}
			break
		}
		if n.children&bit == 0 {
			break
		}
		n = n.nodes[packedIndex(n.children, bit)]
	}
	return value, false
}

// findColliding looks up a key in a node that holds a list of keys with equal hashes.
func (n *node[K, V]) findColliding(key K) (value V, ok bool) {
	for _, e := range n.entries {
		if e.key == key {
			return e.value, true
		}
	}
	return value, false
}

// value returns the value of a key, or the zero value if the key does not exist.
func (t *trie[K, V]) value(key K) V {
	v, _ := t.get(key)
	return v
}

// set stores a value under a key.
func (t *trie[K, V]) set(generation uint64, key K, value V) {
	t.root = t.setIn(t.root, generation, 0, t.hash(key), trieEntry[K, V]{key, value})
}

func (t *trie[K, V]) setIn(n *node[K, V], generation uint64, shift int, hash uint64, e trieEntry[K, V]) *node[K, V] {
	n = mutableNode(n, generation)
	if shift >= hashBits {
		t.setColliding(n, e)
		return n
	}
	bit := bitFor(hash, shift)
	switch {
	case n.children&bit != 0:
		at := packedIndex(n.children, bit)
		n.nodes[at] = t.setIn(n.nodes[at], generation, shift+slotBits, hash, e)
	case n.values&bit == 0:
		n.entries = withInserted(n.entries, packedIndex(n.values, bit), e)
		n.values |= bit
		t.size++
	default:
		t.setOccupied(n, generation, shift, hash, bit, e)
	}
	return n
}

// setOccupied stores an entry in a slot that holds an entry already. If the keys differ, both move to a new child node.
func (t *trie[K, V]) setOccupied(n *node[K, V], generation uint64, shift int, hash uint64, bit uint32, e trieEntry[K, V]) {
	at := packedIndex(n.values, bit)
	old := n.entries[at]
	if old.key == e.key {
		n.entries[at] = e
		return
	}
	child := t.setIn(nil, generation, shift+slotBits, t.hash(old.key), old)
	child = t.setIn(child, generation, shift+slotBits, hash, e)
	t.size-- // the second call of setIn counted old again
	n.entries = withRemoved(n.entries, at)
	n.values &^= bit
	n.nodes = withInserted(n.nodes, packedIndex(n.children, bit), child)
	n.children |= bit
}

// setColliding stores an entry in a node that holds a list of keys with equal hashes.
func (t *trie[K, V]) setColliding(n *node[K, V], e trieEntry[K, V]) {
	for i := range n.entries {
		if n.entries[i].key == e.key {
			n.entries[i] = e
			return
		}
	}
	n.entries = withInserted(n.entries, len(n.entries), e)
	t.size++
}

// remove deletes a key if it exists.
func (t *trie[K, V]) remove(generation uint64, key K) {
	if _, ok := t.get(key); !ok {
		return
	}
	t.size--
	t.root = t.removeIn(t.root, generation, 0, t.hash(key), key)
	if t.size == 0 {
		t.root = nil
	}
}

// removeIn removes an existing key below n. A child that is left with a single entry is replaced by that entry, so that
// the shape of the trie does not depend on its history.
func (t *trie[K, V]) removeIn(n *node[K, V], generation uint64, shift int, hash uint64, key K) *node[K, V] {
	n = mutableNode(n, generation)
	if shift >= hashBits {
		n.entries = slices.DeleteFunc(n.entries, func(e trieEntry[K, V]) bool { return e.key == key })
		return n
	}
	bit := bitFor(hash, shift)
	if n.values&bit != 0 {
		n.entries = withRemoved(n.entries, packedIndex(n.values, bit))
		n.values &^= bit
		return n
	}
	at := packedIndex(n.children, bit)
	child := t.removeIn(n.nodes[at], generation, shift+slotBits, hash, key)
	if len(child.entries) == 1 && len(child.nodes) == 0 {
		n.nodes = withRemoved(n.nodes, at)
		n.children &^= bit
		n.entries = withInserted(n.entries, packedIndex(n.values, bit), child.entries[0])
		n.values |= bit
		return n
	}
	n.nodes[at] = child
	return n
}

// all yields every entry in an order that depends only on the keys.
func (t *trie[K, V]) all(yield func(K, V) bool) {
	if t.root != nil {
		t.root.each(yield)
	}
}

func (n *node[K, V]) each(yield func(K, V) bool) bool {
	for _, e := range n.entries {
		if !yield(e.key, e.value) {
			return false
		}
	}
	for _, child := range n.nodes {
		if !child.each(yield) {
			return false
		}
	}
	return true
}

// mutableNode returns n if it belongs to this generation, or else a copy that does.
func mutableNode[K comparable, V any](n *node[K, V], generation uint64) *node[K, V] {
	if n == nil {
		return &node[K, V]{generation: generation}
	}
	if n.generation == generation {
		return n
	}
	return &node[K, V]{generation: generation, values: n.values, children: n.children, entries: cloneExact(n.entries), nodes: cloneExact(n.nodes)}
}

// cloneExact copies a slice without spare capacity, to save memory in large tries.
func cloneExact[T any](s []T) []T {
	if len(s) == 0 {
		return nil
	}
	copied := make([]T, len(s))
	copy(copied, s)
	return copied
}

// withInserted returns a copy of s with v inserted at an index.
func withInserted[T any](s []T, at int, v T) []T {
	grown := make([]T, len(s)+1)
	copy(grown, s[:at])
	grown[at] = v
	copy(grown[at+1:], s[at:])
	return grown
}

// withRemoved returns a copy of s without the element at an index.
func withRemoved[T any](s []T, at int) []T {
	if len(s) == 1 {
		return nil
	}
	shrunk := make([]T, len(s)-1)
	copy(shrunk, s[:at])
	copy(shrunk[at:], s[at+1:])
	return shrunk
}
