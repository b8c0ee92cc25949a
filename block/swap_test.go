package block

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/engine"
	enginestandin "redwingknot/internal/standin/engine"
	"redwingknot/store"
)

// testSlots is the number of slots of an engine.
const testSlots = 2

// swapEngine is a stand-in engine with its client.
type swapEngine struct {
	*enginestandin.Server
	client *engine.Client
	onPut  func() // called once, before the second block of an export is written
	puts   int
}

// Put implements enginestandin.BlockMover.
func (e *swapEngine) Put(ctx context.Context, url string, ref engine.BlockRef, content []byte, rate int64) error {
	_, err := store.NewClient(url, nil).Put(ctx, ref, content, rate)
	if e.puts++; e.puts == 1 && e.onPut != nil {
		e.onPut()
	}
	return err
}

// Get implements enginestandin.BlockMover.
func (e *swapEngine) Get(ctx context.Context, url string, ref engine.BlockRef, rate int64) ([]byte, error) {
	return store.NewClient(url, nil).Get(ctx, ref, rate)
}

func newSwapEngine(t *testing.T) *swapEngine {
	e := &swapEngine{}
	e.Server = enginestandin.New(enginestandin.Options{
		Model: "m", Version: "v1", Slots: testSlots, PrefillRate: 1 << 30, TokenInterval: time.Millisecond, AnswerTokens: 4,
		PieceTokens: 16, CachePieces: 64, BlockBytes: testBlockBytes, Mover: e,
	})
	host := httptest.NewServer(e.Server)
	t.Cleanup(host.Close)
	e.client = engine.NewClient(host.URL, http.DefaultClient)
	e.order(t, engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"})
	return e
}

// order has the engine load weights and waits until it has them.
func (e *swapEngine) order(t *testing.T, w engine.Weights) {
	t.Helper()
	o := engine.Order{Fence: 1, Model: w.Model, Version: w.Version, Adapters: []string{w.Adapter}}
	assert.NilError(t, e.client.Order(t.Context(), o))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r, err := e.client.Report(t.Context())
		if err == nil && r.Model == w.Model && r.Version == w.Version && r.Loading == "" {
			return poll.Success()
		}
		return poll.Continue("the engine has not loaded %s: %v", w, err)
	}, poll.WithDelay(time.Millisecond))
}

// request returns a request for an answer to p.
func (e *swapEngine) request(p Prompt) engine.GenerateRequest {
	request := engine.GenerateRequest{AttemptID: "a", Weights: p.Weights, Body: []byte(`{"model":"llm/drill"}`)}
	for _, k := range p.Keys {
		request.BlockKeys = append(request.BlockKeys, k.String())
	}
	return request
}

// run sends a prompt and reads its answer to the end; during is called after the first token.
func (e *swapEngine) run(t *testing.T, p Prompt, during func()) {
	t.Helper()
	s, err := e.client.Generate(t.Context(), e.request(p))
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(t, err)
	during()
	for err == nil {
		_, err = s.Next()
	}
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
}

// TestBlocksComputedAfterSwapAreNotBroughtBack changes the weights of an engine while it runs a
// prompt, or exports its blocks, and has the engine read the prompt again with the new ones. A
// later request of the former weights, at an engine that still has them, must not get these
// blocks.
func TestBlocksComputedAfterSwapAreNotBroughtBack(t *testing.T) {
	const pieces = 4
	old := engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"}
	for _, test := range []struct {
		name         string
		duringRun    engine.Weights // weights that the engine loads during the run
		duringExport engine.Weights // weights that it loads during the export, while it runs the prompt again
		published    int
	}{
		{name: "no swap", duringRun: old, published: pieces},
		{name: "weights", duringRun: engine.Weights{Model: "m", Version: "v2", Adapter: "drill@1"}},
		{name: "model", duringRun: engine.Weights{Model: "n", Version: "v1", Adapter: "drill@1"}},
		{name: "adapter", duringRun: engine.Weights{Model: "m", Version: "v1", Adapter: "drill@2"}},
		{name: "weights during export", duringRun: old, duringExport: engine.Weights{Model: "m", Version: "v2", Adapter: "drill@1"}, published: 1},
		{name: "adapter during export", duringRun: old, duringExport: engine.Weights{Model: "m", Version: "v1", Adapter: "drill@2"}, published: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSetup(t, 1)
			swapped, other := newSwapEngine(t), newSwapEngine(t)
			p, _ := testPrompt(pieces)
			p.Weights = old
			swapTo := func(w engine.Weights) {
				swapped.order(t, w)
				swapped.Preempt()
			}
			swapped.run(t, p, func() { swapTo(test.duringRun) })
			if test.duringExport != (engine.Weights{}) {
				swapped.onPut = func() { swapped.run(t, p, func() { swapTo(test.duringExport) }) }
			}
			published, err := s.keeper.Export(t.Context(), swapped.client, p, 0)
			assert.NilError(t, err)
			assert.Check(t, published == test.published, "%d blocks were published", published)

			plan, err := s.keeper.PlanBringBack(t.Context(), p)
			assert.NilError(t, err)
			assert.Equal(t, s.keeper.BringBack(t.Context(), other.client, p, plan), published)
			other.run(t, p, func() {})
			assert.Equal(t, other.ForeignReads(), 0)
		})
	}
}

