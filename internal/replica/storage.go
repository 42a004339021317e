package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/raft"
	"github.com/lentilyard/lentilyard/internal/wal"
)

// recoveredState is the persistent state with which a member starts.
type recoveredState struct {
	identity  *pb.RaftIdentity
	restarted bool // an earlier process wrote the state
	hardState *pb.RaftHardState
	snapshot  *pb.RaftSnapshot
	entries   []*pb.RaftEntry
	// initialVoters is set for a member of an open group without entries that was started with them.
	initialVoters []string
}

// storage persists the state of one member. Each operation reports its result
// to done, from another goroutine or, if nothing has to be written, from within
// the call. While the disk is full, writes and resets are repeated, so that they
// end late; a snapshot is given up with wal.ErrDiskFull.
type storage interface {
	// write persists snapshot, hard state and entries of a Ready.
	write(r raft.Ready, done func(error))
	// saveSnapshot persists a snapshot of the state machine and drops the log
	// segments that it covers.
	saveSnapshot(s *pb.RaftSnapshot, done func(error))
	// reset discards all persisted state and records a new identity.
	reset(identity *pb.RaftIdentity, done func(error))
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

// memoryStorage persists nothing; the raft node holds the only copy of the state.
type memoryStorage struct{}

func (memoryStorage) write(_ raft.Ready, done func(error))              { done(nil) }
func (memoryStorage) saveSnapshot(_ *pb.RaftSnapshot, done func(error)) { done(nil) }
func (memoryStorage) reset(_ *pb.RaftIdentity, done func(error))        { done(nil) }
func (memoryStorage) close() error                                      { return nil }

// diskStorage persists the state in a log. All operations on the log but the
// preparation of snapshots run on one goroutine, so the fields below operations
// need no lock once the goroutine has started.
type diskStorage struct {
	log        *wal.Log
	operations chan func()
	ended      chan struct{}
	identity   *pb.RaftIdentity
	hardState  *pb.RaftHardState
	// voidSequence is the sequence number up to which log entries are void,
	// because a snapshot received from a leader replaced them.
	voidSequence uint64
	// installedIndex is the index of the last snapshot received from a leader.
	// A prepared snapshot that is not newer is discarded.
	installedIndex     uint64
	preparingSnapshots sync.WaitGroup
	// onDiskFull is called with the error when the disk has no room for a write, and
	// with nil when the write has succeeded. It is set before the first operation.
	onDiskFull func(error)
	closing    chan struct{}
}

// storageQueueLength exceeds the number of operations that a group has in
// progress at once: one write, one snapshot and one reset. So queueing an
// operation does not block the control goroutine.
const storageQueueLength = 4

// openDisk recovers the state in a folder and persists the identity of this start. A member of an open group that holds
// neither a snapshot nor entries starts as a new incarnation, since no voter could confirm its boot counter. An initial voter stays the
// incarnation that it was, since the first membership may name it by that, and keeps the initial voters that its first start was given, since
// it may be the one that has to write that membership.
func openDisk(fs wal.FS, open bool, initialVoters []string) (*diskStorage, *recoveredState, error) {
	log, found, err := wal.Open(fs, wal.Options{})
	if err != nil {
		return nil, nil, err
	}
	s := &diskStorage{log: log, operations: make(chan func(), storageQueueLength), ended: make(chan struct{}),
		onDiskFull: func(error) {}, closing: make(chan struct{})}
	state, err := s.recover(found)
	if err == nil && open && state.snapshot == nil && len(state.entries) == 0 {
		state = withoutEntries(state, initialVoters)
	}
	if err == nil {
		err = s.beginBoot(state)
	}
	if err != nil {
		_ = log.Close()
		return nil, nil, err
	}
	go s.run()
	return s, state, nil
}

// withoutEntries returns the state with which a member of an open group starts whose disk holds neither a snapshot nor entries.
func withoutEntries(found *recoveredState, initialVoters []string) *recoveredState {
	if known := found.identity.GetInitialVoters(); len(known) > 0 {
		found.initialVoters = known
		return found
	}
	return &recoveredState{initialVoters: initialVoters}
}

// recover decodes the snapshot and the records of a log. Records of an earlier
// incarnation, and entries that a snapshot of the leader replaced, are skipped.
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
		return state, s.log.DropSnapshot() // left over from a discarded incarnation
	}
	state.snapshot = saved.GetSnapshot()
	s.voidSequence = saved.GetVoidSequence()
	return state, nil
}

