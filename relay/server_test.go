package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
)

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", func(x *exchange) { x.respond(http.StatusCreated, "fine", "X-Own: 1", "Keep-Alive: timeout=9") })
	got := b.send("/plain/a%2Fb/../c?q=1%20&r", "Tenant", "forged", "Kv-Fetch", "1.2.3.4:1", "X-Mine", "2", "Deadline-Ms", "2000")
	assert.Equal(t, got.status, http.StatusCreated)
	assert.Equal(t, got.body, "fine")
	assert.Equal(t, got.header.Get("Response-Stamp"), "mark")
	assert.Equal(t, got.header.Get("X-Own"), "1")
	assert.Equal(t, got.header.Get("Keep-Alive"), "")
	x := f.requests()[0]
	assert.Equal(t, x.RequestURI, "/plain/a%2Fb/../c?q=1%20&r")
	assert.Equal(t, x.Method, http.MethodPost)
	assert.Equal(t, x.Host, "h")
	assert.Equal(t, x.body, "hello")
	assert.Equal(t, x.Header.Get("Tenant"), "team")
	assert.Equal(t, x.Header.Get("Authorization"), "")
	assert.Equal(t, x.Header.Get("Kv-Fetch"), "")
	assert.Equal(t, x.Header.Get("X-Mine"), "2")
	assert.Equal(t, x.Header.Get("Expect-Instance"), "i-1")
	left := headerInt(x.Header, "Deadline-Ms")
	assert.Check(t, left > 0 && left <= 2000, "%d", left)
}

func TestUnauthorizedAndInvalidRequestsAreRefused(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", respondOK)
	for _, c := range []struct {
		path    string
		headers []string
		status  int
	}{
		{"/none/", nil, http.StatusNotFound},
		{"/plain/", []string{"Authorization", "Bearer other"}, http.StatusUnauthorized},
		{"/plain/", []string{"Authorization", ""}, http.StatusUnauthorized},
		{"/plain/", []string{"Deadline-Ms", "soon"}, http.StatusBadRequest},
	} {
		assert.Equal(t, b.send(c.path, c.headers...).status, c.status, c.path)
	}
	assert.Equal(t, requestCount(f), 0)
	got := b.send("/open/", "Authorization", "Bearer other")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, f.requests()[0].Header.Get("Authorization"), "")
	assert.Equal(t, f.requests()[0].Header.Get("Tenant"), "")
}

// TestStaleConfiguration checks an instance that cannot confirm its
// configuration. It must relay no request with a token once the token may have
// been withdrawn, and must not permanently refuse a request for a route or token
// that may have been added.
func TestStaleConfiguration(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", respondOK)
	b.now = func() time.Time { return time.Now().Add(4 * time.Second) }
	assert.Equal(t, b.send("/plain/").status, http.StatusOK)
	for _, path := range []string{"/none/", "/plain/"} {
		got := b.send(path, "Authorization", "Bearer other")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Check(t, got.header.Get("Retry-After") != "")
	}
	b.now = func() time.Time { return time.Now().Add(4900 * time.Millisecond) }
	assert.Equal(t, b.send("/plain/").status, http.StatusServiceUnavailable)
	assert.Equal(t, b.send("/open/").status, http.StatusOK)
	assert.Equal(t, requestCount(f), 2)
}

func TestTokenWithdrawnWhileRequestWaits(t *testing.T) {
	b := newTestBed(t)
	time.AfterFunc(100*time.Millisecond, func() {
		c := newConfig(2, 2)
		delete(c.Teams, "key")
		b.view.ApplyConfig(c)
	})
	time.AfterFunc(200*time.Millisecond, func() { b.startEndpoint("i-1", respondOK) })
	assert.Equal(t, b.send("/plain/").status, http.StatusUnauthorized)
}

func TestRequestsAreRefusedTemporarilyWithoutConfiguration(t *testing.T) {
	b := newUnconfiguredTestBed(t)
	assert.Equal(t, b.send("/plain/").status, http.StatusServiceUnavailable)
}

