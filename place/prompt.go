package place

// Engine is an endpoint that may run a model request. All sizes are in tokens,
// so that memory, reading and waiting compare without knowing an engine's speed.
type Engine struct {
	Hash           uint64
	Local          bool
	Slowness       float64 // its time for a token relative to the service's, 1 is usual
	Running        int     // requests there of all instances
	Slots          int
	PendingTokens  int // prompt tokens that others there still have to be read
	MemoryInUse    int // memory that the running requests need
	MemoryCapacity int // memory, 0 if not known
	UncachedTokens int // tokens of this prompt that would have to be read there
	FetchCost      int // how long it would fetch parts, in tokens read
	MemoryNeeded   int // memory that this request needs
}

const (
	// baseTokens stands for the fixed part of a request's time: first step and
	// way, about 10 ms at 100 tokens a millisecond.
	baseTokens = 1000
	// remoteTokens is what crossing to another data centre costs, some
	// milliseconds.
	remoteTokens = 200
	// slotTokens is what a request beyond an engine's slots waits for each one
	// before it: a part of an answer of half a second.
	slotTokens = 4000
	// indifferent is the difference in cost, about 4 ms, below which requests
	// of one session keep together.
	indifferent = 400
)

// Cost is how long an engine is expected to take to a request's first token, in
// tokens read.
func (e *Engine) Cost() float64 {
	cost := float64(baseTokens + e.PendingTokens + e.UncachedTokens + e.FetchCost)
	if over := e.Running + 1 - e.Slots; e.Slots > 0 && over > 0 {
		cost += float64(over * slotTokens)
	}
	if over := e.MemoryInUse + e.MemoryNeeded - e.MemoryCapacity; e.MemoryCapacity > 0 && over > 0 {
		cost += float64(over)
	}
	cost *= max(e.Slowness, 1)
	if !e.Local {
		cost += remoteTokens
	}
	return cost
}

// ChooseEngine chooses the engine with the earliest expected first token.
//
// Load pattern: prompts of ten thousand tokens among ones of hundreds. An
// engine that has a few of the long ones to read is late by seconds while
// others are idle, whatever the number of requests there; a prompt that is in
// memory costs next to nothing. Among engines of about equal cost a session
// goes to the one with the highest rendezvous weight, so that instances which
// place its first requests at the same moment read it once.
func ChooseEngine(session uint64, list []Engine) int {
	least := 0.0
	for i := range list {
		if c := list[i].Cost(); i == 0 || c < least {
			least = c
		}
	}
	best, bestWeight := -1, uint64(0)
	for i := range list {
		if list[i].Cost() > least+indifferent {
			continue
		}
		if w := weight(session, list[i].Hash); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}
