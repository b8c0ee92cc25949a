package relay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendUpload sends a request with a body of the given size and reads the response, which may break
// off.
func (b *testBed) sendUpload(path string, size int) reply {
	b.t.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(b.request(context.Background(), path, strings.Repeat("u", size)))
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}

// TestAnswerThatIsResetDuringUploadIsNotWhole guards against a part of a response without a length
// that is taken for the whole, because the write of the upload and not the read of the response got
// the reset of the connection.
func TestAnswerThatIsResetDuringUploadIsNotWhole(t *testing.T) {
	const tries = 8
	for _, c := range []struct{ name, path, contentType, part string }{
		{"idempotent", "/plain/1", "text/plain", "half of it"},
		{"non-idempotent", "/once/1", "text/plain", "half of it"},
		{"stream after a whole event", "/flux/1", "text/event-stream", eventText(0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			for _, id := range []string{"i-1", "i-2"} {
				f := b.startEndpoint(id, func(*exchange) {})
				f.onHead = func(x *exchange) {
					if x.URL.Path != c.path {
						return // a call for the report
					}
					x.startUnframed(c.contentType)
					x.write(c.part)
					x.reset()
				}
			}
			whole := 0
			for range tries {
				if r := b.sendUpload(c.path, 1<<20); r.err == nil && r.status == http.StatusOK {
					whole++
				}
			}
			assert.Equal(t, whole, 0, "parts that look whole, of %d", tries)
		})
	}
}

// TestAnswerBeforeUploadIsWhole guards against whole responses without a length that are lost
// because they come before the end of the upload, which the endpoint reads later.
func TestAnswerBeforeUploadIsWhole(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", func(x *exchange) {
		x.conn.Close()
	})
	f.onHead = func(x *exchange) {
		if x.URL.Path == "/once/1" {
			x.startUnframed("text/plain")
			x.write("whole")
			_ = x.conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}
	}
	r := b.sendUpload("/once/1", 1<<20)
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "whole")
}
