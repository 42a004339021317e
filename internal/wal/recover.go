package wal

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

const (
	segmentSuffix  = ".seg"
	snapshotSuffix = ".snap"
	temporary      = ".tmp"
)

func segmentName(firstSequence uint64) string {
	return fmt.Sprintf("%016x%s", firstSequence, segmentSuffix)
}

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// recover reads the folder and opens the last segment for appending.
func (l *Log) recover() (*Recovered, error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, fmt.Errorf("list folder: %w", err)
	}
	slices.Sort(names)
	var segments, snapshots []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, segmentSuffix):
			segments = append(segments, name)
		case strings.HasSuffix(name, snapshotSuffix):
			snapshots = append(snapshots, name)
		case strings.HasSuffix(name, temporary):
			if err := l.fs.Remove(name); err != nil {
				return nil, fmt.Errorf("remove unfinished snapshot: %w", err)
			}
		}
	}
	recovered := &Recovered{}
	if err := l.readSnapshots(snapshots, recovered); err != nil {
		return nil, err
	}
	if err := l.readSegments(segments, recovered); err != nil {
		return nil, err
	}
	return recovered, l.openForAppend(recovered)
}

func (l *Log) readFile(name string) ([]byte, error) {
	file, err := l.fs.OpenFile(name, os.O_RDONLY)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", name, err)
	}
	defer file.Close()
	content, err := io.ReadAll(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return content, nil
}

func (l *Log) readSegments(names []string, recovered *Recovered) error {
	for i, name := range names {
		content, err := l.readFile(name)
		if err != nil {
			return err
		}
		last := i == len(names)-1
		if last && l.isTornHeader(content) {
			return l.removeTornSegment(name, recovered)
		}
		header, err := l.checkHeader(name, content)
		if err != nil {
			return err
		}
		l.segments = append(l.segments, segment{name: name, firstSequence: header.firstSequence})
		if err := l.readFrames(content, last, recovered); err != nil {
			return err
		}
	}
	return nil
}

// isTornHeader reports whether a crash interrupted the creation of the segment.
// The header is synced before the first frame is written.
func (l *Log) isTornHeader(content []byte) bool {
	if _, ok := decodeSegmentHeader(content); ok {
		return false
	}
	return len(content) <= segmentHeaderSize
}

func (l *Log) removeTornSegment(name string, recovered *Recovered) error {
	if len(l.segments) == 0 && recovered.Snapshot != nil {
		return &CorruptError{File: name, Reason: "the only segment has no header"}
	}
	if err := l.fs.Remove(name); err != nil {
		return fmt.Errorf("remove unfinished segment: %w", err)
	}
	return nil
}

func (l *Log) checkHeader(name string, content []byte) (segmentHeader, error) {
	header, ok := decodeSegmentHeader(content)
	if !ok {
		return header, &CorruptError{File: name, Reason: "segment header does not match its checksum"}
	}
	if name != segmentName(header.firstSequence) {
		return header, &CorruptError{File: name, Reason: "segment header belongs to another file"}
	}
	if len(l.segments) == 0 {
		l.logID = header.logID
		l.seed = frameSeed(l.logID)
		l.sequence = header.firstSequence - 1
		return header, nil
	}
	if header.logID != l.logID || header.firstSequence != l.sequence+1 {
		return header, &CorruptError{File: name, Reason: fmt.Sprintf("segment does not continue batch %d", l.sequence)}
	}
	return header, nil
}

// readFrames reads the batches of the newest segment read so far.
func (l *Log) readFrames(content []byte, last bool, recovered *Recovered) error {
	current := &l.segments[len(l.segments)-1]
	recovered.TornBytes = 0 // what counts is the end of the last complete segment
	offset := segmentHeaderSize
	for offset < len(content) {
		f, size, ok := decodeFrame(content[offset:], l.seed)
		if !ok && l.isLostMark(content[offset:]) {
			offset += frameHeaderSize
			continue
		}
		if !ok {
			return l.endOfSegment(current.name, content, offset, last, recovered)
		}
		if err := l.takeFrame(f, current, int64(offset), recovered); err != nil {
			return err
		}
		offset += size
	}
	l.activeSize = int64(offset)
	return nil
}

// isLostMark reports whether an unreadable place is the mark of the last batch, with the next batch behind it. Mark and
// next batch are made durable by one sync, so a loss of power may keep the batch and lose the mark. The mark holds no
// records, and the number of the batch shows that none is missing.
func (l *Log) isLostMark(content []byte) bool {
	if len(content) <= frameHeaderSize {
		return false
	}
	next, _, ok := decodeFrame(content[frameHeaderSize:], l.seed)
	return ok && next.kind == batchFrame && next.sequence == l.sequence+1
}

func (l *Log) takeFrame(f frame, current *segment, offset int64, recovered *Recovered) error {
	if f.kind == syncedFrame && f.sequence == l.sequence {
		return nil
	}
	if f.kind != batchFrame || f.sequence != l.sequence+1 {
		return &CorruptError{File: current.name, Offset: offset, Reason: fmt.Sprintf("frame %d does not follow batch %d", f.sequence, l.sequence)}
	}
	records, ok := decodeRecords(f.payload)
	if !ok {
		return &CorruptError{File: current.name, Offset: offset, Reason: "records of a batch do not fill it"}
	}
	l.sequence = f.sequence
	for i := range records {
		records[i].Sequence = f.sequence
		current.highestIndex = max(current.highestIndex, records[i].Index)
	}
	recovered.Records = append(recovered.Records, records...)
	return nil
}

// endOfSegment decides whether an unreadable frame is a torn end. A batch is
// written only after the one before it is synced, and so is its mark. A
// readable frame after the unreadable one therefore proves that it was synced.
func (l *Log) endOfSegment(name string, content []byte, offset int, last bool, recovered *Recovered) error {
	rest := content[offset:]
	if containsFrame(rest[1:], l.seed) {
		return &CorruptError{File: name, Offset: int64(offset), Reason: "batch does not match its checksum, but data after it was written later"}
	}
	// Only the mark of the last batch may be torn in an earlier segment; that
	// no batch is missing is checked against the next segment's header.
	if !last && len(rest) > frameHeaderSize {
		return &CorruptError{File: name, Offset: int64(offset), Reason: "batch does not match its checksum, but a later segment exists"}
	}
	l.activeSize = int64(offset)
	recovered.TornBytes = int64(len(rest))
	return nil
}

// openForAppend cuts a torn end off and opens the last segment, or creates the first one.
func (l *Log) openForAppend(recovered *Recovered) error {
	if len(l.segments) == 0 {
		if recovered.Snapshot != nil {
			return &CorruptError{File: snapshotName(recovered.SnapshotIndex), Reason: "there is a snapshot but no segment"}
		}
		l.logID = randomID()
		l.seed = frameSeed(l.logID)
		return l.createSegment()
	}
	file, err := l.fs.OpenFile(l.segments[len(l.segments)-1].name, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return fmt.Errorf("open last segment: %w", err)
	}
	l.active = file
	if recovered.TornBytes > 0 {
		if err := file.Truncate(l.activeSize); err != nil {
			return fmt.Errorf("cut off torn batch: %w", err)
		}
	}
	// What was read may be in the page cache only: an earlier process may have
	// died between write and sync.
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync last segment: %w", err)
	}
	if err := l.fs.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
