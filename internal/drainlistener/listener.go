// Package drainlistener accepts the connections of callers and ends them without losing a request
// when an instance stops.
package drainlistener

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"redwingknot/metric"
)

// Timing of the end of callers' connections in a shutdown.
const (
	// lastAcceptWait is how long the queue of connections that the kernel has accepted must be
	// empty before the listener is closed: closing it resets those that are still queued.
	// lastAcceptTime bounds that wait if connections keep arriving.
	lastAcceptWait = time.Millisecond
	lastAcceptTime = 100 * time.Millisecond
	// acceptEndTime bounds the wait for the end of Accept, also if nothing calls it.
	acceptEndTime = time.Second
	// idleRetireTime is how long a connection must have been idle before it is closed. A caller
	// whose stream has just ended was not asked to close the connection, and may send its next
	// request at once.
	idleRetireTime = 500 * time.Millisecond
	// newRetireTime is the same for a connection without a request so far. A request whose
	// first segment is lost on the way is sent again by then.
	newRetireTime = 2 * time.Second
	// retireInterval is the interval at which connections are checked in a shutdown.
	retireInterval = 20 * time.Millisecond
)

// Listener accepts callers' connections and tracks them until they are closed.
//
// See docs/design/stopping.md. http.Server.Shutdown is not used for them. It closes a request
// that it reads after the shutdown began without a response, and idle connections also if a
// request has arrived on them that no goroutine has read yet.
type Listener struct {
	*net.TCPListener
	stopAt atomic.Pointer[time.Time] // when to accept no more in any case; nil before Stop

	acceptEnded   chan struct{} // closed once Accept has returned the last connection
	endAcceptOnce sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{} // guarded by mu
}

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	hasRead atomic.Bool // bytes were read since the connection became new or idle

	mu    sync.Mutex
	state http.ConnState // guarded by mu
	since time.Time      // of the state; guarded by mu
}

// Listen announces on a TCP address; network is one of those of net.ListenTCP.
func Listen(network, address string) (*Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener), acceptEnded: make(chan struct{}), conns: map[*conn]struct{}{}}, nil
}

// Accept implements net.Listener. After Stop it returns the connections that the kernel has
// accepted before, then closes the listener and returns http.ErrServerClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		stopAt := l.stopAt.Load()
		if stopAt != nil {
			_ = l.SetDeadline(time.Now().Add(lastAcceptWait)) // an error shows in AcceptTCP
		}
		c, err := l.AcceptTCP()
		if stopAt != nil && time.Now().After(*stopAt) {
			l.Close() // the next call returns
		}
		switch {
		case err == nil:
			return l.track(c), nil
		case l.stopAt.Load() == nil:
			return nil, err
		case stopAt == nil && errors.Is(err, os.ErrDeadlineExceeded):
			continue // Stop has just ended the wait
		}
		l.Close()
		l.endAcceptOnce.Do(func() { close(l.acceptEnded) })
		return nil, http.ErrServerClosed
	}
}

// Stop ends Accept. The connections go on.
func (l *Listener) Stop() {
	at := time.Now().Add(lastAcceptTime)
	l.stopAt.Store(&at)
	_ = l.SetDeadline(time.Now()) // fails only if the listener is closed
}

func (l *Listener) track(c *net.TCPConn) *conn {
	f := &conn{TCPConn: c, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[f] = struct{}{}
	return f
}

// RecordState records a change of a connection's state. It is meant as the ConnState function
// of the http.Server.
func (l *Listener) RecordState(c net.Conn, state http.ConnState) {
	f, ok := c.(*conn)
	if !ok {
		return
	}
	f.setState(state, time.Now())
	if state == http.StateClosed || state == http.StateHijacked {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, f)
	}
}

// Retire closes each connection once it is idle, until none is left or ctx ends. It returns the
// number that is left. It must be called after Stop, and first waits until Accept has ended.
func (l *Listener) Retire(ctx context.Context) int {
	select {
	case <-l.acceptEnded:
	case <-time.After(acceptEndTime):
	}
	tick := time.NewTicker(retireInterval)
	defer tick.Stop()
	for {
		open := l.list()
		if len(open) == 0 {
			return 0
		}
		for _, c := range open {
			if c.mayRetire(time.Now()) {
				metric.Counter("caller_connections_retired_total").Inc(1)
				c.Close()
			}
		}
		select {
		case <-ctx.Done():
			return len(l.list())
		case <-tick.C:
		}
	}
}

func (l *Listener) list() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.hasRead.Store(true)
	}
	return n, err
}

func (c *conn) setState(state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = state, now
	if state == http.StateIdle {
		c.hasRead.Store(false)
	}
}

// mayRetire reports whether no request is in progress on the connection, none has arrived, and
// the caller has had time to send one.
func (c *conn) mayRetire(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := newRetireTime
	switch c.state {
	case http.StateNew:
	case http.StateIdle:
		wait = idleRetireTime
	default:
		return false
	}
	return now.Sub(c.since) >= wait && !c.hasUnread() && !c.hasRead.Load()
}

// hasUnread reports whether the kernel holds bytes of the connection that were not read.
func (c *conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
