package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/origin"
	"redwingknot/peers"
	"redwingknot/platform"
	"redwingknot/promptcache"
	"redwingknot/relay"
	"redwingknot/suspect"
)

// exchange is a request received by a fake endpoint, with the connection to
// respond on.
type exchange struct {
	*http.Request
	conn *net.TCPConn
	body string
}

// respond writes a response that bears the stamp of an endpoint.
func (x *exchange) respond(status int, body string, headers ...string) {
	fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Stamp: mark\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), x.Header.Get("Attempt-Id"), len(body), headerLines(headers), body)
}

// refuseUnexecuted writes a response that states that the request was not
// executed.
func (x *exchange) refuseUnexecuted(status int, headers ...string) {
	fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n%s\r\n",
		status, http.StatusText(status), x.Header.Get("Attempt-Id"), headerLines(headers))
}

// startStream writes the header of an event stream.
func (x *exchange) startStream() {
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: mark\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		x.Header.Get("Attempt-Id"))
}

func (x *exchange) chunk(s string) { fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(s), s) }

func (x *exchange) event(id int) { x.chunk(eventText(id)) }

func (x *exchange) endStream() { fmt.Fprint(x.conn, "0\r\n\r\n") }

// reset closes the connection with a TCP reset.
func (x *exchange) reset() {
	x.conn.SetLinger(0)
	x.conn.Close()
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func headerLines(headers []string) string {
	var b strings.Builder
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	return b.String()
}

// fakeEndpoint is an endpoint that passes each request to serve and records it.
type fakeEndpoint struct {
	t        *testing.T
	spec     *fleet.Endpoint
	listener net.Listener

	onHead func(x *exchange) // called before a request's body is read; may be nil

	mu       sync.Mutex
	received []*exchange
	serve    func(x *exchange)
	process  fleet.EndpointKey // answers at the address now
	reports  int               // calls for the report, which are not among received
	report   func(x *exchange) // answers these; nil for answerReport
}

func (f *fakeEndpoint) requests() []*exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*exchange(nil), f.received...)
}

func (f *fakeEndpoint) serveConn(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if f.onHead != nil {
			f.onHead(&exchange{Request: req, conn: c})
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &exchange{Request: req, conn: c, body: string(body)}
		if req.URL.Path == "/redwingknot/report" {
			f.serveReport(x)
			continue
		}
		f.mu.Lock()
		f.received = append(f.received, x)
		serve := f.serve
		f.mu.Unlock()
		serve(x)
	}
}

// serveReport counts a call for the report of the process and answers it.
func (f *fakeEndpoint) serveReport(x *exchange) {
	f.mu.Lock()
	f.reports++
	report := f.report
	f.mu.Unlock()
	if report == nil {
		report = f.answerReport
	}
	report(x)
}

// answerReport answers a call for the report of the process.
func (f *fakeEndpoint) answerReport(x *exchange) {
	f.mu.Lock()
	process := f.process
	f.mu.Unlock()
	if x.Header.Get("Expect-Instance") != process.ID {
		x.refuseUnexecuted(http.StatusMisdirectedRequest, "Instance-Id: "+process.ID)
		return
	}
	body := fmt.Sprintf(`{"stage":"prefill_decode","born":%d}`, process.StartMillis)
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// reportCount returns the number of calls for the report.
func (f *fakeEndpoint) reportCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports
}

// restart ends the process, whose connections end in good order, and has another one answer at
// the address at once.
func (f *fakeEndpoint) restart(process fleet.EndpointKey) {
	f.mu.Lock()
	f.process = process
	f.mu.Unlock()
	f.closeConns()
}

// testBed is a relay server in front of fake endpoints.
type testBed struct {
	t      *testing.T
	view   *fleet.View
	cache  *promptcache.Directory
	loads  *peers.Table // as reported by other instances
	relay  *relay.Server
	server *httptest.Server
	now    func() time.Time
	ahead  atomic.Int64 // how far the clock of the relay is ahead, in nanoseconds

	suspectReplica *suspect.Replica
}

var (
	plainRoute         = fleet.Route{Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: fleet.KindIdempotent}
	nonIdempotentRoute = fleet.Route{Name: "once", Host: "h", PathPrefix: "/once/", Kind: fleet.KindNonIdempotent}
	streamRoute        = fleet.Route{Name: "flux", Host: "h", PathPrefix: "/flux/", Kind: fleet.KindStream}
	resumableRoute     = fleet.Route{Name: "goon", Host: "h", PathPrefix: "/goon/", Kind: fleet.KindStream, Resumable: true}
	publicRoute        = fleet.Route{Name: "open", Host: "h", PathPrefix: "/open/", Kind: fleet.KindIdempotent, Public: true}
)

// testDrainTime is how long endpoints serve after they have announced that they leave.
const testDrainTime = 2 * time.Second

