// Package boottime reads a clock that keeps running while the VM is suspended. The monotonic clock of package time
// stops during a suspension, so a lease measured with it would be considered valid for too long.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reference time if Now falls back to the monotonic clock of package time.
var start = time.Now()

// Now returns the time since the VM booted, including suspensions. It never decreases.
// Without CLOCK_BOOTTIME it returns the time since the process started.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(start) // a kernel without this clock has no suspensions to include
	}
	return time.Duration(t.Nano())
}
