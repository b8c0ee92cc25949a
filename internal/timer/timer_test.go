package timer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitIsFalseAfterItsContext guards against a wait that goes on, by chance of a select,
// although its context ended before it was woken.
func TestWaitIsFalseAfterItsContext(t *testing.T) {
	woken := make(chan struct{})
	close(woken)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		assert.Assert(t, !Wait(ctx, woken, time.Hour))
	}
}
