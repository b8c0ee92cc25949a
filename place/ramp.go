package place

import (
	"math"
	"time"
)

const (
	// rampStepTime is the time that a step lasts at least before the rate is raised. It is
	// about the time in which all of 90 instances have heard of the step and of the responses
	// in it; with a factor of 2, a hundredfold rate is reached in 3.5 s.
	rampStepTime = 500 * time.Millisecond
	// maxRampTime is the time after which a ramp-up ends in any case. An endpoint that is slow
	// or full for longer is not recovering; the choice by load and slowness deals with it.
	maxRampTime = 20 * time.Second
	// minRampResponses is the number of responses, over all instances, that a step is judged by.
	minRampResponses = 2
	// minOnTimeRatio is the number of responses on time for each that is not, from which the
	// rate is raised. In a full service, a quarter of the requests may be refused at any time.
	minOnTimeRatio = 3
	// rampLowering is the number of levels by which the rate is lowered: to a quarter, because
	// the others go on at the old rate until they have heard of it.
	rampLowering = 2

	// maxOnTime and minLate divide responses by their time relative to the usual one of their
	// service into those on time, those that say nothing and those that are late. A third of
	// the endpoints of a service may take 1.3 times as long as the others.
	maxOnTime = 1.6
	minLate   = 2.5
	// minDelay is the delay beyond the usual time below which a response is on time in any
	// case: opening a connection and a busy machine cause as much, and the usual time of some
	// services is 5 ms.
	minDelay = 20 * time.Millisecond

	// rampDone is the level at which a ramp-up has ended.
	rampDone = 63
	// maxGenerationLead is the number of generations by which a step may be ahead of a known
	// one. A generation takes a tenth of a second at least, and steps are exchanged several
	// times a second.
	maxGenerationLead = 1000
	// baseSlotShare is the number of requests a second per slot at which a ramp-up begins.
	baseSlotShare = 0.25
)

// RampStep is a step in the ramp-ups of an incarnation of an endpoint. The later of two steps
// is the one with the higher generation, and among equals the one with the higher level.
type RampStep struct {
	Generation uint32 // rises with each begin of a ramp-up and each lowering of its rate; 0 before the first
	Level      uint32 // rises with the rate
}

// before reports whether s is earlier than o.
func (s RampStep) before(o RampStep) bool {
	return s.Generation < o.Generation || s.Generation == o.Generation && s.Level < o.Level
}

// Valid reports whether s can be a step, given the known one.
func (s RampStep) Valid(known RampStep) bool {
	return s.Level <= rampDone && s.Generation > 0 && (known.Generation == 0 || s.Generation <= known.Generation+maxGenerationLead)
}

// RampResponses counts the responses to requests that were sent in a step.
type RampResponses struct {
	OnTime int
	Bad    int // refused, lost, failed or late
}

// Ramp is the ramp-up of the rate of requests to an incarnation of an endpoint that has just
// started or recovered, as one instance knows it. It does no I/O; callers pass in the time.
// It is not safe for concurrent use.
//
// Load pattern: an endpoint comes back empty before 90 instances, to all of which it looks
// best. What they send at once exceeds what it takes while its caches are empty: it refuses,
// is late or falls over, and the next one gets its load.
//
// Invariant: the step never becomes earlier. Instances that judge the same step by the same
// responses come to the same next one, and the later of two steps holds at both that know it,
// so no instance has to decide for the others.
type Ramp struct {
	step  RampStep
	begun time.Time // when this ramp-up began, as known here
	since time.Time // from when on the step holds here
	own   RampResponses
}

// Step returns the step that holds.
func (r *Ramp) Step() RampStep { return r.step }

// Active reports whether the rate is limited.
func (r *Ramp) Active() bool { return r.step.Generation > 0 && r.step.Level < rampDone }

// Begun returns when the ramp-up began, as known here.
func (r *Ramp) Begun() time.Time { return r.begun }

// Own returns the responses to this instance's requests in the step.
func (r *Ramp) Own() RampResponses { return r.own }

// Begin begins a ramp-up unless one is under way. It reports whether it did.
func (r *Ramp) Begin(now time.Time) bool {
	if r.Active() {
		return false
	}
	r.set(RampStep{Generation: r.step.Generation + 1}, now)
	return true
}

