package keepbench

import (
	"slices"
	"time"
)

// sharedLink is a network link whose rate is shared evenly by its transfers, each up
// to its own limit.
type sharedLink struct {
	rate         float64 // bytes a second
	flows        []*flow
	advancedAt   time.Time // up to which bytesLeft of the flows is current
	flowsVersion int       // counts changes of flows, to ignore completions scheduled before a change
}

// flow is a transfer in progress.
type flow struct {
	bytesLeft float64
	rateLimit float64 // bytes a second, 0 for no limit
	rate      float64
	done      func()
}

// advance reduces the bytes left of all flows by what moved until now.
func (l *sharedLink) advance(now time.Time) {
	elapsed := now.Sub(l.advancedAt).Seconds()
	l.advancedAt = now
	for _, f := range l.flows {
		f.bytesLeft -= f.rate * elapsed
	}
}

// assignRates sets the rate of each flow by max-min fairness: what flows with a low
// limit leave unused is shared by the others.
func (l *sharedLink) assignRates() {
	for _, f := range l.flows {
		f.rate = 0
	}
	unassigned, rateLeft := len(l.flows), l.rate
	for unassigned > 0 {
		evenRate, unassignedBefore := rateLeft/float64(unassigned), unassigned
		for _, f := range l.flows {
			if f.rate == 0 && f.rateLimit > 0 && f.rateLimit <= evenRate {
				f.rate = f.rateLimit
				rateLeft -= f.rateLimit
				unassigned--
			}
		}
		if unassigned < unassignedBefore {
			continue
		}
		for _, f := range l.flows {
			if f.rate == 0 {
				f.rate = evenRate
			}
		}
		return
	}
}

// startFlow adds f to the link.
func (sim *simulation) startFlow(l *sharedLink, f *flow) {
	l.advance(sim.now)
	l.flows = append(l.flows, f)
	sim.scheduleCompletion(l)
}

// scheduleCompletion assigns new rates after a change of the flows and schedules the
// completion of the flow that ends next.
func (sim *simulation) scheduleCompletion(l *sharedLink) {
	l.flowsVersion++
	l.assignRates()
	var first *flow
	for _, f := range l.flows {
		if first == nil || f.bytesLeft/f.rate < first.bytesLeft/first.rate {
			first = f
		}
	}
	if first == nil {
		return
	}
	version := l.flowsVersion
	sim.schedule(sim.now.Add(max(durationFromSeconds(first.bytesLeft/first.rate), 0)), func() {
		if l.flowsVersion == version {
			sim.completeFlow(l, first)
		}
	})
}

// completeFlow removes f from the link and calls its done function.
func (sim *simulation) completeFlow(l *sharedLink, f *flow) {
	l.advance(sim.now)
	l.flows = slices.DeleteFunc(l.flows, func(o *flow) bool { return o == f })
	sim.scheduleCompletion(l)
	f.done()
}

// abortFlow completes f early if it is still in progress.
func (sim *simulation) abortFlow(l *sharedLink, f *flow) {
	if slices.Contains(l.flows, f) {
		sim.completeFlow(l, f)
	}
}
