package suspect

import (
	"fmt"
	"slices"
	"time"
)

// Run is one attempt of a request at an instance that has a Replica. It is used by the
// goroutine that makes the attempt; Crashed may also be called by another one, after End.
type Run struct {
	replica     *Replica
	fingerprint func() Fingerprint
	rounds      int  // rounds of crashes that were known when it began
	onTrial     bool // it holds this instance's trial of the request
}

// HeldError reports that a request may not run at this instance now.
type HeldError struct {
	For     time.Duration // how long it is refused, 0 if it is on trial
	OnTrial bool          // another instance, or another copy at this one, may run it
}

// Error implements error.
func (e *HeldError) Error() string {
	if e.OnTrial {
		return "endpoints have crashed while this request ran, and it runs once at a time"
	}
	return fmt.Sprintf("endpoints have crashed each time this request ran, and it is refused for %s", e.For)
}

// Begin begins an attempt of the request whose fingerprint is returned by fingerprint, which
// is called only if it is needed. The error is a *HeldError. The caller must call End.
func (r *Replica) Begin(fingerprint func() Fingerprint) (*Run, error) {
	run := &Run{replica: r, fingerprint: fingerprint}
	if r.Empty() {
		return run, nil
	}
	f := fingerprint()
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.registry.Lookup(f, r.now())
	run.rounds = known.Rounds
	switch known.Verdict {
	case Refused:
		return nil, &HeldError{For: known.RefusedFor}
	case Trial:
		if r.trials[f] || !r.holdsTrial(f, known.TrialFor) {
			return nil, &HeldError{OnTrial: true}
		}
		r.trials[f], run.onTrial = true, true
	}
	return run, nil
}

const (
	// soleTrialTime is how long the instance with the highest rendezvous weight is the only
	// one at which a request on trial may run.
	soleTrialTime = 10 * time.Second
	// trialSpreadTime is the time after which twice as many instances may run it.
	trialSpreadTime = 2 * time.Second
	maxTrialDoubles = 16
)

// holdsTrial reports whether this instance may run a request that has been on trial for a
// time.
//
// Load pattern: copies of a request that crashes endpoints come at many instances at once.
// So one instance runs it first, and others only if no copy has reached that one. The
// caller holds mu.
func (r *Replica) holdsTrial(f Fingerprint, onTrialFor time.Duration) bool {
	if len(r.members) == 0 {
		return true
	}
	doubles := min(max(onTrialFor-soleTrialTime, 0)/trialSpreadTime, maxTrialDoubles)
	holders := rendezvousOwners(f.String(), r.members, 1<<doubles)
	return slices.ContainsFunc(holders, func(m Member) bool { return m.Instance == r.self })
}

// Crashed records that the endpoint's process with the given epoch ended while the attempt
// was in flight there.
func (run *Run) Crashed(endpoint, epoch string) {
	run.replica.RecordCrash(run.fingerprint(), Crash{Endpoint: endpoint, Epoch: epoch, Round: run.rounds + 1})
}

// Completed records that an endpoint ran the attempt to its end without a crash.
func (run *Run) Completed() {
	if run.rounds > 0 {
		run.replica.RecordCleanRun(run.fingerprint(), run.rounds)
	}
}

// End ends the attempt. Calls after the first have no effect.
func (run *Run) End() {
	if !run.onTrial {
		return
	}
	run.onTrial = false
	run.replica.mu.Lock()
	defer run.replica.mu.Unlock()
	delete(run.replica.trials, run.fingerprint())
}
