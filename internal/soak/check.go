package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

// Invariant names a property that the checks verify. The constants and their values
// are named after the case in which the invariant is violated.
type Invariant string

// The invariants.
const (
	RunUnsent            Invariant = "unsent-run"       // endpoints run only requests that callers sent, unchanged and for the right team
	RunTwice             Invariant = "second-run"       // requests that may not be repeated run at most once
	WrongAnswer          Invariant = "wrong-answer"     // a successful answer is the complete answer of an endpoint to this request
	RefusedButRan        Invariant = "refused-but-ran"  // a request whose refusal says that it did not run has not run
	ValidCallDenied      Invariant = "denied"           // valid requests are not denied
	TwoHolders           Invariant = "two-holders"      // engines get orders from one holder of the leader lease at a time
	OldWeightsRun        Invariant = "old-weights"      // no request begins on weights that were replaced longer than loadTime ago
	CacheOfOtherWeights  Invariant = "other-weights"    // no request runs on cached memory that was made under another version of the weights
	RevokedTokenAccepted Invariant = "withdrawn-token"  // a revoked token is refused within revokeTime
	OldRouteUsed         Invariant = "old-route"        // a new configuration is in force within applyTime
	LeftEndpointUsed     Invariant = "left-endpoint"    // an endpoint gets no requests later than drainTime after it announced that it leaves
	AnnouncedLeaveMissed Invariant = "announced-leave"  // an endpoint gets no requests from a gateway later than drainTime after it told that gateway that it leaves
	PauseIgnored         Invariant = "pause-ignored"    // an endpoint gets hardly any requests from a gateway that it has asked for a pause
	LostAnswer           Invariant = "lost-answer"      // planned steps lose no answer, and neither do disruptions of the store alone
	TooManyRepeats       Invariant = "too-many-repeats" // repeated runs stay within the retry budget
	CrashingRequestSent  Invariant = "crash-sent-on"    // a request that crashes endpoints is not sent on and on
	CrashingPartSent     Invariant = "part-sent-on"     // prompts with a part that crashes engines are not sent on and on
	SoundPromptsLost     Invariant = "sound-lost"       // sound prompts are served beside prompts with such a part
	MixedVersions        Invariant = "mixed-versions"   // a stream holds events of one software version
	OutOfOrder           Invariant = "out-of-order"     // a stream brings each event once, in order, none of another run or request, and all of them before its end
	ResumptionsLost      Invariant = "resumptions-lost" // streams that callers take up go on
	PartitionedFail      Invariant = "partitioned-fail" // callers of gateways that reach no endpoints are served like others
	BrittleFell          Invariant = "brittle-fell"     // brittle endpoints hardly fall over
	LimitExceeded        Invariant = "limit-exceeded"   // an endpoint gets hardly more requests than the limit that it names
	MemoryExceeded       Invariant = "memory"           // a gateway stays within its machine's memory
	CutInStop            Invariant = "cut-in-stop"      // a gateway that stops ends no request unanswered that it could have refused or finished
	CutWhileRouted       Invariant = "cut-while-routed" // the same, of requests that were sent while it still got new connections
	NoRecovery           Invariant = "no-recovery"      // everything works again after the last step
)

// Violation is one case in which an invariant was violated.
type Violation struct {
	Invariant Invariant
	Detail    string
	At        time.Duration // since the start of the run
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Invariant, v.At.Round(time.Millisecond), v.Detail)
}

// endpointRun is a request that an endpoint ran, with the endpoint.
type endpointRun struct {
	fleetworker.Run
	incarnation *incarnation
	endpoint    *endpoint
}

// observations holds what callers and endpoints have seen so far. All maps are keyed
// by attempt ID.
type observations struct {
	calls   map[string]*call
	pending map[string]bool // calls that have not ended
	runs    map[string][]endpointRun
}

