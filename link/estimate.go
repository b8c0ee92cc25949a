package link

import (
	"math"
	"time"
)

const (
	// slowWeight and fastWeight are the weights of an observation that is
	// slower or faster than the estimate: a slow link is noticed at once.
	slowWeight = 0.5
	fastWeight = 0.2
	// forgetHalfLife is how fast an estimate returns to nominal without
	// observations, so that a link found slow is tried again.
	forgetHalfLife = 30 * time.Second
	// minObservedBytes is the least transfer that tells a rate: a smaller one
	// tells the delay.
	minObservedBytes = 64 << 10
	// cappedShare of the granted rate tells that the grant and not the link was
	// the limit.
	cappedShare = 0.9
)

// Estimate is what a link carries, from the transfers seen on it. Not safe for
// concurrent use.
type Estimate struct {
	nominal float64 // bytes a second
	delay   time.Duration
	log     float64 // logarithm of the rate seen over nominal
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
	if seen < e.log {
		e.log += slowWeight * (seen - e.log)
		return
	}
	e.log += fastWeight * (seen - e.log)
}

// Rate returns the bytes a second that the link is expected to carry.
func (e *Estimate) Rate(now time.Time) float64 {
	e.forget(now)
	return e.nominal * math.Exp(e.log)
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
	e.log *= math.Exp2(-elapsed.Seconds() / forgetHalfLife.Seconds())
}
