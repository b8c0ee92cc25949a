// Package boottime reads a clock that goes on while the machine is suspended.
// Ages that safety rests on are measured by it: Go's own monotonic clock stands
// still during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time without a monotonic reading.
// Its differences are durations; its date means nothing.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux since 2.6.39; without it no age is safe.
		panic("boottime: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
