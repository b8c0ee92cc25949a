package drainlistener

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"redwingknot/membudget"
	"redwingknot/metric"
)

// Limits bound what callers can make a Listener hold. The zero value has no limits.
type Limits struct {
	// MaxConns is the number of connections at one time, 0 for no limit. At the limit, the
	// connection that has waited longest for a request makes room for a new one.
	MaxConns int
	// Heads is the memory for the heads of the requests that arrive or are in progress, nil for
	// no limit. Each connection is a sender of its own.
	Heads *membudget.Budget
}

// SetLimits sets the limits. It must be called before Accept.
func (l *Listener) SetLimits(limits Limits) { l.limits = limits }

// Memory for the head of a request.
const (
	// headLineBytes is the memory for a header in addition to its text.
	headLineBytes = 128
	// headTextCopies is how often the text is in memory while a long line grows.
	headTextCopies = 2
)

// headRefusal answers a request whose head finds no memory. The request has not run.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalWriteTime bounds the write of headRefusal to a caller that does not read.
const refusalWriteTime = 5 * time.Millisecond

// countHead counts bytes that have arrived if they belong to a head. The error is a *net.OpError,
// for which an http.Server writes no answer of its own.
//
// Load pattern: hundreds of callers send heads over the limit or without end, or keep the bodies
// of their requests back. A line of a few bytes takes many times its length as an entry of a map.
func (c *conn) countHead(arrived []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heads == nil || !c.awaitsRequest() {
		return nil
	}
	text, _, _ := bytes.Cut(arrived, []byte("\r\n\r\n"))
	c.headBytes += int64(headTextCopies*len(text) + headLineBytes*bytes.Count(text, []byte("\n")))
	err := c.head.Resize(c.headBytes)
	if err == nil {
		return nil
	}
	metric.Counter("caller_heads_refused_total").Inc(1)
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = c.TCPConn.Write([]byte(headRefusal)) // an error means that the caller does not read it
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// countState adapts the memory to a new state of the connection. The caller holds mu.
func (c *conn) countState(state http.ConnState) {
	if state != http.StateActive && state != http.StateNew {
		c.head.Release()
		c.headBytes = 0
	}
}

// awaitsRequest reports whether no request is in progress: what arrives belongs to a head. An
// http.Server calls a connection active once it has read the head. The caller holds mu.
func (c *conn) awaitsRequest() bool { return c.state == http.StateNew || c.state == http.StateIdle }
