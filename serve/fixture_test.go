package serve

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"redwingknot/contract"
	"redwingknot/engine"
	appstandin "redwingknot/internal/standin/app"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/ledger"
	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
	"redwingknot/note"
	"redwingknot/suspect"
)

const (
	teamToken     = "team-token"
	otherToken    = "other-token"
	operatorToken = "operators-token"
)

// fixture is a Server with stand-in engines and a stand-in application as its
// endpoints.
type fixture struct {
	t           testing.TB
	url         string
	server      *Server
	state       *note.State
	engines     []*enginestandin.Server
	httpServers []*httptest.Server
	app         *appstandin.Server
	kv          *metastoretest.KV
}

// fakeLimiter allows every request, or none if refuse is set.
type fakeLimiter struct{ refuse bool }

func (l *fakeLimiter) Allow(note.Team) (bool, time.Duration) { return !l.refuse, time.Second }

// recordingKeeper claims to have the blocks of every prompt. For each bring-back
// it records the number of pieces that the endpoint is said to have cached, and for each
// answer the weights of its blocks.
type recordingKeeper struct {
	cachedPieces []int
	answered     []engine.Weights
}

func (k *recordingKeeper) PlanBringBack(context.Context, Prompt) BringBack { return k }
func (k *recordingKeeper) RecordAnswer(p Prompt, _ string) {
	k.answered = append(k.answered, p.Weights)
}
func (k *recordingKeeper) Available() bool                              { return true }
func (k *recordingKeeper) ImportTime(string, int) (time.Duration, bool) { return time.Hour, true }
func (k *recordingKeeper) Import(_ context.Context, _ string, cachedPieces int) error {
	k.cachedPieces = append(k.cachedPieces, cachedPieces)
	return nil
}

// noKeeper has no blocks of any prompt.
type noKeeper struct{}

func (noKeeper) PlanBringBack(context.Context, Prompt) BringBack { return noKeeper{} }
func (noKeeper) RecordAnswer(Prompt, string)                     {}
func (noKeeper) Available() bool                                 { return false }
func (noKeeper) ImportTime(string, int) (time.Duration, bool)    { return 0, false }
func (noKeeper) Import(context.Context, string, int) error       { return nil }

// testClass returns a request class with time limits that tests do not reach.
func testClass(name string, worth float64) contract.Class {
	return contract.Class{Name: name, Worth: worth, FirstIn: 5 * time.Second, Deadline: 20 * time.Second}
}

// newFixture starts a Server and one stand-in engine for each element of
// engines.
func newFixture(t testing.TB, engines ...enginestandin.Options) *fixture {
	t.Helper()
	f := &fixture{t: t, app: appstandin.New(0), kv: metastoretest.New(time.Now)}
	f.state = &note.State{
		Head:    1,
		Models:  map[string]note.Model{"m": {Name: "m", Version: "v1", PieceBytes: 8000, BlockBytes: 1 << 10}},
		Classes: map[string]contract.Class{"question": testClass("question", 1)},
		Services: map[string]note.Service{
			"llm": {Name: "llm", Kind: note.KindModel, Model: "m", LoadsAtOnce: 2},
			"app": {Name: "app", Kind: note.KindPlain, Calls: []note.Call{
				{Method: "POST", Path: "/certificates", Class: "question", Idempotency: contract.NonIdempotent},
				{Method: "GET", Path: "/roster/{name}", Class: "question"},
			}},
		},
		Teams: map[string]note.Team{
			"ours":   {Name: "ours", TokenHash: HashToken(teamToken), Services: []string{"llm", "app"}, Classes: []string{"question"}, Rate: 1, Burst: 1},
			"theirs": {Name: "theirs", TokenHash: HashToken(otherToken), Services: []string{"app"}, Classes: []string{"question"}, Rate: 1, Burst: 1},
		},
		Endpoints: map[string]note.Endpoint{},
	}
	appHost := httptest.NewServer(f.app)
	t.Cleanup(appHost.Close)
	f.state.Endpoints["app-1"] = note.Endpoint{Name: "app-1", DataCentre: "ilala", Service: "app", URL: appHost.URL, Slots: 8}
	for i, o := range engines {
		f.addEngine(i, o)
	}
	f.start()
	return f
}

