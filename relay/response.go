package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"redwingknot/upstream"
)

// maxBufferedResponse is the size in bytes below which a response is read
// completely before any of it is sent to the caller, so that the request can be
// retried if the response breaks off.
const maxBufferedResponse = 256 << 10

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
	c.w.WriteHeader(r.status)
	// A write error means that the caller is gone; there is nobody to report it to.
	_, _ = c.w.Write(r.body)
}

// relayResponse relays a response that is not an event stream.
func (c *callerRequest) relayResponse(ctx context.Context, p *pick, res *upstream.Response, sent time.Time) outcome {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedResponse))
	if err != nil {
		return c.handleLost(ctx, p, err)
	}
	c.timeToFirstData = time.Since(c.arrivedAt)
	c.server.endpoints.recordFirstData(p, c.query, time.Since(sent))
	buffered := &bufferedResponse{status: res.Status, header: res.Header, body: body}
	if !c.returnable(res) {
		// An endpoint that asks for a pause is busy, not at fault.
		if c.server.opts.Dialect.ParseReply(res.Status, res.Header).Notice.Pause == 0 {
			c.server.endpoints.recordFailure(p, false)
		}
		c.lastErr = &StatusError{Status: res.Status}
		if impliesNotExecuted(res.Status) || !c.server.opts.Dialect.ParseReply(res.Status, res.Header).Stamped {
			return outcomeUnknown
		}
		c.failureResponse = buffered
		return outcomeEndpointFailed
	}
	if len(body) < maxBufferedResponse {
		if c.method != http.MethodHead && !c.bodyEnded(res) {
			return c.handleLost(ctx, p, io.ErrUnexpectedEOF)
		}
		buffered.writeTo(c)
		return outcomeDelivered
	}
	return c.relayLongResponse(ctx, p, res, buffered)
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
// holds its header and the part of the body that has been read.
func (c *callerRequest) relayLongResponse(ctx context.Context, p *pick, res *upstream.Response, buffered *bufferedResponse) outcome {
	h := c.w.Header()
	c.server.opts.Dialect.CopyReplyHeaders(h, buffered.header)
	if res.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(res.Length, 10))
	}
	c.headerSent = true
	c.w.WriteHeader(buffered.status)
	if _, err := c.w.Write(buffered.body); err != nil {
		return outcomeCallerGone
	}
	if _, err := io.Copy(c.w, res.Body); err != nil {
		return c.handleLost(ctx, p, err)
	}
	return outcomeDelivered
}

// StatusError reports a response that may not be returned to the caller because
// of its status, its content encoding or a missing stamp. Status is its HTTP
// status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "unusable response: " + http.StatusText(e.Status) }