// observe returns the observations so far.
func (r *run) observe() *observations {
	obs := &observations{runs: map[string][]endpointRun{}}
	for _, e := range r.allEndpoints() {
		for _, i := range e.incarnations() {
			for _, ran := range i.worker.Runs() {
				obs.runs[ran.Attempt] = append(obs.runs[ran.Attempt], endpointRun{ran, i, e})
			}
		}
	}
	// The calls are read after the runs, because each run belongs to a call that began
	// before it.
	obs.calls, obs.pending = r.callLog.snapshot()
	return obs
}

// check verifies the invariants against all observations so far. With checkTimeBounds it
// also verifies invariants with a time bound, which cannot be kept on an overloaded machine.
func (r *run) check(checkTimeBounds bool) {
	obs := r.observe()
	r.checkRuns(obs)
	r.checkRequests(obs)
	r.checkMemory()
	r.checkAnswers(obs)
	r.checkSoftwareVersions(obs)
	r.checkOrder(obs)
	r.checkOrders()
	r.checkCachedWeights(obs)
	if checkTimeBounds {
		r.checkRevokedToken(obs)
		r.checkWeights(obs)
		r.checkMovedRoute(obs)
		r.checkLeftEndpoints(obs)
		r.checkNotices(obs)
		r.checkLostAnswers(obs)
		r.checkStops(obs)
		r.checkRepeats(obs)
		r.checkCrashes(obs)
		r.checkCrashingPart(obs)
		r.checkLimits(obs)
		r.checkResumptions(obs)
		r.checkPartitions(obs)
	}
}

// checkRuns checks the requests that ran against those that were sent.
func (r *run) checkRuns(obs *observations) {
	for attempt, runs := range obs.runs {
		c := obs.calls[attempt]
		if c == nil {
			r.recordViolation(RunUnsent, "%s ran but was never sent", attempt)
			continue
		}
		if len(runs) > 1 && !c.kind.repeatable() {
			r.recordViolation(RunTwice, "%s (%s) ran %d times", attempt, c.kind, len(runs))
		}
		for _, ran := range runs {
			wantTeam := team
			if c.kind.public() {
				wantTeam = ""
			}
			if ran.Path != c.path || ran.Authenticated || ran.Team != wantTeam {
				r.recordViolation(RunUnsent, "%s ran as %s %s for team %q (credentials passed on: %t)", attempt, ran.Method, ran.Path, ran.Team, ran.Authenticated)
			}
		}
	}
}

// checkAnswers checks the answers of the calls that have ended.
func (r *run) checkAnswers(obs *observations) {
	for attempt, c := range obs.calls {
		if obs.pending[attempt] {
			continue
		}
		if c.answerFault != "" {
			r.recordViolation(WrongAnswer, "%s: %s", attempt, c.answerFault)
		}
		if c.promisedNotRun() && len(obs.runs[attempt]) > 0 && !c.kind.repeatable() {
			r.recordViolation(RefusedButRan, "%s (%s) was answered %d and ran", attempt, c.kind, c.status)
		}
		revoked := c.token == revocableToken && c.kind != callOpen && r.operator.isTokenRevoked()
		if slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest}, c.status) && !revoked {
			r.recordViolation(ValidCallDenied, "%s (%s) was answered %d", attempt, c.kind, c.status)
		}
	}
}

// checkOrders checks that engines get orders to load weights from one holder at a
// time. A holder is a gateway that holds, or held, the leader lease.
func (r *run) checkOrders() {
	// lateOrderWindow is the time after a pause or store link fault of a holder during
	// which its delayed orders may still arrive.
	const lateOrderWindow = 300 * time.Millisecond
	holders := map[string]*gateway{}
	for _, g := range r.gateways {
		holders[g.name] = g
	}
	for _, e := range r.endpoints {
		for _, i := range e.incarnations() {
			var last fleetworker.Order
			for n, o := range i.worker.Orders() {
				g := holders[o.Holder]
				if g == nil {
					r.recordViolation(TwoHolders, "%s accepted an order from unknown holder %q", i, o.Holder)
					continue
				}
				if sinceResume := o.At.Sub(g.lastResumed()); sinceResume >= 0 && sinceResume < lateOrderWindow {
					continue
				}
				if n > 0 && (o.Fence < last.Fence || o.Fence == last.Fence && o.Holder != last.Holder) {
					r.recordViolation(TwoHolders, "%s accepted an order from %s with fencing token %d after one from %s with %d", i, o.Holder, o.Fence, last.Holder, last.Fence)
				}
				if n > 0 && o.Holder != last.Holder && o.At.Sub(last.At) < orderLease {
					r.recordViolation(TwoHolders, "%s accepted orders from %s and %s only %s apart", i, last.Holder, o.Holder, o.At.Sub(last.At))
				}
				last = o
			}
		}
	}
}

