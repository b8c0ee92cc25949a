package place

import "time"

// Parameters of Interference. Costs are in tokens that an engine prefills meanwhile.
const (
	// disturbedRatio is the part of a pause objective from which the expected time between
	// events counts as a disturbance. Engines that are undisturbed stay well below it.
	disturbedRatio = 0.25
	// exceededRatio is the part of a pause objective from which it is likely to be exceeded: the
	// time between events differs by a quarter from the expected one.
	exceededRatio = 0.8
	// imposedWeight is the cost, to each stream at an engine, of a token that is prefilled while
	// the stream goes on, relative to the cost of a token that delays the first event. Most
	// streams that are slowed down stay within their objective.
	imposedWeight = 0.05
	// exceededWeight is the same while the objective is likely to be exceeded, which is what a
	// late first event costs, too.
	exceededWeight = 0.5
	// recentWeight is the cost of a token of a long prompt that was sent to the engine within
	// RecentTime, for another long prompt: its streams have just been disturbed.
	recentWeight = 0.25
	// separationShare is the part of the pause objective that a long prompt may wait longer at an
	// engine of the set of prefill engines, and another prompt at one outside of it.
	separationShare = 0.5
	// maxNoise bounds the effect of a noisy engine on the costs.
	maxNoise = 4
	// inTimeShare is the part of the target time within which the first event is expected at
	// an engine that is chosen to avoid interference.
	inTimeShare = 0.8
)

// Surroundings is what a decision knows, beside the engines, about a prompt and the streams of
// the service.
type Surroundings struct {
	Streams          *StreamModel
	Rate             *PrefillRate
	ServiceObjective time.Duration // tightest pause objective of the service's streams, 0 without any
	Objective        time.Duration // pause objective of the prompt's own stream, 0 if it has none
	Target           time.Duration // time within which its first event has its full worth
	Rank             int           // its priority, 0 being the most urgent
	Separate         bool          // long prompts belong to the engines that Prefills names
}

// disturbance returns the cost per token and stream of prefilling the given number of pending
// tokens at the engine, for streams with a pause objective.
func (e *Engine) disturbance(pending int, objective time.Duration, s *Surroundings) float64 {
	interval := s.Streams.Interval(pending, max(e.Speed, 1))
	ratio := float64(interval) * max(e.Noise, 1) / float64(objective)
	switch {
	case ratio < disturbedRatio:
		return 0
	case ratio < exceededRatio:
		return imposedWeight * ratio * ratio
	}
	return exceededWeight
}

// Interference returns the cost of running a prompt at the engine beyond the time to its own
// first event: what its prefill adds to the streams that run there, and what its own stream has
// to expect. It is 0 for engines that have no pause objective to keep or are undisturbed.
//
// Load pattern: prompts of 12,000 uncached tokens among streams whose events may pause for
// 300 ms, at engines that are 2.5 times as slow for some hundred milliseconds now and then.
// The engine with the earliest first event is often one whose streams then pause for too long.
func (e *Engine) Interference(s *Surroundings) float64 {
	if s.ServiceObjective <= 0 || !s.Streams.Measured() {
		return 0
	}
	cost := 0.0
	if e.Noise > 1 {
		cost += (min(e.Noise, maxNoise) - 1) * e.Cost()
	}
	long := IsLongPrompt(s.Rate.PrefillTime(e.UncachedTokens), s.ServiceObjective)
	if long {
		cost += float64(e.Running*e.UncachedTokens)*e.disturbance(e.PendingTokens+e.UncachedTokens, s.ServiceObjective, s) + recentWeight*float64(e.RecentPrefill)
	}
	if s.Objective > 0 && IsLongPrompt(s.Rate.PrefillTime(e.PendingTokens), s.Objective) {
		cost += float64(e.PendingTokens) * e.disturbance(e.PendingTokens, s.Objective, s) / imposedWeight
	}
	if s.Separate && long != e.Prefills {
		cost += separationShare * s.ServiceObjective.Seconds() * s.Rate.TokensPerSecond()
	}
	return cost
}

// AvoidInterference returns the index of the engine that should get a prompt, given the one that
// ChooseEngine has chosen and that admits it: that one, unless there is interference and another
// engine has a lower cost with it. The other one must have memory for the prompt, admit it, and be
// expected to have its first event in time, or no later than the chosen one. Among equal ones it
// prefers, as ChooseEngine does, the engine of the session.
func AvoidInterference(sessionHash uint64, engines []Engine, chosen int, s *Surroundings) int {
	imposed := engines[chosen].Interference(s)
	if imposed == 0 {
		return chosen
	}
	chosenCost := engines[chosen].Cost()
	latest := max(inTimeShare*s.Target.Seconds()*s.Rate.TokensPerSecond(), chosenCost)
	lowest := chosenCost + imposed
	for i := range engines {
		engines[i].total = -1
		e := &engines[i]
		if cost := e.Cost(); i == chosen || cost <= latest && Admits(e, s.Rank, s.Target, s.Rate) {
			e.total = cost + e.Interference(s)
			lowest = min(lowest, e.total)
		}
	}
	if engines[chosen].total <= lowest+costTolerance {
		return chosen
	}
	best, bestWeight := chosen, uint64(0)
	for i := range engines {
		if engines[i].total < 0 || engines[i].total > lowest+costTolerance {
			continue
		}
		if w := RendezvousWeight(sessionHash, engines[i].Hash); w >= bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}
