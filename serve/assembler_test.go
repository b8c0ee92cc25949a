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
	assert.NilError(t, a.begin("a1", "v1"))
	_, err := a.accept(engine.Frame{AttemptID: "a1", Offset: 0})
	assert.NilError(t, err)
	var version *VersionError
	assert.Assert(t, errors.As(a.begin("a2", "v2"), &version))
	assert.NilError(t, a.begin("a3", "v1"))
}

// TestFuzzAssembler mixes the frames of several attempts in any order, late,
// doubled and lost; what is delivered must be a prefix of the true answer, and
// a complete answer all of it.
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
				if a.begin(current, "v") != nil {
					r.Fatal("the same version was refused")
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
				r.Fatal("a crossed frame ended the attempt")
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
				r.Fatalf("delivered %v", got)
			}
		}
		if a.complete && len(got) != length {
			r.Fatalf("complete after %v of %d", got, length)
		}
	})
}
