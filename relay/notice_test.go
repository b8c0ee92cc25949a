package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/peers"
	"redwingknot/place"
)

// sendUntilReached sends requests until the endpoint has received one.
func (b *testBed) sendUntilReached(f *fakeEndpoint, path string, headers ...string) {
	b.t.Helper()
	for i := 0; requestCount(f) == 0; i++ {
		assert.Assert(b.t, i < 100, "the endpoint gets no request")
		b.send(path, append(headers, "Attempt-Id", fmt.Sprint("first-", i))...)
	}
}

// sendSome sends some requests, all of which must succeed.
func (b *testBed) sendSome(path string, headers ...string) {
	b.t.Helper()
	for i := range 20 {
		got := b.send(path, append(headers, "Attempt-Id", fmt.Sprint("later-", i))...)
		assert.Equal(b.t, got.status, http.StatusOK)
	}
}

const leavingHeader = "Server-Leaving: 1"

// TestEndpointThatAnnouncesLeavingGetsNoRequests checks that an endpoint which announces
// in a response of any kind that it leaves gets no further request, until it has started
// again.
func TestEndpointThatAnnouncesLeavingGetsNoRequests(t *testing.T) {
	for name, serve := range map[string]func(*exchange){
		"success": func(x *exchange) { x.respond(http.StatusOK, "fine", leavingHeader) },
		"refusal": func(x *exchange) { x.refuseUnexecuted(http.StatusServiceUnavailable, leavingHeader) },
		"failure": func(x *exchange) { x.respond(http.StatusInternalServerError, "", leavingHeader) },
		"stream": func(x *exchange) {
			fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: mark\r\nContent-Type: text/event-stream\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n",
				x.Header.Get("Attempt-Id"), leavingHeader)
			x.event(0)
			x.endStream()
		},
	} {
		b := newTestBed(t)
		f := b.startEndpoint("i-1", serve)
		path, serveOther := "/plain/", respondOK
		if name == "stream" {
			path, serveOther = "/flux/", func(x *exchange) {
				x.startStream()
				x.event(0)
				x.endStream()
			}
		}
		g := b.startEndpoint("i-2", serveOther)
		b.sendUntilReached(f, path)
		b.sendSome(path)
		assert.Equal(t, requestCount(f), 1, name)
		again := *f.spec
		b.view.PutEndpoint(&again) // the entry is renewed and still says ready
		b.sendSome(path)
		assert.Equal(t, requestCount(f), 1, name)
		again.StartMillis = 1
		b.view.PutEndpoint(&again)
		b.view.RemoveEndpoint(g.spec.ID, time.Now())
		b.send(path)
		assert.Check(t, requestCount(f) > 1, name)
	}
}

// TestLeavingConcernsTheEndpointThatResponds checks that the announcement of an endpoint
// that responds at the address of another one is not taken for that of the other one.
func TestLeavingConcernsTheEndpointThatResponds(t *testing.T) {
	b := newTestBed(t)
	g := b.startEndpoint("i-2", respondOK)
	f := b.startEndpoint("i-1", func(x *exchange) {
		x.refuseUnexecuted(http.StatusMisdirectedRequest, "Instance-Id: i-2", leavingHeader)
	})
	h := b.startEndpoint("i-3", respondOK)
	b.sendUntilReached(f, "/plain/")
	reached := requestCount(g)
	b.sendSome("/plain/")
	assert.Equal(t, requestCount(g), reached)
	assert.Check(t, requestCount(h) >= 20)
}

// TestLeavingEndpointServesIfNoOtherCan checks that callers are served by endpoints that
// all leave until their drain time is nearly over, and that none is used after it.
func TestLeavingEndpointServesIfNoOtherCan(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", func(x *exchange) { x.respond(http.StatusOK, "fine", leavingHeader) })
	b.sendSome("/plain/")
	reached := requestCount(f)
	b.now = func() time.Time { return time.Now().Add(testDrainTime) }
	got := b.send("/plain/")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Check(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, requestCount(f), reached)
}

// TestLeavingIsLearnedFromOtherInstances checks that an instance avoids an endpoint that
// has told another instance that it leaves.
func TestLeavingIsLearnedFromOtherInstances(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", respondOK)
	b.startEndpoint("i-2", respondOK)
	b.send("/plain/") // makes the endpoints known
	reached := requestCount(f)
	b.loads.SetReport("other", map[uint64]peers.Load{place.Hash("i-1\x000"): {Leaving: 1}}, time.Now())
	b.relay.Endpoints().RecordReportedLeaving()
	b.loads.SetReport("other", nil, time.Now())
	b.sendSome("/plain/")
	assert.Equal(t, requestCount(f), reached)
}

