package wal

import (
	"errors"
	"fmt"
)

// Errors of the log.
var (
	// ErrCorrupt means that data which had been synced cannot be read back. The log does not open:
	// a voter must not continue without that data.
	ErrCorrupt = errors.New("log data is corrupt; restore the disk or empty the data folder to rejoin with a new incarnation")
	// ErrFailed means that a write or sync failed earlier. The log stays failed, because after a
	// failed sync the kernel may drop the unwritten pages and report success for the next sync.
	ErrFailed = errors.New("log failed: no further writes are accepted; free disk space or replace the disk, then restart")
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
