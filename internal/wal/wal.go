// Package wal is a checksummed write-ahead log with snapshots in one folder.
//
// A batch of records is written with one write and one sync. When the log is opened,
// a torn last batch that was never synced is truncated. If anything else cannot be
// read, Open returns ErrCorrupt. An operation for which the disk has no room returns
// ErrDiskFull, has no effect and may be repeated. After any other failed write, and
// after a failed sync, every operation on the log returns ErrFailed. A Log is not
// safe for concurrent use, except for PrepareSnapshot.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 4 << 20

// Options configures a log.
type Options struct {
	// SegmentBytes is the size at which a new segment file begins; 0 means
	// DefaultSegmentBytes.
	SegmentBytes int64
}

// Recovered is the content of a log when it was opened.
type Recovered struct {
	// Snapshot is nil if there is none.
	Snapshot      []byte
	SnapshotIndex uint64
	Records       []Record
	// TornBytes is the size of the unsynced end that was truncated.
	TornBytes int64
}

// Log is an open write-ahead log.
type Log struct {
	fs           FS
	segmentBytes int64
	logID        uint64
	checksumSeed uint32
	segments     []segment
	position
	snapshotIndex uint64
	hasSnapshot   bool
	failure       error
	buffer        []byte
	headRecords   func() []Record
}

// position is where the log is appended to.
type position struct {
	active     File
	activeSize int64  // up to here the active segment holds whole frames
	sequence   uint64 // sequence number of the last batch
	// torn is true while the active segment may hold bytes after activeSize, left by a write for which the
	// disk had no room.
	torn bool
	// markerOwed is true if the last batch is synced but the disk had no room for its sync marker.
	markerOwed bool
}

// segment is one file of the log.
type segment struct {
	name          string
	firstSequence uint64
	highestIndex  uint64
}

// Open reads the log in a folder and prepares it for appending. The log owns fs from then on and
// closes it, also if Open fails. The caller must exclude other processes with Lock.
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

// SetHead sets the function that returns the records to write at the start of each new segment, so
// that earlier segments can be dropped. The function is called from the goroutine that uses the
// log.
func (l *Log) SetHead(head func() []Record) { l.headRecords = head }

// Append writes the records as one batch and syncs it.
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

// appendBatch writes and syncs a batch, followed by its sync marker.
func (l *Log) appendBatch(records []Record) error {
	var payload []byte
	current := &l.segments[len(l.segments)-1]
	highest := current.highestIndex
	for _, r := range records {
		payload = appendRecord(payload, r)
		highest = max(highest, r.Index)
	}
	if len(payload) > maxFramePayload {
		return fmt.Errorf("batch of %d bytes exceeds %d bytes", len(payload), maxFramePayload)
	}
	l.buffer = l.buffer[:0]
	if l.markerOwed {
		l.buffer = frame{kind: syncedFrame, sequence: l.sequence}.appendTo(l.buffer, l.checksumSeed)
	}
	l.buffer = frame{kind: batchFrame, sequence: l.sequence + 1, payload: payload}.appendTo(l.buffer, l.checksumSeed)
	if err := l.write(l.buffer); err != nil {
		return err
	}
	l.sequence++
	l.markerOwed = false
	current.highestIndex = highest
	if err := l.active.Sync(); err != nil {
		return l.fail("sync batch", err)
	}
	l.buffer = frame{kind: syncedFrame, sequence: l.sequence}.appendTo(l.buffer[:0], l.checksumSeed)
	err := l.write(l.buffer)
	if errors.Is(err, ErrDiskFull) {
		l.markerOwed = true // the batch is durable; the next one is preceded by its marker
		return nil
	}
	return err
}

// write appends whole frames to the active segment, or nothing if the disk is full.
func (l *Log) write(b []byte) error {
	if err := l.removeTorn(); err != nil {
		return err
	}
	written, err := l.active.Write(b)
	if err == nil && written < len(b) {
		err = errors.New("short write")
	}
	if isDiskFull(err) {
		l.torn = written > 0
		return errors.Join(diskFull("write", err), unlessFull(l.removeTorn()))
	}
	if err != nil {
		return l.fail("write", err)
	}
	l.activeSize += int64(len(b))
	return nil
}

