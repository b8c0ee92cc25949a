package drainlistener

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
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
