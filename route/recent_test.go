package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRecentWaitDrains: without it, a router that refuses most requests sees
// too few first tokens to learn that the queue is gone.
func TestRecentWaitDrains(t *testing.T) {
	var w recentWait
	for range 1000 {
		w.add(0.1, epoch)
	}
	assert.Assert(t, w.expected(epoch) > 0.09)
	assert.Assert(t, w.expected(epoch.Add(500*time.Millisecond)) < 0.06)
	assert.Equal(t, w.expected(epoch.Add(2*time.Second)), 0.0)
	assert.Assert(t, !w.fresh(epoch.Add(2*time.Second)))
}
