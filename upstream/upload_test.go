package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/upstream"
)

// uploadConn is a connection to an endpoint that responds as soon as it has the head of the request.
// The write of the body ends with an error some time after reads have found the end.
type uploadConn struct {
	net.Conn
	response io.Reader
	ended    chan struct{} // closed once a read has found the end
	once     sync.Once
	writeErr error

	mu     sync.Mutex
	writes int
}

// Write implements net.Conn.
func (c *uploadConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	isHead := c.writes == 1
	c.mu.Unlock()
	if isHead {
		return len(p), nil
	}
	<-c.ended
	time.Sleep(5 * time.Millisecond)
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *uploadConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err == io.EOF {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

// Close implements net.Conn.
func (c *uploadConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return nil
}

// TestResetThatUploadGetsIsNoEnd guards against a part of a response without a length that is taken
// for the whole, because the write of the request and not the read of the response got the reset of
// the connection.
func TestResetThatUploadGetsIsNoEnd(t *testing.T) {
	for _, c := range []struct {
		name, head string
		writeErr   error
		whole      bool
	}{
		{"reset", "", syscall.ECONNRESET, false},
		{"broken pipe", "", syscall.EPIPE, false},
		{"time limit", "", syscall.ETIMEDOUT, false},
		{"no error", "", nil, true},
		{"reset after a response with a length", "Content-Length: 4\r\n", syscall.ECONNRESET, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := &uploadConn{response: strings.NewReader("HTTP/1.1 200 OK\r\n" + c.head + "\r\nhalf"), ended: make(chan struct{}), writeErr: c.writeErr}
			p := upstream.NewPool("endpoint", 1, nil, func(context.Context) (net.Conn, error) { return conn, nil })
			body, err := send(t, p, newRequest(strings.Repeat("u", 1<<20)))
			assert.Equal(t, body, "half")
			assert.Equal(t, err == nil, c.whole, "%v", err)
			if !c.whole {
				var upload *upstream.UploadError
				assert.Check(t, errors.As(err, &upload) && errors.Is(err, c.writeErr), "%v", err)
			}
		})
	}
}
