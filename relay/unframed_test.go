package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// startUnframed writes the head of a response that has neither a length nor chunks, and ends
// with its connection.
func (x *exchange) startUnframed(contentType string) {
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: mark\r\nContent-Type: %s\r\n\r\n", x.Header.Get("Attempt-Id"), contentType)
}

// write writes bytes of a response as they are.
func (x *exchange) write(s string) { fmt.Fprint(x.conn, s) }

// TestUnframedResponses sends requests to an endpoint whose responses end with their
// connection. Only one that has ended well looks complete to the caller.
func TestUnframedResponses(t *testing.T) {
	events := eventText(0) + eventText(1)
	long := strings.Repeat("x", 400<<10)
	for _, c := range []struct {
		name     string
		path     string
		serve    func(f *fakeEndpoint, x *exchange)
		complete bool
		body     string
	}{
		{"response", "/once/1", func(_ *fakeEndpoint, x *exchange) {
			x.startUnframed("text/plain")
			x.write("fine")
		}, true, "fine"},
		{"long response", "/once/1", func(_ *fakeEndpoint, x *exchange) {
			x.startUnframed("text/plain")
			x.write(long)
		}, true, long},
		{"stream", "/flux/1", func(_ *fakeEndpoint, x *exchange) {
			x.startUnframed("text/event-stream")
			x.write(events)
		}, true, events},
		{"stream of events without identifiers", "/flux/1", func(_ *fakeEndpoint, x *exchange) {
			x.startUnframed("text/event-stream")
			x.write("data: a\n\n")
		}, true, "data: a\n\n"},
		{"response that is reset", "/once/1", func(_ *fakeEndpoint, x *exchange) {
			x.startUnframed("text/plain")
			x.write("fine")
			x.reset()
		}, false, ""},
		{"stream that ends inside an event", "/flux/1", func(_ *fakeEndpoint, x *exchange) {
			x.startUnframed("text/event-stream")
			x.write(events + "id: 2\ndata: pie")
		}, false, events},
		{"stream that is reset", "/flux/1", func(_ *fakeEndpoint, x *exchange) {
			x.startUnframed("text/event-stream")
			x.write(events)
			x.reset()
		}, false, ""},
		{"response of an endpoint that crashes", "/once/1", func(f *fakeEndpoint, x *exchange) {
			x.startUnframed("text/plain")
			x.write("fi")
			f.crash()
		}, false, ""},
		{"long response of an endpoint that crashes", "/once/1", func(f *fakeEndpoint, x *exchange) {
			x.startUnframed("text/plain")
			x.write(long)
			f.crash()
		}, false, ""},
		{"stream of an endpoint that crashes after an event", "/flux/1", func(f *fakeEndpoint, x *exchange) {
			x.startUnframed("text/event-stream")
			x.write(events)
			f.crash()
		}, false, ""},
		{"stream without an event", "/flux/1", func(_ *fakeEndpoint, x *exchange) { x.startUnframed("text/event-stream") }, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			var f *fakeEndpoint
			f = b.startEndpoint("i-1", func(x *exchange) {
				c.serve(f, x)
				x.conn.Close()
			})
			got := b.send(c.path)
			assert.Equal(t, got.err == nil && got.status == http.StatusOK, c.complete, "status %d, body %.100q, error %v", got.status, got.body, got.err)
			if c.body != "" {
				assert.Check(t, got.body == c.body, "%.100q", got.body)
			}
		})
	}
}

// TestUnframedStreamIsResumed has a stream that may be resumed end inside an event: another
// run completes it.
func TestUnframedStreamIsResumed(t *testing.T) {
	b := newTestBed(t)
	b.startEndpoint("i-1", func(x *exchange) {
		defer x.conn.Close()
		x.startUnframed("text/event-stream")
		if x.Header.Get("Last-Event-Id") == "" {
			x.write(eventText(0) + "id: 1\nda")
			return
		}
		x.write(eventText(1))
	})
	got := b.send("/goon/1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(0)+eventText(1))
}
