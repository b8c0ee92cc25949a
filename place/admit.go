package place

import "time"

// Parts of its target time that a prompt may wait for others to be read, by how
// urgent it is.
const (
	urgentWait   = 0.9
	usualWait    = 0.7
	patientWait  = 0.5
	fullMemory   = 0.95 // of an engine's memory that running requests may need
	nominalSpeed = 1e5  // tokens read a second, before any engine was measured
)

// PrefillSpeed is how fast the engines of a service read prompts. It is pure state and
// not safe for concurrent use.
type PrefillSpeed struct {
	perToken float64 // seconds, 0 before the first measurement
}

// speedWeight smooths over some thirty prompts.
const speedWeight = 0.03

// Observe takes the time to a prompt's first token at an engine with hardly
// anything else to read.
func (s *PrefillSpeed) Observe(took time.Duration, cost float64) {
	sample := took.Seconds() / cost
	if s.perToken == 0 {
		s.perToken = 1 / nominalSpeed
	}
	s.perToken += speedWeight * (sample - s.perToken)
}

// PrefillTime returns how long reading tokens takes.
func (s *PrefillSpeed) PrefillTime(tokens int) time.Duration {
	perToken := s.perToken
	if perToken == 0 {
		perToken = 1 / nominalSpeed
	}
	return time.Duration(float64(tokens) * perToken * float64(time.Second))
}

// Admits reports whether a prompt should go to an engine now: by its rank, 0 is
// the most urgent, and the time within which its answer has its full worth.
//
// Load pattern: more prompts than the engines can read, for seconds. Sent on
// all the same, every one of them is late, callers leave, and what was read for
// them is lost: the overload feeds itself. A prompt whose turn would come late
// waits outside, where it takes no memory, and the less urgent wait first.
// A prompt's own size does not count, so that large ones are not starved.
func Admits(e *Engine, rank int, target time.Duration, s *PrefillSpeed) bool {
	if e.MemoryCapacity > 0 && e.MemoryInUse > 0 && float64(e.MemoryInUse+e.MemoryNeeded) > fullMemory*float64(e.MemoryCapacity) {
		return false
	}
	share := patientWait
	switch rank {
	case 0:
		share = urgentWait
	case 1:
		share = usualWait
	}
	return s.PrefillTime(e.PendingTokens) <= time.Duration(share*float64(target))
}
