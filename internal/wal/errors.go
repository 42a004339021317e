package wal

import (
	"errors"
	"fmt"
)

// Errors of the log.
var (
	// ErrCorrupt means that data which had been synced cannot be read back.
	// The log refuses to open: a voter must not continue without it.
	ErrCorrupt = errors.New("log data is corrupt; restore the disk or empty the data folder to rejoin with a new incarnation")
	// ErrFailed means that a write or sync failed earlier. It is final, because
	// after a failed sync the kernel may drop the unwritten pages and report
	// success for the next sync.
	ErrFailed = errors.New("log failed: nothing more is written; free or replace the disk and restart")
	// ErrLocked means that another process uses the folder.
	ErrLocked = errors.New("data folder is in use by another process")
	// ErrClosed means that the log was closed.
	ErrClosed = errors.New("log is closed")
)

// CorruptError names the place of unreadable data.
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
