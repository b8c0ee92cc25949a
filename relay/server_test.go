package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/promptcache"
)

func TestARequestAndItsAnswerPassUnchanged(t *testing.T) {
	b := newBed(t)
	f := b.endpoint("i-1", func(x *exchange) { x.answer(http.StatusCreated, "fine", "X-Own: 1", "Keep-Alive: timeout=9") })
	got := b.ask("/plain/a%2Fb/../c?q=1%20&r", "Tenant", "forged", "Kv-Fetch", "1.2.3.4:1", "X-Mine", "2", "Deadline-Ms", "2000")
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
	left := number(x.Header, "Deadline-Ms")
	assert.Check(t, left > 0 && left <= 2000, "%d", left)
}

func TestRequestsThatAreNotAllowed(t *testing.T) {
	b := newBed(t)
	f := b.endpoint("i-1", ok)
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
		assert.Equal(t, b.ask(c.path, c.headers...).status, c.status, c.path)
	}
	assert.Equal(t, runs(f), 0)
	got := b.ask("/open/", "Authorization", "Bearer other")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, f.requests()[0].Header.Get("Authorization"), "")
	assert.Equal(t, f.requests()[0].Header.Get("Tenant"), "")
}

// TestOutOfTouchWithTheStore checks what an instance does that can't confirm
// its configuration: nothing with a token once one may have been withdrawn, and
// no final refusal for what may have been added.
func TestOutOfTouchWithTheStore(t *testing.T) {
	b := newBed(t)
	f := b.endpoint("i-1", ok)
	b.now = func() time.Time { return time.Now().Add(4 * time.Second) }
	assert.Equal(t, b.ask("/plain/").status, http.StatusOK)
	for _, path := range []string{"/none/", "/plain/"} {
		got := b.ask(path, "Authorization", "Bearer other")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Check(t, got.header.Get("Retry-After") != "")
	}
	b.now = func() time.Time { return time.Now().Add(4900 * time.Millisecond) }
	assert.Equal(t, b.ask("/plain/").status, http.StatusServiceUnavailable)
	assert.Equal(t, b.ask("/open/").status, http.StatusOK)
	assert.Equal(t, runs(f), 2)
}

func TestATokenWithdrawnWhileARequestWaitsIsNotUsed(t *testing.T) {
	b := newBed(t)
	time.AfterFunc(100*time.Millisecond, func() {
		c := config(2, 2)
		delete(c.Teams, "key")
		b.view.ApplyConfig(c)
	})
	time.AfterFunc(200*time.Millisecond, func() { b.endpoint("i-1", ok) })
	assert.Equal(t, b.ask("/plain/").status, http.StatusUnauthorized)
}

func TestAnInstanceWithoutAConfigurationRefusesForNow(t *testing.T) {
	b := newBareBed(t)
	assert.Equal(t, b.ask("/plain/").status, http.StatusServiceUnavailable)
}

func TestNonIdempotentRequestsRunOnce(t *testing.T) {
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
		"busy": func(x *exchange) { x.answer(http.StatusServiceUnavailable, "") },
		"stray": func(x *exchange) {
			fmt.Fprint(x.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Stamp: m\r\nContent-Length: 2\r\n\r\nok")
		},
	} {
		b := newBed(t)
		f, g := b.endpoint("i-1", serve), b.endpoint("i-2", serve)
		got := b.ask("/once/")
		assert.Equal(t, got.status, http.StatusBadGateway, name)
		assert.Equal(t, got.header.Get("Response-Stamp"), "", name)
		assert.Equal(t, runs(f, g), 1, name)
	}
}

func TestWhatDidNotRunIsSentElsewhere(t *testing.T) {
	b := newBed(t)
	busy := func(x *exchange) { x.refuse(http.StatusServiceUnavailable) }
	f := b.endpoint("i-1", busy)
	g := b.endpoint("i-2", busy)
	got := b.ask("/once/")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Check(t, got.header.Get("Retry-After") != "")
	assert.Check(t, runs(f) > 0 && runs(g) > 0)
	g.mu.Lock()
	g.serve = ok
	g.mu.Unlock()
	assert.Equal(t, b.ask("/once/").status, http.StatusOK)
}

