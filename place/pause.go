package place

import "time"

// Pause is the time for which an endpoint has asked an instance for no requests, and the
// gradual return after it. It does no I/O; callers pass in the time. It is not safe for
// concurrent use.
//
// Load pattern: an endpoint that is overloaded asks hundreds of instances for a pause
// within a moment. Were they all to return at the end of it with all that waits, they
// would overload it again.
type Pause struct {
	until time.Time
	trial bool // after the pause, until a request has been executed
}

// Extend records that the endpoint asked for no requests for d from now. A shorter pause
// than the present one changes nothing. spread is added, so that instances that were asked
// together return one after the other.
func (p *Pause) Extend(now time.Time, d, spread time.Duration) {
	if until := now.Add(d + spread); until.After(p.until) {
		p.until = until
	}
	p.trial = true
}

// RecordExecuted records that the endpoint has executed a request that was sent after the
// pause.
func (p *Pause) RecordExecuted(now time.Time) {
	if !p.Active(now) {
		p.trial = false
	}
}

// Active reports whether the pause lasts at now.
func (p *Pause) Active(now time.Time) bool { return now.Before(p.until) }

// Admits reports whether a request may be sent, given the number of this instance's
// requests that the endpoint is running: after a pause one at a time, until one has been
// executed.
func (p *Pause) Admits(now time.Time, running int) bool {
	return !p.Active(now) && (!p.trial || running == 0)
}

// Left returns how long the pause still lasts.
func (p *Pause) Left(now time.Time) time.Duration { return max(p.until.Sub(now), 0) }
