package wal

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

const (
	segmentSuffix   = ".seg"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
)

func segmentName(firstSequence uint64) string {
	return fmt.Sprintf("%016x%s", firstSequence, segmentSuffix)
}

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// recover reads the snapshot and the segments in the folder and opens the last segment for
// appending.
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
		case strings.HasSuffix(name, temporarySuffix):
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

// isTornHeader reports whether the creation of the segment was interrupted by a crash. Since the
// header is synced before the first frame is written, such a file is no longer than the header.
func (l *Log) isTornHeader(content []byte) bool {
	if _, ok := decodeSegmentHeader(content); ok {
		return false
	}
	return len(content) <= segmentHeaderSize
}

// removeTornSegment removes a last segment whose creation was interrupted. If it is the only one
// although there is a snapshot, the segments before it are missing, which is reported as
// corruption.
func (l *Log) removeTornSegment(name string, recovered *Recovered) error {
	if len(l.segments) == 0 && recovered.Snapshot != nil {
		return &CorruptError{File: name, Reason: "the only segment has no header"}
	}
	if err := l.fs.Remove(name); err != nil {
		return fmt.Errorf("remove unfinished segment: %w", err)
	}
	return nil
}

// checkHeader decodes the header of a segment and checks that the segment continues the previous
// one.
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
		l.checksumSeed = checksumSeed(l.logID)
		l.sequence = header.firstSequence - 1
		return header, nil
	}
	if header.logID != l.logID || header.firstSequence != l.sequence+1 {
		return header, &CorruptError{File: name, Reason: fmt.Sprintf("segment does not continue batch %d", l.sequence)}
	}
	return header, nil
}

// readFrames reads the frames of the segment that was added last to l.segments.
func (l *Log) readFrames(content []byte, last bool, recovered *Recovered) error {
	current := &l.segments[len(l.segments)-1]
	recovered.TornBytes = 0 // only the end of the last segment matters
	offset := segmentHeaderSize
	for offset < len(content) {
		f, size, ok := decodeFrame(content[offset:], l.checksumSeed)
		if !ok && l.isLostSyncMarker(content[offset:]) {
			offset += frameHeaderSize
			continue
		}
		if !ok {
			return l.handleUnreadableFrame(current.name, content, offset, last, recovered)
		}
		if err := l.applyFrame(f, current, int64(offset), recovered); err != nil {
			return err
		}
		offset += size
	}
	l.activeSize = int64(offset)
	return nil
}

// isLostSyncMarker reports whether the unreadable bytes at the start of content are the sync
// marker of the last batch, followed by the next batch. One sync makes both durable, so a power
// failure may preserve the batch and lose the marker. The marker holds no records, and the
// sequence number of the next batch shows that no batch is missing.
func (l *Log) isLostSyncMarker(content []byte) bool {
	if len(content) <= frameHeaderSize {
		return false
	}
	next, _, ok := decodeFrame(content[frameHeaderSize:], l.checksumSeed)
	return ok && next.kind == batchFrame && next.sequence == l.sequence+1
}

// applyFrame checks that a frame continues the log and adds its records to recovered.
func (l *Log) applyFrame(f frame, current *segment, offset int64, recovered *Recovered) error {
	if f.kind == syncedFrame && f.sequence == l.sequence {
		return nil
	}
	if f.kind != batchFrame || f.sequence != l.sequence+1 {
		return &CorruptError{File: current.name, Offset: offset, Reason: fmt.Sprintf("frame %d does not follow batch %d", f.sequence, l.sequence)}
	}
	records, ok := decodeRecords(f.payload)
	if !ok {
		return &CorruptError{File: current.name, Offset: offset, Reason: "record lengths do not match the size of their batch"}
	}
	l.sequence = f.sequence
	for i := range records {
		records[i].Sequence = f.sequence
		current.highestIndex = max(current.highestIndex, records[i].Index)
	}
	recovered.Records = append(recovered.Records, records...)
	return nil
}

// handleUnreadableFrame decides whether an unreadable frame is the torn end of the log or corrupt.
// A batch is written only after the batch before it was synced and its sync marker was written. A
// readable frame after the unreadable one therefore proves that the unreadable one was synced.
func (l *Log) handleUnreadableFrame(name string, content []byte, offset int, last bool, recovered *Recovered) error {
	rest := content[offset:]
	if containsFrame(rest[1:], l.checksumSeed) {
		return &CorruptError{File: name, Offset: int64(offset), Reason: "batch does not match its checksum, but a valid frame follows it"}
	}
	// At the end of an earlier segment only the sync marker of its last batch may be
	// torn. That no batch is missing is checked with the header of the next segment.
	if !last && len(rest) > frameHeaderSize {
		return &CorruptError{File: name, Offset: int64(offset), Reason: "batch does not match its checksum, but a later segment exists"}
	}
	l.activeSize = int64(offset)
	recovered.TornBytes = int64(len(rest))
	return nil
}

// openForAppend truncates a torn end and opens the last segment, or creates the first segment.
func (l *Log) openForAppend(recovered *Recovered) error {
	if len(l.segments) == 0 {
		if recovered.Snapshot != nil {
			return &CorruptError{File: snapshotName(recovered.SnapshotIndex), Reason: "snapshot exists without any segment"}
		}
		l.logID = randomID()
		l.checksumSeed = checksumSeed(l.logID)
		return l.beginSegment(nil)
	}
	file, err := l.fs.OpenFile(l.segments[len(l.segments)-1].name, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return fmt.Errorf("open last segment: %w", err)
	}
	l.active = file
	if recovered.TornBytes > 0 {
		if err := file.Truncate(l.activeSize); isDiskFull(err) {
			return diskFull("truncate torn batch", err)
		} else if err != nil {
			return fmt.Errorf("truncate torn batch: %w", err)
		}
	}
	// The data may only be in the page cache, if an earlier process died between write
	// and sync.
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync last segment: %w", err)
	}
	if err := l.fs.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
