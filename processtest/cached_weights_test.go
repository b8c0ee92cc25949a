package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
	"redwingknot/promptcache"
)

// cachingEngine has streams of 30 s at paths that end in "long", and of 60 ms at others.
var cachingEngine = fleetworker.Options{
	Service: "llm", Model: "m", WeightsVersion: 1, Slots: 16, MaxQueued: 16, StreamEvents: 40,
	TimeOf: func(p string) time.Duration {
		if path.Base(p) == "long" {
			return 30 * time.Second
		}
		return 60 * time.Millisecond
	},
}

const (
	cachingEngines   = 8
	sharedPartTokens = 20000
	pollDelay        = 5 * time.Millisecond
	// saveDelay is longer than a gateway saves nothing to a cache store that has restarted.
	saveDelay = 3500 * time.Millisecond
)

// cachingDeployment has engines with the identifiers i-a-1, i-b-1 and so on, and one gateway.
type cachingDeployment struct {
	*gatewayDeployment
	engines []*fleetworker.Server
	addrs   []string
	gateway *gatewayProcess
	sent    atomic.Int64
	calls   context.Context // ends the requests of callers
	streams sync.WaitGroup
}

// newCachingDeployment starts a deployment. The first engine loads weights much faster than the
// others. The cache store has room for a number of tokens.
func newCachingDeployment(t *testing.T, storeAddr string, storeTokens int) *cachingDeployment {
	calls, end := context.WithCancel(t.Context())
	d := &cachingDeployment{gatewayDeployment: newGatewayDeployment(t), calls: calls}
	d.loadMillis = 20_000 // requests begin at engines with the old weights throughout the test
	t.Cleanup(func() {
		end()
		d.streams.Wait()
	})
	store := fmt.Sprintf(`,{"name":"parts","kv_store_addr":%q,"zone":"z","kv_capacity_tokens":%d,"managed":true,"max_concurrent":8,"link_mbps":100000,"first_ms":1}`, storeAddr, storeTokens)
	d.putKey("op/config", `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","timeout_ms":60000,
		"target_latency_ms":600,"priority":0,"service":"llm","max_attempts":1}],
		"services":[{"name":"llm","health_path":"/health","max_conns":400,"engine":{"kv_capacity_tokens":1000000,"kv_token_bytes":1000,
		"link_mbps":10000,"models":[{"name":"m"}]}}`+store+`],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	for n := range cachingEngines {
		o := cachingEngine
		o.LoadTime = 3 * time.Second
		if n == 0 {
			o.LoadTime = 100 * time.Millisecond
		}
		e := d.startCrashableEndpoint(string(rune('a'+n)), crashTiming{restart: time.Hour}, o)
		d.engines = append(d.engines, e.all[0])
		d.addrs = append(d.addrs, e.server.Listener.Addr().String())
	}
	d.gateway = d.startGateway("front-1")
	return d
}

// send sends a request with a shared part, under a path with the given last element, and reads the
// response. It reports whether that is whole.
func (d *cachingDeployment) send(part, last string) bool {
	id := fmt.Sprint("c", d.sent.Add(1))
	call := fleetwire.Call{
		Attempt: id, Method: http.MethodPost, Host: "h", Path: "/x/" + part + "/" + last, Body: "body", Token: "key", Timeout: time.Minute,
		Prompt: &fleetwire.Prompt{Model: "m", Input: sharedPartTokens + 100, Output: 40, Parts: []string{fmt.Sprint(part, ":", sharedPartTokens), fmt.Sprintf("%x:100", id)}},
	}
	r, err := call.Request()
	if err != nil {
		return false
	}
	r.URL.Host = d.gateway.frontAddr
	res, err := http.DefaultClient.Do(r.WithContext(d.calls))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return err == nil && strings.Count(string(data), "id: ") == cachingEngine.StreamEvents
}

// partsByEngine sends requests with a part each until every engine has read one, and returns the
// parts by the number of their engine.
func (d *cachingDeployment) partsByEngine() []string {
	d.t.Helper()
	parts := make([]string, len(d.engines))
	for n := range 400 {
		part := fmt.Sprintf("%x", 1<<12+n)
		d.send(part, "short")
		missing := 0
		for i, e := range d.engines {
			if runs := e.Runs(); parts[i] == "" && len(runs) > 0 {
				parts[i] = strings.Split(runs[0].Path, "/")[2]
			}
			if parts[i] == "" {
				missing++
			}
		}
		if missing == 0 {
			return parts
		}
	}
	d.t.Fatal("some engine has read no part")
	return nil
}

// longRuns returns the number of long streams that an engine has begun.
func longRuns(e *fleetworker.Server) int {
	n := 0
	for _, run := range e.Runs() {
		if path.Base(run.Path) == "long" && !run.FirstEventAt.IsZero() {
			n++
		}
	}
	return n
}

// beginLong begins long streams with a part until n of them run at an engine.
func (d *cachingDeployment) beginLong(e *fleetworker.Server, part string, n int) {
	for have := longRuns(e); have < n; have = longRuns(e) {
		d.streams.Go(func() { d.send(part, "long") })
		for wait := time.Second; wait > 0 && longRuns(e) == have; wait -= pollDelay {
			time.Sleep(pollDelay)
		}
	}
}

// waitUntil waits until holds reports true.
func (d *cachingDeployment) waitUntil(what string, holds func() bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(pollDelay))
}

// preemptAfterLoad names new weights, which the first engine loads at once, and preempts the stream
// there. It returns when the stream has read its prompt again.
func (d *cachingDeployment) preemptAfterLoad() {
	first := d.engines[0]
	named := time.Now()
	d.putKey("op/version/m", `{"model":"m","version":2}`)
	d.waitUntil("the first engine has loaded", func() bool { return first.WeightsVersion() == 2 })
	assert.Check(d.t, first.Orders()[0].At.Sub(named) >= promptcache.MaxVersionAge+promptcache.FetchTimeout)
	d.putKey("servers/i-a-1", string(first.Entry(d.addrs[0], "z", 2)))
	preempted := first.Preempt(1)
	assert.Assert(d.t, preempted == 1)
	d.waitUntil("the stream has read its prompt again", func() bool {
		again := 0
		for _, run := range first.Runs() {
			again += run.Preemptions
		}
		return again == preempted
	})
}

// TestNoRequestRunsOnCacheOfOtherWeights has a stream go on at an engine that loads new weights, and
// read its prompt again after that. Requests with the same part begin at engines that still have the
// old weights: they must not run on what the stream has read, neither from the engine nor from a
// cache store that had lost the part before.
func TestNoRequestRunsOnCacheOfOtherWeights(t *testing.T) {
	for _, source := range []string{"engine", "store"} {
		t.Run(source, func(t *testing.T) {
			tokens := 1 // no part fits
			if source == "store" {
				tokens = 1_000_000
			}
			store := fleetworker.NewCacheStore(fleetworker.CacheStoreOptions{Tokens: tokens, MaxReaders: 8})
			server := httptest.NewServer(store)
			t.Cleanup(server.CloseClientConnections)
			storeAddr := server.Listener.Addr().String()
			d := newCachingDeployment(t, storeAddr, tokens)
			d.waitUntil("a request is whole", func() bool { return d.send("f00d", "short") })
			parts := d.partsByEngine()
			if source == "store" {
				store.Restart()
				time.Sleep(saveDelay)
			}
			// The engine with the fewest streams loads first.
			d.beginLong(d.engines[0], parts[0], 1)
			for n, part := range parts[1:] {
				d.beginLong(d.engines[n+1], part, 2)
			}
			if source == "store" {
				store.Restart()
			}
			d.preemptAfterLoad()
			d.waitUntil("the part is held under the old name, made under the new weights", func() bool {
				held := d.engines[0].CachedParts()
				if source == "store" {
					held = store.Parts()
				}
				return slices.ContainsFunc(held, func(p fleetworker.CachedPart) bool {
					return p.Salt == "m|1" && p.ID == parts[0] && p.Weights == 2
				})
			})
			if source == "store" {
				d.deleteKey("servers/i-a-1")
			} else {
				d.engines[0].SetSlowFactor(50) // so that it does not take all requests
			}
			var requests sync.WaitGroup
			for range 20 {
				requests.Go(func() { d.send(parts[0], "short") })
				time.Sleep(150 * time.Millisecond)
			}
			requests.Wait()
			old, stale := 0, []string(nil)
			for n, e := range d.engines[1:] {
				for _, run := range e.Runs() {
					if strings.HasPrefix(run.Path, "/x/"+parts[0]+"/") {
						old++
					}
					for _, part := range run.StaleParts {
						stale = append(stale, fmt.Sprintf("%s at engine %d: %s", run.Attempt, n+1, part))
					}
				}
			}
			t.Logf("%d requests with the part have begun at engines that load later; the store is at %q, the first engine at %s", old, storeAddr, d.addrs[0])
			assert.Check(t, old > 0)
			assert.Check(t, len(stale) == 0, "%d requests, the first is %s", len(stale), append(stale, "")[0])
		})
	}
}
