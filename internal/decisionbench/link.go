package decisionbench

import "math"

const (
	storeCount = 2
	// linkShare is the link rate of the stores, in pieces a second for each
	// worker of the deployment.
	linkShare = 20.0
)

// link is a store's link: transfers one after another.
type link struct {
	clock *clock
	rate  float64 // pieces a second
	free  float64 // when the last transfer ends
	moved int
	dead  bool
}

// transfer schedules done after the pieces have moved.
func (l *link) transfer(pieces int, done func(took float64)) {
	begin := max(l.clock.now, l.free)
	l.free = begin + float64(pieces)/l.rate
	l.moved += pieces
	took := l.free - l.clock.now
	l.clock.after(took, func() { done(took) })
}

// cost is the answer of the link's home instance, which grants its use: the
// seconds until the pieces would have moved.
func (l *link) cost(pieces int) float64 {
	if l.dead {
		return math.Inf(1)
	}
	return max(l.free-l.clock.now, 0) + float64(pieces)/l.rate
}
