package relay

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/event"
	"redwingknot/metric"
	"redwingknot/upstream"
)

const (
	// eventStallTime is how long an endpoint may take for stallBytes of an event that it has
	// begun. It is above the time after which an endpoint that acknowledges nothing is given up,
	// 3.5 s, so that one which is silent for a second or two is not.
	eventStallTime = 4 * time.Second
	// stallBytes is more than an endpoint that sends a byte now and then sends in
	// eventStallTime, and less than a usual event has on the slowest links.
	stallBytes = 512
)

// StalledError reports a stream whose endpoint did not continue an event that it had begun.
type StalledError struct{ Bytes int }

// Error implements error.
func (e *StalledError) Error() string { return "the endpoint does not go on with an event" }

// eventProgress decides how long to wait for the rest of an event. The zero value is a stream
// between two events.
//
// Load pattern: an endpoint hangs inside an event, or sends a byte now and then and never
// completes one. A healthy endpoint writes an event at once; however slow it is, its gaps lie
// between events, so that it is never given up for them.
type eventProgress struct {
	since time.Time // when the event had the given number of bytes, zero between events
	bytes int
}

// waitUntil returns the time until which to wait for more of an event of which the given number
// of bytes has arrived at now, the zero time for no limit.
func (p *eventProgress) waitUntil(bytes int, now time.Time) time.Time {
	switch {
	case bytes == 0:
		*p = eventProgress{}
		return time.Time{}
	case p.since.IsZero() || bytes < p.bytes || bytes >= p.bytes+stallBytes:
		*p = eventProgress{since: now, bytes: bytes}
	}
	return p.since.Add(eventStallTime)
}

// limitStall sets the time at which the next read of a stream fails if the endpoint does not go on
// with the event of which the given number of bytes has arrived. There is a limit only if the
// stream may go on elsewhere: otherwise the endpoint has until the deadline.
func (c *callerRequest) limitStall(progress *eventProgress, res *upstream.Response, bytes int) {
	limited := !progress.since.IsZero()
	until := progress.waitUntil(bytes, time.Now())
	mayResume := c.route.Resumable && !c.query.unresumable && c.sequence.mayResume() && c.possibleExecutions < c.route.MaxAttempts
	if mayResume && (limited || !until.IsZero()) {
		res.SetReadDeadline(until)
	}
}

// stallError returns the error of a read that failed with err: a *StalledError if it was limited
// by limitStall.
func (c *callerRequest) stallError(err error, bytes int) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	metric.Counter("streams_stalled_total", "service", c.query.service).Inc(1)
	event.StreamStalled.Log(c.server.opts.Log, c.logAttrs()...)
	return &StalledError{Bytes: bytes}
}
