package wal

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// append appends records and returns false if the disk is full.
func (m *model) append(t *rapid.T, l *Log, count uint64) bool {
	var batch []Record
	for i := range count {
		batch = append(batch, testRecord(m.acked+i+1))
	}
	return m.done(t, l.Append(batch...), func() { m.acked += count; m.attempted = m.acked })
}

// done calls succeeded unless the disk is full. An operation on a full disk has no effect.
func (m *model) done(t *rapid.T, err error, succeeded func()) bool {
	if errors.Is(err, ErrDiskFull) {
		return false
	}
	if err != nil {
		t.Fatalf("operation failed with an error other than ErrDiskFull: %v", err)
	}
	succeeded()
	return true
}

// fill performs random operations until the disk has no room, and some while it has none.
func (m *model) fill(t *rapid.T, l *Log) {
	for refused := 0; refused < 3; {
		ok := false
		switch rapid.IntRange(0, 9).Draw(t, "operation") {
		default:
			ok = m.append(t, l, rapid.Uint64Range(1, 4).Draw(t, "records"))
		case 0:
			ok = m.done(t, l.SaveSnapshot(m.acked, fmt.Append(nil, "snapshot ", m.acked)), func() { m.snapshot, m.attemptedSnapshot = m.acked, m.acked })
		case 1:
			ok = m.done(t, l.Compact(m.snapshot), func() {})
		case 2:
			ok = m.done(t, l.Rotate(), func() {})
		}
		if !ok {
			refused++
		}
	}
}

// checkFullDisk fills the disk at a random byte several times. Then it has room again, or the power fails first.
func checkFullDisk(t *rapid.T) {
	disk, m := newMemFS(), &model{}
	var l *Log
	for range 4 {
		if l == nil {
			opened, r, err := Open(disk, Options{SegmentBytes: 400})
			if err != nil {
				t.Fatalf("open after a full disk: %v", err)
			}
			if _, err := m.check(r); err != nil {
				t.Fatal(err)
			}
			l = opened
			l.SetHead(func() []Record { return []Record{{Data: []byte("head")}} })
		}
		disk.room = rapid.IntRange(0, 1500).Draw(t, "room")
		disk.refusesTruncate = rapid.Bool().Draw(t, "refuses truncate")
		m.fill(t, l)
		if rapid.Bool().Draw(t, "power failure") {
			disk, l = disk.crash(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "kept") }), nil
			continue
		}
		disk.room = -1
		if !m.append(t, l, 1) {
			t.Fatal("the disk has room again, but an append was refused")
		}
	}
}

// Guards against a full disk that ends the log, loses acknowledged records, or leaves records behind that were refused.
func TestFullDiskLosesNothing(t *testing.T) { rapid.Check(t, checkFullDisk) }

// FuzzFullDisk explores the points at which a disk may fill and what survives a power failure then.
func FuzzFullDisk(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkFullDisk)) }

// Guards against a sync for which the disk has no room that counts as repeatable: what was written before it is then unknown.
func TestFailedSyncOnFullDiskIsFinal(t *testing.T) {
	is := is.New(t)
	disk := newMemFS()
	l, _ := openMem(t, disk)
	is.NoErr(l.Append(testRecord(1)))
	disk.failAt = 1 // the write succeeds, the sync fails
	is.True(errors.Is(l.Append(testRecord(2)), ErrFailed))
}

// Guards against a log that cannot be created again after its disk was full at the first start.
func TestFirstStartOnFullDisk(t *testing.T) {
	for room := range segmentHeaderSize + 1 {
		disk := newMemFS()
		disk.room = room
		_, _, err := Open(disk, Options{})
		is.New(t).Equal(errors.Is(err, ErrDiskFull), room < segmentHeaderSize)
		disk.room = -1
		openMem(t, disk)
	}
}
