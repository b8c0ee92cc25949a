package place

import "time"

// Backlog is the prefilling that an instance has placed at an engine, as the time when
// the engine will have done it. It does no I/O; callers pass in the time. It is not
// safe for concurrent use.
type Backlog struct {
	doneAt time.Time
}

// backlogMargin multiplies the expected time of a prompt: an engine takes longer while it
// also makes tokens for running requests, and a prompt that is expected to be done too
// early meets the next one.
const backlogMargin = 1.25

// BacklogTime returns the time for which a prompt of which an engine prefills the given
// number of tokens counts as its backlog.
func BacklogTime(prefillTokens int, rate *PrefillRate) time.Duration {
	return time.Duration(backlogMargin * float64(rate.PrefillTime(prefillTokens+baseCostTokens)))
}

// Add adds work that takes an engine the given time.
func (b *Backlog) Add(work time.Duration, now time.Time) {
	b.doneAt = now.Add(b.Remaining(now) + work)
}

// Remaining returns the time that the engine still needs, 0 if it is done.
func (b *Backlog) Remaining(now time.Time) time.Duration { return max(b.doneAt.Sub(now), 0) }
