package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/origin"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
)

const storeAddress = "10.9.9.9:80"

// cachedPrompt begins with a large part that the store holds.
var cachedPrompt = &Prompt{Model: "m", InputTokens: 10000, Parts: []Part{{ID: "large", Tokens: 9000}, {ID: "own", Tokens: 1000}}}

// newCacheTestEndpoints returns two endpoints and a store that holds the large
// part of cachedPrompt, and the shared parts of that prompt.
func newCacheTestEndpoints(now time.Time) (*Endpoints, []sharedPart, []*endpoint) {
	view := fleet.NewView()
	for _, id := range []string{"a", "b"} {
		view.PutEndpoint(&fleet.Endpoint{ID: id, Address: id + ":1", Service: "s", Slots: 8, WeightVersions: map[string]int64{"m": 1}})
	}
	c := fleet.NewConfig(1, nil)
	c.Services["s"] = &fleet.Service{Name: "s", Engine: &fleet.Engine{CacheTokens: 100000}}
	view.ApplyConfig(c)
	cache := promptcache.NewDirectory()
	cache.SetStores([]*fleet.CacheStore{{Address: storeAddress, Tokens: 1 << 20, FirstByte: 6 * time.Millisecond}})
	part := promptcache.Part{Partition: partitionName("m", 1, nil), ID: "large"}
	cache.ApplyUpdate(storeAddress, promptcache.Update{Epoch: 1, Complete: true, ClockMillis: 5000, Changes: []promptcache.Change{{Part: part, Tokens: 9000}}}, now)
	view.Confirm(now)
	e := newEndpoints(Options{View: view, Cache: cache, OtherLoads: peers.NewTable(), Origins: origin.NewLocal(time.Now), Now: func() time.Time { return now }, RetryWindow: time.Second})
	e.syncView()
	var list []*endpoint
	for _, id := range []string{"a", "b"} {
		list = append(list, e.byKey[fleet.EndpointKey{ID: id}])
	}
	return e, splitSharedParts(cachedPrompt, partitionName("m", 1, nil)), list
}

func TestSharedPartIsFetchedFromStore(t *testing.T) {
	now := time.Unix(1000, 0)
	e, parts, list := newCacheTestEndpoints(now)
	e.findSources(weightsID{"m", 1}, parts, list, transferRates{}, now)
	assert.Equal(t, parts[0].cheapestFetch.address, storeAddress)
	assert.Equal(t, bestPrefillPlan(list[0], parts, cachedPrompt).cachedParts, 1)
}

// TestSlowStoreIsAvoided covers a store whose fetches take ten times as long as
// usual. After at most three of them, the part must be fetched from an engine
// that holds it, or be prefilled.
func TestSlowStoreIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	e, parts, list := newCacheTestEndpoints(now)
	for range 3 {
		e.source(storeAddress).slowness.ObserveSparse(10, now)
	}
	e.findSources(weightsID{"m", 1}, parts, list, transferRates{}, now)
	assert.Equal(t, bestPrefillPlan(list[0], parts, cachedPrompt).cachedParts, 0)
	list[1].residentParts.Use(parts[0].hash, 9000)
	parts[0].cheapestFetch = fetchEstimate{}
	e.findSources(weightsID{"m", 1}, parts, list, transferRates{}, now)
	assert.Equal(t, parts[0].cheapestFetch.address, "b:1")
	assert.Equal(t, bestPrefillPlan(list[0], parts, cachedPrompt).cachedParts, 1)
	p := &pick{endpoint: list[1], spec: list[1].spec, parts: parts}
	p.planFetches(bestPrefillPlan(list[1], parts, cachedPrompt).cachedParts)
	assert.Check(t, p.fetchAddresses == nil, "an engine must not fetch from itself")
}

