package relay_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStalledStreamGoesOnElsewhere has an endpoint begin an event and then send a byte now and
// then. The stream must be completed by another run if its route allows that, and be left to its
// endpoint otherwise.
func TestStalledStreamGoesOnElsewhere(t *testing.T) {
	for _, path := range []string{"/goon/1", "/flux/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			config := newConfig(2, 2)
			config.Match("h", path).Timeout = 6 * time.Second
			b.view.ApplyConfig(config)
			b.view.Confirm(time.Now().Add(time.Minute)) // stays confirmed for the test
			serve := func(x *exchange) {
				x.startStream()
				if x.Header.Get("Last-Event-Id") != "" {
					x.event(1)
					x.endStream()
					return
				}
				x.event(0)
				x.chunk("id: 1\ndata: ")
				for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
					x.chunk("p")
				}
				x.chunk("\n\n")
				x.endStream()
			}
			f, g := b.startEndpoint("i-1", serve), b.startEndpoint("i-2", serve)
			got := b.send(path, promptHeaders()...)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			resumed := path == "/goon/1"
			assert.Equal(t, got.body == eventText(0)+eventText(1), resumed, "%q", got.body)
			assert.Equal(t, requestCount(f, g) == 2, resumed)
		})
	}
}
