package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

// Promise is what the checks look for; its value names how it was broken.
type Promise string

// The promises.
const (
	RunUnsent            Promise = "unsent-run"       // only what was sent runs, as it was sent
	RunTwice             Promise = "second-run"       // what may not be repeated runs once
	WrongAnswer          Promise = "wrong-answer"     // a success is the whole answer of an endpoint to this request
	RefusedButRan        Promise = "refused-but-ran"  // a refusal that says not run is true
	ValidCallDenied      Promise = "denied"           // proper calls are not denied
	TwoHolders           Promise = "two-holders"      // engines are ordered by one holder at a time
	RevokedTokenAccepted Promise = "withdrawn-token"  // a withdrawn token is refused in time
	OldRouteUsed         Promise = "old-route"        // a configuration is followed in time
	LeftEndpointUsed     Promise = "left-endpoint"    // an endpoint that leaves gets no requests after its time
	LostAnswer           Promise = "lost-answer"      // planned work costs no answer, nor does the store alone
	TooManyRepeats       Promise = "too-many-repeats" // runs beyond the first stay within their allowance
	NoRecovery           Promise = "no-recovery"      // everything works again after the last disruption
)

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise
	Detail  string
	At      time.Duration // from the start of the run
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Promise, v.At.Round(time.Millisecond), v.Detail)
}

// ran is a run with where it was.
type ran struct {
	fleetworker.Run
	at *incarnation
	of *endpoint
}

// evidence is what callers and endpoints have seen up to a moment.
type evidence struct {
	calls map[string]*call
	open  map[string]bool
	runs  map[string][]ran // by attempt
}

func (r *run) evidence() *evidence {
	e := &evidence{runs: map[string][]ran{}}
	for _, p := range r.endpoints {
		for _, i := range p.incarnations() {
			for _, one := range i.worker.Runs() {
				e.runs[one.Attempt] = append(e.runs[one.Attempt], ran{one, i, p})
			}
		}
	}
	// After the runs: each of them belongs to a call that has begun before.
	e.calls, e.open = r.record.all()
	return e
}

// check looks at all that was seen. With timed it checks the promises with a
// bound on time as well, which a machine that is too busy can't keep.
func (r *run) check(timed bool) {
	e := r.evidence()
	r.checkRuns(e)
	r.checkAnswers(e)
	r.checkOrders()
	if timed {
		r.checkRevoked(e)
		r.checkMoved(e)
		r.checkLeft(e)
		r.checkLost(e)
		r.checkBudget(e)
	}
}

// checkRuns checks what ran against what was asked for.
func (r *run) checkRuns(e *evidence) {
	for attempt, runs := range e.runs {
		k := e.calls[attempt]
		if k == nil {
			r.violate(RunUnsent, "%s ran and was never sent", attempt)
			continue
		}
		if len(runs) > 1 && !k.kind.repeatable() {
			r.violate(RunTwice, "%s (%s) ran %d times", attempt, k.kind, len(runs))
		}
		for _, one := range runs {
			wantTeam := team
			if k.kind == callOpen {
				wantTeam = ""
			}
			if one.Path != k.path || one.Authenticated || one.Team != wantTeam {
				r.violate(RunUnsent, "%s ran as %s %s for the team %q, credentials passed on: %t", attempt, one.Method, one.Path, one.Team, one.Authenticated)
			}
		}
	}
}

// checkAnswers checks the answers of the calls that have ended.
func (r *run) checkAnswers(e *evidence) {
	for attempt, k := range e.calls {
		if e.open[attempt] {
			continue
		}
		if k.fault != "" {
			r.violate(WrongAnswer, "%s: %s", attempt, k.fault)
		}
		if k.promised() && len(e.runs[attempt]) > 0 && !k.kind.repeatable() {
			r.violate(RefusedButRan, "%s (%s) was answered %d and ran", attempt, k.kind, k.status)
		}
		revoked := k.token == withdrawn && k.kind != callOpen && r.operator.withdraws()
		if slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest}, k.status) && !revoked {
			r.violate(ValidCallDenied, "%s (%s) was answered %d", attempt, k.kind, k.status)
		}
	}
}

