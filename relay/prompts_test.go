package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
)

const slowStore = "10.9.9.9:80"

// cachedPrompt begins with a large part that a store holds.
var cachedPrompt = &Prompt{Model: "m", InputTokens: 10000, Parts: []Part{{ID: "large", Tokens: 9000}, {ID: "own", Tokens: 1000}}}

// cacheBed returns endpoints before a store that holds a large part.
func cacheBed(now time.Time) (*Endpoints, []sharedPart, []*endpoint) {
	view := fleet.NewView()
	for _, id := range []string{"a", "b"} {
		view.PutEndpoint(&fleet.Endpoint{ID: id, Address: id + ":1", Service: "s", Slots: 8, WeightVersions: map[string]int64{"m": 1}})
	}
	c := fleet.NewConfig(1, nil)
	c.Services["s"] = &fleet.Service{Name: "s", Engine: &fleet.Engine{CacheTokens: 100000}}
	view.ApplyConfig(c)
	cache := promptcache.NewDirectory()
	cache.SetStores([]*fleet.CacheStore{{Address: slowStore, Tokens: 1 << 20, FirstByte: 6 * time.Millisecond}})
	part := promptcache.Part{Partition: partition("m", 1, nil), ID: "large"}
	cache.ApplyUpdate(slowStore, promptcache.Update{Epoch: 1, Complete: true, Changes: []promptcache.Change{{Part: part, Tokens: 9000}}}, now)
	e := newEndpoints(Options{View: view, Cache: cache, OtherLoads: peers.NewTable(), Now: func() time.Time { return now }, RetrySpan: time.Second})
	e.sync()
	var list []*endpoint
	for _, id := range []string{"a", "b"} {
		list = append(list, e.known[fleet.EndpointKey{ID: id}])
	}
	return e, split(cachedPrompt, partition("m", 1, nil)), list
}

func TestAPartIsFetchedFromItsStore(t *testing.T) {
	now := time.Unix(1000, 0)
	e, parts, list := cacheBed(now)
	e.locate(parts, list, links{}, now)
	assert.Equal(t, parts[0].from.address, slowStore)
	assert.Equal(t, bestPrefix(list[0], parts, cachedPrompt).parts, 1)
}

// TestASlowStoreIsLeftAlone replays fetches that take ten times as long as
// usual: within three the part comes from an engine that holds it, or is read.
func TestASlowStoreIsLeftAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	e, parts, list := cacheBed(now)
	for range 3 {
		e.source(slowStore).pace.ObserveSparse(10, now)
	}
	e.locate(parts, list, links{}, now)
	assert.Equal(t, bestPrefix(list[0], parts, cachedPrompt).parts, 0)
	list[1].resident.Use(parts[0].hash, 9000)
	parts[0].from = supply{}
	e.locate(parts, list, links{}, now)
	assert.Equal(t, parts[0].from.address, "b:1")
	assert.Equal(t, bestPrefix(list[0], parts, cachedPrompt).parts, 1)
	p := &pick{endpoint: list[1], spec: list[1].spec, parts: parts}
	p.fetchFrom(bestPrefix(list[1], parts, cachedPrompt).parts)
	assert.Check(t, p.fetch == nil, "an engine fetches nothing from itself")
}

func TestBehindAPartThatIsReadAllIsRead(t *testing.T) {
	now := time.Unix(1000, 0)
	_, _, list := cacheBed(now)
	prompt := &Prompt{InputTokens: 1600, Parts: []Part{{ID: "x", Tokens: 500}, {ID: "y", Tokens: 1000}, {ID: "own", Tokens: 100}}}
	parts := split(prompt, "p")
	list[0].resident.Use(parts[1].hash, 1000)
	assert.Equal(t, bestPrefix(list[0], parts, prompt), prefix{read: 1600})
	list[0].resident.Use(parts[0].hash, 500)
	assert.Equal(t, bestPrefix(list[0], parts, prompt), prefix{parts: 2, read: 100})
}

