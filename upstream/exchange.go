package upstream

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
)

// Request is an HTTP request as it goes on the wire.
type Request struct {
	Method  string
	Head    []byte // request line and headers, with the empty line
	Body    []byte
	NewConn bool // needs a connection that no request has used
}

// Response is an endpoint's answer. Close must be called once; a connection is
// kept only if the body was read to its end before.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 if not told
	Body   io.Reader

	conn    *conn
	stop    func() bool
	raw     *http.Response
	written atomic.Bool
	whole   bool
}

// Send makes one attempt. When ctx ends, the connection is closed at once. The
// error is a *NotSentError or a *LostError.
func (p *Pool) Send(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.NewConn)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		c.discard()
		return nil, &NotSentError{Address: p.address, Err: context.Cause(ctx)}
	}
	res := &Response{conn: c}
	res.stop = context.AfterFunc(ctx, func() { c.Conn.Close() })
	if err := res.write(r); err != nil {
		res.Close()
		return nil, &LostError{Address: p.address, Stage: "sending the request", Err: err}
	}
	res.raw, err = http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		res.Close()
		return nil, &LostError{Address: p.address, Stage: "waiting for the answer", Err: err}
	}
	res.Status, res.Header, res.Length = res.raw.StatusCode, res.raw.Header, res.raw.ContentLength
	res.Body = bodyReader{res}
	return res, nil
}

// write sends the request. A long body goes out beside the reading of the
// answer, which an endpoint may give before it has read the body.
func (r *Response) write(q *Request) error {
	if len(q.Body) <= inlineBody {
		r.written.Store(true)
		_, err := r.conn.Write(append(q.Head, q.Body...))
		return err
	}
	if _, err := r.conn.Write(q.Head); err != nil {
		return err
	}
	go func() {
		if _, err := r.conn.Write(q.Body); err == nil {
			r.written.Store(true)
		}
		// After an error the reader of the answer sees the connection's end.
	}()
	return nil
}

// bodyReader notes when the body was read to its end.
type bodyReader struct{ r *Response }

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.raw.Body.Read(p)
	if err == io.EOF {
		b.r.whole = true
	}
	return n, err
}

// PreventReuse marks the connection as not to be kept.
func (r *Response) PreventReuse() { r.whole = false; r.raw = nil }

// Close ends the attempt. The connection is kept if nothing speaks against it.
func (r *Response) Close() {
	running := r.stop()
	reusable := running && r.raw != nil && r.whole && !r.raw.Close && r.written.Load() && r.conn.reader.Buffered() == 0
	if !reusable {
		r.conn.discard()
		return
	}
	r.conn.pool.put(r.conn, idleTime(r.Header))
}