// beginBoot persists the identity of this start. Without an earlier identity it
// creates a new incarnation. It raises the boot counter only if the voters
// confirmed the last boot; otherwise this start keeps the identity of the last.
func (s *diskStorage) beginBoot(state *recoveredState) error {
	previous := state.identity
	state.restarted = previous != nil
	switch {
	case previous == nil:
		state.identity = newIdentity()
		state.identity.InitialVoters = state.initialVoters
	case previous.GetBoot() <= state.hardState.GetConfirmedBoot():
		state.identity = &pb.RaftIdentity{Incarnation: previous.GetIncarnation(), Boot: previous.GetBoot() + 1, Start: randomNonZero(),
			InitialVoters: previous.GetInitialVoters()}
	}
	s.identity = state.identity
	s.hardState = state.hardState
	s.log.SetHead(s.segmentHead)
	return s.log.Append(encodeRecord(0, &pb.RaftRecord{Identity: s.identity}))
}

// segmentHead returns the records with which every segment begins, so that
// identity and hard state survive the removal of earlier segments.
func (s *diskStorage) segmentHead() []wal.Record {
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

// run is the body of the goroutine that uses the log.
func (s *diskStorage) run() {
	defer close(s.ended)
	for f := range s.operations {
		f()
	}
}

func (s *diskStorage) write(r raft.Ready, done func(error)) {
	if !r.MustSync() {
		done(nil)
		return
	}
	s.operations <- func() { done(s.repeatWhileFull(func() error { return s.writeNow(r) })) }
}

// fullRetryInterval is the interval at which a write is repeated while the disk is full.
const fullRetryInterval = 100 * time.Millisecond

// repeatWhileFull repeats an operation until the disk has room for it or the storage
// is closed. Everything that waits for the operation waits as well: this member
// neither votes nor acknowledges entries meanwhile.
func (s *diskStorage) repeatWhileFull(operation func() error) error {
	err := operation()
	if !errors.Is(err, wal.ErrDiskFull) {
		return err
	}
	s.onDiskFull(err)
	for errors.Is(err, wal.ErrDiskFull) {
		select {
		case <-time.After(fullRetryInterval):
			err = operation()
		case <-s.closing:
			return err
		}
	}
	if err == nil {
		s.onDiskFull(nil)
	}
	return err
}

func (s *diskStorage) writeNow(r raft.Ready) error {
	if r.Snapshot != nil {
		s.voidSequence = s.log.Sequence()
		if err := s.saveSnapshotNow(r.Snapshot); err != nil {
			return err
		}
		s.installedIndex = r.Snapshot.GetIndex()
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
	return encodeRecord(0, &pb.RaftRecord{Identity: s.identity, Snapshot: snapshot, VoidSequence: s.voidSequence}).Data
}

// saveSnapshot writes the snapshot file on a goroutine of its own, so that
// appends do not wait for it. The goroutine of the log then commits the snapshot
// between two appends.
func (s *diskStorage) saveSnapshot(snapshot *pb.RaftSnapshot, done func(error)) {
	s.operations <- func() {
		if err := s.log.Rotate(); err != nil {
			done(err)
			return
		}
		data := s.encodeSnapshot(snapshot)
		s.preparingSnapshots.Go(func() {
			prepared := s.log.PrepareSnapshot(snapshot.GetIndex(), data)
			s.operations <- func() { done(s.commitSnapshot(snapshot.GetIndex(), prepared)) }
		})
	}
}

// commitSnapshot makes a prepared snapshot the current one and compacts the log.
// If a snapshot received from the leader in the meantime is at least as new, the
// prepared one is discarded. prepared is the result of PrepareSnapshot.
func (s *diskStorage) commitSnapshot(index uint64, prepared error) error {
	if prepared == nil && index <= s.installedIndex {
		return s.log.DiscardSnapshot(index)
	}
	if err := s.log.CommitSnapshot(index, prepared); err != nil {
		return err
	}
	return s.log.Compact(index)
}

func (s *diskStorage) reset(identity *pb.RaftIdentity, done func(error)) {
	s.operations <- func() {
		s.identity, s.hardState, s.voidSequence, s.installedIndex = identity, nil, 0, 0
		done(s.repeatWhileFull(func() error { return s.log.Restart(encodeRecord(0, &pb.RaftRecord{Identity: identity})) }))
	}
}

func (s *diskStorage) close() error {
	close(s.closing)
	flushed := make(chan struct{})
	// Once this operation has run, no further snapshot is prepared.
	s.operations <- func() { close(flushed) }
	<-flushed
	s.preparingSnapshots.Wait()
	close(s.operations)
	<-s.ended
	return s.log.Close()
}
