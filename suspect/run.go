package suspect

import (
	"slices"
	"time"
)

// Run is one attempt of a request at an instance that has a Replica. It is used by the
// goroutine that makes the attempt.
type Run struct {
	replica   *Replica
	identify  func() []Subject
	subjects  []Subject // nil until they are needed
	rounds    []int     // of each subject: rounds of crashes that were known when the run began; nil if there were no suspects
	onTrial   []Fingerprint
	answering bool // the response has gone on for a while, so that no part crashes the endpoint
}

// HeldError reports that a request may not run at this instance now, because of itself or
// of a part of its prompt.
type HeldError struct {
	Part    bool          // because of a part
	For     time.Duration // how long it is refused, 0 if it is on trial
	OnTrial bool          // another instance, or another request at this one, may run it
}

// Error implements error.
func (e *HeldError) Error() string {
	subject := "this request"
	if e.Part {
		subject = "a prompt with one of its parts"
	}
	if e.OnTrial {
		return "endpoints have crashed while " + subject + " ran, and it runs once at a time"
	}
	return "endpoints have crashed each time " + subject + " ran"
}

// Begin begins an attempt of the request whose subjects are returned by identify, which is
// called only if they are needed. The error is a *HeldError. The caller must call End.
func (r *Replica) Begin(identify func() []Subject) (*Run, error) {
	run := &Run{replica: r, identify: identify}
	if r.Empty() {
		return run, nil
	}
	run.needSubjects()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range run.subjects {
		known := r.registry.Lookup(s.Fingerprint, r.now())
		run.rounds = append(run.rounds, known.Rounds)
		switch {
		case known.Verdict == Refused:
			return nil, &HeldError{Part: s.IsPart(), For: known.RefusedFor}
		case known.Verdict != Trial:
		case r.trials[s.Fingerprint] || !r.holdsTrial(s.Fingerprint, known.TrialFor):
			return nil, &HeldError{Part: s.IsPart(), OnTrial: true}
		default:
			run.onTrial = append(run.onTrial, s.Fingerprint)
		}
	}
	for _, f := range run.onTrial {
		r.trials[f] = true
	}
	return run, nil
}

func (run *Run) needSubjects() {
	if run.subjects == nil {
		run.subjects = run.identify()
	}
}

const (
	// soleTrialTime is how long the instance with the highest rendezvous weight is the only
	// one at which a subject on trial may run.
	soleTrialTime = 10 * time.Second
	// trialSpreadTime is the time after which twice as many instances may run it.
	trialSpreadTime = 2 * time.Second
	maxTrialDoubles = 16
)

// holdsTrial reports whether this instance may run a subject that has been on trial for a
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

// Answering records that the response has gone on for a while. Calls after the first have
// no effect.
func (run *Run) Answering() {
	if run.answering {
		return
	}
	run.answering = true
	run.clear(Subject.IsPart)
}

// Completed records that an endpoint ran the attempt to its end without a crash.
func (run *Run) Completed() {
	run.clear(func(Subject) bool { return true })
}

// clear records a clean run of some of the subjects.
func (run *Run) clear(which func(Subject) bool) {
	if run.replica.Empty() {
		return
	}
	run.needSubjects()
	var subjects []Subject
	for _, s := range run.subjects {
		if which(s) {
			subjects = append(subjects, s)
		}
	}
	run.replica.recordCleanRuns(subjects)
}

// Lost returns what there is to record if the endpoint's process turns out to have ended
// while the attempt was in flight there.
func (run *Run) Lost() Lost {
	run.needSubjects()
	l := Lost{replica: run.replica}
	for i, s := range run.subjects {
		if run.answering && s.IsPart() {
			continue
		}
		round := 1
		if run.rounds != nil {
			round += run.rounds[i]
		}
		l.subjects = append(l.subjects, s)
		l.crashes = append(l.crashes, Crash{Round: round, OnTrial: slices.Contains(run.onTrial, s.Fingerprint)})
	}
	return l
}

// Lost is an attempt that has lost its connection. It holds no state of the request, which
// may go on meanwhile.
type Lost struct {
	replica  *Replica
	subjects []Subject
	crashes  []Crash // of each subject, without the endpoint
}

// Crashed records that the endpoint's process with the given epoch has ended.
func (l Lost) Crashed(endpoint, epoch string) {
	for i := range l.crashes {
		l.crashes[i].Endpoint, l.crashes[i].Epoch = endpoint, epoch
	}
	l.replica.recordCrashes(l.subjects, l.crashes)
}

// End ends the attempt. Calls after the first have no effect.
func (run *Run) End() {
	if run.onTrial == nil {
		return
	}
	run.replica.mu.Lock()
	defer run.replica.mu.Unlock()
	for _, f := range run.onTrial {
		delete(run.replica.trials, f)
	}
	run.onTrial = nil
}
