package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
)

// newEngineEndpoints returns Endpoints that know the given number of idle engines.
func newEngineEndpoints(n int, now *time.Time) *Endpoints {
	view := fleet.NewView()
	for i := range n {
		view.PutEndpoint(&fleet.Endpoint{ID: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Service: "s", Slots: 12, WeightVersions: map[string]int64{"m": 1}})
	}
	c := fleet.NewConfig(1, nil)
	c.Services["s"] = &fleet.Service{Name: "s", Engine: &fleet.Engine{CacheTokens: 100_000}}
	view.ApplyConfig(c)
	return newEndpoints(Options{View: view, OtherLoads: peers.NewTable(), Now: func() time.Time { return *now }, RetryWindow: time.Second})
}

// heavyPrompt returns a prompt of a session that no engine holds.
func heavyPrompt(session string) *Prompt {
	return &Prompt{Model: "m", InputTokens: 9000, MaxOutputTokens: 10, Parts: []Part{{ID: "common", Tokens: 100}, {ID: session, Tokens: 7400}, {ID: "own-" + session, Tokens: 1500}}}
}

// TestOwnerSpreadsHeavyPromptsOfOthers places prompts of a group for other instances,
// none of which has reported its load yet. Each must go to an engine of its own, all of
// the group, and a prompt of the same session to the engine that reads the session.
func TestOwnerSpreadsHeavyPromptsOfOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngineEndpoints(32, &now)
	request := func(session string) *PlacementRequest {
		return &PlacementRequest{Service: "s", Prompt: heavyPrompt(session), SessionHash: place.Hash(session), Target: time.Hour, Group: 1, Groups: 2}
	}
	chosen := map[string]string{}
	for i := range 16 {
		session := fmt.Sprint("session-", i)
		id := e.ChooseInGroup(request(session))
		assert.Check(t, chosen[id] == "", "%s and %s go to engine %s", session, chosen[id], id)
		chosen[id] = session
		assert.Check(t, place.InGroup(e.byKey[fleet.EndpointKey{ID: id}].rank, 1, 2))
	}
	for id, session := range chosen {
		assert.Equal(t, e.ChooseInGroup(request(session)), id)
	}
}

// TestOwnerRefusesBeyondTarget checks that an owner names no engine while all engines of
// its group have more to prefill than the prompt's target allows, and names one again
// when they have done it.
func TestOwnerRefusesBeyondTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngineEndpoints(4, &now)
	place := func(i int) string {
		session := fmt.Sprint("session-", i)
		return e.ChooseInGroup(&PlacementRequest{Service: "s", Prompt: heavyPrompt(session), SessionHash: place.Hash(session), Target: 500 * time.Millisecond, Groups: 1})
	}
	placed := 0
	for place(placed) != "" {
		placed++
		assert.Assert(t, placed < 100)
	}
	assert.Check(t, placed >= 4)
	now = now.Add(time.Second)
	assert.Check(t, place(placed) != "")
}

// TestAssignedEndpointIsUsed checks that a request goes to the engine that the owner of
// its group chose, even if this instance would admit it nowhere, and that an engine that
// is not eligible is ignored.
func TestAssignedEndpointIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngineEndpoints(8, &now)
	query := func(assigned string) *placementQuery {
		return &placementQuery{service: "s", prompt: heavyPrompt("x"), sessionHash: 5, target: time.Second, maxAttempts: 1, assigned: assigned}
	}
	for i := range 8 {
		id := fmt.Sprint("e", i)
		p, _ := e.choose(query(id))
		assert.Assert(t, p != nil)
		assert.Equal(t, p.spec.ID, id)
		e.release(p)
	}
	p, _ := e.choose(query("gone"))
	assert.Assert(t, p != nil)
	e.release(p)
	for _, ep := range e.byKey {
		ep.ownLoad.PendingTokens = 1_000_000
	}
	p, _ = e.choose(query("gone"))
	assert.Check(t, p == nil)
	p, _ = e.choose(query("e3"))
	assert.Assert(t, p != nil)
	assert.Equal(t, p.spec.ID, "e3")
}

// TestOwnGroupIsTriedFirst checks that an instance places its own prompts of a group that
// it owns like those of others, and elsewhere only if the group has no room.
func TestOwnGroupIsTriedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngineEndpoints(32, &now)
	for i := range 20 {
		session := fmt.Sprint("session-", i)
		q := &placementQuery{service: "s", prompt: heavyPrompt(session), sessionHash: place.Hash(session), target: 100 * time.Millisecond, maxAttempts: 1, ownGroup: &placementGroup{1, 2}}
		p, _ := e.choose(q)
		assert.Assert(t, p != nil)
		assert.Equal(t, place.InGroup(p.endpoint.rank, 1, 2), i < 16, "prompt %d", i)
	}
}