// checkRevokedToken checks that no gateway accepts a revoked token after
// revokeTime.
func (r *run) checkRevokedToken(obs *observations) {
	revokedAt := r.operator.tokenRevocationTime()
	if revokedAt.IsZero() {
		return
	}
	for attempt, c := range obs.calls {
		if c.kind != callOpen && c.token == revocableToken && c.sentAt.After(revokedAt.Add(revokeTime)) && len(obs.runs[attempt]) > 0 {
			r.recordViolation(RevokedTokenAccepted, "%s (%s) ran although it was sent %s after its token was revoked", attempt, c.kind, c.sentAt.Sub(revokedAt))
		}
	}
}

// checkMovedRoute checks that gateways follow a moved route after applyTime, unless
// there was a disruption.
func (r *run) checkMovedRoute(obs *observations) {
	service, since := r.operator.movedRoute()
	if since.IsZero() {
		return
	}
	for attempt, c := range obs.calls {
		if c.kind != callMoved || c.sentAt.Before(since.Add(applyTime)) || !r.disruptions.noneBetween(c.sentAt.Add(-settleTime), c.sentAt, nil) {
			continue
		}
		for _, ran := range obs.runs[attempt] {
			if ran.endpoint.service != service {
				r.recordViolation(OldRouteUsed, "%s ran at %s although it was sent %s after the route moved to %s", attempt, ran.endpoint.service, c.sentAt.Sub(since), service)
			}
		}
	}
}

// checkLeftEndpoints checks that an endpoint gets no requests later than drainTime
// after it announced that it leaves, unless there was a disruption.
func (r *run) checkLeftEndpoints(obs *observations) {
	for attempt, runs := range obs.runs {
		for _, ran := range runs {
			leavingSince := ran.incarnation.leavingSince()
			c := obs.calls[attempt]
			if leavingSince.IsZero() || c == nil || !ran.StartedAt.After(leavingSince.Add(drainTime)) || !r.disruptions.noneBetween(leavingSince.Add(-settleTime), ran.StartedAt, nil) {
				continue
			}
			r.recordViolation(LeftEndpointUsed, "%s ran at %s %s after the endpoint announced that it leaves", attempt, ran.incarnation, ran.StartedAt.Sub(leavingSince))
		}
	}
}

// arrival is a request that reached an endpoint, from a gateway.
type arrival struct {
	fleetworker.Notice
	gateway *gateway
	sentAt  time.Time // when the caller sent it
}

// checkNotices checks that every gateway heeds what an endpoint's responses to it say,
// whatever disturbs the gateway.
func (r *run) checkNotices(obs *observations) {
	for _, e := range r.endpoints {
		for _, i := range e.incarnations() {
			for _, list := range obs.arrivals(i) {
				r.checkAnnouncedLeave(i, list)
				r.checkPauses(i, list)
			}
		}
	}
}

// arrivals returns the requests that reached an incarnation by gateway, the first ones
// first.
func (o *observations) arrivals(i *incarnation) map[*gateway][]arrival {
	byGateway := map[*gateway][]arrival{}
	add := func(n fleetworker.Notice) {
		if c := o.calls[n.Attempt]; c != nil && c.gateway != nil {
			byGateway[c.gateway] = append(byGateway[c.gateway], arrival{n, c.gateway, c.sentAt})
		}
	}
	noticed := map[string]bool{}
	for _, n := range i.worker.Notices() {
		noticed[n.Attempt] = true
		add(n)
	}
	for attempt, runs := range o.runs {
		for _, ran := range runs {
			if ran.incarnation == i && !noticed[attempt] {
				add(fleetworker.Notice{Attempt: attempt, At: ran.StartedAt})
			}
		}
	}
	for _, list := range byGateway {
		slices.SortFunc(list, func(a, b arrival) int { return a.At.Compare(b.At) })
	}
	return byGateway
}