func TestNonIdempotentRequestsAreSentOnce(t *testing.T) {
	for name, serve := range map[string]func(*exchange){
		"lost": func(x *exchange) { x.reset() },
		"cut": func(x *exchange) {
			fmt.Fprint(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
			x.conn.Close()
		},
		"garbled": func(x *exchange) { fmt.Fprint(x.conn, "what is this\r\n\r\n"); x.conn.Close() },
		"unmarked": func(x *exchange) {
			fmt.Fprint(x.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\nok")
		},
		"busy": func(x *exchange) { x.respond(http.StatusServiceUnavailable, "") },
		"stray": func(x *exchange) {
			fmt.Fprint(x.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Stamp: m\r\nContent-Length: 2\r\n\r\nok")
		},
	} {
		b := newTestBed(t)
		f, g := b.startEndpoint("i-1", serve), b.startEndpoint("i-2", serve)
		got := b.send("/once/")
		assert.Equal(t, got.status, http.StatusBadGateway, name)
		assert.Equal(t, got.header.Get("Response-Stamp"), "", name)
		assert.Equal(t, requestCount(f, g), 1, name)
	}
}

func TestUnexecutedRequestIsSentToAnotherEndpoint(t *testing.T) {
	b := newTestBed(t)
	busy := func(x *exchange) { x.refuseUnexecuted(http.StatusServiceUnavailable) }
	f := b.startEndpoint("i-1", busy)
	g := b.startEndpoint("i-2", busy)
	got := b.send("/once/")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Check(t, got.header.Get("Retry-After") != "")
	assert.Check(t, requestCount(f) > 0 && requestCount(g) > 0)
	g.mu.Lock()
	g.serve = respondOK
	g.mu.Unlock()
	assert.Equal(t, b.send("/once/").status, http.StatusOK)
}

func TestReplacedEndpointIsNotUsed(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", func(x *exchange) {
		fmt.Fprint(x.conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n")
	})
	g := b.startEndpoint("i-2", respondOK)
	for range 6 {
		assert.Equal(t, b.send("/once/").status, http.StatusOK)
	}
	assert.Check(t, requestCount(f) <= 1)
	assert.Equal(t, requestCount(g), 6)
}

func TestIdempotentRequestsAreRetriedUpToMaxAttempts(t *testing.T) {
	b := newTestBed(t)
	fails := func(x *exchange) { x.respond(http.StatusInternalServerError, "sorry") }
	f, g, h := b.startEndpoint("i-1", fails), b.startEndpoint("i-2", fails), b.startEndpoint("i-3", fails)
	got := b.send("/plain/")
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.header.Get("Response-Stamp"), "mark")
	assert.Equal(t, requestCount(f, g, h), 2)
	for _, e := range []*fakeEndpoint{f, g, h} {
		assert.Check(t, requestCount(e) <= 1)
	}
}

func TestDeadlineEndsRequestAndClosesConnection(t *testing.T) {
	b := newTestBed(t)
	closed := make(chan struct{})
	b.startEndpoint("i-1", func(x *exchange) {
		x.conn.Read(make([]byte, 1))
		close(closed)
	})
	began := time.Now()
	got := b.send("/once/", "Deadline-Ms", "150")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Check(t, time.Since(began) >= 150*time.Millisecond)
	<-closed
}

// TestDeadlineBeforeFirstAttemptSaysNotRun checks that a request that no endpoint got is
// refused with a status that states that it has not run: its caller may repeat it.
func TestDeadlineBeforeFirstAttemptSaysNotRun(t *testing.T) {
	b := newTestBed(t)
	got := b.send("/once/", "Deadline-Ms", "150")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Check(t, got.header.Get("Retry-After") != "")
}

// TestRetryAfterFollowsBacklog checks that the caller of a prompt that is refused because
// of a backlog is told to come back when the engine has prefilled it.
func TestRetryAfterFollowsBacklog(t *testing.T) {
	b := newTestBed(t)
	e := b.startEndpoint("i-1", respondOK)
	b.loads.SetReport("other", map[uint64]peers.Load{place.Hash("i-1"): {Running: 8, PendingTokens: 500_000}}, time.Now())
	const backlog = 5.0 // seconds, at the prefill rate assumed without measurements
	got := b.send("/flux/", promptHeaders()...)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, requestCount(e), 0)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Check(t, after > backlog-1 && after < 2*backlog, "%v", after)
}

