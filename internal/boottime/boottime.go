// Package boottime reads the clock that goes on while the VM is suspended. The monotonic clock of package time stands
// still meanwhile, so a lease measured with it outlives a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reading of the monotonic clock of package time to which Now falls back.
var start = time.Now()

// Now returns the time since the VM booted, suspensions included. It never goes back.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(start) // a kernel without this clock has no suspensions to count
	}
	return time.Duration(t.Nano())
}
