package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"redwingknot/internal/timer"
	"redwingknot/metric"
	"redwingknot/wire/wirepb"
)

// handler decodes the request from payload, runs a method and returns its encoded
// result.
type handler func(ctx context.Context, payload []byte) ([]byte, error)

// Server answers calls from other processes. All handlers must be registered
// before Serve is called, because the map of handlers is not locked.
type Server struct {
	key      []byte
	handlers map[string]handler
	// streamHandlers are those of methods that open streams.
	streamHandlers map[string]streamHandler

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
}

// NewServer returns a server that accepts connections from processes that hold
// key.
func NewServer(key []byte) *Server {
	return &Server{key: key, handlers: map[string]handler{}, streamHandlers: map[string]streamHandler{}, sessions: map[*yamux.Session]struct{}{}}
}

// Handle registers h as the handler of method. It must be called before s.Serve.
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

// Serve accepts connections from l and answers calls on them until ctx ends; it
// then closes l and all connections and returns nil. It returns an error if
// accepting fails for good before that; without descriptors or memory it is tried again.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeSessions()
	})
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return nil
		case lacksResources(err):
			metric.Counter("wire_accepts_failed_total").Inc(1)
			timer.Sleep(ctx, acceptRetryInterval)
			continue
		default:
			return errors.Wrap(err, "accept")
		}
		go s.serveConn(ctx, conn)
	}
}

// acceptRetryInterval is the time between attempts to accept a connection while the process or the
// machine has no descriptors or memory for it.
const acceptRetryInterval = 50 * time.Millisecond

// lacksResources reports whether a connection could not be accepted for want of descriptors or
// memory, or because its peer has given it up. The listener goes on.
func lacksResources(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// serveConn authenticates conn and answers the calls on it until it is closed.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	conn = newCountedConn(conn)
	if err := authAccept(conn, s.key); err != nil {
		metric.Counter("wire_refused_total").Inc(1)
		conn.Close()
		return
	}
	session, err := yamux.Server(&joiningConn{Conn: conn}, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	s.addSession(session)
	defer s.removeSession(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go s.serveCall(ctx, stream)
	}
}

// serveCall reads one request from stream and writes its response. The handler's
// context ends with the caller's remaining time or when the caller closes the
// stream.
func (s *Server) serveCall(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(setupTimeout))
	var req wirepb.Request
	if err := readFrame(stream, &req); err != nil {
		return
	}
	stream.SetReadDeadline(time.Time{})
	if h, ok := s.streamHandlers[req.Method]; ok {
		s.serveStream(ctx, stream, &req, h)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if req.BudgetMs > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.BudgetMs)*time.Millisecond)
		defer cancel()
	}
	go cancelOnClose(stream, cancel)
	writeFrame(stream, s.dispatch(ctx, &req))
}

// cancelOnClose waits until the caller closes the stream, then calls cancel.
func cancelOnClose(stream *yamux.Stream, cancel context.CancelFunc) {
	io.Copy(io.Discard, stream)
	cancel()
}

// dispatch runs the handler of req's method.
func (s *Server) dispatch(ctx context.Context, req *wirepb.Request) *wirepb.Response {
	h, ok := s.handlers[req.Method]
	if !ok {
		return &wirepb.Response{Failure: string(FailureUnknownMethod), Detail: req.Method}
	}
	metric.Counter("wire_calls_total", "method", req.Method).Inc(1)
	payload, err := h(ctx, req.Payload)
	return responseTo(payload, err)
}

// Call runs a method of s in this process, without a connection. Failures are
// returned as a *CallError, as Client.Call does.
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

// addSession records session so that closeSessions can close it.
func (s *Server) addSession(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
}

// removeSession closes session and removes it from the open ones.
func (s *Server) removeSession(session *yamux.Session) {
	session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// closeSessions starts closing all open sessions and doesn't wait for it.
func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		go session.Close()
	}
}

// sessionConfig returns the yamux configuration of both ends. It keeps yamux's
// default stream window, which is the smallest that yamux allows: calls are short
// messages, and an instance holds a connection to each of its neighbours.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = 10 * time.Second
	c.ConnectionWriteTimeout = 5 * time.Second
	return c
}
