package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/event"
	"redwingknot/membudget"
	"redwingknot/metric"
	"redwingknot/upstream"
)

// maxBufferedResponse is the size in bytes below which a response is read
// completely before any of it is sent to the caller, so that the request can be
// retried if the response breaks off.
const maxBufferedResponse = 256 << 10

// maxResponseBytes is the largest body of a response that is not an event stream. More is
// taken for bytes without end.
const maxResponseBytes = 64 << 20

// deadlineMargin is how much earlier than this instance an endpoint may stop at the deadline of
// a request, whose response then ends with its connection.
const deadlineMargin = 20 * time.Millisecond

// ResponseTooLargeError reports a response whose body is larger than its limit:
// maxBufferedResponse for a failure, maxResponseBytes for others.
type ResponseTooLargeError struct{ Limit int }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return "the body of the response exceeds the limit of " + strconv.Itoa(e.Limit) + " bytes"
}

// countEndlessResponse counts an attempt that was given up because a part of the response
// exceeded its limit, or any part found no room beside the responses of the same endpoint.
func countEndlessResponse(err error, service string) {
	part := ""
	var head *upstream.HeadTooLargeError
	var body *ResponseTooLargeError
	var event *EventTooLargeError
	var memory *membudget.ExceededError
	switch {
	case errors.As(err, &head):
		part = "head"
	case errors.As(err, &body):
		part = "body"
	case errors.As(err, &event):
		part = "event"
	case errors.As(err, &memory):
		part = "any"
	default:
		return
	}
	metric.Counter("endless_responses_total", "service", service, "part", part).Inc(1)
}

// bufferedResponse holds an endpoint's response, or the first
// maxBufferedResponse bytes of a longer one.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeTo sends a complete response to the caller of c.
func (r *bufferedResponse) writeTo(c *callerRequest) {
	h := c.w.Header()
	c.server.opts.Dialect.CopyReplyHeaders(h, r.header)
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	c.headerSent = true
	c.writeHeader(r.status)
	// A write error means that the caller is gone; there is nobody to report it to.
	_, _ = c.w.Write(r.body)
}

// relayResponse relays a response that is not an event stream.
func (c *callerRequest) relayResponse(ctx context.Context, p *pick, res *upstream.Response, sent time.Time) outcome {
	if res.Length > maxResponseBytes {
		return c.handleLost(ctx, p, &ResponseTooLargeError{Limit: maxResponseBytes})
	}
	if !c.isEndpointsOwn(res) {
		return c.handleUnusable(p, res)
	}
	memory := p.endpoint.memory.Hold()
	defer func() { memory.Release() }()
	body, err := memory.ReadAll(res.Body, maxBufferedResponse)
	if err != nil {
		return c.handleLost(ctx, p, err)
	}
	c.timeToFirstData = time.Since(c.arrivedAt)
	c.server.endpoints.recordBegun(p, c.query)
	c.server.endpoints.recordFirstData(p, c.query, time.Since(sent))
	buffered := &bufferedResponse{status: res.Status, header: res.Header, body: body}
	if !c.returnable(res) {
		if len(body) == maxBufferedResponse && !c.bodyEnded(res) {
			return c.handleLost(ctx, p, &ResponseTooLargeError{Limit: maxBufferedResponse})
		}
		if c.brokeOff(ctx, p, res) {
			return c.handleLost(ctx, p, io.ErrUnexpectedEOF)
		}
		c.handleUnusable(p, res)
		c.keepFailure(buffered, memory)
		memory = membudget.Hold{}
		return outcomeEndpointFailed
	}
	if len(body) < maxBufferedResponse {
		if c.method != http.MethodHead && !c.bodyEnded(res) || c.lacksBody(res, body) || c.brokeOff(ctx, p, res) {
			return c.handleLost(ctx, p, io.ErrUnexpectedEOF)
		}
		buffered.writeTo(c)
		return outcomeDelivered
	}
	return c.relayLongResponse(ctx, p, res, buffered, &memory)
}

// keepFailure keeps a failure that an endpoint reported, with its memory, in place of an earlier
// one.
func (c *callerRequest) keepFailure(r *bufferedResponse, memory membudget.Hold) {
	c.failureMemory.Release()
	c.failureResponse, c.failureMemory = r, memory
}

// isEndpointsOwn reports whether a response bears the stamp of an endpoint's own response,
// and no status that only the relay may give its caller. The body of any other response is
// not read.
func (c *callerRequest) isEndpointsOwn(res *upstream.Response) bool {
	return !impliesNotExecuted(res.Status) && c.server.opts.Dialect.ParseReply(res.Status, res.Header).Stamped
}

