package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

// TestPlaceSharesAddUpToSlots checks that all instances together have as many places as the
// endpoint has slots.
func TestPlaceSharesAddUpToSlots(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		slots, n := rapid.IntRange(0, 200).Draw(t, "slots"), rapid.IntRange(1, 60).Draw(t, "instances")
		endpoint := rapid.Uint64().Draw(t, "endpoint")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("front-", i))
		}
		total := 0
		for _, name := range names {
			total += PlaceShare(endpoint, names, name, slots)
		}
		if total != slots {
			t.Fatalf("%d places for %d slots of %d instances", total, slots, n)
		}
	})
}

func TestRefusalPause(t *testing.T) {
	assert.Equal(t, RefusalPause(7, 2), 3500*time.Millisecond)
	assert.Equal(t, RefusalPause(1, 5), minRefusalPause)
	assert.Equal(t, RefusalPause(195, 2), maxRefusalPause)
	assert.Equal(t, RefusalPause(7, 0), maxRefusalPause)
}
