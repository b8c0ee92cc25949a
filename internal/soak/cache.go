package soak

import (
	"context"
	"hash/fnv"
	"net/http/httptest"
	"strings"
	"time"

	"redwingknot/internal/standin/fleetworker"
	"redwingknot/internal/timer"
)

// The cached memory of runs with CacheSteps.
const (
	cacheService    = "parts"
	longPartTokens  = 20_000
	longCacheTokens = 2_000_000
	maxCacheReaders = 100
	longPartGroups  = 6 // groups of callers that share a part
	longPartTime    = 3 * time.Second
	// heldCacheTokens is what engines hold of the capacity, three long parts, so that they fetch
	// parts again that others have displaced.
	heldCacheTokens = 65_000

	// longStreamTime is how long one in longStreamOneIn streams takes, longer than a load.
	longStreamTime  = 1500 * time.Millisecond
	longStreamOneIn = 2
	// otherKindsOneIn is the share of calls of any kind; the others are streams.
	otherKindsOneIn = 6
	// loadTimes is the number of different times that engines take to load weights.
	loadTimes = 4
	// preemptInterval is the time between two preemptions.
	preemptInterval = 150 * time.Millisecond
)

// cacheStore is the cache store of a run.
type cacheStore struct {
	content *fleetworker.CacheStore
	server  *httptest.Server
}

func startCacheStore() *cacheStore {
	c := fleetworker.NewCacheStore(fleetworker.CacheStoreOptions{Tokens: longCacheTokens, MaxReaders: maxCacheReaders})
	return &cacheStore{content: c, server: httptest.NewServer(c)}
}

// addr returns the address of the cache store.
func (c *cacheStore) addr() string { return c.server.Listener.Addr().String() }

// setCacheOptions sets the options of an engine in a run with CacheSteps.
func setCacheOptions(o *fleetworker.Options) {
	o.CacheTokens = heldCacheTokens
	o.LoadTime *= time.Duration(1 + hashOf(o.ID)%loadTimes)
	o.TimeOf = timeOfCachePath
}

// timeOfCachePath is timeOfPath in a run with CacheSteps.
func timeOfCachePath(path string) time.Duration {
	if d := timeOfPath(path); d > 0 {
		return d
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if callKind(kind).isStream() && hashOf(path)%longStreamOneIn == 0 {
		return longStreamTime
	}
	return 0
}

// hashOf returns a number that depends on s alone.
func hashOf(s string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // can't fail
	return int(h.Sum32() >> 1)
}

// longPart returns the number of the shared part of a caller's prompts. It changes again and again,
// so that not all engines hold the part.
func (r *run) longPart(caller int) int {
	return int(time.Since(r.started)/longPartTime)*longPartGroups + caller%longPartGroups
}

// preemptRuns has each engine preempt all its streams again and again for d.
func (r *run) preemptRuns(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && timer.Sleep(ctx, preemptInterval); {
		for _, e := range r.endpoints {
			if i := e.running(); i != nil {
				i.worker.Preempt(engineSlots)
			}
		}
	}
}