// Merge records a step that another instance knows. It reports whether it is later than the
// one that held.
func (r *Ramp) Merge(step RampStep, now time.Time) bool {
	if !r.step.before(step) {
		return false
	}
	r.set(step, now)
	return true
}

// set makes a step hold from now on.
func (r *Ramp) set(step RampStep, now time.Time) {
	if !r.Active() {
		r.begun = now
	}
	r.step, r.since, r.own = step, now, RampResponses{}
}

// RecordResponse records that the response to a request that was sent at sentAt took so long,
// which is ratio times as long as is usual for its service. Requests of earlier steps say
// nothing of this one.
func (r *Ramp) RecordResponse(took time.Duration, ratio float64, sentAt time.Time) {
	delay := took - time.Duration(float64(took)/max(ratio, 1))
	switch {
	case !r.Active() || sentAt.Before(r.since):
	case ratio <= maxOnTime || delay < minDelay:
		r.own.OnTime++
	case ratio >= minLate:
		r.own.Bad++
	}
}

// RecordBad records that a request that was sent at sentAt was refused, lost or failed.
func (r *Ramp) RecordBad(sentAt time.Time) {
	if r.Active() && !sentAt.Before(r.since) {
		r.own.Bad++
	}
}

// Judge moves to the next step if the responses in this one, to requests of this and of the
// other instances, say so. While hold is set, the rate is not raised. fullRate is the rate at
// which the endpoint takes its usual share, base that of the first level. It reports whether
// the step has changed.
func (r *Ramp) Judge(others RampResponses, hold bool, base, fullRate float64, now time.Time) bool {
	onTime, bad := r.own.OnTime+others.OnTime, r.own.Bad+others.Bad
	step, aged := r.step, now.Sub(r.since) >= rampStepTime
	switch {
	case !r.Active():
		return false
	case !hold && now.Sub(r.begun) >= maxRampTime:
		step.Level = rampDone
	case bad >= minRampResponses && bad > onTime && (step.Level > 0 || aged):
		step = RampStep{Generation: step.Generation + 1, Level: step.Level - min(step.Level, rampLowering)}
	case hold || !aged || onTime < minRampResponses || onTime < minOnTimeRatio*bad:
		return false
	default:
		step.Level++
		if rampRate(base, step.Level) >= fullRate {
			step.Level = rampDone
		}
	}
	r.set(step, now)
	return true
}

// Rate returns the rate of requests from all instances together in the step, given that of the
// first level.
func (r *Ramp) Rate(base float64) PacedRate {
	perSecond := rampRate(base, r.step.Level)
	return PacedRate{PerSecond: perSecond, Most: rampMost*perSecond + rampSlack}
}

// What may arrive at an endpoint in one second of a ramp-up: as for cold endpoints.
const (
	rampMost  = 1.5
	rampSlack = 5
)

// rampRate returns the rate at a level: twice that of the level before.
func rampRate(base float64, level uint32) float64 { return base * math.Exp2(float64(level)) }

// RampBase returns the rate at which the ramp-up of an endpoint begins: the one that it bears
// while cold, 0 if that is not limited, or a share of its slots.
func RampBase(coldPerSecond float64, slots int) float64 {
	if coldPerSecond > 0 {
		return coldUse * coldPerSecond
	}
	return max(baseSlotShare*float64(slots), 1)
}

// usualTimeIfUnknown stands for the usual time of a service that has not responded yet.
const usualTimeIfUnknown = 0.1

// RampFullRate returns the rate above which the number of its slots limits an endpoint more than a
// ramp-up does, given the usual time of a response in seconds, 0 if that is not known.
func RampFullRate(slots int, usualTime float64) float64 {
	if usualTime <= 0 {
		usualTime = usualTimeIfUnknown
	}
	return float64(max(slots, 1)) / usualTime
}

// RecentShare is like Share, but also for an instance that has known the others for less than
// SettleTime. It is for rates that no endpoint's life depends on.
func (r PacedRate) RecentShare(endpoint uint64, members *Members, self string, now time.Time) (perSecond, phase float64) {
	members.settled(now) // drops the lists that are too old
	return r.shareOf(endpoint, members.views, self)
}
