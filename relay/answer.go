package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"redwingknot/upstream"
)

// heldAnswer is the size up to which an answer is read whole before any of it
// goes to the caller, so that one that breaks off can be repeated.
const heldAnswer = 256 << 10

// answer is an endpoint's complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// deliver sends an answer to the caller.
func (a *answer) deliver(q *run) {
	h := q.w.Header()
	q.server.o.Dialect.CopyReplyHeaders(h, a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	q.started = true
	q.w.WriteHeader(a.status)
	// A caller that is gone can't be told.
	_, _ = q.w.Write(a.body)
}

// relayAnswer relays a plain answer.
func (q *run) relayAnswer(ctx context.Context, p *pick, res *upstream.Response, sent time.Time) outcome {
	body, err := io.ReadAll(io.LimitReader(res.Body, heldAnswer))
	if err != nil {
		return q.lost(ctx, p, err)
	}
	q.first = time.Since(q.arrived)
	q.server.endpoints.began(p, q.query, time.Since(sent))
	a := &answer{status: res.Status, header: res.Header, body: body}
	if !q.acceptable(res) {
		q.server.endpoints.failed(p, false)
		q.cause = &StatusError{Status: res.Status}
		if promises(res.Status) || !q.server.o.Dialect.ParseReply(res.Status, res.Header).Stamped {
			return unknown
		}
		q.held = a
		return failed
	}
	if len(body) < heldAnswer {
		if q.method != http.MethodHead && !q.ended(res) {
			return q.lost(ctx, p, io.ErrUnexpectedEOF)
		}
		a.deliver(q)
		return delivered
	}
	return q.relayLong(ctx, p, res, a)
}

// ended reports whether the body was read to its end.
func (q *run) ended(res *upstream.Response) bool {
	var b [1]byte
	n, err := res.Body.Read(b[:])
	return n == 0 && err == io.EOF
}

// acceptable reports whether an answer is one to return: a success that bears
// the endpoint's mark, or what a caller did wrong.
func (q *run) acceptable(res *upstream.Response) bool {
	signed := q.server.o.Dialect.ParseReply(res.Status, res.Header).Stamped
	return signed && res.Header.Get("Content-Encoding") == "" && res.Status < http.StatusInternalServerError && !promises(res.Status)
}

// promises reports whether a status tells a caller that its request did not
// run. From an endpoint that does not state so itself it can't be passed on.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// relayLong relays an answer that is not held whole.
func (q *run) relayLong(ctx context.Context, p *pick, res *upstream.Response, a *answer) outcome {
	h := q.w.Header()
	q.server.o.Dialect.CopyReplyHeaders(h, a.header)
	if res.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(res.Length, 10))
	}
	q.started = true
	q.w.WriteHeader(a.status)
	if _, err := q.w.Write(a.body); err != nil {
		return callerGone
	}
	if _, err := io.Copy(q.w, res.Body); err != nil {
		return q.lost(ctx, p, err)
	}
	return delivered
}

// StatusError reports a failure that an endpoint answered with.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "the endpoint answered " + http.StatusText(e.Status) }
