package peers

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppingInstanceIsAskedLast guards against instances that ask one which shuts down for
// connections to endpoints before those that stay, because it has lately reached them.
func TestStoppingInstanceIsAskedLast(t *testing.T) {
	const target = 7
	names := instanceNames(5)
	now := func() time.Time { return time.Unix(100, 0) }
	stopping := false
	asking := New(Options{Self: names[0], Source: &source{}, Table: NewTable(), Now: now})
	other := New(Options{Self: names[1], Source: &source{}, Table: NewTable(), Now: now, Leaving: func() bool { return stopping }})
	asking.grid = newGrid(names[0], names)
	for _, name := range asking.grid.row {
		asking.peers[name] = &peer{name: name}
	}
	report := func(e *Exchange) {
		r := e.buildReport(&peer{name: names[0]})
		r.Loads = encodeLoads(map[uint64]Load{target: {Reached: 1}})
		asking.applyReport(r, asking.peers[names[1]])
	}
	report(other)
	assert.Equal(t, asking.PeersReaching(target)[0], names[1])
	stopping = true
	report(other)
	asked := asking.PeersReaching(target)
	assert.Equal(t, slices.Index(asked, names[1]), len(asked)-1)
	// The next process of the instance.
	report(New(Options{Self: names[1], Source: &source{}, Table: NewTable(), Now: now}))
	assert.Equal(t, asking.PeersReaching(target)[0], names[1])
}
