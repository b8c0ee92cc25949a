// Package boottime reads a clock that keeps running while the machine is
// suspended. Ages that safety checks depend on are measured with it, because Go's
// monotonic clock stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time without a monotonic reading.
// Only differences between two results are meaningful; the date is not. It panics
// if the clock cannot be read.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39; without it no age can be trusted.
		panic("boottime: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
