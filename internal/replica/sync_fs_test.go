package replica

import "github.com/lentilyard/lentilyard/internal/wal"

// syncFS is a folder whose files call beforeSync before each sync, and fail to sync with the error that it returns.
type syncFS struct {
	wal.FS
	beforeSync func() error
}

func (f syncFS) OpenFile(name string, flag int) (wal.File, error) {
	file, err := f.FS.OpenFile(name, flag)
	return syncFile{File: file, beforeSync: f.beforeSync}, err
}

// syncFile is a file of a syncFS.
type syncFile struct {
	wal.File
	beforeSync func() error
}

func (f syncFile) Sync() error {
	if err := f.beforeSync(); err != nil {
		return err
	}
	return f.File.Sync()
}

// wrapDisk replaces the disk of a VM by what wrap makes of it, from its next start.
func (c *cluster) wrapDisk(vm string, wrap func(disk wal.FS) wal.FS) {
	c.openFS[vm] = func(folder string) (wal.FS, error) {
		disk, err := wal.OpenFolder(folder)
		return wrap(disk), err
	}
}

// beforeSyncs makes the disk of a VM call f before each sync, from the next start of the VM.
func (c *cluster) beforeSyncs(vm string, f func() error) {
	c.wrapDisk(vm, func(disk wal.FS) wal.FS { return syncFS{FS: disk, beforeSync: f} })
}
