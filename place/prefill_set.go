package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// longPromptShare is the part of the pause objective that the prefill of a long prompt takes at
// least. An engine that is 2.5 times as slow for a while needs half of the objective for it.
const longPromptShare = 0.2

// IsLongPrompt reports whether prefilling a prompt for the given time disturbs streams with the
// given pause objective, 0 if there is none.
func IsLongPrompt(prefill, objective time.Duration) bool {
	return objective > 0 && float64(prefill) >= longPromptShare*float64(objective)
}

// PrefillEngine is an engine that may be used to prefill long prompts.
type PrefillEngine struct {
	Hash       uint64 // Hash of the endpoint's identifier
	DataCentre string
}

// Parameters of PrefillSet.
const (
	// prefillUtilisation is the share of its time that an engine of the set prefills. At 0.7,
	// prompts of equal length that arrive at random wait for 1.2 times their own prefill.
	prefillUtilisation = 0.7
	// maxPrefillShare is the largest part of the engines that the set may have: the streams
	// go on at the others.
	maxPrefillShare = 0.5
	// minPrefillDemand is the demand, in engines, from which there is a set. There is one until
	// the demand is below half of that.
	minPrefillDemand = 0.05
	// shrinkMargin is by how much the demand must be below what a smaller set takes before the
	// set shrinks, so that it does not change with every measurement.
	shrinkMargin = 1.25
)

// PrefillSet returns the indexes of the engines that should prefill long prompts, while the
// streams of these prompts go on at others. tokensPerSecond is the demand: the uncached tokens
// of long prompts from all instances together; prefillRate is the number of tokens that an
// engine prefills in a second; previous is the size of the set that was in use, 0 at first.
//
// Load pattern: prompts of 12,000 uncached tokens among streams whose events may pause for
// 300 ms. While an engine prefills a long prompt, all streams there have longer steps; spread
// over all engines, the long prompts slow down every stream for a part of its time.
//
// All instances agree on the set without messages. The engines have one order, by the hash of
// their identifiers within each data centre and alternating between data centres in proportion
// to their engines; the set is its beginning. Instances that measure different demand thus
// differ by few engines, and a change of the demand adds or removes at the end only.
func PrefillSet(engines []PrefillEngine, previous int, tokensPerSecond, prefillRate float64) []int {
	size := prefillSetSize(len(engines), previous, tokensPerSecond, prefillRate)
	if size == 0 {
		return nil
	}
	return prefillOrder(engines)[:size]
}

// prefillSetSize returns the size of the set among n engines.
func prefillSetSize(n, previous int, tokensPerSecond, prefillRate float64) int {
	if !(tokensPerSecond > 0) || !(prefillRate > 0) || math.IsInf(tokensPerSecond, 0) {
		return 0
	}
	demand := tokensPerSecond / prefillRate
	if demand < minPrefillDemand/2 || demand < minPrefillDemand && previous == 0 {
		return 0
	}
	largest := int(maxPrefillShare * float64(n))
	size := min(math.Ceil(demand/prefillUtilisation), float64(largest))
	if withMargin := min(math.Ceil(shrinkMargin*demand/prefillUtilisation), float64(largest)); int(size) < previous {
		return min(int(withMargin), previous)
	}
	return int(size)
}

// prefillOrder returns the indexes of the engines in the order that all instances agree on.
func prefillOrder(engines []PrefillEngine) []int {
	order := make([]int, len(engines))
	for i := range order {
		order[i] = i
	}
	byHash := func(a, b int) int { return cmp.Compare(engines[a].Hash, engines[b].Hash) }
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(engines[a].DataCentre, engines[b].DataCentre), byHash(a, b))
	})
	// position is where an engine stands among those of its data centre, from 0 to 1.
	position := make([]float64, len(engines))
	for start := 0; start < len(order); {
		end := start
		for end < len(order) && engines[order[end]].DataCentre == engines[order[start]].DataCentre {
			end++
		}
		for i := start; i < end; i++ {
			position[order[i]] = (float64(i-start) + 0.5) / float64(end-start)
		}
		start = end
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(position[a], position[b]), byHash(a, b)) })
	return order
}