func TestPartsAfterPrefilledPartArePrefilled(t *testing.T) {
	now := time.Unix(1000, 0)
	_, _, list := newCacheTestEndpoints(now)
	prompt := &Prompt{InputTokens: 1600, Parts: []Part{{ID: "x", Tokens: 500}, {ID: "y", Tokens: 1000}, {ID: "own", Tokens: 100}}}
	parts := splitSharedParts(prompt, "p")
	list[0].residentParts.Use(parts[1].hash, 1000)
	assert.Equal(t, bestPrefillPlan(list[0], parts, prompt), prefillPlan{prefillTokens: 1600})
	list[0].residentParts.Use(parts[0].hash, 500)
	assert.Equal(t, bestPrefillPlan(list[0], parts, prompt), prefillPlan{cachedParts: 2, prefillTokens: 100})
}

// TestSmallPartIsFetchedToReachLargePart covers sessions whose large part is in a
// store and follows a small part that costs more to fetch than to
// prefill.
func TestSmallPartIsFetchedToReachLargePart(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _, list := newCacheTestEndpoints(now)
	name := partitionName("m", 1, nil)
	update := promptcache.Update{Epoch: 1, Complete: true}
	prompt := &Prompt{InputTokens: 2400, Parts: []Part{{ID: "small", Tokens: 200}, {ID: "session", Tokens: 2000}, {ID: "own", Tokens: 200}}}
	for _, p := range prompt.Parts[:2] {
		update.Changes = append(update.Changes, promptcache.Change{Part: promptcache.Part{Partition: name, ID: p.ID}, Tokens: p.Tokens})
	}
	e.cache.ApplyUpdate(storeAddress, update, now)
	parts := splitSharedParts(prompt, name)
	e.findSources(weightsID{"m", 1}, parts, list, transferRates{}, now)
	assert.Check(t, parts[0].cheapestFetch.costAt("") > prefillCostWeight*parts[0].sized.Tokens)
	best := bestPrefillPlan(list[0], parts, prompt)
	assert.Equal(t, best.cachedParts, 2)
	assert.Equal(t, best.prefillTokens, 200)
	p := &pick{endpoint: list[0], spec: list[0].spec, parts: parts}
	p.planFetches(best.cachedParts)
	assert.DeepEqual(t, p.fetchAddresses, []string{storeAddress, storeAddress, ""})
	// Without the large part, the small one is prefilled.
	assert.Equal(t, bestPrefillPlan(list[0], parts[:1], &Prompt{InputTokens: 400}).cachedParts, 0)
}

// TestFetchCostIncludesStoreQueue covers many sessions that return at the same
// time and fetch from one store: the last ones must prefill their parts
// instead.
func TestFetchCostIncludesStoreQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _, _ := newCacheTestEndpoints(now)
	fetched := 0
	for range 12 {
		q := &placementQuery{service: "s", prompt: cachedPrompt, target: time.Hour, maxAttempts: 1}
		p, _ := e.choose(q)
		assert.Assert(t, p != nil)
		// Keeps later requests from finding the part in an engine's memory.
		p.endpoint.residentParts = promptcache.NewResidentParts(0)
		if p.fetchAddresses != nil {
			fetched++
		}
	}
	assert.Check(t, fetched > 2 && fetched < 12, "%d", fetched)
	assert.Check(t, e.Loads()[place.Hash(storeAddress)].PendingTokens == fetched*9000)
	// The queue is empty at the time at which the fetches should have ended.
	e.now = func() time.Time { return now.Add(time.Second) }
	assert.Equal(t, e.Loads()[place.Hash(storeAddress)], peers.Load{})
}

// TestFetchCostsLessWithinDataCentre compares the costs for an engine in the
// source's data centre and for one in another.
func TestFetchCostsLessWithinDataCentre(t *testing.T) {
	estimate := fetchEstimate{address: storeAddress, dataCentre: "a", fixedCost: 600, transferCost: 2000}
	assert.Equal(t, estimate.costAt("a"), 2600)
	assert.Equal(t, estimate.costAt("b"), 4600)
}

