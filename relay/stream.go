package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"redwingknot/membudget"
	"redwingknot/upstream"
)

const (
	// streamBufferSize is the initial buffer size in bytes. It holds a usual event;
	// the buffer grows for larger ones.
	streamBufferSize = 2 << 10
	// maxEventSize is the maximum size in bytes of an event, which is buffered in
	// memory.
	maxEventSize = 1 << 20
	// answeringTime is how long a stream has gone on when no part of its prompt is taken to
	// crash the endpoint: one that does ends the process as the response begins.
	answeringTime = 100 * time.Millisecond
)

// relayStream relays the events of a stream, only complete ones, each once and in order. It
// omits events that the caller has already received from an earlier attempt.
func (c *callerRequest) relayStream(ctx context.Context, p *pick, res *upstream.Response, sent time.Time) outcome {
	reply := c.server.opts.Dialect.ParseReply(res.Status, res.Header)
	if !reply.Stamped || res.Header.Get("Content-Encoding") != "" {
		return c.handleLost(ctx, p, &StatusError{Status: res.Status})
	}
	memory := p.endpoint.memory.Hold()
	defer memory.Release()
	buf := make([]byte, 0, streamBufferSize)
	var firstData time.Time
	pauses := &enginePauses{endpoints: c.server.endpoints, pick: p}
	defer pauses.end()
	var progress eventProgress
	if err := c.sequence.beginAttempt(res, p.spec.Key(), c.server.endpoints.eventNumbering(p.spec)); err != nil {
		return c.handleOutOfOrder(ctx, p, err)
	}
	defer func() { c.server.endpoints.recordEventNumbers(p.spec, &c.sequence.attemptEvents) }()
	for {
		if len(buf) >= maxEventSize {
			return c.handleLost(ctx, p, &EventTooLargeError{})
		}
		var err error
		if buf, err = memory.Grow(buf, maxEventSize); err != nil {
			return c.handleLost(ctx, p, err)
		}
		searched := len(buf)
		n, err := res.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		complete := completeEventsLength(buf, searched)
		if complete > 0 && firstData.IsZero() {
			c.server.endpoints.recordBegun(p, c.query)
		}
		if complete > 0 {
			if c.timeToFirstData == 0 {
				c.timeToFirstData = time.Since(c.arrivedAt)
				c.server.endpoints.recordFirstData(p, c.query, time.Since(sent))
			}
			pauses.recordEvent(time.Now())
			next, taken, orderErr := c.sequence.take(buf[:complete])
			if len(next) > 0 {
				c.recordOrigin(p)
				if !c.writeEvents(next, res) {
					return outcomeCallerGone
				}
			}
			if orderErr != nil {
				return c.handleOutOfOrder(ctx, p, orderErr)
			}
			pauses.waitFrom(time.Now())
			c.considerMove(p, res)
			if firstData.IsZero() {
				firstData = time.Now()
				c.recordFirstEvents(p)
			} else if time.Since(firstData) >= answeringTime {
				c.run.Answering()
			}
			buf = cutEvents(buf, taken, &memory)
		}
		c.limitStall(&progress, res, c.begunBytes(buf))
		switch {
		case err != nil && err != io.EOF && c.hasStoppedToMove(ctx, p, err):
			return outcomeMoved
		case err == io.EOF && c.sequence.held >= 0:
			return c.handleOutOfOrder(ctx, p, c.sequence.end())
		case err == io.EOF && (len(bytes.Trim(buf, "\n")) > 0 || c.isEmptyUnframed(res) || c.brokeOff(ctx, p, res)):
			return c.handleLost(ctx, p, io.ErrUnexpectedEOF)
		case err == io.EOF:
			if err := c.sequence.end(); err != nil {
				return c.handleOutOfOrder(ctx, p, err)
			}
			c.sendHeader(res)
			c.query.pauses.finish(c.route)
			return outcomeDelivered
		case err != nil:
			return c.handleLost(ctx, p, c.stallError(err, len(buf)))
		}
	}
}

// begunBytes returns the number of bytes of an event that has begun, of what is buffered.
func (c *callerRequest) begunBytes(buf []byte) int {
	if c.sequence.held < 0 {
		return len(buf)
	}
	return len(buf) - completeEventsLength(buf, 0)
}

// cutEvents returns what follows the complete events at the start of buf, in a buffer of the
// usual size if it fits.
func cutEvents(buf []byte, complete int, memory *membudget.Hold) []byte {
	rest := buf[complete:]
	if cap(buf) <= membudget.FreeBytes || len(rest) >= streamBufferSize {
		return append(buf[:0], rest...)
	}
	rest = append(make([]byte, 0, streamBufferSize), rest...)
	memory.Release()
	return rest
}

// isEmptyUnframed reports whether a stream that has ended with its connection had no event,
// although it was not resumed: then none may be left.
func (c *callerRequest) isEmptyUnframed(res *upstream.Response) bool {
	return res.Unframed && c.sequence.last < 0 && !c.sequence.unnamed
}

// sendHeader sends the response header to the caller unless an earlier attempt
// has done so.
func (c *callerRequest) sendHeader(res *upstream.Response) {
	if c.headerSent {
		return
	}
	c.headerSent = true
	c.server.opts.Dialect.CopyReplyHeaders(c.w.Header(), res.Header)
	c.writeHeader(res.Status)
}

// writeEvents sends complete events to the caller and flushes them. It reports
// whether that succeeded.
func (c *callerRequest) writeEvents(events []byte, res *upstream.Response) bool {
	c.sendHeader(res)
	if _, err := c.w.Write(events); err != nil {
		return false
	}
	err := http.NewResponseController(c.w).Flush()
	c.query.pauses.recordEvent(c.route, time.Now())
	return err == nil
}

// EventTooLargeError reports an event that is larger than maxEventSize.
type EventTooLargeError struct{}

// Error implements error.
func (*EventTooLargeError) Error() string {
	return "event exceeds the limit of " + strconv.Itoa(maxEventSize) + " bytes"
}
