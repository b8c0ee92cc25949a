package upstream

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"redwingknot/membudget"
)

// Request is an HTTP request in its wire encoding.
type Request struct {
	Method  string
	Head    []byte // request line and headers, including the final empty line
	Body    []byte
	NewConn bool // must be sent on a newly opened connection
	// OverLimit says that its connection may be opened although the pool's limit is reached.
	OverLimit bool
	// Repeatable says that the request may be sent again, so that it is given up early if the
	// endpoint acknowledges nothing.
	Repeatable bool
	// AttemptID names the request in its response. It is not sent on a connection on which a
	// request of the same name was refused.
	AttemptID string
}

// Response is an endpoint's HTTP response. The caller must call Close exactly
// once. The connection is reused only if Body was read to its end before Close.
type Response struct {
	Status int
	Header http.Header
	Length int64 // body length in bytes, -1 if unknown
	Reused bool  // an earlier request was sent on the connection
	// Unframed says that the body has neither a length nor chunks: it ends with the
	// connection, so that its end does not show that it is whole.
	Unframed bool
	Body     io.Reader
	SentAt   time.Time // when the request began to be written

	conn           *conn
	detachContext  func() bool // keeps the end of the context from closing the connection; returns false if the context has already ended
	attemptID      string
	raw            *http.Response
	memory         membudget.Hold // for the head
	requestWritten atomic.Bool    // the whole request was written
	upload         chan struct{}  // closed once the body of the request is written or uploadErr is set; nil for a body that was written before the response was read
	uploadErr      error          // valid after upload is closed
	bodyRead       bool           // Body was read to its end
}

// Send sends r once and returns after the response header was read. The
// connection is closed immediately when ctx ends, also while the body is being
// read. The error is a *NotSentError or a *LostError.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		c.discard()
		return nil, &NotSentError{Address: p.address, Err: context.Cause(ctx)}
	}
	res := &Response{conn: c, attemptID: r.AttemptID, Reused: c.used, SentAt: time.Now(), memory: p.memory.Hold()}
	c.used = true
	res.detachContext = context.AfterFunc(ctx, func() { c.Conn.Close() })
	if err := res.write(r); err != nil {
		res.Close()
		return nil, &LostError{Address: p.address, Stage: "sending the request", Err: err}
	}
	watch := watchSilence(c, r.Repeatable)
	res.raw, err = c.readHead(r.Method, &res.memory)
	if watch.end() {
		err = &SilentError{}
	}
	if err != nil {
		res.Close()
		return nil, &LostError{Address: p.address, Stage: "reading the response header", Err: err}
	}
	res.Status, res.Header, res.Length = res.raw.StatusCode, res.raw.Header, res.raw.ContentLength
	res.Unframed = res.Length < 0 && len(res.raw.TransferEncoding) == 0 && r.Method != http.MethodHead
	res.Body = bodyReader{res}
	return res, nil
}

// write sends the request. A body larger than maxInlineBody is written in a
// separate goroutine while the response is read, because an endpoint may respond
// before it has read the whole body.
func (r *Response) write(q *Request) error {
	if len(q.Body) <= maxInlineBody {
		r.requestWritten.Store(true)
		_, err := r.conn.Write(append(q.Head, q.Body...))
		return err
	}
	if _, err := r.conn.Write(q.Head); err != nil {
		return err
	}
	r.upload = make(chan struct{})
	go func() {
		defer close(r.upload)
		if _, r.uploadErr = r.conn.Write(q.Body); r.uploadErr == nil {
			r.requestWritten.Store(true)
		}
	}()
	return nil
}

// uploadEndTime is how long the upload of a request may go on after the response has ended with
// the connection. The endpoint reads nothing more then, unless it has closed its direction alone.
const uploadEndTime = time.Second

// UploadError reports a response that has ended with its connection while the request was being
// sent. It may have broken off.
type UploadError struct{ Err error } // nil if the upload went on

// Error implements error.
func (e *UploadError) Error() string {
	if e.Err == nil {
		return "the connection ended during the upload"
	}
	return "the connection ended during the upload: " + e.Err.Error()
}

// Unwrap returns the error of the upload.
func (e *UploadError) Unwrap() error { return e.Err }

// checkUpload returns an *UploadError unless the whole request was sent. The kernel reports the
// reset of a connection once. If a write gets it, reads find an end in good order.
func (r *Response) checkUpload() error {
	if r.upload == nil {
		return nil
	}
	timeout := time.NewTimer(uploadEndTime)
	defer timeout.Stop()
	select {
	case <-r.upload:
	case <-timeout.C:
		return &UploadError{}
	}
	if r.uploadErr != nil {
		return &UploadError{Err: r.uploadErr}
	}
	return nil
}

// bodyReader reads the body of a Response and records when the end is reached.
type bodyReader struct{ r *Response }

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.raw.Body.Read(p)
	if err == io.EOF && b.r.Unframed {
		if uploadErr := b.r.checkUpload(); uploadErr != nil {
			return n, uploadErr
		}
	}
	if err == io.EOF {
		b.r.bodyRead = true
	}
	return n, err
}

// Discard reads the rest of a short body, so that the connection can be reused: at most
// maxBytes, and for at most the given time. If there is more, the connection is not reused.
func (r *Response) Discard(maxBytes int64, limit time.Duration) {
	if r.conn.SetReadDeadline(time.Now().Add(limit)) != nil {
		return // the connection is closed
	}
	// Close tells by bodyRead whether the end was reached.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBytes))
	_ = r.conn.SetReadDeadline(time.Time{})
}

// SetReadDeadline sets the time at which a read of Body that waits for data fails with
// os.ErrDeadlineExceeded, the zero time for none. Body can't be read further after that.
func (r *Response) SetReadDeadline(t time.Time) {
	_ = r.conn.SetReadDeadline(t) // fails only if the connection is closed, which reads show
}

// RecordRefusal records that the endpoint has refused the request. A second copy of the refusal,
// which may arrive at any time, would be taken for the response to a later request of the same
// name on the connection.
func (r *Response) RecordRefusal() { r.conn.refused = append(r.conn.refused, r.attemptID) }

// PreventReuse prevents the connection from being reused. Close is still required.
func (r *Response) PreventReuse() { r.bodyRead = false; r.raw = nil }

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise. It can be reused if the context has not ended, request and response
// were transferred completely, the endpoint did not ask to close it, no data
// follows the response, and the instance that carries it, if any, does not shut down.
func (r *Response) Close() {
	r.memory.Release()
	running := r.detachContext()
	reusable := running && r.raw != nil && r.bodyRead && !r.raw.Close && r.requestWritten.Load() && r.conn.reader.Buffered() == 0 && len(r.conn.refused) < maxRefusals && !isLeaving(r.conn.Conn)
	if !reusable {
		r.conn.discard()
		return
	}
	r.conn.pool.putIdle(r.conn, idleTimeout(r.Header))
}
