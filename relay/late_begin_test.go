package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/retry"
)

// TestEngineThatBeginsTooLateIsNotChosen guards against a request that is sent to an engine with
// outdated weights although those ahead of it there take longer than the weights may be used.
func TestEngineThatBeginsTooLateIsNotChosen(t *testing.T) {
	b := newExplainBed(2, false)
	b.view.SetWantedWeights("m", 2, b.now.Add(-3*time.Second))
	b.e.service("s").prefillRate.Observe(time.Millisecond, 1)
	for range 200 { // until the average is a millisecond a token
		b.e.service("s").prefillRate.Observe(time.Millisecond, 1)
	}
	request := ExplainedRequest{Host: "h", Path: "/stream", AttemptID: "a", Prompt: &Prompt{Model: "m", InputTokens: 100, Parts: []Part{{ID: "p", Tokens: 100}}}}
	takeBack := true
	choose := func() *pick {
		c := b.call(t, request)
		c.query.target = time.Hour // the wait alone is no reason not to choose an engine
		c.query.repeatable = takeBack
		p, _ := b.e.choose(c.query)
		return p
	}
	b.endpoint("s0").ownLoad.PendingTokens = 4000
	for range 3 {
		p := choose()
		assert.Assert(t, p != nil)
		assert.Equal(t, p.spec.ID, "s1")
		b.e.release(p)
	}
	b.endpoint("s1").ownLoad.PendingTokens = 800
	p := choose()
	assert.Assert(t, p != nil)
	b.e.release(p)
	takeBack = false // its wait may be longer than expected
	assert.Check(t, choose() == nil)
	takeBack = true
	b.endpoint("s1").ownLoad.PendingTokens = 4000
	assert.Check(t, choose() == nil)
	x, err := b.Explain(request)
	assert.NilError(t, err)
	for _, ep := range x.Endpoints {
		assert.Check(t, !ep.Candidate, "%+v", ep)
	}
	b.view.PutEndpoint(withWeights(b, "s0", 2))
	p = choose()
	assert.Check(t, p != nil && p.spec.ID == "s0")
}

// withWeights returns the entry of an endpoint that has loaded a version of the weights.
func withWeights(b *explainBed, id string, version int64) *fleet.Endpoint {
	spec := *b.endpoint(id).spec
	spec.WeightVersions = map[string]int64{"m": version}
	return &spec
}

// TestAttemptsAreTakenBackBeforeWeightsExpire guards against attempts that are given up needlessly
// early, or so late that they begin at the engine all the same.
func TestAttemptsAreTakenBackBeforeWeightsExpire(t *testing.T) {
	b := newExplainBed(1, false)
	replaced := b.now
	b.view.SetWantedWeights("m", 2, replaced)
	var c *callerRequest
	send := func() (p *pick, canceled *bool) {
		c = b.call(t, ExplainedRequest{Host: "h", Path: "/stream", AttemptID: "a", Prompt: &Prompt{Model: "m", InputTokens: 100}})
		p, _ = b.e.choose(c.query)
		canceled = new(bool)
		p.cancel = func() { *canceled = true }
		b.e.awaitBeginning(c.query, p)
		return p, canceled
	}
	_, waits := send()
	begun, goesOn := send()
	b.e.recordBegun(begun, c.query)
	b.now = replaced.Add(6*time.Second - takeBackMargin - time.Millisecond)
	b.e.takeBackLate()
	assert.Check(t, !*waits)
	b.now = b.now.Add(time.Millisecond)
	b.view.SetWantedWeights("m", 3, b.now) // does not put off the end of version 1
	b.e.takeBackLate()
	assert.Check(t, !*waits, "without a retry left")
	b.e.service("s").retryWindow = retry.NewWindow(retry.WindowConfig{Span: time.Second, Ratio: 2}, b.now)
	b.e.countRequest("s")
	b.e.takeBackLate()
	assert.Check(t, *waits && !*goesOn)
	assert.Equal(t, len(b.e.awaited), 0)
}
