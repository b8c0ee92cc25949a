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
	appstandin "redwingknot/internal/standin/app"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/ledger"
	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
	"redwingknot/note"
	"redwingknot/suspect"
)

const (
	teamToken  = "team-token"
	otherToken = "other-token"
	operators  = "operators-token"
)

// bed is a data path with stand-in engines and an application.
type bed struct {
	t       testing.TB
	url     string
	server  *Server
	state   *note.State
	engines []*enginestandin.Server
	hosts   []*httptest.Server
	app     *appstandin.Server
	kv      *metastoretest.KV
}

type noLimits struct{ refuse bool }

func (l *noLimits) Allow(note.Team) (bool, time.Duration) { return !l.refuse, time.Second }

// keptKeeper keeps every prompt and records with how many cached pieces it was
// asked to bring back.
type keptKeeper struct{ brought []int }

func (k *keptKeeper) PlanBringBack(context.Context, Prompt) BringBack { return k }
func (k *keptKeeper) RecordAnswer(Prompt, string)                     {}
func (k *keptKeeper) Available() bool                                 { return true }
func (k *keptKeeper) ImportTime(string, int) (time.Duration, bool)    { return time.Hour, true }
func (k *keptKeeper) Import(_ context.Context, _ string, cached int) error {
	k.brought = append(k.brought, cached)
	return nil
}

// noKeeper keeps nothing.
type noKeeper struct{}

func (noKeeper) PlanBringBack(context.Context, Prompt) BringBack { return noKeeper{} }
func (noKeeper) RecordAnswer(Prompt, string)                     {}
func (noKeeper) Available() bool                                 { return false }
func (noKeeper) ImportTime(string, int) (time.Duration, bool)    { return 0, false }
func (noKeeper) Import(context.Context, string, int) error       { return nil }
func testClass(name string, worth float64) contract.Class {
	return contract.Class{Name: name, Worth: worth, FirstIn: 5 * time.Second, Deadline: 20 * time.Second}
}

// newBed starts a data path before engines with these options.
func newBed(t testing.TB, engines ...enginestandin.Options) *bed {
	t.Helper()
	b := &bed{t: t, app: appstandin.New(0), kv: metastoretest.New(time.Now)}
	b.state = &note.State{
		Head:    1,
		Models:  map[string]note.Model{"m": {Name: "m", Version: "v1", PieceBytes: 8000, BlockBytes: 1 << 10}},
		Classes: map[string]contract.Class{"question": testClass("question", 1)},
		Services: map[string]note.Service{
			"llm": {Name: "llm", Kind: note.KindModel, Model: "m"},
			"app": {Name: "app", Kind: note.KindPlain, Calls: []note.Call{
				{Method: "POST", Path: "/certificates", Class: "question", Idempotency: contract.NonIdempotent},
				{Method: "GET", Path: "/roster/{name}", Class: "question"},
			}},
		},
		Teams: map[string]note.Team{
			"ours":   {Name: "ours", TokenHash: HashToken(teamToken), Services: []string{"llm", "app"}, Classes: []string{"question"}},
			"theirs": {Name: "theirs", TokenHash: HashToken(otherToken), Services: []string{"app"}, Classes: []string{"question"}},
		},
		Endpoints: map[string]note.Endpoint{},
	}
	appHost := httptest.NewServer(b.app)
	t.Cleanup(appHost.Close)
	b.state.Endpoints["app-1"] = note.Endpoint{Name: "app-1", DataCentre: "ilala", Service: "app", URL: appHost.URL, Slots: 8}
	for i, o := range engines {
		b.addEngine(i, o)
	}
	b.start()
	return b
}

func (b *bed) addEngine(i int, o enginestandin.Options) {
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
	b.t.Cleanup(host.Close)
	name := "engine-" + strconv.Itoa(i)
	b.state.Endpoints[name] = note.Endpoint{Name: name, DataCentre: "ilala", Service: "llm", URL: host.URL, Slots: 8}
	b.engines, b.hosts = append(b.engines, e), append(b.hosts, host)
}

func (b *bed) start() {
	services := NewServices(ServicesOptions{})
	services.Apply(b.state)
	claims := ledger.New(ledger.Config{
		Shards: 2, Instance: "entry-1#1", Alive: func(string) bool { return true }, WriteInterval: time.Millisecond,
		OpenLog: func(shard int, f metastore.StateMachine) metastore.Log {
			return metastore.OpenLog(b.kv, metastore.LogOptions{Name: "claims-" + strconv.Itoa(shard), StateMachine: f, Writer: "entry-1#1"})
		},
	})
	b.t.Cleanup(claims.Close)
	members := func() []suspect.Member { return []suspect.Member{{Instance: "entry-1", DataCentre: "ilala"}} }
	suspects := suspect.NewClient(suspect.ClientConfig{
		Instance: "entry-1", DataCentre: "ilala", Members: members, Local: suspect.NewServer(suspect.Config{}, nil),
	})
	b.server = New(Options{
		DataCentre: "ilala", State: func() *note.State { return b.state }, Ready: func() bool { return true },
		OperatorHash: HashToken(operators), Services: services, Limits: &noLimits{}, Keeper: noKeeper{}, Suspects: suspects,
		Ledger: claims, Clients: NewEndpointClients(), Logger: slog.New(slog.DiscardHandler),
		MaxBodyBytes: 1 << 20, MaxReplyBytes: 1 << 20, BodyTimeout: 5 * time.Second, StallTimeout: 10 * time.Second,
		FirstTokenTimeoutFactor: 4, MaxAttempts: 3,
	})
	b.poll()
	r := mux.NewRouter()
	b.server.Routes(r)
	host := httptest.NewServer(r)
	b.t.Cleanup(host.Close)
	b.url = host.URL
}

// poll passes the engines' reports to the router, as the endpoint view does.
func (b *bed) poll() {
	for name, e := range b.state.Endpoints {
		if e.Service != "llm" {
			continue
		}
		if r, err := b.server.engineOf(name).Report(b.t.Context()); err == nil {
			b.server.o.Services.ObserveReport("llm", name, r, time.Now())
		}
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
}

func (b *bed) do(method, path, token, body string, header ...string) answer {
	b.t.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(b.t, err)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(got)}
}

func chatJSON(text string, stream bool) string {
	return `{"model":"llm","stream":` + strconv.FormatBool(stream) + `,"messages":[{"role":"user","content":"` + text + `"}]}`
}
