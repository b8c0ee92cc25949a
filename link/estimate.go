package link

import (
	"math"
	"slices"
	"time"
)

const (
	// window is the number of transfers of which the fastest counts. Transfers
	// that share a link with others are slow without the link being so.
	window = 4
	// maxShared is how many times slower a transfer may be than the link for
	// sharing it with others; beyond that the link itself is slow.
	maxShared = 3
	// forgetHalfLife is how fast an estimate returns to nominal without
	// observations, so that a link found slow is tried again.
	forgetHalfLife = time.Minute
	// minObservedBytes is the least transfer that tells a rate: a smaller one
	// tells the delay.
	minObservedBytes = 64 << 10
	// cappedShare of the granted rate tells that the grant and not the link was
	// the limit.
	cappedShare = 0.9
)

// Estimate is what a link carries: the rate of the fastest of the last transfers
// on it. Not safe for
// concurrent use.
type Estimate struct {
	nominal float64 // bytes a second
	delay   time.Duration
	logs    [window]float64 // logarithms of the rates lately seen over nominal
	next    int             // the oldest of them
	at      time.Time
}

// NewEstimate returns an estimate at the nominal rate and delay.
func NewEstimate(now time.Time, bytesPerSecond int64, delay time.Duration) *Estimate {
	return &Estimate{nominal: float64(max(bytesPerSecond, 1)), delay: delay, at: now}
}

// Observe records a transfer at a granted rate, 0 for no limit: one that was
// as fast as granted says only that the link is no slower than that.
func (e *Estimate) Observe(now time.Time, bytes int64, took time.Duration, granted int64) {
	if bytes < minObservedBytes || took <= 0 {
		return
	}
	rate := float64(bytes) / max(took-e.delay, time.Millisecond).Seconds()
	if granted > 0 && rate >= cappedShare*float64(granted) && rate < e.Rate(now) {
		return
	}
	e.ObserveRate(now, rate)
}

// ObserveRate records that the link carried a transfer at so many bytes a second.
func (e *Estimate) ObserveRate(now time.Time, bytesPerSecond float64) {
	e.forget(now)
	seen := math.Log(max(bytesPerSecond, 1) / e.nominal)
	for i := range e.logs {
		e.logs[i] = min(e.logs[i], seen+math.Log(maxShared))
	}
	e.logs[e.next] = seen
	e.next = (e.next + 1) % window
}

// Rate returns the bytes a second that the link is expected to carry.
func (e *Estimate) Rate(now time.Time) float64 {
	e.forget(now)
	return e.nominal * math.Exp(slices.Max(e.logs[:]))
}

// Delay returns the time before the first byte.
func (e *Estimate) Delay() time.Duration { return e.delay }

// forget moves the estimate towards nominal by the time without observation.
func (e *Estimate) forget(now time.Time) {
	elapsed := now.Sub(e.at)
	if elapsed <= 0 {
		return
	}
	e.at = now
	for i := range e.logs {
		e.logs[i] *= math.Exp2(-elapsed.Seconds() / forgetHalfLife.Seconds())
	}
}
