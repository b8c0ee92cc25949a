package team

import "time"

const (
	// demandSmoothing is the weight of the last interval in the moving average of a
	// team's demand.
	demandSmoothing = 0.5
	// surgeDecayFactor is the fraction of a surge that remains after an interval.
	surgeDecayFactor = 0.9
	// spareTokens is the number of requests that an instance may admit above its part
	// of the burst. With only 1, the first request of every team would cause a
	// message exchange.
	spareTokens = 2
)

// bucket is the token bucket of one team at one instance. Its tokens never exceed
// capacity: when the share shrinks, excess tokens are discarded.
type bucket struct {
	rate, burst   float64 // the team's limit over the whole deployment, in requests per second and requests
	tokens        float64
	updatedAt     time.Time // when tokens was last updated
	leasedShare   float64   // fraction of the limit granted by the home
	grantedAskMs  int64     // time of the ask for which leasedShare was granted, in milliseconds since this limiter started
	leaseEnd      time.Time // end of the lease of leasedShare
	arrivals      float64   // requests since the last tick
	lastArrivals  float64   // requests in the interval before the last tick
	refused       float64   // requests refused since the last tick
	surge         float64   // fraction of the limit with which no request of the recent bursts would have been refused
	demand        float64   // smoothed arrivals per second
	lastUsed      time.Time // time of the last request
	lastRetrySlot time.Time // when the last refused caller was told to retry, before jitter
}

// limitFraction returns the fraction of the limit that this instance may use:
// ownFloor, which is its part of the floor, and while the lease lasts, the leased
// share.
func (b *bucket) limitFraction(ownFloor float64, now time.Time) float64 {
	if now.Before(b.leaseEnd) {
		return ownFloor + b.leasedShare
	}
	return ownFloor
}

// capacity returns the maximum number of tokens: the instance's part of the burst
// plus spareTokens, because an instance with a small part must be able to admit a
// request, too.
func (b *bucket) capacity(fraction float64) float64 { return spareTokens + fraction*b.burst }

// refill adds the tokens earned since the last update. A lease that ended in between
// counts only until its end.
func (b *bucket) refill(ownFloor float64, now time.Time) {
	if b.updatedAt.Before(b.leaseEnd) && b.leaseEnd.Before(now) {
		b.refillTo(ownFloor+b.leasedShare, b.leaseEnd)
	}
	b.refillTo(b.limitFraction(ownFloor, now), now)
}

// refillTo adds the tokens earned up to the given time at a fraction of the limit.
func (b *bucket) refillTo(fraction float64, to time.Time) {
	elapsed := max(0, to.Sub(b.updatedAt).Seconds())
	b.tokens = min(b.tokens+elapsed*fraction*b.rate, b.capacity(fraction))
	b.updatedAt = to
}

// takeToken takes one token and reports whether there was one.
func (b *bucket) takeToken() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// endInterval updates the demand and the surge at the end of an interval. The surge
// decays slowly; otherwise a share would shrink as soon as it is sufficient.
func (b *bucket) endInterval(ownFloor float64, interval time.Duration, now time.Time) {
	b.demand += demandSmoothing * (b.arrivals/interval.Seconds() - b.demand)
	b.surge *= surgeDecayFactor
	if b.refused > 0 && b.burst > 0 {
		b.surge = max(b.surge, min(1, b.limitFraction(ownFloor, now)+b.refused/b.burst))
	}
	b.lastArrivals, b.arrivals, b.refused = b.arrivals, 0, 0
}

// neededFraction returns the fraction of the limit that the instance needs for the
// expected arrivals and, if there is less than one token, for the next request.
func (b *bucket) neededFraction(interval time.Duration) float64 {
	tokens := b.demand*interval.Seconds() + max(0, 1-b.tokens)
	return tokens / interval.Seconds() / b.rate
}

// nextRetryDelay returns the delay after which a refused caller should retry, at most
// maxDelay. Each caller gets a slot of its own; the slots are spaced by the time in
// which one token is earned.
func (b *bucket) nextRetryDelay(fraction float64, now time.Time, maxDelay time.Duration) time.Duration {
	latest := now.Add(maxDelay)
	perToken := maxDelay
	if rate := fraction * b.rate; rate*maxDelay.Seconds() > 1 {
		perToken = time.Duration(float64(time.Second) / rate)
	}
	if b.lastRetrySlot.Before(now) {
		b.lastRetrySlot = now
	}
	b.lastRetrySlot = b.lastRetrySlot.Add(perToken)
	if b.lastRetrySlot.After(latest) {
		b.lastRetrySlot = latest
	}
	return b.lastRetrySlot.Sub(now)
}
