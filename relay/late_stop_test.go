package relay_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestResponseBegunInStopAsksToClose stops the relay while a request is at an endpoint.
func TestResponseBegunInStopAsksToClose(t *testing.T) {
	for _, path := range []string{"/plain/1", "/flux/1"} {
		b := newTestBed(t)
		b.startEndpoint("i-1", func(x *exchange) {
			b.relay.Drain()
			if path == "/plain/1" {
				respondOK(x)
				return
			}
			x.startStream()
			x.event(0)
			x.endStream()
		})
		got := b.send(path)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Check(t, got.closes, path)
	}
}