// removeTorn removes what is left of a write for which the disk had no room. A full disk may refuse that too.
func (l *Log) removeTorn() error {
	if !l.torn {
		return nil
	}
	if err := l.active.Truncate(l.activeSize); isDiskFull(err) {
		return diskFull("truncate", err)
	} else if err != nil {
		return l.fail("truncate", err)
	}
	l.torn = false
	return nil
}

// unlessFull returns err unless it means that the disk is full.
func unlessFull(err error) error {
	if errors.Is(err, ErrDiskFull) {
		return nil
	}
	return err
}

// fail records the error that all later operations return.
func (l *Log) fail(action string, cause error) error {
	l.failure = fmt.Errorf("%s: %w: %w", action, ErrFailed, cause)
	return l.failure
}

// Rotate begins a new segment. Calling it before a snapshot is taken lets Compact drop everything
// that the snapshot covers.
func (l *Log) Rotate() error {
	if l.failure != nil {
		return l.failure
	}
	return l.rotate()
}

// rotate begins a new segment and writes the head records to it.
func (l *Log) rotate() error {
	var head []Record
	if l.headRecords != nil {
		head = l.headRecords()
	}
	if l.activeSize > segmentHeaderSize {
		return l.beginSegment(head)
	}
	if len(head) == 0 { // the active segment is still empty
		return nil
	}
	return l.appendBatch(head)
}

// beginSegment begins a new segment with the given records. If the disk has no room for them, the log continues in the previous
// segment.
func (l *Log) beginSegment(records []Record) error {
	previous := l.position
	err := l.createSegment()
	if err == nil && len(records) > 0 {
		err = l.appendBatch(records)
	}
	if errors.Is(err, ErrDiskFull) {
		return errors.Join(err, l.abandonSegment(previous))
	}
	if err != nil || previous.active == nil {
		return err
	}
	if err := previous.active.Close(); err != nil {
		return l.fail("close segment", err)
	}
	return nil
}

// abandonSegment removes a segment that could not be begun, unless its file could not even be created, and returns to the previous
// position. The removal is made durable before the previous segment grows: a segment must continue the one before it.
func (l *Log) abandonSegment(previous position) error {
	if l.active == previous.active {
		return nil
	}
	last := len(l.segments) - 1
	if err := errors.Join(l.active.Close(), l.fs.Remove(l.segments[last].name), l.fs.SyncFolder()); err != nil {
		return l.fail("remove unfinished segment", err)
	}
	l.segments = l.segments[:last]
	l.position = previous
	return nil
}

func (l *Log) createSegment() error {
	first := l.sequence + 1
	name := segmentName(first)
	file, err := l.fs.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND)
	if isDiskFull(err) {
		return diskFull("create segment", err)
	}
	if err != nil {
		return l.fail("create segment", err)
	}
	l.position = position{active: file, sequence: l.sequence}
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

// Restart begins a new segment with the given records and removes everything before it, including
// the snapshot. After a crash during Restart the log may still contain earlier records, so the
// first of the given records must invalidate them.
func (l *Log) Restart(records ...Record) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.beginSegment(records); err != nil {
		return err
	}
	if err := l.DropSnapshot(); err != nil {
		return err
	}
	return l.dropSegments(func(segment) bool { return true })
}

// Compact drops the segments that hold only records up to index. If this is true of the active
// segment, it begins a new one first, unless the disk is full.
func (l *Log) Compact(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	if last := l.segments[len(l.segments)-1]; last.highestIndex <= index && l.activeSize > segmentHeaderSize {
		if err := unlessFull(l.rotate()); err != nil {
			return err
		}
	}
	return l.dropSegments(func(s segment) bool { return s.highestIndex <= index })
}

// dropSegments removes segments, oldest first, up to the first one that is still needed. It keeps
// the active segment.
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

// Sequence returns the sequence number of the last batch.
func (l *Log) Sequence() uint64 { return l.sequence }

// Failure returns the error that all further operations return, or nil.
func (l *Log) Failure() error { return l.failure }

// Close closes the files. It need not sync, since every append has done so.
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
