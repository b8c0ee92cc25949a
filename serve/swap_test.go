package serve

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/engine"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/note"
)

// applyNote brings the changes of a note into force.
func (f *fixture) applyNote(changes string) {
	f.t.Helper()
	n, err := note.Parse([]byte("title: t\n" + changes))
	assert.NilError(f.t, err)
	f.state, err = f.state.Apply(n)
	assert.NilError(f.t, err)
	f.server.opts.Services.Apply(f.state)
}

// order has an engine load weights and waits until it has them.
func (f *fixture) order(endpoint string, w engine.Weights) {
	f.t.Helper()
	client := f.server.engineClient(endpoint)
	order := engine.Order{Fence: 1, Model: w.Model, Version: w.Version}
	if w.Adapter != "" {
		order.Adapters = []string{w.Adapter}
	}
	assert.NilError(f.t, client.Order(f.t.Context(), order))
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		r, err := client.Report(f.t.Context())
		if err == nil && r.Model == w.Model && r.Version == w.Version && r.Loading == "" {
			return poll.Success()
		}
		return poll.Continue("%s has not loaded %s yet: %v", endpoint, w, err)
	}, poll.WithDelay(time.Millisecond))
}

// TestBlocksOfReplacedWeightsAreNotUsed has an engine replace its model, weights or adapter before
// this instance knows of it. A request that is named after the former version must not run
// there: it would read blocks of the former version and cache its own under that name.
func TestBlocksOfReplacedWeightsAreNotUsed(t *testing.T) {
	for _, test := range []struct {
		name  string
		model string         // in the request
		first engine.Weights // that the request is named after
		next  engine.Weights
		note  string // that sets them
	}{
		{"adapter", "llm/drill", engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"}, engine.Weights{Model: "m", Version: "v1", Adapter: "drill@2"}, "change: {adapters: [{name: drill, version: '2'}]}"},
		{"weights", "llm/drill", engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"}, engine.Weights{Model: "m", Version: "v2", Adapter: "drill@1"}, "change: {models: [{name: m, version: v2}]}"},
		{"model", "llm", engine.Weights{Model: "m", Version: "v1"}, engine.Weights{Model: "n", Version: "v1"},
			"add: {models: [{name: n, version: v1, pieceBytes: 8000, blockBytes: 1024}]}\nchange: {services: [{name: llm, model: n, adapters: []}]}"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, enginestandin.Options{})
			keeper := &recordingKeeper{}
			f.server.opts.Keeper = keeper
			f.applyNote("add: {adapters: [{name: drill, model: m, version: '1'}]}\nchange: {services: [{name: llm, adapters: [drill]}]}")
			f.order("engine-0", engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"})
			f.observeReports()
			body := strings.Replace(chatJSON(strings.Repeat("a waiver ", 2000), true), `"llm"`, strconv.Quote(test.model), 1)
			assertAnsweredBy := func(want engine.Weights) {
				t.Helper()
				got := f.do("POST", "/v1/chat/completions", teamToken, body)
				text, complete := streamText(t, got.body)
				assert.Assert(t, complete, got.body)
				assert.Equal(t, text, enginestandin.Answer([]byte(body), want.Version, 8))
				assert.DeepEqual(t, keeper.answered[len(keeper.answered)-1], want)
			}
			assertAnsweredBy(test.first)

			f.order("engine-0", test.next)
			got := f.do("POST", "/v1/chat/completions", teamToken, body)
			assert.Check(t, got.status == http.StatusServiceUnavailable, "status %d", got.status)
			assert.Equal(t, f.engines[0].ForeignReads(), 0)

			f.applyNote(test.note)
			f.observeReports()
			assertAnsweredBy(test.next)
			assert.Equal(t, f.engines[0].ForeignReads(), 0)
		})
	}
}

// TestAnswerOfOtherWeightsIsNotDelivered has an engine that ignores the demands of requests, but
// says with what it answers, run a request with another model, weight version or adapter. The
// answer must not reach the caller, and its blocks must not be exported.
func TestAnswerOfOtherWeightsIsNotDelivered(t *testing.T) {
	for _, other := range []engine.Weights{
		{Model: "n", Version: "v1", Adapter: "drill@1"},
		{Model: "m", Version: "v2", Adapter: "drill@1"},
		{Model: "m", Version: "v1", Adapter: "drill@2"},
		{Model: "m", Version: "v1"},
	} {
		t.Run(other.String(), func(t *testing.T) {
			f := newFixture(t, enginestandin.Options{IgnoresDemands: true})
			keeper := &recordingKeeper{}
			f.server.opts.Keeper = keeper
			f.applyNote("add: {adapters: [{name: drill, model: m, version: '1'}]}\nchange: {services: [{name: llm, adapters: [drill]}]}")
			f.order("engine-0", engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"})
			f.observeReports()
			f.order("engine-0", other)
			got := f.do("POST", "/v1/chat/completions", teamToken, strings.Replace(chatJSON("a waiver", true), `"llm"`, `"llm/drill"`, 1))
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Equal(t, len(keeper.answered), 0)
		})
	}
}

// TestBlocksComputedAfterSwapAreNotUsedAfterReturn has an engine load another model, other
// weights or another adapter while it runs a prompt, read the prompt again with them, and return to the former
// ones. A request after that must not use the blocks that were computed between.
func TestBlocksComputedAfterSwapAreNotUsedAfterReturn(t *testing.T) {
	adapters := func(version string) string { return "change: {adapters: [{name: drill, version: '" + version + "'}]}" }
	models := func(version string) string { return "change: {models: [{name: m, version: " + version + "}]}" }
	for _, test := range []struct {
		name       string
		swap, back string         // notes
		between    engine.Weights // weights between the notes
	}{
		{
			name:    "model",
			swap:    "add: {models: [{name: n, version: v1, pieceBytes: 8000, blockBytes: 1024}]}\nchange: {services: [{name: llm, model: n, adapters: []}]}",
			back:    "change: {services: [{name: llm, model: m, adapters: [drill]}]}",
			between: engine.Weights{Model: "n", Version: "v1"},
		},
		{name: "weights", swap: models("v2"), back: models("v1"), between: engine.Weights{Model: "m", Version: "v2", Adapter: "drill@1"}},
		{name: "adapter", swap: adapters("2"), back: adapters("1"), between: engine.Weights{Model: "m", Version: "v1", Adapter: "drill@2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, enginestandin.Options{TokenInterval: 10 * time.Millisecond, AnswerTokens: 1 << 20})
			f.applyNote("add: {adapters: [{name: drill, model: m, version: '1'}]}\nchange: {services: [{name: llm, adapters: [drill]}]}")
			f.order("engine-0", engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"})
			f.observeReports()
			end := f.begin("llm/drill")
			f.applyNote(test.swap)
			f.order("engine-0", test.between)
			f.engines[0].Preempt()
			f.applyNote(test.back)
			f.order("engine-0", engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"})
			end()

			f.observeReports()
			defer f.begin("llm/drill")()
			assert.Equal(t, f.engines[0].ForeignReads(), 0)
		})
	}
}

// TestBlocksComputedAfterSwapAreNotUsedAfterLateOrder is as
// TestBlocksComputedAfterSwapAreNotUsedAfterReturn, but the engine returns to the former weights
// by an order that a former leader has sent late, or one that lags behind the notes, and not by
// a note.
func TestBlocksComputedAfterSwapAreNotUsedAfterLateOrder(t *testing.T) {
	f := newFixture(t, enginestandin.Options{TokenInterval: 10 * time.Millisecond, AnswerTokens: 1 << 20})
	end := f.begin("llm")
	f.applyNote("change: {models: [{name: m, version: v2}]}")
	f.order("engine-0", engine.Weights{Model: "m", Version: "v2"})
	f.engines[0].Preempt()
	f.order("engine-0", engine.Weights{Model: "m", Version: "v1"})
	end()

	f.observeReports()
	defer f.begin("llm")()
	assert.Equal(t, f.engines[0].ForeignReads(), 0)
}

// begin sends a prompt to a model, waits until its answer has begun and returns a function that
// disconnects the caller. The prompt is always the same.
func (f *fixture) begin(model string) (end func()) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	body := strings.Replace(chatJSON(strings.Repeat("a waiver ", 2000), true), `"llm"`, strconv.Quote(model), 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+teamToken)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	assert.NilError(f.t, err)
	return func() {
		cancel()
		resp.Body.Close()
	}
}
