package wire

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"redwingknot/metric"
	"redwingknot/wire/wirepb"
)

// Stream carries messages in both directions after a call has opened it. One goroutine at a
// time may send, and one receive.
type Stream struct{ conn *yamux.Stream }

// Send sends a message. It waits while the other side does not receive.
func (s *Stream) Send(m proto.Message) error { return writeFrame(s.conn, m) }

// Receive waits for the next message and decodes it into m. The error is io.EOF if the other
// side has closed the stream.
func (s *Stream) Receive(m proto.Message) error { return readFrame(s.conn, m) }

// Close closes the stream. What was sent before is delivered.
func (s *Stream) Close() error { return s.conn.Close() }

// Abort closes the stream and ends a Send and a Receive that wait. It may be called while
// others use the stream.
func (s *Stream) Abort() {
	s.conn.Close()
	s.conn.SetDeadline(time.Now())
}

// streamHandler decodes the request from payload and returns the encoded response, and the
// function that serves the stream, nil for none.
type streamHandler func(ctx context.Context, payload []byte) ([]byte, func(*Stream), error)

// HandleStream registers h as the handler of a method that opens streams: the function that
// it returns, if any, serves the stream once the response is sent. It is called even if the
// response could not be sent, so that it releases what h has reserved. The context is that of
// the call and ends with it. HandleStream must be called before s.Serve.
func HandleStream[Q, P proto.Message](s *Server, method string, h func(context.Context, Q) (P, func(*Stream), error)) {
	s.streamHandlers[method] = func(ctx context.Context, payload []byte) ([]byte, func(*Stream), error) {
		var zero Q
		req := zero.ProtoReflect().New().Interface().(Q)
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, nil, Fail(FailureMalformed, err.Error())
		}
		resp, serve, err := h(ctx, req)
		if err != nil {
			return nil, nil, err
		}
		encoded, err := proto.Marshal(resp)
		return encoded, serve, err
	}
}

// serveStream answers a call that opens a stream, and serves the stream.
func (s *Server) serveStream(ctx context.Context, conn *yamux.Stream, req *wirepb.Request, h streamHandler) {
	metric.Counter("wire_calls_total", "method", req.Method).Inc(1)
	if req.BudgetMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.BudgetMs)*time.Millisecond)
		defer cancel()
	}
	payload, serve, err := h(ctx, req.Payload)
	stream := &Stream{conn}
	if writeFrame(conn, responseTo(payload, err)) != nil {
		stream.Abort()
	}
	if serve != nil {
		serve(stream)
	}
}

// responseTo returns the response of a handler that has returned payload and err. An error
// that is no *CallError becomes FailureInternal.
func responseTo(payload []byte, err error) *wirepb.Response {
	if err == nil {
		return &wirepb.Response{Payload: payload}
	}
	var call *CallError
	if errors.As(err, &call) {
		return &wirepb.Response{Failure: string(call.Failure), Detail: call.Detail}
	}
	return &wirepb.Response{Failure: string(FailureInternal), Detail: err.Error()}
}

// OpenStream calls method with req, decodes the result into resp and returns the stream that
// the call has opened, which the caller closes. ctx bounds the call alone. The errors are
// those of Call.
func (c *Client) OpenStream(ctx context.Context, method string, req, resp proto.Message) (*Stream, error) {
	conn, err := c.openStream(ctx)
	if err != nil {
		return nil, &TransportError{Addr: c.addr, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close(); conn.SetDeadline(time.Now()) })
	err = c.exchange(ctx, conn, method, req, resp)
	if !stop() && err == nil {
		err = &TransportError{Addr: c.addr, Sent: true, Err: ctx.Err()}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &Stream{conn}, nil
}

// exchange sends the request of a call on its stream and decodes the result into resp.
func (c *Client) exchange(ctx context.Context, conn net.Conn, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return &TransportError{Addr: c.addr, Err: err}
	}
	callRequest := &wirepb.Request{Method: method, Payload: payload, BudgetMs: remainingMillis(ctx)}
	if err := writeFrame(conn, callRequest); err != nil {
		return &TransportError{Addr: c.addr, Sent: true, Err: preferContextErr(ctx, err)}
	}
	var answer wirepb.Response
	if err := readFrame(conn, &answer); err != nil {
		return &TransportError{Addr: c.addr, Sent: true, Err: preferContextErr(ctx, err)}
	}
	if answer.Failure != "" {
		return &CallError{Method: method, Failure: Failure(answer.Failure), Detail: answer.Detail}
	}
	if err := proto.Unmarshal(answer.Payload, resp); err != nil {
		return &TransportError{Addr: c.addr, Sent: true, Err: err}
	}
	return nil
}
