package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/engine"
	"redwingknot/serve"
)

// TestExportDemandsWeightsOfPrompt guards against an export that demands no weights of the
// engine, which would then also export blocks that it has computed with others.
func TestExportDemandsWeightsOfPrompt(t *testing.T) {
	k := &keeper{pieceTime: func(serve.Prompt) time.Duration { return time.Second }}
	want := engine.Weights{Version: "v1", Adapter: "drill@1"}
	assert.Equal(t, k.blockPrompt(serve.Prompt{Weights: want}).Weights, want)
}
