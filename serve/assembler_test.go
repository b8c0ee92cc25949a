package serve

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/engine"
	"redwingknot/internal/fuzztest"
)

func TestAssemblerRefusesAnotherVersion(t *testing.T) {
	var a assembler
	assert.NilError(t, a.beginAttempt("a1", engine.Weights{Version: "v1"}))
	_, err := a.accept(engine.Frame{AttemptID: "a1", Offset: 0})
	assert.NilError(t, err)
	var version *VersionError
	assert.Assert(t, errors.As(a.beginAttempt("a2", engine.Weights{Version: "v1", Adapter: "drill@1"}), &version))
	assert.Assert(t, errors.As(a.beginAttempt("a2", engine.Weights{Version: "v2"}), &version))
	assert.NilError(t, a.beginAttempt("a3", engine.Weights{Version: "v1"}))
}

// TestFuzzAssembler passes frames of several attempts in any order, including
// late, duplicate and lost frames. The delivered tokens must be a prefix of the
// correct answer, and a complete answer must have all its tokens.
func TestFuzzAssembler(t *testing.T) {
	fuzztest.Check(t, func(r *rapid.T) {
		length := rapid.IntRange(1, 8).Draw(r, "length")
		var a assembler
		var got []int
		attempts := []string{"a", "b", "c"}
		current := ""
		steps := rapid.IntRange(1, 60).Draw(r, "steps")
		for range steps {
			if current == "" || rapid.IntRange(0, 9).Draw(r, "switch") == 0 {
				current = rapid.SampledFrom(attempts).Draw(r, "attempt")
				if a.beginAttempt(current, engine.Weights{Version: "v"}) != nil {
					r.Fatal("beginAttempt refused the same version")
				}
			}
			f := engine.Frame{
				AttemptID: rapid.SampledFrom(attempts).Draw(r, "from"),
				Offset:    rapid.IntRange(0, length-1).Draw(r, "offset"),
			}
			if f.Offset == length-1 {
				f.FinishReason = "stop"
			}
			deliver, err := a.accept(f)
			if err != nil && f.AttemptID != current {
				r.Fatal("a frame of another attempt returned an error")
			}
			if deliver {
				if f.AttemptID != current {
					r.Fatal("a frame of another attempt was delivered")
				}
				got = append(got, f.Offset)
			}
		}
		for i, offset := range got {
			if i != offset {
				r.Fatalf("delivered offsets %v are out of order", got)
			}
		}
		if a.complete && len(got) != length {
			r.Fatalf("complete after offsets %v of %d tokens", got, length)
		}
	})
}
