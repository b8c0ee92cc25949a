package serve

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/engine"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/note"
)

// setAdapter makes the configuration have the adapter "drill" with a version.
func (f *fixture) setAdapter(version string) {
	next := *f.state
	next.Head++
	next.Adapters = map[string]note.Adapter{"drill": {Name: "drill", Model: "m", Version: version}}
	llm := next.Services["llm"]
	llm.Adapters = []string{"drill"}
	next.Services = map[string]note.Service{"llm": llm, "app": f.state.Services["app"]}
	f.state = &next
	f.server.opts.Services.Apply(f.state)
}

// order has an engine load an adapter.
func (f *fixture) order(endpoint, adapter string) {
	f.t.Helper()
	o := engine.Order{Fence: 1, Model: "m", Version: "v1", Adapters: []string{adapter}}
	assert.NilError(f.t, f.server.engineClient(endpoint).Order(f.t.Context(), o))
}

// TestBlocksOfReplacedAdapterAreNotUsed has an engine replace an adapter before this instance
// knows of it. A request that is named after the adapter's former version must not run there:
// it would read blocks of the former version and cache its own under that name.
func TestBlocksOfReplacedAdapterAreNotUsed(t *testing.T) {
	f := newFixture(t, enginestandin.Options{})
	keeper := &recordingKeeper{}
	f.server.opts.Keeper = keeper
	f.setAdapter("1")
	f.order("engine-0", "drill@1")
	f.observeReports()
	body := strings.Replace(chatJSON(strings.Repeat("a waiver ", 2000), true), `"llm"`, `"llm/drill"`, 1)
	assertWhole := func() {
		t.Helper()
		got := f.do("POST", "/v1/chat/completions", teamToken, body)
		text, complete := streamText(t, got.body)
		assert.Assert(t, complete, got.body)
		assert.Equal(t, text, enginestandin.Answer([]byte(body), "v1", 8))
	}
	assertWhole()
	assert.DeepEqual(t, keeper.answered, []engine.Weights{{Version: "v1", Adapter: "drill@1"}})

	f.order("engine-0", "drill@2")
	got := f.do("POST", "/v1/chat/completions", teamToken, body)
	assert.Check(t, got.status == http.StatusServiceUnavailable, "status %d", got.status)
	assert.Equal(t, f.engines[0].ForeignReads(), 0)

	f.setAdapter("2")
	f.observeReports()
	assertWhole()
	assert.Equal(t, f.engines[0].ForeignReads(), 0)
	assert.DeepEqual(t, keeper.answered[1:], []engine.Weights{{Version: "v1", Adapter: "drill@2"}})
}