// checkAnnouncedLeave checks the requests from one gateway that reached an incarnation
// after it told that gateway that it leaves.
func (r *run) checkAnnouncedLeave(i *incarnation, list []arrival) {
	told := slices.IndexFunc(list, func(a arrival) bool { return a.Leaving })
	if told < 0 {
		return
	}
	g := list[told].gateway
	if toldAt := list[told].At; g.lastStarted().After(toldAt) || g.lastResumed().After(toldAt) {
		return
	}
	for _, a := range list[told:] {
		if since := a.sentAt.Sub(list[told].At); since > drainTime {
			r.recordViolation(AnnouncedLeaveMissed, "%s from %s reached %s although it was sent %s after the endpoint told that gateway that it leaves", a.Attempt, a.gateway.name, i, since)
		}
	}
}

// checkPauses checks the requests from one gateway that reached an incarnation during
// pauses that it asked that gateway for.
func (r *run) checkPauses(i *incarnation, list []arrival) {
	const (
		reactionTime = 500 * time.Millisecond
		maxArrivals  = 2
	)
	for _, asked := range list {
		undisturbed := r.disruptions.noneBetween(asked.At.Add(-settleTime), asked.PauseEnds, pauseKinds)
		if asked.PauseEnds.IsZero() || !undisturbed || asked.gateway.lastStarted().After(asked.At) {
			continue
		}
		n := 0
		for _, a := range list {
			if a.At.After(asked.At.Add(reactionTime)) && a.At.Before(asked.PauseEnds) {
				n++
			}
		}
		if n > maxArrivals {
			r.recordViolation(PauseIgnored, "%d requests from %s reached %s between %s after it asked for a pause and its end", n, asked.gateway.name, i, reactionTime)
		}
	}
}

// checkLostAnswers checks that no answer is lost to planned steps, and that calls
// which may be repeated and need no token lose none to disruptions of the store alone.
func (r *run) checkLostAnswers(obs *observations) {
	for attempt, c := range obs.calls {
		if obs.pending[attempt] || c.gateway == nil {
			continue
		}
		from := c.sentAt.Add(-settleTime)
		if r.disruptions.noneBetween(from, c.endedAt, nil) {
			hasRun := len(obs.runs[attempt]) > 0
			if hasRun && !outlastsStop(c) && (!c.complete() || c.status >= http.StatusInternalServerError) && !timedOut(c.err) {
				r.recordViolation(LostAnswer, "%s (%s) at %s ran but got status %d, error %v, during planned steps only", attempt, c.kind, c.gateway.name, c.status, c.err)
			}
		}
		if c.kind == callOpen && r.disruptions.noneBetween(from, c.endedAt, append(slices.Clone(storeKinds), addedStoreKinds...)) && c.status >= http.StatusInternalServerError {
			r.recordViolation(LostAnswer, "%s at %s got status %d during disruptions of the store only", attempt, c.gateway.name, c.status)
		}
	}
}

// checkRepeats checks the number of runs beyond the first of each call against the
// retry budget.
func (r *run) checkRepeats(obs *observations) {
	repeats := 0
	for _, runs := range obs.runs {
		repeats += len(runs) - 1
	}
	windows := 1 + float64(time.Since(r.started))/float64(retryWindow)
	if maxRepeats := retryRatio*float64(len(obs.calls)) + retrySlack*windows; float64(repeats) > maxRepeats {
		r.recordViolation(TooManyRepeats, "%d repeated runs, at most %.0f are allowed", repeats, maxRepeats)
	}
}
