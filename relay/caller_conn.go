package relay

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	accepted     time.Time
	requests     atomic.Int64 // received on it so far
	askedToClose atomic.Bool  // a response has asked the caller to close it
}

// WithCallerConn adds the caller's connection to the context of its requests. It is meant
// as ConnContext of the http.Server of a Server.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{Conn: c, accepted: time.Now()})
}

// callerConnOf returns the connection of the caller of a request, nil if it is not known.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// awaitBody records whether the request in progress still waits for its body, so that its connection
// may be closed to make room for another one. The connection may be nil.
func (c *callerConn) awaitBody(waits bool) {
	if c == nil {
		return
	}
	if l, ok := c.Conn.(interface{ AwaitBody(bool) }); ok {
		l.AwaitBody(waits)
	}
}

// lateArrival describes a request that has arrived after the instance began to stop.
type lateArrival struct {
	afterStop  time.Duration // since the stop began
	connAge    time.Duration // since the connection was accepted
	connection string        // why the caller still uses it: a label of the metric that counts these requests
}

// Values of lateArrival.connection.
const (
	connFirst = "first" // it is the first request on the connection
	connKept  = "kept"  // no response on the connection has asked to close it
	connAsked = "asked" // one has
)

// newLateArrival describes a request on c, which may be nil.
func newLateArrival(c *callerConn, stopBegan, now time.Time) *lateArrival {
	l := &lateArrival{afterStop: now.Sub(stopBegan), connection: connKept}
	if c == nil {
		return l
	}
	l.connAge = now.Sub(c.accepted)
	switch {
	case c.requests.Load() <= 1:
		l.connection = connFirst
	case c.askedToClose.Load():
		l.connection = connAsked
	}
	return l
}

func (l *lateArrival) logAttrs() []slog.Attr {
	return []slog.Attr{slog.Duration("afterStop", l.afterStop), slog.Duration("connAge", l.connAge), slog.String("connection", l.connection)}
}

// callerConnected reports whether the caller of a request has not closed its connection. It
// looks at the socket: net/http notices a closed connection only some time after the
// handler of the last request has started. It returns true if the context has no connection
// or it gives no access to its socket.
//
// Load pattern: a process stands still, and its callers give up. When it goes on, it reads
// all of their requests from the sockets' buffers at once.
func callerConnected(ctx context.Context) bool {
	c := callerConnOf(ctx)
	if c == nil {
		return true
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	connected := false
	// Read would wait for net/http's own read of the connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		connected = n > 0 || err == unix.EAGAIN || err == unix.EINTR
	})
	return err == nil && connected
}

// resetCallerConn makes the connection of a request's caller end with a reset when it is
// closed. A response without length or chunks, as HTTP/1.0 has it, ends with the connection: if
// it breaks off, an orderly end would make it look complete.
func resetCallerConn(ctx context.Context) {
	c := callerConnOf(ctx)
	if c == nil {
		return
	}
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0) // fails only if the connection is closed
	}
}
