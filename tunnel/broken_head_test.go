package tunnel_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/tunnel"
	"redwingknot/upstream"
	"redwingknot/wire"
)

// endedConn is a connection to an endpoint that brings some bytes after the first write, and
// then ends.
type endedConn struct {
	net.Conn
	bytes   io.Reader
	end     error
	written chan struct{}
	once    sync.Once
}

// Write implements net.Conn.
func (c *endedConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.written) })
	return len(p), nil
}

// Read implements net.Conn.
func (c *endedConn) Read(p []byte) (int, error) {
	<-c.written
	n, err := c.bytes.Read(p)
	if err == io.EOF {
		err = c.end
	}
	return n, err
}

// Close implements net.Conn.
func (c *endedConn) Close() error {
	c.once.Do(func() { close(c.written) })
	return nil
}

// SetWriteDeadline implements net.Conn. Writes end at once.
func (c *endedConn) SetWriteDeadline(time.Time) error { return nil }

// exchangeThroughTunnel sends a request through a tunnel of client and returns the body of the
// response.
func exchangeThroughTunnel(t *testing.T, client *wire.Client) (string, error) {
	pool := upstream.NewPool("endpoint", 1, nil, func(ctx context.Context) (net.Conn, error) { return tunnel.Dial(ctx, client, key) })
	res, err := pool.Send(t.Context(), &upstream.Request{Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	if err != nil {
		return "", err
	}
	defer res.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// TestHeadThatIsBrokenOffBehindTunnelIsNoResponse ends the connection behind a tunnel after each
// byte of a head, and within a body that ends with the connection.
func TestHeadThatIsBrokenOffBehindTunnelIsNoResponse(t *testing.T) {
	var mu sync.Mutex
	var next *endedConn
	server := wire.NewServer(nil)
	tunnel.NewServer(func(context.Context, fleet.EndpointKey) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		return next, nil
	}).Register(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(t.Context(), l) }()
	client := wire.NewClient(l.Addr().String(), nil, nil)
	t.Cleanup(client.Close)
	exchange := func(bytes string, end error) (string, error) {
		mu.Lock()
		next = &endedConn{bytes: strings.NewReader(bytes), end: end, written: make(chan struct{})}
		mu.Unlock()
		return exchangeThroughTunnel(t, client)
	}
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 1200\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, end := range []error{io.EOF, syscall.ECONNRESET, syscall.ETIMEDOUT} {
			for n := range len(head) {
				_, err := exchange(head[:n], end)
				var lost *upstream.LostError
				assert.Check(t, errors.As(err, &lost), "%v after %q, then %v", err, head[:n], end)
				assert.Equal(t, upstream.ClosedByPeer(err), end != syscall.ETIMEDOUT, "%v after %q, then %v", err, head[:n], end)
			}
		}
	}
	for n := range len("half") {
		for _, end := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, fmt.Errorf("other")} {
			body, err := exchange("HTTP/1.1 200 OK\r\n\r\n"+"half"[:n], end)
			assert.Check(t, err != nil, "whole: %q, then %v", body, end)
		}
		body, err := exchange("HTTP/1.1 200 OK\r\n\r\n"+"half"[:n], io.EOF)
		assert.NilError(t, err)
		assert.Equal(t, body, "half"[:n])
	}
}

// TestTunnelThatBreaksWithinHeadIsNoEnd stops the instance that serves a tunnel within a head, and
// within a body that ends with the connection.
func TestTunnelThatBreaksWithinHeadIsNoEnd(t *testing.T) {
	for _, bytes := range []string{"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhalf"} {
		b := newTestBed(t)
		go func() {
			endpoint := <-b.endpoints
			_, _ = endpoint.Read(make([]byte, 1000))
			_, _ = io.WriteString(endpoint, bytes)
			b.stop()
		}()
		body, err := exchangeThroughTunnel(t, b.client)
		assert.Check(t, err != nil, "whole after %q: %q", bytes, body)
		assert.Check(t, !upstream.ClosedByPeer(err), "the endpoint has not closed it: %v", err)
	}
}

// resetConn is a connection to an endpoint that is reset during a write, which gets the reset;
// reads find the end of the connection in good order.
type resetConn struct {
	net.Conn
	written, closed chan struct{}
	head            io.Reader
	once            sync.Once
}

// Write implements net.Conn.
func (c *resetConn) Write([]byte) (int, error) {
	close(c.written)
	time.Sleep(5 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	<-c.written
	return c.head.Read(p)
}

// SetWriteDeadline implements net.Conn.
func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *resetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// TestResetThatWriteGetsIsNoEnd guards against a part of a response that is taken for the whole
// because a write behind the tunnel got the reset of the connection.
func TestResetThatWriteGetsIsNoEnd(t *testing.T) {
	server := wire.NewServer(nil)
	tunnel.NewServer(func(context.Context, fleet.EndpointKey) (net.Conn, error) {
		return &resetConn{written: make(chan struct{}), closed: make(chan struct{}), head: strings.NewReader("HTTP/1.1 200 OK\r\n\r\nhalf")}, nil
	}).Register(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(t.Context(), l) }()
	client := wire.NewClient(l.Addr().String(), nil, nil)
	t.Cleanup(client.Close)
	body, err := exchangeThroughTunnel(t, client)
	assert.Check(t, err != nil, "whole: %q", body)
}
