package raft

import (
	"fmt"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// entryLog holds the entries after a base entry, which is the last entry that was compacted or
// that a snapshot covers.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []*pb.RaftEntry
	// submitted is the index of the last entry that was handed to the caller to persist.
	submitted uint64
	// stable is the index of the last entry known to be persisted.
	stable  uint64
	commit  uint64
	applied uint64
}

// newEntryLog builds a log from a snapshot and the recovered entries. An entry replaces the
// earlier entries at the same and higher indexes.
func newEntryLog(snapshot *pb.RaftSnapshot, entries []*pb.RaftEntry, commit uint64) (*entryLog, error) {
	l := &entryLog{baseIndex: snapshot.GetIndex(), baseTerm: snapshot.GetTerm()}
	for _, e := range entries {
		if e.GetIndex() <= l.baseIndex {
			continue
		}
		if e.GetIndex() > l.last()+1 {
			return nil, fmt.Errorf("log has a gap: entry %d follows entry %d", e.GetIndex(), l.last())
		}
		l.entries = append(l.entries[:e.GetIndex()-l.baseIndex-1], e)
	}
	l.submitted = l.last()
	l.stable = l.last()
	l.commit = max(l.baseIndex, min(commit, l.last()))
	l.applied = l.baseIndex
	return l, nil
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.term(l.last()) }

// term returns the term of the entry at index, or 0 if index is outside the log.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case index == l.baseIndex:
		return l.baseTerm
	case index < l.baseIndex || index > l.last():
		return 0
	}
	return l.entries[index-l.baseIndex-1].GetTerm()
}

// holds reports whether the log contains an entry with this index and term.
func (l *entryLog) holds(index, term uint64) bool {
	if index < l.baseIndex || index > l.last() {
		return false
	}
	return l.term(index) == term
}

// entriesFrom returns consecutive entries from index on, limited to maxBytes of data but at least
// one entry.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []*pb.RaftEntry {
	if index <= l.baseIndex || index > l.last() {
		return nil
	}
	rest := l.entries[index-l.baseIndex-1:]
	size := 0
	for i, e := range rest {
		size += len(e.GetData())
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// slice returns the entries in (after, upTo].
func (l *entryLog) slice(after, upTo uint64) []*pb.RaftEntry {
	if after >= upTo {
		return nil
	}
	return l.entries[after-l.baseIndex : upTo-l.baseIndex : upTo-l.baseIndex]
}

func (l *entryLog) append(entries ...*pb.RaftEntry) {
	l.entries = append(l.entries, entries...)
}

// truncateAfter removes the entries after index.
func (l *entryLog) truncateAfter(index uint64) {
	keep := index - l.baseIndex
	// Later appends must not overwrite slices that were returned earlier, hence the copy.
	l.entries = append([]*pb.RaftEntry(nil), l.entries[:keep]...)
	l.submitted = min(l.submitted, index)
	l.stable = min(l.stable, index)
}

// reset empties the log and sets its base to the last entry that a snapshot covers.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, submitted: index, stable: index, commit: index, applied: index}
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term := l.term(index)
	l.entries = append([]*pb.RaftEntry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// isUpToDate reports whether a log that ends with (term, index) is at least as up to date as this
// one.
func (l *entryLog) isUpToDate(term, index uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// findConflictByTerm returns the highest index not above the given one whose entry has a term not
// above the given one, and that term. If there is none, it returns the base index and base term.
// Both sides use it to skip conflicting entries without probing each index.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.baseIndex && l.term(index) > term {
		index--
	}
	return index, l.term(index)
}
