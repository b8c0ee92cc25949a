package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBodyThatIsKeptBackIsRefusedAtDeadline guards against callers that hold connections and heads
// of requests for as long as they like, because they keep the bodies back.
func TestBodyThatIsKeptBackIsRefusedAtDeadline(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", respondOK)
	c, err := net.Dial("tcp4", b.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Bearer key\r\nDeadline-Ms: 200\r\nContent-Length: 10\r\n\r\nhalf")
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Check(t, headerSeconds(res.Header) > 0)
	assert.Equal(t, requestCount(f), 0)

	// A body in time is not bound by the deadline of an earlier request on the connection.
	assert.Equal(t, b.send("/once/1", "Attempt-Id", "a2", "Deadline-Ms", "300").status, http.StatusOK)
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, b.send("/once/1", "Attempt-Id", "a3").status, http.StatusOK)
}

// TestRefusalDoesNotWaitForBody guards against callers that hold connections for as long as they
// like by keeping back the bodies of requests that are refused anyway.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	b := newTestBed(t)
	c, err := net.Dial("tcp4", b.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nContent-Length: 10\r\n\r\nhalf")
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusUnauthorized)
	_, err = io.Copy(io.Discard, c)
	assert.NilError(t, err, "the connection is not closed")
}
