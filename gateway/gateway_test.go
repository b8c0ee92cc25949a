package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLoopsOfLeaderEndWithEitherContext guards against a process that goes on without serving after
// a component has failed, because the loops of the leader end with the process's context alone.
func TestLoopsOfLeaderEndWithEitherContext(t *testing.T) {
	for _, failed := range []bool{true, false} {
		ctx, stop := context.WithCancel(t.Context())
		workCtx, fail := context.WithCancel(t.Context())
		lead := untilEither(ctx, workCtx)
		assert.NilError(t, lead.Err())
		if failed {
			fail()
		} else {
			stop()
		}
		<-lead.Done()
		stop()
		fail()
	}
}
