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

func TestPlannerOrdersEachOnceAndAgainWithoutAnswer(t *testing.T) {
	p, now := NewPlanner(), time.Unix(100, 0)
	leaving := engine("c", 1)
	leaving.Leaving = true
	s := snapshot(2, engine("a", 1), engine("b", 2), leaving)
	orders := p.Next(s, now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Endpoint.ID, "a")
	assert.Equal(t, len(p.Next(s, now)), 0)
	assert.Equal(t, len(p.Next(s, now.Add(resend))), 1)
	p.Answered(orders[0], Accepted, now)
	assert.Equal(t, len(p.Next(s, now.Add(resend))), 0)
	assert.Equal(t, len(p.Next(s, now.Add(acceptedFor))), 1)
	p.Answered(orders[0], Holds, now)
	assert.Equal(t, len(p.Next(s, now.Add(time.Hour))), 0)
	// A newer version and a new start of the endpoint are new things to do.
	assert.Equal(t, len(p.Next(snapshot(3, engine("a", 2)), now)), 1)
	again := engine("a", 2)
	again.Born = 9
	assert.Equal(t, len(p.Next(snapshot(3, again), now)), 1)
}
