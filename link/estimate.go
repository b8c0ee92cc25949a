package link

import (
	"math"
	"slices"
	"time"
)

const (
	// windowSize is the number of recent transfers of which the fastest gives
	// the rate of the link. A transfer that shares the link with others is slow
	// although the link is not.
	windowSize = 4
	// maxSharingSlowdown is the factor by which sharing a link may slow down a
	// transfer. If a transfer is slower by more, the link itself is taken to be
	// slow.
	maxSharingSlowdown = 3
	// decayHalfLife is the half-life with which an estimate returns to the
	// nominal rate without observations, so that a link found to be slow is
	// used again.
	decayHalfLife = time.Minute
	// minObservedBytes is the size of the smallest transfer that is observed.
	// The duration of a smaller one depends mainly on the delay.
	minObservedBytes = 64 << 10
	// grantLimitedShare is the part of the granted rate from which on a transfer
	// counts as limited by the grant and not by the link.
	grantLimitedShare = 0.9
)

// Estimate is an estimate of a link's rate: that of the fastest of the recent
// transfers on it. It is not safe for concurrent use.
type Estimate struct {
	nominal   float64             // nominal rate in bytes per second
	delay     time.Duration       // time until the first byte
	logRatios [windowSize]float64 // ln(rate / nominal) of the recent transfers
	next      int                 // index of the oldest in logRatios
	decayedAt time.Time
}

// NewEstimate returns an estimate that starts from the nominal rate and has the given
// delay.
func NewEstimate(now time.Time, bytesPerSecond int64, delay time.Duration) *Estimate {
	return &Estimate{nominal: float64(max(bytesPerSecond, 1)), delay: delay, decayedAt: now}
}

// Observe records that a transfer of the given size took the given time. granted is
// its granted rate in bytes per second, 0 for no limit. A transfer about as fast as
// granted shows only that the link is no slower than that, so it never lowers the
// estimate.
func (e *Estimate) Observe(now time.Time, bytes int64, took time.Duration, granted int64) {
	if bytes < minObservedBytes || took <= 0 {
		return
	}
	rate := float64(bytes) / max(took-e.delay, time.Millisecond).Seconds()
	if granted > 0 && rate >= grantLimitedShare*float64(granted) && rate < e.Rate(now) {
		return
	}
	e.ObserveRate(now, rate)
}

// ObserveRate records a transfer at the given rate. Earlier observations that are faster
// by more than maxSharingSlowdown are lowered to that factor.
func (e *Estimate) ObserveRate(now time.Time, bytesPerSecond float64) {
	e.decay(now)
	logRatio := math.Log(max(bytesPerSecond, 1) / e.nominal)
	for i := range e.logRatios {
		e.logRatios[i] = min(e.logRatios[i], logRatio+math.Log(maxSharingSlowdown))
	}
	e.logRatios[e.next] = logRatio
	e.next = (e.next + 1) % windowSize
}

// Rate returns the estimated rate of the link in bytes per second.
func (e *Estimate) Rate(now time.Time) float64 {
	e.decay(now)
	return e.nominal * math.Exp(slices.Max(e.logRatios[:]))
}

// Delay returns the time until the first byte of a transfer.
func (e *Estimate) Delay() time.Duration { return e.delay }

// decay moves the estimate towards the nominal rate for the time since the last call.
func (e *Estimate) decay(now time.Time) {
	elapsed := now.Sub(e.decayedAt)
	if elapsed <= 0 {
		return
	}
	e.decayedAt = now
	for i := range e.logRatios {
		e.logRatios[i] *= math.Exp2(-elapsed.Seconds() / decayHalfLife.Seconds())
	}
}
