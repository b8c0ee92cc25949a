package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/relay"
)

// memoryEndpoints are endpoints whose connections are no sockets, so that a test can have
// thousands. The relay opens them through another instance.
type memoryEndpoints struct {
	// serve returns the bytes that answer a request, and the error of the connection's reads
	// after them, nil if it goes on.
	serve func(r *http.Request) (string, error)
}

// Peers implements relay.Detours.
func (*memoryEndpoints) Peers(uint64) []string { return []string{"front-2"} }

// Dial implements relay.Detours.
func (m *memoryEndpoints) Dial(context.Context, string, fleet.EndpointKey) (net.Conn, error) {
	return &memoryConn{serve: m.serve}, nil
}

// memoryConn is a connection to one of memoryEndpoints.
type memoryConn struct {
	net.Conn
	serve func(r *http.Request) (string, error)

	mu     sync.Mutex
	answer strings.Reader
	end    error
}

// Write takes one whole request.
func (c *memoryConn) Write(p []byte) (int, error) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(p)))
	if err != nil {
		return 0, err
	}
	answer, end := c.serve(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.Reset(answer)
	c.end = end
	return len(p), nil
}

// Read implements net.Conn.
func (c *memoryConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.answer.Read(p)
	if err == io.EOF {
		err = c.end
	}
	return n, err
}

// Close implements net.Conn.
func (*memoryConn) Close() error { return nil }

// SetReadDeadline implements net.Conn.
func (*memoryConn) SetReadDeadline(time.Time) error { return nil }

// memoryBed is a relay in front of memoryEndpoints that is called without sockets.
type memoryBed struct{ *testBed }

// newMemoryBed returns a bed with two endpoints, whose requests are answered by serve. Nothing
// may listen at the given address.
func newMemoryBed(t *testing.T, attempts int, unreachable string, serve func(r *http.Request) (string, error)) *memoryBed {
	b := newTestBedWithoutServer(t, &memoryEndpoints{serve: serve}, func(o *relay.Options) { o.RevokeTime = 0 })
	b.view.ApplyConfig(newPatientConfig(attempts))
	b.view.Confirm(time.Now())
	for _, id := range []string{"i-1", "i-2"} {
		b.view.PutEndpoint(&fleet.Endpoint{ID: id, Service: "s", Address: unreachable, SoftwareVersion: "v1", Slots: 8, WeightVersions: map[string]int64{"m": 1}})
	}
	return &memoryBed{b}
}

// send sends a request. The error is http.ErrAbortHandler if the relay closes the caller's
// connection.
func (b *memoryBed) send(path string, headers ...string) reply {
	return b.sendBy(http.MethodPost, path, headers...)
}

// sendBy is send with another method.
func (b *memoryBed) sendBy(method, path string, headers ...string) (got reply) {
	r := httptest.NewRequest(method, path, strings.NewReader("hello"))
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a1")
	r.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			assert.Check(b.t, cause == http.ErrAbortHandler, "%v", cause)
			got.err = http.ErrAbortHandler
		}
		got.status, got.header, got.body = w.Code, w.Header(), w.Body.String()
	}()
	b.relay.ServeHTTP(w, r)
	return reply{}
}
