package timer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitIsFalseIfBothHaveEnded guards against a wait that reports a time that has passed
// although the context ended no later, which is up to chance in a select.
func TestWaitIsFalseIfBothHaveEnded(t *testing.T) {
	woken := make(chan struct{})
	close(woken)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		assert.Assert(t, !Wait(ctx, woken, time.Hour))
	}
	synctest.Test(t, func(t *testing.T) {
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			assert.Assert(t, !Wait(ctx, nil, time.Second))
			cancel()
		}
	})
}