// TestFetchCostDependsOnLinkBandwidth compares a store with a fast link and one
// with a slow link.
func TestFetchCostDependsOnLinkBandwidth(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _, _ := newCacheTestEndpoints(now)
	rates := transferRatesOf(&fleet.Service{Engine: &fleet.Engine{BytesPerToken: 327_680, LinkMbps: 1.1e6}}, place.PrefillRate{})
	large := &fleet.CacheStore{Address: "1.1.1.1:1", LinkMbps: 1.1e6, FirstByte: 6 * time.Millisecond}
	quick := &fleet.CacheStore{Address: "1.1.1.2:1", LinkMbps: 2.6e6, FirstByte: time.Millisecond / 2}
	// 1,000 tokens are 2.6 Gbit. An engine's link transfers them in 2.4 ms, the time
	// in which 240 tokens are prefilled.
	assert.Equal(t, e.estimateStoreFetch(large, rates, 1000, now).costAt(""), 600+238)
	assert.Equal(t, e.estimateStoreFetch(quick, rates, 1000, now).costAt(""), 50+238)
	e.source(quick.Address).recordFetch(10_000, 10*time.Millisecond, now)
	e.source(large.Address).recordFetch(10_000, 10*time.Millisecond, now)
	assert.Equal(t, e.estimateStoreFetch(large, rates, 1000, now).costAt(""), 600+238+2383)
	assert.Equal(t, e.estimateStoreFetch(quick, rates, 1000, now).costAt(""), 50+238+1008)
}

// TestLateSourceIsAvoidedByAll checks that a store from which two instances' fetches were
// late is not used by a third one, until a fetch was in time.
func TestLateSourceIsAvoidedByAll(t *testing.T) {
	now := time.Unix(1000, 0)
	e, parts, list := newCacheTestEndpoints(now)
	source := func() string {
		for i := range parts {
			parts[i].cheapestFetch = fetchEstimate{}
		}
		e.findSources(weightsID{"m", 1}, parts, list, transferRates{}, now)
		return parts[0].cheapestFetch.address
	}
	e.otherLoads.SetReport("a", map[uint64]peers.Load{place.Hash(storeAddress): {Unreachable: 1}}, now)
	assert.Equal(t, source(), storeAddress)
	e.source(storeAddress).recordFirstData(promptcache.FetchTimeout, lateFetchRatio, now)
	assert.Equal(t, source(), "")
	assert.Equal(t, e.Loads()[place.Hash(storeAddress)].Unreachable, 1)
	now = now.Add(time.Millisecond)
	e.source(storeAddress).recordFirstData(promptcache.FetchTimeout/10, 1, now)
	assert.Equal(t, source(), storeAddress)
}

// TestPartsOfOutdatedWeightsAreNotFetched guards against a request that runs on memory made under
// newer weights than its own: a request that goes on at an engine across a load prefills its prompt
// again under the old name.
func TestPartsOfOutdatedWeightsAreNotFetched(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		prepare func(e *Endpoints)
		fetched bool
	}{
		"newest version": {func(*Endpoints) {}, true},
		"newer version has just been set": {func(e *Endpoints) {
			e.oldWeightsTime = time.Minute
			e.view.SetWantedWeights("m", 2, now.Add(-promptcache.MaxVersionAge))
		}, true},
		"newer version may be loaded soon": {func(e *Endpoints) {
			e.oldWeightsTime = time.Minute
			e.view.SetWantedWeights("m", 2, now.Add(-promptcache.MaxVersionAge-1))
		}, false},
		"confirmed just in time": {func(e *Endpoints) { e.now = func() time.Time { return now.Add(promptcache.MaxVersionAge - 1) } }, true},
		"not confirmed of late": {func(e *Endpoints) {
			e.now = func() time.Time { return now.Add(promptcache.MaxVersionAge + 1) }
			e.cache.ApplyUpdate(storeAddress, promptcache.Update{Epoch: 1, ClockMillis: 6000}, e.now())
		}, false},
		"clock of the endpoints unknown": {func(e *Endpoints) {
			cache := promptcache.NewDirectory()
			cache.SetStores([]*fleet.CacheStore{{Address: storeAddress, Tokens: 1 << 20}})
			part := promptcache.Part{Partition: partitionName("m", 1, nil), ID: "large"}
			cache.ApplyUpdate(storeAddress, promptcache.Update{Epoch: 1, Complete: true, Changes: []promptcache.Change{{Part: part, Tokens: 9000}}}, now)
			e.cache = cache
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e, _, _ := newCacheTestEndpoints(now)
			c.prepare(e)
			p, _ := e.choose(&placementQuery{service: "s", prompt: cachedPrompt, target: time.Hour, maxAttempts: 1})
			assert.Assert(t, p != nil)
			assert.Equal(t, p.fetchAddresses != nil, c.fetched)
		})
	}
}

