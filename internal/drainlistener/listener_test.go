package drainlistener

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/membudget"
)

// TestQueuedConnectionsAreAcceptedAfterStop checks that connections which the kernel has
// accepted are not reset when the listener is closed.
func TestQueuedConnectionsAreAcceptedAfterStop(t *testing.T) {
	l, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	for range 3 {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	l.Stop()
	for range 3 {
		_, err := l.Accept()
		assert.NilError(t, err)
	}
	_, err = l.Accept()
	assert.Check(t, errors.Is(err, http.ErrServerClosed), "%v", err)
}

// TestConnectionWithArrivedRequestIsNotRetired has a request arrive on an idle connection: it
// must not be closed, whether or not a goroutine has read a part of it.
func TestConnectionWithArrivedRequestIsNotRetired(t *testing.T) {
	l, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	caller, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { caller.Close() })
	accepted, err := l.Accept()
	assert.NilError(t, err)
	c := accepted.(*conn)
	now := time.Now()
	assert.Check(t, !c.mayRetire(now.Add(idleRetireTime)), "a new one has more time")
	assert.Check(t, c.mayRetire(now.Add(time.Hour)))
	c.setState(http.StateActive, now)
	assert.Check(t, !c.mayRetire(now.Add(time.Hour)), "a request is in progress")
	c.setState(http.StateIdle, now)
	assert.Check(t, c.mayRetire(now.Add(time.Hour)))
	_, err = io.WriteString(caller, "GE")
	assert.NilError(t, err)
	for !c.hasUnread() {
		time.Sleep(time.Millisecond)
	}
	assert.Check(t, !c.mayRetire(now.Add(time.Hour)), "unread")
	_, err = io.ReadFull(c, make([]byte, 2))
	assert.NilError(t, err)
	assert.Check(t, !c.mayRetire(now.Add(time.Hour)), "read")
}

// queueConnections opens connections that a listener has yet to accept.
func queueConnections(t *testing.T, l net.Listener, n int) []net.Conn {
	conns := make([]net.Conn, n)
	for i := range conns {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		conns[i] = c
	}
	return conns
}

// TestQueuedConnectionsAreAcceptedAfterDelay lets a process that stops get no processor time
// until the time for the last connections is over. Those that are queued must not be reset.
func TestQueuedConnectionsAreAcceptedAfterDelay(t *testing.T) {
	l, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	queueConnections(t, l, 3)
	l.Stop()
	time.Sleep(2 * lastAcceptTime)
	for range 3 {
		_, err := l.Accept()
		assert.NilError(t, err)
	}
	_, err = l.Accept()
	assert.Check(t, errors.Is(err, http.ErrServerClosed), "%v", err)
}

// TestRetireAwaitsQueuedConnections checks that a stop with no connection open goes on until those
// that are queued have been accepted.
func TestRetireAwaitsQueuedConnections(t *testing.T) {
	l, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	queueConnections(t, l, 1)
	l.Stop()
	retired := make(chan int, 1)
	go func() { retired <- l.Retire(t.Context()) }()
	select {
	case <-retired:
		t.Fatal("a connection is queued")
	case <-time.After(100 * time.Millisecond):
	}
	c, err := l.Accept()
	assert.NilError(t, err)
	_, err = l.Accept()
	assert.Check(t, errors.Is(err, http.ErrServerClosed), "%v", err)
	l.RecordState(c, http.StateClosed)
	assert.Equal(t, <-retired, 0)
}