func TestAnotherEndpointAtTheAddressIsLeft(t *testing.T) {
	b := newBed(t)
	f := b.endpoint("i-1", func(x *exchange) {
		fmt.Fprint(x.conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n")
	})
	g := b.endpoint("i-2", ok)
	for range 6 {
		assert.Equal(t, b.ask("/once/").status, http.StatusOK)
	}
	assert.Check(t, runs(f) <= 1)
	assert.Equal(t, runs(g), 6)
}

func TestIdempotentRequestsAreRepeatedWithinTheirAttempts(t *testing.T) {
	b := newBed(t)
	fails := func(x *exchange) { x.answer(http.StatusInternalServerError, "sorry") }
	f, g, h := b.endpoint("i-1", fails), b.endpoint("i-2", fails), b.endpoint("i-3", fails)
	got := b.ask("/plain/")
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.header.Get("Response-Stamp"), "mark")
	assert.Equal(t, runs(f, g, h), 2)
	for _, e := range []*fakeEndpoint{f, g, h} {
		assert.Check(t, runs(e) <= 1)
	}
}

func TestTheRouteTimeEndsARequestAtOnce(t *testing.T) {
	b := newBed(t)
	closed := make(chan struct{})
	b.endpoint("i-1", func(x *exchange) {
		x.conn.Read(make([]byte, 1))
		close(closed)
	})
	began := time.Now()
	got := b.ask("/once/", "Deadline-Ms", "150")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Check(t, time.Since(began) >= 150*time.Millisecond)
	<-closed
}

