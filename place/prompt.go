package place

// Engine is an endpoint that may run a model request. All sizes are in tokens,
// and times are given as the number of tokens that the engine prefills meanwhile.
// The costs of memory, prefill and waiting can thus be compared without knowing the
// engine's prefill rate.
type Engine struct {
	Hash           uint64  // Hash of the endpoint's identifier
	Local          bool    // whether it is in this instance's data centre
	Slowness       float64 // its time per token relative to the usual time of the service, 1 being usual
	Running        int     // requests that it is running, from all instances
	Slots          int     // requests that it can run at once, 0 if not limited
	PendingTokens  int     // prompt tokens of other requests that it still has to prefill
	MemoryInUse    int     // memory that its running requests need
	MemoryCapacity int     // its memory, 0 if unknown
	UncachedTokens int     // tokens of this prompt that it would have to prefill
	FetchCost      int     // time to fetch cached parts of this prompt
	MemoryNeeded   int     // memory that this request would need
	Noise          float64 // how long its streams pause relative to what its load explains, 0 or 1 unless it is noisy
	Speed          float64 // its SpeedTracker's result, 0 or 1 if it is usual
	RecentPrefill  int     // tokens of long prompts that were sent there within RecentTime
	Prefills       bool    // whether it is in the set of prefill engines
	total          float64 // cost, in AvoidInterference with interference
}

// Parameters of Cost and ChooseEngine, in tokens that an engine prefills meanwhile.
const (
	// baseCostTokens is the fixed part of a request's time, for the engine's first
	// step and the network: about 10 ms at 100 tokens per millisecond.
	baseCostTokens = 1000
	// remoteCostTokens is the cost of reaching another data centre, a few
	// milliseconds.
	remoteCostTokens = 200
	// slotWaitTokens is the expected wait for a slot per request beyond the engine's
	// slots. It is a part of the half second that an answer takes.
	slotWaitTokens = 4000
	// costTolerance is the difference in cost, about 4 ms, up to which engines
	// are considered equal, so that requests of one session stay together.
	costTolerance = 400
)

// Cost returns the expected time from sending the request to the engine until
// its first token, as a number of tokens that the engine prefills meanwhile.
func (e *Engine) Cost() float64 {
	cost := float64(baseCostTokens + e.PendingTokens + e.UncachedTokens + e.FetchCost + e.excessRequestCost() + e.excessMemoryCost())
	cost *= max(e.Slowness, 1)
	if !e.Local {
		cost += remoteCostTokens
	}
	return cost
}

// excessRequestCost returns the cost of waiting for a slot.
func (e *Engine) excessRequestCost() int {
	if excess := e.Running + 1 - e.Slots; e.Slots > 0 && excess > 0 {
		return excess * slotWaitTokens
	}
	return 0
}

// excessMemoryCost returns the cost of waiting for memory.
func (e *Engine) excessMemoryCost() int {
	if excess := e.MemoryInUse + e.MemoryNeeded - e.MemoryCapacity; e.MemoryCapacity > 0 && excess > 0 {
		return excess
	}
	return 0
}

// ChooseEngine returns the index of the engine with the earliest expected first
// token, or -1 if there are no engines. It chooses an engine without memory for the
// request only if no engine has any.
//
// Load pattern: prompts of ten thousand tokens among prompts of hundreds. An
// engine that has a few long prompts to prefill is seconds late while others are
// idle, however few requests it has; a prompt that is already in an engine's memory
// costs next to nothing. Among engines whose cost is within costTolerance of the
// lowest, the one with the highest rendezvous weight for the session is chosen.
// Instances that place the first requests of a session at the same time thus choose
// the same engine, and the session's prompt is prefilled only once.
func ChooseEngine(sessionHash uint64, engines []Engine) int {
	lowest := lowestCost(engines, (*Engine).hasMemory)
	mayChoose := (*Engine).hasMemory
	if lowest < 0 {
		mayChoose = func(*Engine) bool { return true }
		lowest = lowestCost(engines, mayChoose)
	}
	best, bestWeight := -1, uint64(0)
	for i := range engines {
		if !mayChoose(&engines[i]) || engines[i].total > lowest+costTolerance {
			continue
		}
		if w := RendezvousWeight(sessionHash, engines[i].Hash); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// lowestCost sets total of the engines that may be chosen to their cost. It returns the lowest
// one, -1 if there are none.
func lowestCost(engines []Engine, mayChoose func(*Engine) bool) float64 {
	lowest := -1.0
	for i := range engines {
		if !mayChoose(&engines[i]) {
			continue
		}
		engines[i].total = engines[i].Cost()
		if lowest < 0 || engines[i].total < lowest {
			lowest = engines[i].total
		}
	}
	return lowest
}