// handleUnusable ends an attempt whose response may not be returned to the caller.
func (c *callerRequest) handleUnusable(p *pick, res *upstream.Response) outcome {
	// An endpoint that asks for a pause is busy, not at fault.
	if c.server.opts.Dialect.ParseReply(res.Status, res.Header).Notice.Pause == 0 {
		c.server.endpoints.recordFailure(p, false)
	}
	c.lastErr = &StatusError{Status: res.Status}
	return outcomeUnknown
}

// bodyEnded reports whether the response body has been read completely. It tries to
// read one more byte: the connection can be reused only after the end of the body
// was read.
func (c *callerRequest) bodyEnded(res *upstream.Response) bool {
	var b [1]byte
	n, err := res.Body.Read(b[:])
	return n == 0 && err == io.EOF
}

// returnable reports whether a response may be returned to the caller: it bears
// the stamp of an endpoint's own response, has no content encoding, and its status
// is a success or reports an error of the caller.
func (c *callerRequest) returnable(res *upstream.Response) bool {
	stamped := c.server.opts.Dialect.ParseReply(res.Status, res.Header).Stamped
	return stamped && res.Header.Get("Content-Encoding") == "" && res.Status < http.StatusInternalServerError && !impliesNotExecuted(res.Status)
}

// impliesNotExecuted reports whether a status tells a caller that its request
// was not executed. Such a status must not be forwarded unless the endpoint also
// states explicitly that it did not execute the request.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// relayLongResponse relays a response that is too long to be buffered. buffered
// holds its header and the part of the body that has been read, whose memory is released once that
// part is sent.
func (c *callerRequest) relayLongResponse(ctx context.Context, p *pick, res *upstream.Response, buffered *bufferedResponse, memory *membudget.Hold) outcome {
	h := c.w.Header()
	c.server.opts.Dialect.CopyReplyHeaders(h, buffered.header)
	if res.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(res.Length, 10))
	}
	c.headerSent = true
	c.writeHeader(buffered.status)
	if _, err := c.w.Write(buffered.body); err != nil {
		return outcomeCallerGone
	}
	buffered.body = nil
	memory.Release()
	n, err := io.Copy(c.w, io.LimitReader(res.Body, maxResponseBytes))
	switch {
	case err != nil:
		return c.handleLost(ctx, p, err)
	case n == maxResponseBytes && !c.bodyEnded(res):
		return c.handleLost(ctx, p, &ResponseTooLargeError{Limit: maxResponseBytes})
	case c.brokeOff(ctx, p, res):
		return c.handleLost(ctx, p, io.ErrUnexpectedEOF)
	}
	return outcomeDelivered
}

// brokeOff reports whether a response that has ended is not known to be whole.
func (c *callerRequest) brokeOff(ctx context.Context, p *pick, res *upstream.Response) bool {
	if c.endedAtDeadline(res) {
		<-ctx.Done() // the request ends as others do at their deadline
		return true
	}
	if !res.Unframed {
		return false
	}
	end := c.server.endpoints.lookAfterEnd(ctx, p.endpoint, res.SentAt)
	c.recordUnframedEnd(end)
	return end != endWhole
}

// lacksBody reports whether a success has neither a length, nor chunks, nor a body. The endpoint
// may have stopped after the head and go on as a process.
func (c *callerRequest) lacksBody(res *upstream.Response, body []byte) bool {
	lacks := res.Unframed && len(body) == 0 && isSuccess(res.Status) && res.Status != http.StatusResetContent
	if lacks {
		c.recordUnframedEnd(endEmpty)
	}
	return lacks
}

// recordUnframedEnd records what is known of the end of a response.
func (c *callerRequest) recordUnframedEnd(end unframedEnd) {
	metric.Counter("unframed_ends_total", "service", c.query.service, "end", end.String()).Inc(1)
	if end != endWhole {
		event.UnframedEnd.Log(c.server.opts.Log, append(c.logAttrs(), slog.String("end", end.String()), slog.Int64("lastEvent", c.sequence.last))...)
	}
}

// endedAtDeadline reports whether the endpoint may have ended a response because it stopped at
// the deadline of the request. A response with a length shows whether it is whole.
func (c *callerRequest) endedAtDeadline(res *upstream.Response) bool {
	margin := time.Duration(0)
	if res.Unframed {
		margin = deadlineMargin
	}
	return res.Length < 0 && time.Until(c.deadline) <= margin
}

// StatusError reports a response that may not be returned to the caller because
// of its status, its content encoding or a missing stamp. Status is its HTTP
// status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "unusable response: " + http.StatusText(e.Status) }