// TestRequestIsNotReadFromRetiredConnection sends a byte on idle connections in the moment in
// which they are closed. What was read from a connection must not be lost with it.
func TestRequestIsNotReadFromRetiredConnection(t *testing.T) {
	l, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	lost := 0
	for n := range 2000 {
		caller, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		accepted, err := l.Accept()
		assert.NilError(t, err)
		c := accepted.(*conn)
		c.setState(http.StateIdle, time.Now().Add(-time.Hour))
		read := make(chan int, 1)
		go func() {
			n, _ := c.Read(make([]byte, 1))
			read <- n
		}()
		time.Sleep(20 * time.Microsecond)
		_, err = caller.Write([]byte("G"))
		assert.NilError(t, err)
		for began := time.Now(); time.Since(began) < time.Duration(n%100)*200*time.Nanosecond; {
		}
		c.retire(time.Now())
		if <-read > 0 {
			if _, err := c.Write([]byte("A")); err != nil {
				lost++
			}
		}
		caller.Close()
		c.Close()
	}
	assert.Equal(t, lost, 0)
}

// TestRetireCountsQueuedConnections guards against connections that the kernel has accepted and
// that are taken for none because Accept has not returned them yet.
func TestRetireCountsQueuedConnections(t *testing.T) {
	l, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	for range 3 {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	l.Stop()
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, l.Retire(ctx), 3)
}

// TestLongestWaitingConnectionMakesRoom guards against ordinary callers that find no connection
// because others keep theirs open, and against a request in progress that is cut for a new one.
func TestLongestWaitingConnectionMakesRoom(t *testing.T) {
	const maxConns = 3
	l, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	l.SetLimits(Limits{MaxConns: maxConns})
	connect := func() {
		caller, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { caller.Close() })
	}
	accept := func() *conn {
		connect()
		c, err := l.Accept()
		assert.NilError(t, err)
		return c.(*conn)
	}
	now := time.Now()
	busy, idle, fresh := accept(), accept(), accept()
	busy.setState(http.StateActive, now.Add(-time.Hour))
	idle.setState(http.StateIdle, now.Add(-time.Minute))
	fresh.setState(http.StateNew, now.Add(-2*time.Hour))
	isClosed := func(c *conn) bool {
		_ = c.SetReadDeadline(time.Now())
		_, err := c.TCPConn.Read(make([]byte, 1))
		return errors.Is(err, net.ErrClosed)
	}
	fresh.hasRead.Store(true) // a part of a head
	next := accept()
	assert.Check(t, isClosed(idle) && !isClosed(busy) && !isClosed(fresh) && !isClosed(next))
	assert.Equal(t, len(l.list()), maxConns)
	for _, c := range []*conn{fresh, next} {
		c.setState(http.StateActive, now)
	}
	connect() // has no room; the next one has, once a request is answered
	time.AfterFunc(50*time.Millisecond, func() {
		l.RecordState(busy, http.StateClosed)
		connect()
	})
	_, err = l.Accept()
	assert.NilError(t, err)
	assert.Equal(t, len(l.list()), maxConns)
}

// TestHeadsLeaveMemory guards against heads that take all memory, against memory that is not given
// back, and against small heads that are rejected because of large ones.
func TestHeadsLeaveMemory(t *testing.T) {
	const limit = 1 << 20
	l, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	heads := membudget.New(limit)
	l.SetLimits(Limits{Heads: heads})
	server := &http.Server{ConnState: l.RecordState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
	const start = "POST / HTTP/1.1\r\nHost: h\r\n"
	connect := func(text string) net.Conn {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		_, _ = io.WriteString(c, text)
		return c
	}
	status := func(c net.Conn) string {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		answer := make([]byte, len("HTTP/1.1 200"))
		_, _ = io.ReadFull(c, answer)
		return string(answer)
	}
	lines := strings.Repeat("a:\r\n", 3000) // some 0.4 MiB as entries of a map
	withheld := connect(start + lines + "Content-Length: 2\r\n\r\n")
	for heads.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, status(connect(start+lines+lines)), "HTTP/1.1 503")
	assert.Equal(t, status(connect(start+"Content-Length: 0\r\n\r\n")), "HTTP/1.1 200")
	_, err = io.WriteString(withheld, "{}")
	assert.NilError(t, err)
	assert.Equal(t, status(withheld), "HTTP/1.1 200")
	for heads.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}
