package decisionbench

import "math"

// Number and link rate of the stores.
const (
	storeCount = 2
	// linkRatePerWorker is the link rate of all stores together, in pieces a second
	// for each worker of the deployment.
	linkRatePerWorker = 20.0
)

// link is the network link of a store. It carries one transfer at a time, in the
// order in which they were started.
type link struct {
	clock       *clock
	rate        float64 // pieces a second
	busyUntil   float64 // end of the last transfer, in seconds since epoch
	movedPieces int
	down        bool // the store is unreachable
}

// transfer moves pieces over the link and then calls done with the seconds that it
// took, the wait for earlier transfers included.
func (l *link) transfer(pieces int, done func(took float64)) {
	begin := max(l.clock.now, l.busyUntil)
	l.busyUntil = begin + float64(pieces)/l.rate
	l.movedPieces += pieces
	took := l.busyUntil - l.clock.now
	l.clock.after(took, func() { done(took) })
}

// transferTime returns the seconds until a transfer of pieces that starts now would
// end, the wait for earlier transfers included, or +Inf if the store is down. In a
// real deployment the link's home instance, which grants its use, gives this answer.
func (l *link) transferTime(pieces int) float64 {
	if l.down {
		return math.Inf(1)
	}
	return max(l.busyUntil-l.clock.now, 0) + float64(pieces)/l.rate
}
