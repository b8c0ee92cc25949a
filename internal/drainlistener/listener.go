// Package drainlistener accepts the connections of callers, bounds what they can make a process
// hold, and ends them without losing a request when an instance stops.
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

	"redwingknot/membudget"
	"redwingknot/metric"
)

// Timing of the end of callers' connections in a shutdown.
const (
	// lastAcceptWait is how long the queue of connections that the kernel has accepted must be
	// empty before the listener is closed: closing it resets those that are still queued.
	// lastAcceptTime bounds that wait if connections keep arriving. After it, as many are
	// accepted as the kernel may have queued while the process got no processor time.
	lastAcceptWait = time.Millisecond
	lastAcceptTime = 100 * time.Millisecond
	maxQueuedConns = 4096
	// acceptEndTime bounds the wait for the end of Accept, also if nothing calls it.
	acceptEndTime = 2 * lastAcceptTime
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
// See docs/design/stopping.md, and docs/design/callers-outside-limits.md for the limits. http.Server.Shutdown is not used for them. It closes a request
// that it reads after the shutdown began without a response, and idle connections also if a
// request has arrived on them that no goroutine has read yet.
type Listener struct {
	*net.TCPListener
	limits Limits
	stopAt atomic.Pointer[time.Time] // when to accept only what is queued; nil before Stop
	// acceptedLate counts the connections that Accept has looked for after stopAt. It is used by
	// Accept only.
	acceptedLate int
	closed       chan struct{} // closed when Accept returns no more connections after Stop

	mu    sync.Mutex
	conns map[*conn]struct{} // guarded by mu
}

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	hasRead atomic.Bool        // bytes were read since the connection became new or idle
	heads   *membudget.Account // nil without a limit

	mu       sync.Mutex
	state    http.ConnState // guarded by mu
	since    time.Time      // of the state; guarded by mu
	retiring bool           // the wait for a request was ended by retire; guarded by mu

	head       membudget.Hold // of the request that arrives or is in progress; guarded by mu
	headBytes  int64          // memory that it needs; guarded by mu
	awaitsBody bool           // the request in progress waits for its body; guarded by mu
}

// Listen announces on a TCP address; network is one of those of net.ListenTCP.
func Listen(network, address string) (*Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener), closed: make(chan struct{}), conns: map[*conn]struct{}{}}, nil
}

// Accept implements net.Listener. After Stop it returns the connections that the kernel has
// accepted before, then closes the listener and returns http.ErrServerClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		stopAt := l.stopAt.Load()
		if stopAt != nil {
			if !l.mayAcceptMore(*stopAt) {
				return nil, l.end()
			}
			_ = l.SetDeadline(time.Now().Add(lastAcceptWait)) // an error shows in AcceptTCP
		}
		c, err := l.AcceptTCP()
		switch {
		case err == nil:
			if tracked, ok := l.track(c); ok {
				return tracked, nil
			}
			continue
		case l.stopAt.Load() == nil:
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Whether a connection is queued is found out above: the time may have passed
			// before the queue was looked at.
			continue
		}
		return nil, l.end()
	}
}

// end closes the listener and returns the error that says so. It is called only by Accept.
func (l *Listener) end() error {
	l.Close()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return http.ErrServerClosed
}

// mayAcceptMore reports whether a connection is queued that is to be accepted after Stop.
func (l *Listener) mayAcceptMore(stopAt time.Time) bool {
	if time.Now().After(stopAt) {
		l.acceptedLate++
		if l.acceptedLate > maxQueuedConns {
			return false
		}
	}
	return l.hasQueued()
}

// hasQueued reports whether a connection is queued, or is within lastAcceptWait.
func (l *Listener) hasQueued() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	// An error means that the listener is closed.
	_ = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, int(lastAcceptWait.Milliseconds()))
		queued = n > 0 || errors.Is(err, unix.EINTR)
	})
	return queued
}

// Stop ends Accept. The connections go on.
func (l *Listener) Stop() {
	at := time.Now().Add(lastAcceptTime)
	l.stopAt.Store(&at)
	_ = l.SetDeadline(time.Now()) // fails only if the listener is closed
}

// track returns the connection as one of the listener's, and whether there is room for it; if not,
// it is closed.
func (l *Listener) track(c *net.TCPConn) (*conn, bool) {
	f := &conn{TCPConn: c, since: time.Now()}
	if l.limits.Heads != nil {
		f.heads = l.limits.Heads.NewAccount()
		f.head = f.heads.Hold()
	}
	if l.admit(f) {
		return f, true
	}
	c.Close()
	return nil, false
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

// Retire closes each connection once it is idle, until none is left and Accept returns no more, or
// ctx ends. It returns the number that is left. It must be called after Stop, and first waits a
// moment for the connections that Accept has yet to return, also if ctx has ended.
func (l *Listener) Retire(ctx context.Context) int {
	select {
	case <-l.closed:
	case <-time.After(acceptEndTime):
	}
	tick := time.NewTicker(retireInterval)
	defer tick.Stop()
	for {
		ended := l.HasEnded() // before the list, which Accept adds to
		open := l.list()
		if ended && len(open) == 0 {
			return 0
		}
		for _, c := range open {
			c.retire(time.Now())
		}
		select {
		case <-ctx.Done():
			return len(l.list())
		case <-tick.C:
		}
	}
}

// HasEnded reports whether Accept returns no more connections.
func (l *Listener) HasEnded() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
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
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.hasRead.Store(true)
			if headErr := c.countHead(p[:n]); headErr != nil {
				return 0, headErr
			}
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.stay() {
			return n, err
		}
	}
}

func (c *conn) setState(state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.awaitsBody = state, now, false
	c.countState(state)
	if state == http.StateIdle {
		c.hasRead.Store(false)
	}
	c.endRetiring()
}

// retire ends the wait for a request if the connection may be closed, upon which the http.Server
// closes it. Only the goroutine that reads knows whether it has just read a part of a request.
func (c *conn) retire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayRetire(now) {
		return
	}
	if !c.retiring {
		metric.Counter("caller_connections_retired_total").Inc(1)
	}
	c.retiring = true
	_ = c.SetReadDeadline(now) // fails only if the connection is closed
}

// stay reports whether the wait for a request that retire has ended goes on, since a part of one
// has arrived.
func (c *conn) stay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.hasRead.Load() || c.hasUnread()) && c.endRetiring()
}

// endRetiring undoes retire, and reports whether there was anything to undo. From then on the stop
// alone bounds the read. The caller holds mu.
func (c *conn) endRetiring() bool {
	if !c.retiring {
		return false
	}
	c.retiring = false
	_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	return true
}

// mayRetire reports whether no request is in progress on the connection, none has arrived, and
// the caller has had time to send one. The caller holds mu.
func (c *conn) mayRetire(now time.Time) bool {
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
