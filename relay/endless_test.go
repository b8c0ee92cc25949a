package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessResponse writes the beginning of a response and then the same bytes until the
// connection is closed, and counts them.
func endlessResponse(written *atomic.Int64, head string, bytes string) func(*exchange) {
	return func(x *exchange) {
		io.WriteString(x.conn, strings.ReplaceAll(head, "ATTEMPT", x.Header.Get("Attempt-Id")))
		for {
			n, err := io.WriteString(x.conn, bytes)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

const (
	stampedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nResponse-Stamp: mark\r\n"
	// socketBuffers is more than the buffers of both ends of a connection hold.
	socketBuffers = 16 << 20
)

// TestEndlessResponseIsGivenUp has an endpoint send bytes without end, in different parts
// of a response. The connection must be closed after a bounded number of them, long before
// the deadline, and another endpoint must serve the request if it may be repeated.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	line := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name, path, head, bytes string
		limit                   int64
		wantStatus              int
	}{
		{"headers", "/plain/", stampedHead, "X-More: " + line + "\r\n", 64 << 10, http.StatusOK},
		{"one header line", "/plain/", stampedHead + "X-More: ", line, 64 << 10, http.StatusOK},
		{"status line", "/plain/", "HTTP/1.1 200 ", line, 64 << 10, http.StatusOK},
		{"no HTTP", "/plain/", "", line + "\r\n", 64 << 10, http.StatusOK},
		{"body without stamp", "/plain/", "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\n\r\n", line, 0, http.StatusOK},
		{"refusal", "/once/", "HTTP/1.1 503 Busy\r\nAttempt-Id: ATTEMPT\r\nNot-Executed: 1\r\n\r\n", line, 4 << 10, http.StatusOK},
		{"failure", "/plain/", strings.Replace(stampedHead, "200", "500", 1) + "\r\n", line, 256 << 10, http.StatusOK},
		{"failure, must run once", "/once/", strings.Replace(stampedHead, "200", "500", 1) + "\r\n", line, 256 << 10, http.StatusBadGateway},
		{"event", "/goon/", stampedHead + "\r\n", "data: " + line + "\n", 1 << 20, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			var written atomic.Int64
			f := b.startEndpoint("i-1", endlessResponse(&written, c.head, c.bytes))
			serve := respondOK
			if c.path == "/goon/" {
				serve = func(x *exchange) {
					x.startStream()
					x.event(0)
					x.endStream()
				}
			}
			b.startEndpoint("i-2", serve)
			for i := 0; requestCount(f) == 0; i++ {
				got := b.send(c.path, append(promptHeaders(), "Attempt-Id", fmt.Sprint("a", i))...)
				assert.Check(t, got.status == http.StatusOK || got.status == c.wantStatus, "status %d: %s", got.status, got.body)
			}
			assert.Check(t, written.Load() <= c.limit+socketBuffers, "the endpoint wrote %d bytes", written.Load())
		})
	}
}

// TestEndlessBodyBreaksResponseOff has the body of a response go on without end: what the
// caller gets must not look complete.
func TestEndlessBodyBreaksResponseOff(t *testing.T) {
	b := newTestBed(t)
	var written atomic.Int64
	b.startEndpoint("i-1", endlessResponse(&written, stampedHead+"\r\n", strings.Repeat("x", 32<<10)))
	res, err := http.DefaultClient.Do(b.request(t.Context(), "/plain/", "hello"))
	assert.NilError(t, err)
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	assert.Check(t, err != nil, "%d bytes look like a whole response", n)
	assert.Check(t, written.Load() <= 64<<20+socketBuffers, "the endpoint wrote %d bytes", written.Load())
}

// TestSlowBodyOfRefusalIsNotAwaited has the body of a refusal go on without end, a byte now
// and then: the request must be served by another endpoint before its deadline.
func TestSlowBodyOfRefusalIsNotAwaited(t *testing.T) {
	b := newTestBed(t)
	closed := make(chan struct{})
	f := b.startEndpoint("i-1", func(x *exchange) {
		defer close(closed)
		fmt.Fprintf(x.conn, "HTTP/1.1 503 Busy\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n\r\n", x.Header.Get("Attempt-Id"))
		for {
			if _, err := io.WriteString(x.conn, "x"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	b.startEndpoint("i-2", respondOK)
	for i := 0; requestCount(f) == 0; i++ {
		assert.Equal(t, b.send("/plain/", "Attempt-Id", fmt.Sprint("a", i)).status, http.StatusOK)
	}
	<-closed
}
