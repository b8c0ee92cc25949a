package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/origin"
	"redwingknot/peers"
	"redwingknot/place"
)

// TestNothingIsSentToEngineThatLoadsNext guards against requests that are sent to an engine
// which the leader is about to order to load, and against an engine that stays unused because
// its load was planned by a leader that is gone.
func TestNothingIsSentToEngineThatLoadsNext(t *testing.T) {
	now := time.Unix(1000, 0)
	view := fleet.NewView()
	view.PutEndpoint(&fleet.Endpoint{ID: "e", Address: "10.0.0.1:1", Service: "s", Slots: 4, WeightVersions: map[string]int64{"m": 1}})
	view.SetWantedWeights("m", 2, now)
	e := newEndpoints(Options{View: view, OtherLoads: peers.NewTable(), Origins: origin.NewLocal(time.Now), Now: func() time.Time { return now }, RetryWindow: time.Second, OldWeightsTime: time.Minute})
	serves := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		s := e.syncView()
		return e.modelStanding(s, e.byKey[s.Endpoints["e"].Key()], "m", now) == place.MayRun
	}
	hear := func(phase peers.LoadPhase, version int64) {
		e.RecordWeightLoads([]peers.WeightLoad{{Target: incarnationHash(view.Snapshot().Endpoints["e"].Key()), Model: place.Hash("m"), Version: version, Phase: phase, Since: now}})
	}
	assert.Check(t, serves())
	hear(peers.LoadPlanned, 2)
	assert.Check(t, !serves())
	hear(peers.LoadOrdered, 2)
	now = now.Add(plannedLoadTime)
	assert.Check(t, !serves())
	hear(peers.LoadPlanned, 2) // late word of an earlier phase
	hear(peers.LoadComplete, 2)
	assert.Check(t, serves())
	hear(peers.LoadPlanned, 3)
	assert.Check(t, !serves())
	now = now.Add(plannedLoadTime)
	assert.Check(t, serves(), "the leader that planned the load is gone")
	now = now.Add(toldLoadTime)
	assert.Equal(t, len(e.WeightLoads()), 0)
}
