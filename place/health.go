package place

import "time"

// Parameters of Health.
const (
	// failureWeight is the weight of a new result in the moving average of
	// failures, which thus covers about ten answers.
	failureWeight = 0.1
	// maxFailureRate is the share of failures at which an endpoint is avoided.
	// It is well above the failures of healthy endpoints, whose applications answer
	// up to a seventh of calls with errors of their own.
	maxFailureRate = 0.35
	// minBackoff and maxBackoff bound how long an unreachable endpoint gets no
	// requests. minBackoff is shorter than a restart takes; maxBackoff is the
	// time of three heartbeats, after which the platform no longer lists an endpoint
	// that has stopped.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// trialInterval is the time between trials, the single requests that are sent
	// to an endpoint after a backoff until one succeeds. It is longer than
	// connecting takes.
	trialInterval = 500 * time.Millisecond
	// failureHalvingTime is the time without requests after which the failure
	// rate counts half, so that an avoided endpoint gets requests again.
	failureHalvingTime = 2 * time.Second
	// reachedTime is how long an answer shows that an endpoint is reachable.
	reachedTime = 500 * time.Millisecond
	// minWitnesses is the number of instances that must have failed to reach an endpoint
	// for the others to avoid it: one alone may be cut off itself.
	minWitnesses = 2
)

// Health tracks an endpoint's reliability as seen by one instance. It does no
// I/O; callers pass in the time. It is not safe for concurrent use.
type Health struct {
	failureRate  float64       // moving average of the share of failures, as of updated
	updated      time.Time     // time of the last result
	backoff      time.Duration // length of the last backoff, 0 after a success
	backoffUntil time.Time     // end of the backoff, or of the trialInterval after the last trial
	reachedAt    time.Time     // time of the last success
	failedAt     time.Time     // time of the last failure to connect, zero after a success or a connection
}

// RecordSuccess records a successful answer and ends any backoff.
func (h *Health) RecordSuccess(now time.Time) {
	h.record(0, now)
	h.backoff = 0
	h.backoffUntil = time.Time{}
	h.reachedAt = now
	h.failedAt = time.Time{}
}

// RecordConnected records that a connection could be opened outside of a request, which
// ends a backoff. The next backoff is as long as if there had been no connection: a
// process that hangs accepts connections, too.
func (h *Health) RecordConnected(now time.Time) {
	if now.Before(h.backoffUntil) {
		h.backoffUntil = now
	}
	h.failedAt = time.Time{}
}

// RecordNotConnected records that no connection could be opened outside of a request.
func (h *Health) RecordNotConnected(now time.Time) { h.failedAt = now }

// Unreachable reports whether the last connection failed or was lost, no longer than
// maxBackoff ago.
func (h *Health) Unreachable(now time.Time) bool {
	return !h.failedAt.IsZero() && now.Sub(h.failedAt) <= maxBackoff
}

// Reached reports whether the endpoint has answered within reachedTime.
func (h *Health) Reached(now time.Time) bool {
	return !h.reachedAt.IsZero() && now.Sub(h.reachedAt) <= reachedTime
}

// IsDark reports whether an endpoint should be taken for unreachable by an instance that
// has not tried it, given the number of other instances that it has lately answered and
// of those that failed to reach it.
//
// Load pattern: a quarter of the engines go dark before hundreds of instances. If each
// instance learns for itself that an engine is dark, each loses requests to each of them.
func IsDark(reached, unreachable int) bool { return reached == 0 && unreachable >= minWitnesses }

// RecordFailure records a failure that a reachable endpoint caused itself. It
// starts no backoff; for a lost connection, see RecordUnreachable.
func (h *Health) RecordFailure(now time.Time) { h.record(1, now) }

// RecordUnreachable records that a connection failed or was lost. The endpoint then
// gets no requests for a backoff that doubles each time, up to maxBackoff.
// Failures during a backoff do not extend it.
func (h *Health) RecordUnreachable(now time.Time) {
	h.record(1, now)
	h.failedAt = now
	if now.Before(h.backoffUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.backoffUntil = now.Add(h.backoff)
}

// RecordSent records that a request is sent to the endpoint. After a backoff, only
// one request per trialInterval is sent until one succeeds.
//
// Load pattern: an endpoint behind a network partition never answers what is
// sent to it. All requests that arrive at the end of a backoff would be lost
// together.
func (h *Health) RecordSent(now time.Time) {
	if h.backoff > 0 && !now.Before(h.backoffUntil) {
		h.backoffUntil = now.Add(trialInterval)
	}
}

// record adds a result to the failure rate; sample is 1 for a failure, else 0.
func (h *Health) record(sample float64, now time.Time) {
	h.failureRate = (1-failureWeight)*h.decayedFailureRate(now) + failureWeight*sample
	h.updated = now
}

// decayedFailureRate returns the failure rate, reduced by the time since the
// last result.
func (h *Health) decayedFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	age := max(now.Sub(h.updated), 0)
	return h.failureRate / (1 + float64(age)/float64(failureHalvingTime))
}

// Usable reports whether the endpoint should get requests. An endpoint that is not
// usable should get them only if no usable one can take them.
func (h *Health) Usable(now time.Time) bool {
	return !now.Before(h.backoffUntil) && h.decayedFailureRate(now) < maxFailureRate
}