// checkOrders checks that engines are ordered by one holder at a time.
func (r *run) checkOrders() {
	const thaw = 300 * time.Millisecond // within which late orders of a paused holder may arrive
	holders := map[string]*gateway{}
	for _, g := range r.gateways {
		holders[g.name] = g
	}
	for _, p := range r.endpoints {
		for _, i := range p.incarnations() {
			var last fleetworker.Order
			for n, o := range i.worker.Orders() {
				g := holders[o.Holder]
				if g == nil {
					r.violate(TwoHolders, "%s took an order of %q", i, o.Holder)
					continue
				}
				if sinceThaw := o.At.Sub(g.lastThaw()); sinceThaw >= 0 && sinceThaw < thaw {
					continue
				}
				if n > 0 && (o.Fence < last.Fence || o.Fence == last.Fence && o.Holder != last.Holder) {
					r.violate(TwoHolders, "%s took an order of %s with fence %d after one of %s with %d", i, o.Holder, o.Fence, last.Holder, last.Fence)
				}
				if n > 0 && o.Holder != last.Holder && o.At.Sub(last.At) < orderLease {
					r.violate(TwoHolders, "%s took orders of %s and %s %s apart", i, last.Holder, o.Holder, o.At.Sub(last.At))
				}
				last = o
			}
		}
	}
}

// checkRevoked checks that no gateway honours a withdrawn token.
func (r *run) checkRevoked(e *evidence) {
	gone := r.operator.tokenGone()
	if gone.IsZero() {
		return
	}
	for attempt, k := range e.calls {
		if k.kind != callOpen && k.token == withdrawn && k.sent.After(gone.Add(revokeTime)) && len(e.runs[attempt]) > 0 {
			r.violate(RevokedTokenAccepted, "%s (%s) ran, sent %s after its token was withdrawn", attempt, k.kind, k.sent.Sub(gone))
		}
	}
}

// checkMoved checks that calm gateways follow a route that was moved.
func (r *run) checkMoved(e *evidence) {
	service, since := r.operator.movedTo()
	if since.IsZero() {
		return
	}
	for attempt, k := range e.calls {
		if k.kind != callMoved || k.sent.Before(since.Add(applyTime)) || !r.trouble.calm(k.sent.Add(-settleTime), k.sent, false) {
			continue
		}
		for _, one := range e.runs[attempt] {
			if one.of.service != service {
				r.violate(OldRouteUsed, "%s ran at %s, sent %s after the route led to %s", attempt, one.of.service, k.sent.Sub(since), service)
			}
		}
	}
}

// checkLeft checks that endpoints which announced their end get no requests.
func (r *run) checkLeft(e *evidence) {
	for attempt, runs := range e.runs {
		for _, one := range runs {
			left := one.at.leftAt()
			k := e.calls[attempt]
			if left.IsZero() || k == nil || !one.StartedAt.After(left.Add(drainTime)) || !r.trouble.calm(left.Add(-settleTime), one.StartedAt, false) {
				continue
			}
			r.violate(LeftEndpointUsed, "%s ran at %s %s after it announced its end", attempt, one.at, one.StartedAt.Sub(left))
		}
	}
}

// checkLost checks that what an operator plans costs no answer, and that the
// store alone costs none to calls that may be repeated and need no token.
func (r *run) checkLost(e *evidence) {
	for attempt, k := range e.calls {
		if e.open[attempt] || k.gateway == nil {
			continue
		}
		from := k.sent.Add(-settleTime)
		if r.trouble.calm(from, k.ended, false) {
			ran := len(e.runs[attempt]) > 0
			if ran && (!k.whole() || k.status >= http.StatusInternalServerError) && !timedOut(k.err) {
				r.violate(LostAnswer, "%s (%s) at %s ran and got %d, %v, with planned work only", attempt, k.kind, k.gateway.name, k.status, k.err)
			}
		}
		if k.kind == callOpen && r.trouble.calm(from, k.ended, true) && k.status >= http.StatusInternalServerError {
			r.violate(LostAnswer, "%s at %s got %d with the store in trouble only", attempt, k.gateway.name, k.status)
		}
	}
}

// checkBudget checks the runs beyond the first of each call.
func (r *run) checkBudget(e *evidence) {
	repeats := 0
	for _, runs := range e.runs {
		repeats += len(runs) - 1
	}
	spans := 1 + float64(time.Since(r.started))/float64(budgetSpan)
	if most := budgetRatio*float64(len(e.calls)) + budgetSlack*spans; float64(repeats) > most {
		r.violate(TooManyRepeats, "%d runs beyond the first of a call, at most %.0f are allowed", repeats, most)
	}
}