// TestASmallPartIsFetchedForTheLargeBehindIt replays sessions whose large part is
// in a store behind a small one that costs more to fetch than to read.
func TestASmallPartIsFetchedForTheLargeBehindIt(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _, list := cacheBed(now)
	name := partition("m", 1, nil)
	kept := promptcache.Update{Epoch: 1, Complete: true}
	prompt := &Prompt{InputTokens: 2400, Parts: []Part{{ID: "small", Tokens: 200}, {ID: "session", Tokens: 2000}, {ID: "own", Tokens: 200}}}
	for _, p := range prompt.Parts[:2] {
		kept.Changes = append(kept.Changes, promptcache.Change{Part: promptcache.Part{Partition: name, ID: p.ID}, Tokens: p.Tokens})
	}
	e.cache.ApplyUpdate(slowStore, kept, now)
	parts := split(prompt, name)
	e.locate(parts, list, links{}, now)
	assert.Check(t, parts[0].from.at("") > readBurden*parts[0].wanted.Tokens)
	best := bestPrefix(list[0], parts, prompt)
	assert.Equal(t, best.parts, 2)
	assert.Equal(t, best.read, 200)
	p := &pick{endpoint: list[0], spec: list[0].spec, parts: parts}
	p.fetchFrom(best.parts)
	assert.DeepEqual(t, p.fetch, []string{slowStore, slowStore, ""})
	// Alone it is read.
	assert.Equal(t, bestPrefix(list[0], parts[:1], &Prompt{InputTokens: 400}).parts, 0)
}

// TestFetchesQueueAtTheirStore replays sessions that return at once and fetch
// from one store: the last read their parts instead.
func TestFetchesQueueAtTheirStore(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _, _ := cacheBed(now)
	fetched := 0
	for range 12 {
		q := &query{service: "s", prompt: cachedPrompt, target: time.Hour, maxAttempts: 1}
		p, _ := e.choose(q)
		assert.Assert(t, p != nil)
		// Nobody is to find the part in an engine.
		p.endpoint.resident = promptcache.NewResidentParts(0)
		if p.fetch != nil {
			fetched++
		}
	}
	assert.Check(t, fetched > 2 && fetched < 12, "%d", fetched)
	assert.Check(t, e.Loads()[place.Hash(slowStore)].PendingTokens == fetched*9000)
	// The queue has run off when the fetches should have ended.
	e.now = func() time.Time { return now.Add(time.Second) }
	assert.Equal(t, e.Loads()[place.Hash(slowStore)], peers.Load{})
}

// TestAPartIsCheaperToFetchWithinItsDataCentre compares two engines.
func TestAPartIsCheaperToFetchWithinItsDataCentre(t *testing.T) {
	s := supply{address: slowStore, dataCentre: "a", fixed: 600, transfer: 2000}
	assert.Equal(t, s.at("a"), 2600)
	assert.Equal(t, s.at("b"), 4600)
}

// TestFetchesCostByTheLinks compares a store of a fast link with one of a slow.
func TestFetchesCostByTheLinks(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _, _ := cacheBed(now)
	l := linksOf(&fleet.Service{Engine: &fleet.Engine{BytesPerToken: 327_680, LinkMbps: 1.1e6}})
	large := &fleet.CacheStore{Address: "1.1.1.1:1", LinkMbps: 1.1e6, FirstByte: 6 * time.Millisecond}
	quick := &fleet.CacheStore{Address: "1.1.1.2:1", LinkMbps: 2.6e6, FirstByte: time.Millisecond / 2}
	// 1,000 tokens are 2.6 Gbit: 2.4 ms on an engine's link, 240 tokens read.
	assert.Equal(t, e.quoteStore(large, l, 1000, now).at(""), 600+238)
	assert.Equal(t, e.quoteStore(quick, l, 1000, now).at(""), 50+238)
	e.source(quick.Address).begin(10_000, 1000, now)
	e.source(large.Address).begin(10_000, 1000, now)
	assert.Equal(t, e.quoteStore(large, l, 1000, now).at(""), 600+238+2383)
	assert.Equal(t, e.quoteStore(quick, l, 1000, now).at(""), 50+238+1008)
}
