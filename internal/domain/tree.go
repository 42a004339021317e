package domain

import (
	"math/bits"
	"slices"
)

// tree is a persistent hash trie. Copying the struct is a snapshot that later changes do not touch, so readers need
// no lock and publishing costs nothing. Nodes made in the current edit are changed in place, which keeps a batch of
// changes cheap. The shape depends only on the keys, so replicas iterate in the same order.
type tree[K comparable, V any] struct {
	root *node[K, V]
	size int
	hash func(K) uint64
}

type node[K comparable, V any] struct {
	edit uint64
	// values and children have a bit for each slot in use.
	values, children uint32
	entries          []treeEntry[K, V]
	nodes            []*node[K, V]
}

type treeEntry[K comparable, V any] struct {
	key   K
	value V
}

const (
	slotBits = 5
	slotMask = 1<<slotBits - 1
	// hashBits is the depth in bits below which keys with equal hashes share a list.
	hashBits = 64
)

func slot(hash uint64, shift int) uint32 { return 1 << (hash >> shift & slotMask) }

func position(bitmap, bit uint32) int { return bits.OnesCount32(bitmap & (bit - 1)) }

// get returns the value of a key.
func (t *tree[K, V]) get(key K) (value V, ok bool) {
	hash := t.hash(key)
	n := t.root
	for shift := 0; n != nil; shift += slotBits {
		if shift >= hashBits {
			return n.find(key)
		}
		bit := slot(hash, shift)
		if n.values&bit != 0 {
			if e := &n.entries[position(n.values, bit)]; e.key == key {
				return e.value, true
			}
			break
		}
		if n.children&bit == 0 {
			break
		}
		n = n.nodes[position(n.children, bit)]
	}
	return value, false
}

func (n *node[K, V]) find(key K) (value V, ok bool) {
	for _, e := range n.entries {
		if e.key == key {
			return e.value, true
		}
	}
	return value, false
}

// value returns the value of a key, or the zero value if the key does not exist.
func (t *tree[K, V]) value(key K) V {
	v, _ := t.get(key)
	return v
}

// set stores a value.
func (t *tree[K, V]) set(edit uint64, key K, value V) {
	t.root = t.setIn(t.root, edit, 0, t.hash(key), treeEntry[K, V]{key, value})
}

func (t *tree[K, V]) setIn(n *node[K, V], edit uint64, shift int, hash uint64, e treeEntry[K, V]) *node[K, V] {
	n = own(n, edit)
	if shift >= hashBits {
		t.setInList(n, e)
		return n
	}
	bit := slot(hash, shift)
	switch {
	case n.children&bit != 0:
		at := position(n.children, bit)
		n.nodes[at] = t.setIn(n.nodes[at], edit, shift+slotBits, hash, e)
	case n.values&bit == 0:
		n.entries = inserted(n.entries, position(n.values, bit), e)
		n.values |= bit
		t.size++
	default:
		t.setOccupied(n, edit, shift, hash, bit, e)
	}
	return n
}

// setOccupied replaces the entry of a slot, or moves it down when the slot holds another key.
func (t *tree[K, V]) setOccupied(n *node[K, V], edit uint64, shift int, hash uint64, bit uint32, e treeEntry[K, V]) {
	at := position(n.values, bit)
	old := n.entries[at]
	if old.key == e.key {
		n.entries[at] = e
		return
	}
	child := t.setIn(nil, edit, shift+slotBits, t.hash(old.key), old)
	child = t.setIn(child, edit, shift+slotBits, hash, e)
	t.size-- // old was counted again
	n.entries = removed(n.entries, at)
	n.values &^= bit
	n.nodes = inserted(n.nodes, position(n.children, bit), child)
	n.children |= bit
}

func (t *tree[K, V]) setInList(n *node[K, V], e treeEntry[K, V]) {
	for i := range n.entries {
		if n.entries[i].key == e.key {
			n.entries[i] = e
			return
		}
	}
	n.entries = inserted(n.entries, len(n.entries), e)
	t.size++
}

// remove deletes a key if it exists.
func (t *tree[K, V]) remove(edit uint64, key K) {
	if _, ok := t.get(key); !ok {
		return
	}
	t.size--
	t.root = t.removeIn(t.root, edit, 0, t.hash(key), key)
	if t.size == 0 {
		t.root = nil
	}
}

func (t *tree[K, V]) removeIn(n *node[K, V], edit uint64, shift int, hash uint64, key K) *node[K, V] {
	n = own(n, edit)
	if shift >= hashBits {
		n.entries = slices.DeleteFunc(n.entries, func(e treeEntry[K, V]) bool { return e.key == key })
		return n
	}
	bit := slot(hash, shift)
	if n.values&bit != 0 {
		n.entries = removed(n.entries, position(n.values, bit))
		n.values &^= bit
		return n
	}
	at := position(n.children, bit)
	child := t.removeIn(n.nodes[at], edit, shift+slotBits, hash, key)
	if len(child.entries) == 1 && len(child.nodes) == 0 {
		n.nodes = removed(n.nodes, at)
		n.children &^= bit
		n.entries = inserted(n.entries, position(n.values, bit), child.entries[0])
		n.values |= bit
		return n
	}
	n.nodes[at] = child
	return n
}

// all yields every entry in an order that depends only on the keys.
func (t *tree[K, V]) all(yield func(K, V) bool) {
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

// own returns n if it was made in this edit, or else a copy.
func own[K comparable, V any](n *node[K, V], edit uint64) *node[K, V] {
	if n == nil {
		return &node[K, V]{edit: edit}
	}
	if n.edit == edit {
		return n
	}
	return &node[K, V]{edit: edit, values: n.values, children: n.children, entries: exact(n.entries), nodes: exact(n.nodes)}
}

// exact copies a slice without spare capacity, which keeps large trees small.
func exact[T any](s []T) []T {
	if len(s) == 0 {
		return nil
	}
	copied := make([]T, len(s))
	copy(copied, s)
	return copied
}

func inserted[T any](s []T, at int, v T) []T {
	grown := make([]T, len(s)+1)
	copy(grown, s[:at])
	grown[at] = v
	copy(grown[at+1:], s[at:])
	return grown
}

func removed[T any](s []T, at int) []T {
	if len(s) == 1 {
		return nil
	}
	shrunk := make([]T, len(s)-1)
	copy(shrunk, s[:at])
	copy(shrunk[at:], s[at+1:])
	return shrunk
}
