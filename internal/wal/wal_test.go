package wal

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless flags set it.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func openMem(t testing.TB, m *memFS) (*Log, *Recovered) {
	t.Helper()
	l, r, err := Open(m, Options{SegmentBytes: 400})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return l, r
}

// model describes which contents of a log are valid after a crash.
type model struct {
	acked             uint64 // last record that was acknowledged
	attempted         uint64 // last record that may be present
	snapshot          uint64 // last snapshot that was acknowledged
	attemptedSnapshot uint64 // snapshot that may be present
}

// run performs random operations until one fails.
func (m *model) run(t *rapid.T, l *Log, steps int) error {
	for range steps {
		var err error
		switch rapid.IntRange(0, 9).Draw(t, "operation") {
		default:
			count := rapid.Uint64Range(1, 4).Draw(t, "records")
			var batch []Record
			for range count {
				m.attempted++
				batch = append(batch, testRecord(m.attempted))
			}
			if err = l.Append(batch...); err == nil {
				m.acked = m.attempted
			}
		case 0:
			m.attemptedSnapshot = m.acked
			if err = l.SaveSnapshot(m.acked, fmt.Append(nil, "snapshot ", m.acked)); err == nil {
				m.snapshot = m.acked
			}
		case 1:
			err = l.Compact(m.snapshot)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// check compares the recovered content with the model and returns the index of the last recovered
// record.
func (m *model) check(r *Recovered) (uint64, error) {
	if r.SnapshotIndex != m.snapshot && r.SnapshotIndex != m.attemptedSnapshot {
		return 0, fmt.Errorf("recovered snapshot %d, but snapshot %d was acknowledged", r.SnapshotIndex, m.snapshot)
	}
	if r.Snapshot != nil && string(r.Snapshot) != fmt.Sprint("snapshot ", r.SnapshotIndex) {
		return 0, fmt.Errorf("snapshot %d has content %q", r.SnapshotIndex, r.Snapshot)
	}
	last := uint64(0)
	for _, record := range r.Records {
		if record.Index == 0 {
			continue // head record of a segment
		}
		if last != 0 && record.Index != last+1 {
			return 0, fmt.Errorf("record %d follows record %d", record.Index, last)
		}
		if string(record.Data) != string(testRecord(record.Index).Data) {
			return 0, fmt.Errorf("record %d has content %q", record.Index, record.Data)
		}
		if last == 0 && record.Index > r.SnapshotIndex+1 {
			return 0, fmt.Errorf("records begin at %d after snapshot %d", record.Index, r.SnapshotIndex)
		}
		last = record.Index
	}
	last = max(last, r.SnapshotIndex)
	if last < m.acked || last > m.attempted {
		return 0, fmt.Errorf("recovered up to record %d; %d acknowledged, %d attempted", last, m.acked, m.attempted)
	}
	return last, nil
}

// checkCrashes runs random operations until an injected failure, simulates a power failure and
// recovers, several times in a row.
func checkCrashes(t *rapid.T, ignoreSync bool) {
	disk := newMemFS()
	m := &model{}
	for range 4 {
		disk.ignoreSync = ignoreSync
		l, r, err := Open(disk, Options{SegmentBytes: 400})
		if err != nil {
			t.Fatalf("open after crash: %v", err)
		}
		last, err := m.check(r)
		if err != nil {
			t.Fatal(err)
		}
		m.acked, m.attempted, m.snapshot, m.attemptedSnapshot = last, last, r.SnapshotIndex, r.SnapshotIndex
		l.SetHead(func() []Record { return []Record{{Data: []byte("head")}} })
		disk.failAt = rapid.IntRange(0, 80).Draw(t, "operations before failure")
		if err := m.run(t, l, 30); err != nil && !errors.Is(err, ErrFailed) {
			t.Fatalf("operation failed with an error other than ErrFailed: %v", err)
		}
		disk = disk.crash(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "kept") })
	}
}

// Guards against lost acknowledged records, invented records and logs that cannot be opened after
// a failed write or sync followed by a power failure.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkCrashes(t, false) })
}

// Guards against a crash test that does not detect missing syncs.
func TestCrashesReportMissingSync(t *testing.T) {
	failed := 0
	for seed := range 50 {
		example := rapid.Custom(func(t *rapid.T) (ok bool) {
			defer func() { ok = recover() == nil }()
			checkCrashes(t, true)
			return true
		}).Example(seed)
		if !example {
			failed++
		}
	}
	is.New(t).True(failed > 0)
}

// Guards against writes after a failed sync, which could be reported as durable although data is
// missing.
func TestFailureIsFinal(t *testing.T) {
	is := is.New(t)
	disk := newMemFS()
	l, _ := openMem(t, disk)
	is.NoErr(l.Append(testRecord(1)))
	disk.failAt = 1 // the write succeeds, the sync fails
	is.True(errors.Is(l.Append(testRecord(2)), ErrFailed))
	disk.failAt = -1
	is.True(errors.Is(l.Append(testRecord(3)), ErrFailed))
	is.True(errors.Is(l.SaveSnapshot(1, nil), ErrFailed))
	is.True(errors.Is(l.Compact(1), ErrFailed))
	is.True(errors.Is(l.Restart(testRecord(4)), ErrFailed))
}

