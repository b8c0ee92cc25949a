package relay

import (
	"context"
	"maps"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/fleet"
	"redwingknot/peers"
)

// TestEndpointsThatOthersCannotReachAreAvoided checks that a request goes to no engine
// that two other instances could not reach, unless no other engine is left or this
// instance has just been answered.
func TestEndpointsThatOthersCannotReachAreAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngineEndpoints(4, &now)
	e.syncView()
	dark := map[uint64]peers.Load{}
	for _, id := range []string{"e0", "e1", "e2"} {
		dark[e.byKey[fleet.EndpointKey{ID: id}].idHash] = peers.Load{Unreachable: 1}
	}
	candidates := func() int {
		q := &placementQuery{service: "s", maxAttempts: 1}
		return len(e.eligible(e.syncView(), q, now))
	}
	e.otherLoads.SetReport("a", dark, now)
	assert.Equal(t, candidates(), 4, "one instance alone may be cut off")
	e.otherLoads.SetReport("b", dark, now)
	assert.Equal(t, candidates(), 1)
	e.byKey[fleet.EndpointKey{ID: "e0"}].health.RecordSuccess(now)
	assert.Equal(t, candidates(), 2)
	now = now.Add(time.Second)
	dark = maps.Clone(dark)
	dark[e.byKey[fleet.EndpointKey{ID: "e3"}].idHash] = peers.Load{Unreachable: 1}
	e.otherLoads.SetReport("a", dark, now)
	e.otherLoads.SetReport("b", dark, now)
	assert.Equal(t, candidates(), 4, "without another engine, all are tried")
}

// TestProbeFindsEndpointThatIsBack checks that an instance that could not reach an
// endpoint sends requests there again once it accepts connections.
func TestProbeFindsEndpointThatIsBack(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngineEndpoints(1, &now)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	e.view.PutEndpoint(&fleet.Endpoint{ID: "e0", Address: listener.Addr().String(), Service: "s", Slots: 1})
	e.syncView()
	ep := e.byKey[fleet.EndpointKey{ID: "e0"}]
	ep.health.RecordUnreachable(now)
	assert.Equal(t, e.Loads()[ep.idHash].Unreachable, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e.probeUnreachable(ctx) // sets the time of the first probe
	assert.Check(t, !ep.nextProbe.IsZero())
	ep.nextProbe = now
	e.probeUnreachable(ctx)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Loads()[ep.idHash].Unreachable > 0 {
			return poll.Continue("still unreachable")
		}
		return poll.Success()
	}, poll.WithTimeout(90*time.Second), poll.WithDelay(time.Millisecond))
	assert.Check(t, ep.health.Usable(now))
	idle, _ := ep.pool.ConnCounts()
	assert.Equal(t, idle, 1)
}
