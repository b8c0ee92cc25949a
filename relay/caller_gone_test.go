package relay_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// brokenWriter is a http.ResponseWriter to a caller whose connection is lost.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset by peer") }

// TestRequestIsNotSentAgainAfterFailedWrite has the write of a response to the caller fail
// before the request's context ends, as it does on a real socket: the request must not be
// sent to another endpoint.
func TestRequestIsNotSentAgainAfterFailedWrite(t *testing.T) {
	for _, path := range []string{"/flux/", "/goon/"} {
		b := newTestBed(t)
		stream := func(x *exchange) {
			x.startStream()
			x.event(0)
			x.endStream()
		}
		f, g := b.startEndpoint("i-1", stream), b.startEndpoint("i-2", stream)
		r := b.request(t.Context(), path, "hello", promptHeaders()...)
		r.RequestURI = path
		func() {
			defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
			b.relay.ServeHTTP(brokenWriter{httptest.NewRecorder()}, r)
		}()
		assert.Equal(t, requestCount(f, g), 1, path)
	}
}