func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	for _, stage := range []string{"before", "within"} {
		b := newBed(t)
		reached, closed := make(chan struct{}), make(chan struct{})
		b.endpoint("i-1", func(x *exchange) {
			if stage == "within" {
				x.beginStream()
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

// TestAStreamGoesOnElsewhere cuts a resumable stream in the middle of an event:
// the caller gets each event whole and once.
func TestAStreamGoesOnElsewhere(t *testing.T) {
	b := newBed(t)
	serve := func(x *exchange) {
		x.beginStream()
		from := number(x.Header, "Last-Event-Id") + 1
		if from == 0 {
			x.event(1)
			x.event(2)
			x.chunk(event(3)[:9])
			time.Sleep(30 * time.Millisecond)
			x.reset()
			return
		}
		for id := from - 1; id <= 5; id++ { // the last one again
			x.event(id)
		}
		x.endStream()
	}
	b.endpoint("i-1", serve)
	b.endpoint("i-2", serve)
	got := b.ask("/goon/")
	assert.NilError(t, got.err)
	want := ""
	for id := 1; id <= 5; id++ {
		want += event(id)
	}
	assert.Equal(t, got.body, want)
}

func TestAStreamThatMayNotGoOnIsCut(t *testing.T) {
	b := newBed(t)
	serve := func(x *exchange) {
		x.beginStream()
		x.event(1)
		time.Sleep(30 * time.Millisecond)
		x.reset()
	}
	f, g := b.endpoint("i-1", serve), b.endpoint("i-2", serve)
	got := b.ask("/flux/")
	assert.Check(t, got.err != nil)
	assert.Equal(t, got.body, event(1))
	assert.Equal(t, runs(f, g), 1)
}

func TestAStreamWithoutEventsIsWhole(t *testing.T) {
	b := newBed(t)
	b.endpoint("i-1", func(x *exchange) { x.beginStream(); x.endStream() })
	got := b.ask("/flux/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
}

func TestPromptsNameTheirWeightsAndPartition(t *testing.T) {
	b := newBed(t)
	c := config(2, 2)
	c.Teams["key"].Isolated = true
	b.view.ApplyConfig(c)
	f := b.endpoint("i-1", ok)
	assert.Equal(t, b.ask("/plain/", promptHeaders()...).status, http.StatusOK)
	x := f.requests()[0]
	assert.Equal(t, x.Header.Get("Expect-Version"), "1")
	assert.Equal(t, x.Header.Get("Cache-Salt"), promptcache.Partition{Model: "m", Weights: 1, Team: "team"}.String())
}

// TestWeightsThatChangedOnTheWay covers a swap between choice and arrival.
func TestWeightsThatChangedOnTheWay(t *testing.T) {
	b := newBed(t)
	b.view.SetWantedWeights("m", 2, time.Now())
	f := b.endpoint("i-1", func(x *exchange) {
		if x.Header.Get("Expect-Version") != "2" {
			x.refuse(http.StatusMisdirectedRequest, "Instance-Id: i-1")
			return
		}
		ok(x)
	})
	for range 3 {
		assert.Equal(t, b.ask("/plain/", promptHeaders()...).status, http.StatusOK)
	}
	assert.Equal(t, runs(f), 4)
}

func TestOldWeightsAreNotUsedForLong(t *testing.T) {
	b := newBed(t)
	f := b.endpoint("i-1", ok)
	b.view.SetWantedWeights("m", 2, time.Now().Add(-5500*time.Millisecond))
	got := b.ask("/plain/", promptHeaders()...)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, runs(f), 0)
}

func TestKeptPartsAreFetchedAndOthersSaved(t *testing.T) {
	b := newBed(t)
	const store = "10.9.9.9:80"
	part := promptcache.Part{Partition: promptcache.Partition{Model: "m", Weights: 1}.String(), ID: "aa"}
	b.cache.SetStores([]*fleet.CacheStore{{Address: store, Tokens: 1 << 20}})
	b.cache.ApplyUpdate(store, promptcache.Update{Epoch: 1, Complete: true}, time.Now().Add(-time.Hour))
	b.cache.ApplyUpdate(store, promptcache.Update{Epoch: 1, ClockMillis: 5000, Changes: []promptcache.Change{{Part: part, Tokens: 500}}}, time.Now())
	f := b.endpoint("i-1", ok)
	assert.Equal(t, b.ask("/plain/", promptHeaders()...).status, http.StatusOK)
	x := f.requests()[0]
	assert.Equal(t, x.Header.Get("Kv-Fetch"), store+",-,-")
	assert.Equal(t, x.Header.Get("Kv-Save"), "-,"+store+",-")
	until := number(x.Header, "Kv-Until")
	limit := 5000 + int(promptcache.FetchTimeout.Milliseconds())
	assert.Check(t, until >= limit && until < limit+1000, "%d", until)
}

func TestALongBodyPassesWhole(t *testing.T) {
	b := newBed(t)
	f := b.endpoint("i-1", func(x *exchange) { x.answer(http.StatusOK, strings.Repeat("y", 600<<10)) })
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

func TestAnEndpointThatLeavesGetsNothingMore(t *testing.T) {
	b := newBed(t)
	f := b.endpoint("i-1", ok)
	g := b.endpoint("i-2", ok)
	leaving := *f.spec
	leaving.Leaving = true
	b.view.PutEndpoint(&leaving)
	for range 5 {
		assert.Equal(t, b.ask("/plain/").status, http.StatusOK)
	}
	assert.Equal(t, runs(f), 0)
	assert.Equal(t, runs(g), 5)
}

// TestAPromptAtAPlainServiceIsAPlainRequest sends the headers of a prompt on a
// route to a service without engines.
func TestAPromptAtAPlainServiceIsAPlainRequest(t *testing.T) {
	b := newBed(t)
	c := config(2, 1)
	c.Services["s"] = &fleet.Service{Name: "s"}
	b.view.ApplyConfig(c)
	f := b.endpoint("i-1", ok)
	f.spec.WeightVersions = nil
	got := b.ask("/plain/1", promptHeaders()...)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, f.requests()[0].Header.Get("Expect-Version"), "")
	assert.Equal(t, f.requests()[0].Header.Get("Model"), "m", "it goes on unchanged")
}
