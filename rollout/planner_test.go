package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
)

func newSnapshot(wantedVersion int64, endpoints ...*fleet.Endpoint) *fleet.Snapshot {
	s := &fleet.Snapshot{WantedWeights: map[string]int64{"m": wantedVersion}, Endpoints: map[string]*fleet.Endpoint{}}
	for _, e := range endpoints {
		s.Endpoints[e.ID] = e
	}
	return s
}

func newEndpoint(id string, version int64) *fleet.Endpoint {
	return &fleet.Endpoint{ID: id, WeightVersions: map[string]int64{"m": version}}
}

// TestEnginesLoadInWaves simulates new weights for nine engines that take 0.3 s
// to load them. It checks that never more than a third load at once and that all
// are ordered to load within 1.5 s.
func TestEnginesLoadInWaves(t *testing.T) {
	const loadTime = 300 * time.Millisecond
	p, start := NewPlanner(), time.Unix(100, 0)
	var endpoints []*fleet.Endpoint
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		endpoints = append(endpoints, newEndpoint(id, 1))
	}
	s := newSnapshot(2, endpoints...)
	loadedAt := map[string]time.Time{}
	for now := start; now.Before(start.Add(1500 * time.Millisecond)); now = now.Add(30 * time.Millisecond) {
		for _, o := range p.DuePolls(s, now) {
			if !now.Before(loadedAt[o.Endpoint.ID]) {
				p.RecordResult(o, AlreadyLoaded, now)
			}
		}
		for _, o := range p.DueOrders(s, now) {
			loadedAt[o.Endpoint.ID] = now.Add(loadTime)
			p.RecordResult(o, Accepted, now)
		}
		loading := 0
		for _, end := range loadedAt {
			if now.Before(end) {
				loading++
			}
		}
		assert.Check(t, loading <= 3, "%d", loading)
	}
	assert.Equal(t, len(loadedAt), 9)
}

func TestPlannerResendsOrderOnlyWhenDue(t *testing.T) {
	p, now := NewPlanner(), time.Unix(100, 0)
	leaving := newEndpoint("c", 1)
	leaving.Leaving = true
	s := newSnapshot(2, newEndpoint("a", 1), newEndpoint("b", 2), leaving)
	orders := p.DueOrders(s, now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Endpoint.ID, "a")
	assert.Equal(t, len(p.DueOrders(s, now)), 0)
	assert.Equal(t, len(p.DueOrders(s, now.Add(retryDelay))), 1)
	p.RecordResult(orders[0], Accepted, now)
	assert.Equal(t, len(p.DueOrders(s, now.Add(retryDelay))), 0)
	assert.Equal(t, len(p.DueOrders(s, now.Add(loadTimeout))), 1)
	p.RecordResult(orders[0], AlreadyLoaded, now)
	assert.Equal(t, len(p.DueOrders(s, now.Add(time.Hour))), 0)
	// A newer version needs a new order, and so does a restarted endpoint.
	assert.Equal(t, len(p.DueOrders(newSnapshot(3, newEndpoint("a", 2)), now)), 1)
	restarted := newEndpoint("a", 2)
	restarted.StartMillis = 9
	assert.Equal(t, len(p.DueOrders(newSnapshot(3, restarted), now)), 1)
}
