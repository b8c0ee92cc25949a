// Package stall limits calls by the progress of their responses: a response may take as
// long as its bytes need on the link, but the time without any byte is bounded.
//
// Load pattern: hundreds of instances on links of different bandwidth read values of
// which the largest takes a hundred times as long as the usual one. A limit on the
// whole call is either too long for a peer that is silent or too short for a large
// response, which is then begun again and never completes.
package stall

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"redwingknot/membudget"
)

// Limits bound a call. All of them must be positive.
type Limits struct {
	Response time.Duration // from the start of the call until the response's header has arrived
	Gap      time.Duration // without a byte of the response's body
	Total    time.Duration // of the whole call
}

// Error reports that a call was given up because one of its Limits was exceeded. It is
// the cause of the call's context.
type Error struct {
	Limit string // response, gap or total
	After time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("gave up after the limit of %s, %s", e.Limit, e.After)
}

// Call is a call that is subject to Limits. It must be used by one goroutine at a time.
type Call struct {
	limits Limits
	timer  *time.Timer // gives the call up when the limit that applies now is exceeded
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc
}

// Start begins a call. The context that it returns ends when the limits are exceeded.
// The caller must call End.
func Start(ctx context.Context, l Limits) (context.Context, *Call) {
	ctx, stop := context.WithTimeoutCause(ctx, l.Total, &Error{Limit: "total", After: l.Total})
	ctx, cancel := context.WithCancelCause(ctx)
	c := &Call{limits: l, ctx: ctx, cancel: cancel, stop: stop}
	c.timer = time.AfterFunc(l.Response, func() { cancel(&Error{Limit: "response", After: l.Response}) })
	return ctx, c
}

// End releases the call's resources and ends its context.
func (c *Call) End() {
	c.timer.Stop()
	c.cancel(nil)
	c.stop()
}

// ReadAll reads the response's body. The header has arrived. The error of a call that was
// given up is an *Error, that of a body with more than maxBytes an *http.MaxBytesError.
func (c *Call) ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	return c.ReadAllInto(&membudget.Hold{}, body, maxBytes)
}

// ReadAllInto is like ReadAll, and returns a *membudget.ExceededError if memory has no room for
// the body.
func (c *Call) ReadAllInto(memory *membudget.Hold, body io.Reader, maxBytes int64) ([]byte, error) {
	if c.timer.Stop() {
		c.timer = time.AfterFunc(c.limits.Gap, func() { c.cancel(&Error{Limit: "gap", After: c.limits.Gap}) })
	}
	limited := http.MaxBytesReader(nil, io.NopCloser(body), maxBytes)
	data, err := memory.ReadAll(&progressReader{call: c, body: limited}, int(maxBytes)+1)
	if err != nil && c.ctx.Err() != nil {
		err = context.Cause(c.ctx)
	}
	return data, err
}

// progressReader reads a response's body and reports its progress to the call.
type progressReader struct {
	call *Call
	body io.Reader
}

// progressBytes is the largest read. net/http fills the whole buffer from a chunked body
// before a read returns, so that a larger read would hide progress for longer.
const progressBytes = 4 << 10

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), progressBytes)])
	if n > 0 && r.call.timer.Stop() {
		r.call.timer.Reset(r.call.limits.Gap)
	}
	return n, err
}
