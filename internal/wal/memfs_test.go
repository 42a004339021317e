package wal

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"slices"
	"syscall"
)

var errInjected = errors.New("injected failure: no space left on device")

// memFS is an in-memory file system that can simulate power failures and injected errors.
type memFS struct {
	files   map[string]*memFile
	durable map[string]*memFile // folder content at the last SyncFolder
	// failAt is the number of operations that succeed before all further ones fail; -1 means that
	// none fails.
	failAt int
	// room is the number of bytes that the disk has room for; -1 means that it never fills.
	room int
	// refusesTruncate makes a full disk refuse to shorten files as well.
	refusesTruncate bool
	// ignoreSync makes file syncs do nothing, to show that the tests detect missing syncs.
	ignoreSync bool
}

type memFile struct{ content, synced []byte }

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, failAt: -1, room: -1}
}

// runOrFail runs an operation, or returns an injected error if failAt has reached 0.
func (m *memFS) runOrFail(operation func()) error {
	if m.failAt == 0 {
		return errInjected
	}
	m.failAt = max(-1, m.failAt-1)
	operation()
	return nil
}

func (m *memFS) OpenFile(name string, flag int) (File, error) {
	f, ok := m.files[name]
	if flag&os.O_CREATE == 0 && !ok {
		return nil, fs.ErrNotExist
	}
	if flag&os.O_EXCL != 0 && ok {
		return nil, fs.ErrExist
	}
	if flag&os.O_CREATE != 0 && !ok && m.room == 0 {
		return nil, syscall.ENOSPC
	}
	if flag&os.O_CREATE != 0 && (!ok || flag&os.O_TRUNC != 0) {
		f = &memFile{}
		if err := m.runOrFail(func() { m.files[name] = f }); err != nil {
			return nil, err
		}
	}
	return &memHandle{fs: m, file: f, reader: bytes.NewReader(f.content)}, nil
}

func (m *memFS) Rename(from, to string) error {
	if m.room == 0 {
		return syscall.ENOSPC
	}
	return m.runOrFail(func() { m.files[to] = m.files[from]; delete(m.files, from) })
}

func (m *memFS) Remove(name string) error { return m.runOrFail(func() { delete(m.files, name) }) }

func (m *memFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil }

func (m *memFS) SyncFolder() error { return m.runOrFail(func() { m.durable = maps.Clone(m.files) }) }

func (m *memFS) Close() error { return nil }

// crash returns the file system after a power failure. The callback keep(n) returns a number in
// [0, n). It chooses whether unsynced folder changes survive, how many unsynced bytes of each file
// survive and whether the last of these bytes is damaged.
func (m *memFS) crash(keep func(n int) int) *memFS {
	after := newMemFS()
	source := m.durable
	if keep(2) == 1 {
		source = m.files // folder changes reached the disk without a sync
	}
	for _, name := range slices.Sorted(maps.Keys(source)) {
		f := source[name]
		content := bytes.Clone(f.synced)
		if tail := len(f.content) - len(f.synced); tail > 0 {
			content = append(content, f.content[len(f.synced):len(f.synced)+keep(tail+1)]...)
			if len(content) > len(f.synced) && keep(2) == 1 {
				content[len(content)-1] ^= 0x40
			}
		}
		after.files[name] = &memFile{content: content, synced: bytes.Clone(content)}
	}
	after.durable = maps.Clone(after.files)
	return after
}

// clone returns the file system as the next process finds it after this one was killed: unsynced
// data is still in the page cache.
func (m *memFS) clone() *memFS {
	after := newMemFS()
	for name, f := range m.files {
		after.files[name] = &memFile{content: bytes.Clone(f.content), synced: bytes.Clone(f.content)}
	}
	after.durable = maps.Clone(after.files)
	return after
}

type memHandle struct {
	fs     *memFS
	file   *memFile
	reader *bytes.Reader
}

func (h *memHandle) Read(b []byte) (int, error) { return h.reader.Read(b) }

func (h *memHandle) Write(b []byte) (int, error) {
	if err := h.fs.runOrFail(func() {}); err != nil {
		half := len(b) / 2
		h.file.content = append(h.file.content, b[:half]...)
		return half, err
	}
	if room := h.fs.room; room >= 0 && room < len(b) {
		h.file.content = append(h.file.content, b[:room]...)
		h.fs.room = 0
		return room, syscall.ENOSPC
	} else if room >= 0 {
		h.fs.room -= len(b)
	}
	h.file.content = append(h.file.content, b...)
	return len(b), nil
}

func (h *memHandle) Truncate(size int64) error {
	if h.fs.room == 0 && h.fs.refusesTruncate {
		return syscall.ENOSPC
	}
	return h.fs.runOrFail(func() {
		h.file.content = h.file.content[:size]
		h.file.synced = h.file.synced[:min(len(h.file.synced), int(size))]
	})
}

func (h *memHandle) Sync() error {
	return h.fs.runOrFail(func() {
		if !h.fs.ignoreSync {
			h.file.synced = bytes.Clone(h.file.content)
		}
	})
}

func (h *memHandle) Close() error { return nil }

// testRecord returns a record whose data is determined by its index.
func testRecord(index uint64) Record {
	return Record{Index: index, Data: []byte(fmt.Sprintf("record %d %s", index, bytes.Repeat([]byte{'x'}, int(index%40))))}
}
