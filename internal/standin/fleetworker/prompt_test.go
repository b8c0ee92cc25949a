package fleetworker

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	testEvents  = 8
	testSalt    = "m|1"
	orderHolder = "leader"
)

// testHost serves stand-ins at addresses of their own.
type testHost struct{ *testing.T }

// serve serves h and returns its address.
func (t testHost) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// engine starts an engine with a version of the weights.
func (t testHost) engine(id string, weights int64) (*Server, string) {
	s := New(Options{
		ID: id, Slots: 4, MaxQueued: 4, Model: "m", WeightsVersion: weights,
		StreamEvents: testEvents, EventGap: 20 * time.Millisecond, WorkTime: 5 * time.Millisecond, LoadTime: 40 * time.Millisecond,
	})
	return s, t.serve(s)
}

// begin sends a request with the prompt "aa:100,bb:10"; headers are further names and values in turn.
func (t testHost) begin(address, attempt string, headers ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
	assert.NilError(t, err)
	headers = append([]string{headerAttempt, attempt, headerModel, "m", headerPrompt, "aa:100,bb:10", headerSalt, testSalt}, headers...)
	for n := 0; n < len(headers); n += 2 {
		req.Header.Set(headers[n], headers[n+1])
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { res.Body.Close() })
	return res
}

// run sends a request and reads its response, which must be whole.
func (t testHost) run(address, attempt string, headers ...string) {
	t.Helper()
	data, err := io.ReadAll(t.begin(address, attempt, headers...).Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(data), "id: "), testEvents)
}

// order orders an engine to load version 2 and returns the status of the answer.
func (t testHost) order(address, mode string) int {
	t.Helper()
	body := fmt.Sprintf(`{"op":"version","model":"m","version":2,"mode":%q,"holder":%q,"fencing_token":1}`, mode, orderHolder)
	res, err := http.Post("http://"+address+"/redwingknot/order", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	res.Body.Close()
	return res.StatusCode
}

// waitFor waits until holds reports true.
func (t testHost) waitFor(what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// describe returns parts by identifier and version.
func describe(parts []CachedPart) string {
	versions := map[string]int64{}
	for _, p := range parts {
		versions[p.ID] = p.Weights
	}
	return fmt.Sprint(versions)
}

// TestPartsAreFetchedUnchecked covers where an engine gets the parts of a prompt from. They are used
// whatever weights they were made under, which the run records.
func TestPartsAreFetchedUnchecked(t *testing.T) {
	h := testHost{t}
	store := NewCacheStore(CacheStoreOptions{Tokens: 1000})
	storeAddr := h.serve(store)
	source, sourceAddr := h.engine("i-1", 1)
	h.run(sourceAddr, "a1", headerSave, storeAddr+",-")
	assert.Equal(t, describe(source.CachedParts()), "map[aa:1 bb:1]")
	h.waitFor("aa is saved", func() bool { return describe(store.Parts()) == "map[aa:1]" })
	expired := fmt.Sprint(clockMillis() - 1)
	cases := map[string]struct {
		weights int64
		headers []string
		held    string
		stale   int
	}{
		"from an engine":                {1, []string{headerFetch, sourceAddr}, "map[aa:1 bb:1]", 0},
		"from an engine, other weights": {2, []string{headerFetch, sourceAddr}, "map[aa:1 bb:1]", 2},
		"from a store, other weights":   {2, []string{headerFetch, storeAddr + ",-"}, "map[aa:1 bb:2]", 1},
		"a part of the tokens":          {2, []string{headerFetch, sourceAddr + "/50," + sourceAddr}, "map[aa:1 bb:2]", 1},
		"only what follows the miss":    {2, []string{headerFetch, "-," + sourceAddr}, "map[aa:2 bb:2]", 0},
		"too late":                      {2, []string{headerFetch, sourceAddr, headerFetchUntil, expired}, "map[aa:2 bb:2]", 0},
		"in time":                       {2, []string{headerFetch, sourceAddr, headerFetchUntil, fmt.Sprint(clockMillis() + 60_000)}, "map[aa:1 bb:1]", 2},
		"under another salt":            {2, []string{headerFetch, sourceAddr, headerSalt, "m|2"}, "map[aa:2 bb:2]", 0},
		"from nowhere":                  {2, []string{headerFetch, "127.0.0.1:1"}, "map[aa:2 bb:2]", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := testHost{t}
			engine, addr := h.engine("i-2", c.weights)
			h.run(addr, "a2", c.headers...)
			assert.Equal(t, describe(engine.CachedParts()), c.held)
			assert.Equal(t, len(engine.Runs()[0].StaleParts), c.stale, "%v", engine.Runs()[0].StaleParts)
			h.run(addr, "a3", c.headers...)
			assert.Equal(t, describe(engine.CachedParts()), c.held, "after a request that has all parts")
			assert.Equal(t, len(engine.Runs()[1].StaleParts), c.stale)
		})
	}
}

// TestOrderModes covers what becomes of a stream and of new requests while an order is carried out.
func TestOrderModes(t *testing.T) {
	cases := map[string]struct {
		status int
		whole  bool
		later  bool // the load begins when the stream has ended
	}{
		modeKeep: {http.StatusAccepted, true, false},
		modeWait: {http.StatusAccepted, true, true},
		modeCut:  {http.StatusAccepted, false, false},
		"":       {http.StatusBadRequest, true, false},
	}
	for mode, c := range cases {
		t.Run(mode, func(t *testing.T) {
			h := testHost{t}
			engine, addr := h.engine("i-1", 1)
			stream := bufio.NewReader(h.begin(addr, "a1").Body)
			_, err := stream.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, h.order(addr, mode), c.status)
			if c.status == http.StatusBadRequest {
				return
			}
			assert.Equal(t, h.order(addr, mode), http.StatusConflict)
			refused := h.begin(addr, "a2")
			assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, refused.Header.Get(headerNotExecuted), "1")
			_, err = io.ReadAll(stream)
			assert.Equal(t, err == nil, c.whole, "%v", err)
			if c.later {
				assert.Equal(t, engine.WeightsVersion(), int64(1))
			}
			h.waitFor("the weights are loaded", func() bool { return engine.WeightsVersion() == 2 })
			assert.Equal(t, len(engine.CachedParts()), 0)
			h.run(addr, "a3")
			assert.Equal(t, describe(engine.CachedParts()), "map[aa:2 bb:2]")
		})
	}
}