// TestBlocksOfQueuedRunAcrossSwapAreNotBroughtBack changes the weights of an engine while a run
// that it has admitted waits for a slot, so that its prompt is read with the new weights.
func TestBlocksOfQueuedRunAcrossSwapAreNotBroughtBack(t *testing.T) {
	const pieces = 4
	s := newTestSetup(t, 1)
	swapped, other := newSwapEngine(t), newSwapEngine(t)
	p, _ := testPrompt(pieces)
	p.Weights = engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"}
	releaseSlots := swapped.occupySlots(t, p.Weights)
	done := make(chan struct{})
	go func() {
		defer close(done)
		swapped.run(t, p, func() {})
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r, err := swapped.client.Report(t.Context()); err != nil || r.Waiting == 0 {
			return poll.Continue("the run does not wait yet: %v", err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	swapped.order(t, engine.Weights{Model: "m", Version: "v2", Adapter: "drill@1"})
	releaseSlots()
	<-done
	published, err := s.keeper.Export(t.Context(), swapped.client, p, 0)
	assert.NilError(t, err)
	assert.Check(t, published == 0, "%d blocks were published", published)

	plan, err := s.keeper.PlanBringBack(t.Context(), p)
	assert.NilError(t, err)
	s.keeper.BringBack(t.Context(), other.client, p, plan)
	other.run(t, p, func() {})
	assert.Equal(t, other.ForeignReads(), 0)
}

// occupySlots fills the engine's slots with runs that end when the caller releases them. Their
// answers begin so far before the first token that they don't end by themselves.
func (e *swapEngine) occupySlots(t *testing.T, w engine.Weights) (release func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	for i := range testSlots {
		request := engine.GenerateRequest{AttemptID: fmt.Sprint("slot-", i), Weights: w, ResumeOffset: -1 << 20, Body: []byte(`{"model":"llm"}`)}
		stream, err := e.client.Generate(ctx, request)
		assert.NilError(t, err)
		t.Cleanup(func() { stream.Close() })
	}
	return cancel
}

// TestBlocksBroughtBackBeforeSwapAreNotUsedAfter has an engine load other weights, or another
// adapter, between an import and the request that it is for. The engine must refuse the request,
// and the blocks are good for a request after a return.
func TestBlocksBroughtBackBeforeSwapAreNotUsedAfter(t *testing.T) {
	const pieces = 4
	old := engine.Weights{Model: "m", Version: "v1", Adapter: "drill@1"}
	for _, other := range []engine.Weights{{Model: "m", Version: "v2", Adapter: "drill@1"}, {Model: "m", Version: "v1", Adapter: "drill@2"}} {
		for _, swapFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, swap first: %t", other, swapFirst), func(t *testing.T) {
				s := newTestSetup(t, 1)
				source, swapped := newSwapEngine(t), newSwapEngine(t)
				p, _ := testPrompt(pieces)
				p.Weights = old
				source.run(t, p, func() {})
				published, err := s.keeper.Export(t.Context(), source.client, p, 0)
				assert.NilError(t, err)
				assert.Equal(t, published, pieces)

				plan, err := s.keeper.PlanBringBack(t.Context(), p)
				assert.NilError(t, err)
				if swapFirst {
					swapped.order(t, other)
				}
				assert.Equal(t, s.keeper.BringBack(t.Context(), swapped.client, p, plan), pieces)
				swapped.order(t, other)
				_, err = swapped.client.Generate(t.Context(), swapped.request(p))
				assert.Assert(t, engine.IsOtherWeights(err), "%v", err)

				swapped.order(t, old)
				swapped.run(t, p, func() {})
				assert.Equal(t, swapped.ForeignReads(), 0)
			})
		}
	}
}