func TestCallerDisconnectClosesEndpointConnection(t *testing.T) {
	// The caller disconnects before or within the response.
	for _, stage := range []string{"before", "within"} {
		b := newTestBed(t)
		reached, closed := make(chan struct{}), make(chan struct{})
		b.startEndpoint("i-1", func(x *exchange) {
			if stage == "within" {
				x.startStream()
				x.event(1)
			}
			close(reached)
			x.conn.Read(make([]byte, 1))
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-reached
			cancel()
		}()
		res, err := http.DefaultClient.Do(b.request(ctx, "/flux/", "hello"))
		if err == nil {
			defer res.Body.Close()
		}
		<-closed
	}
}

// TestResumableStreamContinuesOnAnotherEndpoint breaks off a resumable stream in
// the middle of an event. The caller must receive each event completely and once.
func TestResumableStreamContinuesOnAnotherEndpoint(t *testing.T) {
	b := newTestBed(t)
	serve := func(x *exchange) {
		x.startStream()
		from := headerInt(x.Header, "Last-Event-Id") + 1
		if from == 0 {
			x.event(1)
			x.event(2)
			x.chunk(eventText(3)[:9])
			time.Sleep(30 * time.Millisecond)
			x.reset()
			return
		}
		for id := from - 1; id <= 5; id++ { // repeats the last event that the caller has
			x.event(id)
		}
		x.endStream()
	}
	b.startEndpoint("i-1", serve)
	b.startEndpoint("i-2", serve)
	got := b.send("/goon/")
	assert.NilError(t, got.err)
	want := ""
	for id := 1; id <= 5; id++ {
		want += eventText(id)
	}
	assert.Equal(t, got.body, want)
}

func TestNonResumableStreamIsTruncated(t *testing.T) {
	b := newTestBed(t)
	serve := func(x *exchange) {
		x.startStream()
		x.event(1)
		time.Sleep(30 * time.Millisecond)
		x.reset()
	}
	f, g := b.startEndpoint("i-1", serve), b.startEndpoint("i-2", serve)
	got := b.send("/flux/")
	assert.Check(t, got.err != nil)
	assert.Equal(t, got.body, eventText(1))
	assert.Equal(t, requestCount(f, g), 1)
}

func TestEmptyStreamIsComplete(t *testing.T) {
	b := newTestBed(t)
	b.startEndpoint("i-1", func(x *exchange) { x.startStream(); x.endStream() })
	got := b.send("/flux/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

func TestPromptHeadersNameWeightsAndPartition(t *testing.T) {
	b := newTestBed(t)
	c := newConfig(2, 2)
	c.Teams["key"].Isolated = true
	b.view.ApplyConfig(c)
	f := b.startEndpoint("i-1", respondOK)
	assert.Equal(t, b.send("/plain/", promptHeaders()...).status, http.StatusOK)
	x := f.requests()[0]
	assert.Equal(t, x.Header.Get("Expect-Version"), "1")
	assert.Equal(t, x.Header.Get("Cache-Salt"), promptcache.Partition{Model: "m", Weights: 1, Team: "team"}.String())
}

// TestWeightsReplacedBeforeRequestArrives covers an endpoint that loads new
// weights after it was chosen and before the request arrives.
func TestWeightsReplacedBeforeRequestArrives(t *testing.T) {
	b := newTestBed(t)
	b.view.SetWantedWeights("m", 2, time.Now())
	f := b.startEndpoint("i-1", func(x *exchange) {
		if x.Header.Get("Expect-Version") != "2" {
			x.refuseUnexecuted(http.StatusMisdirectedRequest, "Instance-Id: i-1")
			return
		}
		respondOK(x)
	})
	for range 3 {
		assert.Equal(t, b.send("/plain/", promptHeaders()...).status, http.StatusOK)
	}
	assert.Equal(t, requestCount(f), 4)
}

func TestOldWeightsAreNotUsedAfterTimeLimit(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", respondOK)
	b.view.SetWantedWeights("m", 2, time.Now().Add(-5500*time.Millisecond))
	got := b.send("/plain/", promptHeaders()...)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, requestCount(f), 0)
}

// TestWeightsSetAgainLiftNoBan guards against weights that are used again, long after they were
// replaced, because still newer ones are set.
func TestWeightsSetAgainLiftNoBan(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", respondOK)
	b.view.SetWantedWeights("m", 2, time.Now().Add(-5500*time.Millisecond))
	b.view.SetWantedWeights("m", 3, time.Now())
	got := b.send("/plain/", promptHeaders()...)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, requestCount(f), 0)
}

func TestStoredPartsAreFetchedAndOthersSaved(t *testing.T) {
	b := newTestBed(t)
	const store = "10.9.9.9:80"
	part := promptcache.Part{Partition: promptcache.Partition{Model: "m", Weights: 1}.String(), ID: "aa"}
	b.cache.SetStores([]*fleet.CacheStore{{Address: store, Tokens: 1 << 20}})
	// Nothing is saved to a store soon after its first report, so that one is old.
	b.cache.ApplyUpdate(store, promptcache.Update{Epoch: 1, Complete: true}, time.Now().Add(-time.Hour))
	b.cache.ApplyUpdate(store, promptcache.Update{Epoch: 1, ClockMillis: 5000, Changes: []promptcache.Change{{Part: part, Tokens: 500}}}, time.Now())
	f := b.startEndpoint("i-1", respondOK)
	assert.Equal(t, b.send("/plain/", promptHeaders()...).status, http.StatusOK)
	x := f.requests()[0]
	assert.Equal(t, x.Header.Get("Kv-Fetch"), store+",-,-")
	assert.Equal(t, x.Header.Get("Kv-Save"), "-,"+store+",-")
	until := headerInt(x.Header, "Kv-Until")
	limit := 5000 + int(promptcache.FetchTimeout.Milliseconds())
	assert.Check(t, until >= limit && until < limit+1000, "%d", until)
}

func TestLongBodiesAndBodyLimit(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", func(x *exchange) { x.respond(http.StatusOK, strings.Repeat("y", 600<<10)) })
	body := strings.Repeat("x", 300<<10)
	res, err := http.DefaultClient.Do(b.request(context.Background(), "/plain/", body))
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.ContentLength, int64(600<<10))
	assert.Equal(t, f.requests()[0].body, body)
	res, err = http.DefaultClient.Do(b.request(context.Background(), "/plain/", strings.Repeat("x", 2<<20)))
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
}

func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", respondOK)
	g := b.startEndpoint("i-2", respondOK)
	leaving := *f.spec
	leaving.Leaving = true
	b.view.PutEndpoint(&leaving)
	for range 5 {
		assert.Equal(t, b.send("/plain/").status, http.StatusOK)
	}
	assert.Equal(t, requestCount(f), 0)
	assert.Equal(t, requestCount(g), 5)
}

// TestPromptHeadersOnServiceWithoutEngines sends the headers of a prompt on a
// route to a service without engines: they must be forwarded unchanged, and the
// request must be handled as one without a prompt.
func TestPromptHeadersOnServiceWithoutEngines(t *testing.T) {
	b := newTestBed(t)
	c := newConfig(2, 1)
	c.Services["s"] = &fleet.Service{Name: "s"}
	b.view.ApplyConfig(c)
	f := b.startEndpoint("i-1", respondOK)
	f.spec.WeightVersions = nil
	got := b.send("/plain/1", promptHeaders()...)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, f.requests()[0].Header.Get("Expect-Version"), "")
	assert.Equal(t, f.requests()[0].Header.Get("Model"), "m", "the header must be forwarded unchanged")
}
