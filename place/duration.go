package place

import "time"

// maxDuration bounds times that follow from rates which others name. No request waits so long,
// and sums of such times don't overflow.
const maxDuration = 24 * time.Hour

// Duration returns a time of so many seconds, at least 0 and at most a day: rates that others
// name may be near 0.
func Duration(seconds float64) time.Duration {
	if !(seconds < maxDuration.Seconds()) {
		return maxDuration
	}
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// atMost returns the whole part of x, at least 1 and at most n. It also holds for numbers that
// no int can have.
func atMost(n int, x float64) int { return int(min(max(x, 1), float64(max(n, 1)))) }
