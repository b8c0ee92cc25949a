package place

import "time"

// The WaitShare constants limit, by priority rank, how long the prompts already
// queued at an engine may take to be read, as a share of a new prompt's target
// time.
const (
	urgentWaitShare      = 0.9
	normalWaitShare      = 0.7
	lowPriorityWaitShare = 0.5
	maxMemoryShare       = 0.95 // share of an engine's memory that running requests may need
	initialReadRate      = 1e5  // tokens read per second, assumed until an engine has been measured
)

// PrefillSpeed estimates how fast the engines of a service read prompts. It does no I/O
// and reads no clock. It is not safe for concurrent use.
type PrefillSpeed struct {
	secondsPerToken float64 // time to read one token, 0 before the first measurement
}

// speedWeight is the weight of a new sample in the moving average of reading
// speed, which thus covers about thirty prompts.
const speedWeight = 0.03

// Observe adds a measurement: the time to a prompt's first token at an engine
// that had hardly anything else to read, and the expected cost of that prompt in
// tokens read.
func (s *PrefillSpeed) Observe(timeToFirstToken time.Duration, costTokens float64) {
	sample := timeToFirstToken.Seconds() / costTokens
	if s.secondsPerToken == 0 {
		s.secondsPerToken = 1 / initialReadRate
	}
	s.secondsPerToken += speedWeight * (sample - s.secondsPerToken)
}

// PrefillTime returns how long an engine is expected to take to read that many tokens.
func (s *PrefillSpeed) PrefillTime(tokens int) time.Duration {
	secondsPerToken := s.secondsPerToken
	if secondsPerToken == 0 {
		secondsPerToken = 1 / initialReadRate
	}
	return time.Duration(float64(tokens) * secondsPerToken * float64(time.Second))
}

// Admits reports whether a prompt should be sent to engine e now. The rank is
// the prompt's priority, 0 being the most urgent; target is the time within
// which its answer has its full worth.
//
// Load pattern: for seconds, more prompts arrive than the engines can read. If
// all were sent on, every answer would be late, callers would disconnect, and
// the work done for them would be lost, so that the overload would sustain
// itself. A prompt that would have to wait too long at the engine is therefore
// held back at the instance, where it takes no engine memory; less urgent
// prompts are held back first. A prompt's own size is not counted, so that large
// prompts are not starved.
//
// The memory limit does not apply to an engine without running requests, since
// waiting there would free no memory.
func Admits(e *Engine, rank int, target time.Duration, s *PrefillSpeed) bool {
	if e.MemoryCapacity > 0 && e.MemoryInUse > 0 && float64(e.MemoryInUse+e.MemoryNeeded) > maxMemoryShare*float64(e.MemoryCapacity) {
		return false
	}
	waitShare := lowPriorityWaitShare
	switch rank {
	case 0:
		waitShare = urgentWaitShare
	case 1:
		waitShare = normalWaitShare
	}
	return s.PrefillTime(e.PendingTokens) <= time.Duration(waitShare*float64(target))
}