// TestEndpointWithOtherWeightsIsNoSource guards against a fetch from an endpoint that has loaded
// newer weights since it was believed to hold the part.
func TestEndpointWithOtherWeightsIsNoSource(t *testing.T) {
	now := time.Unix(1000, 0)
	e, parts, list := newCacheTestEndpoints(now)
	e.cache = promptcache.NewDirectory()
	list[0].residentParts.Use(parts[0].hash, parts[0].sized.Tokens)
	e.findSources(weightsID{"m", 1}, parts, list, transferRates{}, now)
	assert.Equal(t, parts[0].cheapestFetch.address, list[0].address)
	list[0].recordVersion("m", 2)
	parts[0].cheapestFetch = fetchEstimate{}
	e.findSources(weightsID{"m", 1}, parts, list, transferRates{}, now)
	assert.Equal(t, parts[0].cheapestFetch.address, "")
}

// TestRunStaysWhileWeightsAreNotConfirmed guards against a copy of a run that goes on under newer
// weights, of which a cut off instance does not know, at an endpoint that has the older ones.
func TestRunStaysWhileWeightsAreNotConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _, list := newCacheTestEndpoints(now)
	q, p := &placementQuery{service: "s", prompt: cachedPrompt}, &pick{endpoint: list[0], spec: list[0].spec, weights: 1}
	assert.Check(t, e.weightsSettled(e.syncView(), q, p))
	e.now = func() time.Time { return now.Add(promptcache.MaxVersionAge + 1) }
	assert.Check(t, !e.weightsSettled(e.syncView(), q, p))
}

// TestFetchDeadlineCountsFromDecision has an instance suspended between the decision on a fetch and
// the reservation of the endpoint: the fetch must not be under way longer for that.
func TestFetchDeadlineCountsFromDecision(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _, _ := newCacheTestEndpoints(now)
	times := []time.Time{now}
	e.now = func() time.Time {
		if len(times) == 0 {
			return now.Add(10 * time.Second)
		}
		first := times[0]
		times = times[1:]
		return first
	}
	p, _ := e.choose(&placementQuery{service: "s", prompt: cachedPrompt, target: time.Hour, maxAttempts: 1})
	assert.Assert(t, p != nil && p.fetchAddresses != nil)
	c := &callerRequest{server: &Server{opts: Options{Cache: e.cache, Now: e.now}}}
	var d Dispatch
	c.planCache(p, &d)
	assert.Equal(t, d.FetchUntil, 5000+promptcache.FetchTimeout.Milliseconds())
}

// TestConfirmationDoesNotHideNewerWeights has a newer version arrive, and a later read confirmed,
// after the snapshot for a choice was taken.
func TestConfirmationDoesNotHideNewerWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(10 * time.Second)
	e, _, _ := newCacheTestEndpoints(now)
	e.oldWeightsTime = time.Minute
	arrived := false
	e.now = func() time.Time {
		if !arrived {
			arrived = true
			e.view.SetWantedWeights("m", 2, now)
			e.view.Confirm(later)
			e.cache.ApplyUpdate(storeAddress, promptcache.Update{Epoch: 1, ClockMillis: 15000}, later)
		}
		return later
	}
	p, _ := e.choose(&placementQuery{service: "s", prompt: cachedPrompt, target: time.Hour, maxAttempts: 1})
	assert.Assert(t, p != nil)
	assert.Check(t, p.fetchAddresses == nil)
}
