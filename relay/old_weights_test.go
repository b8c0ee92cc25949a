package relay_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestThatHasNotBegunLeavesOldWeights guards against a request that is sent in time to an
// engine with outdated weights, waits there, and begins when they may not be used any more.
func TestRequestThatHasNotBegunLeavesOldWeights(t *testing.T) {
	b := newTestBed(t)
	go b.relay.Run(t.Context())
	f := b.startEndpoint("i-1", func(x *exchange) {
		var one [1]byte
		_, _ = x.conn.Read(one[:]) // until the relay closes the connection
	})
	b.view.SetWantedWeights("m", 2, time.Now().Add(-5*time.Second))
	go func() {
		for requestCount(f) == 0 {
			time.Sleep(time.Millisecond)
		}
		b.startEngine("i-2", 2, func(x *exchange) {
			x.startStream()
			x.event(0)
			x.endStream()
		})
	}()
	assert.Equal(t, b.send("/goon/", promptHeaders()...).status, http.StatusOK)
}

// TestBegunStreamStaysAtOldWeights guards against a stream that is broken off because its weights
// are replaced while it runs.
func TestBegunStreamStaysAtOldWeights(t *testing.T) {
	b := newTestBed(t)
	go b.relay.Run(t.Context())
	f := b.startEndpoint("i-1", func(x *exchange) {
		x.startStream()
		x.event(0)
		time.Sleep(1500 * time.Millisecond)
		x.event(1)
		x.endStream()
	})
	b.view.SetWantedWeights("m", 2, time.Now().Add(-5*time.Second))
	got := b.send("/goon/", promptHeaders()...)
	assert.Check(t, got.status == http.StatusOK && got.err == nil && got.body == eventText(0)+eventText(1), "%+v", got)
	assert.Equal(t, requestCount(f), 1)
}

// startEngine starts a fake engine with a version of the weights of the model m.
func (b *testBed) startEngine(id string, weights int64, serve func(x *exchange)) *fakeEndpoint {
	f := b.startEndpoint(id, serve)
	spec := *f.spec
	spec.WeightVersions = map[string]int64{"m": weights}
	b.view.PutEndpoint(&spec)
	return f
}
