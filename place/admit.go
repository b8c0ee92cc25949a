package place

import (
	"math"
	"time"
)

// Parameters of Admits and PrefillRate. urgentWaitShare, normalWaitShare and
// lowPriorityWaitShare are for the priority ranks 0, 1 and all others: they limit how
// long an engine may take to prefill the prompts already queued there, as a share of
// a new prompt's target time.
const (
	urgentWaitShare      = 0.9
	normalWaitShare      = 0.7
	lowPriorityWaitShare = 0.5
	maxMemoryShare       = 0.95 // share of an engine's memory that its running requests and the new one may need
	initialPrefillRate   = 1e5  // tokens prefilled per second, assumed until there is a measurement
)

// PrefillRate estimates the prefill rate of the engines of a service. It does
// no I/O and reads no clock. It is not safe for concurrent use.
type PrefillRate struct {
	secondsPerToken float64 // time to prefill one token, 0 before the first measurement
}

// tokenTimeWeight is the weight of a new sample in the moving average of the time
// per token, which thus covers about thirty prompts.
const tokenTimeWeight = 0.03

// Observe adds a measurement: the time to a prompt's first token at an engine
// that had hardly any other prompt to prefill, and the expected cost of that prompt
// in tokens.
func (s *PrefillRate) Observe(timeToFirstToken time.Duration, costTokens float64) {
	sample := timeToFirstToken.Seconds() / costTokens
	if s.secondsPerToken == 0 {
		s.secondsPerToken = 1 / initialPrefillRate
	}
	s.secondsPerToken += tokenTimeWeight * (sample - s.secondsPerToken)
}

// PrefillTime returns how long an engine is expected to take to prefill the
// given number of tokens.
func (s *PrefillRate) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * s.timePerToken() * float64(time.Second))
}

// TokensPerSecond returns how many tokens an engine is expected to prefill in a second.
func (s *PrefillRate) TokensPerSecond() float64 { return 1 / s.timePerToken() }

// timePerToken returns the expected time to prefill one token in seconds.
func (s *PrefillRate) timePerToken() float64 {
	if s.secondsPerToken == 0 {
		return 1 / initialPrefillRate
	}
	return s.secondsPerToken
}

// hasMemory reports whether the engine has memory for the request beside its running
// requests, or has none of these.
func (e *Engine) hasMemory() bool {
	return e.MemoryCapacity == 0 || e.MemoryInUse == 0 || float64(e.MemoryInUse+e.MemoryNeeded) <= maxMemoryShare*float64(e.MemoryCapacity)
}

// Admits reports whether a prompt should be sent to engine e now. The rank is
// the prompt's priority, 0 being the most urgent; target is the time within
// which its answer has its full worth.
//
// Load pattern: for seconds, more prompts arrive than the engines can prefill. If
// all were sent on, every answer would be late, callers would disconnect, and
// the work done for them would be lost, so that the overload would sustain
// itself. A prompt that would have to wait too long at the engine is therefore
// held back at the instance, where it takes no engine memory; less urgent
// prompts are held back first. A prompt's own size is not counted, so that large
// prompts are not starved.
//
// The memory limit does not apply to an engine without running requests, since
// waiting there would free no memory.
func Admits(e *Engine, rank int, target time.Duration, s *PrefillRate) bool {
	return e.hasMemory() && e.admissionDelay(rank, target, s) <= 0
}

// AdmissionDelay returns how long it takes at least until one of the engines would admit
// a prompt, if they get no others meanwhile; 0 if that depends on the memory of running
// requests, whose end is not known. The other arguments are those of Admits.
//
// Load pattern: a backlog of seconds in all engines. A prompt that can't be admitted
// while its caller may wait is refused at once, with the time when it can be.
func AdmissionDelay(engines []Engine, rank int, target time.Duration, s *PrefillRate) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range engines {
		shortest = min(shortest, engines[i].admissionDelay(rank, target, s))
	}
	return max(shortest, 0)
}

// admissionDelay returns by how much the queued prompts of the engine exceed what a prompt
// may wait for, negative if they don't.
func (e *Engine) admissionDelay(rank int, target time.Duration, s *PrefillRate) time.Duration {
	waitShare := lowPriorityWaitShare
	switch rank {
	case 0:
		waitShare = urgentWaitShare
	case 1:
		waitShare = normalWaitShare
	}
	return s.PrefillTime(e.PendingTokens) - time.Duration(waitShare*float64(target))
}