// Guards against a flipped bit that is mistaken for a torn end, which would drop acknowledged
// records, or that goes undetected.
func TestFlippedBits(t *testing.T) {
	disk := newMemFS()
	l, _ := openMem(t, disk)
	for i := range uint64(30) {
		if err := l.Append(testRecord(i + 1)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.SaveSnapshot(5, []byte("state")); err != nil {
		t.Fatal(err)
	}
	names, _ := disk.List()
	lastSegment := l.segments[len(l.segments)-1].name
	for _, name := range names {
		size := len(disk.files[name].content)
		for offset := range size {
			// The sync marker of the last batch holds no data.
			if name == lastSegment && offset >= size-frameHeaderSize {
				continue
			}
			damaged := disk.clone()
			damaged.files[name].content[offset] ^= 0x10
			_, r, err := Open(damaged, Options{SegmentBytes: 400})
			onlyMarkerLost := err == nil && r.TornBytes == 0 && len(r.Records) == 30
			if !errors.Is(err, ErrCorrupt) && !onlyMarkerLost {
				t.Fatalf("%s: bit flipped at offset %d of %d: got error %v, want ErrCorrupt", name, offset, size, err)
			}
		}
	}
}

// Guards against a torn last batch that prevents the log from opening, and against one that is
// recovered or damages later appends.
func TestTornTail(t *testing.T) {
	disk := newMemFS()
	l, _ := openMem(t, disk)
	if err := l.Append(testRecord(1)); err != nil {
		t.Fatal(err)
	}
	before := len(disk.files[segmentName(1)].content)
	if err := l.Append(testRecord(2), testRecord(3)); err != nil {
		t.Fatal(err)
	}
	whole := len(disk.files[segmentName(1)].content) - frameHeaderSize // without its sync marker
	for size := before; size < whole; size++ {
		torn := disk.clone()
		torn.files[segmentName(1)].content = torn.files[segmentName(1)].content[:size]
		again, r := openMem(t, torn)
		if len(r.Records) != 1 || r.TornBytes != int64(size-before) {
			t.Fatalf("cut to %d bytes: %d records, %d torn bytes", size, len(r.Records), r.TornBytes)
		}
		if err := again.Append(testRecord(2)); err != nil {
			t.Fatal(err)
		}
		if _, r = openMem(t, torn.clone()); len(r.Records) != 2 {
			t.Fatalf("cut to %d bytes: %d records after the next append", size, len(r.Records))
		}
	}
}

// Guards against a log that cannot be opened after a power failure that preserved the last batch
// but lost the sync marker before it. Both were written since the last sync, so each of them may
// be intact, missing or torn.
func TestUnsyncedWritesSurviveInAnyCombination(t *testing.T) {
	disk := newMemFS()
	l, _ := openMem(t, disk)
	if err := l.Append(testRecord(1)); err != nil {
		t.Fatal(err)
	}
	name := segmentName(1)
	markerEnd := len(disk.files[name].content)
	if err := l.Append(testRecord(2)); err != nil {
		t.Fatal(err)
	}
	batchEnd := len(disk.files[name].content) - frameHeaderSize // without the sync marker of the second batch
	damages := map[string]func([]byte){
		"intact":  func([]byte) {},
		"missing": func(b []byte) { clear(b) },
		"torn":    func(b []byte) { clear(b[len(b)/2:]) },
	}
	for marker, damageMarker := range damages {
		for batch, damageBatch := range damages {
			after := disk.clone()
			content := after.files[name].content[:batchEnd]
			damageMarker(content[markerEnd-frameHeaderSize : markerEnd])
			damageBatch(content[markerEnd:])
			after.files[name].content = content
			again, r, err := Open(after, Options{SegmentBytes: 400})
			if err != nil {
				t.Fatalf("marker %s, batch %s: %v", marker, batch, err)
			}
			if len(r.Records) == 0 || r.Records[0].Index != 1 {
				t.Fatalf("marker %s, batch %s: the synced record was lost", marker, batch)
			}
			if err := again.Append(testRecord(uint64(len(r.Records) + 1))); err != nil {
				t.Fatal(err)
			}
			if _, r2 := openMem(t, after.clone()); len(r2.Records) != len(r.Records)+1 {
				t.Fatalf("marker %s, batch %s: %d records after the next append to %d", marker, batch, len(r2.Records), len(r.Records))
			}
		}
	}
}

// Guards against a missing segment that goes undetected.
func TestMissingSegment(t *testing.T) {
	is := is.New(t)
	disk := newMemFS()
	l, _ := openMem(t, disk)
	for i := range uint64(40) {
		is.NoErr(l.Append(testRecord(i + 1)))
	}
	names, _ := disk.List()
	is.True(len(names) > 3)
	is.NoErr(disk.Remove(names[1]))
	_, _, err := Open(disk, Options{})
	is.True(errors.Is(err, ErrCorrupt))
}

// Guards against records from before Restart that reappear, and against a second process that
// opens the same folder, with the operating system's file system.
func TestFolder(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	lock, err := Lock(folder)
	is.NoErr(err)
	_, err = Lock(folder)
	is.True(errors.Is(err, ErrLocked))
	open := func() (*Log, *Recovered) {
		fs, err := OpenFolder(filepath.Join(folder, "log"))
		is.NoErr(err)
		l, r, err := Open(fs, Options{})
		is.NoErr(err)
		return l, r
	}
	l, _ := open()
	is.NoErr(l.Append(testRecord(1), testRecord(2)))
	is.NoErr(l.SaveSnapshot(1, []byte("state")))
	is.NoErr(l.Close())
	l, r := open()
	is.Equal(r.Snapshot, []byte("state"))
	is.Equal(len(r.Records), 2)
	is.NoErr(l.Restart(testRecord(7)))
	is.NoErr(l.Close())
	l, r = open()
	is.Equal(r.Snapshot, nil)
	is.True(slices.EqualFunc(r.Records, []Record{testRecord(7)}, func(a, b Record) bool { return a.Index == b.Index }))
	is.True(errors.Is(func() error { _ = l.Close(); return l.Append(testRecord(8)) }(), ErrClosed))
	is.NoErr(lock.Release())
	lock, err = Lock(folder)
	is.NoErr(err)
	is.NoErr(lock.Release())
}
