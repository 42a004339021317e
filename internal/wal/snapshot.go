package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
)

// A snapshot file consists of magic(8) index(8) length(8) crc(4) data. The checksum
// covers everything but itself.
const (
	snapshotMagic      = "LYSNP\x00\x00\x01"
	snapshotHeaderSize = 28
)

func encodeSnapshot(index uint64, data []byte) []byte {
	b := make([]byte, 0, snapshotHeaderSize+len(data))
	b = append(b, snapshotMagic...)
	b = binary.LittleEndian.AppendUint64(b, index)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(data)))
	checksum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, data)
	b = binary.LittleEndian.AppendUint32(b, checksum)
	return append(b, data...)
}

func decodeSnapshot(b []byte) (uint64, []byte, bool) {
	if len(b) < snapshotHeaderSize || string(b[:8]) != snapshotMagic {
		return 0, nil, false
	}
	data := b[snapshotHeaderSize:]
	checksum := crc32.Update(crc32.Checksum(b[:24], castagnoli), castagnoli, data)
	if checksum != binary.LittleEndian.Uint32(b[24:]) || uint64(len(data)) != binary.LittleEndian.Uint64(b[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(b[8:]), data, true
}

// SaveSnapshot makes a snapshot durable and then removes the previous one. The index must not be
// lower than that of the previous snapshot.
func (l *Log) SaveSnapshot(index uint64, data []byte) error {
	if l.failure != nil {
		return l.failure
	}
	return l.CommitSnapshot(index, l.PrepareSnapshot(index, data))
}

// PrepareSnapshot writes and syncs a temporary snapshot file, which takes effect with
// CommitSnapshot. Unlike all other methods it may run concurrently with them, so that appends do
// not wait for a large snapshot. Its result must be passed to CommitSnapshot.
func (l *Log) PrepareSnapshot(index uint64, data []byte) error {
	return l.writeTemporary(snapshotName(index)+temporarySuffix, encodeSnapshot(index, data))
}

// CommitSnapshot makes a prepared snapshot the current one and removes the previous one.
func (l *Log) CommitSnapshot(index uint64, prepared error) error {
	if l.failure != nil {
		return l.failure
	}
	if errors.Is(prepared, ErrDiskFull) {
		return prepared
	}
	if prepared != nil {
		return l.fail("write snapshot", prepared)
	}
	name := snapshotName(index)
	if err := l.fs.Rename(name+temporarySuffix, name); isDiskFull(err) {
		return diskFull("rename snapshot", err)
	} else if err != nil {
		return l.fail("rename snapshot", err)
	}
	if err := l.fs.SyncFolder(); err != nil {
		return l.fail("sync folder", err)
	}
	previous, hadSnapshot := l.snapshotIndex, l.hasSnapshot
	l.snapshotIndex, l.hasSnapshot = index, true
	if hadSnapshot && previous != index {
		return l.removeSnapshot(previous)
	}
	return nil
}

// DiscardSnapshot removes a prepared snapshot that was not committed.
func (l *Log) DiscardSnapshot(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.fs.Remove(snapshotName(index) + temporarySuffix); err != nil {
		return l.fail("remove prepared snapshot", err)
	}
	return nil
}

func (l *Log) writeTemporary(name string, content []byte) error {
	file, err := l.fs.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if isDiskFull(err) {
		return diskFull("create snapshot file", err)
	}
	if err != nil {
		return fmt.Errorf("create snapshot file: %w", err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if isDiskFull(err) { // a snapshot file that is not committed may be written again
		return errors.Join(diskFull("write snapshot", err), l.fs.Remove(name))
	}
	return err
}

func (l *Log) removeSnapshot(index uint64) error {
	if err := l.fs.Remove(snapshotName(index)); err != nil {
		return l.fail("remove snapshot", err)
	}
	return nil
}

// DropSnapshot durably removes the current snapshot, if there is one.
func (l *Log) DropSnapshot() error {
	if l.failure != nil || !l.hasSnapshot {
		return l.failure
	}
	if err := l.removeSnapshot(l.snapshotIndex); err != nil {
		return err
	}
	l.hasSnapshot = false
	if err := l.fs.SyncFolder(); err != nil {
		return l.fail("sync folder", err)
	}
	return nil
}

// readSnapshots reads the latest snapshot and removes older ones.
func (l *Log) readSnapshots(names []string, recovered *Recovered) error {
	if len(names) == 0 {
		return nil
	}
	newest := names[len(names)-1]
	content, err := l.readFile(newest)
	if err != nil {
		return err
	}
	index, data, ok := decodeSnapshot(content)
	if !ok || snapshotName(index) != newest {
		return &CorruptError{File: newest, Reason: "snapshot does not match its checksum"}
	}
	recovered.Snapshot, recovered.SnapshotIndex = data, index
	l.snapshotIndex, l.hasSnapshot = index, true
	for _, name := range names[:len(names)-1] {
		if err := l.fs.Remove(name); err != nil {
			return fmt.Errorf("remove old snapshot: %w", err)
		}
	}
	return nil
}
