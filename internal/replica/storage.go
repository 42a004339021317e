package replica

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/raft"
	"github.com/lentilyard/lentilyard/internal/wal"
)

// recoveredState is what a member starts from.
type recoveredState struct {
	identity  *pb.RaftIdentity
	restarted bool
	hardState *pb.RaftHardState
	snapshot  *pb.RaftSnapshot
	entries   []*pb.RaftEntry
}

// storage persists the state of one member. done is called from another
// goroutine, or from within the call if nothing has to be written.
type storage interface {
	// write persists snapshot, hard state and entries of a Ready.
	write(r raft.Ready, done func(error))
	// saveSnapshot persists a snapshot of the state machine and drops log entries that it covers.
	saveSnapshot(s *pb.RaftSnapshot, done func(error))
	// restart discards everything and starts over under a new identity.
	restart(identity *pb.RaftIdentity, done func(error))
	close() error
}

func newIdentity() *pb.RaftIdentity {
	return &pb.RaftIdentity{Incarnation: randomNonZero(), Boot: 1, Start: randomNonZero()}
}

func randomNonZero() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails, see crypto/rand
		if v := binary.LittleEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}

// memoryStorage keeps nothing: the state of the raft node is the only copy.
type memoryStorage struct{}

func (memoryStorage) write(_ raft.Ready, done func(error))              { done(nil) }
func (memoryStorage) saveSnapshot(_ *pb.RaftSnapshot, done func(error)) { done(nil) }
func (memoryStorage) restart(_ *pb.RaftIdentity, done func(error))      { done(nil) }
func (memoryStorage) close() error                                      { return nil }

// diskStorage writes to a log from its own goroutine.
type diskStorage struct {
	log       *wal.Log
	work      chan func()
	ended     chan struct{}
	identity  *pb.RaftIdentity
	hardState *pb.RaftHardState
	// void is the last batch whose entries were replaced by a snapshot of the leader.
	void uint64
	// installed is the index of the last snapshot received from a leader.
	installed uint64
	preparing sync.WaitGroup
}

// storageQueue exceeds the number of operations that a group has in progress:
// one write, one snapshot and one restart.
const storageQueue = 4

// openDisk recovers the state in a folder and writes the identity of this start. A member of an open group that holds
// nothing yet starts as a new incarnation: there is nobody who could confirm its boot counter.
func openDisk(fs wal.FS, open bool) (*diskStorage, *recoveredState, error) {
	log, found, err := wal.Open(fs, wal.Options{})
	if err != nil {
		return nil, nil, err
	}
	s := &diskStorage{log: log, work: make(chan func(), storageQueue), ended: make(chan struct{})}
	state, err := s.recover(found)
	if err == nil && open && state.snapshot == nil && len(state.entries) == 0 {
		state = &recoveredState{}
	}
	if err == nil {
		err = s.begin(state)
	}
	if err != nil {
		_ = log.Close()
		return nil, nil, err
	}
	go s.run()
	return s, state, nil
}

// recover decodes the records of a log.
func (s *diskStorage) recover(found *wal.Recovered) (*recoveredState, error) {
	state := &recoveredState{}
	saved := &pb.RaftRecord{}
	if err := proto.Unmarshal(found.Snapshot, saved); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	for _, r := range found.Records {
		record := &pb.RaftRecord{}
		if err := proto.Unmarshal(r.Data, record); err != nil {
			return nil, fmt.Errorf("decode log record: %w", err)
		}
		switch {
		case record.GetIdentity() != nil:
			if state.identity != nil && state.identity.GetIncarnation() != record.GetIdentity().GetIncarnation() {
				*state = recoveredState{}
			}
			state.identity = record.GetIdentity()
		case record.GetHardState() != nil:
			state.hardState = record.GetHardState()
		case record.GetCommit() != 0 && state.hardState != nil:
			state.hardState.Commit = record.GetCommit()
		case record.GetEntry() != nil && r.Sequence > saved.GetVoidSequence():
			state.entries = append(state.entries, record.GetEntry())
		}
	}
	if found.Snapshot == nil {
		return state, nil
	}
	if saved.GetIdentity().GetIncarnation() != state.identity.GetIncarnation() {
		return state, s.log.DropSnapshot() // of a discarded incarnation
	}
	state.snapshot = saved.GetSnapshot()
	s.void = saved.GetVoidSequence()
	return state, nil
}

