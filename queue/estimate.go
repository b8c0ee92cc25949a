package queue

import "time"

// Backlog is the work that gets room before a request, at this instance and at the others,
// and the rates at which both drain. Cost and rates have the same unit of work.
type Backlog struct {
	Own, Others                   float64
	OwnPerSecond, OthersPerSecond float64
}

// maxWaitSeconds bounds an estimate. It is longer than any deadline.
const maxWaitSeconds = 3600

// Wait returns how long it takes until the backlog has got room, and whether that can be
// estimated.
//
// Load pattern: for seconds, the instances have backlogs of different length before the same
// endpoints. What waits elsewhere delays a request only if the instances together are behind;
// a backlog of its own instance delays it in any case, because each instance takes only its
// share of the room.
func (b Backlog) Wait() (time.Duration, bool) {
	if b.OwnPerSecond <= 0 {
		return 0, false
	}
	wait := b.Own / b.OwnPerSecond
	if b.OthersPerSecond > 0 { // else nothing is known of how long the others' backlog lasts
		wait = max(wait, (b.Own+b.Others)/(b.OwnPerSecond+b.OthersPerSecond))
	}
	return time.Duration(min(wait, maxWaitSeconds) * float64(time.Second)), true
}

// rateLifetime is how long a rate holds after it was last measured. The load of the services
// varies within 10 to 13 s.
const rateLifetime = 10 * time.Second

// Resume begins a new window at now. Callers call it when requests begin to wait: the time
// before, in which nothing waited, says nothing about the rate at which room can be had.
func (d *Drain) Resume(now time.Time) { d.window, d.begun = 0, now }

// Current returns the rate if it was measured lately, 0 otherwise.
func (d *Drain) Current(now time.Time) float64 {
	if now.Sub(d.begun) > rateLifetime+drainWindow {
		return 0
	}
	return d.perSecond
}
