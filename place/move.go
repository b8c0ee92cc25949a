package place

import "time"

// Run is a running stream that could continue at another engine.
type Run struct {
	Key             uint64        // spreads runs over targets that are equally good
	HeldTokens      int           // tokens of memory that it needs in all
	CopiedTokens    int           // tokens in memory, which a move copies
	PrefilledTokens int           // prompt tokens that its engine had to prefill
	RemainingTokens int           // tokens that it may still generate, 0 if unknown
	EventTokens     int           // maximum number of tokens in one event, 0 if unknown
	MaxGap          time.Duration // pause objective of its route, 0 if it has none
}

// MoveEngine is what a decision on a move knows of an engine, with the reservations of all
// instances.
type MoveEngine struct {
	Engine
	SameDataCentre bool // as the run's present engine
	PrefillsLong   bool // long prompts are prefilled there, or are about to be
}

// MoveRates hold how long prefill and copies take.
type MoveRates struct {
	Prefill      *PrefillRate
	TimePerToken time.Duration // time to copy one token within a data centre, 0 if unknown
}

// CopyTime returns how long copying a number of tokens takes.
func (r *MoveRates) CopyTime(tokens int, sameDataCentre bool) time.Duration {
	d := time.Duration(tokens) * r.TimePerToken
	if !sameDataCentre {
		d *= remoteCopyFactor
	}
	return d
}

// MoveVerdict is the result of a decision on a move.
type MoveVerdict uint8

// The results of ChooseMove.
const (
	MoveToTarget      MoveVerdict = iota // the run should move
	MoveShortPrompt                      // hardly anything had to be prefilled for the run
	MoveShortOutput                      // the rest of the output is short or its length is not known
	MoveSlowCopy                         // the copy takes too long for the pause objective, or its time is not known
	MoveQuietSource                      // no long prompt is prefilled where the run is
	MoveNoTarget                         // no engine can take the run
	MoveNotWorthCost                     // the copy costs more than the move saves
	MoveOff                              // the engines can't move runs
	MoveWeightsChange                    // the weights of the model are being replaced
)

var moveVerdictNames = [...]string{"move", "short_prompt", "short_output", "slow_copy", "quiet_source", "no_target", "cost", "off", "weights"}

// String implements fmt.Stringer.
func (v MoveVerdict) String() string { return moveVerdictNames[v] }

// Parameters of ChooseMove. The shares are of the route's pause objective.
const (
	// copyShare bounds the copy. The run stops only for what it has generated during the
	// first copy, but if that copy is lost, all of it is copied again.
	copyShare = 1.0 / 2
	// targetDelayShare bounds what a target has to prefill before the run continues.
	targetDelayShare = 1.0 / 4
	// occupancyShare is the cost of a target without a free slot over that of an empty one:
	// steps of a larger batch take longer.
	occupancyShare = 1.0 / 8
	// minRemainingEvents is the output below which the run stays: most of it would be
	// generated before the move takes effect.
	minRemainingEvents = 8
	// remoteCopyFactor is the time of a copy between data centres relative to one within.
	remoteCopyFactor = 2
	// scoreStep is the difference below which targets are equally good. One run more at an
	// engine with a dozen slots changes the score by about 3 ms.
	scoreStep = 5 * time.Millisecond
)

// ChooseMove decides whether a run continues at another engine, and returns the index of
// that engine in targets.
//
// Load pattern: prompts of 12,000 tokens that are not cached are prefilled in chunks between
// the steps of the streams that run at the same engine. Several in a row, at an engine that
// is slow for a moment, pause these streams for longer than their objective, although other
// engines only generate.
func ChooseMove(run *Run, source *MoveEngine, targets []MoveEngine, rates *MoveRates) (int, MoveVerdict) {
	switch {
	case !IsLongPrompt(rates.Prefill.PrefillTime(run.PrefilledTokens), run.MaxGap):
		return -1, MoveShortPrompt
	case run.RemainingTokens < MinMovedTokens(run.EventTokens):
		return -1, MoveShortOutput
	case rates.TimePerToken == 0 || rates.CopyTime(run.CopiedTokens, true) > share(copyShare, run.MaxGap):
		return -1, MoveSlowCopy
	case !source.PrefillsLong:
		return -1, MoveQuietSource
	}
	best := -1
	var bestScore time.Duration
	for i := range targets {
		t := &targets[i]
		if !t.takes(run, rates) {
			continue
		}
		score := t.moveScore(run, rates)
		tie := best >= 0 && score == bestScore && RendezvousWeight(run.Key, t.Hash) > RendezvousWeight(run.Key, targets[best].Hash)
		if best < 0 || score < bestScore || tie {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return -1, MoveNoTarget
	}
	if moveGain(run, source, &targets[best], rates) <= rates.CopyTime(run.CopiedTokens, targets[best].SameDataCentre) {
		return -1, MoveNotWorthCost
	}
	return best, MoveToTarget
}

// MinMovedTokens returns the number of output tokens below which a run stays where it is.
func MinMovedTokens(eventTokens int) int { return minRemainingEvents * max(eventTokens, 1) }

func share(s float64, d time.Duration) time.Duration { return time.Duration(s * float64(d)) }

// takes reports whether the engine may get the run: it has a slot and memory that nobody has
// reserved, hardly anything to prefill, and the copy fits the pause objective.
func (t *MoveEngine) takes(run *Run, rates *MoveRates) bool {
	fits := t.MemoryCapacity == 0 || float64(t.MemoryInUse+run.HeldTokens) <= maxMemoryShare*float64(t.MemoryCapacity)
	return !t.PrefillsLong && t.Running < t.Slots && fits &&
		t.prefillDelay(0, rates) <= share(targetDelayShare, run.MaxGap) &&
		rates.CopyTime(run.CopiedTokens, t.SameDataCentre) <= share(copyShare, run.MaxGap)
}

// prefillDelay returns how long the engine prefills before it is done with what is pending,
// at least the given number of tokens.
func (t *MoveEngine) prefillDelay(atLeast int, rates *MoveRates) time.Duration {
	return time.Duration(max(t.Slowness, 1) * float64(rates.Prefill.PrefillTime(max(t.PendingTokens, atLeast))))
}

// moveScore returns the cost of a move to the engine. It is rounded, so that instances that
// know the same loads spread their runs over engines that hardly differ.
func (t *MoveEngine) moveScore(run *Run, rates *MoveRates) time.Duration {
	occupancy := float64(t.Running) / float64(max(t.Slots, 1))
	score := t.prefillDelay(0, rates) + rates.CopyTime(run.CopiedTokens, t.SameDataCentre) + share(occupancyShare*occupancy, run.MaxGap)
	return score.Round(scoreStep)
}

// moveGain returns by how much a move shortens pauses: those of the run, which no longer
// waits for the long prompts at its engine, and those of another stream, if the engine is
// so full that the next long prompt would be prefilled elsewhere, beside it. A long prompt
// like the run's own is expected at its engine even if none is pending at the moment.
func moveGain(run *Run, source, target *MoveEngine, rates *MoveRates) time.Duration {
	gain := source.prefillDelay(run.PrefilledTokens, rates) - target.prefillDelay(0, rates)
	noMemory := source.MemoryCapacity > 0 && float64(source.MemoryInUse+run.HeldTokens) > maxMemoryShare*float64(source.MemoryCapacity)
	if source.Running >= source.Slots || noMemory {
		gain += rates.Prefill.PrefillTime(run.PrefilledTokens)
	}
	return gain
}