func (f *fixture) addEngine(i int, o enginestandin.Options) {
	o.Model, o.Version, o.Slots, o.PieceTokens, o.CachePieces = "m", "v1", 8, 2000, 64
	if o.PrefillRate == 0 {
		o.PrefillRate = 1_000_000
	}
	if o.AnswerTokens == 0 {
		o.AnswerTokens = 8
	}
	host := httptest.NewUnstartedServer(nil)
	if o.Crash == nil {
		o.Crash = func() { go host.Config.Close(); panic(http.ErrAbortHandler) }
	}
	e := enginestandin.New(o)
	host.Config.Handler = e
	host.Start()
	f.t.Cleanup(host.Close)
	name := "engine-" + strconv.Itoa(i)
	f.state.Endpoints[name] = note.Endpoint{Name: name, DataCentre: "ilala", Service: "llm", URL: host.URL, Slots: 8}
	f.engines, f.httpServers = append(f.engines, e), append(f.httpServers, host)
}

func (f *fixture) start() {
	services := NewServices(ServicesOptions{})
	services.Apply(f.state)
	claims := ledger.New(ledger.Config{
		Shards: 2, Instance: "entry-1#1", Alive: func(string) bool { return true }, WriteInterval: time.Millisecond,
		OpenLog: func(shard int, stateMachine metastore.StateMachine) metastore.Log {
			return metastore.OpenLog(f.kv, metastore.LogOptions{Name: "claims-" + strconv.Itoa(shard), StateMachine: stateMachine, Writer: "entry-1#1"})
		},
	})
	f.t.Cleanup(claims.Close)
	members := func() []suspect.Member { return []suspect.Member{{Instance: "entry-1", DataCentre: "ilala"}} }
	suspects := suspect.NewClient(suspect.ClientConfig{
		Instance: "entry-1", DataCentre: "ilala", Members: members, Local: suspect.NewServer(suspect.Config{}, nil),
	})
	f.server = New(Options{
		DataCentre: "ilala", State: func() *note.State { return f.state }, Ready: func() bool { return true },
		OperatorHash: HashToken(operatorToken), Services: services, Limits: &fakeLimiter{}, Keeper: noKeeper{}, Suspects: suspects,
		Ledger: claims, Clients: NewEndpointClients(), Logger: slog.New(slog.DiscardHandler),
		MaxBodyBytes: 1 << 20, MaxReplyBytes: 1 << 20, BodyTimeout: 5 * time.Second, StallTimeout: 10 * time.Second,
		FirstTokenTimeoutFactor: 4, MaxAttempts: 3,
	})
	f.observeReports()
	r := mux.NewRouter()
	f.server.RegisterRoutes(r)
	host := httptest.NewServer(r)
	f.t.Cleanup(host.Close)
	f.url = host.URL
}

// observeReports reads the engines' reports and passes them to the router, as an
// entry instance does.
func (f *fixture) observeReports() {
	for name, e := range f.state.Endpoints {
		if e.Service != "llm" {
			continue
		}
		if r, err := f.server.engineClient(name).Report(f.t.Context()); err == nil {
			f.server.opts.Services.ObserveReport("llm", name, r, time.Now())
		}
	}
}

// response is the HTTP response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
}

// do sends a request to the Server; header holds pairs of a name and a value.
func (f *fixture) do(method, path, token, body string, header ...string) response {
	f.t.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: string(got)}
}

// chatJSON returns the body of a chat completions request with one message.
func chatJSON(text string, stream bool) string {
	return `{"model":"llm","stream":` + strconv.FormatBool(stream) + `,"messages":[{"role":"user","content":"` + text + `"}]}`
}
