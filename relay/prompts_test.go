package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/promptcache"
)

const slowStore = "10.9.9.9:80"

// cacheBed returns endpoints before a store that holds a large part.
func cacheBed(now time.Time) (*Endpoints, []sharedPart, []*endpoint) {
	view := fleet.NewView()
	for _, id := range []string{"a", "b"} {
		view.PutEndpoint(&fleet.Endpoint{ID: id, Address: id + ":1", Service: "s", Slots: 8, Weights: map[string]int64{"m": 1}})
	}
	c := fleet.NewConfig(1, nil)
	c.Services["s"] = &fleet.Service{Name: "s", Engine: &fleet.Engine{CacheTokens: 100000}}
	view.ApplyConfig(c)
	cache := promptcache.NewDirectory()
	cache.SetStores([]*fleet.CacheStore{{Address: slowStore, Tokens: 1 << 20}})
	part := promptcache.Part{Partition: partition("m", 1, nil), ID: "large"}
	cache.Told(slowStore, promptcache.News{Epoch: 1, Whole: true, Changes: []promptcache.Change{{Part: part, Tokens: 9000}}}, now)
	e := newEndpoints(Options{View: view, Cache: cache, Others: peers.NewTable(), Now: func() time.Time { return now }, RetrySpan: time.Second})
	e.sync()
	prompt := &Prompt{Model: "m", Input: 10000, Parts: []Part{{ID: "large", Tokens: 9000}, {ID: "own", Tokens: 1000}}}
	var list []*endpoint
	for _, id := range []string{"a", "b"} {
		list = append(list, e.known[fleet.Key{ID: id}])
	}
	return e, split(prompt, partition("m", 1, nil)), list
}

func TestAPartIsFetchedFromItsStore(t *testing.T) {
	now := time.Unix(1000, 0)
	e, parts, list := cacheBed(now)
	e.locate(parts, list, now)
	assert.Equal(t, parts[0].source, slowStore)
	assert.Check(t, parts[0].worthFetching(list[0].spec))
}

// TestASlowStoreIsLeftAlone replays fetches that take ten times as long as
// usual: within three the part comes from an engine that holds it, or is read.
func TestASlowStoreIsLeftAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	e, parts, list := cacheBed(now)
	for range 3 {
		e.source(slowStore).ObserveFew(10, now)
	}
	e.locate(parts, list, now)
	assert.Check(t, !parts[0].worthFetching(list[0].spec))
	list[1].resident.Use(parts[0].hash, 9000)
	parts[0].source = ""
	e.locate(parts, list, now)
	assert.Equal(t, parts[0].source, "b:1")
	assert.Check(t, parts[0].worthFetching(list[0].spec))
	assert.Check(t, !parts[0].worthFetching(list[1].spec), "an engine fetches nothing from itself")
}

func TestBehindAPartThatIsReadAllIsRead(t *testing.T) {
	now := time.Unix(1000, 0)
	_, _, list := cacheBed(now)
	prompt := &Prompt{Input: 1600, Parts: []Part{{ID: "x", Tokens: 500}, {ID: "y", Tokens: 1000}, {ID: "own", Tokens: 100}}}
	parts := split(prompt, "p")
	list[0].resident.Use(parts[1].hash, 1000)
	read, fetch := missing(list[0], parts, prompt)
	assert.Equal(t, read, 1600)
	assert.Equal(t, fetch, 0)
	list[0].resident.Use(parts[0].hash, 500)
	read, _ = missing(list[0], parts, prompt)
	assert.Equal(t, read, 100)
}
