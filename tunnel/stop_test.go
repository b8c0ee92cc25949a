package tunnel_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndedStopReportsNoCutConnection guards against a stop that says that it cuts connections of
// other instances although none is open: its time may be over when it begins to wait for them.
func TestEndedStopReportsNoCutConnection(t *testing.T) {
	b := newTestBed(t)
	c, _ := b.dial(t)
	assert.NilError(t, c.Close())
	b.server.Drain()
	assert.Check(t, b.server.Wait(t.Context()))
	ended, end := context.WithCancel(t.Context())
	end()
	for range 100 {
		assert.Assert(t, b.server.Wait(ended), "no connection is open")
	}
}
