package soak

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/fleetwire"
)

// TestWeightsAreNamedInOrder names weight versions at the same time: the store must end with
// the newest one.
func TestWeightsAreNamedInOrder(t *testing.T) {
	for range 50 {
		o := newOperator()
		var naming sync.WaitGroup
		for range 20 {
			naming.Go(o.nameNewWeights)
		}
		naming.Wait()
		key, want := fleetwire.WeightsEntry(model, o.newestWeights())
		e, err := o.content.Get(key)
		assert.NilError(t, err)
		assert.Equal(t, strings.TrimSpace(string(e.Value)), string(want))
	}
}
