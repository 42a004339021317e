package contract

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// View is an immutable version of the state of the config group; each accepted note creates a new one. It is safe for
// concurrent use. Callers must not modify the messages that it returns.
type View struct {
	contracts     map[string]*pb.ResolvedContract
	byService     map[serviceKey][]*pb.ResolvedContract
	strippedNotes []*pb.AcceptedNote // older notes, without their contracts
	fullNotes     []*pb.AcceptedNote
	lastNote      uint64
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

// Contracts returns all contracts, sorted by name.
func (v *View) Contracts() []*pb.ResolvedContract {
	list := slices.Collect(maps.Values(v.contracts))
	slices.SortFunc(list, byName)
	return list
}

// ForService returns the contracts of a member for a service, sorted by name. For service "" it returns the contracts
// that name no service, which cover batch tasks only.
func (v *View) ForService(member, service string) []*pb.ResolvedContract {
	return v.byService[serviceKey{member, service}]
}

// LastNote returns the number of the last accepted note, or 0.
func (v *View) LastNote() uint64 { return v.lastNote }

// Note returns the accepted note with the number, or nil if there is none or it is no longer kept.
// Notes older than the last 1000 are returned without their contracts.
func (v *View) Note(number uint64) *pb.AcceptedNote {
	first := v.lastNote - uint64(len(v.strippedNotes)+len(v.fullNotes)) + 1
	if number < first || number > v.lastNote {
		return nil
	}
	i := int(number - first)
	if i < len(v.strippedNotes) {
		return v.strippedNotes[i]
	}
	return v.fullNotes[i-len(v.strippedNotes)]
}

// Notes returns up to limit notes, the latest first.
func (v *View) Notes(limit int) []*pb.AcceptedNote {
	var list []*pb.AcceptedNote
	for number := v.lastNote; len(list) < limit && v.Note(number) != nil; number-- {
		list = append(list, v.Note(number))
	}
	return list
}

func byName(a, b *pb.ResolvedContract) int {
	return strings.Compare(a.GetWritten().GetName(), b.GetWritten().GetName())
}

const (
	// maxFullNotes is the number of latest notes that are kept with their contracts. At the planned 9,700 changes a day
	// they cover a few hours.
	maxFullNotes = 1000
	// maxKeptNotes is the number of latest notes of which at least the digest is kept, so that a note that is sent again
	// gets the answer to its first submission.
	maxKeptNotes = 20_000
)

// withNote returns the view after an accepted note. resolved are the contracts that the note adds and changes.
func (v *View) withNote(accepted *pb.AcceptedNote, resolved []*pb.ResolvedContract) *View {
	next := &View{contracts: maps.Clone(v.contracts), byService: maps.Clone(v.byService), lastNote: accepted.GetNote().GetNumber()}
	for _, name := range accepted.GetNote().GetWithdraw() {
		next.remove(name)
	}
	for _, c := range resolved {
		next.remove(c.GetWritten().GetName())
		next.insert(c)
	}
	next.strippedNotes, next.fullNotes = v.strippedNotes, append(slices.Clip(v.fullNotes), accepted)
	next.trimNotes()
	return next
}

// insert adds a contract that the view does not hold. It is called before the view is published.
func (v *View) insert(c *pb.ResolvedContract) {
	v.contracts[c.GetWritten().GetName()] = c
	bucket := v.byService[keyOf(c)]
	at, _ := slices.BinarySearchFunc(bucket, c, byName)
	v.byService[keyOf(c)] = slices.Insert(slices.Clone(bucket), at, c)
}

// remove deletes a contract if the view holds it. It is called before the view is published.
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

// trimNotes strips the notes beyond the last maxFullNotes of their contracts and drops those beyond the last
// maxKeptNotes. Earlier views share the array of strippedNotes; its elements are never overwritten.
func (v *View) trimNotes() {
	for len(v.fullNotes) > maxFullNotes {
		v.strippedNotes = append(v.strippedNotes, withoutContracts(v.fullNotes[0]))
		v.fullNotes = v.fullNotes[1:]
	}
	if excess := len(v.strippedNotes) + len(v.fullNotes) - maxKeptNotes; excess > 0 {
		v.strippedNotes = v.strippedNotes[excess:]
	}
}

// withoutContracts returns an accepted note without the contracts that it adds, changes and withdraws.
func withoutContracts(a *pb.AcceptedNote) *pb.AcceptedNote {
	note := &pb.ReleaseNote{Number: a.GetNote().GetNumber(), Author: a.GetNote().GetAuthor()}
	return &pb.AcceptedNote{Note: note, Digest: a.GetDigest(), AcceptedUnixMs: a.GetAcceptedUnixMs(), AcceptedBy: a.GetAcceptedBy(), Index: a.GetIndex()}
}
