package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
)

func snapshot(wanted int64, list ...*fleet.Endpoint) *fleet.Snapshot {
	s := &fleet.Snapshot{Weights: map[string]int64{"m": wanted}, Endpoints: map[string]*fleet.Endpoint{}}
	for _, e := range list {
		s.Endpoints[e.ID] = e
	}
	return s
}

func engine(id string, version int64) *fleet.Endpoint {
	return &fleet.Endpoint{ID: id, Weights: map[string]int64{"m": version}}
}

// TestEnginesLoadInWaves replays a swap of nine engines that load in 0.3 s: at
// no time do more than a third load, and all are done in 1.5 s.
func TestEnginesLoadInWaves(t *testing.T) {
	const loadTime = 300 * time.Millisecond
	p, start := NewPlanner(), time.Unix(100, 0)
	var list []*fleet.Endpoint
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		list = append(list, engine(id, 1))
	}
	s := snapshot(2, list...)
	done := map[string]time.Time{}
	for now := start; now.Before(start.Add(1500 * time.Millisecond)); now = now.Add(30 * time.Millisecond) {
		for _, o := range p.DuePolls(s, now) {
			if !now.Before(done[o.Endpoint.ID]) {
				p.RecordResult(o, AlreadyLoaded, now)
			}
		}
		for _, o := range p.DueOrders(s, now) {
			done[o.Endpoint.ID] = now.Add(loadTime)
			p.RecordResult(o, Accepted, now)
		}
		loading := 0
		for _, end := range done {
			if now.Before(end) {
				loading++
			}
		}
		assert.Check(t, loading <= 3, "%d", loading)
	}
	assert.Equal(t, len(done), 9)
}

func TestPlannerOrdersEachOnceAndAgainWithoutAnswer(t *testing.T) {
	p, now := NewPlanner(), time.Unix(100, 0)
	leaving := engine("c", 1)
	leaving.Leaving = true
	s := snapshot(2, engine("a", 1), engine("b", 2), leaving)
	orders := p.DueOrders(s, now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Endpoint.ID, "a")
	assert.Equal(t, len(p.DueOrders(s, now)), 0)
	assert.Equal(t, len(p.DueOrders(s, now.Add(resend))), 1)
	p.RecordResult(orders[0], Accepted, now)
	assert.Equal(t, len(p.DueOrders(s, now.Add(resend))), 0)
	assert.Equal(t, len(p.DueOrders(s, now.Add(acceptedFor))), 1)
	p.RecordResult(orders[0], AlreadyLoaded, now)
	assert.Equal(t, len(p.DueOrders(s, now.Add(time.Hour))), 0)
	// A newer version and a new start of the endpoint are new things to do.
	assert.Equal(t, len(p.DueOrders(snapshot(3, engine("a", 2)), now)), 1)
	again := engine("a", 2)
	again.Born = 9
	assert.Equal(t, len(p.DueOrders(snapshot(3, again), now)), 1)
}
