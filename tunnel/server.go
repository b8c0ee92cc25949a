package tunnel

import (
	"cmp"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/tunnel/tunnelpb"
	"redwingknot/upstream"
	"redwingknot/wire"
)

const methodOpen = "tunnel.open"

// chunkSize is the most bytes that a chunk from an endpoint carries. It holds most events.
const chunkSize = 4 << 10

// maxTunnels bounds the memory and descriptors for connections of other instances.
const maxTunnels = 512

// DialFunc opens a connection to an incarnation of an endpoint by this instance's own path.
// The error is an *UnknownEndpointError if this instance does not know the endpoint.
type DialFunc func(ctx context.Context, key fleet.EndpointKey) (net.Conn, error)

// UnknownEndpointError reports that an instance does not know an endpoint.
type UnknownEndpointError struct{ ID string }

// Error implements error.
func (e *UnknownEndpointError) Error() string { return "unknown endpoint " + e.ID }

// Server opens connections to endpoints for other instances. It is safe for concurrent use.
type Server struct {
	dial DialFunc

	mu       sync.Mutex
	open     int             // connections that are open or being opened
	draining context.Context // ends with Drain
	drain    context.CancelFunc
	ended    chan struct{} // closed once the server drains and open is 0
}

// NewServer returns a Server that opens connections by dial.
func NewServer(dial DialFunc) *Server {
	s := &Server{dial: dial, ended: make(chan struct{})}
	s.draining, s.drain = context.WithCancel(context.Background())
	return s
}

// Register adds the handler for other instances to a wire server.
func (s *Server) Register(w *wire.Server) { wire.HandleStream(w, methodOpen, s.handleOpen) }

// Drain makes the server take on no further connections, and tells the instances at the other
// ends of the open ones to send nothing more on them.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDraining() {
		return
	}
	s.drain()
	if s.open == 0 {
		close(s.ended)
	}
}

// Wait waits until all connections have ended, or until ctx ends, and reports whether they
// have. It is called after Drain.
func (s *Server) Wait(ctx context.Context) bool {
	select {
	case <-s.ended:
		return true
	case <-ctx.Done():
	}
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

func (s *Server) isDraining() bool { return s.draining.Err() != nil }

// begin counts a connection that is about to be opened. The result is not RESULT_OPEN if none may
// be.
func (s *Server) begin() tunnelpb.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isDraining():
		return tunnelpb.Result_RESULT_LEAVING
	case s.open >= maxTunnels:
		return tunnelpb.Result_RESULT_DECLINED
	}
	s.open++
	return tunnelpb.Result_RESULT_OPEN
}

// end ends the count of a connection.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if s.isDraining() && s.open == 0 {
		close(s.ended)
	}
}

// handleOpen opens a connection and returns the function that serves it.
func (s *Server) handleOpen(ctx context.Context, in *tunnelpb.OpenRequest) (*tunnelpb.OpenResponse, func(*wire.Stream), error) {
	conn, result := s.connect(ctx, fleet.EndpointKey{ID: in.EndpointId, StartMillis: in.StartMillis})
	metric.Counter("tunnel_requests_total", "result", result.String()).Inc(1)
	response := &tunnelpb.OpenResponse{Result: result}
	if conn == nil {
		return response, nil, nil
	}
	return response, func(stream *wire.Stream) { s.serve(conn, stream) }, nil
}

// connect opens a connection, which is counted as open until serve ends. It is nil unless the
// result is RESULT_OPEN.
func (s *Server) connect(ctx context.Context, key fleet.EndpointKey) (net.Conn, tunnelpb.Result) {
	if result := s.begin(); result != tunnelpb.Result_RESULT_OPEN {
		return nil, result
	}
	conn, err := s.dial(ctx, key)
	if err == nil && !s.isDraining() {
		return conn, tunnelpb.Result_RESULT_OPEN
	}
	s.end()
	var unknown *UnknownEndpointError
	switch {
	case err == nil:
		conn.Close()
		return nil, tunnelpb.Result_RESULT_LEAVING
	case errors.As(err, &unknown):
		return nil, tunnelpb.Result_RESULT_DECLINED
	case upstream.ConnRefused(err):
		return nil, tunnelpb.Result_RESULT_REFUSED
	}
	return nil, tunnelpb.Result_RESULT_UNREACHABLE
}

// serve passes bytes on in both directions until one side has ended.
func (s *Server) serve(conn net.Conn, stream *wire.Stream) {
	defer s.end()
	defer conn.Close()
	var sending sync.Mutex
	send := func(chunk *tunnelpb.Chunk) error {
		sending.Lock()
		defer sending.Unlock()
		return stream.Send(chunk)
	}
	stop := context.AfterFunc(s.draining, func() {
		_ = send(&tunnelpb.Chunk{Leaving: true}) // fails if the stream has ended
	})
	defer stop()
	upload := &upload{conn: conn}
	go func() {
		defer conn.Close() // also ends the other direction
		var chunk tunnelpb.Chunk
		for stream.Receive(&chunk) == nil {
			if upload.write(chunk.Data) != nil {
				return
			}
		}
	}()
	buf := make([]byte, chunkSize)
	for {
		n, err := conn.Read(buf)
		chunk := &tunnelpb.Chunk{Data: buf[:n]}
		if err != nil {
			chunk.End = endOf(cmp.Or(upload.end(), err))
		}
		if send(chunk) != nil || err != nil {
			return
		}
	}
}

// upload writes to an endpoint what arrives for it.
type upload struct {
	conn net.Conn
	mu   sync.Mutex // held during writes
	err  error      // of the write that failed, nil if none has; guarded by mu
}

// write writes to the endpoint.
func (u *upload) write(data []byte) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, u.err = u.conn.Write(data)
	return u.err
}

// uploadEndTime is how long a write may go on after the endpoint has ended the connection.
const uploadEndTime = time.Second

// end returns the error of the write that failed, if one has, after reads have found the end of
// the connection. The kernel reports the reset of a connection once, to a read or to a write.
func (u *upload) end() error {
	if !u.mu.TryLock() {
		_ = u.conn.SetWriteDeadline(time.Now().Add(uploadEndTime)) // fails only if the connection is closed
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	return u.err
}

// endOf returns how a connection ended that returned err from a read.
func endOf(err error) tunnelpb.End {
	switch {
	case errors.Is(err, io.EOF):
		return tunnelpb.End_END_CLOSED
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return tunnelpb.End_END_RESET
	}
	return tunnelpb.End_END_LOST
}
