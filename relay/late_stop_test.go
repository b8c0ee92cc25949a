package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/relay"
)

// drainLate makes the relay stop so late that callers' new connections go to other instances.
// The stop ends before the timeout of the test bed's routes, 3 s.
func (b *testBed) drainLate() {
	now := time.Now()
	b.relay.Drain(relay.StopTimes{Began: now.Add(-time.Second), Unrouted: now, End: now.Add(time.Second)})
}

// drainEarly makes the relay begin to stop, so that callers' new connections still come here.
func (b *testBed) drainEarly() {
	now := time.Now()
	b.relay.Drain(relay.StopTimes{Began: now, Unrouted: now.Add(time.Hour), End: now.Add(time.Second)})
}

// isStopRefusal reports whether a caller was told that the request has not run and may be sent
// at once on a new connection.
func (r reply) isStopRefusal() bool {
	s := headerSeconds(r.header)
	return r.err == nil && r.status == http.StatusServiceUnavailable && strings.HasPrefix(r.body, "draining") && s > 0 && s < 0.1 && r.closes
}

// TestRequestsThatTheStopWouldCutAreRefused sends requests whose deadlines lie behind the end of
// the stop, and others that end before it.
func TestRequestsThatTheStopWouldCutAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, path string
		headers    []string
		refused    bool
	}{
		{"repeatable", "/plain/1", nil, true},
		{"not repeatable", "/once/1", nil, true},
		{"stream", "/flux/1", nil, true},
		{"resumable stream", "/goon/1", nil, true},
		{"stream that is taken up", "/goon/1", []string{"Last-Event-Id", "3", "Resumes", "a0"}, true},
		{"with a short time", "/once/1", []string{"Deadline-Ms", "500"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			f := b.startEndpoint("i-1", respondOK)
			b.drainLate()
			got := b.send(c.path, c.headers...)
			assert.Equal(t, got.isStopRefusal(), c.refused, "%d %s %v", got.status, got.body, got.header)
			assert.Equal(t, len(f.requests()) == 0, c.refused)
		})
	}
}

// TestNoAttemptBeginsThatTheStopWouldCut stops the relay while a request is at an endpoint that
// does not run it to its end. What follows must not be another run, and the answer must be true.
func TestNoAttemptBeginsThatTheStopWouldCut(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(x *exchange)
		status int
	}{
		{"lost", (*exchange).reset, http.StatusBadGateway},
		{"failed", func(x *exchange) { x.respond(http.StatusInternalServerError, "") }, http.StatusInternalServerError},
		{"rejected", func(x *exchange) { x.refuseUnexecuted(http.StatusServiceUnavailable) }, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			serve := func(x *exchange) {
				b.drainLate()
				c.end(x)
			}
			one, two := b.startEndpoint("i-1", serve), b.startEndpoint("i-2", serve)
			got := b.send("/plain/1")
			assert.Equal(t, got.status, c.status, "%s", got.body)
			assert.Equal(t, got.isStopRefusal(), c.status == http.StatusServiceUnavailable, "%s", got.body)
			assert.Equal(t, requestCount(one, two), 1)
		})
	}
}

// TestWaitingRequestIsRefusedInStop stops the relay while a request waits for room.
func TestWaitingRequestIsRefusedInStop(t *testing.T) {
	b := newTestBed(t)
	arrived := make(chan struct{}, 1)
	f := b.startEndpoint("i-1", func(x *exchange) {
		x.refuseUnexecuted(http.StatusServiceUnavailable)
		select {
		case arrived <- struct{}{}:
		default:
		}
	})
	go func() {
		<-arrived
		b.drainLate()
	}()
	got := b.send("/once/1")
	assert.Check(t, got.isStopRefusal(), "%d %s", got.status, got.body)
	assert.Check(t, len(f.requests()) >= 1)
}

// TestBrokenStreamGoesOnInStop stops the relay while a resumable stream breaks off. It goes on at
// another endpoint, unless streams of its route take longer than the stop lasts.
func TestBrokenStreamGoesOnInStop(t *testing.T) {
	for _, c := range []struct {
		name     string
		longest  time.Duration // of the streams before
		complete bool
	}{
		{"short streams", time.Millisecond, true},
		{"long streams", 1100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			stopping := false
			serve := func(x *exchange) {
				x.startStream()
				if x.Header.Get("Last-Event-Id") != "" {
					x.event(1)
					x.endStream()
					return
				}
				x.event(0)
				if stopping {
					b.drainLate()
					x.reset()
					return
				}
				time.Sleep(c.longest)
				x.event(1)
				x.endStream()
			}
			b.startEndpoint("i-1", serve)
			b.startEndpoint("i-2", serve)
			got := b.send("/goon/1", "Attempt-Id", "a0")
			assert.NilError(t, got.err)
			stopping = true
			got = b.send("/goon/1")
			assert.Equal(t, got.err == nil, c.complete, "%q", got.body)
		})
	}
}

