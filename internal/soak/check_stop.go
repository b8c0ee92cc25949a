package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// finishTime is the time from SIGTERM until a gateway ends the requests that are left.
	finishTime = graceTime * 9 / 10
	// unroutedTime is the time from SIGTERM until a gateway takes no new connections.
	unroutedTime = finishTime / 2
	// finishMargin is the part of that time that a request may lose on the way.
	finishMargin = 500 * time.Millisecond
	// retireIdle is the time without a request after which a gateway that stops may close a
	// connection: a request may cross the close. It is a little shorter at the caller.
	retireIdle = 400 * time.Millisecond
)

// checkStops checks the requests to gateways that stop, unless there was a disruption. One that
// was sent after the stop began must get a whole answer, or a refusal that says that it has not
// run. One that was sent before must get a whole answer if its endpoint needed less time than
// the stop left. Requests that were sent while the gateway still got new connections and were cut
// have a name of their own: a refusal may send their callers back to the same gateway.
func (r *run) checkStops(obs *observations) {
	for attempt, c := range obs.calls {
		p, ok := r.undisturbedStop(obs, c)
		if !ok {
			continue
		}
		fault := lateFault(c, obs.runs[attempt])
		if c.sentAt.Before(p.began) {
			fault = earlyFault(c, p, obs.runs[attempt])
		}
		invariant := CutInStop
		if sentWhileRouted(c, p) && !c.promisedNotRun() {
			invariant = CutWhileRouted
		}
		if fault != "" {
			r.recordViolation(invariant, "%s (%s) at %s, sent %s after SIGTERM, ended %s after it, %s: status %d, error %v",
				attempt, c.kind, c.gateway.name, c.sentAt.Sub(p.began).Round(time.Millisecond), c.endedAt.Sub(p.began).Round(time.Millisecond), fault, c.status, c.err)
		}
	}
}

// sentWhileRouted reports whether a call was sent after a stop had begun, but while the gateway
// still got new connections.
func sentWhileRouted(c *call, p stopPeriod) bool {
	return !c.sentAt.Before(p.began) && c.sentAt.Before(p.began.Add(unroutedTime))
}

// undisturbedStop returns the planned stop during which a call that has ended was sent or under
// way, if there is one and no disruption.
func (r *run) undisturbedStop(obs *observations, c *call) (stopPeriod, bool) {
	if obs.pending[c.attemptID] || c.gateway == nil || c.notSent() {
		return stopPeriod{}, false
	}
	p, ok := c.gateway.stopBetween(c.sentAt, c.endedAt)
	return p, ok && r.disruptions.noneBetween(c.sentAt.Add(-settleTime), c.endedAt, nil)
}

// notSent reports whether a call failed because its gateway took no new connection.
func (c *call) notSent() bool {
	var notReady *NotReadyError
	return errors.As(c.err, &notReady)
}

// lateFault describes what is wrong with the outcome of a call that was sent during a stop. It
// returns an empty string if nothing is.
func lateFault(c *call, runs []endpointRun) string {
	switch {
	case c.promisedNotRun() && c.complete():
		if len(runs) > 0 {
			return "refused as not run although it ran"
		}
		return ""
	case c.crossedClose(runs), c.outOfTime(), c.complete() && c.status < http.StatusInternalServerError:
		return ""
	case c.status == 0:
		return fmt.Sprintf("not answered after %d runs", len(runs))
	case !c.complete():
		return "cut"
	}
	return fmt.Sprintf("failed after %d runs", len(runs))
}

// earlyFault does what lateFault does for a call that was sent before a stop. The time that
// endpoints need is known of late calls only; checkLostAnswers checks the others.
func earlyFault(c *call, p stopPeriod, runs []endpointRun) string {
	if !c.kind.isLate() {
		return ""
	}
	for _, ran := range runs {
		if ran.StartedAt.Add(timeOfPath(c.path) + finishMargin).After(p.began.Add(finishTime)) {
			return ""
		}
	}
	return lateFault(c, runs)
}

// crossedClose reports whether the request of a call can have crossed the close of an idle
// connection: there is no run, and no part of an answer.
func (c *call) crossedClose(runs []endpointRun) bool {
	return c.status == 0 && len(runs) == 0 && c.connIdle >= retireIdle
}

