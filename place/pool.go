package place

// Parameters of WorkSplit.
const (
	// heavyPromptTokens is the size in tokens from which a prompt counts as heavy: an
	// engine prefills it in several pieces, between which it makes one token for each
	// running request.
	heavyPromptTokens = 4096
	// outputTokenWork is the work for a token that a request may generate, in tokens
	// that an engine prefills meanwhile. Several requests share each step of an
	// engine, and most generate fewer tokens than they may.
	outputTokenWork = 5
	// workSampleWeight is the weight of a new prompt in the averages, which thus cover
	// some hundred prompts.
	workSampleWeight = 0.01
	// minPoolShare is the smallest share of the engines that a pool has.
	minPoolShare = 0.15
	// minPooledEngines is the number of engines from which they are divided.
	minPooledEngines = 4
	// outsidePoolCost is the cost of an engine of the other pool, in tokens. A prompt
	// goes there if its own pool is busy for longer, or if that saves more prefilling.
	outsidePoolCost = 2500
)

// WorkSplit divides the engines of a service into a pool for light prompts and one for
// heavy prompts, in proportion to the work that prompts of each kind make. It does no
// I/O and reads no clock. It is not safe for concurrent use.
//
// Load pattern: prompts of ten thousand tokens that generate a few tokens, among
// prompts of hundreds that generate many. While an engine prefills a heavy prompt,
// each step takes as long as a piece of it, so that all requests running there make a
// token in 50 ms in place of 5 ms, and pause for longer than their callers accept.
type WorkSplit struct {
	light, heavy float64 // moving averages of the work of a prompt, counting 0 for each of the other kind
}

// IsHeavy reports whether a prompt of the given size in tokens counts as heavy.
func IsHeavy(promptTokens int) bool { return promptTokens >= heavyPromptTokens }

// Observe adds a prompt with its size, the tokens that an engine prefills for it and
// the most tokens that it may generate.
func (s *WorkSplit) Observe(promptTokens, prefillTokens, maxOutputTokens int) {
	s.light *= 1 - workSampleWeight
	s.heavy *= 1 - workSampleWeight
	work := workSampleWeight * float64(prefillTokens+outputTokenWork*maxOutputTokens)
	if IsHeavy(promptTokens) {
		s.heavy += work
	} else {
		s.light += work
	}
}

// lightShare returns the share of the engines in the pool for light prompts.
func (s *WorkSplit) lightShare() float64 {
	return min(max(s.light/(s.light+s.heavy), minPoolShare), 1-minPoolShare)
}

// PoolCost returns the cost in tokens of running a prompt at an engine because of the
// pool that the engine is in: 0 in the prompt's own pool, and while there is only one
// kind of prompts or few engines. rank is the engine's rank, from 0 on, in an order of
// the service's engines that all instances share.
func (s *WorkSplit) PoolCost(promptTokens, rank, engines int) int {
	if s.light == 0 || s.heavy == 0 || engines < minPooledEngines {
		return 0
	}
	if inHeavyPool := float64(rank) >= s.lightShare()*float64(engines); inHeavyPool == IsHeavy(promptTokens) {
		return 0
	}
	return outsidePoolCost
}