// TestEarlyRequestOfStopIsServedIfTimeSuffices sends requests while the platform still sends new
// connections here: only those that take longer than the stop lasts are refused.
func TestEarlyRequestOfStopIsServedIfTimeSuffices(t *testing.T) {
	for _, c := range []struct {
		name, path string
		takes      time.Duration // of the requests before; 0 if there were none
		refused    bool
	}{
		{"short requests", "/plain/1", time.Millisecond, false},
		{"long requests", "/plain/1", 1100 * time.Millisecond, true},
		{"not known", "/plain/1", 0, false},
		{"not repeatable", "/once/1", time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			takes := c.takes
			b.startEndpoint("i-1", func(x *exchange) {
				time.Sleep(takes)
				respondOK(x)
			})
			if takes > 0 {
				b.send(c.path, "Attempt-Id", "a0")
			}
			takes = 0
			b.drainEarly()
			got := b.send(c.path)
			assert.Equal(t, got.isStopRefusal(), c.refused, "%d %s", got.status, got.body)
			assert.Equal(t, got.status == http.StatusOK, !c.refused)
		})
	}
}

// TestResponseBegunInStopAsksToClose stops the relay while a request is at an endpoint.
func TestResponseBegunInStopAsksToClose(t *testing.T) {
	for _, path := range []string{"/plain/1", "/flux/1"} {
		b := newTestBed(t)
		b.startEndpoint("i-1", func(x *exchange) {
			b.drainLate()
			if path == "/plain/1" {
				respondOK(x)
				return
			}
			x.startStream()
			x.event(0)
			x.endStream()
		})
		got := b.send(path)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Check(t, got.closes, path)
	}
}

// TestCallThatTheStopWouldCutGetsNoSlot sends a call whose slot a coordinator grants.
func TestCallThatTheStopWouldCutGetsNoSlot(t *testing.T) {
	b := newSlotTestBed(t, 0)
	f := b.startEndpoint("i-1", respondOK)
	f.spec.Slots = 4
	b.view.PutEndpoint(&fleet.Endpoint{ID: f.spec.ID, Service: "s", Address: f.spec.Address, SoftwareVersion: "v1", Slots: 4})
	b.drainLate()
	got := b.send("/once/1")
	assert.Check(t, got.isStopRefusal(), "%d %s", got.status, got.body)
	assert.Equal(t, len(f.requests()), 0)
}

// TestRefusalInStopReachesCallerThatSendsBody refuses requests whose bodies have not arrived yet.
// Callers read the response when they have sent the body.
func TestRefusalInStopReachesCallerThatSendsBody(t *testing.T) {
	for _, c := range []struct{ name, version, header string }{
		{"kept connection", "1.1", ""},
		{"connection for one request", "1.1", "Connection: close\r\n"},
		{"old caller", "1.0", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t)
			f := b.startEndpoint("i-1", respondOK)
			b.drainLate()
			conn, err := net.Dial("tcp4", b.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			const pieces = 4
			piece := strings.Repeat("x", 10<<10)
			_, err = fmt.Fprintf(conn, "POST /once/1 HTTP/%s\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Bearer key\r\n%sContent-Length: %d\r\n\r\n", c.version, c.header, pieces*len(piece))
			assert.NilError(t, err)
			for range pieces {
				time.Sleep(20 * time.Millisecond)
				_, err = conn.Write([]byte(piece))
				assert.Check(t, err, "the connection was closed before the body was sent")
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, len(f.requests()), 0)
		})
	}
}

// TestRequestWhoseBodyArrivesInStopIsAnswered ends a stop while the body of a request arrives.
func TestRequestWhoseBodyArrivesInStopIsAnswered(t *testing.T) {
	b := newTestBed(t)
	f := b.startEndpoint("i-1", respondOK)
	conn, err := net.Dial("tcp4", b.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Bearer key\r\nContent-Length: 10\r\n\r\nhello")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	b.drainLate()
	b.relay.Stop()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Check(t, res.Close)
	assert.Check(t, res.Header.Get("Retry-After") != "")
	assert.Equal(t, len(f.requests()), 0)
}
