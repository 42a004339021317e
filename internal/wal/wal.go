// Package wal is a checksummed write-ahead log with snapshots in one folder.
//
// A batch of records is written with one write and one sync. A torn last batch
// that was never synced is cut off when the log is opened; anything else that
// cannot be read refuses to open with ErrCorrupt. After a failed write or sync
// every call returns ErrFailed. A Log must be used from one goroutine at a time.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
)

// DefaultSegmentBytes is the size at which a new segment file begins.
const DefaultSegmentBytes = 4 << 20

// Options of a log.
type Options struct {
	// SegmentBytes is the size at which a new segment begins; 0 selects DefaultSegmentBytes.
	SegmentBytes int64
}

// Recovered is what a log held when it was opened.
type Recovered struct {
	// Snapshot is nil if there is none.
	Snapshot      []byte
	SnapshotIndex uint64
	Records       []Record
	// TornBytes is the length of the unsynced end that was cut off.
	TornBytes int64
}

// Log is an open log.
type Log struct {
	fs           FS
	segmentBytes int64
	logID        uint64
	seed         uint32
	segments     []segment
	active       File
	activeSize   int64
	sequence     uint64 // of the last batch
	snapshot     uint64
	hasSnapshot  bool
	failure      error
	buffer       []byte
	head         func() []Record
}

// segment is one file of the log.
type segment struct {
	name          string
	firstSequence uint64
	highestIndex  uint64
}

// Open reads the log in a folder's file system and prepares it for appending.
// The log takes over fs and closes it. The caller excludes other processes with Lock.
func Open(fs FS, options Options) (*Log, *Recovered, error) {
	l := &Log{fs: fs, segmentBytes: options.SegmentBytes}
	if l.segmentBytes <= 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	recovered, err := l.recover()
	if err != nil {
		_ = fs.Close()
		return nil, nil, fmt.Errorf("open log: %w", err)
	}
	return l, recovered, nil
}

// SetHead sets the records that begin each new segment, so that earlier
// segments can be dropped. It is called from the goroutine that uses the log.
func (l *Log) SetHead(head func() []Record) { l.head = head }

// Append writes the records and syncs them together.
func (l *Log) Append(records ...Record) error {
	if l.failure != nil {
		return l.failure
	}
	if len(records) == 0 {
		return nil
	}
	if l.activeSize >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	return l.appendBatch(records)
}

func (l *Log) appendBatch(records []Record) error {
	var payload []byte
	current := &l.segments[len(l.segments)-1]
	for _, r := range records {
		payload = appendRecord(payload, r)
		current.highestIndex = max(current.highestIndex, r.Index)
	}
	if len(payload) > maxFramePayload {
		return fmt.Errorf("batch of %d bytes exceeds %d bytes", len(payload), maxFramePayload)
	}
	l.sequence++
	l.buffer = frame{kind: batchFrame, sequence: l.sequence, payload: payload}.append(l.buffer[:0], l.seed)
	if err := l.write(l.buffer); err != nil {
		return err
	}
	if err := l.active.Sync(); err != nil {
		return l.fail("sync batch", err)
	}
	l.buffer = frame{kind: syncedFrame, sequence: l.sequence}.append(l.buffer[:0], l.seed)
	return l.write(l.buffer)
}

func (l *Log) write(b []byte) error {
	written, err := l.active.Write(b)
	if err == nil && written < len(b) {
		err = errors.New("short write")
	}
	if err != nil {
		return l.fail("write", err)
	}
	l.activeSize += int64(len(b))
	return nil
}

// fail makes an error final.
func (l *Log) fail(action string, cause error) error {
	l.failure = fmt.Errorf("%s: %w: %w", action, ErrFailed, cause)
	return l.failure
}

// Rotate begins a new segment. Called when a snapshot is begun, it lets Compact
// drop what the snapshot covers.
func (l *Log) Rotate() error {
	if l.failure != nil {
		return l.failure
	}
	return l.rotate()
}

// rotate begins a new segment with the head records.
func (l *Log) rotate() error {
	if err := l.newActiveSegment(); err != nil {
		return err
	}
	if l.head == nil {
		return nil
	}
	if head := l.head(); len(head) > 0 {
		return l.appendBatch(head)
	}
	return nil
}

func (l *Log) newActiveSegment() error {
	if l.active != nil {
		if err := l.active.Close(); err != nil {
			return l.fail("close segment", err)
		}
		l.active = nil
	}
	return l.createSegment()
}

func (l *Log) createSegment() error {
	first := l.sequence + 1
	name := segmentName(first)
	file, err := l.fs.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return l.fail("create segment", err)
	}
	l.active = file
	l.activeSize = 0
	l.segments = append(l.segments, segment{name: name, firstSequence: first})
	if err := l.write(segmentHeader{logID: l.logID, firstSequence: first}.encode()); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return l.fail("sync segment", err)
	}
	if err := l.fs.SyncFolder(); err != nil {
		return l.fail("sync folder", err)
	}
	return nil
}

// Restart begins a new segment with the records and removes everything before
// it, including the snapshot. After a crash during Restart the log may still
// hold records from before; the first of the given records must invalidate them.
func (l *Log) Restart(records ...Record) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.newActiveSegment(); err != nil {
		return err
	}
	if err := l.appendBatch(records); err != nil {
		return err
	}
	if err := l.DropSnapshot(); err != nil {
		return err
	}
	return l.dropSegments(func(segment) bool { return true })
}

// Compact drops segments that hold only records up to index. It begins a new
// segment first if the active one holds records up to index only.
func (l *Log) Compact(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	if last := l.segments[len(l.segments)-1]; last.highestIndex <= index && l.activeSize > segmentHeaderSize {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	return l.dropSegments(func(s segment) bool { return s.highestIndex <= index })
}

// dropSegments removes segments before the active one, oldest first, while they are obsolete.
func (l *Log) dropSegments(obsolete func(segment) bool) error {
	removed := false
	for len(l.segments) > 1 && obsolete(l.segments[0]) {
		if err := l.fs.Remove(l.segments[0].name); err != nil {
			return l.fail("remove segment", err)
		}
		l.segments = l.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	if err := l.fs.SyncFolder(); err != nil {
		return l.fail("sync folder", err)
	}
	return nil
}

// Sequence returns the number of the last batch.
func (l *Log) Sequence() uint64 { return l.sequence }

// Failure returns the error that ended the log, or nil.
func (l *Log) Failure() error { return l.failure }

// Close closes the files. It does not sync, since Append already has.
func (l *Log) Close() error {
	if errors.Is(l.failure, ErrClosed) {
		return nil
	}
	if l.failure == nil {
		l.failure = ErrClosed
	}
	var err error
	if l.active != nil {
		err = l.active.Close()
	}
	if closeErr := l.fs.Close(); err == nil {
		err = closeErr
	}
	return err
}

func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return binary.LittleEndian.Uint64(b[:])
}
