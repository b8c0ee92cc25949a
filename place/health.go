package place

import "time"

// Figures of Health.
const (
	// failureWeight makes the share of failures one over about ten answers.
	failureWeight = 0.1
	// maxFailing is the share of failures from which an endpoint is avoided;
	// healthy applications answer up to a seventh of calls with errors of their
	// own.
	maxFailing = 0.35
	// firstPause and maxPause bound how long an endpoint without a connection
	// is left alone; the first is below the time that a restart takes, the last
	// is that of three heartbeats, after which its entry is gone.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
	// trialTime is how long a single request may show whether an endpoint can be
	// reached again before another one tries: above the time to connect.
	trialTime = 500 * time.Millisecond
	// forget halves the share of failures when nothing is sent, so that an
	// endpoint is tried again.
	forget = 2 * time.Second
)

// Health is what an instance saw of an endpoint's reliability. It is pure state
// and not safe for concurrent use.
type Health struct {
	failing  float64 // smoothed share of failures
	seen     time.Time
	pause    time.Duration
	pausedTo time.Time
}

// RecordSuccess records an answer in order.
func (h *Health) RecordSuccess(now time.Time) {
	h.fold(0, now)
	h.pause = 0
	h.pausedTo = time.Time{}
}

// RecordFailure records a failure of the endpoint's own.
func (h *Health) RecordFailure(now time.Time) { h.fold(1, now) }

// RecordUnreachable records that no connection could be made, or that one was lost:
// the endpoint is left alone for a while, twice as long each time.
func (h *Health) RecordUnreachable(now time.Time) {
	h.fold(1, now)
	if now.Before(h.pausedTo) {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), maxPause)
	h.pausedTo = now.Add(h.pause)
}

// RecordSent records that a request goes to the endpoint. After a pause only one at
// a time does, until there was an answer.
//
// Load pattern: an endpoint behind a cut takes what is sent to it in silence;
// whatever arrives at the end of a pause would be lost together.
func (h *Health) RecordSent(now time.Time) {
	if h.pause > 0 && !now.Before(h.pausedTo) {
		h.pausedTo = now.Add(trialTime)
	}
}

func (h *Health) fold(failure float64, now time.Time) {
	h.failing = (1-failureWeight)*h.share(now) + failureWeight*failure
	h.seen = now
}

// share is the share of failures, which fades with time.
func (h *Health) share(now time.Time) float64 {
	age := max(now.Sub(h.seen), 0)
	return h.failing / (1 + float64(age)/float64(forget))
}

// Usable reports whether the endpoint should get requests while others can
// take them.
func (h *Health) Usable(now time.Time) bool {
	return !now.Before(h.pausedTo) && h.share(now) < maxFailing
}
