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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/platform"
	"redwingknot/promptcache"
	"redwingknot/relay"
)

// exchange is a request at a fake endpoint.
type exchange struct {
	*http.Request
	conn *net.TCPConn
	body string
}

// answer writes an answer that bears the endpoint's mark.
func (x *exchange) answer(status int, body string, headers ...string) {
	fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Stamp: mark\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), x.Header.Get("Attempt-Id"), len(body), lines(headers), body)
}

// refuse states that the request did not run.
func (x *exchange) refuse(status int, headers ...string) {
	fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n%s\r\n",
		status, http.StatusText(status), x.Header.Get("Attempt-Id"), lines(headers))
}

// beginStream starts an answer of events.
func (x *exchange) beginStream() {
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: mark\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		x.Header.Get("Attempt-Id"))
}

func (x *exchange) chunk(s string) { fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(s), s) }

func (x *exchange) event(id int) { x.chunk(event(id)) }

func (x *exchange) endStream() { fmt.Fprint(x.conn, "0\r\n\r\n") }

// reset ends the connection without an orderly end.
func (x *exchange) reset() {
	x.conn.SetLinger(0)
	x.conn.Close()
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func lines(headers []string) string {
	var b strings.Builder
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	return b.String()
}

// fakeEndpoint serves each request with a function.
type fakeEndpoint struct {
	spec *fleet.Endpoint

	mu    sync.Mutex
	seen  []*exchange
	serve func(x *exchange)
}

func (f *fakeEndpoint) requests() []*exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*exchange(nil), f.seen...)
}

func (f *fakeEndpoint) serveConn(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &exchange{Request: req, conn: c, body: string(body)}
		f.mu.Lock()
		f.seen = append(f.seen, x)
		serve := f.serve
		f.mu.Unlock()
		serve(x)
	}
}

// bed is a relay before fake endpoints.
type bed struct {
	t     *testing.T
	view  *fleet.View
	cache *promptcache.Directory
	front *httptest.Server
	now   func() time.Time
}

var (
	plainRoute = fleet.Route{Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: fleet.KindIdempotent}
	onceRoute  = fleet.Route{Name: "once", Host: "h", PathPrefix: "/once/", Kind: fleet.KindNonIdempotent}
	fluxRoute  = fleet.Route{Name: "flux", Host: "h", PathPrefix: "/flux/", Kind: fleet.KindStream}
	goOnRoute  = fleet.Route{Name: "goon", Host: "h", PathPrefix: "/goon/", Kind: fleet.KindStream, Resumable: true}
	openRoute  = fleet.Route{Name: "open", Host: "h", PathPrefix: "/open/", Kind: fleet.KindIdempotent, Public: true}
)

// config returns a configuration in which all routes lead to one service.
func config(version int64, attempts int) *fleet.Config {
	var routes []*fleet.Route
	for _, r := range []fleet.Route{plainRoute, onceRoute, fluxRoute, goOnRoute, openRoute} {
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

func newBed(t *testing.T) *bed {
	b := newBareBed(t)
	b.view.ApplyConfig(config(1, 2))
	b.view.Confirm(time.Now())
	return b
}

// newBareBed returns a bed that knows no configuration yet.
func newBareBed(t *testing.T) *bed {
	b := &bed{t: t, view: fleet.NewView(), cache: promptcache.NewDirectory(), now: time.Now}
	o := relay.Options{
		View: b.view, Dialect: platform.Dialect{}, Log: slog.New(slog.DiscardHandler), Cache: b.cache, OtherLoads: peers.NewTable(),
		Now: func() time.Time { return b.now() }, RevokeTime: 5 * time.Second, OldWeightsTime: 6 * time.Second,
		RetryRatio: 10, RetrySpan: 10 * time.Second, MaxBodyBytes: 1 << 24,
	}
	b.front = httptest.NewServer(relay.NewServer(o))
	t.Cleanup(b.front.Close)
	return b
}

// endpoint adds a fake endpoint.
func (b *bed) endpoint(id string, serve func(x *exchange)) *fakeEndpoint {
	b.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { l.Close() })
	f := &fakeEndpoint{serve: serve, spec: &fleet.Endpoint{
		ID: id, Service: "s", Address: l.Addr().String(), Slots: 8, WeightVersions: map[string]int64{"m": 1},
	}}
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

// request returns a caller's request.
func (b *bed) request(ctx context.Context, path, body string, headers ...string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.front.URL+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a1")
	r.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the body
}

func (b *bed) ask(path string, headers ...string) reply {
	b.t.Helper()
	res, err := http.DefaultClient.Do(b.request(context.Background(), path, "hello", headers...))
	assert.NilError(b.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(data), err}
}

// runs returns how many requests endpoints have seen.
func runs(list ...*fakeEndpoint) int {
	n := 0
	for _, f := range list {
		n += len(f.requests())
	}
	return n
}

func ok(x *exchange) { x.answer(http.StatusOK, "fine") }

func promptHeaders() []string {
	return []string{"Model", "m", "Token-Count", "900,50", "Prompt-Prefix", "aa:500,bb:300,cc:100"}
}

func number(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return -1
	}
	return n
}
