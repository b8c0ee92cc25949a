package metastoretest

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/metastore"
)

// TestDelayedCallsTakeEffectAtDelivery calls DeliverDelayed for a delayed write
// while the caller of the write reads its results, so that the race detector finds
// a race between the two.
func TestDelayedCallsTakeEffectAtDelivery(t *testing.T) {
	k := New(time.Now)
	k.SetHook(func(context.Context, Op) Fault { return Delayed })
	for range 50 {
		delivered := make(chan struct{})
		go func() {
			defer close(delivered)
			for k.DeliverDelayed() == 0 {
			}
		}()
		rev, err := k.Create(t.Context(), "test", "key", nil, 0)
		assert.Assert(t, metastore.IsUnknownOutcome(err))
		assert.Equal(t, rev, int64(0))
		<-delivered
	}
	k.SetHook(nil)
	_, err := k.Get(t.Context(), "test", "key")
	assert.NilError(t, err)
}
