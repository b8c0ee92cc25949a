package event

import "log/slog"

// Events of the end of callers' requests and streams that are not whole.
var (
	RequestsCutOff  = define(rangeRelay+65, "requests-cut-off", slog.LevelWarn, "The grace period is nearly over while requests are pending: those without a response are refused, and responses of which a part was sent are aborted. The attribute is the number of callers' connections.", "If this happens often, compare the grace period with the timeouts of the routes.")
	StreamIrregular = define(rangeRelay+67, "stream-irregular", slog.LevelWarn, "A response does not go on with its stream; the attempt was given up. The attribute fault says why: an event was repeated (repeated), one is missing before it (missing), it has no identifier (unnamed), it holds the head of another response (foreign), there is none after those that the caller has (no_event), or the response is no event stream (content_type). The attribute had is the last event that the caller has.", "Check the endpoint's software.")
	StreamStalled   = define(rangeRelay+66, "stream-stalled", slog.LevelWarn, "An endpoint began an event of a stream that may be resumed and sent next to nothing more of it for some time; the attempt was given up.", "If this lasts, check the endpoint.")
)
