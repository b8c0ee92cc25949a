package place

import (
	"time"

	"golang.org/x/time/rate"
)

// ShareHolders returns how many of the instances share the limit of an endpoint that takes
// perSecond requests a second, and whether self is one of them. All instances that know of
// the same instances choose the same ones. endpoint is the hash of the endpoint's
// incarnation.
//
// Load pattern: hundreds of instances before an endpoint that takes a few requests a
// second. If each had a share, each would have less than one request in many seconds, and
// what all of them had saved up could arrive at once. So no more instances hold a share
// than the endpoint takes requests in a second.
func ShareHolders(endpoint uint64, instances []string, self string, perSecond float64) (holders int, holds bool) {
	holders = atMost(len(instances), perSecond)
	rank, known := holderRank(endpoint, instances, self)
	return holders, known && rank < holders
}

// shareTrialInterval is the time without word of an endpoint's limit after which an
// instance that holds no share sends one request, to find out whether the limit has ended.
const shareTrialInterval = 30 * time.Second

// LimitShare is an instance's share of the rate of requests that an endpoint takes from
// all instances together. It does no I/O; callers pass in the time. It is not safe for
// concurrent use.
//
// A share begins without a saved request, and at most one is saved, so that changes of the
// shares send no more to the endpoint than it takes.
type LimitShare struct {
	bucket  *rate.Limiter // nil if the instance holds no share
	heardAt time.Time     // when any instance last heard of the limit, or tried to
}

// Set changes the share to perSecond requests a second, 0 if the instance holds none.
func (l *LimitShare) Set(perSecond float64, now time.Time) {
	switch {
	case perSecond <= 0:
		l.bucket = nil
	case l.bucket == nil:
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), 1)
		l.bucket.AllowN(now, 1)
	default:
		l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	}
}

// Heard records that a response to any instance, which arrived at the given time, named the
// limit.
func (l *LimitShare) Heard(at time.Time) {
	if at.After(l.heardAt) {
		l.heardAt = at
	}
}

// Admits reports whether a request may be sent now.
func (l *LimitShare) Admits(now time.Time) bool {
	if l.bucket == nil {
		return now.Sub(l.heardAt) >= shareTrialInterval
	}
	return l.bucket.TokensAt(now) >= 1
}

// Take records that a request is sent.
func (l *LimitShare) Take(now time.Time) {
	if l.bucket == nil {
		l.heardAt = now
		return
	}
	l.bucket.AllowN(now, 1)
}

// PerSecond returns the rate of the share, 0 without one.
func (l *LimitShare) PerSecond() float64 {
	if l.bucket == nil {
		return 0
	}
	return float64(l.bucket.Limit())
}

// Wait returns the time until the share admits a request. It must not be called without a
// share.
func (l *LimitShare) Wait(now time.Time) time.Duration {
	missing := 1 - l.bucket.TokensAt(now)
	return Duration(missing / l.PerSecond())
}
