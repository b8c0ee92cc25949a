package queue

import "time"

// Drain estimates at what rate waiting requests get room. It does no I/O; callers pass in
// the time. It is not safe for concurrent use.
type Drain struct {
	perSecond float64 // moving average of the cost that got room in a second, 0 before the first window
	window    float64 // cost that got room since begun
	begun     time.Time
}

const (
	// drainWindow is the time over which the rate is measured. It covers some calls of the
	// slowest services, and is shorter than the objectives of callers' requests.
	drainWindow = 200 * time.Millisecond
	// drainWeight is the weight of a window in the moving average.
	drainWeight = 0.3
)

// Record counts room for requests of a cost at now, and may be called with cost 0.
func (d *Drain) Record(cost float64, now time.Time) {
	if d.begun.IsZero() {
		d.begun = now
	}
	if passed := now.Sub(d.begun); passed >= drainWindow {
		rate := d.window / passed.Seconds()
		if d.perSecond == 0 {
			d.perSecond = rate
		}
		d.perSecond += drainWeight * (rate - d.perSecond)
		d.window, d.begun = 0, now
	}
	d.window += cost
}

// PerSecond returns the rate, 0 if it is not known.
func (d *Drain) PerSecond() float64 { return d.perSecond }

// Wait returns how long it takes until requests of the given cost have got room, 0 if the
// rate is not known.
func (d *Drain) Wait(cost float64) time.Duration {
	if d.perSecond <= 0 {
		return 0
	}
	return time.Duration(cost / d.perSecond * float64(time.Second))
}

const (
	minRetryAfter = 250 * time.Millisecond
	// minSpread spreads callers that were refused because of a short backlog.
	minSpread = 500 * time.Millisecond
	// spreadShare is the part of the backlog that is added to the spread: callers that were
	// refused because of a long backlog come back over a longer time.
	spreadShare = 0.5
)

// RetryAfter returns when a refused caller should come back: once the backlog ahead of it has
// drained, at a random moment of a time that grows with it. random is uniform in [0, 1).
//
// Load pattern: hundreds of callers are refused within a moment. Were all told the same time,
// they would come back together and find the same backlog.
func RetryAfter(backlog time.Duration, random float64) time.Duration {
	spread := float64(minSpread) + spreadShare*float64(backlog)
	return max(minRetryAfter, backlog) + time.Duration(random*spread)
}
