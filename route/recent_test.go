package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRecentWaitDrains checks that the expected wait decays without observations.
// Otherwise, a router that refuses most requests would see too few first tokens to
// learn that the queue is gone.
func TestRecentWaitDrains(t *testing.T) {
	var w recentWait
	for range 1000 {
		w.observe(0.1, testStart)
	}
	assert.Assert(t, w.expectedSeconds(testStart) > 0.09)
	assert.Assert(t, w.expectedSeconds(testStart.Add(500*time.Millisecond)) < 0.06)
	assert.Equal(t, w.expectedSeconds(testStart.Add(2*time.Second)), 0.0)
	assert.Assert(t, !w.isFresh(testStart.Add(2*time.Second)))
}