// outOfTime reports whether a call got a whole response that says that its time is over, when
// it was.
func (c *call) outOfTime() bool {
	return c.complete() && c.status == http.StatusGatewayTimeout && c.endedAt.Sub(c.sentAt) >= c.timeout-finishMargin
}

// outlastsStop reports whether a late call was sent before a stop and ended in it. checkStops
// decides whether it should have been answered.
func outlastsStop(c *call) bool {
	if !c.kind.isLate() {
		return false
	}
	_, ok := c.gateway.stopBetween(c.sentAt, c.endedAt)
	return ok
}

// StopCounts counts the requests that were sent to gateways during planned stops without a
// disruption, by their outcome. Requests that are sent again after a refusal count once.
type StopCounts struct {
	Sent           int
	Whole          int // got the whole answer
	ServedNext     int // refused, and answered whole at the next attempt
	RefusedTwice   int // refused, and refused again at the next attempt
	RefusedOnly    int // refused, and not sent again or with another outcome at the next attempt
	Cut            int // the answer broke off, or there was none after a run, or it was a failure
	CutWhileRouted int // of these, sent while the gateway still got new connections
	CrossedClose   int // the connection was closed when it had been idle, without a run
	Other          int // not answered without a run, or with a status that has nothing to do with the stop
	EarlyOutlasts  int // sent before the stop, and cut: they needed longer than the stop left
	EarlyCut       int // sent before the stop, and cut although there was time
}

// String implements fmt.Stringer.
func (n StopCounts) String() string {
	return fmt.Sprintf("in stops: %d sent, %d whole, %d refused and served next, %d refused twice, %d refused only, %d cut (%d while routed), %d crossed the close of their connection, %d other; sent before: %d outlasted the stop, %d cut in time",
		n.Sent, n.Whole, n.ServedNext, n.RefusedTwice, n.RefusedOnly, n.Cut, n.CutWhileRouted, n.CrossedClose, n.Other, n.EarlyOutlasts, n.EarlyCut)
}

// countInStops counts the requests that were sent to stopping gateways so far.
func (r *run) countInStops(obs *observations) StopCounts {
	var n StopCounts
	next := map[*call]*call{} // by the refused call
	for _, c := range obs.calls {
		if c.retryOf != nil {
			next[c.retryOf] = c
		}
	}
	for attempt, c := range obs.calls {
		p, ok := r.undisturbedStop(obs, c)
		runs := obs.runs[attempt]
		switch {
		case !ok:
		case c.sentAt.Before(p.began):
			if !c.complete() || c.status >= http.StatusInternalServerError && !c.promisedNotRun() && !c.outOfTime() {
				if earlyFault(c, p, runs) == "" {
					n.EarlyOutlasts++
				} else {
					n.EarlyCut++
				}
			}
		case c.retryOf == nil || !r.refusedInStop(obs, c.retryOf):
			n.Sent++
			cut := n.Cut
			n.add(c, runs, next[c])
			if n.Cut > cut && sentWhileRouted(c, p) {
				n.CutWhileRouted++
			}
		}
	}
	return n
}

// refusedInStop reports whether a call was sent during a stop, so that its request is counted
// with it.
func (r *run) refusedInStop(obs *observations, c *call) bool {
	p, ok := r.undisturbedStop(obs, c)
	return ok && !c.sentAt.Before(p.began)
}

// add counts a call that was sent during a stop, with the call that followed its refusal.
func (n *StopCounts) add(c *call, runs []endpointRun, next *call) {
	isWhole := func(c *call) bool { return c.complete() && c.status/100 == 2 }
	switch {
	case isWhole(c):
		n.Whole++
	case c.promisedNotRun() && next != nil && isWhole(next):
		n.ServedNext++
	case c.promisedNotRun() && next != nil && next.promisedNotRun():
		n.RefusedTwice++
	case c.promisedNotRun():
		n.RefusedOnly++
	case c.crossedClose(runs):
		n.CrossedClose++
	case c.status == 0 && len(runs) == 0, c.complete() && c.status < http.StatusInternalServerError, c.outOfTime():
		n.Other++
	default:
		n.Cut++
	}
}
