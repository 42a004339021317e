package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors of the log.
var (
	// ErrCorrupt means that data which had been synced cannot be read back. The log does not open:
	// a voter must not continue without that data.
	ErrCorrupt = errors.New("log data is corrupt; restore the disk or empty the data folder to rejoin with a new incarnation")
	// ErrFailed means that a write or sync failed earlier. The log stays failed, because after a
	// failed sync the kernel may drop the unwritten pages and report success for the next sync.
	ErrFailed = errors.New("log failed: no further writes are accepted; replace the disk, then restart")
	// ErrDiskFull means that the disk had no room for an operation. The operation had no effect and may
	// be repeated. Nothing that was not synced counts as written, so nothing is lost.
	ErrDiskFull = errors.New("disk is full: nothing was written; free disk space")
	// ErrLocked means that another process holds the lock of the folder.
	ErrLocked = errors.New("data folder is in use by another process")
	// ErrClosed means that the log was closed.
	ErrClosed = errors.New("log is closed")
)

// CorruptError reports which file cannot be read, where and why.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s at offset %d: %s: %v", e.File, e.Offset, e.Reason, ErrCorrupt)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// isDiskFull reports whether an error of the file system means that there is no room: on the disk, in the quota of the user, or
// below the limit of the process on the size of files.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

func diskFull(action string, cause error) error {
	return fmt.Errorf("%s: %w: %w", action, ErrDiskFull, cause)
}
