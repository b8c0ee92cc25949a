package team

import "time"

const (
	// smoothing is the weight of the last interval in a team's demand.
	smoothing = 0.5
	// surgeDecay is what is left of a surge after an interval.
	surgeDecay = 0.9
	// spare is the number of requests that an instance may admit above its part
	// of the burst. With one, every first request would lead to an exchange.
	spare = 2
)

// bucket is one team's token bucket at one instance. Its tokens never exceed
// capacity; a share that shrinks takes the tokens above the capacity away.
type bucket struct {
	rate, burst float64 // the team's limit over the deployment
	tokens      float64
	at          time.Time // when tokens was brought up to date
	share       float64   // lent by the home
	sent        int64     // the ask that share answers, own milliseconds since the start
	until       time.Time // end of the lease
	arrivals    float64   // since the last tick
	arrived     float64   // in the interval before
	refused     float64   // since the last tick
	surge       float64   // portion whose burst would have admitted the refused
	demand      float64   // smoothed arrivals a second
	used        time.Time // last request
	slot        time.Time // when the last refused caller was told to come back
}

// portion returns the instance's part of the limit.
func (b *bucket) portion(floor float64, now time.Time) float64 {
	if now.Before(b.until) {
		return floor + b.share
	}
	return floor
}

// capacity is the instance's part of the burst and the spare requests: an
// instance with a small part must be able to admit one.
func (b *bucket) capacity(portion float64) float64 { return spare + portion*b.burst }

// refill brings the tokens up to date. A lease that ended in between counts
// only until its end.
func (b *bucket) refill(floor float64, now time.Time) {
	if b.at.Before(b.until) && b.until.Before(now) {
		b.advance(floor+b.share, b.until)
	}
	b.advance(b.portion(floor, now), now)
}

func (b *bucket) advance(portion float64, to time.Time) {
	elapsed := max(0, to.Sub(b.at).Seconds())
	b.tokens = min(b.tokens+elapsed*portion*b.rate, b.capacity(portion))
	b.at = to
}

// take takes a token if there is one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// settle ends an interval: it brings the demand and the surge up to date. The
// surge decays slowly, or a share would shrink as soon as it suffices.
func (b *bucket) settle(floor float64, interval time.Duration, now time.Time) {
	b.demand += smoothing * (b.arrivals/interval.Seconds() - b.demand)
	b.surge *= surgeDecay
	if b.refused > 0 && b.burst > 0 {
		b.surge = max(b.surge, min(1, b.portion(floor, now)+b.refused/b.burst))
	}
	b.arrived, b.arrivals, b.refused = b.arrivals, 0, 0
}

// need returns the part of the limit that the instance needs for the arrivals
// that it expects and the token that the next one takes.
func (b *bucket) need(interval time.Duration) float64 {
	tokens := b.demand*interval.Seconds() + max(0, 1-b.tokens)
	return tokens / interval.Seconds() / b.rate
}

// nextSlot returns when the next refused caller should come back. Each gets a
// slot of its own, spaced as the tokens come.
func (b *bucket) nextSlot(portion float64, now time.Time, limit time.Duration) time.Duration {
	latest := now.Add(limit)
	perToken := limit
	if rate := portion * b.rate; rate*limit.Seconds() > 1 {
		perToken = time.Duration(float64(time.Second) / rate)
	}
	if b.slot.Before(now) {
		b.slot = now
	}
	b.slot = b.slot.Add(perToken)
	if b.slot.After(latest) {
		b.slot = latest
	}
	return b.slot.Sub(now)
}
