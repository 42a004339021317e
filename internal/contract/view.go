package contract

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// View is the state of the config group after some note. It is immutable and safe for concurrent use.
// Callers must not modify the messages it returns.
type View struct {
	contracts map[string]*pb.ResolvedContract
	byService map[serviceKey][]*pb.ResolvedContract
	old       []*pb.AcceptedNote // without the contracts of the note
	recent    []*pb.AcceptedNote
	last      uint64
}

type serviceKey struct{ member, service string }

func keyOf(c *pb.ResolvedContract) serviceKey {
	return serviceKey{c.GetWritten().GetMember(), c.GetWritten().GetTerms().GetService()}
}

func emptyView() *View {
	return &View{contracts: map[string]*pb.ResolvedContract{}, byService: map[serviceKey][]*pb.ResolvedContract{}}
}

// Contract returns the contract with the name, or nil.
func (v *View) Contract(name string) *pb.ResolvedContract { return v.contracts[name] }

// Contracts returns all contracts in the order of their names.
func (v *View) Contracts() []*pb.ResolvedContract {
	list := slices.Collect(maps.Values(v.contracts))
	slices.SortFunc(list, byName)
	return list
}

// ForService returns the member's contracts for a service in the order of their names.
// Service "" stands for contracts of batch work only.
func (v *View) ForService(member, service string) []*pb.ResolvedContract {
	return v.byService[serviceKey{member, service}]
}

// LastNote returns the number of the last accepted note, or 0.
func (v *View) LastNote() uint64 { return v.last }

// Note returns the accepted note with the number, or nil if there is none or it is no longer kept.
// Of a note older than the last 1000, only number, author and digest are kept.
func (v *View) Note(number uint64) *pb.AcceptedNote {
	first := v.last - uint64(len(v.old)+len(v.recent)) + 1
	if number < first || number > v.last {
		return nil
	}
	i := int(number - first)
	if i < len(v.old) {
		return v.old[i]
	}
	return v.recent[i-len(v.old)]
}

// Notes returns up to limit of the latest notes, the latest first.
func (v *View) Notes(limit int) []*pb.AcceptedNote {
	var list []*pb.AcceptedNote
	for number := v.last; len(list) < limit && v.Note(number) != nil; number-- {
		list = append(list, v.Note(number))
	}
	return list
}

func byName(a, b *pb.ResolvedContract) int {
	return strings.Compare(a.GetWritten().GetName(), b.GetWritten().GetName())
}

const (
	// fullNotes is how many notes are kept as written. At the planned 9,700 changes a day it is a few hours.
	fullNotes = 1000
	// keptNotes is how many notes are kept at all, so that a resent note still gets its first answer.
	keptNotes = 20_000
)

// with returns the view after an accepted note.
func (v *View) with(accepted *pb.AcceptedNote, resolved []*pb.ResolvedContract) *View {
	next := &View{contracts: maps.Clone(v.contracts), byService: maps.Clone(v.byService), last: accepted.GetNote().GetNumber()}
	for _, name := range accepted.GetNote().GetWithdraw() {
		next.remove(name)
	}
	for _, c := range resolved {
		next.remove(c.GetWritten().GetName())
		next.insert(c)
	}
	next.old, next.recent = v.old, append(slices.Clip(v.recent), accepted)
	next.trim()
	return next
}

func (v *View) insert(c *pb.ResolvedContract) {
	v.contracts[c.GetWritten().GetName()] = c
	bucket := v.byService[keyOf(c)]
	at, _ := slices.BinarySearchFunc(bucket, c, byName)
	v.byService[keyOf(c)] = slices.Insert(slices.Clone(bucket), at, c)
}

func (v *View) remove(name string) {
	c := v.contracts[name]
	if c == nil {
		return
	}
	delete(v.contracts, name)
	bucket := slices.DeleteFunc(slices.Clone(v.byService[keyOf(c)]), func(other *pb.ResolvedContract) bool { return other == c })
	if len(bucket) == 0 {
		delete(v.byService, keyOf(c))
		return
	}
	v.byService[keyOf(c)] = bucket
}

// trim moves notes from recent to old and drops the oldest. Earlier views share the array of old,
// whose elements are never overwritten.
func (v *View) trim() {
	for len(v.recent) > fullNotes {
		v.old = append(v.old, strip(v.recent[0]))
		v.recent = v.recent[1:]
	}
	if excess := len(v.old) + len(v.recent) - keptNotes; excess > 0 {
		v.old = v.old[excess:]
	}
}

func strip(a *pb.AcceptedNote) *pb.AcceptedNote {
	note := &pb.ReleaseNote{Number: a.GetNote().GetNumber(), Author: a.GetNote().GetAuthor()}
	return &pb.AcceptedNote{Note: note, Digest: a.GetDigest(), AcceptedUnixMs: a.GetAcceptedUnixMs(), AcceptedBy: a.GetAcceptedBy(), Index: a.GetIndex()}
}
