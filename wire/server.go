package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"redwingknot/metric"
	"redwingknot/wire/wirepb"
)

// handler decodes a payload, runs a method and encodes its result.
type handler func(ctx context.Context, payload []byte) ([]byte, error)

// Server answers the calls of other processes. Handlers are registered before
// Serve and not changed afterwards.
type Server struct {
	key      []byte
	handlers map[string]handler

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
}

// NewServer returns a server for diallers that hold key.
func NewServer(key []byte) *Server {
	return &Server{key: key, handlers: map[string]handler{}, sessions: map[*yamux.Session]struct{}{}}
}

// Handle registers the handler of method.
func Handle[Q, P proto.Message](s *Server, method string, h func(context.Context, Q) (P, error)) {
	s.handlers[method] = func(ctx context.Context, payload []byte) ([]byte, error) {
		var zero Q
		req := zero.ProtoReflect().New().Interface().(Q)
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, Fail(FailureMalformed, err.Error())
		}
		resp, err := h(ctx, req)
		if err != nil {
			return nil, err
		}
		return proto.Marshal(resp)
	}
}

// Serve accepts connections from l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeSessions()
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	conn = counted(conn)
	if err := authAccept(conn, s.key); err != nil {
		metric.Counter("wire_refused_total").Inc(1)
		conn.Close()
		return
	}
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	s.track(session)
	defer s.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go s.serveCall(ctx, stream)
	}
}

func (s *Server) serveCall(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	var req wirepb.Request
	if err := readFrame(stream, &req); err != nil {
		return
	}
	stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if req.BudgetMs > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.BudgetMs)*time.Millisecond)
		defer cancel()
	}
	go cancelOnClose(stream, cancel)
	writeFrame(stream, s.dispatch(ctx, &req))
}

// cancelOnClose cancels a call whose caller has closed the stream.
func cancelOnClose(stream *yamux.Stream, cancel context.CancelFunc) {
	io.Copy(io.Discard, stream)
	cancel()
}

func (s *Server) dispatch(ctx context.Context, req *wirepb.Request) *wirepb.Response {
	h, ok := s.handlers[req.Method]
	if !ok {
		return &wirepb.Response{Failure: string(FailureUnknownMethod), Detail: req.Method}
	}
	metric.Counter("wire_calls_total", "method", req.Method).Inc(1)
	payload, err := h(ctx, req.Payload)
	if err == nil {
		return &wirepb.Response{Payload: payload}
	}
	var call *CallError
	if errors.As(err, &call) {
		return &wirepb.Response{Failure: string(call.Failure), Detail: call.Detail}
	}
	return &wirepb.Response{Failure: string(FailureInternal), Detail: err.Error()}
}

// Call runs a method of this server itself, as a Client of it would.
func (s *Server) Call(ctx context.Context, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return Fail(FailureMalformed, err.Error())
	}
	answer := s.dispatch(ctx, &wirepb.Request{Method: method, Payload: payload})
	if answer.Failure != "" {
		return &CallError{Method: method, Failure: Failure(answer.Failure), Detail: answer.Detail}
	}
	return proto.Unmarshal(answer.Payload, resp)
}

func (s *Server) track(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
}

func (s *Server) untrack(session *yamux.Session) {
	session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		go session.Close()
	}
}

// sessionConfig keeps the window small: calls are short messages, and a node
// holds a connection to each of its neighbours.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = 10 * time.Second
	c.ConnectionWriteTimeout = 5 * time.Second
	return c
}
