package place

import "time"

// Rejection is the time for which an instance sends nothing to an endpoint that has rejected
// a request because it is full. It does no I/O; callers pass in the time. It is not safe for
// concurrent use.
//
// Load pattern: all slots of a service are taken for some tens of ms. A request that is
// rejected finds the same endpoint full again some ms later, and uses up its retries.
type Rejection struct {
	until  time.Time
	length time.Duration // of the latest pause, 0 after the endpoint has executed a request
}

const (
	// minRejectionPause is the time between reports of other instances, and that of a call of
	// a service without engines.
	minRejectionPause = 60 * time.Millisecond
	maxRejectionPause = 480 * time.Millisecond
)

// Record records that the endpoint rejected a request.
func (r *Rejection) Record(now time.Time) {
	if r.Active(now) {
		return
	}
	r.length = min(max(2*r.length, minRejectionPause), maxRejectionPause)
	r.until = now.Add(r.length)
}

// RecordExecuted records that the endpoint has executed a request.
func (r *Rejection) RecordExecuted() { r.length = 0 }

// End ends the pause: a request of this instance has ended at the endpoint.
func (r *Rejection) End() { r.until = time.Time{} }

// Active reports whether the endpoint gets nothing at now.
func (r *Rejection) Active(now time.Time) bool { return now.Before(r.until) }

// Left returns how long the pause still lasts.
func (r *Rejection) Left(now time.Time) time.Duration { return max(r.until.Sub(now), 0) }
