package wal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the set of file operations that the log needs in its folder. Names are relative to the
// folder.
type FS interface {
	OpenFile(name string, flag int) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files, in no particular order.
	List() ([]string, error)
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
	Close() error
}

// File is an open file.
type File interface {
	io.Reader
	io.Writer
	Truncate(size int64) error
	Sync() error
	Close() error
}

const (
	folderMode fs.FileMode = 0o700
	fileMode   fs.FileMode = 0o600
)

// folderFS implements FS for a folder of the operating system.
type folderFS struct {
	root   *os.Root
	folder *os.File
}

// OpenFolder opens a folder. If it does not exist, it is created durably.
func OpenFolder(folder string) (FS, error) {
	if err := createFolder(filepath.Clean(folder)); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	root, err := os.OpenRoot(folder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	opened, err := root.Open(".")
	if err != nil {
		_ = root.Close()
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	return &folderFS{root: root, folder: opened}, nil
}

// createFolder creates a folder and its missing parents, and syncs the directory entry of each.
func createFolder(folder string) error {
	info, err := os.Stat(folder)
	if err == nil && !info.IsDir() {
		return fmt.Errorf("%s is not a folder", folder)
	}
	if err == nil || !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := createFolder(filepath.Dir(folder)); err != nil {
		return err
	}
	if err := os.Mkdir(folder, folderMode); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return syncFolder(filepath.Dir(folder))
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open folder to sync it: %w", err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync folder %s: %w", folder, err)
	}
	return nil
}

func (f *folderFS) OpenFile(name string, flag int) (File, error) {
	return f.root.OpenFile(name, flag, fileMode)
}

func (f *folderFS) Rename(from, to string) error { return f.root.Rename(from, to) }

func (f *folderFS) Remove(name string) error { return f.root.Remove(name) }

func (f *folderFS) SyncFolder() error { return f.folder.Sync() }

func (f *folderFS) List() ([]string, error) {
	entries, err := fs.ReadDir(f.root.FS(), ".")
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (f *folderFS) Close() error {
	err := f.folder.Close()
	if closeErr := f.root.Close(); err == nil {
		err = closeErr
	}
	return err
}

// FolderLock is an exclusive lock on a folder. It is held until it is released or the process
// ends.
type FolderLock struct{ file *os.File }

const lockName = "LOCK"

// Lock locks a folder, which is created if it does not exist. The error is ErrLocked if the lock
// cannot be taken, usually because another process holds it.
func Lock(folder string) (*FolderLock, error) {
	if err := createFolder(filepath.Clean(folder)); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	root, err := os.OpenRoot(folder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	defer root.Close()
	file, err := root.OpenFile(lockName, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("folder %s: %w: %w", folder, ErrLocked, err)
	}
	return &FolderLock{file: file}, nil
}

// Release unlocks the folder.
func (l *FolderLock) Release() error { return l.file.Close() }