// TestPausedEndpointGetsNoRequests checks that an endpoint which asks for a pause gets no
// request until the pause is over, and that it counts as healthy then.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	for name, serve := range map[string]func(*exchange){
		"not executed": func(x *exchange) { x.refuseUnexecuted(http.StatusServiceUnavailable, "Retry-After: 30") },
		"unknown":      func(x *exchange) { x.respond(http.StatusServiceUnavailable, "", "Retry-After: 30") },
	} {
		b := newTestBed(t)
		f := b.startEndpoint("i-1", serve)
		g := b.startEndpoint("i-2", respondOK)
		b.sendUntilReached(f, "/plain/")
		b.sendSome("/plain/")
		assert.Equal(t, requestCount(f), 1, name)
		b.now = func() time.Time { return time.Now().Add(31 * time.Second) }
		b.view.Confirm(b.now())
		f.mu.Lock()
		f.serve = respondOK
		f.mu.Unlock()
		b.view.RemoveEndpoint(g.spec.ID, b.now())
		b.sendSome("/plain/")
		assert.Equal(t, requestCount(f), 21, name)
	}
}

// TestShorterPauseDoesNotEndLongerOne has two requests under way at an endpoint that asks
// for a long pause first and for a short one then.
func TestShorterPauseDoesNotEndLongerOne(t *testing.T) {
	b := newTestBed(t)
	pauses := make(chan string, 2)
	pauses <- "30"
	pauses <- "1"
	both := make(chan struct{}, 2)
	f := b.startEndpoint("i-1", func(x *exchange) {
		both <- struct{}{}
		for len(both) < 2 {
			time.Sleep(time.Millisecond)
		}
		x.refuseUnexecuted(http.StatusServiceUnavailable, "Retry-After: "+<-pauses)
	})
	done := make(chan reply, 2)
	for i := range 2 {
		go func() { done <- b.send("/once/", "Attempt-Id", fmt.Sprint("a", i)) }()
	}
	<-done
	<-done
	reached := requestCount(f)
	b.now = func() time.Time { return time.Now().Add(3 * time.Second) } // the short one is over
	assert.Equal(t, b.send("/plain/").status, http.StatusServiceUnavailable)
	assert.Equal(t, requestCount(f), reached)
}

// TestRequestIsRefusedAtOnceIfAllEndpointsPause checks that a request is not sent and does
// not wait if every endpoint has asked for a pause, and that its caller is told to come
// back after the shortest one.
func TestRequestIsRefusedAtOnceIfAllEndpointsPause(t *testing.T) {
	b := newTestBed(t)
	pause := func(seconds int) func(*exchange) {
		return func(x *exchange) {
			x.refuseUnexecuted(http.StatusServiceUnavailable, "Retry-After: "+strconv.Itoa(seconds))
		}
	}
	f, g := b.startEndpoint("i-1", pause(20)), b.startEndpoint("i-2", pause(10))
	b.sendUntilReached(f, "/plain/")
	b.sendUntilReached(g, "/plain/")
	reached := requestCount(f, g)
	for i := range 20 {
		got := b.send("/plain/", "Attempt-Id", fmt.Sprint("b", i))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Check(t, after > 5 && after < 20, "%v", after)
	}
	assert.Equal(t, requestCount(f, g), reached)
	assert.Check(t, reached <= 3, "each endpoint gets one request, or two that cross its response")
}

// TestInvalidPauseIsIgnored checks that a value of Retry-After that means nothing is no
// pause.
func TestInvalidPauseIsIgnored(t *testing.T) {
	for _, value := range []string{"-1", "soon", "NaN", "1e99", "Fri, 04 Dec 2026 10:00:00 GMT"} {
		b := newTestBed(t)
		f := b.startEndpoint("i-1", func(x *exchange) {
			x.refuseUnexecuted(http.StatusServiceUnavailable, "Retry-After: "+value)
		})
		for i := range 3 {
			b.send("/plain/", "Attempt-Id", fmt.Sprint("c", i))
		}
		assert.Check(t, requestCount(f) >= 3, "%s: %d", value, requestCount(f))
	}
}

// TestPauseUntilDateCountsFromResponse checks a pause given as a date by an endpoint whose
// clock differs from this machine's.
func TestPauseUntilDateCountsFromResponse(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", func(x *exchange) {
		x.refuseUnexecuted(http.StatusServiceUnavailable, "Date: Fri, 04 Dec 2020 10:00:00 GMT", "Retry-After: Fri, 04 Dec 2020 10:00:30 GMT")
	})
	for i := range 3 {
		assert.Equal(t, b.send("/plain/", "Attempt-Id", fmt.Sprint("d", i)).status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, requestCount(f), 1)
}

// TestNoticeOutlivesEntry has the entry of an endpoint vanish after the endpoint has
// announced that it leaves, or asked for a pause, and come back: what it said still holds.
func TestNoticeOutlivesEntry(t *testing.T) {
	for name, serve := range map[string]func(*exchange){
		"leaving": func(x *exchange) { x.respond(http.StatusOK, "fine", leavingHeader) },
		"pause":   func(x *exchange) { x.refuseUnexecuted(http.StatusServiceUnavailable, "Retry-After: 60") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			f := b.startEndpoint("i-1", serve)
			b.startEndpoint("i-2", respondOK)
			b.sendUntilReached(f, "/plain/")
			b.view.RemoveEndpoint(f.spec.ID, time.Now())
			b.sendSome("/plain/")
			again := *f.spec
			b.view.PutEndpoint(&again)
			b.sendSome("/plain/")
			assert.Equal(t, requestCount(f), 1)
		})
	}
}