// TestWaitingRequestsAreRefusedByOrder covers requests in the queue when an order comes.
func TestWaitingRequestsAreRefusedByOrder(t *testing.T) {
	h := testHost{t}
	engine := New(Options{ID: "i-1", Slots: 1, MaxQueued: 1, Model: "m", WeightsVersion: 1, StreamEvents: testEvents, EventGap: 50 * time.Millisecond, LoadTime: 10 * time.Millisecond})
	addr := h.serve(engine)
	first := h.begin(addr, "a1")
	waiting := make(chan *http.Response)
	go func() { waiting <- h.begin(addr, "a2") }()
	h.waitFor("a request waits", func() bool { return len(engine.admitted) == 2 })
	assert.Equal(t, h.order(addr, modeWait), http.StatusAccepted)
	assert.Equal(t, (<-waiting).Header.Get(headerNotExecuted), "1")
	_, err := io.ReadAll(first.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(engine.Runs()), 1)
}

// TestPreemptedRunReadsUnderNewWeights covers a stream that goes on under new weights and is
// preempted: it reads its prompt again into the cache of the old ones, and saves what the store lacks.
// That is no fault of its own, but one of a request that uses these parts under the old weights.
func TestPreemptedRunReadsUnderNewWeights(t *testing.T) {
	h := testHost{t}
	store := NewCacheStore(CacheStoreOptions{Tokens: 1000})
	storeAddr := h.serve(store)
	engine, addr := h.engine("i-1", 1)
	stream := bufio.NewReader(h.begin(addr, "a1", headerSave, storeAddr).Body)
	_, err := stream.ReadString('\n')
	assert.NilError(t, err)
	h.waitFor("both parts are saved", func() bool { return describe(store.Parts()) == "map[aa:1 bb:1]" })
	res, err := http.Post("http://"+storeAddr+"/redwingknot/kv-free", "application/json", strings.NewReader(`{"parts":[["m|1","aa"]]}`))
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, h.order(addr, modeKeep), http.StatusAccepted)
	h.waitFor("the weights are loaded", func() bool { return engine.WeightsVersion() == 2 })
	assert.Equal(t, engine.Preempt(2), 1)
	rest, err := io.ReadAll(stream)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(rest), "id: "), testEvents-1)
	assert.Equal(t, describe(engine.CachedParts()), "map[aa:2 bb:2]")
	assert.Equal(t, engine.CachedParts()[0].Salt, testSalt)
	run := engine.Runs()[0]
	assert.Check(t, run.Preemptions == 1 && len(run.StaleParts) == 0, "%+v", run)
	h.waitFor("aa is saved again", func() bool { return describe(store.Parts()) == "map[aa:2 bb:1]" })
	old, oldAddr := h.engine("i-2", 1)
	h.run(oldAddr, "a2", headerFetch, addr)
	assert.Equal(t, len(old.Runs()[0].StaleParts), 2)
}

// TestSavedPartStaysAsFirstMade covers a part that is saved again, under newer weights.
func TestSavedPartStaysAsFirstMade(t *testing.T) {
	h := testHost{t}
	store := NewCacheStore(CacheStoreOptions{Tokens: 105})
	storeAddr := h.serve(store)
	for n := range 2 {
		_, addr := h.engine(fmt.Sprint("i-", n), int64(n+1))
		h.run(addr, "a", headerSave, storeAddr+",-")
		h.waitFor("aa is saved", func() bool { return len(store.Parts()) == 1 })
		assert.Equal(t, describe(store.Parts()), "map[aa:1]")
	}
	_, addr := h.engine("i-3", 1)
	h.run(addr, "a", headerSave, "-,"+storeAddr)
	savePart(storeAddr, CachedPart{Salt: testSalt, ID: "large", Tokens: 100})
	assert.Equal(t, describe(store.Parts()), "map[aa:1]", "the store is full")
}

// TestCopyOfOtherWeightsIsRecorded covers a run that continues from a copy which was made under other
// weights than the target has.
func TestCopyOfOtherWeightsIsRecorded(t *testing.T) {
	for targetWeights, stale := range map[int64]int{1: 0, 2: 3} { // two parts and the generated tokens
		h := testHost{t}
		_, sourceAddr := h.engine("i-1", 1)
		target, targetAddr := h.engine("i-2", targetWeights)
		stream := bufio.NewReader(h.begin(sourceAddr, "a1").Body)
		_, err := stream.ReadString('\n')
		assert.NilError(t, err)
		res, err := http.Post("http://"+sourceAddr+"/redwingknot/kv-move", "application/json", strings.NewReader(fmt.Sprintf(`{"id":"a1","target":%q,"last":true}`, targetAddr)))
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK)
		_, err = io.ReadAll(h.begin(targetAddr, "a1", headerFrom, sourceAddr+"/i-1.1", headerLastEvent, "0").Body)
		assert.NilError(t, err)
		assert.Equal(t, len(target.Runs()[0].StaleParts), stale, "%v", target.Runs()[0].StaleParts)
	}
}