// newConfig returns a configuration in which all routes use the service s and
// allow the given number of attempts.
func newConfig(version int64, attempts int) *fleet.Config {
	var routes []*fleet.Route
	for _, r := range []fleet.Route{plainRoute, nonIdempotentRoute, streamRoute, resumableRoute, publicRoute} {
		r.Timeout, r.TargetTime, r.MaxAttempts = 3*time.Second, 300*time.Millisecond, attempts
		r.Shares = []fleet.Share{{Service: "s", Weight: 1}}
		routes = append(routes, &r)
	}
	c := fleet.NewConfig(version, routes)
	c.Services["s"] = &fleet.Service{Name: "s", Engine: &fleet.Engine{Models: []string{"m"}, CacheTokens: 100000}}
	c.Limits.BodyBytes = 1 << 20
	c.AuthRequired = true
	c.Teams["key"] = &fleet.Team{Name: "team", Priority: -1}
	return c
}

// newTestBed returns a test bed with a confirmed configuration that allows two
// attempts.
func newTestBed(t *testing.T) *testBed { return newTestBedWithDetours(t, nil) }

// newTestBedWithDetours returns a test bed with other instances.
func newTestBedWithDetours(t *testing.T, detours *testDetours) *testBed {
	var others relay.Detours
	if detours != nil {
		others = detours
	}
	b := newTestBedOf(t, others)
	b.view.ApplyConfig(newConfig(1, 2))
	b.view.Confirm(time.Now())
	return b
}

// newUnconfiguredTestBed returns a test bed that has no configuration yet.
func newUnconfiguredTestBed(t *testing.T) *testBed { return newTestBedOf(t, nil) }

// newTestBedOf returns a test bed that has no configuration yet, with other instances. adjust
// changes its options.
func newTestBedOf(t *testing.T, detours relay.Detours, adjust ...func(*relay.Options)) *testBed {
	b := newTestBedWithoutServer(t, detours, adjust...)
	b.server = httptest.NewServer(b.relay)
	t.Cleanup(b.server.Close)
	return b
}

// newTestBedWithoutServer is like newTestBedOf, but nothing listens for callers.
func newTestBedWithoutServer(t *testing.T, detours relay.Detours, adjust ...func(*relay.Options)) *testBed {
	b := &testBed{t: t, view: fleet.NewView(), cache: promptcache.NewDirectory(), loads: peers.NewTable()}
	b.now = func() time.Time { return time.Now().Add(time.Duration(b.ahead.Load())) }
	b.suspectReplica = suspect.NewReplica(suspect.Config{CompanyCrashLimit: 3}, time.Now)
	o := relay.Options{
		View: b.view, Dialect: platform.Dialect{}, Log: slog.New(slog.DiscardHandler), Cache: b.cache, OtherLoads: b.loads,
		Now: func() time.Time { return b.now() }, RevokeTime: 5 * time.Second, OldWeightsTime: 6 * time.Second, DrainTime: testDrainTime,
		RetryRatio: 10, RetryWindow: 10 * time.Second, MaxBodyBytes: 1 << 24,
		Suspects: b.suspectReplica,
		Origins:  origin.NewLocal(func() time.Time { return b.now() }),
	}
	o.Detours = detours
	for _, f := range adjust {
		f(&o)
	}
	b.relay = relay.NewServer(o)
	return b
}

// startEndpoint starts a fake endpoint of the service s and adds it to the view.
func (b *testBed) startEndpoint(id string, serve func(x *exchange)) *fakeEndpoint {
	b.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { l.Close() })
	f := &fakeEndpoint{t: b.t, serve: serve, listener: l, spec: &fleet.Endpoint{
		ID: id, Service: "s", Address: l.Addr().String(), SoftwareVersion: "v1", Slots: 8, WeightVersions: map[string]int64{"m": 1},
	}}
	f.process = f.spec.Key()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveConn(c.(*net.TCPConn))
		}
	}()
	b.view.PutEndpoint(f.spec)
	return f
}

// request returns a caller's request; headers are names and values in turn.
func (b *testBed) request(ctx context.Context, path, body string, headers ...string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a1")
	r.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
	closes bool  // the response asks to close the connection
}

// send sends a request with the body "hello" and reads the response.
func (b *testBed) send(path string, headers ...string) reply {
	b.t.Helper()
	res, err := http.DefaultClient.Do(b.request(context.Background(), path, "hello", headers...))
	assert.NilError(b.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(data), err, res.Close}
}

// requestCount returns the number of requests that endpoints have received.
func requestCount(list ...*fakeEndpoint) int {
	n := 0
	for _, f := range list {
		n += len(f.requests())
	}
	return n
}

func respondOK(x *exchange) { x.respond(http.StatusOK, "fine") }

func promptHeaders() []string {
	return []string{"Model", "m", "Token-Count", "900,50", "Prompt-Prefix", "aa:500,bb:300,cc:100"}
}

// headerSeconds returns the value of Retry-After, or -1 if it is no number.
func headerSeconds(h http.Header) float64 {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return -1
	}
	return s
}

// headerInt returns a header's value as a number, or -1 if it is none.
func headerInt(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return -1
	}
	return n
}

// advance sets the clock of the relay forward.
func (b *testBed) advance(d time.Duration) { b.ahead.Add(int64(d)) }