// begin raises the boot counter if the last boot was confirmed, or creates a new incarnation, and syncs that.
func (s *diskStorage) begin(state *recoveredState) error {
	previous := state.identity
	state.restarted = previous != nil
	switch {
	case previous == nil:
		state.identity = newIdentity()
	case previous.GetBoot() <= state.hardState.GetConfirmedBoot():
		state.identity = &pb.RaftIdentity{Incarnation: previous.GetIncarnation(), Boot: previous.GetBoot() + 1, Start: randomNonZero()}
	}
	s.identity = state.identity
	s.hardState = state.hardState
	s.log.SetHead(s.head)
	return s.log.Append(encodeRecord(0, &pb.RaftRecord{Identity: s.identity}))
}

// head returns the records that every segment begins with.
func (s *diskStorage) head() []wal.Record {
	records := []wal.Record{encodeRecord(0, &pb.RaftRecord{Identity: s.identity})}
	if s.hardState != nil {
		records = append(records, encodeRecord(0, &pb.RaftRecord{HardState: s.hardState}))
	}
	return records
}

func encodeRecord(index uint64, r *pb.RaftRecord) wal.Record {
	data, err := proto.Marshal(r)
	if err != nil {
		// Marshal fails only for invalid UTF-8 in strings; VM ids come from the settings.
		panic(fmt.Sprintf("encode log record: %v", err))
	}
	return wal.Record{Index: index, Data: data}
}

func (s *diskStorage) run() {
	defer close(s.ended)
	for f := range s.work {
		f()
	}
}

func (s *diskStorage) write(r raft.Ready, done func(error)) {
	if !r.MustSync() {
		done(nil)
		return
	}
	s.work <- func() { done(s.writeNow(r)) }
}

func (s *diskStorage) writeNow(r raft.Ready) error {
	if r.Snapshot != nil {
		s.void = s.log.Sequence()
		if err := s.saveSnapshotNow(r.Snapshot); err != nil {
			return err
		}
		s.installed = r.Snapshot.GetIndex()
	}
	records := make([]wal.Record, 0, len(r.Entries)+1)
	if r.HardState != nil {
		records = append(records, encodeRecord(0, &pb.RaftRecord{HardState: r.HardState}))
	} else {
		records = append(records, encodeRecord(0, &pb.RaftRecord{Commit: r.Commit}))
	}
	for _, e := range r.Entries {
		records = append(records, encodeRecord(e.GetIndex(), &pb.RaftRecord{Entry: e}))
	}
	if err := s.log.Append(records...); err != nil {
		return err
	}
	if r.HardState != nil {
		s.hardState = r.HardState
	}
	s.hardState.Commit = r.Commit
	return nil
}

func (s *diskStorage) saveSnapshotNow(snapshot *pb.RaftSnapshot) error {
	return s.log.SaveSnapshot(snapshot.GetIndex(), s.encodeSnapshot(snapshot))
}

func (s *diskStorage) encodeSnapshot(snapshot *pb.RaftSnapshot) []byte {
	return encodeRecord(0, &pb.RaftRecord{Identity: s.identity, Snapshot: snapshot, VoidSequence: s.void}).Data
}

// saveSnapshot writes the file beside the appends of the log's goroutine, and
// puts it into force between two of them.
func (s *diskStorage) saveSnapshot(snapshot *pb.RaftSnapshot, done func(error)) {
	s.work <- func() {
		if err := s.log.Rotate(); err != nil {
			done(err)
			return
		}
		data := s.encodeSnapshot(snapshot)
		s.preparing.Go(func() {
			prepared := s.log.PrepareSnapshot(snapshot.GetIndex(), data)
			s.work <- func() { done(s.commitSnapshot(snapshot.GetIndex(), prepared)) }
		})
	}
}

// commitSnapshot puts a prepared snapshot into force, unless the leader has
// sent a newer one meanwhile.
func (s *diskStorage) commitSnapshot(index uint64, prepared error) error {
	if prepared == nil && index <= s.installed {
		return s.log.DiscardSnapshot(index)
	}
	if err := s.log.CommitSnapshot(index, prepared); err != nil {
		return err
	}
	return s.log.Compact(index)
}

func (s *diskStorage) restart(identity *pb.RaftIdentity, done func(error)) {
	s.work <- func() {
		s.identity, s.hardState, s.void, s.installed = identity, nil, 0, 0
		done(s.log.Restart(encodeRecord(0, &pb.RaftRecord{Identity: identity})))
	}
}

func (s *diskStorage) close() error {
	flushed := make(chan struct{})
	s.work <- func() { close(flushed) } // after it, no snapshot begins
	<-flushed
	s.preparing.Wait()
	close(s.work)
	<-s.ended
	return s.log.Close()
}
